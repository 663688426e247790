//! The time that is passed to every `step`.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use parsley_macros::key;

/// A point in time, in microseconds since an arbitrary origin that is fixed for the life of a
/// process.
///
/// Arithmetic saturates at the limits of the type.
#[key]
#[derive(Default)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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
