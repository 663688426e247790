//! Chooses the reason and the `Retry-After` of a refused request.

use std::time::Duration;

use super::{DispatchOutput, Dispatcher};
use crate::{
    refusal::Reason,
    time::Time,
    work::{WorkDemand, WorkNumber},
};

/// Shortest `Retry-After`, also used when no better estimate exists.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest `Retry-After` derived from the queueing delay. Overloads last seconds, and the forecast
/// is no more precise than that.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// `Retry-After` while all failure domains of a service are evacuated, which operators end by hand.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Largest jitter added to `Retry-After`, as a fraction of it.
const RETRY_JITTER: f64 = 0.5;
/// Least urgent rank with a jitter band of its own; ranks below share it.
const MAX_JITTER_RANK: u8 = 3;

impl Dispatcher {
    /// Refuses a request that other hosts may serve in time, because this one stops before.
    /// `Retry-After` only spreads the callers, more urgent ranks first.
    pub(super) fn return_to_peers(
        &mut self,
        number: WorkNumber,
        demand: &WorkDemand,
    ) -> DispatchOutput {
        self.waiting.remove(&number);
        self.work_view.remove(number);
        DispatchOutput::Refuse {
            number,
            reason: Reason::Draining,
            retry_after: MIN_RETRY_AFTER.mul_f64(jitter_fraction(number, demand.priority)),
            is_limited: false,
        }
    }

    /// Refuses a waiting request. `Retry-After` covers the expected queueing delay, and the end of
    /// the pause if all servers of the service are paused. If all of them limit the rate of requests,
    /// it is the caller's turn at that rate.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        number: WorkNumber,
        service: &str,
        demand: &WorkDemand,
        queue_delay_ms: f64,
    ) -> DispatchOutput {
        let work = self.waiting.remove(&number);
        if let (Some(work), Some(entry)) = (&work, self.work_view.get(number)) {
            self.audit.record(now, work, entry);
        }
        self.work_view.remove(number);
        let excluded = work.map(|work| work.excluded).unwrap_or_default();
        let has_usable = self.fleet.usable(now, service).next().is_some();
        let pause_end = self.fleet.next_pause_end(now, service, &excluded).filter(|_| !has_usable);
        let (reason, pause_left) = match pause_end {
            _ if self.fleet.is_evacuated(service) => (Reason::Evacuated, EVACUATED_RETRY_AFTER),
            Some(at) => (Reason::Overloaded, at.since(now)),
            None if has_usable => (Reason::Overloaded, Duration::ZERO),
            None => (Reason::NoEngine, Duration::ZERO),
        };
        let delay =
            Duration::from_secs_f64(queue_delay_ms / 1e3).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let retry_after =
            delay.max(pause_left).mul_f64(1.0 + jitter_fraction(number, demand.priority));
        let return_delay = self.return_delay(now, service, demand, &excluded);
        DispatchOutput::Refuse {
            number,
            reason,
            retry_after: return_delay.unwrap_or(retry_after),
            is_limited: return_delay.is_some(),
        }
    }
}

/// Jitter of a refused request's `Retry-After`, as a fraction of it. It spreads the retries evenly,
/// in one band per rank, so that more urgent ranks retry first.
fn jitter_fraction(number: WorkNumber, priority: u8) -> f64 {
    // Fractional parts of multiples of the golden ratio are evenly distributed for any count.
    let position = (f64::from(number.0) * 0.618_034).fract();
    let rank = f64::from(priority.min(MAX_JITTER_RANK));
    RETRY_JITTER * (rank + position) / f64::from(MAX_JITTER_RANK + 1)
}
