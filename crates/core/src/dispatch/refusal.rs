//! Decides why a request is refused and when its caller may come back.

use std::time::Duration;

use super::{DispatchOutput, Dispatcher};
use crate::{
    refusal::Reason,
    time::Time,
    work::{WorkDemand, WorkNumber},
};

/// When a refused request may come back if nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Latest time to come back that is told because of a queue: floods last seconds, and the forecast
/// is no better.
const LAST_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Part of the time to come back over which refused requests spread.
const RETURN_SPREAD: f64 = 0.5;
/// Last rank with a part of its own in that spread.
const LAST_RETURN_RANK: u8 = 3;

impl Dispatcher {
    /// Refuses a request that waits. Its caller may come back when it would be its turn, which is
    /// `turn_ms` from now, and not before a server opens.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        number: WorkNumber,
        service: &str,
        need: &WorkDemand,
        turn_ms: f64,
    ) -> DispatchOutput {
        let work = self.waiting.remove(&number);
        self.work_view.remove(number);
        let excluded = work.map(|work| work.excluded).unwrap_or_default();
        let has_server = self.fleet.usable(now, service).next().is_some();
        let opens_at = self.fleet.opens_at(now, service, &excluded).filter(|_| !has_server);
        let is_served = has_server || opens_at.is_some();
        let reason = if is_served { Reason::Overloaded } else { Reason::NoEngine };
        let opens = opens_at.map_or(Duration::ZERO, |at| at.since(now));
        let turn = Duration::from_secs_f64(turn_ms / 1e3).clamp(RETRY_AFTER, LAST_RETRY_AFTER);
        let retry_after = turn.max(opens).mul_f64(1.0 + return_share(number, need.priority));
        DispatchOutput::Refuse { number, reason, retry_after }
    }
}

/// Part of the time to come back that is added for a refused request: callers return one after the
/// other, those of more urgent ranks first.
fn return_share(number: WorkNumber, priority: u8) -> f64 {
    // Multiples of the golden ratio spread evenly, however many there are.
    let place = (f64::from(number.0) * 0.618_034).fract();
    let rank = f64::from(priority.min(LAST_RETURN_RANK));
    RETURN_SPREAD * (rank + place) / f64::from(LAST_RETURN_RANK + 1)
}
