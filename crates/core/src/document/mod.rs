//! Reads JSON documents with comments and collects every mistake in them with its place.
//!
//! Settings and resources are read through [`read`], so both report unknown fields, wrong types,
//! values out of range and missing fields in one form and all at once.

use std::{
    cell::RefCell, collections::BTreeMap, fmt, net::SocketAddr, ops::RangeInclusive, sync::Arc,
};

use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};
use parsley_macros::message;

mod recover;
#[cfg(test)]
mod tests;

/// Longest name of a host, region, failure domain or resource, in bytes.
const NAME_BYTES: usize = 63;
/// Findings reported for one document; a longer list helps nobody.
const FINDING_LIMIT: usize = 100;

/// One mistake in a document.
#[message]
pub struct Finding {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, such as `limits.body_bytes` or `seeds[1]`; empty for the whole document.
    pub field: Arc<str>,
    /// What is wrong.
    pub problem: Arc<str>,
    /// How to mend it.
    pub fix: Arc<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; {}", self.problem, self.fix)
    }
}

/// The findings, one a line, each with file, line and column.
pub fn render_findings(file: &str, findings: &[Finding]) -> String {
    let line = |finding: &Finding| format!("{file}:{}:{}: {finding}", finding.line, finding.column);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Reads a document whose root is an object. `read_root` takes the fields it knows. Returns every
/// finding if there is one.
pub fn read<T>(
    text: &str,
    read_root: impl FnOnce(&mut ObjectReader) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let recovered = recover::recover(text);
    let notes = Notes { text, findings: RefCell::new(recovered.findings), lost: recovered.lost };
    let parsed = recover::parse(&recovered.text).ok().flatten();
    let result = match &parsed {
        Some(Value::Object(object)) => {
            let mut reader = ObjectReader::new(&notes, "", object);
            let result = read_root(&mut reader);
            reader.close();
            result
        }
        other => {
            if notes.findings.borrow().is_empty() {
                let position = other.as_ref().map_or(0, |value| value.range().start);
                notes.report(position, "", "not an object", "write one object in braces");
            }
            None
        }
    };
    let mut findings = notes.findings.into_inner();
    findings.sort_by_key(|finding| (finding.line, finding.column));
    findings.truncate(FINDING_LIMIT);
    match result {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(findings),
    }
}

/// Where findings are collected.
struct Notes<'a> {
    text: &'a str,
    findings: RefCell<Vec<Finding>>,
    /// Text of lines that were left out because of syntax errors.
    lost: String,
}

impl Notes<'_> {
    fn report(&self, position: usize, field: &str, problem: &str, fix: &str) {
        self.findings.borrow_mut().push(finding_at(self.text, position, field, problem, fix));
    }
}

fn finding_at(text: &str, position: usize, field: &str, problem: &str, fix: &str) -> Finding {
    let mut position = position.min(text.len());
    while !text.is_char_boundary(position) {
        position -= 1;
    }
    let before = &text[..position];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    let count = |number: usize| u32::try_from(number + 1).unwrap_or(u32::MAX);
    Finding {
        line: count(before.matches('\n').count()),
        column: count(before[line_start..].chars().count()),
        field: field.into(),
        problem: problem.into(),
        fix: fix.into(),
    }
}

/// Reads the fields of one object; those that were not asked for are reported as unknown.
pub struct ObjectReader<'a> {
    notes: &'a Notes<'a>,
    path: String,
    object: &'a Object<'a>,
    known: Vec<&'static str>,
    allows_others: bool,
}

