//! Measures the decisions of the core in virtual time, beside two baselines.
//!
//! Usage: decisions [--seed N] [--repetitions N] [--threads N] [--only TEXT] [--json]

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::atomic::{AtomicUsize, Ordering},
};

use lexopt::{Arg, ValueExt};
use parsley_standins::decision::{
    measure::{Bound, Sample, Scenario, quantile},
    run::Policy,
};
use serde_json::json;

const USAGE: &str =
    "usage: decisions [--seed N] [--repetitions N] [--threads N] [--only TEXT] [--json]";
/// Name of the throughput, whose target is relative to the best baseline.
const TOKENS: &str = "fleet tokens a second";
const TOKENS_RATIO: &str = "fleet tokens a second / best baseline";
const TOKENS_BOUND: Bound = Bound::AtLeast(0.95);

struct Args {
    seed: u64,
    repetitions: u64,
    threads: usize,
    only: Option<String>,
    json: bool,
}

/// Values of one measure by policy, in the order of repetitions.
struct Row {
    bound: Bound,
    values: BTreeMap<Policy, Vec<f64>>,
}

type Rows = Vec<(&'static str, Row)>;

fn main() -> ExitCode {
    let args = match parse(lexopt::Parser::from_env()) {
        Ok(args) => args,
        Err(err) => {
            eprintln!("{err}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let rows = collect(&args);
    if args.json {
        println!("{}", as_json(&args, &rows));
    } else {
        print_table(&args, &rows);
    }
    let missed = rows.iter().any(|(_, row)| verdict(row) == Some(false));
    if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn parse(mut parser: lexopt::Parser) -> Result<Args, lexopt::Error> {
    let mut args = Args { seed: 1, repetitions: 5, threads: 4, only: None, json: false };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            Arg::Long("repetitions") => args.repetitions = parser.value()?.parse()?,
            Arg::Long("threads") => args.threads = parser.value()?.parse()?,
            Arg::Long("only") => args.only = Some(parser.value()?.string()?),
            Arg::Long("json") => args.json = true,
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

struct Job {
    scenario: Scenario,
    policy: Policy,
    repetition: u64,
}

fn jobs(args: &Args) -> Vec<Job> {
    let is_wanted = |scenario: &Scenario| {
        let name = format!("{scenario:?}").to_lowercase();
        args.only.as_ref().is_none_or(|only| name.contains(&only.to_lowercase()))
    };
    let mut jobs = Vec::new();
    for scenario in Scenario::ALL.into_iter().filter(is_wanted) {
        for policy in Policy::ALL {
            let repetitions = 0..args.repetitions;
            jobs.extend(repetitions.map(|repetition| Job { scenario, policy, repetition }));
        }
    }
    jobs
}

fn collect(args: &Args) -> Rows {
    let jobs = jobs(args);
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let seed = args.seed.wrapping_mul(1_000).wrapping_add(job.repetition);
            done.push((job, job.scenario.samples(job.policy, seed)));
        }
        done
    };
    let mut results: Vec<(&Job, Vec<Sample>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..args.threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    results.sort_by_key(|(job, _)| (job.scenario, job.policy, job.repetition));
    let mut rows = Rows::new();
    for (job, samples) in results {
        for sample in samples {
            let position = rows.iter().position(|(name, _)| *name == sample.name);
            let index = position.unwrap_or_else(|| {
                rows.push((sample.name, Row { bound: sample.bound, values: BTreeMap::new() }));
                rows.len() - 1
            });
            rows[index].1.values.entry(job.policy).or_default().push(sample.value);
        }
    }
    add_throughput_ratio(&mut rows);
    rows
}

fn add_throughput_ratio(rows: &mut Rows) {
    let Some((_, row)) = rows.iter().find(|(name, _)| *name == TOKENS) else { return };
    let best = |index: usize| {
        row.values[&Policy::Random][index].max(row.values[&Policy::LeastLoad][index])
    };
    let ratio = |policy| {
        let values: &Vec<f64> = &row.values[&policy];
        let ratios = values.iter().enumerate().map(|(index, value)| value / best(index));
        (policy, ratios.collect())
    };
    let values = Policy::ALL.into_iter().map(ratio).collect();
    rows.push((TOKENS_RATIO, Row { bound: TOKENS_BOUND, values }));
}

fn median(values: &[f64]) -> f64 {
    quantile(values.to_vec(), 0.5)
}

fn range(values: &[f64]) -> (f64, f64) {
    (quantile(values.to_vec(), 0.0), quantile(values.to_vec(), 1.0))
}

fn verdict(row: &Row) -> Option<bool> {
    row.bound.holds(median(&row.values[&Policy::Core]))
}

fn verdict_name(row: &Row) -> &'static str {
    match verdict(row) {
        Some(true) => "pass",
        Some(false) => "MISS",
        None => "-",
    }
}

fn bound_text(bound: Bound) -> String {
    match bound {
        Bound::AtMost(most) => format!("<= {most}"),
        Bound::AtLeast(least) => format!(">= {least}"),
        Bound::Shown => "-".to_owned(),
    }
}

fn number(value: f64) -> String {
    if value >= 1_000.0 { format!("{value:.0}") } else { format!("{value:.3}") }
}

fn print_table(args: &Args, rows: &Rows) {
    println!(
        "seed {}, {} repetitions; median [least, most], baselines by median\n",
        args.seed, args.repetitions
    );
    println!("| measure | target | core | random+fifo | least-load+fifo | verdict |");
    println!("|---|---|---|---|---|---|");
    for (name, row) in rows {
        let values = &row.values[&Policy::Core];
        let (least, most) = range(values);
        println!(
            "| {name} | {} | {} [{}, {}] | {} | {} | {} |",
            bound_text(row.bound),
            number(median(values)),
            number(least),
            number(most),
            number(median(&row.values[&Policy::Random])),
            number(median(&row.values[&Policy::LeastLoad])),
            verdict_name(row),
        );
    }
}

fn as_json(args: &Args, rows: &Rows) -> serde_json::Value {
    let rows = rows.iter().map(|(name, row)| {
        let policy = |(policy, values): (&Policy, &Vec<f64>)| {
            let (least, most) = range(values);
            let entry = json!({
                "median": median(values), "least": least, "most": most, "values": values,
            });
            (policy.name().to_owned(), entry)
        };
        let policies: serde_json::Map<_, _> = row.values.iter().map(policy).collect();
        json!({
            "measure": name, "target": bound_text(row.bound), "policies": policies,
            "verdict": verdict_name(row),
        })
    });
    json!({
        "seed": args.seed, "repetitions": args.repetitions,
        "measures": rows.collect::<Vec<_>>(),
    })
}
