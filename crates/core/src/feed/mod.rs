//! Decides when a host reads or watches one part of the store, the configuration or the servers.
//!
//! [`FeedFollower`] keeps the revision up to which the part is known and whether the store answers;
//! its driver makes the calls. Two hosts, the leads, watch the store on behalf of all. The other
//! hosts stay idle while the leads send them changes and prove that there are no others. If the
//! proofs stop for any reason, each host calls the store itself, early enough that a change is in
//! force in time. So the load on the store does not grow with the number of hosts as long as hosts
//! can reach one another.

use std::time::Duration;

use parsley_macros::value;

use crate::{
    era::StoreRevision,
    roster::{HEARTBEAT_PERIOD, STANDBY_POLL_PERIOD},
    time::Time,
};

#[cfg(test)]
mod spread_tests;
#[cfg(test)]
mod tests;

/// Number of hosts that watch the store on behalf of all. There are two because one may fail at any
/// time.
pub const LEAD_COUNT: usize = 2;
/// Time beyond the wait of a watch, or for a read, after which a call counts as lost.
pub const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Time for the body of a read, once the store has begun to answer: a page of a megabyte on the
/// slowest link, with room for other traffic there.
pub const READ_BODY_LIMIT: Duration = Duration::from_millis(2_000);
/// Time for which a peer may have a later list of servers, because changes may be in flight.
const DIVERGENCE_LIMIT: Duration = Duration::from_millis(600);
/// The same limit for a standby host, which gets changes only when it polls a member.
const STANDBY_DIVERGENCE_LIMIT: Duration = Duration::from_secs(3);
/// Least time between two watches of a lead that return changes. Servers write their entries all
/// the time, so without it each write would cost a call.
const WATCH_SPACING: Duration = Duration::from_millis(300);
/// Time after which an idle host decides again; a newer configuration ends it early.
pub const IDLE_TIME: Duration = Duration::from_millis(100);
/// Time that a successful call takes, including the decoding of a configuration.
const READ_TIME: Duration = Duration::from_millis(100);
/// Bounds of the time for which a watch of a lead waits. A shorter wait costs more calls; the end
/// of a watch also proves that the store still answers.
const WATCH_WAITS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(800));
/// Least age of a proof at which a host calls the store itself.
const LEAST_PROOF_AGE: Duration = Duration::from_millis(500);
/// Time for which a watch waits if its end is needed as a proof.
const URGENT_WAIT: Duration = Duration::from_millis(30);
/// Least time between two reads caused by a lead's changes, so that a burst of changes costs few
/// reads.
const READ_SPACING: Duration = Duration::from_millis(600);
/// Least time between two proofs that a host requests from the store itself.
const PROOF_SPACING: Duration = Duration::from_millis(250);
/// Backoff after the first failed call, and longest backoff of a lead.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Backoff of the other hosts from the second failed call on; the leads detect that the store is
/// back.
const NON_LEAD_PAUSE: Duration = Duration::from_millis(2_000);

/// Conditions under which a follower decides on its next call.
#[value]
#[derive(Default)]
pub struct FeedContext {
    /// Whether this host is a lead.
    pub is_lead: bool,
    /// Time for which the watches of a lead wait for changes.
    pub watch_wait: Duration,
    /// Whether the host needs a proof from the store that nothing changed.
    pub needs_proof: bool,
    /// Whether a peer is known to have newer data than this host.
    pub is_behind: bool,
    /// Whether a read may first try a stale answer, which may be seconds old.
    pub allows_stale: bool,
}

/// Times derived from the limit within which every host must know a change.
#[value]
#[derive(Copy)]
pub struct FeedTiming {
    /// Age of the proof that a part is the newest from which on a host calls the store itself.
    pub proof_age: Duration,
    /// Time for which a watch of a lead waits at the store.
    pub watch_wait: Duration,
}

