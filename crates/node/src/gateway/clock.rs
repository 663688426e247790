//! Clock of the gateway, which also counts the time in suspend.

use parsley_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since boot, including time in suspend.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let micros = at.tv_sec.unsigned_abs() * 1_000_000 + at.tv_nsec.unsigned_abs() / 1_000;
    Time(micros)
}
