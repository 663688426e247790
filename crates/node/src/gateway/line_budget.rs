//! Rate limit of the log lines about single requests, with a separate quota for failures.

use std::{cell::Cell, time::Duration};

use parsley_core::time::Time;

/// Lines per second about successful requests: under 1% of the smallest host's processor share.
const ROUTINE_LINES_PER_SECOND: u32 = 200;
/// Lines per second about failures.
const FAILURE_LINES_PER_SECOND: u32 = 400;
const SECOND: Duration = Duration::from_secs(1);

/// Counts the lines of the current one-second window.
#[derive(Default)]
pub struct LineBudget {
    window_start: Cell<Time>,
    routine: Cell<u32>,
    failures: Cell<u32>,
    dropped: Cell<u64>,
}

impl LineBudget {
    /// Whether a line may be written now. A line that may not is counted as dropped.
    pub fn may_write(&self, now: Time, is_failure: bool) -> bool {
        if now.since(self.window_start.get()) >= SECOND {
            self.window_start.set(now);
            self.routine.set(0);
            self.failures.set(0);
        }
        let (count, limit) = if is_failure {
            (&self.failures, FAILURE_LINES_PER_SECOND)
        } else {
            (&self.routine, ROUTINE_LINES_PER_SECOND)
        };
        if count.get() >= limit {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        count.set(count.get() + 1);
        true
    }

    /// Lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }
}
