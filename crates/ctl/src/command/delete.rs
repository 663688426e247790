//! `parsleyctl delete`: deletes a resource if its revision is still the expected one.

use http_types::Method;

use super::resource_path;
use crate::{
    client::ApiRequest,
    error::CtlError,
    kind::ResourceKind,
    options::{CommonOptions, OptionMatch, OutputFormat},
    output,
};

const USAGE: &str = "\
Delete a resource. It must not be referenced by another resource.

Usage:
    parsleyctl delete KIND NAME [options]

Options of every command: parsleyctl --help.

Options:
    --revision N    Delete only if this is the current revision. Without it, the command reads the
                    current revision first; a change in between makes the deletion fail.

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
            Ok(OptionMatch::Recognized)
        }
        _ => Ok(OptionMatch::Unknown),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [kind, name] = options.expect_operands(USAGE)?;
    let kind = ResourceKind::parse(kind)?;
    let path = resource_path(kind, name)?;
    let client = options.client()?;
    let revision = match revision {
        Some(revision) => revision,
        None => client.get(&path)?["revision"].as_u64().unwrap_or(0),
    };
    let mut request = ApiRequest::new(Method::Delete, &path);
    request.headers = vec![("if-match", format!("\"{revision}\""))];
    let deleted = client.send(&request)?;
    match options.format {
        OutputFormat::Json => output::json(&deleted),
        OutputFormat::Table => output::text(&format!("{}/{name} deleted\n", kind.path_segment())),
    }
}