impl FeedTiming {
    /// Returns the times for changes that every host must know within `limit`.
    ///
    /// A change that a host lacks was written after its proof. So the change is known in time if the host calls the store early enough for one lost call and one successful call. Watches
    /// are short enough that the proofs passed on by leads stay younger than that, also at standby
    /// hosts.
    pub fn for_limit(limit: Duration) -> FeedTiming {
        let reserve = IDLE_TIME + CALL_LIMIT + FIRST_PAUSE + READ_TIME;
        let proof_age = limit.saturating_sub(reserve).max(LEAST_PROOF_AGE);
        let in_flight = HEARTBEAT_PERIOD + STANDBY_POLL_PERIOD;
        let wait = proof_age.saturating_sub(in_flight) / 2;
        FeedTiming { proof_age, watch_wait: wait.clamp(WATCH_WAITS.0, WATCH_WAITS.1) }
    }
}

/// State of a host from which its [`FeedContext`] is derived.
#[value]
#[derive(Default)]
pub struct FeedFacts {
    /// Whether the part is the configuration rather than the servers.
    pub is_config: bool,
    /// Time within which every host must know a change of the part.
    pub limit: Duration,
    /// Whether this host is a lead.
    pub is_lead: bool,
    /// Whether this host is a member, which exchanges heartbeats with the other members.
    pub is_member: bool,
    /// Whether the host knows the part, so that a proof can show it to be the newest.
    pub is_known: bool,
    /// Age of the proof that what is known is the newest; `None` without a proof.
    pub proof_age: Option<Duration>,
    /// Whether the store was restored so recently that its answers may prove nothing.
    pub shows_copy: bool,
    /// Whether a peer reported a newer version of the configuration.
    pub has_newer: bool,
    /// Time for which a peer has been known to have a later list of servers; `None` if none has.
    pub divergence: Option<Duration>,
    /// Whether the part has to be read again after a restore of the store.
    pub must_read_again: bool,
}

impl FeedContext {
    /// Derives the context from the state of the host.
    pub fn from_facts(facts: &FeedFacts) -> FeedContext {
        let divergence_limit =
            if facts.is_member { DIVERGENCE_LIMIT } else { STANDBY_DIVERGENCE_LIMIT };
        let timing = FeedTiming::for_limit(facts.limit);
        FeedContext {
            is_lead: facts.is_lead,
            watch_wait: timing.watch_wait,
            needs_proof: facts.is_known
                && !facts.shows_copy
                && facts.proof_age.is_none_or(|age| age >= timing.proof_age),
            is_behind: facts.has_newer
                || facts.must_read_again
                || facts.divergence.is_some_and(|time| time >= divergence_limit),
            // A new configuration must be in force within seconds. Changes of servers reach a
            // standby host through members as well.
            allows_stale: !facts.is_config && !facts.is_member,
        }
    }
}

/// Next call to the store.
#[value]
pub enum FeedAction {
    /// Read the whole part.
    Read {
        /// Whether the answer may be seconds old, which costs the store a tenth of an exact read.
        is_stale: bool,
    },
    /// Wait for changes after a revision.
    Watch {
        /// Revision after which changes are returned.
        after: StoreRevision,
        /// Time for which the store may wait for changes.
        wait: Duration,
    },
    /// Make no call for [`IDLE_TIME`], or until a peer reports newer data.
    Idle,
}

/// Result of a call to the store.
#[value]
pub enum FeedResult {
    /// The part was read.
    Read {
        /// Revision of the store at the first page; later changes may be missing.
        revision: StoreRevision,
        /// Whether the answer may be seconds old.
        is_stale: bool,
    },
    /// The watch ended, with or without changes.
    Watched {
        /// Revision from which the next watch continues.
        revision: StoreRevision,
        /// Whether the watch returned changes.
        has_changes: bool,
    },
    /// The store does not have the history after the requested revision: it was dropped, or the
    /// store was restored.
    Compacted,
    /// The store began to answer a watch, and the changes were too many to be received in time or to
    /// be held.
    Overflowed,
    /// The connection of a watch ended before the store answered. That says nothing of the store.
    Cut,
    /// The call failed or was not answered in time.
    Failed,
}

