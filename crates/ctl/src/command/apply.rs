//! `parsleyctl apply`: creates or updates resources from files.
//!
//! A file that states a `revision`, as `get -o json` writes it, is accepted only while the resource
//! still has it. Without one, the resource is read first and written at the revision that was read.

use std::path::PathBuf;

use http_types::Method;
use serde_json::{Value, json};

use super::resource_path;
use crate::{
    client::{Call, Client},
    error::CtlError,
    options::{CommonOptions, OutputForm, Taken},
    output,
    resource_file::{self, FileResource},
};

const USAGE: &str = "\
Create or update resources from a file.

Usage:
    parsleyctl apply -f FILE [-f FILE]... [options]

A file is JSON with comments: one object or a list of objects with the fields kind, name and spec.
FILE is - for standard input. All mistakes are reported together; the resources without one are
applied. Options of every command: parsleyctl --help.

Options:
    -f, --file FILE    File with resources; may be given several times.

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
                Ok(Taken::Yes)
            }
            _ => Ok(Taken::No),
        })?;
        let Some(options) = options else { return Ok(None) };
        let [] = options.exactly(USAGE)?;
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
    let (mut failed, mut wrong_input) = (0, false);
    for resource in &resources {
        let path = format!("{}/{}", resource.kind.segment(), resource.name);
        match apply(&client, resource) {
            Ok((verb, revision)) => {
                results.push(json!({"resource": path, "result": verb, "revision": revision}));
                if args.options.form == OutputForm::Table {
                    output::text(&format!("{path} {verb} (revision {revision})\n"))?;
                }
            }
            Err(err) => {
                failed += 1;
                wrong_input |= err.exit_code() == 2;
                results.push(json!({"resource": path, "result": "failed"}));
                report(resource, &path, &err);
            }
        }
    }
    if args.options.form == OutputForm::Json {
        output::json(&Value::Array(results))?;
    }
    if failed > 0 { Err(CtlError::Partial(failed, wrong_input)) } else { Ok(()) }
}

fn report(resource: &FileResource, path: &str, err: &CtlError) {
    output::error_line(&format!("{path}: {err}"));
    if let CtlError::Refused(_, problem) = err {
        for finding in problem["findings"].as_array().into_iter().flatten() {
            output::error_line(&resource.finding(finding));
        }
    }
}

fn apply(client: &Client, resource: &FileResource) -> Result<(&'static str, u64), CtlError> {
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
    let mut call = Call::new(Method::Put, &path);
    call.headers = vec![condition, ("parsley-write-id", write_id.clone())];
    call.body = Some(resource.spec.clone());
    let verb = if revision.is_some() { "updated" } else { "created" };
    match client.call(&call) {
        Ok(written) => Ok((verb, revision_of(&written))),
        Err(err) => match written_anyway(client, &path, &write_id, &err) {
            Some(revision) => Ok((verb, revision)),
            None => Err(err),
        },
    }
}

/// The revision of a write that took effect although its answer was lost.
fn written_anyway(client: &Client, path: &str, write_id: &str, err: &CtlError) -> Option<u64> {
    let is_unknown = match err {
        CtlError::Unreachable(_) => true,
        CtlError::Refused(_, problem) => problem["outcome"] == "unknown",
        _ => false,
    };
    let current = if is_unknown { client.get(path).ok()? } else { return None };
    (current["writeId"] == write_id).then(|| revision_of(&current))
}

fn is_unchanged(resource: &FileResource, current: &Value) -> bool {
    let spec = jsonc_parser::parse_to_serde_value::<Value>(&resource.spec, &Default::default());
    spec.is_ok_and(|spec| spec == current["spec"])
}

fn revision_of(resource: &Value) -> u64 {
    resource["revision"].as_u64().unwrap_or(0)
}
