//! `parsleyctl`: command-line client for the administration API of parsleystage hosts.

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
    get KIND [NAME]        List the resources of a kind, or only one of them.
    describe KIND NAME     Show the spec and conditions of one resource.
    delete KIND NAME       Delete a resource.
    watch KIND             Print the resources of a kind, then each change.
    status                 Show the status of a host and its member list.
    dump HOST              Print the internal state of a host.
    drain HOST             Stop a host gracefully.
    entry                  List the host addresses that callers should connect to.

Kinds: ranks, models, clientaccounts, backendservers.

Options of every command:
    --server ADDRESS       Address of a host, as ip:port. Can be repeated; hosts are tried in order.
                           [environment: PARSLEY_SERVER, separated by commas]
    --token-file FILE      File with the operator's token.
                           [environment: PARSLEY_TOKEN_FILE, or the token in PARSLEY_TOKEN]
    --ca FILE              PEM file with the root certificates to trust; enables TLS.
                           [environment: PARSLEY_CA]
    --timeout SECONDS      Timeout of each request. [default: 10]
    -o table|json          Output format. [default: table]

Exit codes: 0 success, 1 failure, 2 invalid usage or input.
";

fn main() -> ExitCode {
    match run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader closed the pipe, as `head` does; this is not a failure.
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
