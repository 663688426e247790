//! Decides when a request leaves a silent server for another one.

use std::{cell::Cell, pin::Pin, time::Duration};

use parsley_core::{fleet::EngineTag, time::Time};

use super::{
    clock::{self, with_timeout},
    exchange::Exchange,
};

/// Interval of the checks for another server with room, while the current one is silent.
const PLACE_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Decides whether a request is sent to another server when its current one is silent. The current
/// server is abandoned only after a retry is granted, because it may still answer.
pub struct RetryPermit<'a> {
    /// Request to retry.
    pub exchange: &'a Exchange,
    /// Servers that were tried, including the current one.
    pub tried: &'a [EngineTag],
    /// Whether another send is allowed: set from the route's rules, cleared when a retry is
    /// refused.
    pub may_retry: Cell<bool>,
    /// Whether a retry was granted and charged to the retry budget.
    pub is_granted: Cell<bool>,
    /// When to look again for a server with room, after one was not found.
    pub next_check: Cell<Time>,
}

impl RetryPermit<'_> {
    /// Requests a retry. While no other server has room, the caller waits for the current one until
    /// [`RetryPermit::next_check`]; after a refusal, until the deadline.
    pub fn acquire(&self) -> bool {
        let exchange = self.exchange;
        if self.may_retry.get() && !exchange.has_place_elsewhere(self.tried) {
            self.next_check.set(clock::now() + PLACE_CHECK_PERIOD);
            return false;
        }
        let is_granted = self.may_retry.get() && exchange.gateway.spend_retry(&exchange.service);
        self.may_retry.set(is_granted);
        self.is_granted.set(is_granted);
        is_granted
    }

    /// Waits for the current server for `limit`, and beyond it until a retry is granted or the
    /// deadline has passed; `None` in both of these cases.
    pub async fn wait<T>(
        &self,
        limit: Duration,
        mut work: Pin<&mut impl Future<Output = T>>,
    ) -> Option<T> {
        let mut limit = limit;
        loop {
            let left = self.exchange.time_left();
            let result = with_timeout(limit.min(left), work.as_mut()).await;
            let is_over = self.exchange.time_left().is_zero();
            if result.is_some() || is_over || self.acquire() {
                return result;
            }
            limit = if self.may_retry.get() { PLACE_CHECK_PERIOD } else { left };
        }
    }
}
