//! Decides how one part of the store is followed: read it, watch it, read it again or rest.
//!
//! Owns the revision up to which the part is known and whether the store answers. Its driver makes
//! the calls. Two hosts watch for all (the leads); the others rest while leads tell them what is
//! new and prove that nothing else is. Whatever the reason why proofs stop, each host asks the store
//! itself before a change could be in force too late. So the number of calls does not grow with the
//! number of hosts while they hear one another.

use std::time::Duration;

use parsley_macros::value;

use crate::{
    roster::{HEARTBEAT_PERIOD, STANDBY_POLL_PERIOD},
    time::Time,
};

#[cfg(test)]
mod spread_tests;
#[cfg(test)]
mod tests;

/// Hosts that watch the store for all: one may be lost at any moment.
pub const LEAD_COUNT: usize = 2;
/// Time beyond the wait after which a call counts as lost.
pub const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Time for which another list of servers than a lead's is suffered: news may be under way.
const UNLIKE_TIME: Duration = Duration::from_millis(600);
/// The same for a host that stands by, which members tell the changes now and then.
const UNLIKE_TIME_OF_OTHERS: Duration = Duration::from_secs(3);
/// Time between two watches of a lead that bring changes: servers write all the time.
const WATCH_SPACING: Duration = Duration::from_millis(300);
/// Time between two looks of a host that rests; news of the configuration end it.
pub const IDLE_TIME: Duration = Duration::from_millis(100);
/// Time that a call takes which succeeds, and for a configuration to be read and decoded.
const READ_TIME: Duration = Duration::from_millis(100);
/// Bounds of the time for which a watch of a lead waits: each is a call to the store, and the end of
/// a watch also proves that the store still answers.
const WATCH_WAITS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(800));
/// Least age of a proof at which a host asks the store itself.
const LEAST_PROOF_AGE: Duration = Duration::from_millis(500);
/// Time for which a watch waits when its end is needed as a proof.
const URGENT_WAIT: Duration = Duration::from_millis(30);
/// Time between two reads because of a lead's news, so that a storm of changes costs few reads.
const READ_SPACING: Duration = Duration::from_millis(600);
/// Time between two proofs that a host asks for itself.
const PROOF_SPACING: Duration = Duration::from_millis(250);
/// First and longest pause after a failed call of a lead.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Pause of the other hosts after a second failed call: the leads find out that the store is back.
const PAUSE_OF_OTHERS: Duration = Duration::from_millis(2_000);

/// What decides about the next call, besides the follower's own state.
#[value]
#[derive(Default)]
pub struct FeedContext {
    /// Whether this host watches for all.
    pub is_lead: bool,
    /// Time for which its watches wait.
    pub watch_wait: Duration,
    /// Whether a proof that nothing changed is wanted from the store.
    pub needs_proof: bool,
    /// Whether a lead is known to have something newer.
    pub is_behind: bool,
    /// Whether a read may first be tried with an answer that may be seconds old.
    pub allows_stale: bool,
}

/// Times that follow from how soon a change must be in force.
#[value]
#[derive(Copy)]
pub struct FeedTiming {
    /// Age of the proof that the configuration is the newest at which a host asks the store itself.
    pub proof_age: Duration,
    /// Time for which a watch of a lead waits at the store.
    pub watch_wait: Duration,
}

impl FeedTiming {
    /// The times where a change must be in force within `apply`.
    ///
    /// A version that a host lacks is newer than its proof. So it is in force in time if the host
    /// asks early enough for one call that gets lost and one that succeeds. Watches are so short
    /// that the proofs which leads hand on stay younger than that, at hosts that stand by, too.
    pub fn for_apply_limit(apply: Duration) -> FeedTiming {
        let reserve = IDLE_TIME + CALL_LIMIT + FIRST_PAUSE + READ_TIME;
        let proof_age = apply.saturating_sub(reserve).max(LEAST_PROOF_AGE);
        let under_way = HEARTBEAT_PERIOD + STANDBY_POLL_PERIOD;
        let wait = proof_age.saturating_sub(under_way) / 2;
        FeedTiming { proof_age, watch_wait: wait.clamp(WATCH_WAITS.0, WATCH_WAITS.1) }
    }
}

/// What a host knows when it decides how to follow a part of the store.
#[value]
#[derive(Default)]
pub struct FeedFacts {
    /// Whether the part is the configuration, not the servers.
    pub is_config: bool,
    /// Time within which a change of the configuration must be in force.
    pub apply_limit: Duration,
    /// Whether this host watches for all.
    pub is_lead: bool,
    /// Whether this host exchanges beats with the other members.
    pub is_member: bool,
    /// Version of the configuration in force, if there is one.
    pub version: Option<u64>,
    /// Age of the proof that it is the newest.
    pub proof_age: Option<Duration>,
    /// Newest version that a peer named.
    pub newest_known: u64,
    /// Time since the list of servers differs from a lead's.
    pub divergence: Option<Duration>,
}

