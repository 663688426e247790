//! Files with resources: JSON with comments, one object or a list of them.
//!
//! The text of each `spec` is kept as written, so that findings of the host can be shown with their
//! place in the file.

use std::{fs, io::Read, path::PathBuf};

use jsonc_parser::{
    ParseOptions,
    ast::{Object, Value},
    common::Ranged,
};

use crate::{error::CtlError, kind::ResourceKind};

#[cfg(test)]
mod tests;

/// Fields that hosts add to a resource; a file written by `get -o json` may have them.
const HOST_FIELDS: [&str; 4] = ["operator", "writeId", "writtenMs", "status"];

/// One resource of a file.
#[derive(Debug)]
pub struct FileResource {
    /// Kind.
    pub kind: ResourceKind,
    /// Name.
    pub name: String,
    /// Revision that the file was written from, if it says so.
    pub revision: Option<u64>,
    /// Text of the spec.
    pub spec: String,
    /// File that holds it.
    pub file: String,
    /// Line and column of the spec's start, from 0.
    start: (u64, u64),
}

impl FileResource {
    /// Shows a finding of the host with its place in the file.
    pub fn finding(&self, finding: &serde_json::Value) -> String {
        let number = |name: &str| finding[name].as_u64().unwrap_or(1);
        let text = |name: &str| finding[name].as_str().unwrap_or_default().to_owned();
        let (line, column) = (number("line"), number("column"));
        let shift = if line == 1 { self.start.1 } else { 0 };
        let field = match text("field").as_str() {
            "" => "spec".to_owned(),
            field => format!("spec.{field}"),
        };
        let (line, column) = (line.saturating_add(self.start.0), column.saturating_add(shift));
        let (problem, fix) = (text("problem"), text("fix"));
        format!("{}:{line}:{column}: {field}: {problem}; {fix}", self.file)
    }
}

/// Reads files, `-` for standard input. Reports the mistakes of all of them together.
pub fn read(paths: &[PathBuf]) -> Result<Vec<FileResource>, CtlError> {
    let mut resources = Vec::new();
    let mut findings = Vec::new();
    for path in paths {
        let (file, text) = load(path)?;
        parse(&file, &text, &mut resources, &mut findings);
    }
    if !findings.is_empty() {
        return Err(CtlError::Input(findings.join("\n").into()));
    }
    resources.sort_by_key(|resource| resource.kind);
    Ok(resources)
}

fn load(path: &PathBuf) -> Result<(String, String), CtlError> {
    let wrong = |err| CtlError::Read(path.clone(), err);
    if path.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(wrong)?;
        return Ok(("standard input".to_owned(), text));
    }
    Ok((path.display().to_string(), fs::read_to_string(path).map_err(wrong)?))
}

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
            findings.push(at(file, text, err.range().start, &problem));
            return;
        }
    };
    let values = match &parsed {
        Some(Value::Array(array)) => array.elements.iter().collect(),
        Some(value) => vec![value],
        None => Vec::new(),
    };
    if values.is_empty() {
        findings.push(at(file, text, 0, "no resource in the file; write an object or a list"));
    }
    for value in values {
        let reader = EntryReader { file, text };
        match value {
            Value::Object(object) => {
                resources.extend(reader.resource(object, findings));
            }
            other => findings.push(at(file, text, other.range().start, "not an object")),
        }
    }
}

struct EntryReader<'a> {
    file: &'a str,
    text: &'a str,
}

impl EntryReader<'_> {
    fn resource(&self, object: &Object, findings: &mut Vec<String>) -> Option<FileResource> {
        let before = findings.len();
        let mut report = |position, problem: &str| {
            findings.push(at(self.file, self.text, position, problem));
        };
        let start = object.range.start;
        let known = ["kind", "name", "revision", "spec"];
        for property in &object.properties {
            let name = property.name.as_str();
            if !known.contains(&name) && !HOST_FIELDS.contains(&name) {
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
            report(
                start,
                "name: missing or not a name; use lower-case letters, digits, '-' and '.'",
            );
        }
        let revision = object.get_number("revision");
        let number = revision.and_then(|number| number.value.parse().ok());
        if object.get("revision").is_some() && number.is_none() {
            report(start, "revision: not a whole number; remove it or read the resource again");
        }
        let spec = object.get_object("spec");
        if spec.is_none() {
            report(start, "spec: missing or not an object; add it");
        }
        let spec = spec?;
        let place = place(self.text, spec.range.start);
        (findings.len() == before).then_some(FileResource {
            kind: kind?,
            name: name?,
            revision: number,
            spec: self.text[spec.range.start..spec.range.end].to_owned(),
            file: self.file.to_owned(),
            start: place,
        })
    }
}

/// Whether a text can stand in a path of the API.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    !text.is_empty() && text.bytes().all(is_allowed) && !text.starts_with('.')
}

/// Line and column of a byte, from 0.
fn place(text: &str, position: usize) -> (u64, u64) {
    let mut position = position.min(text.len());
    while !text.is_char_boundary(position) {
        position -= 1;
    }
    let before = &text[..position];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    (count(before.matches('\n').count()), count(before[line_start..].chars().count()))
}

fn at(file: &str, text: &str, position: usize, problem: &str) -> String {
    let (line, column) = place(text, position);
    format!("{file}:{}:{}: {problem}", line + 1, column + 1)
}
