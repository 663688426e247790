//! How complete and how recent this host's list of servers is.
//!
//! A host's own calls to the store confirm its list. A peer whose list is the same passes its
//! confirmation on, and a peer that has a later confirmation of another list shows that this host
//! misses a change. So a lost datagram, a dead lead or a host that was cut off is noticed by the
//! age of the list, whatever was missed.

use std::time::Duration;

use parsley_macros::{key, message, value};

use super::{FleetTable, REREGISTRATION_GRACE};
use crate::{era::StoreRevision, time::Time};

/// A peer's statement about its list of servers.
#[message]
pub struct ListEvidence {
    /// Digest of the list.
    pub digest: u64,
    /// Revision of the store up to which the list contains every change.
    pub revision: StoreRevision,
    /// Milliseconds since the list was known to be complete, when the peer sent this. `None` if
    /// that was never confirmed.
    pub age_ms: Option<u32>,
    /// Whether the list is free of entries that may have expired during an outage of the store.
    pub is_settled: bool,
}

/// Effect of a peer's list evidence on this host.
#[key]
pub enum ListEffect {
    /// This host's list is now confirmed up to a later time.
    Extended,
    /// The peer knows of a change that this host lacks.
    Behind,
    /// None.
    Unchanged,
}

/// What is known of the list's completeness.
#[value]
#[derive(Default)]
pub(super) struct ListState {
    /// Revision up to which the list contains every change.
    revision: StoreRevision,
    /// Latest time at which the list is known to have been complete.
    confirmed: Option<Time>,
    /// When the list was first confirmed by the store.
    first_confirmed: Option<Time>,
    /// Since when a peer is known to have a later list.
    behind_since: Option<Time>,
}

impl ListState {
    fn confirm(&mut self, confirmed: Time, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
        self.confirmed = self.confirmed.max(Some(confirmed));
        self.behind_since = None;
    }
}

impl FleetTable {
    /// Records that the store returned every change up to `revision` in a call that was sent at
    /// `call_start`.
    ///
    /// A list with entries that may have expired during an outage is not confirmed. A peer without
    /// an outage may know that they are gone for good.
    pub fn confirm_list(&mut self, call_start: Time, revision: StoreRevision) {
        self.list.first_confirmed.get_or_insert(call_start);
        if !self.has_missing() {
            self.list.confirm(call_start, revision);
        }
    }

    /// Returns this host's statement about its list, for its peers.
    pub fn attest_list(&self, now: Time) -> ListEvidence {
        // Rounded up, so that the evidence never seems fresher than it is.
        let millis = |age: Duration| u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX);
        ListEvidence {
            digest: self.digest(),
            revision: self.list.revision,
            age_ms: self.list_age(now).map(millis),
            is_settled: self.is_settled(now),
        }
    }

    /// Merges a peer's statement. `confirmed` is the time of its confirmation on this host's clock;
    /// `None` if it proves nothing.
    pub fn merge_list(
        &mut self,
        now: Time,
        evidence: &ListEvidence,
        confirmed: Option<Time>,
    ) -> ListEffect {
        let later = confirmed.filter(|at| self.list.confirmed.is_none_or(|own| *at > own));
        let Some(confirmed) = later else { return ListEffect::Unchanged };
        if evidence.digest == self.digest() {
            self.list.confirm(confirmed, evidence.revision);
            return ListEffect::Extended;
        }
        if !evidence.is_settled {
            return ListEffect::Unchanged;
        }
        self.list.behind_since.get_or_insert(now);
        ListEffect::Behind
    }

    /// Records that every change of a peer's list from [`FleetTable::list_revision`] up to
    /// `revision` was applied.
    pub fn advance_list(&mut self, revision: StoreRevision) {
        self.list.revision = self.list.revision.max(revision);
    }

    /// Returns the revision of the store up to which the list contains every change.
    pub fn list_revision(&self) -> StoreRevision {
        self.list.revision
    }

    /// Returns the time since the list was last known to be complete; `None` if that was never
    /// confirmed.
    pub fn list_age(&self, now: Time) -> Option<Duration> {
        self.list.confirmed.map(|at| now.since(at))
    }

    /// Returns the time for which a peer has been known to have a later list.
    pub fn list_divergence(&self, now: Time) -> Option<Duration> {
        self.list.behind_since.map(|at| now.since(at))
    }

    /// Returns whether entries are kept that may have expired during an outage of the store.
    pub fn has_missing(&self) -> bool {
        self.missing_count > 0
    }

    /// Returns whether the list is free of entries that may have expired, and not of a process so
    /// new that it may have read the list while servers were registering again.
    fn is_settled(&self, now: Time) -> bool {
        let is_new =
            self.list.first_confirmed.is_none_or(|at| now.since(at) < REREGISTRATION_GRACE);
        !is_new && !self.store_lost && !self.is_grace_period(now) && !self.has_missing()
    }
}
