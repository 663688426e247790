//! Lease of engine memory for one request: when it is renewed, and when it is given up.
//!
//! [`MemoryLease`] owns the times of one reservation on one engine. Engines end a reservation by
//! themselves when its term is over, so memory is free soon after a host died. A live host renews
//! the term, but its request may wait for as long as its caller does: in the queue of an engine, or
//! for an engine that is silent. A lease therefore outlives the limit on unused memory only if the
//! engine reports that a request uses it.

use std::time::Duration;

use parsley_macros::value;

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Fraction of the limits on reservations that are used. The rest is for orders under way.
const USED_SHARE: f64 = 0.8;
/// Renewals in one term, of which all but one may get lost.
const RENEWALS_PER_TERM: u32 = 3;

/// Longest time after which an engine carries out an order that it did not answer.
const LATE_ORDER_TIME: Duration = Duration::from_secs(12);

/// Limits of a deployment on memory reservations.
#[value]
#[derive(Copy)]
pub struct ReservationLimits {
    /// Time after the end of a request after which its memory counts as leaked.
    pub release_limit: Duration,
    /// Longest term that engines accept.
    pub longest_term: Duration,
    /// Time after which memory counts as stuck that no request has used.
    pub idle_limit: Duration,
}

impl ReservationLimits {
    /// Returns the term of a reservation, after which engines release it unless it is renewed.
    pub fn term(&self) -> Duration {
        self.release_limit.min(self.longest_term).mul_f64(USED_SHARE)
    }

    fn renewal_period(&self) -> Duration {
        self.term() / RENEWALS_PER_TERM
    }

    /// Returns the time after which memory must be free again if no request has used it.
    fn idle_time(&self) -> Duration {
        self.idle_limit.mul_f64(USED_SHARE)
    }
}

/// What the holder of a lease does next.
#[value]
pub enum LeaseAction {
    /// Nothing before this time.
    Wait(Time),
    /// Reserve the memory for another term.
    Renew,
    /// Ask the engine whether a request uses the memory, and record the answer.
    Inspect,
    /// Release the memory and end its request, which cannot run without it.
    GiveUp,
}

/// Lease of one engine's memory for one request.
#[value]
pub struct MemoryLease {
    limits: ReservationLimits,
    /// When the memory was reserved, or last seen in use.
    idle_since: Time,
    /// When the last term that was requested ends.
    term_end: Time,
    /// When the next action is due.
    due: Time,
    /// Whether the request runs, which it does until its end.
    is_running: bool,
    is_given_up: bool,
    /// When an order was last sent whose answer is still out.
    sent: Option<Time>,
    /// When the last of the orders before it was sent that remained without an answer.
    unanswered: Option<Time>,
}

impl MemoryLease {
    /// Creates the lease of memory that is reserved at `now`.
    pub fn new(now: Time, limits: ReservationLimits) -> MemoryLease {
        let term_end = now + limits.term();
        let due = now + limits.renewal_period();
        MemoryLease {
            limits,
            idle_since: now,
            term_end,
            due,
            is_running: false,
            is_given_up: false,
            sent: None,
            unanswered: None,
        }
    }

    /// Records the first event of the request, which uses the memory until it ends.
    pub fn note_running(&mut self) {
        self.is_running = true;
        if self.is_given_up {
            // Its term is about to end.
            self.is_given_up = false;
            self.due = Time::ZERO;
        }
    }

    /// Returns the next action.
    pub fn step(&mut self, now: Time) -> LeaseAction {
        if self.is_given_up {
            return LeaseAction::GiveUp;
        }
        if now < self.due {
            return LeaseAction::Wait(self.due);
        }
        let term_end = now + self.limits.term();
        if !self.is_running && term_end > self.idle_since + self.limits.idle_time() {
            return LeaseAction::Inspect;
        }
        self.term_end = term_end;
        self.due = now + self.limits.renewal_period();
        LeaseAction::Renew
    }

    /// Records whether a request uses the memory; `None` if the engine did not tell. Without use,
    /// the lease is given up when its term would end before the next inspection.
    pub fn record_inspection(&mut self, now: Time, is_used: Option<bool>) {
        if is_used == Some(true) {
            self.idle_since = now;
            return;
        }
        self.due = now + self.limits.renewal_period();
        self.is_given_up = self.due >= self.term_end;
    }

    /// Records that an order to reserve is sent. Without an answer, the engine may carry it out
    /// later.
    pub fn note_sent(&mut self, now: Time) {
        self.unanswered = self.sent.or(self.unanswered);
        self.sent = Some(now);
    }

    /// Records that the last order was answered.
    pub fn note_answered(&mut self) {
        self.sent = None;
    }

    /// Ends the lease. Returns when to release the memory: now, and repeatedly while an order may
    /// still be carried out that sets it aside again.
    pub fn close(self, now: Time) -> Vec<Time> {
        let late_until = self.sent.or(self.unanswered).map_or(now, |at| at + LATE_ORDER_TIME);
        let period = self.limits.renewal_period().max(Duration::from_millis(1));
        let count = late_until.since(now).div_duration_f64(period).ceil() as u32;
        (0..=count).map(|number| now + period * number).collect()
    }
}
