//! `parsleystage`: routes requests of client accounts to a fleet of backend servers and serves the
//! operator API.

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
    let (name, parser) = match command::parse_command_name("parsleystage", USAGE) {
        Ok(parsed) => parsed,
        Err(code) => return code,
    };
    let result = match name.as_str() {
        "serve" => serve::run(parser),
        "check" => check::run(parser),
        _ => Err(command::usage_error(USAGE)),
    };
    command::exit_code(result)
}
