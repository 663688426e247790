//! What an entry means that a restore of the store brought back.
//!
//! After a restore the store shows the entries of an older copy until the servers write theirs
//! again. By its era such an entry is later than what was known before, but it may be older. So it
//! does not cancel that a server leaves, does not bring back a process that was removed or replaced,
//! and is passed over for as long as the entry of a silent server stays in the store. What is still
//! there after that time is kept alive by its server.

use std::{net::SocketAddr, time::Duration};

use parsley_macros::value;

use super::{EngineEntry, EngineTag, FleetTable};
use crate::{
    era::{EraKeeper, StoreRevision},
    time::Time,
};

/// What is known of a removed entry.
#[value]
#[derive(Copy)]
pub(super) struct Tombstone {
    /// Revision of the store at which the entry was absent.
    pub(super) revision: StoreRevision,
    started_ms: u64,
    address: SocketAddr,
}

impl Tombstone {
    pub(super) fn new(entry: &EngineEntry, revision: StoreRevision) -> Tombstone {
        Tombstone { revision, started_ms: entry.started_ms, address: entry.address }
    }

    /// Returns whether `entry` names the removed process or one that started before it.
    fn covers(&self, entry: &EngineEntry) -> bool {
        entry.started_ms < self.started_ms
            || (entry.started_ms == self.started_ms && entry.address == self.address)
    }
}

impl FleetTable {
    /// Sets the time for which the entry of a silent server stays in the store.
    pub fn set_entry_lifetime(&mut self, lifetime: Duration) {
        self.entry_lifetime = lifetime;
    }

    /// Records the era of the store. After a restore, servers may register again for a while.
    pub fn set_era(&mut self, now: Time, era: EraKeeper) {
        if era.era() > self.era.era() && !era.is_settled(now) {
            self.store_regained = Some(now);
        }
        self.era = era;
    }

    /// Returns whether an item of `revision` may come from the copy with which the era began,
    /// where `known` was known before.
    pub(super) fn may_be_copied(
        &self,
        now: Time,
        revision: StoreRevision,
        known: StoreRevision,
    ) -> bool {
        let is_copy_shown = self.era.age(now).is_some_and(|age| age < self.entry_lifetime);
        let is_later_era = revision.era > known.era;
        is_later_era && is_copy_shown && !self.era.is_rewritten(revision)
    }

    /// Returns whether an entry says nothing beyond what is known: it was removed since, comes from
    /// an earlier era than the list, or may be the copy of a process that was removed or replaced.
    pub(super) fn is_withheld(&mut self, now: Time, tag: EngineTag, entry: &EngineEntry) -> bool {
        if let Some(tombstone) = self.tombstones.get(&tag) {
            if tombstone.revision >= entry.revision {
                return true;
            }
            let is_covered = tombstone.covers(entry);
            if is_covered && self.may_be_copied(now, entry.revision, tombstone.revision) {
                self.has_withheld = true;
                return true;
            }
        }
        let Some(record) = self.engines.get(&tag) else {
            return entry.revision.era < self.list_revision().era;
        };
        let is_older_process = entry.started_ms < record.entry.started_ms;
        if is_older_process && self.may_be_copied(now, entry.revision, record.entry.revision) {
            self.has_withheld = true;
            return true;
        }
        false
    }

    /// Returns `entry` as leaving if its process is known to leave and the entry does not say that
    /// it stays since.
    pub(super) fn with_known_state(
        &self,
        now: Time,
        tag: EngineTag,
        mut entry: EngineEntry,
    ) -> EngineEntry {
        let Some(record) = self.engines.get(&tag) else { return entry };
        let known = &record.entry;
        let is_same = (known.started_ms, known.address) == (entry.started_ms, entry.address);
        let is_unchanged = known.revision == entry.revision;
        if is_same && (is_unchanged || self.may_be_copied(now, entry.revision, known.revision)) {
            entry.is_leaving |= known.is_leaving;
        }
        entry
    }

    /// Returns whether the list has to be read again, because entries were passed over that are not
    /// copies if they are still there.
    pub fn must_read_again(&self, now: Time) -> bool {
        self.has_withheld && self.era.age(now).is_some_and(|age| age >= self.entry_lifetime)
    }
}
