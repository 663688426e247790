//! Clock of the gateway, which also counts the time in suspend, and time limits.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use parsley_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since boot, including time in suspend.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let micros = at.tv_sec.unsigned_abs() * 1_000_000 + at.tv_nsec.unsigned_abs() / 1_000;
    Time(micros)
}

/// Runs a future for at most `limit`; `None` if it did not finish. Without time left it is not run
/// at all, so that a loop over input that is always ready ends.
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    if limit.is_zero() {
        return None;
    }
    let work = async { Some(work.await) };
    let end = async {
        Timer::after(limit).await;
        None
    };
    work.or(end).await
}
