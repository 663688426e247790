//! Percentiles, medians and spreads of samples.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use super::{LoadSample, SampleEnd};

/// Upper end of prompt lengths called short, in tokens.
pub const SHORT_TOKENS: u64 = 2_000;

/// Times to the first token of the samples that a filter selects.
pub fn first_tokens(
    samples: &[LoadSample],
    select: impl Fn(&LoadSample) -> bool,
) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for sample in samples.iter().filter(|sample| select(sample)) {
        if let Some(span) = sample.first_token {
            histogram.record(span.as_micros() as u64).expect("the histogram grows");
        }
    }
    histogram
}

/// A percentile in milliseconds.
pub fn percentile_ms(histogram: &Histogram<u64>, percent: f64) -> f64 {
    histogram.value_at_percentile(percent) as f64 / 1000.0
}

/// Number of samples by how they ended.
pub fn ends(samples: &[LoadSample]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sample in samples {
        let name = match &sample.end {
            SampleEnd::Complete => "complete".to_owned(),
            SampleEnd::Refused(reason) => format!("refused: {reason}"),
            SampleEnd::Wrong => "wrong".to_owned(),
            SampleEnd::Lost => "lost".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Tokens, prompt and answer, of completed samples that a filter selects.
pub fn completed_tokens(samples: &[LoadSample], select: impl Fn(&LoadSample) -> bool) -> u64 {
    let complete = samples.iter().filter(|sample| sample.end == SampleEnd::Complete);
    complete
        .filter(|sample| select(sample))
        .map(|sample| sample.prompt_tokens + sample.max_tokens)
        .sum()
}

/// Tokens of completed samples that ended within a time since the start.
pub fn tokens_within(samples: &[LoadSample], length: Duration) -> u64 {
    completed_tokens(samples, |sample| sample.arrival + sample.total <= length)
}

/// Median, least and greatest of repetitions.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Least.
    pub least: f64,
    /// Greatest.
    pub greatest: f64,
}

/// Median and spread of repetitions.
pub fn spread(values: &[f64]) -> Spread {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let pick = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
    Spread {
        median: pick(values.len() / 2),
        least: pick(0),
        greatest: pick(values.len().saturating_sub(1)),
    }
}
