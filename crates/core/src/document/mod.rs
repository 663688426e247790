//! Reads JSON documents with comments and reports all mistakes in them with line and column.
//!
//! Settings and resources are both read through [`read`]. So both report unknown fields, wrong
//! types, values out of range and missing fields in the same form, and all of them at once.

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

/// Greatest length of the name of a host, region, failure domain or resource, in bytes.
const NAME_BYTES: usize = 63;
/// Most findings that are reported for one document. A longer list would be of no use to a reader.
const FINDING_LIMIT: usize = 100;

/// One mistake in a document.
#[message]
pub struct Finding {
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Path of the field, such as `limits.body_bytes` or `seeds[1]`; empty for the whole document.
    pub field: Arc<str>,
    /// Description of the mistake.
    pub problem: Arc<str>,
    /// Instruction that corrects the mistake.
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

/// Formats findings, one per line, each with the file name, line and column.
pub fn render_findings(file: &str, findings: &[Finding]) -> String {
    let line = |finding: &Finding| format!("{file}:{}:{}: {finding}", finding.line, finding.column);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Reads a document whose root is an object.
///
/// `read_root` reads the known fields. Returns all findings if there are any.
pub fn read<T>(
    text: &str,
    read_root: impl FnOnce(&mut ObjectReader) -> Option<T>,
) -> Result<T, Vec<Finding>> {
    let recovered = recover::recover(text);
    let sink = FindingSink {
        text,
        findings: RefCell::new(recovered.findings),
        skipped: recovered.skipped,
    };
    let parsed = recover::parse(&recovered.text).ok().flatten();
    let result = match &parsed {
        Some(Value::Object(object)) => {
            let mut reader = ObjectReader::new(&sink, "", object);
            let result = read_root(&mut reader);
            reader.close();
            result
        }
        other => {
            if sink.findings.borrow().is_empty() {
                let position = other.as_ref().map_or(0, |value| value.range().start);
                sink.report(position, "", "not an object", "write one object in braces");
            }
            None
        }
    };
    let mut findings = sink.findings.into_inner();
    findings.sort_by_key(|finding| (finding.line, finding.column));
    findings.truncate(FINDING_LIMIT);
    match result {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(findings),
    }
}

/// Collects the findings of one document.
struct FindingSink<'a> {
    text: &'a str,
    findings: RefCell<Vec<Finding>>,
    /// Text of the lines that were skipped because of syntax errors.
    skipped: String,
}

impl FindingSink<'_> {
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

/// Reads the fields of one object. Fields that the caller never reads are reported as unknown.
pub struct ObjectReader<'a> {
    sink: &'a FindingSink<'a>,
    path: String,
    object: &'a Object<'a>,
    known: Vec<&'static str>,
    allows_unknown: bool,
}

