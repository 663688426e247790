//! Measured throughputs: the prefill of an engine, and the cost that the pool spends.

use std::time::Duration;

use super::cost::blend;
use crate::time::Time;

/// Longest stretch of prefill that forms one sample.
const SAMPLE_LIMIT: Duration = Duration::from_secs(2);
/// Stretches with fewer tokens tell the latency of a step, not the rate.
const MIN_RATE_TOKENS: f64 = 4_000.0;
/// Weight that earlier samples keep when a new one arrives.
const KEEP: f64 = 0.9;
/// Interval over which the pool's throughput is sampled.
const POOL_INTERVAL: Duration = Duration::from_millis(500);

/// Prefill throughput of one engine, from the time between dispatch and first token.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillPace {
    busy_from: Option<Time>,
    confirmed: f64,
    step_seconds: f64,
    tokens: f64,
    seconds: f64,
}

impl PrefillPace {
    /// Notes that a prompt was sent.
    pub fn begin(&mut self, now: Time) {
        self.busy_from.get_or_insert(now);
    }

    /// Notes that a prompt was processed, and whether none is left.
    pub fn confirm(&mut self, now: Time, tokens: u64, idle: bool) {
        let Some(from) = self.busy_from else { return };
        self.confirmed += tokens as f64;
        let span = now.since(from);
        if idle || span >= SAMPLE_LIMIT {
            self.sample(self.confirmed, span.as_secs_f64());
            self.confirmed = 0.0;
            self.busy_from = if idle { None } else { Some(now) };
        }
    }

    fn sample(&mut self, tokens: f64, seconds: f64) {
        if tokens == 0.0 {
            return;
        }
        if tokens < MIN_RATE_TOKENS {
            return blend(&mut self.step_seconds, seconds, 0.1);
        }
        self.tokens = self.tokens * KEEP + tokens;
        self.seconds = self.seconds * KEEP + (seconds - self.step_seconds).max(seconds * 0.2);
    }

    /// Tokens a second, once known.
    pub fn rate(&self) -> Option<f64> {
        (self.seconds > 0.0).then(|| self.tokens / self.seconds)
    }

    /// Latency of a prompt of few tokens, in seconds; 0 until known.
    pub fn step_seconds(&self) -> f64 {
        self.step_seconds
    }
}

/// Cost that the pool spends a second when it has enough to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolPace {
    spent: f64,
    since: Time,
    was_idle: bool,
    rate: f64,
}

impl PoolPace {
    /// Notes cost that was spent.
    pub fn spend(&mut self, cost: u64) {
        self.spent += cost as f64;
    }

    /// Notes whether requests wait in the queue.
    pub fn observe(&mut self, now: Time, backlogged: bool) {
        self.was_idle |= !backlogged;
        let span = now.since(self.since);
        if span < POOL_INTERVAL {
            return;
        }
        let sample = self.spent / span.as_secs_f64();
        // While nothing waits, what is spent shows the demand, a lower bound of the throughput.
        if !self.was_idle || sample > self.rate {
            blend(&mut self.rate, sample, 0.2);
        }
        *self = PoolPace { spent: 0.0, since: now, was_idle: !backlogged, rate: self.rate };
    }

    /// Cost a second; 0 until known.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
