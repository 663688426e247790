//! How long a caller may leave its response unread.
//!
//! What a socket accepts tells little: its buffer and that of the caller's machine take bytes that
//! nobody reads. Both are full once a write finds no room, and a later write then shows that the
//! caller reads.

use std::time::Duration;

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Time after the deadline for which a caller that has read nothing keeps its connection. Three
/// lost packets in a row delay an acknowledgement by 1.4 s.
pub const UNREAD_GRACE: Duration = Duration::from_secs(2);
/// Time within which the buffers between a host and its caller fill after the first write that
/// found no room.
const FILL_TIME: Duration = Duration::from_secs(1);

/// Watches whether a caller reads the response that it is being sent.
#[derive(Clone, Copy, Debug)]
pub struct ReaderWatch {
    deadline: Time,
    idle_limit: Duration,
    /// When a write first found no room.
    first_blocked: Option<Time>,
    has_read: bool,
}

impl ReaderWatch {
    /// Begins with a response due at `deadline`, on a connection that may be idle for `idle_limit`.
    pub fn new(deadline: Time, idle_limit: Duration) -> ReaderWatch {
        ReaderWatch { deadline, idle_limit, first_blocked: None, has_read: false }
    }

    /// Records that a write found no room. Returns whether it is the first one, from which on the
    /// limit counts: the buffers of a long stream may fill shortly before its deadline.
    pub fn record_blocked(&mut self, now: Time) -> bool {
        let is_first = self.first_blocked.is_none();
        self.first_blocked.get_or_insert(now);
        is_first
    }

    /// Records that bytes were written. Returns whether this shows for the first time that the
    /// caller reads.
    pub fn record_written(&mut self, now: Time) -> bool {
        let is_read = self.first_blocked.is_some_and(|since| now.since(since) > FILL_TIME);
        let is_first = is_read && !self.has_read;
        self.has_read |= is_read;
        is_first
    }

    /// Longest time without a byte read, from now on, after which the connection ends. A caller
    /// that has read something may pause for as long as a connection may be idle.
    pub fn unread_limit(&self, now: Time) -> Duration {
        let left = self.deadline.since(now) + UNREAD_GRACE;
        if self.has_read { left.max(self.idle_limit) } else { left }
    }
}