/// Decides on the calls that keep one part of the store up to date.
#[value]
#[derive(Default)]
pub struct FeedFollower {
    /// Revision up to which the part is known; `None` before the first read.
    revision: Option<StoreRevision>,
    /// Failed calls in a row.
    failures: u32,
    /// Whether the store counts as unreachable.
    is_lost: bool,
    last_read: Option<Time>,
    /// Whether the last read was a stale one.
    was_stale: bool,
    /// When a watch last ended successfully.
    last_proof: Option<Time>,
    /// When a watch last returned changes.
    last_change: Option<Time>,
}

impl FeedFollower {
    /// Records that the part is known up to `revision` without a call of this host, so that its
    /// next watch does not return older changes.
    pub fn advance(&mut self, revision: StoreRevision) {
        self.revision = self.revision.map(|known| known.max(revision));
    }

    /// Returns the next call and the pause before it.
    pub fn next_action(&self, now: Time, context: &FeedContext) -> (Duration, FeedAction) {
        let pause = match self.failures {
            0 => Duration::ZERO,
            1 => FIRST_PAUSE,
            _ if !context.is_lead => NON_LEAD_PAUSE,
            count => (FIRST_PAUSE * (1 << (count - 1).min(8))).min(LONGEST_PAUSE),
        };
        let Some(after) = self.revision else {
            return (pause, FeedAction::Read { is_stale: false });
        };
        let may_read = self.last_read.is_none_or(|at| now.since(at) >= READ_SPACING);
        // The store may fail to notify a watch, so what a peer has is looked up by a read.
        if self.failures == 0 && context.is_behind && may_read {
            // If a stale read did not resolve the difference, the next read is exact.
            let is_stale = context.allows_stale && !self.was_stale;
            return (pause, FeedAction::Read { is_stale });
        }
        let may_prove = self.last_proof.is_none_or(|at| now.since(at) >= PROOF_SPACING);
        if self.failures > 0 || (context.needs_proof && may_prove) {
            return (pause, FeedAction::Watch { after, wait: URGENT_WAIT });
        }
        if context.is_lead {
            let since = self.last_change.map_or(WATCH_SPACING, |at| now.since(at));
            let pause = WATCH_SPACING.saturating_sub(since);
            return (pause, FeedAction::Watch { after, wait: context.watch_wait });
        }
        (Duration::ZERO, FeedAction::Idle)
    }

    /// Records the result of a call. Returns `Some(true)` if the store became unreachable by it,
    /// `Some(false)` if it became reachable again and `None` if that did not change.
    pub fn step(&mut self, now: Time, result: FeedResult) -> Option<bool> {
        let was_lost = self.is_lost;
        let is_cut = matches!(result, FeedResult::Cut);
        match result {
            FeedResult::Read { revision, is_stale } => {
                // A stale answer must not set the revision back.
                self.revision = self.revision.max(Some(revision));
                self.last_read = Some(now);
                self.was_stale = is_stale;
                self.failures = 0;
            }
            FeedResult::Watched { revision, has_changes } => {
                self.last_proof = Some(now);
                if has_changes {
                    self.last_change = Some(now);
                }
                self.revision = self.revision.max(Some(revision));
                self.failures = 0;
            }
            FeedResult::Compacted => {
                self.revision = None;
                self.failures = 0;
            }
            // The same watch would be answered at even greater length. A read asks for what is there
            // now, without the history.
            FeedResult::Overflowed => {
                self.revision = None;
                self.failures = 0;
            }
            // The next watch continues after the same revision, so no change is missed.
            FeedResult::Cut | FeedResult::Failed => self.failures += 1,
        }
        self.is_lost = self.failures > 0 && (was_lost || !is_cut || self.failures > 1);
        (was_lost != self.is_lost).then_some(self.is_lost)
    }

    /// Returns whether the store counts as unreachable: the last call failed, and not only because
    /// the connection of one watch was cut.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}
