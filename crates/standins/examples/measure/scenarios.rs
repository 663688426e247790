//! The scenarios, one for each measure, with the target that the design page states.

use std::time::Duration;

use parsley_standins::load::{
    LoadSample, LoadSource, SampleEnd,
    baseline::EngineChoice,
    mix::LengthMix,
    stats::{SHORT_TOKENS, completed_tokens, ends, first_tokens, percentile_ms, tokens_within},
};

use crate::bench::Bench;

/// Requests a second of the rare urgent source.
const URGENT_RATE: f64 = 10.0;
/// Account that sends the rare urgent requests.
const URGENT_ACCOUNT: usize = 9;
/// Times the fleet's capacity that a flood asks for.
const FLOOD: f64 = 5.0;

/// One measured figure.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Name of the figure.
    pub name: &'static str,
    /// Value.
    pub value: f64,
    /// Target, if the figure has one.
    pub target: Option<Target>,
}

/// The bound of a figure.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// At most.
    AtMost(f64),
    /// At least.
    AtLeast(f64),
}

/// A scenario: figures of one repetition with a seed.
pub type Scenario = fn(&Bench, u64) -> Result<Vec<Measured>, String>;

/// All scenarios by name.
pub const ALL: [(&str, Scenario); 8] = [
    ("added-time", added_time),
    ("stream-rate", stream_rate),
    ("urgent-in-flood", urgent_in_flood),
    ("urgent-flood", urgent_flood),
    ("short-behind-long", short_behind_long),
    ("kept-in-flood", kept_in_flood),
    ("small-beside-large", small_beside_large),
    ("throughput", throughput),
];

fn urgent(bench: &Bench, rate: f64, account: usize, group: &'static str) -> LoadSource {
    bench.source(account, "urgent", rate, LengthMix::short(), group)
}

fn p99(samples: &[LoadSample], group: &str) -> f64 {
    percentile_ms(&first_tokens(samples, |sample| sample.group == group), 99.0)
}

fn figure(name: &'static str, value: f64) -> Measured {
    Measured { name, value, target: None }
}

fn at_most(name: &'static str, value: f64, bound: f64) -> Measured {
    Measured { name, value, target: Some(Target::AtMost(bound)) }
}

fn at_least(name: &'static str, value: f64, bound: f64) -> Measured {
    Measured { name, value, target: Some(Target::AtLeast(bound)) }
}

/// Requests of a group that ended without a final answer or with a wrong one.
fn unanswered(samples: &[LoadSample]) -> Measured {
    let bad = |sample: &&LoadSample| matches!(sample.end, SampleEnd::Wrong | SampleEnd::Lost);
    at_most("lost or wrong answers", samples.iter().filter(bad).count() as f64, 0.0)
}

fn complete_part(samples: &[LoadSample], group: &str) -> f64 {
    let all = samples.iter().filter(|sample| sample.group == group);
    let (mut total, mut complete) = (0.0, 0.0);
    for sample in all {
        total += 1.0;
        complete += f64::from(u8::from(sample.end == SampleEnd::Complete));
    }
    complete / total
}

/// The same requests through the hosts and straight to the engines of one fleet, whose steps are so
/// short that the moment of arrival in a step does not hide a millisecond.
fn added_time(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let fleet = bench.quick_fleet()?;
    let sources = || vec![urgent(bench, 100.0, URGENT_ACCOUNT, "urgent")];
    let direct = bench.run_direct(&fleet, sources(), seed);
    let layer = bench.run_on(&fleet, sources(), seed);
    fleet.close();
    let percentile =
        |samples: &[LoadSample], percent| percentile_ms(&first_tokens(samples, |_| true), percent);
    Ok(vec![
        at_most("added p50 ms", percentile(&layer, 50.0) - percentile(&direct, 50.0), 1.0),
        at_most("added p99 ms", percentile(&layer, 99.0) - percentile(&direct, 99.0), 3.0),
        figure("direct p50 ms", percentile(&direct, 50.0)),
        figure("direct p99 ms", percentile(&direct, 99.0)),
        unanswered(&layer),
    ])
}

fn stream_rate(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let fleet = bench.streaming_fleet()?;
    let mix = LengthMix { prompts: vec![(1.0, 30, 100)], answers: (2_000, 2_000) };
    let source = bench.source(0, "standard", 20.0, mix, "streams");
    let before = fleet.host_cpu(0).map_err(|err| err.to_string())?;
    let samples = bench.run_on(&fleet, vec![source], seed);
    let used = fleet.host_cpu(0).map_err(|err| err.to_string())? - before;
    fleet.close();
    let complete = samples.iter().filter(|sample| sample.end == SampleEnd::Complete);
    let tokens: u64 = complete.map(|sample| sample.max_tokens).sum();
    Ok(vec![
        figure("tokens", tokens as f64),
        at_least("tokens per core second", tokens as f64 / used.as_secs_f64(), 50_000.0),
        unanswered(&samples),
    ])
}