impl<'a> ObjectReader<'a> {
    fn new(notes: &'a Notes<'a>, path: &str, object: &'a Object<'a>) -> ObjectReader<'a> {
        ObjectReader {
            notes,
            path: path.to_owned(),
            object,
            known: Vec::new(),
            allows_others: false,
        }
    }

    /// The field with a name. `null` counts as absent.
    pub fn field(&mut self, name: &'static str) -> Field<'a> {
        self.known.push(name);
        let property = self.object.properties.iter().find(|one| one.name.as_str() == name);
        let value = property.map(|one| &one.value);
        let value = value.filter(|value| !matches!(value, Value::NullKeyword(_)));
        let position = value.map_or(self.object.range.start, |value| value.range().start);
        Field { notes: self.notes, path: join(&self.path, name), name, value, position }
    }

    /// Passes over fields that are not asked for: the document belongs to another system, which may
    /// add some.
    pub fn allow_unknown_fields(&mut self) {
        self.allows_others = true;
    }

    /// Reports the fields that were not asked for and those that occur twice.
    fn close(self) {
        let mut seen = BTreeMap::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let position = property.range.start;
            let path = join(&self.path, name);
            if !self.known.contains(&name) {
                if self.allows_others {
                    continue;
                }
                let fix = format!("remove it, or use one of: {}", self.known.join(", "));
                self.notes.report(position, &path, "unknown field", &fix);
            } else if seen.insert(name, ()).is_some() {
                self.notes.report(position, &path, "the field occurs twice", "remove one of them");
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    // A quoted name from the document may hold anything; it must not break the report's lines.
    let name: String = name.chars().take(NAME_BYTES).flat_map(char::escape_debug).collect();
    if path.is_empty() { name } else { format!("{path}.{name}") }
}

/// One field of a document, present or not. Each reader returns `None` when the field is absent or
/// was reported.
pub struct Field<'a> {
    notes: &'a Notes<'a>,
    path: String,
    name: &'static str,
    value: Option<&'a Value<'a>>,
    position: usize,
}

impl<'a> Field<'a> {
    /// Reports the field as missing if it is absent.
    pub fn required(self, example: &str) -> Field<'a> {
        if self.value.is_none() && !self.notes.lost.contains(&format!("\"{}\"", self.name)) {
            self.report("missing", &format!("add it, for example \"{}\": {example}", self.name));
        }
        self
    }

    /// Reports a mistake at the field.
    pub fn report(&self, problem: &str, fix: &str) {
        self.notes.report(self.position, &self.path, problem, fix);
    }

    /// Whether the document has the field.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    fn wrong_type(&self, wanted: &str) {
        let found = match self.value {
            Some(Value::StringLit(_)) => "a string",
            Some(Value::NumberLit(_)) => "a number",
            Some(Value::BooleanLit(_)) => "true or false",
            Some(Value::Object(_)) => "an object",
            Some(Value::Array(_)) => "a list",
            Some(Value::NullKeyword(_)) | None => "null",
        };
        self.report(&format!("{found} instead of {wanted}"), &format!("write {wanted}"));
    }

    /// Text that is not empty and has at most `limit` bytes.
    pub fn text(&self, limit: usize) -> Option<Arc<str>> {
        match self.value? {
            Value::StringLit(text) if text.value.is_empty() => {
                self.report("empty", "write at least one character");
                None
            }
            Value::StringLit(text) if text.value.len() > limit => {
                self.report("too long", &format!("write at most {limit} bytes"));
                None
            }
            Value::StringLit(text) => Some(text.value.as_ref().into()),
            _ => {
                self.wrong_type("a string");
                None
            }
        }
    }

    /// A name: lower-case letters, digits, `-` and `.`.
    pub fn name(&self) -> Option<Arc<str>> {
        let text = self.text(NAME_BYTES)?;
        let found = is_name(&text);
        if !found {
            let fix = "use lower-case letters, digits, '-' and '.', a letter or digit at both ends";
            self.report("not a name", fix);
        }
        found.then_some(text)
    }

    /// An address as `ip:port` with a port other than 0.
    pub fn address(&self) -> Option<Arc<str>> {
        let text = self.text(NAME_BYTES)?;
        let found = text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0);
        if !found {
            let fix = "write an IP address and a port, for example \"10.0.0.5:7100\"";
            self.report("not an address", fix);
        }
        found.then_some(text)
    }

    /// The BLAKE3 digest of a secret in hexadecimal.
    pub fn digest(&self) -> Option<Arc<str>> {
        let text = self.text(64)?;
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let found = text.len() == 64 && text.bytes().all(is_digit);
        if !found {
            let fix =
                "write the 64 lower-case hexadecimal digits that `b3sum` prints for the token";
            self.report("not a BLAKE3 digest", fix);
        }
        found.then_some(text)
    }

    /// A whole number within a range.
    pub fn number(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::NumberLit(number) = self.value? else {
            self.wrong_type("a whole number");
            return None;
        };
        let found = number.value.parse().ok().filter(|number| range.contains(number));
        if found.is_none() {
            let fix = format!("write a whole number from {} to {}", range.start(), range.end());
            self.report("out of range", &fix);
        }
        found
    }

    /// A number that is not negative.
    pub fn non_negative(&self) -> Option<f64> {
        let Value::NumberLit(number) = self.value? else {
            self.wrong_type("a number");
            return None;
        };
        let found = number.value.parse().ok().filter(|number: &f64| *number >= 0.0);
        if found.is_none() {
            self.report("out of range", "write a number from 0");
        }
        found
    }

    /// `true` or `false`.
    pub fn boolean(&self) -> Option<bool> {
        match self.value? {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => {
                self.wrong_type("true or false");
                None
            }
        }
    }

    /// The elements of a list with at most `limit` of them.
    pub fn elements(&self, limit: usize) -> Option<Vec<Field<'a>>> {
        let Value::Array(array) = self.value? else {
            self.wrong_type("a list");
            return None;
        };
        if array.elements.len() > limit {
            self.report("too many elements", &format!("write at most {limit}"));
            return None;
        }
        let element = |(index, value): (usize, &'a Value<'a>)| Field {
            notes: self.notes,
            path: format!("{}[{index}]", self.path),
            name: self.name,
            value: Some(value),
            position: value.range().start,
        };
        Some(array.elements.iter().enumerate().map(element).collect())
    }

    /// A list read element by element; a value that occurs twice is reported.
    pub fn list(
        &self,
        limit: usize,
        read: impl Fn(&Field<'a>) -> Option<Arc<str>>,
    ) -> Option<Vec<Arc<str>>> {
        let mut values: Vec<Arc<str>> = Vec::new();
        for element in self.elements(limit)? {
            let Some(value) = read(&element) else { continue };
            if values.contains(&value) {
                element.report("the value occurs twice", "remove one of them");
            } else {
                values.push(value);
            }
        }
        Some(values)
    }

    /// A list as [`Field::list`] reads it, with at least one element.
    pub fn non_empty_list(
        &self,
        limit: usize,
        read: impl Fn(&Field<'a>) -> Option<Arc<str>>,
    ) -> Option<Vec<Arc<str>>> {
        let values = self.list(limit, read)?;
        if matches!(self.value, Some(Value::Array(array)) if array.elements.is_empty()) {
            self.report("empty", "write at least one element");
        }
        Some(values)
    }

    /// An object.
    pub fn object<T>(&self, read: impl FnOnce(&mut ObjectReader<'a>) -> Option<T>) -> Option<T> {
        let Value::Object(object) = self.value? else {
            self.wrong_type("an object");
            return None;
        };
        let mut reader = ObjectReader::new(self.notes, &self.path, object);
        let result = read(&mut reader);
        reader.close();
        result
    }
}

/// Whether a text can name a host, region, failure domain or resource.
pub fn is_name(text: &str) -> bool {
    let is_inner = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    let is_outer = |byte: Option<&u8>| byte.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = text.as_bytes();
    let fits = bytes.len() <= NAME_BYTES && bytes.iter().copied().all(is_inner);
    fits && is_outer(bytes.first()) && is_outer(bytes.last())
}
