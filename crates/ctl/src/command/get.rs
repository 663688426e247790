//! `parsleyctl get`: lists the resources of a kind, or shows one of them.

use serde_json::Value;

use super::{common, resource_path};
use crate::{
    client::AdminClient,
    error::CtlError,
    kind::{ResourceKind, format_cell},
    options::OutputFormat,
    output,
};

const USAGE: &str = "\
List the resources of a kind, or only the one with the given name.

Usage:
    parsleyctl get KIND [NAME] [options]

The output of -o json can be edited and passed to apply.
Options of every command: parsleyctl --help.

Example:
    parsleyctl get ranks
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(options) = common(parser, USAGE)? else { return Ok(()) };
    let (kind, name) = match options.operands.as_slice() {
        [kind] => (ResourceKind::parse(kind)?, None),
        [kind, name] => (ResourceKind::parse(kind)?, Some(name)),
        _ => return Err(CtlError::Usage(USAGE.into())),
    };
    let client = options.client()?;
    let items = match name {
        Some(name) => vec![client.get(&resource_path(kind, name)?)?],
        None => list(&client, kind)?,
    };
    match (options.format, name) {
        (OutputFormat::Json, Some(_)) => output::json(&items[0]),
        (OutputFormat::Json, None) => output::json(&Value::Array(items)),
        (OutputFormat::Table, _) => {
            let rows: Vec<_> = items.iter().map(|item| row(kind, item)).collect();
            output::table(&headings(kind), &rows)
        }
    }
}

/// Fetches every resource of a kind, following the pagination of the API.
fn list(client: &AdminClient, kind: ResourceKind) -> Result<Vec<Value>, CtlError> {
    let first = format!("/admin/v1/{}", kind.path_segment());
    let mut items = Vec::new();
    let mut path = first.clone();
    loop {
        let mut page = client.get(&path)?;
        if let Value::Array(page) = page["items"].take() {
            items.extend(page);
        }
        let Some(next) = page["next"].as_str() else { return Ok(items) };
        path = format!("{first}?from={next}");
    }
}

/// Returns the headings that match the cells of [`row`].
pub fn headings(kind: ResourceKind) -> Vec<&'static str> {
    let mut headings = vec!["NAME"];
    headings.extend(kind.spec_headings());
    headings.extend(["REVISION", "CONDITION"]);
    headings
}

/// Formats a resource as a table row.
pub fn row(kind: ResourceKind, item: &Value) -> Vec<String> {
    let mut row = vec![format_cell(item.get("name"))];
    row.extend(kind.spec_cells(&item["spec"]));
    row.push(format_cell(item.get("revision")));
    row.push(condition(item));
    row
}

/// Returns `deleted`, the reason of the first condition that does not hold, or `ok`.
fn condition(item: &Value) -> String {
    if item["deleted"] == true {
        return "deleted".to_owned();
    }
    let conditions = item["status"]["conditions"].as_array();
    let failing = conditions.into_iter().flatten().find(|condition| condition["status"] != true);
    failing.map_or_else(|| "ok".to_owned(), |condition| format_cell(condition.get("reason")))
}
