//! `parsleyctl drain`: lets a host finish its requests and stop.

use http_types::Method;

use super::common;
use crate::{client::Call, error::CtlError, kind::cell, options::OutputForm, output};

const USAGE: &str = "\
Let a host finish its requests and stop. The host leaves the addresses given to callers at once; its
process ends when its last request has ended, at the latest at that request's deadline.

Usage:
    parsleyctl drain HOST [options]

HOST is an address as ip:port, or the name of a live host.
Options of every command: parsleyctl --help.

Example:
    parsleyctl drain host-3
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [host] = options.exactly(USAGE)?;
    let client = options.client()?;
    let address = client.host_address(host)?;
    let answer = client.call_at(&address, &Call::new(Method::Post, "/admin/v1/drain"))?;
    match options.form {
        OutputForm::Json => output::json(&answer),
        OutputForm::Table => {
            let field = |name: &str| cell(answer.get(name));
            let (host, open) = (field("host"), field("openRequests"));
            output::text(&format!("{host} is draining, {open} requests open\n"))
        }
    }
}
