//! Runs at least 10,000 prompts and 2,000 at-most-once calls through a fleet whose parts fail all
//! the time, and fails if any outcome is wrong. The host processes are this program again, with the
//! arguments of `parsleystage`.

use std::process::ExitCode;

use lexopt::{Arg, ValueExt};
use parsley_node::command::{self, serve};
use parsley_standins::soak::{self, SoakPlan};

const USAGE: &str = "\
Count wrong outcomes of prompts and calls while everything fails.

Usage:
    soak [--seed N] [--prompts N] [--keys N] [--concurrency N]
";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let program = std::env::current_exe().unwrap_or_default();
    let mut plan = SoakPlan { program, seed: 1, prompts: 10_000, keys: 2_000, concurrency: 60 };
    while let Ok(Some(arg)) = parser.next() {
        let number = match arg {
            Arg::Value(name) if name == "serve" => return command::exit_code(serve::run(parser)),
            Arg::Long("seed") => read(&mut parser).map(|seed| plan.seed = seed),
            Arg::Long("prompts") => read(&mut parser).map(|count| plan.prompts = count as usize),
            Arg::Long("keys") => read(&mut parser).map(|count| plan.keys = count as usize),
            Arg::Long("concurrency") => {
                read(&mut parser).map(|count| plan.concurrency = count as usize)
            }
            _ => None,
        };
        if number.is_none() {
            eprint!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    match soak::run(&plan) {
        Ok(report) => {
            println!("{plan:?}\n{report:#?}\nwrong outcomes: {}", report.wrong());
            ExitCode::from(u8::from(report.wrong() > 0))
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn read(parser: &mut lexopt::Parser) -> Option<u64> {
    parser.value().ok()?.parse().ok()
}
