//! The end of a host: it leaves the addresses told to callers and finishes what is open.

use std::{rc::Rc, time::Duration};

use async_io::Timer;

use super::{Gateway, beats, clock};
use crate::event;

/// Part of the grace time after which requests that are still open are given up.
const DRAIN_SHARE: f64 = 0.93;
/// Time for which idle connections stay open while the host drains: callers that hold an older
/// answer still use them.
const LINGER_TIME: Duration = Duration::from_millis(2_500);
/// Time between two looks at what is still open.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

impl Gateway {
    /// Leaves the addresses told to callers, finishes what is open and returns at the end of the
    /// grace time at the latest.
    pub async fn drain(self: &Rc<Self>) {
        let start = clock::now();
        let end = start + self.settings.grace.mul_f64(DRAIN_SHARE);
        {
            let mut state = self.state.borrow_mut();
            state.card.is_ready = false;
            state.drain_end = Some(end);
        }
        beats::broadcast_state(self);
        event!(self.log, GATEWAY_DRAINING, "open" => self.open_requests.get(),
            "grace_ms" => self.settings.grace.as_millis() as u64);
        let linger = start + LINGER_TIME;
        while clock::now() < linger {
            Timer::after(DRAIN_POLL_PERIOD).await;
        }
        self.closing.0.borrow_mut().take();
        loop {
            while clock::now() < end && self.has_open_work() {
                Timer::after(DRAIN_POLL_PERIOD).await;
            }
            // The last answers, and requests that crossed the close, are still in the sockets.
            Timer::after(DRAIN_POLL_PERIOD * 3).await;
            if clock::now() >= end || !self.has_open_work() {
                break;
            }
        }
        beats::broadcast_state(self);
        event!(self.log, GATEWAY_STOPPED, "open" => self.open_requests.get());
    }

    /// Whether a request is open or a caller is connected.
    fn has_open_work(&self) -> bool {
        self.open_requests.get() > 0 || self.caller_connections.get() > 0
    }

    /// Time left before the host ends, if it drains.
    pub(super) fn drain_time_left(&self) -> Option<Duration> {
        self.state.borrow().drain_end.map(|end| end.since(clock::now()))
    }
}
