//! Decides whether a request may be sent to a backend server once more.
//!
//! Owns this host's share of a limit that holds for all hosts together: in any window, sends beyond
//! the first may be a share of the requests plus a fixed allowance. A host that knows few peers
//! assumes more, so that hosts that cannot talk do not spend the allowance twice.

use std::{collections::VecDeque, time::Duration};

use parsley_macros::value;

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Part of the limit that hosts use; the rest covers restarts, which forget what was spent.
const USED_SHARE: f64 = 0.6;
/// Hosts that are assumed at least.
const MIN_HOSTS: usize = 3;

/// The limit over all hosts.
#[value]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window.
    pub window: Duration,
    /// Repeats that are always allowed.
    pub allowance: f64,
}

/// This host's repeats to one service.
#[value]
pub struct RetryBudget {
    limit: RetryLimit,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryBudget {
    /// Nothing spent.
    pub fn new(limit: RetryLimit) -> RetryBudget {
        RetryBudget { limit, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A request came for the service.
    pub fn record_request(&mut self, now: Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Spends one repeat if this host's share allows it. `hosts` is the largest number of hosts
    /// seen alive at once.
    pub fn try_spend(&mut self, now: Time, hosts: usize) -> bool {
        if self.remaining(now, hosts) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats that are left now.
    pub fn remaining(&mut self, now: Time, hosts: usize) -> f64 {
        self.forget(now);
        let own = self.limit.ratio * self.requests.len() as f64;
        let share = self.limit.allowance / hosts.max(MIN_HOSTS) as f64;
        (own + share) * USED_SHARE - self.repeats.len() as f64
    }

    fn forget(&mut self, now: Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