fn urgent_in_flood(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let rare = || urgent(bench, URGENT_RATE, URGENT_ACCOUNT, "urgent");
    let idle = bench.run(vec![rare()], seed)?;
    let mut sources = bench.ordinary(FLOOD, "batch");
    sources.push(rare());
    let flood = bench.run(sources.clone(), seed)?;
    let random = bench.run_baseline(EngineChoice::Random, sources.clone(), seed)?;
    let least = bench.run_baseline(EngineChoice::LeastReported, sources, seed)?;
    let idle_p99 = p99(&idle, "urgent");
    println!("  ends in the flood: {:?}", ends(&flood));
    Ok(vec![
        figure("idle p99 ms", idle_p99),
        figure("flood p99 ms", p99(&flood, "urgent")),
        at_most("flood to idle", p99(&flood, "urgent") / idle_p99, 1.25),
        at_least("urgent answered", complete_part(&flood, "urgent"), 1.0),
        figure("random FIFO to idle", p99(&random, "urgent") / idle_p99),
        figure("least load FIFO to idle", p99(&least, "urgent") / idle_p99),
        unanswered(&flood),
    ])
}

fn urgent_flood(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let rare = || urgent(bench, URGENT_RATE, URGENT_ACCOUNT, "within share");
    let idle = bench.run(vec![rare()], seed)?;
    let short = bench.capacity() * bench.mix().mean_prompt() / LengthMix::short().mean_prompt();
    // Short requests are bound by the batch, not by prefill; a twentieth already floods it.
    let rate = (short / 20.0).min(FLOOD * bench.capacity());
    let sources = vec![rare(), urgent(bench, rate, 0, "flooding")];
    let flood = bench.run(sources, seed)?;
    println!("  ends in the flood: {:?}", ends(&flood));
    Ok(vec![
        figure("idle p99 ms", p99(&idle, "within share")),
        at_most("flood to idle", p99(&flood, "within share") / p99(&idle, "within share"), 1.5),
        at_least("within share answered", complete_part(&flood, "within share"), 1.0),
        unanswered(&flood),
    ])
}

fn short_behind_long(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let short = || bench.source(4, "standard", 20.0, LengthMix::short(), "short");
    let long_rate = bench.capacity() * bench.mix().mean_prompt() * 0.5;
    let long_rate = long_rate / LengthMix::long().mean_prompt();
    let long = bench.source(0, "standard", long_rate, LengthMix::long(), "long");
    let alone = bench.run(vec![short()], seed)?;
    let sources = vec![short(), long];
    let beside = bench.run(sources.clone(), seed)?;
    let random = bench.run_baseline(EngineChoice::Random, sources.clone(), seed)?;
    let least = bench.run_baseline(EngineChoice::LeastReported, sources, seed)?;
    let alone_p99 = p99(&alone, "short");
    Ok(vec![
        figure("alone p99 ms", alone_p99),
        at_most("beside long to alone", p99(&beside, "short") / alone_p99, 1.3),
        figure("random FIFO to alone", p99(&random, "short") / alone_p99),
        figure("least load FIFO to alone", p99(&least, "short") / alone_p99),
        figure("long answered", complete_part(&beside, "long")),
        unanswered(&beside),
    ])
}

fn kept_in_flood(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let standard = bench.ordinary(0.35, "standard");
    let alone = bench.run(standard.clone(), seed)?;
    let mut sources = standard;
    let count = sources.len();
    sources.extend(bench.ordinary(FLOOD, "batch"));
    let flood = bench.run(sources, seed)?;
    let standard = |sample: &LoadSample| sample.source < count;
    let kept = completed_tokens(&flood, standard) as f64;
    Ok(vec![
        at_least("standard kept", kept / completed_tokens(&alone, |_| true) as f64, 0.95),
        figure("batch tokens", completed_tokens(&flood, |sample| sample.source >= count) as f64),
        unanswered(&flood),
    ])
}

fn small_beside_large(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let rate = bench.capacity() * 0.01;
    let small = || bench.source(5, "standard", rate * 4.0, LengthMix::short(), "small caller");
    let alone = bench.run(vec![small()], seed)?;
    let mut sources = vec![small()];
    for index in 0..3 {
        sources.push(bench.source(index, "standard", rate * 80.0, bench.mix(), "large caller"));
    }
    let beside = bench.run(sources.clone(), seed)?;
    let least = bench.run_baseline(EngineChoice::LeastReported, sources, seed)?;
    let alone_p99 = p99(&alone, "small caller");
    println!("  ends beside large callers: {:?}", ends(&beside));
    Ok(vec![
        figure("alone p99 ms", alone_p99),
        at_most("beside large to alone", p99(&beside, "small caller") / alone_p99, 1.3),
        figure("least load FIFO to alone", p99(&least, "small caller") / alone_p99),
        unanswered(&beside),
    ])
}

fn throughput(bench: &Bench, seed: u64) -> Result<Vec<Measured>, String> {
    let sources = bench.ordinary(1.2, "standard");
    let window = bench.length + Duration::from_secs(5);
    let rate =
        |samples: &[LoadSample]| tokens_within(samples, window) as f64 / window.as_secs_f64();
    let layer = bench.run(sources.clone(), seed)?;
    let random = bench.run_baseline(EngineChoice::Random, sources.clone(), seed)?;
    let least = bench.run_baseline(EngineChoice::LeastReported, sources, seed)?;
    let best = rate(&random).max(rate(&least));
    println!("  ends: {:?}", ends(&layer));
    Ok(vec![
        figure("tokens a second", rate(&layer)),
        figure("random FIFO tokens a second", rate(&random)),
        figure("least load FIFO tokens a second", rate(&least)),
        at_least("to the best baseline", rate(&layer) / best, 0.95),
        figure(
            "short p99 ms",
            percentile_ms(
                &first_tokens(&layer, |sample| sample.prompt_tokens <= SHORT_TOKENS),
                99.0,
            ),
        ),
        unanswered(&layer),
    ])
}
