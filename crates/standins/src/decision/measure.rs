//! The measures of the design page's section 1.4 that concern decisions, each from runs with and
//! without the load in question.

use std::collections::BTreeMap;

use super::{
    run::{self, ENGINES, Outcome, Policy, RANKS, RunReport, STEP, shape},
    workload::{self, BATCH, Lengths, STANDARD, Source, URGENT},
};

/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 60.0;
/// Seconds at the start that are not measured.
const WARM_UP: f64 = 10.0;
/// Seconds at the end in which arrivals are not measured, as they cannot finish.
const COOL_DOWN: f64 = 6.0;
/// Load of a flood relative to capacity.
const FLOOD: f64 = 5.0;
/// Window in which service of accounts is compared, in seconds.
const FAIR_WINDOW: u64 = 10;
/// Prompts whose prefill takes longer than this part of the target extend it, as admission does.
const LONG_PREFILL_PART: f64 = 0.5;

/// A bound that comes from the design page.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// At most.
    AtMost(f64),
    /// At least.
    AtLeast(f64),
    /// Shown without a target.
    Shown,
}

impl Bound {
    /// Whether a value keeps the bound; `None` if there is none.
    pub fn holds(self, value: f64) -> Option<bool> {
        match self {
            Bound::AtMost(most) => Some(value <= most),
            Bound::AtLeast(least) => Some(value >= least),
            Bound::Shown => None,
        }
    }
}

/// A measured value.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What was measured.
    pub name: &'static str,
    /// Target.
    pub bound: Bound,
    /// Value.
    pub value: f64,
}

/// A group of runs that yields samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// The lowest rank floods.
    LowFlood,
    /// Two accounts flood the urgent rank.
    UrgentFlood,
    /// Short prompts beside long ones.
    LongPrompts,
    /// Small callers beside large ones.
    LargeCallers,
    /// More work than the fleet can do, of every length.
    Overload,
    /// All accounts ask for more than their share.
    Backlog,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 6] = [
        Scenario::LowFlood,
        Scenario::UrgentFlood,
        Scenario::LongPrompts,
        Scenario::LargeCallers,
        Scenario::Overload,
        Scenario::Backlog,
    ];

    /// Runs the scenario.
    pub fn samples(self, policy: Policy, seed: u64) -> Vec<Sample> {
        match self {
            Scenario::LowFlood => low_flood(policy, seed),
            Scenario::UrgentFlood => urgent_flood(policy, seed),
            Scenario::LongPrompts => long_prompts(policy, seed),
            Scenario::LargeCallers => large_callers(policy, seed),
            Scenario::Overload => overload(policy, seed),
            Scenario::Backlog => backlog(policy, seed),
        }
    }
}

fn sample(name: &'static str, bound: Bound, value: f64) -> Sample {
    Sample { name, bound, value }
}

fn source(label: &'static str, accounts: (u32, u32), rank: u8, rate: f64) -> Source {
    let lengths = Lengths::Mixed;
    Source { label, accounts, rank, rate, lengths, span: (0.0, RUN_SECONDS) }
}

/// Requests a second that the fleet can serve.
pub fn capacity(lengths: Lengths) -> f64 {
    let steps = 1.0 / STEP.as_secs_f64() * ENGINES as f64;
    let (prompt, output) = workload::mean_tokens(lengths);
    let prefill = steps * shape().prefill_tokens as f64 / prompt;
    prefill.min(steps * shape().batch as f64 / output)
}

fn run(policy: Policy, seed: u64, sources: &[Source]) -> RunReport {
    run::run(policy, workload::merged(sources, seed), RUN_SECONDS, seed)
}

fn is_measured(outcome: &Outcome) -> bool {
    let at = outcome.arrival.at.0 as f64 / 1e6;
    (WARM_UP..RUN_SECONDS - COOL_DOWN).contains(&at)
}

fn measured<'a>(report: &'a RunReport, label: &'a str) -> impl Iterator<Item = &'a Outcome> {
    report.outcomes.iter().filter(move |o| o.arrival.label == label && is_measured(o))
}

/// The p99 of time to first token; a request that was admitted and got none counts with the time
/// it waited.
fn p99(report: &RunReport, label: &str) -> f64 {
    let waited = |o: &Outcome| RUN_SECONDS - o.arrival.at.0 as f64 / 1e6;
    let admitted = measured(report, label).filter(|outcome| !outcome.refused);
    let times = admitted.map(|o| o.first_token_seconds().unwrap_or_else(|| waited(o)));
    quantile(times.collect(), 0.99)
}

