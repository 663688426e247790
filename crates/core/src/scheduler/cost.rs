//! Units of cost, size classes, and sums that fade.

use std::time::Duration;

use super::WorkItem;
use crate::time::Time;

/// Cost of one generated token, in prefill tokens.
pub const DECODE_COST: u64 = 4;
/// Token-seconds of engine memory that cost as much as one prefill token. At this rate a full
/// engine memory costs about as much a second as a full batch that decodes.
pub const TOKEN_SECONDS_PER_COST: u64 = 100;
/// Upper bounds of the size classes, in prompt tokens; longer prompts form the last class.
pub const CLASS_BOUND_TOKENS: [u64; 3] = [2_000, 16_000, 128_000];
/// Number of size classes.
pub const CLASS_COUNT: usize = CLASS_BOUND_TOKENS.len() + 1;
/// Lengths, in tokens, of the prefixes whose hashes [`WorkItem::prefixes`] holds.
pub const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];

/// The size class of a prompt; 0 is the shortest.
pub fn size_class(prompt_tokens: u64) -> usize {
    CLASS_BOUND_TOKENS.iter().take_while(|bound| prompt_tokens > **bound).count()
}

/// Engine memory that a request needs, in tokens.
pub fn memory_tokens(item: &WorkItem) -> u64 {
    item.prompt_tokens.saturating_add(item.max_tokens)
}

/// Cost of memory held for a time.
pub fn memory_cost(tokens: u64, held: Duration) -> u64 {
    (tokens as f64 * held.as_secs_f64() / TOKEN_SECONDS_PER_COST as f64) as u64
}

/// A sum in which older amounts count less: after one span an amount counts 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    at: Time,
}

impl DecayingSum {
    /// Adds an amount.
    pub fn add(&mut self, now: Time, span: Duration, amount: f64) {
        self.value = self.get(now, span) + amount;
        self.at = self.at.max(now);
    }

    /// The sum now.
    pub fn get(&self, now: Time, span: Duration) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / span.as_secs_f64()).exp()
    }
}

/// Moves an average towards a sample. The first sample is taken as it is.
pub fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average = if *average == 0.0 { sample } else { *average + weight * (sample - *average) };
}
