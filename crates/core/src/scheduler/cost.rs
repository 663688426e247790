//! Cost units, prompt size classes, and exponentially decaying sums and averages.

use std::time::Duration;

use super::WorkItem;
use crate::time::Time;

/// Cost of one generated token. The unit of cost is one prefill token.
pub const DECODE_COST: u64 = 4;
/// Token-seconds of engine memory that cost as much as one prefill token. At this rate, a full
/// engine memory costs about as much per second as a full batch that decodes.
pub const TOKEN_SECONDS_PER_COST: u64 = 100;
/// Inclusive upper bounds of the size classes, in prompt tokens. Longer prompts form the last
/// class.
pub const CLASS_BOUND_TOKENS: [u64; 3] = [2_000, 16_000, 128_000];
/// Number of size classes, including the unbounded last one.
pub const CLASS_COUNT: usize = CLASS_BOUND_TOKENS.len() + 1;
/// Lengths, in tokens, of the prompt prefixes that are hashed into [`WorkItem::prefixes`].
pub const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];

/// Returns the size class of a prompt, from 0 for the shortest to `CLASS_COUNT - 1`.
pub fn size_class(prompt_tokens: u64) -> usize {
    CLASS_BOUND_TOKENS.iter().take_while(|bound| prompt_tokens > **bound).count()
}

/// Returns the KV cache memory that a request can occupy at most: its prompt and all tokens that
/// may still be generated.
pub fn memory_tokens(item: &WorkItem) -> u64 {
    item.prompt_tokens.saturating_add(item.max_tokens)
}

/// Returns the cost of holding `tokens` of engine memory for a time, rounded down.
pub fn memory_cost(tokens: u64, held: Duration) -> u64 {
    (tokens as f64 * held.as_secs_f64() / TOKEN_SECONDS_PER_COST as f64) as u64
}

/// A sum whose amounts decay exponentially: after one `span` an amount counts 1/e of its value.
/// Every call on one sum must pass the same `span`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    at: Time,
}

impl DecayingSum {
    /// Decays the sum to `now`, then adds an amount.
    pub fn add(&mut self, now: Time, span: Duration, amount: f64) {
        self.value = self.get(now, span) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the sum, decayed to `now`.
    pub fn get(&self, now: Time, span: Duration) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / span.as_secs_f64()).exp()
    }
}

/// Updates an exponential moving average with a sample. An average of 0 counts as unset and is
/// replaced by the sample.
pub fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average = if *average == 0.0 { sample } else { *average + weight * (sample - *average) };
}