/// A quantile of values; infinite if there are none.
pub fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (part * values.len() as f64).ceil() as usize;
    values.get(index.max(1) - 1).copied().unwrap_or(f64::INFINITY)
}

fn admitted_share(report: &RunReport, label: &str) -> f64 {
    let (mut all, mut admitted) = (0.0, 0.0);
    for outcome in measured(report, label) {
        all += 1.0;
        admitted += f64::from(!outcome.refused);
    }
    admitted / all
}

/// Share of admitted requests with a first token within the rank's target.
fn within_target(report: &RunReport, label: &str) -> f64 {
    let (mut all, mut within) = (0.0, 0.0);
    for outcome in measured(report, label).filter(|outcome| !outcome.refused) {
        let target = RANKS[usize::from(outcome.arrival.rank)].0.as_secs_f64();
        let rate = shape().prefill_tokens as f64 / STEP.as_secs_f64();
        let prefill = outcome.arrival.prompt_tokens as f64 / rate;
        let is_long = prefill > target * LONG_PREFILL_PART;
        let target = if is_long { target + prefill } else { target };
        all += 1.0;
        within += f64::from(outcome.first_token_seconds().is_some_and(|time| time <= target));
    }
    within / all
}

/// Cost that a rank was served after the warm-up.
fn service(report: &RunReport, rank: u8) -> f64 {
    let seconds = report.service.iter();
    let counted = seconds.filter(|((second, _, of), _)| *of == rank && *second as f64 >= WARM_UP);
    counted.map(|(_, cost)| *cost as f64).sum()
}

/// What a rank kept, out of the smaller of its demand and its guaranteed share of all service.
fn kept(flooded: &RunReport, alone: &RunReport, rank: u8) -> f64 {
    let total: f64 = (URGENT..=BATCH).map(|rank| service(flooded, rank)).sum();
    let allowed = service(alone, rank).min(total * RANKS[usize::from(rank)].2);
    service(flooded, rank) / allowed
}

fn urgent_source() -> Source {
    // Up to 32k: longer prompts would turn the p99 of a rare rank into their own prefill time.
    Source { lengths: Lengths::UpTo(32_000), ..source("urgent", (5, 5), URGENT, 4.0) }
}

fn low_flood(policy: Policy, seed: u64) -> Vec<Sample> {
    let all = capacity(Lengths::Mixed);
    let standard = source("standard", (0, 10), STANDARD, all * 0.35);
    let flood = source("flood", (0, 2), BATCH, all * FLOOD);
    let idle = run(policy, seed, &[urgent_source()]);
    let alone = run(policy, seed, &[urgent_source(), standard]);
    let flooded = run(policy, seed, &[urgent_source(), standard, flood]);
    let ratio = p99(&flooded, "urgent") / p99(&idle, "urgent");
    vec![
        sample("low flood: urgent p99 first token / idle", Bound::AtMost(1.25), ratio),
        sample(
            "low flood: admitted urgent within target",
            Bound::AtLeast(1.0),
            within_target(&flooded, "urgent"),
        ),
        sample("low flood: urgent admitted", Bound::Shown, admitted_share(&flooded, "urgent")),
        sample(
            "low flood: standard keeps of its share",
            Bound::AtLeast(0.95),
            kept(&flooded, &alone, STANDARD),
        ),
        sample(
            "low flood: urgent keeps of its share",
            Bound::AtLeast(0.95),
            kept(&flooded, &alone, URGENT),
        ),
    ]
}

fn urgent_flood(policy: Policy, seed: u64) -> Vec<Sample> {
    let all = capacity(Lengths::Mixed);
    let standard = source("standard", (0, 10), STANDARD, all * 0.5);
    let batch = source("batch", (0, 10), BATCH, all * 0.2);
    let flood = source("flood", (0, 2), URGENT, all * FLOOD);
    let idle = run(policy, seed, &[urgent_source()]);
    let alone = run(policy, seed, &[urgent_source(), standard, batch]);
    let flooded = run(policy, seed, &[urgent_source(), standard, batch, flood]);
    let ratio = p99(&flooded, "urgent") / p99(&idle, "urgent");
    vec![
        sample("urgent flood: p99 within share / idle", Bound::AtMost(1.5), ratio),
        sample(
            "urgent flood: admitted within share within target",
            Bound::AtLeast(1.0),
            within_target(&flooded, "urgent"),
        ),
        sample(
            "urgent flood: admitted within share",
            Bound::Shown,
            admitted_share(&flooded, "urgent"),
        ),
        sample(
            "urgent flood: standard keeps of its share",
            Bound::AtLeast(0.95),
            kept(&flooded, &alone, STANDARD),
        ),
        sample(
            "urgent flood: batch keeps of its share",
            Bound::AtLeast(0.95),
            kept(&flooded, &alone, BATCH),
        ),
    ]
}

