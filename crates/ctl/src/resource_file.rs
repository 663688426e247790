//! Parser for resource files: JSON with comments, containing one object or a list of objects.
//!
//! The source text of each `spec` is sent unchanged, so that the positions in the findings of a
//! host can be mapped back to the file.

use std::{fs, io::Read, path::PathBuf};

use jsonc_parser::{
    ParseOptions,
    ast::{Object, Value},
    common::Ranged,
};

use crate::{error::CtlError, kind::ResourceKind};

#[cfg(test)]
mod tests;

/// Fields that hosts add to a resource. They are ignored, because the output of `get -o json`
/// contains them.
const HOST_FIELDS: [&str; 4] = ["operator", "writeId", "writtenMs", "status"];

/// A resource parsed from a file.
#[derive(Debug)]
pub struct FileResource {
    /// Value of the `kind` field.
    pub kind: ResourceKind,
    /// Resource name; always valid by [`is_name`].
    pub name: String,
    /// Value of the `revision` field: the revision that the write expects to replace.
    pub revision: Option<u64>,
    /// Source text of the spec, including comments.
    pub spec: String,
    /// File name for messages; `standard input` for `-`.
    pub file: String,
    /// Zero-based line and column at which the spec starts.
    start: (u64, u64),
}

impl FileResource {
    /// Formats a finding of a host with its position in the file.
    ///
    /// The host counts lines and columns from 1, relative to the start of the spec.
    pub fn format_finding(&self, finding: &serde_json::Value) -> String {
        let number = |name: &str| finding[name].as_u64().unwrap_or(1);
        let text = |name: &str| finding[name].as_str().unwrap_or_default().to_owned();
        let (line, column) = (number("line"), number("column"));
        let column_offset = if line == 1 { self.start.1 } else { 0 };
        let field = match text("field").as_str() {
            "" => "spec".to_owned(),
            field => format!("spec.{field}"),
        };
        let (line, column) =
            (line.saturating_add(self.start.0), column.saturating_add(column_offset));
        let (problem, fix) = (text("problem"), text("fix"));
        format!("{}:{line}:{column}: {field}: {problem}; {fix}", self.file)
    }
}

/// Reads resource files; `-` is standard input. Returns the resources sorted by kind, so that each
/// follows the resources it refers to.
///
/// Fails with [`CtlError::InvalidInput`] if any file has errors, reporting those of all files.
pub fn read(paths: &[PathBuf]) -> Result<Vec<FileResource>, CtlError> {
    let mut resources = Vec::new();
    let mut findings = Vec::new();
    for path in paths {
        let (file, text) = load(path)?;
        parse(&file, &text, &mut resources, &mut findings);
    }
    if !findings.is_empty() {
        return Err(CtlError::InvalidInput(findings.join("\n").into()));
    }
    resources.sort_by_key(|resource| resource.kind);
    Ok(resources)
}

/// Returns the name of a file for messages and its text.
fn load(path: &PathBuf) -> Result<(String, String), CtlError> {
    let read_error = |err| CtlError::ReadFile(path.clone(), err);
    if path.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(read_error)?;
        return Ok(("standard input".to_owned(), text));
    }
    Ok((path.display().to_string(), fs::read_to_string(path).map_err(read_error)?))
}

/// Parses the text of a file; appends the valid resources and the errors to the lists.
fn parse(file: &str, text: &str, resources: &mut Vec<FileResource>, findings: &mut Vec<String>) {
    let options = ParseOptions {
        allow_missing_commas: false,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    };
    let parsed = match jsonc_parser::parse_to_ast(text, &Default::default(), &options) {
        Ok(parsed) => parsed.value,
        Err(err) => {
            let problem = err.kind().to_string().to_lowercase();
            findings.push(located(file, text, err.range().start, &problem));
            return;
        }
    };
    let values = match &parsed {
        Some(Value::Array(array)) => array.elements.iter().collect(),
        Some(value) => vec![value],
        None => Vec::new(),
    };
    if values.is_empty() {
        findings.push(located(
            file,
            text,
            0,
            "file contains no resource; add an object or a list of objects",
        ));
    }
    for value in values {
        let parser = ResourceParser { file, text };
        match value {
            Value::Object(object) => {
                resources.extend(parser.resource(object, findings));
            }
            other => findings.push(located(file, text, other.range().start, "not an object")),
        }
    }
}

/// Parses the resource objects of one file.
struct ResourceParser<'a> {
    file: &'a str,
    text: &'a str,
}

impl ResourceParser<'_> {
    /// Parses a resource. Appends every error to the findings and returns `None` if there was any.
    fn resource(&self, object: &Object, findings: &mut Vec<String>) -> Option<FileResource> {
        let findings_before = findings.len();
        let mut report = |offset, problem: &str| {
            findings.push(located(self.file, self.text, offset, problem));
        };
        let start = object.range.start;
        let file_fields = ["kind", "name", "revision", "spec"];
        for property in &object.properties {
            let name = property.name.as_str();
            if !file_fields.contains(&name) && !HOST_FIELDS.contains(&name) {
                report(property.range.start, &format!("{name:?}: unknown field; remove it"));
            }
        }
        let text = |name| object.get_string(name).map(|literal| literal.value.to_string());
        let kind = match text("kind").map(|kind| ResourceKind::parse(&kind)) {
            Some(Ok(kind)) => Some(kind),
            Some(Err(err)) => {
                report(start, &format!("kind: {err}"));
                None
            }
            None => {
                report(start, "kind: missing; add it, for example \"kind\": \"Rank\"");
                None
            }
        };
        let name = text("name").filter(|name| is_name(name));
        if name.is_none() {
            report(start, &format!("name: missing or invalid; {NAME_RULE}"));
        }
        let revision = object.get_number("revision");
        let number = revision.and_then(|number| number.value.parse().ok());
        if object.get("revision").is_some() && number.is_none() {
            report(start, "revision: not a whole number; remove it or fetch the resource again");
        }
        let spec = object.get_object("spec");
        if spec.is_none() {
            report(start, "spec: missing or not an object; add it");
        }
        let spec = spec?;
        let start = line_and_column(self.text, spec.range.start);
        (findings.len() == findings_before).then_some(FileResource {
            kind: kind?,
            name: name?,
            revision: number,
            spec: self.text[spec.range.start..spec.range.end].to_owned(),
            file: self.file.to_owned(),
            start,
        })
    }
}

/// What [`is_name`] requires, as advice at the end of an error message.
pub const NAME_RULE: &str = "use lower-case letters, digits, '-' and '.', not starting with '.'";

/// Whether a text is a valid name, which can be put into a URL path without escaping.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    !text.is_empty() && text.bytes().all(is_allowed) && !text.starts_with('.')
}

/// Returns the zero-based line and column of a byte offset; columns are counted in characters.
fn line_and_column(text: &str, offset: usize) -> (u64, u64) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    (count(before.matches('\n').count()), count(before[line_start..].chars().count()))
}

/// Formats a problem with its position in a file, counted from 1.
fn located(file: &str, text: &str, offset: usize, problem: &str) -> String {
    let (line, column) = line_and_column(text, offset);
    format!("{file}:{}:{}: {problem}", line + 1, column + 1)
}
