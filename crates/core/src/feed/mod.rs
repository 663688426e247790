//! Decides how one part of the store is followed: read it, watch it, read it again.
//!
//! Owns the revision up to which the part is known and whether the store answers. Its driver makes
//! the calls. When the store stops answering, calls are repeated at growing intervals, and a
//! connection that went silent is given up after a bounded time.

use std::time::Duration;

use parsley_macros::value;

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Time for which a watch waits at the store. Its end also proves that the store still answers, so
/// it stays below the time in which a change must be in force.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which a watch waits when its end is needed as a proof.
const URGENT_WAIT: Duration = Duration::from_millis(30);
/// Time beyond the wait after which a call counts as lost.
pub const CALL_LIMIT: Duration = Duration::from_millis(700);
/// First and longest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What to do next.
#[value]
pub enum FeedAction {
    /// Read the whole part.
    Read,
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// Time the store may wait.
        wait: Duration,
    },
}

impl FeedAction {
    /// Whether the call is given up when a peer knows something newer. A read already brings it.
    pub fn yields_to_news(&self) -> bool {
        matches!(self, FeedAction::Watch { .. })
    }
}

/// What came of a call.
#[value]
pub enum FeedResult {
    /// The part was read; changes after the revision are not included.
    Read {
        /// The store's revision at the first page.
        revision: u64,
    },
    /// The watch ended, with or without events, at a revision.
    Watched {
        /// The revision to continue from.
        revision: u64,
    },
    /// The history after the revision is gone.
    Compacted,
    /// The call failed or was not answered.
    Failed,
}

/// Follows one part of the store.
#[value]
pub struct FeedFollower {
    revision: Option<u64>,
    failures: u32,
    regained: Option<Time>,
}

impl Default for FeedFollower {
    fn default() -> FeedFollower {
        FeedFollower { revision: None, failures: 0, regained: None }
    }
}

impl FeedFollower {
    /// The next call and the pause before it. `is_urgent`: a proof that nothing changed is wanted
    /// soon.
    pub fn next(&self, is_urgent: bool) -> (Duration, FeedAction) {
        let pause = match self.failures {
            0 => Duration::ZERO,
            count => (FIRST_PAUSE * (1 << (count - 1).min(4))).min(LONGEST_PAUSE),
        };
        let action = match self.revision {
            Some(after) => {
                let wait = if is_urgent { URGENT_WAIT } else { WATCH_WAIT };
                FeedAction::Watch { after, wait }
            }
            None => FeedAction::Read,
        };
        (pause, action)
    }

    /// Takes a result. Returns whether the store was lost or regained by it.
    pub fn step(&mut self, now: Time, result: FeedResult) -> Option<bool> {
        let was_lost = self.failures > 0;
        match result {
            FeedResult::Read { revision } | FeedResult::Watched { revision } => {
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
        if was_lost && !is_lost {
            self.regained = Some(now);
        }
        (was_lost != is_lost).then_some(is_lost)
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Reads the whole part next.
    pub fn read_again(&mut self) {
        self.revision = None;
    }
}
