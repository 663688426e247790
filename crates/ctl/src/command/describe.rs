//! `parsleyctl describe`: shows one resource with its conditions.

use serde_json::Value;

use super::{common, resource_path};
use crate::{
    error::CtlError,
    kind::{ResourceKind, cell},
    options::OutputForm,
    output,
};

const USAGE: &str = "\
Show one resource with its conditions.

Usage:
    parsleyctl describe KIND NAME [options]

Options of every command: parsleyctl --help.

Example:
    parsleyctl describe clientaccount inspection
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let [kind, name] = options.exactly(USAGE)?;
    let path = resource_path(ResourceKind::parse(kind)?, name)?;
    let item = options.client()?.get(&path)?;
    match options.form {
        OutputForm::Json => output::json(&item),
        OutputForm::Table => output::text(&describe(&item)),
    }
}

fn describe(item: &Value) -> String {
    let field = |name: &str| cell(item.get(name));
    let mut lines = vec![
        format!("Kind:        {}", field("kind")),
        format!("Name:        {}", field("name")),
        format!("Revision:    {}", field("revision")),
        format!("In force:    {}", cell(item.pointer("/status/observedRevision"))),
        format!("Written by:  {}", field("operator")),
        "Conditions:".to_owned(),
    ];
    for one in item["status"]["conditions"].as_array().into_iter().flatten() {
        let mark = if one["status"] == true { "yes" } else { "NO" };
        let (kind, message) = (cell(one.get("type")), cell(one.get("message")));
        lines.push(format!("  {kind:<20} {mark:<4} {message}"));
    }
    lines.push("Spec:".to_owned());
    lines.extend(format!("{:#}", item["spec"]).lines().map(|line| format!("  {line}")));
    lines.push(String::new());
    lines.join("\n")
}
