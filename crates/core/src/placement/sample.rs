//! The bounded random sample of owners whose loads this host subscribes to.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::ModelIndex;
use crate::time::Time;

/// Time between two [`super::PlacementInput::Tick`] inputs.
pub const SAMPLE_TICK_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of owners in the sample. All models share one sample, as an owner has engines of
/// several models. A sample for each model and region would cost 24 times the bytes.
pub const MAX_SAMPLED_OWNERS: usize = 16;
/// Time for which an owner pushes loads to a subscriber, unless the subscription is renewed.
pub const SUBSCRIPTION_TERM: Duration = Duration::from_secs(12);
/// Time between two renewals of a subscription, so that one may get lost before the term ends.
const RENEWAL_PERIOD: Duration = Duration::from_secs(5);
/// Time between two replacements of a random owner in a full sample.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(5);

#[derive(Default)]
pub(super) struct LoadSample {
    /// Owners in the sample, with the time at which the next subscription is due.
    owners: BTreeMap<Arc<str>, Time>,
    next_replacement: Time,
}

impl LoadSample {
    pub(super) fn owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.owners.keys()
    }

    pub(super) fn retain(&mut self, is_owner: impl Fn(&str) -> bool) {
        self.owners.retain(|owner, _| is_owner(owner));
    }

    /// Returns the owners whose subscription is due and schedules their renewal.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<Arc<str>> {
        let due = self.owners.iter_mut().filter(|(_, next)| **next <= now);
        due.map(|(owner, next)| {
            *next = now + RENEWAL_PERIOD;
            owner.clone()
        })
        .collect()
    }

    /// Replaces one owner periodically and fills the sample with random owners. Returns whether the
    /// sample changed.
    pub(super) fn tick(
        &mut self,
        now: Time,
        models: &BTreeMap<Arc<str>, ModelIndex>,
        rng: &mut fastrand::Rng,
        owner_of: impl Fn(u32) -> Option<Arc<str>>,
    ) -> bool {
        let mut is_changed = false;
        if self.next_replacement <= now {
            self.next_replacement = now + REPLACEMENT_PERIOD;
            if self.owners.len() >= MAX_SAMPLED_OWNERS {
                let replaced = rng.choice(self.owners.keys().cloned().collect::<Vec<_>>());
                self.owners.remove(&replaced.expect("the sample is full"));
                is_changed = true;
            }
        }
        let free_places = MAX_SAMPLED_OWNERS - self.owners.len();
        let mut indexes: Vec<_> = models.values().collect();
        // Models with the fewest candidates come first, so that each model gets some.
        rng.shuffle(&mut indexes);
        indexes.sort_by_key(|index| index.candidates.len());
        // A draw may pick an owner that is already in the sample, hence the extra draws.
        for draw in 0..free_places * 4 {
            if self.owners.len() >= MAX_SAMPLED_OWNERS || indexes.is_empty() {
                break;
            }
            let index = indexes[draw % indexes.len()];
            let engines = if index.same_region.is_empty() {
                &index.other_regions
            } else {
                &index.same_region
            };
            let Some(owner) =
                rng.choice(engines.iter()).and_then(|slot_index| owner_of(*slot_index))
            else {
                continue;
            };
            is_changed |= self.owners.insert(owner.clone(), now).is_none();
        }
        is_changed
    }
}
