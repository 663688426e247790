//! `parsleyctl status`: shows whether a host is well, and the hosts it knows.

use serde_json::Value;

use super::common;
use crate::{error::CtlError, kind::cell, options::OutputForm, output};

const USAGE: &str = "\
Show whether a host is well, and the hosts it knows.

Usage:
    parsleyctl status [options]

Options of every command: parsleyctl --help.

Example:
    parsleyctl status --server 10.0.0.5:7100
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [] = options.exactly(USAGE)?;
    let status = options.client()?.get("/admin/v1/status")?;
    if options.form == OutputForm::Json {
        return output::json(&status);
    }
    let field = |name: &str| cell(status.get(name));
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
    fields.iter().map(|field| cell(member.get(field))).collect()
}