impl<'a> ObjectReader<'a> {
    fn new(sink: &'a FindingSink<'a>, path: &str, object: &'a Object<'a>) -> ObjectReader<'a> {
        ObjectReader {
            sink,
            path: path.to_owned(),
            object,
            known: Vec::new(),
            allows_unknown: false,
        }
    }

    /// Returns the field `name`, which may be absent. A value of `null` counts as absent.
    pub fn field(&mut self, name: &'static str) -> Field<'a> {
        self.known.push(name);
        let mut properties = self.object.properties.iter();
        let property = properties.find(|property| property.name.as_str() == name);
        let value = property.map(|property| &property.value);
        let value = value.filter(|value| !matches!(value, Value::NullKeyword(_)));
        let position = value.map_or(self.object.range.start, |value| value.range().start);
        Field { sink: self.sink, path: join(&self.path, name), name, value, position }
    }

    /// Ignores unknown fields of this object, for documents of another system that may add fields.
    pub fn allow_unknown_fields(&mut self) {
        self.allows_unknown = true;
    }

    /// Reports unknown fields and fields that occur more than once.
    fn close(self) {
        let mut seen = BTreeMap::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let position = property.range.start;
            let path = join(&self.path, name);
            if !self.known.contains(&name) {
                if self.allows_unknown {
                    continue;
                }
                let fix = format!("remove it, or use one of: {}", self.known.join(", "));
                self.sink.report(position, &path, "unknown field", &fix);
            } else if seen.insert(name, ()).is_some() {
                self.sink.report(position, &path, "the field occurs twice", "remove one of them");
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    // A name from the document may contain any character, so it is escaped to keep one finding on
    // one line.
    let name: String = name.chars().take(NAME_BYTES).flat_map(char::escape_debug).collect();
    if path.is_empty() { name } else { format!("{path}.{name}") }
}

/// A field of a document, which may be absent.
///
/// Each of the reading methods returns `None` if the field is absent, or if its value is invalid,
/// which is then reported.
pub struct Field<'a> {
    sink: &'a FindingSink<'a>,
    path: String,
    name: &'static str,
    value: Option<&'a Value<'a>>,
    position: usize,
}

impl<'a> Field<'a> {
    /// Reports the field as missing if it is absent, with `example` as a suggested value.
    ///
    /// A field on a line that was skipped because of a syntax error is not reported again.
    pub fn required(self, example: &str) -> Field<'a> {
        if self.value.is_none() && !self.sink.skipped.contains(&format!("\"{}\"", self.name)) {
            self.report("missing", &format!("add it, for example \"{}\": {example}", self.name));
        }
        self
    }

    /// Reports a mistake at the position of the field.
    pub fn report(&self, problem: &str, fix: &str) {
        self.sink.report(self.position, &self.path, problem, fix);
    }

    /// Returns whether the document has the field with a value other than `null`.
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

    /// Reads a string that is not empty and has at most `limit` bytes.
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

    /// Reads a name, which [`is_name`] must accept.
    pub fn name(&self) -> Option<Arc<str>> {
        let text = self.text(NAME_BYTES)?;
        let is_valid = is_name(&text);
        if !is_valid {
            let fix = "use lower-case letters, digits, '-' and '.', a letter or digit at both ends";
            self.report("not a name", fix);
        }
        is_valid.then_some(text)
    }

    /// Reads an address as `ip:port` with a port other than 0.
    pub fn address(&self) -> Option<Arc<str>> {
        let text = self.text(NAME_BYTES)?;
        let is_valid = text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0);
        if !is_valid {
            let fix = "write an IP address and a port, for example \"10.0.0.5:7100\"";
            self.report("not an address", fix);
        }
        is_valid.then_some(text)
    }

    /// Reads a BLAKE3 digest as 64 lower-case hexadecimal digits.
    pub fn digest(&self) -> Option<Arc<str>> {
        let text = self.text(64)?;
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let is_valid = text.len() == 64 && text.bytes().all(is_digit);
        if !is_valid {
            let fix =
                "write the 64 lower-case hexadecimal digits that `b3sum` prints for the token";
            self.report("not a BLAKE3 digest", fix);
        }
        is_valid.then_some(text)
    }

    /// Reads a whole number within `range`.
    pub fn number(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::NumberLit(number) = self.value? else {
            self.wrong_type("a whole number");
            return None;
        };
        let parsed = number.value.parse().ok().filter(|number| range.contains(number));
        if parsed.is_none() {
            let fix = format!("write a whole number from {} to {}", range.start(), range.end());
            self.report("out of range", &fix);
        }
        parsed
    }

    /// Reads a number that is not negative and may have a fraction.
    pub fn non_negative(&self) -> Option<f64> {
        let Value::NumberLit(number) = self.value? else {
            self.wrong_type("a number");
            return None;
        };
        let parsed = number.value.parse().ok().filter(|number: &f64| *number >= 0.0);
        if parsed.is_none() {
            self.report("out of range", "write a number from 0");
        }
        parsed
    }

    /// Reads `true` or `false`.
    pub fn boolean(&self) -> Option<bool> {
        match self.value? {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => {
                self.wrong_type("true or false");
                None
            }
        }
    }

    /// Returns the elements of a list that has at most `limit` elements.
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
            sink: self.sink,
            path: format!("{}[{index}]", self.path),
            name: self.name,
            value: Some(value),
            position: value.range().start,
        };
        Some(array.elements.iter().enumerate().map(element).collect())
    }

    /// Reads a list of at most `limit` elements with `read`. Duplicate values are reported, and
    /// elements for which `read` returns `None` are left out.
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

    /// Reads a list like [`Field::list`] and reports it if it is empty.
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

    /// Reads an object, whose known fields `read` takes from the [`ObjectReader`].
    pub fn object<T>(&self, read: impl FnOnce(&mut ObjectReader<'a>) -> Option<T>) -> Option<T> {
        let Value::Object(object) = self.value? else {
            self.wrong_type("an object");
            return None;
        };
        let mut reader = ObjectReader::new(self.sink, &self.path, object);
        let result = read(&mut reader);
        reader.close();
        result
    }
}

/// Returns whether a text is valid as the name of a host, region, failure domain or resource.
///
/// A name consists of lower-case letters, digits, `-` and `.`, with a letter or digit at both ends.
pub fn is_name(text: &str) -> bool {
    let is_inner = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    let is_outer = |byte: Option<&u8>| byte.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = text.as_bytes();
    let fits = bytes.len() <= NAME_BYTES && bytes.iter().copied().all(is_inner);
    fits && is_outer(bytes.first()) && is_outer(bytes.last())
}
