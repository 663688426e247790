//! The owners whose load this host asks for.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::ModelIndex;
use crate::time::Time;

/// Time between two [`super::PlacementInput::Tick`].
pub const SAMPLE_TICK_PERIOD: Duration = Duration::from_millis(500);
/// Most owners in the sample. All models share it, as an owner has engines of several; one sample
/// for each model and region would cost 24 times the bytes.
pub const MAX_SAMPLED_OWNERS: usize = 16;
/// Time for which an owner pushes to a subscriber.
pub const SUBSCRIPTION_TERM: Duration = Duration::from_secs(12);
const RENEW_PERIOD: Duration = Duration::from_secs(5);
/// Time between two replacements of a random owner.
const REPLACE_PERIOD: Duration = Duration::from_secs(5);

#[derive(Default)]
pub(super) struct LoadSample {
    /// Owners with the time of the next subscription.
    owners: BTreeMap<Arc<str>, Time>,
    next_replace: Time,
}

impl LoadSample {
    pub(super) fn owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.owners.keys()
    }

    pub(super) fn retain(&mut self, is_owner: impl Fn(&str) -> bool) {
        self.owners.retain(|owner, _| is_owner(owner));
    }

    /// Owners to subscribe to now.
    pub(super) fn due(&mut self, now: Time) -> Vec<Arc<str>> {
        let due = self.owners.iter_mut().filter(|(_, next)| **next <= now);
        due.map(|(owner, next)| {
            *next = now + RENEW_PERIOD;
            owner.clone()
        })
        .collect()
    }

    /// Replaces one owner now and then and fills free places. Returns whether the sample changed.
    pub(super) fn tick(
        &mut self,
        now: Time,
        models: &BTreeMap<Arc<str>, ModelIndex>,
        rng: &mut fastrand::Rng,
        owner_of: impl Fn(u32) -> Option<Arc<str>>,
    ) -> bool {
        let mut is_changed = false;
        if self.next_replace <= now {
            self.next_replace = now + REPLACE_PERIOD;
            if self.owners.len() >= MAX_SAMPLED_OWNERS {
                let leaving = rng.choice(self.owners.keys().cloned().collect::<Vec<_>>());
                self.owners.remove(&leaving.expect("the sample is full"));
                is_changed = true;
            }
        }
        let free = MAX_SAMPLED_OWNERS - self.owners.len();
        let mut lists: Vec<_> = models.values().collect();
        // Models with few candidates come first, so that each has some.
        rng.shuffle(&mut lists);
        lists.sort_by_key(|index| index.candidates.len());
        // A draw may hit an owner that is in the sample already.
        for draw in 0..free * 4 {
            if self.owners.len() >= MAX_SAMPLED_OWNERS || lists.is_empty() {
                break;
            }
            let index = lists[draw % lists.len()];
            let list = if index.near.is_empty() { &index.far } else { &index.near };
            let Some(owner) = rng.choice(list.iter()).and_then(|at| owner_of(*at)) else {
                continue;
            };
            is_changed |= self.owners.insert(owner.clone(), now).is_none();
        }
        is_changed
    }
}
