//! Keeps which failure domains are evacuated: their engines get no new work.
//!
//! [`EvacuationKeeper`] holds the evacuations that the store shows, the revision of the store up to
//! which they are complete, and when that was last confirmed. Hosts exchange whole views and keep
//! the one of the highest revision, so the order in which views arrive does not matter. After a
//! restore of the store from an older copy, the view of the era before stays in force in addition
//! until the era is settled, because the copy may lack an evacuation that was acknowledged.
//!
//! A host that learns of no newer view treats each domain as it last knew it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::{message, value};

use crate::{
    era::{EraKeeper, StoreRevision},
    fleet::hash_name,
    time::Time,
};

#[cfg(test)]
mod tests;

/// Most evacuations in a view, the first in the order of keys. Foreign entries must not make a view
/// larger than a datagram.
pub const EVACUATION_LIMIT: usize = 64;
/// Longest key of an evacuation, in bytes, for the same reason.
pub const LONGEST_KEY: usize = 200;
/// Most eras of which a view is kept. More restores than that within seconds are not expected.
const ERA_LIMIT: usize = 4;
/// Time for which a changed view is sent to peers with heartbeats, several heartbeat periods.
const REPORT_TERM: Duration = Duration::from_millis(2_500);

/// All evacuations that the store held at a revision.
#[message]
#[derive(Default)]
pub struct EvacuationView {
    /// Revision of the store up to which the view is complete.
    pub revision: StoreRevision,
    /// Failure domain that each key evacuates.
    pub domains: BTreeMap<Arc<str>, Arc<str>>,
}

/// A key that a watch of the store showed as changed.
#[value]
pub struct EvacuationChange {
    /// Key of the evacuation.
    pub key: Arc<str>,
    /// Failure domain that the key evacuates; `None` if the key was removed.
    pub domain: Option<Arc<str>>,
    /// Number of the store's revision at the change.
    pub number: u64,
}

/// The evacuations that this host knows of.
#[value]
#[derive(Default)]
pub struct EvacuationKeeper {
    /// Latest view of each era. Those of earlier eras than the last count until it is settled.
    views: BTreeMap<u64, EvacuationView>,
    /// Latest time at which no evacuation beyond the known ones had been acknowledged.
    confirmed: Option<Time>,
    /// When the evacuations last changed on this host.
    changed: Option<Time>,
}

impl EvacuationKeeper {
    /// Returns the latest view; `None` before the first one.
    pub fn latest(&self) -> Option<&EvacuationView> {
        self.views.last_key_value().map(|(_, view)| view)
    }

    /// Returns the revision up to which the latest view is complete.
    pub fn revision(&self) -> StoreRevision {
        self.latest().map_or(StoreRevision::default(), |view| view.revision)
    }

    /// Returns the time since the view was known to be complete; `None` if that was never confirmed.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Records that no evacuation was acknowledged up to `at` that the view lacks.
    pub fn confirm(&mut self, at: Time) {
        if !self.views.is_empty() {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Takes over a view that the store or a peer showed, unless a later one of the same era is
    /// known. A view of an earlier era counts only while the last era is not settled. Returns
    /// whether the evacuations changed.
    pub fn merge(&mut self, now: Time, era: &EraKeeper, mut view: EvacuationView) -> bool {
        while view.domains.len() > EVACUATION_LIMIT {
            view.domains.pop_last();
        }
        let StoreRevision { era: of_view, .. } = view.revision;
        let is_earlier = of_view < self.revision().era;
        if is_earlier && self.is_settled(now, era) {
            return false;
        }
        let known = self.views.get(&of_view);
        if known.is_some_and(|known| known.revision >= view.revision) {
            return false;
        }
        let before = known.or(self.latest()).map(|known| &known.domains);
        let is_changed = before.map_or(!view.domains.is_empty(), |before| *before != view.domains);
        self.views.insert(of_view, view);
        while self.views.len() > ERA_LIMIT {
            self.views.pop_first();
        }
        if is_changed {
            self.changed = Some(now);
        }
        is_changed
    }

    /// Applies the changes that a watch returned, up to `revision`. The watch continued after a read
    /// or watch that was applied here, so the view has all earlier changes. Returns whether the
    /// evacuations changed.
    pub fn apply_changes(
        &mut self,
        now: Time,
        era: &EraKeeper,
        changes: Vec<EvacuationChange>,
        revision: StoreRevision,
    ) -> bool {
        let Some(known) = self.views.get(&revision.era) else { return false };
        let mut domains = known.domains.clone();
        // A peer may have sent a later view than the one from which the watch continued.
        let known_number = known.revision.number;
        for change in changes.into_iter().filter(|change| change.number > known_number) {
            match change.domain {
                Some(domain) => domains.insert(change.key, domain),
                None => domains.remove(&change.key),
            };
        }
        self.merge(now, era, EvacuationView { revision, domains })
    }

    /// Drops the views of earlier eras once the last era is settled. Returns whether there were any.
    pub fn expire(&mut self, now: Time, era: &EraKeeper) -> bool {
        if self.views.len() < 2 || !self.is_settled(now, era) {
            return false;
        }
        let last = self.revision().era;
        self.views.retain(|of_view, _| *of_view == last);
        true
    }

    /// Returns whether the era of the latest view is settled. A view of a later era than `era` knows
    /// came from a peer that learned of the restore first.
    fn is_settled(&self, now: Time, era: &EraKeeper) -> bool {
        era.era() >= self.revision().era && era.is_settled(now)
    }

    /// Returns the keys in force with the failure domain that each evacuates.
    pub fn in_force(&self, now: Time, era: &EraKeeper) -> BTreeMap<Arc<str>, Arc<str>> {
        let (last, is_settled) = (self.revision().era, self.is_settled(now, era));
        let counted = self.views.iter().filter(|(of_view, _)| **of_view == last || !is_settled);
        counted.flat_map(|(_, view)| view.domains.clone()).collect()
    }

    /// Returns the failure domains whose engines get no new work.
    pub fn domains(&self, now: Time, era: &EraKeeper) -> BTreeSet<Arc<str>> {
        self.in_force(now, era).into_values().collect()
    }

    /// Returns the views for a peer: all of them if `is_full`, otherwise only if they changed lately.
    pub fn reports(&self, now: Time, is_full: bool) -> Vec<EvacuationView> {
        let is_recent = self.changed.is_some_and(|at| now.since(at) < REPORT_TERM);
        let reported = self.views.values().filter(|_| is_full || is_recent);
        reported.cloned().collect()
    }

    /// Returns whether a peer with this view lacks a change that this host knows.
    pub fn is_newer_than(&self, view: &EvacuationView) -> bool {
        let newer = self.latest().filter(|known| known.revision > view.revision);
        newer.is_some_and(|known| known.domains != view.domains)
    }

    /// Returns a digest of the evacuations, by which hosts find out whether they know the same. It
    /// is 0 without evacuations. Revisions do not count, because unrelated writes raise them.
    pub fn digest(&self) -> u64 {
        let keys = self.views.iter().flat_map(|(era, view)| {
            view.domains.keys().map(move |key| hash_name(&format!("evacuation {era} {key}")))
        });
        keys.fold(0, u64::wrapping_add)
    }
}
