//! Measured throughputs: the prefill of an engine, and the cost that the pool spends.

use std::time::Duration;

use super::cost::update_average;
use crate::time::Time;

/// Stretches with fewer tokens tell the latency of a step, not the rate.
const MIN_RATE_TOKENS: f64 = 4_000.0;
/// Tokens of a stretch that weigh as much as the average of all earlier ones.
const HALF_WEIGHT_TOKENS: f64 = 40_000.0;
/// Prompts from this length on tell a rate by themselves: several steps long at usual step sizes.
const MIN_PROMPT_TOKENS: f64 = 16_000.0;
/// Weights of a prompt's own rate above and below the average. A prompt that shares its engine with
/// others shows less than the engine's rate.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.01;
/// Interval over which the pool's throughput is sampled.
const POOL_INTERVAL: Duration = Duration::from_millis(500);

/// Prefill throughput of one engine, from the time between dispatch and first token. Stretches from
/// idle to idle are exact; while an engine is never idle, long prompts are used.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillPace {
    busy_from: Option<Time>,
    confirmed: f64,
    step_seconds: f64,
    rate: f64,
}

impl PrefillPace {
    /// Notes that a prompt was sent.
    pub fn begin(&mut self, now: Time) {
        self.busy_from.get_or_insert(now);
    }

    /// Notes that a prompt that was sent at a time was processed.
    pub fn confirm(&mut self, now: Time, sent: Time, tokens: u64) {
        let tokens = tokens as f64;
        self.confirmed += tokens;
        let span = now.since(sent).as_secs_f64();
        if tokens >= MIN_PROMPT_TOKENS && span > 0.0 {
            let sample = tokens / span;
            let weight = if sample > self.rate { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            update_average(&mut self.rate, sample, weight);
        }
    }

    /// Notes that no prompt is left.
    pub fn end(&mut self, now: Time) {
        let Some(from) = self.busy_from.take() else { return };
        let seconds = now.since(from).as_secs_f64();
        let tokens = std::mem::take(&mut self.confirmed);
        if tokens == 0.0 || seconds == 0.0 {
            return;
        }
        if tokens < MIN_RATE_TOKENS {
            return update_average(&mut self.step_seconds, seconds, 0.1);
        }
        let seconds = (seconds - self.step_seconds).max(seconds * 0.5);
        update_average(&mut self.rate, tokens / seconds, tokens / (tokens + HALF_WEIGHT_TOKENS));
    }

    /// Tokens a second, once known.
    pub fn rate(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
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
            update_average(&mut self.rate, sample, 0.2);
        }
        *self = PoolPace { spent: 0.0, since: now, was_idle: !backlogged, rate: self.rate };
    }

    /// Cost a second; 0 until known.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
