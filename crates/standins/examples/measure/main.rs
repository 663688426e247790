//! Measures real host processes on loopback against two baselines, with fixed seeds.
//!
//! Usage: `measure [--deployment association|franchise] [--repetitions N] [--seconds N] [--seed N]
//! [--json FILE] [--plot FILE] [--only NAME]`. The host processes are this program again, with the
//! arguments of `parsleystage`.

use std::{process::ExitCode, time::Duration};

use parsley_node::command::{self, serve};

mod bench;
mod report;
mod scenarios;

use bench::Bench;

const USAGE: &str = "\
Measure host processes on loopback against baselines.

Usage:
    measure [options]

Options:
    --deployment NAME    association (default) or franchise.
    --repetitions N      Repetitions of each scenario [default: 3].
    --seconds N          Seconds in which requests arrive [default: 10].
    --seed N             Seed [default: 1].
    --only NAME          Run one scenario.
    --json FILE          Write the results as JSON.
    --plot FILE          Write a plot (SVG) of the times to the first token.
";

/// Arguments of the program.
#[derive(Clone, Debug)]
struct Args {
    franchise: bool,
    repetitions: u64,
    length: Duration,
    seed: u64,
    only: Option<String>,
    json: Option<String>,
    plot: Option<String>,
}

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    if std::env::args().nth(1).is_some_and(|name| name == "serve") {
        // The first argument is the command that the fleet starts hosts with.
        drop(parser.next());
        return command::exit_code(serve::run(parser));
    }
    let result = match parse(parser) {
        Ok(Some(args)) => run(&args),
        Ok(None) => Ok(()),
        Err(err) => {
            eprintln!("{err}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, lexopt::Error> {
    use lexopt::ValueExt;
    let mut args = Args {
        franchise: false,
        repetitions: 3,
        length: Duration::from_secs(10),
        seed: 1,
        only: None,
        json: None,
        plot: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("deployment") => {
                args.franchise = match parser.value()?.string()?.as_str() {
                    "association" => false,
                    "franchise" => true,
                    other => return Err(format!("unknown deployment {other:?}").into()),
                };
            }
            lexopt::Arg::Long("repetitions") => args.repetitions = parser.value()?.parse()?,
            lexopt::Arg::Long("seconds") => {
                args.length = Duration::from_secs(parser.value()?.parse()?);
            }
            lexopt::Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("only") => args.only = Some(parser.value()?.string()?),
            lexopt::Arg::Long("json") => args.json = Some(parser.value()?.string()?),
            lexopt::Arg::Long("plot") => args.plot = Some(parser.value()?.string()?),
            lexopt::Arg::Long("help") => {
                print!("{USAGE}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(args))
}

fn run(args: &Args) -> Result<(), String> {
    let bench = Bench::new(args.franchise, args.length);
    println!("{}", bench.describe(args.seed, args.repetitions));
    let mut results = Vec::new();
    for (name, measure) in scenarios::ALL {
        if args.only.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        let mut repetitions = Vec::new();
        for repetition in 0..args.repetitions {
            repetitions.push(measure(&bench, args.seed + repetition)?);
        }
        let rows = report::summarize(name, &repetitions);
        rows.iter().for_each(|row| println!("{row}"));
        results.extend(rows);
    }
    if results.is_empty() {
        return Err("no scenario has this name".to_owned());
    }
    if let Some(path) = &args.json {
        report::write_json(path, &results).map_err(|err| format!("{path}: {err}"))?;
    }
    if let Some(path) = &args.plot {
        report::write_plot(path, &results).map_err(|err| format!("{path}: {err}"))?;
    }
    Ok(())
}
