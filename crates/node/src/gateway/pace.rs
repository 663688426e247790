//! Pace at which event streams are read, so that one without end leaves time for other requests.

use std::time::Duration;

use parsley_core::time::Time;

/// Cost of handling one event, in bytes that cost as much.
const EVENT_COST: usize = 128;
/// Cost that all open requests together may cause in a second: some tens of thousands of events.
const COST_PER_SECOND: usize = 8 << 20;
/// Least cost per second that a stream may always cause, some ten times that of a fast engine.
const MIN_STREAM_COST: usize = 128 << 10;
/// Cost that a stream may cause at once, such as a whole answer that its engine had ready.
const BURST_COST: usize = 128 << 10;

/// Token bucket of one stream.
pub struct StreamPace {
    /// Time up to which the cost so far is paid for.
    paid_until: Time,
}

impl StreamPace {
    /// Creates a full bucket.
    pub fn new(now: Time) -> StreamPace {
        StreamPace { paid_until: now }
    }

    /// Cost of events of this total length.
    pub fn cost(bytes: usize, events: usize) -> usize {
        bytes + events * EVENT_COST
    }

    /// Records a cost, with `open` requests on this host. Returns the time to wait before the next
    /// read.
    pub fn record(&mut self, now: Time, cost: usize, open: usize) -> Duration {
        let rate = (COST_PER_SECOND / open.max(1)).max(MIN_STREAM_COST) as f64;
        let burst = Duration::from_secs_f64(BURST_COST as f64 / rate);
        let paid = Duration::from_secs_f64(cost as f64 / rate);
        self.paid_until = self.paid_until.max(now) + paid;
        self.paid_until.since(now + burst)
    }
}