impl FeedContext {
    /// What decides about the next call of a host that knows these facts.
    pub fn from_facts(facts: &FeedFacts) -> FeedContext {
        let unlike_time = if facts.is_member { UNLIKE_TIME } else { UNLIKE_TIME_OF_OTHERS };
        let has_news = if facts.is_config {
            facts.newest_known > facts.version.unwrap_or_default()
        } else {
            facts.divergence.is_some_and(|time| time >= unlike_time)
        };
        let timing = FeedTiming::for_apply_limit(facts.apply_limit);
        FeedContext {
            is_lead: facts.is_lead,
            watch_wait: timing.watch_wait,
            needs_proof: facts.version.is_some()
                && facts.proof_age.is_none_or(|age| age >= timing.proof_age),
            is_behind: has_news,
            // A new configuration must be in force within seconds; changes of servers are told anyway.
            allows_stale: !facts.is_config && !facts.is_member,
        }
    }
}

/// What to do next.
#[value]
pub enum FeedAction {
    /// Read the whole part.
    Read {
        /// Whether an answer may be seconds old, which costs the store a tenth.
        is_stale: bool,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// Time the store may wait.
        wait: Duration,
    },
    /// Nothing for [`IDLE_TIME`], or until there is news.
    Idle,
}

/// What came of a call.
#[value]
pub enum FeedResult {
    /// The part was read; changes after the revision are not included.
    Read {
        /// The store's revision at the first page.
        revision: u64,
        /// Whether the answer may be seconds old.
        is_stale: bool,
    },
    /// The watch ended, with or without events, at a revision.
    Watched {
        /// The revision to continue from.
        revision: u64,
        /// Whether it brought changes.
        has_changes: bool,
    },
    /// The history after the revision is gone.
    Compacted,
    /// The call failed or was not answered.
    Failed,
}

/// Follows one part of the store.
#[value]
#[derive(Default)]
pub struct FeedFollower {
    revision: Option<u64>,
    failures: u32,
    last_read: Option<Time>,
    /// Whether the last read was a stale one.
    was_stale: bool,
    last_proof: Option<Time>,
    /// When a watch last brought changes.
    last_change: Option<Time>,
}

impl FeedFollower {
    /// The next call and the pause before it.
    pub fn next_action(&self, now: Time, context: &FeedContext) -> (Duration, FeedAction) {
        let pause = match self.failures {
            0 => Duration::ZERO,
            1 => FIRST_PAUSE,
            _ if !context.is_lead => PAUSE_OF_OTHERS,
            count => (FIRST_PAUSE * (1 << (count - 1).min(8))).min(LONGEST_PAUSE),
        };
        let Some(after) = self.revision else {
            return (pause, FeedAction::Read { is_stale: false });
        };
        let may_prove = self.last_proof.is_none_or(|at| now.since(at) >= PROOF_SPACING);
        if self.failures > 0 || (context.needs_proof && may_prove) {
            return (pause, FeedAction::Watch { after, wait: URGENT_WAIT });
        }
        if context.is_lead {
            let since = self.last_change.map_or(WATCH_SPACING, |at| now.since(at));
            let pause = WATCH_SPACING.saturating_sub(since);
            return (pause, FeedAction::Watch { after, wait: context.watch_wait });
        }
        let may_read = self.last_read.is_none_or(|at| now.since(at) >= READ_SPACING);
        if context.is_behind && may_read {
            // A stale answer without the news is followed by an exact one.
            let is_stale = context.allows_stale && !self.was_stale;
            return (pause, FeedAction::Read { is_stale });
        }
        (Duration::ZERO, FeedAction::Idle)
    }

    /// Takes a result. Returns whether the store was lost or regained by it.
    pub fn step(&mut self, now: Time, result: FeedResult) -> Option<bool> {
        let was_lost = self.failures > 0;
        match result {
            FeedResult::Read { revision, is_stale } => {
                // An older answer must not turn a later watch back.
                self.revision = Some(self.revision.unwrap_or(0).max(revision));
                self.last_read = Some(now);
                self.was_stale = is_stale;
                self.failures = 0;
            }
            FeedResult::Watched { revision, has_changes } => {
                self.last_proof = Some(now);
                if has_changes {
                    self.last_change = Some(now);
                }
                self.revision = Some(self.revision.unwrap_or(0).max(revision));
                self.failures = 0;
            }
            FeedResult::Compacted => {
                self.revision = None;
                self.failures = 0;
            }
            // A watch continues after the same revision, so no change is missed.
            FeedResult::Failed => self.failures += 1,
        }
        let is_lost = self.failures > 0;
        (was_lost != is_lost).then_some(is_lost)
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }
}
