//! The time base handed to every `step`.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use parsley_macros::key;

/// Microseconds since an arbitrary start that is fixed for the life of a process.
#[key]
#[derive(Default)]
pub struct Time(pub u64);

impl Time {
    /// The start of the time base.
    pub const ZERO: Time = Time(0);

    /// Time elapsed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}