fn long_prompts(policy: Policy, seed: u64) -> Vec<Sample> {
    let short = source("short", (0, 10), STANDARD, 30.0);
    let short = Source { lengths: Lengths::UpTo(2_000), ..short };
    // About 60 in 100 of the prefill of all engines.
    let long = source("long", (0, 10), STANDARD, capacity(Lengths::Long) * 0.6);
    let long = Source { lengths: Lengths::Long, ..long };
    let without = run(policy, seed, &[short]);
    let with = run(policy, seed, &[short, long]);
    let ratio = p99(&with, "short") / p99(&without, "short");
    let done = measured(&with, "long").filter(|outcome| outcome.first_token.is_some()).count();
    let share = done as f64 / measured(&with, "long").count() as f64;
    vec![
        sample("long prompts: short p99 / without", Bound::AtMost(1.3), ratio),
        sample("long prompts: short admitted", Bound::Shown, admitted_share(&with, "short")),
        sample("long prompts: long ones with a first token", Bound::Shown, share),
    ]
}

fn large_callers(policy: Policy, seed: u64) -> Vec<Sample> {
    let lengths = Lengths::UpTo(32_000);
    let small = Source { lengths, ..source("small", (5, 5), STANDARD, 10.0) };
    // Three accounts that each ask for twenty times what a small one asks for.
    let large = Source { lengths, ..source("large", (0, 3), STANDARD, 120.0) };
    let alone = run(policy, seed, &[small]);
    let beside = run(policy, seed, &[small, large]);
    let ratio = p99(&beside, "small") / p99(&alone, "small");
    vec![
        sample("large callers: small p99 / alone", Bound::AtMost(1.3), ratio),
        sample("large callers: small admitted", Bound::Shown, admitted_share(&beside, "small")),
    ]
}

fn overload(policy: Policy, seed: u64) -> Vec<Sample> {
    let all = capacity(Lengths::Mixed);
    let sources = [
        source("urgent", (5, 5), URGENT, all * 0.05),
        source("standard", (0, 10), STANDARD, all * 0.85),
        source("batch", (0, 10), BATCH, all * 0.6),
    ];
    let report = run(policy, seed, &sources);
    let counted = report.tokens.iter().filter(|(second, _)| **second as f64 >= WARM_UP);
    let tokens: u64 = counted.map(|(_, tokens)| tokens).sum();
    let rate = tokens as f64 / (RUN_SECONDS - WARM_UP);
    vec![sample("fleet tokens a second", Bound::Shown, rate)]
}

fn backlog(policy: Policy, seed: u64) -> Vec<Sample> {
    let lengths = Lengths::UpTo(16_000);
    let each = capacity(lengths) / 10.0;
    let names = ["a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"];
    let sources: Vec<_> = names
        .into_iter()
        .enumerate()
        .map(|(account, label)| {
            // From 1.5 to 3.3 times the account's share.
            let rate = each * (1.5 + account as f64 * 0.2);
            Source { lengths, ..source(label, (account as u32, 1), STANDARD, rate) }
        })
        .collect();
    let report = run(policy, seed, &sources);
    let mut windows: BTreeMap<u64, [f64; 10]> = BTreeMap::new();
    for ((second, account, _), cost) in &report.service {
        if *second as f64 >= WARM_UP && (*second as f64) < RUN_SECONDS {
            let window = windows.entry(second / FAIR_WINDOW).or_default();
            window[*account as usize] += *cost as f64;
        }
    }
    let deviation = |window: &[f64; 10]| {
        let mean = window.iter().sum::<f64>() / window.len() as f64;
        let off = |cost: &f64| (cost - mean).abs() / mean;
        window.iter().map(off).fold(0.0, f64::max)
    };
    let worst = windows.values().map(deviation).fold(0.0, f64::max);
    vec![sample("backlog: deviation of an account over 10 s", Bound::AtMost(0.05), worst)]
}
