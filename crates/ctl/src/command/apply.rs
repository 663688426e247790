//! `parsleyctl apply`: creates or updates resources from files.
//!
//! Writes use optimistic concurrency control. If a file contains a `revision`, as in the output of
//! `get -o json`, the write succeeds only if it is still the current revision. Otherwise the
//! command reads the current revision first and makes the write conditional on it.

use std::path::PathBuf;

use http_types::Method;
use serde_json::{Value, json};

use super::resource_path;
use crate::{
    client::{AdminClient, ApiRequest},
    error::CtlError,
    options::{CommonOptions, OptionMatch, OutputFormat},
    output,
    resource_file::{self, FileResource},
};

const USAGE: &str = "\
Create or update resources from a file.

Usage:
    parsleyctl apply -f FILE [-f FILE]... [options]

FILE is JSON with comments, or - for standard input. It contains one object or a list of objects
with the fields kind, name and spec. Nothing is applied if a file has errors; all of them are
reported. A resource that a host rejects does not stop the others from being applied.
Options of every command: parsleyctl --help.

Options:
    -f, --file FILE    File to apply; can be repeated.

Example:
    echo '{\"kind\": \"Model\", \"name\": \"inspector\", \"spec\": {\"context_tokens\": 128000}}' |
        parsleyctl apply -f -
";

struct ApplyArgs {
    options: CommonOptions,
    files: Vec<PathBuf>,
}

impl ApplyArgs {
    fn parse(parser: lexopt::Parser) -> Result<Option<ApplyArgs>, CtlError> {
        let mut files = Vec::new();
        let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
            "-f" | "--file" => {
                files.push(parser.value()?.into());
                Ok(OptionMatch::Recognized)
            }
            _ => Ok(OptionMatch::Unknown),
        })?;
        let Some(options) = options else { return Ok(None) };
        let [] = options.expect_operands(USAGE)?;
        if files.is_empty() {
            return Err(CtlError::Usage(USAGE.into()));
        }
        Ok(Some(ApplyArgs { options, files }))
    }
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let Some(args) = ApplyArgs::parse(parser)? else { return Ok(()) };
    let resources = resource_file::read(&args.files)?;
    let client = args.options.client()?;
    let mut results = Vec::new();
    let (mut failed, mut invalid_input) = (0, false);
    for resource in &resources {
        let path = format!("{}/{}", resource.kind.path_segment(), resource.name);
        match apply(&client, resource) {
            Ok((verb, revision)) => {
                results.push(json!({"resource": path, "result": verb, "revision": revision}));
                if args.options.format == OutputFormat::Table {
                    output::text(&format!("{path} {verb} (revision {revision})\n"))?;
                }
            }
            Err(err) => {
                failed += 1;
                invalid_input |= err.exit_code() == 2;
                results.push(json!({"resource": path, "result": "failed"}));
                report(resource, &path, &err);
            }
        }
    }
    if args.options.format == OutputFormat::Json {
        output::json(&Value::Array(results))?;
    }
    if failed > 0 { Err(CtlError::PartialFailure(failed, invalid_input)) } else { Ok(()) }
}

/// Writes an error and the findings of the host to standard error.
fn report(resource: &FileResource, path: &str, err: &CtlError) {
    output::error_line(&format!("{path}: {err}"));
    if let CtlError::Refused(_, problem) = err {
        for finding in problem["findings"].as_array().into_iter().flatten() {
            output::error_line(&resource.format_finding(finding));
        }
    }
}

/// Creates or updates a resource. Returns what was done and the resulting revision.
fn apply(client: &AdminClient, resource: &FileResource) -> Result<(&'static str, u64), CtlError> {
    let path = resource_path(resource.kind, &resource.name)?;
    let revision = match resource.revision {
        Some(revision) => Some(revision),
        None => match client.get(&path) {
            Ok(current) if is_unchanged(resource, &current) => {
                return Ok(("unchanged", revision_of(&current)));
            }
            Ok(current) => Some(revision_of(&current)),
            Err(CtlError::Refused(404, _)) => None,
            Err(err) => return Err(err),
        },
    };
    let write_id = format!("{:032x}", fastrand::u128(..));
    let condition = match revision {
        Some(revision) => ("if-match", format!("\"{revision}\"")),
        None => ("if-none-match", "*".to_owned()),
    };
    let mut request = ApiRequest::new(Method::Put, &path);
    request.headers = vec![condition, ("parsley-write-id", write_id.clone())];
    request.body = Some(resource.spec.clone());
    let verb = if revision.is_some() { "updated" } else { "created" };
    match client.send(&request) {
        Ok(written) => Ok((verb, revision_of(&written))),
        Err(err) => match confirm_write(client, &path, &write_id, &err) {
            Some(revision) => Ok((verb, revision)),
            None => Err(err),
        },
    }
}

/// Returns the revision of a write that took effect although its response was lost.
///
/// Reads the resource back if the outcome of the write is unknown, and recognizes the write by its
/// write id.
fn confirm_write(client: &AdminClient, path: &str, write_id: &str, err: &CtlError) -> Option<u64> {
    let is_unknown = match err {
        CtlError::Unreachable(_) => true,
        CtlError::Refused(_, problem) => problem["outcome"] == "unknown",
        _ => false,
    };
    let current = if is_unknown { client.get(path).ok()? } else { return None };
    (current["writeId"] == write_id).then(|| revision_of(&current))
}

/// Whether the spec in the file equals the stored one, apart from comments and formatting.
fn is_unchanged(resource: &FileResource, current: &Value) -> bool {
    let spec = jsonc_parser::parse_to_serde_value::<Value>(&resource.spec, &Default::default());
    spec.is_ok_and(|spec| spec == current["spec"])
}

fn revision_of(resource: &Value) -> u64 {
    resource["revision"].as_u64().unwrap_or(0)
}
