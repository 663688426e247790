//! Bounds the retries of calls to repeatable services, so that a failing service is not flooded.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Time over which first tries and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed whatever the number of first tries.
const FREE_RETRIES: usize = 3;
/// First tries for each retry beyond that.
const FIRST_PER_RETRY: usize = 10;

/// Counts first tries and retries.
#[derive(Default)]
pub struct RetryBudget {
    first: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.forget(now);
        self.first.push_back(now);
    }

    /// Counts a retry if the budget allows it. Returns whether it does.
    pub fn try_retry(&mut self, now: Time) -> bool {
        self.forget(now);
        let is_allowed = self.retries.len() < FREE_RETRIES + self.first.len() / FIRST_PER_RETRY;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn forget(&mut self, now: Time) {
        for times in [&mut self.first, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) >= WINDOW) {
                times.pop_front();
            }
        }
    }
}
