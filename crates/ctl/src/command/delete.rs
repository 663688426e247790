//! `parsleyctl delete`: deletes a resource.

use http_types::Method;

use super::resource_path;
use crate::{
    client::Call,
    error::CtlError,
    kind::ResourceKind,
    options::{CommonOptions, OutputForm, Taken},
    output,
};

const USAGE: &str = "\
Delete a resource that no other one refers to.

Usage:
    parsleyctl delete KIND NAME [options]

Options of every command: parsleyctl --help.

Options:
    --revision N    Delete only if the resource still has this revision. Without it, the resource
                    is read first and deleted at the revision that was read.

Example:
    parsleyctl delete backendserver engine-7
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let mut revision = None;
    let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
        "--revision" => {
            let text = parser.value()?;
            revision = Some(lexopt::ValueExt::parse::<u64>(&text)?);
            Ok(Taken::Yes)
        }
        _ => Ok(Taken::No),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [kind, name] = options.exactly(USAGE)?;
    let kind = ResourceKind::parse(kind)?;
    let path = resource_path(kind, name)?;
    let client = options.client()?;
    let revision = match revision {
        Some(revision) => revision,
        None => client.get(&path)?["revision"].as_u64().unwrap_or(0),
    };
    let mut call = Call::new(Method::Delete, &path);
    call.headers = vec![("if-match", format!("\"{revision}\""))];
    let deleted = client.call(&call)?;
    match options.form {
        OutputForm::Json => output::json(&deleted),
        OutputForm::Table => output::text(&format!("{}/{name} deleted\n", kind.segment())),
    }
}
