//! `parsleyctl get`: lists resources.

use serde_json::Value;

use super::{common, resource_path};
use crate::{
    client::Client,
    error::CtlError,
    kind::{ResourceKind, cell},
    options::OutputForm,
    output,
};

const USAGE: &str = "\
List resources.

Usage:
    parsleyctl get KIND [NAME] [options]

The output of -o json can be edited and applied again. Options of every command: parsleyctl --help.

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
    match (options.form, name) {
        (OutputForm::Json, Some(_)) => output::json(&items[0]),
        (OutputForm::Json, None) => output::json(&Value::Array(items)),
        (OutputForm::Table, _) => {
            let rows: Vec<_> = items.iter().map(|item| row(kind, item)).collect();
            output::table(&headings(kind), &rows)
        }
    }
}

/// Every resource of a kind, page by page.
fn list(client: &Client, kind: ResourceKind) -> Result<Vec<Value>, CtlError> {
    let first = format!("/admin/v1/{}", kind.segment());
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

/// Headings of a table of resources.
pub fn headings(kind: ResourceKind) -> Vec<&'static str> {
    let mut headings = vec!["NAME"];
    headings.extend(kind.columns());
    headings.extend(["REVISION", "CONDITION"]);
    headings
}

/// One resource as a row.
pub fn row(kind: ResourceKind, item: &Value) -> Vec<String> {
    let mut row = vec![cell(item.get("name"))];
    row.extend(kind.cells(&item["spec"]));
    row.push(cell(item.get("revision")));
    row.push(condition(item));
    row
}

/// The first condition that does not hold, or `ok`.
fn condition(item: &Value) -> String {
    if item["deleted"] == true {
        return "deleted".to_owned();
    }
    let conditions = item["status"]["conditions"].as_array();
    let failing = conditions.into_iter().flatten().find(|one| one["status"] != true);
    failing.map_or_else(|| "ok".to_owned(), |one| cell(one.get("reason")))
}
