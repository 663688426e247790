//! `parsleystage`: serves callers and operators in front of a fleet of backend servers.

use std::process::ExitCode;

use parsley_node::command::{self, check, serve};

const USAGE: &str = "\
Serving layer in front of a fleet of model engines and plain services.

Usage:
    parsleystage <command> [options]
    parsleystage --help | --version

Commands:
    serve    Run a host until SIGTERM or SIGINT.
    check    Check a settings file and print every finding.
";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let name = match parser.next() {
        Ok(Some(lexopt::Arg::Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
            println!("parsleystage {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        _ => String::new(),
    };
    let result = match name.as_str() {
        "serve" => serve::run(parser),
        "check" => check::run(parser),
        _ => Err(command::usage_error(USAGE)),
    };
    command::exit_code(result)
}
