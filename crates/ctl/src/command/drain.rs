//! `parsleyctl drain`: stops a host gracefully.

use http_types::Method;

use super::common;
use crate::{
    client::ApiRequest, error::CtlError, kind::format_cell, options::OutputFormat, output,
};

const USAGE: &str = "\
Stop a host gracefully. It is removed at once from the addresses given to callers. Its process exits
when the last open request has finished, at the latest at that request's deadline.

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
    let [host] = options.expect_operands(USAGE)?;
    let client = options.client()?;
    let address = client.host_address(host)?;
    let answer = client.send_to(&address, &ApiRequest::new(Method::Post, "/admin/v1/drain"))?;
    match options.format {
        OutputFormat::Json => output::json(&answer),
        OutputFormat::Table => {
            let field = |name: &str| format_cell(answer.get(name));
            let (host, open) = (field("host"), field("openRequests"));
            output::text(&format!("{host} is draining, {open} requests open\n"))
        }
    }
}
