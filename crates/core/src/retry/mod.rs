//! Retry budget: bounds how often requests are sent to a backend server again.
//!
//! Owns this host's share of a limit over all hosts: in any window, retries may not exceed a
//! fraction of the requests plus a fixed allowance. The fraction needs no agreement, as each host
//! counts its own requests. The allowance is divided by the number of hosts that share it
//! ([`crate::roster::PeerRoster::sharing_hosts`]), which does not depend on who hears whom.

use std::{collections::VecDeque, time::Duration};

use parsley_macros::value;

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Fraction of the limit that hosts use. The rest is for processes that have just started.
const USED_SHARE: f64 = 0.6;
/// Fewest hosts among which the allowance is divided.
const MIN_HOSTS: usize = 3;

/// Retry limit over all hosts together.
#[value]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in a window whatever the number of requests.
    pub allowance: f64,
}

/// This host's retry budget for one service.
#[value]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Start of the process.
    started: Time,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(limit: RetryLimit, started: Time) -> RetryBudget {
        RetryBudget { limit, started, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts a retry if this host's share allows it, and returns whether it does. `hosts` is the
    /// number of hosts that share the allowance.
    pub fn try_spend(&mut self, now: Time, hosts: usize) -> bool {
        if self.remaining(now, hosts) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries that this host may still make now; negative if requests have left the window since.
    pub fn remaining(&mut self, now: Time, hosts: usize) -> f64 {
        self.expire(now);
        let earned = self.limit.ratio * self.requests.len() as f64;
        let share = self.limit.allowance / hosts.max(MIN_HOSTS) as f64;
        // In the window of its start, the process before this one may have used its share too.
        let is_first_window = now.since(self.started) < self.limit.window;
        let used_share = if is_first_window { 1.0 - USED_SHARE } else { USED_SHARE };
        earned * USED_SHARE + share * used_share - self.retries.len() as f64
    }

    fn expire(&mut self, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.limit.window) {
                times.pop_front();
            }
        }
    }
}
