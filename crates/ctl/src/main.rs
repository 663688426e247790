//! `parsleyctl`: administers a fleet of parsleystage hosts.

use std::{ffi::OsString, process::ExitCode};

mod client;
mod command;
mod error;
mod kind;
mod options;
mod output;
mod resource_file;

use command::{apply, delete, describe, drain, dump, entry, get, status, watch};
use error::CtlError;

const USAGE: &str = "\
Administer a fleet of parsleystage hosts.

Usage:
    parsleyctl <command> [options]
    parsleyctl <command> --help
    parsleyctl --help | --version

Commands:
    apply -f FILE          Create or update resources from a file.
    get KIND [NAME]        List resources.
    describe KIND NAME     Show one resource with its conditions.
    delete KIND NAME       Delete a resource.
    watch KIND             Print changes of resources as they happen.
    status                 Show whether a host is well, and the hosts it knows.
    dump HOST              Print the state of a host's process.
    drain HOST             Let a host finish its requests and stop.
    entry                  Show the addresses that callers are told to use.

Kinds: ranks, models, clientaccounts, backendservers.

Options of every command:
    --server ADDRESS       Host to ask, as ip:port; may be given several times.
                           [environment: PARSLEY_SERVER, separated by commas]
    --token-file FILE      File with the operator's token.
                           [environment: PARSLEY_TOKEN_FILE, or the token in PARSLEY_TOKEN]
    --ca FILE              Certificates in PEM that the hosts' ones are checked against; turns on
                           TLS. [environment: PARSLEY_CA]
    --timeout SECONDS      Time for each answer. [default: 10]
    -o table|json          Form of the output. [default: table]

Exit codes: 0 done, 1 failed, 2 wrong use or input.
";

fn main() -> ExitCode {
    match run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever read the output has seen enough of it.
        Err(CtlError::Output(err)) if err.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(err) => {
            output::error_line(&err.to_string());
            ExitCode::from(err.exit_code())
        }
    }
}

fn run(arguments: Vec<OsString>) -> Result<(), CtlError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let name = match parser.next()? {
        Some(lexopt::Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => {
            return output::text(&format!("parsleyctl {}\n", env!("CARGO_PKG_VERSION")));
        }
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => return output::text(USAGE),
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CtlError::Usage(USAGE.into())),
    };
    match name.as_str() {
        "apply" => apply::run(parser),
        "get" => get::run(parser),
        "describe" => describe::run(parser),
        "delete" => delete::run(parser),
        "watch" => watch::run(parser),
        "status" => status::run(parser),
        "dump" => dump::run(parser),
        "drain" => drain::run(parser),
        "entry" => entry::run(parser),
        _ => Err(CtlError::Usage(format!("unknown command '{name}'\n\n{USAGE}").into())),
    }
}
