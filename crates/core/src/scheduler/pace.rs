//! Throughput meters: the prefill rate of one engine, and the cost that the pool spends per second.

use std::time::Duration;

use super::cost::update_average;
use crate::time::Time;

/// Busy periods with fewer prompt tokens measure the latency of one engine step rather than the
/// prefill rate.
const MIN_PERIOD_TOKENS: f64 = 4_000.0;
/// Prompt tokens at which a busy period gets the same weight as the average of all earlier ones.
const HALF_WEIGHT_TOKENS: f64 = 40_000.0;
/// Prompts of at least this length yield a rate sample of their own, because at usual step sizes
/// they take several engine steps.
const MIN_PROMPT_TOKENS: f64 = 16_000.0;
/// Weights of a single prompt's rate above and below the average. Samples below it count little: a
/// prompt that shares its engine with others shows less than the engine's rate.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.01;
/// Shortest interval over which the pool's throughput is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Measures the prefill throughput of one engine from the times of dispatches and first tokens. A
/// busy period from idle to idle gives an exact rate. An engine that is never idle is measured by
/// its long prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillMeter {
    busy_since: Option<Time>,
    processed_tokens: f64,
    step_seconds: f64,
    rate: f64,
}

impl PrefillMeter {
    /// Starts a busy period, unless one is in progress, when a prompt is sent.
    pub fn prompt_sent(&mut self, now: Time) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that the engine processed `tokens` of a prompt that was sent at `sent`.
    pub fn prompt_processed(&mut self, now: Time, sent: Time, tokens: u64) {
        let tokens = tokens as f64;
        self.processed_tokens += tokens;
        let span = now.since(sent).as_secs_f64();
        if tokens >= MIN_PROMPT_TOKENS && span > 0.0 {
            let sample = tokens / span;
            let weight = if sample > self.rate { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            update_average(&mut self.rate, sample, weight);
        }
    }

    /// Ends the busy period when no prompt is in prefill, and takes a sample from it.
    pub fn became_idle(&mut self, now: Time) {
        let Some(from) = self.busy_since.take() else { return };
        let seconds = now.since(from).as_secs_f64();
        let tokens = std::mem::take(&mut self.processed_tokens);
        if tokens == 0.0 || seconds == 0.0 {
            return;
        }
        if tokens < MIN_PERIOD_TOKENS {
            return update_average(&mut self.step_seconds, seconds, 0.1);
        }
        let seconds = (seconds - self.step_seconds).max(seconds * 0.5);
        update_average(&mut self.rate, tokens / seconds, tokens / (tokens + HALF_WEIGHT_TOKENS));
    }

    /// Returns the prefill rate in tokens per second, or `None` before the first sample.
    pub fn rate(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
    }

    /// Returns the average latency of short busy periods, in seconds; 0 before the first sample.
    pub fn step_seconds(&self) -> f64 {
        self.step_seconds
    }
}

/// Measures the cost that the pool spends per second while it is saturated.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostMeter {
    spent_cost: f64,
    sampled_at: Time,
    was_idle: bool,
    rate: f64,
}

impl CostMeter {
    /// Adds cost that was spent.
    pub fn add_cost(&mut self, cost: u64) {
        self.spent_cost += cost as f64;
    }

    /// Takes a sample once per interval. `backlogged` tells whether requests are queued.
    pub fn observe(&mut self, now: Time, backlogged: bool) {
        self.was_idle |= !backlogged;
        let span = now.since(self.sampled_at);
        if span < SAMPLE_INTERVAL {
            return;
        }
        let sample = self.spent_cost / span.as_secs_f64();
        // Without a backlog the sample measures the demand, a lower bound of the throughput.
        if !self.was_idle || sample > self.rate {
            update_average(&mut self.rate, sample, 0.2);
        }
        *self =
            CostMeter { spent_cost: 0.0, sampled_at: now, was_idle: !backlogged, rate: self.rate };
    }

    /// Returns the cost per second; 0 before the first sample.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
