//! `parsleyctl describe`: shows the spec and conditions of one resource.

use serde_json::Value;

use super::{common, resource_path};
use crate::{
    error::CtlError,
    kind::{ResourceKind, format_cell},
    options::OutputFormat,
    output,
};

const USAGE: &str = "\
Show the spec and conditions of one resource.

Usage:
    parsleyctl describe KIND NAME [options]

Options of every command: parsleyctl --help.

Example:
    parsleyctl describe clientaccount inspection
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [kind, name] = options.expect_operands(USAGE)?;
    let path = resource_path(ResourceKind::parse(kind)?, name)?;
    let item = options.client()?.get(&path)?;
    match options.format {
        OutputFormat::Json => output::json(&item),
        OutputFormat::Table => output::text(&describe(&item)),
    }
}

fn describe(item: &Value) -> String {
    let field = |name: &str| format_cell(item.get(name));
    let mut lines = vec![
        format!("Kind:        {}", field("kind")),
        format!("Name:        {}", field("name")),
        format!("Revision:    {}", field("revision")),
        format!("In force:    {}", format_cell(item.pointer("/status/observedRevision"))),
        format!("Written by:  {}", field("operator")),
        "Conditions:".to_owned(),
    ];
    for condition in item["status"]["conditions"].as_array().into_iter().flatten() {
        let mark = if condition["status"] == true { "yes" } else { "NO" };
        let (kind, message) =
            (format_cell(condition.get("type")), format_cell(condition.get("message")));
        lines.push(format!("  {kind:<20} {mark:<4} {message}"));
    }
    lines.push("Spec:".to_owned());
    lines.extend(format!("{:#}", item["spec"]).lines().map(|line| format!("  {line}")));
    lines.push(String::new());
    lines.join("\n")
}
