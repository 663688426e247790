//! Arrivals of the measurements, from fixed seeds.

use parsley_core::time::Time;
use parsley_macros::value;

/// Level of the urgent rank.
pub const URGENT: u8 = 0;
/// Level of the rank between the others.
pub const STANDARD: u8 = 1;
/// Level of the lowest rank.
pub const BATCH: u8 = 2;

/// One request.
#[value]
pub struct Arrival {
    /// When it arrives.
    pub at: Time,
    /// Account.
    pub account: u32,
    /// Rank level.
    pub rank: u8,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Hashes of the leading parts.
    pub prefixes: Vec<u64>,
    /// Which of the measured streams of requests it belongs to.
    pub label: &'static str,
}

/// Prompt lengths of a stream of requests.
#[derive(Clone, Copy, Debug)]
pub enum Lengths {
    /// A few lines to 32k tokens, one in fifty from 100k to a million.
    Mixed,
    /// A few lines to the given length.
    UpTo(u64),
    /// From 100k to a million.
    Long,
}

/// Describes a stream of requests.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Name in the results.
    pub label: &'static str,
    /// First account and number of accounts; the requests alternate at random.
    pub accounts: (u32, u32),
    /// Rank level.
    pub rank: u8,
    /// Requests a second.
    pub rate: f64,
    /// Prompt lengths.
    pub lengths: Lengths,
    /// Start and end, in seconds.
    pub span: (f64, f64),
}

/// Generated tokens: least and most.
const OUTPUT_TOKENS: (f64, f64) = (20.0, 300.0);
/// Requests that share a prefix with others of their account, in hundredths.
const SHARED_PERCENT: u32 = 30;
/// Different shared prefixes of an account.
const SHARED_PREFIXES: u64 = 3;
/// Lengths that prefix hashes cover.
const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];

/// The arrivals of a source. A source gives the same arrivals whatever else is present.
pub fn arrivals(source: &Source, seed: u64) -> Vec<Arrival> {
    let label: u64 = source.label.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte));
    let mut rng = fastrand::Rng::with_seed(seed ^ label.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut at = source.span.0;
    let mut all = Vec::new();
    loop {
        at -= (1.0 - rng.f64()).ln() / source.rate;
        if at >= source.span.1 {
            return all;
        }
        let account = source.accounts.0 + rng.u32(..source.accounts.1);
        let prompt_tokens = prompt_tokens(&mut rng, source.lengths);
        all.push(Arrival {
            at: Time((at * 1e6) as u64),
            account,
            rank: source.rank,
            prompt_tokens,
            output_tokens: log_uniform(&mut rng, OUTPUT_TOKENS.0, OUTPUT_TOKENS.1),
            prefixes: prefixes(&mut rng, account, prompt_tokens),
            label: source.label,
        });
    }
}

/// Arrivals of several sources in order of time.
pub fn merged(sources: &[Source], seed: u64) -> Vec<Arrival> {
    let mut all: Vec<_> = sources.iter().flat_map(|source| arrivals(source, seed)).collect();
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Mean prompt and generated tokens of a kind of lengths, by sampling with a fixed seed.
pub fn mean_tokens(lengths: Lengths) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(1);
    let count = 20_000;
    let mut sums = (0, 0);
    for _ in 0..count {
        sums.0 += prompt_tokens(&mut rng, lengths);
        sums.1 += log_uniform(&mut rng, OUTPUT_TOKENS.0, OUTPUT_TOKENS.1);
    }
    (sums.0 as f64 / f64::from(count), sums.1 as f64 / f64::from(count))
}

fn prompt_tokens(rng: &mut fastrand::Rng, lengths: Lengths) -> u64 {
    match lengths {
        Lengths::Mixed if rng.u32(..50) == 0 => log_uniform(rng, 100_000.0, 1_000_000.0),
        Lengths::Mixed => log_uniform(rng, 50.0, 32_000.0),
        Lengths::UpTo(most) => log_uniform(rng, 50.0, most as f64),
        Lengths::Long => log_uniform(rng, 100_000.0, 1_000_000.0),
    }
}

fn log_uniform(rng: &mut fastrand::Rng, least: f64, most: f64) -> u64 {
    (least.ln() + rng.f64() * (most / least).ln()).exp() as u64
}

fn prefixes(rng: &mut fastrand::Rng, account: u32, prompt_tokens: u64) -> Vec<u64> {
    let own = rng.u64(..);
    let shared = rng.u32(..100) < SHARED_PERCENT;
    let common = u64::from(account) * SHARED_PREFIXES + rng.u64(..SHARED_PREFIXES);
    let reached = PREFIX_TOKENS.iter().filter(|tokens| **tokens <= prompt_tokens);
    reached
        .enumerate()
        .map(|(index, tokens)| {
            // Shared parts are up to 4k tokens long.
            let base = if shared && index < 2 { common } else { own };
            base.wrapping_mul(1_000_003).wrapping_add(*tokens)
        })
        .collect()
}
