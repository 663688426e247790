//! Graceful shutdown: withdraws the host from discovery and ends open requests.

use std::{rc::Rc, time::Duration};

use async_io::Timer;
use parsley_core::{
    dispatch::DispatchInput,
    refusal::{Outcome, Reason, Refusal},
    roster::ADDRESS_LIFETIME,
    time::Time,
};

use super::{
    Gateway, beats, clock,
    exchange::{RequestEnd, RequestProgress},
};
use crate::event;

/// Share of the grace time after which requests that are still open are abandoned.
const DRAIN_SHARE: f64 = 0.93;
/// Share of the grace time after which the process ends, even if callers have not received the
/// responses to abandoned requests.
const END_SHARE: f64 = 0.97;
/// Least time before the end of the grace time at which open requests are abandoned, and at which
/// the process ends. Delays of scheduling do not shrink with the grace time: beside six busy
/// processes, hosts with a grace time of 2 s ended up to 54 ms late.
const LEAST_MARGINS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(150));
/// Time after the lifetime of a resolved address for which connections are still accepted.
const LINGER_MARGIN: Duration = Duration::from_millis(500);
/// Share of the time for draining after which no more connections are accepted, so that accepted
/// requests can be finished.
const MAX_LINGER_SHARE: f64 = 0.4;
/// Interval of the checks for open work.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

impl Gateway {
    /// Withdraws the host from discovery and finishes open requests. What cannot be finished is
    /// refused. Returns within the grace time.
    pub async fn drain(self: &Rc<Self>) {
        let start = clock::now();
        let end = start + time_within(self.settings.grace, DRAIN_SHARE, LEAST_MARGINS.0);
        self.state.borrow_mut().host_info.is_ready = false;
        event!(self.log, GATEWAY_DRAINING, "open" => self.open_requests.get(),
            "grace_ms" => self.settings.grace.as_millis() as u64);
        self.dispatch(DispatchInput::Drain { end });
        beats::broadcast_state(self);
        // Callers may use a resolved address until its lifetime ends.
        let drain_time = end.since(start);
        let linger =
            start + (ADDRESS_LIFETIME + LINGER_MARGIN).min(drain_time.mul_f64(MAX_LINGER_SHARE));
        while clock::now() < linger {
            Timer::after(DRAIN_POLL_PERIOD).await;
        }
        self.closing.0.borrow_mut().take();
        self.wait_for_open_work(end).await;
        let open = self.open_requests.get();
        let waiting = self.state.borrow().dispatcher.waiting_count();
        self.drain_over.0.borrow_mut().take();
        let limit = time_within(self.settings.grace, END_SHARE, LEAST_MARGINS.1);
        self.wait_for_open_work(start + limit).await;
        beats::broadcast_state(self);
        event!(self.log, GATEWAY_STOPPED, "open" => open, "waiting" => waiting as u64);
    }

    /// Waits until nothing is open, or until `end`.
    async fn wait_for_open_work(&self, end: Time) {
        loop {
            while clock::now() < end && self.has_open_work() {
                Timer::after(DRAIN_POLL_PERIOD).await;
            }
            if clock::now() >= end {
                return;
            }
            // Responses, and requests that crossed the close, may still be in socket buffers.
            Timer::after(DRAIN_POLL_PERIOD * 3).await;
            if !self.has_open_work() {
                return;
            }
        }
    }

    /// Whether a request is open, a caller is connected or a peer's connection is relayed.
    fn has_open_work(&self) -> bool {
        self.open_requests.get() > 0
            || self.caller_connections.get() > 0
            || self.open_relays.get() > 0
    }

    /// Time left until open requests are abandoned; `None` if the host is not draining.
    pub(super) fn drain_time_left(&self) -> Option<Duration> {
        let end = self.state.borrow().dispatcher.drain_end();
        end.map(|end| end.since(clock::now()))
    }

    /// Refusal of a request that no server has been sent. `delay` is added to the time in which
    /// another host can take it.
    pub(super) fn drain_refusal(&self, delay: Duration) -> Refusal {
        Refusal::not_run(Reason::Draining, "this host stops")
            .retry_after(self.peer_retry_after() + delay)
    }

    /// End of a request that is still open when the host stops.
    pub(super) fn abandoned_end(&self, progress: &RequestProgress) -> RequestEnd {
        let mut refusal = self.drain_refusal(Duration::ZERO);
        if progress.may_have_run.get() {
            refusal.outcome = Outcome::Unknown;
            refusal.retry_after = None;
        }
        match progress.has_started.get() {
            true => RequestEnd::Interrupted(refusal),
            false => RequestEnd::Refused(refusal),
        }
    }
}

/// Returns a share of the grace time that leaves at least `margin` of it, or half of it if it is
/// shorter than twice the margin.
fn time_within(grace: Duration, share: f64, margin: Duration) -> Duration {
    grace.mul_f64(share).min(grace - margin.min(grace / 2))
}
