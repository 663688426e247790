//! `parsleyctl status`: shows the status of a host and its member list.

use serde_json::Value;

use super::common;
use crate::{error::CtlError, kind::format_cell, options::OutputFormat, output};

const USAGE: &str = "\
Show the status of a host and its member list.

Usage:
    parsleyctl status [options]

Options of every command: parsleyctl --help.

Example:
    parsleyctl status --server 10.0.0.5:7100
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [] = options.expect_operands(USAGE)?;
    let status = options.client()?.get("/admin/v1/status")?;
    if options.format == OutputFormat::Json {
        return output::json(&status);
    }
    let field = |name: &str| format_cell(status.get(name));
    output::text(&format!(
        "Host:           {} ({}, {})\nVersion:        {}\nUptime:         {} s\nReady:          {}\n\
         Draining:       {}\nOpen requests:  {}\nRevision:       {}\n\n",
        field("host"),
        field("region"),
        field("failureDomain"),
        field("version"),
        field("uptimeSeconds"),
        field("ready"),
        field("draining"),
        field("openRequests"),
        field("revision"),
    ))?;
    let members: Vec<_> =
        status["members"].as_array().into_iter().flatten().map(member_row).collect();
    output::table(&["HOST", "REGION", "DOMAIN", "ADDRESS", "STATE"], &members)
}

fn member_row(member: &Value) -> Vec<String> {
    let fields = ["name", "region", "failureDomain", "address", "state"];
    fields.iter().map(|field| format_cell(member.get(field))).collect()
}
