//! `parsleyctl dump`: prints the internal state of a host for debugging.

use http_types::Method;

use super::common;
use crate::{client::ApiRequest, error::CtlError, output};

const USAGE: &str = "\
Print the internal state of a host as JSON, without secrets or prompts.

Usage:
    parsleyctl dump HOST [options]

HOST is an address as ip:port, or the name of a live host.
Options of every command: parsleyctl --help.

Example:
    parsleyctl dump host-3
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [host] = options.expect_operands(USAGE)?;
    let client = options.client()?;
    let address = client.host_address(host)?;
    output::json(&client.send_to(&address, &ApiRequest::new(Method::Get, "/admin/v1/dump"))?)
}
