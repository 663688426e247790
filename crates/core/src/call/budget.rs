//! Retry budget for calls to idempotent services, so that retries do not overload a failing one.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Sliding window over which first attempts and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed in a window regardless of the number of first attempts.
const MIN_RETRIES: usize = 3;
/// Number of first attempts in a window that allow one more retry.
const FIRST_ATTEMPTS_PER_RETRY: usize = 10;

/// Limits retries to a fraction of first attempts, plus a small constant.
#[derive(Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a first attempt, which is always allowed.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.expire(now);
        self.first_attempts.push_back(now);
    }

    /// Counts a retry and returns true if the budget allows it; otherwise the call must not be
    /// retried.
    pub fn try_retry(&mut self, now: Time) -> bool {
        self.expire(now);
        let is_allowed =
            self.retries.len() < MIN_RETRIES + self.first_attempts.len() / FIRST_ATTEMPTS_PER_RETRY;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Drops what is older than the window.
    fn expire(&mut self, now: Time) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) >= WINDOW) {
                times.pop_front();
            }
        }
    }
}
