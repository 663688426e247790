//! `parsleyctl dump`: prints the state of a host's process.

use http_types::Method;

use super::common;
use crate::{client::Call, error::CtlError, output};

const USAGE: &str = "\
Print the state of a host's process as JSON. It holds no secret and no prompt.

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
    let [host] = options.exactly(USAGE)?;
    let client = options.client()?;
    let address = client.host_address(host)?;
    output::json(&client.call_at(&address, &Call::new(Method::Get, "/admin/v1/dump"))?)
}
