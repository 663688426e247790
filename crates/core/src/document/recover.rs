//! Goes on after syntax errors, so that one of them does not hide the other mistakes.

use jsonc_parser::{
    ParseOptions,
    ast::Value,
    errors::{ParseError, ParseErrorKind},
};

use super::{Finding, finding_at};

/// Syntax errors reported for one document.
const ERROR_LIMIT: usize = 16;

/// A text that parses as far as it could be mended, with what was wrong.
pub struct RecoveredText {
    /// The text; every byte that remains is at its original place.
    pub text: String,
    /// Lines that were left out.
    pub lost: String,
    /// The syntax errors.
    pub findings: Vec<Finding>,
}

/// Parses JSON with comments and trailing commas, and nothing else beyond JSON.
pub fn parse(text: &str) -> Result<Option<Value<'_>>, ParseError> {
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    jsonc_parser::parse_to_ast(text, &Default::default(), &options).map(|parsed| parsed.value)
}

/// Reports the syntax errors of a text and mends it: a missing comma or closing bracket is added,
/// any other error leaves out its line.
pub fn recover(original: &str) -> RecoveredText {
    let mut bytes = original.as_bytes().to_vec();
    let mut lost = String::new();
    let mut findings = Vec::new();
    for _ in 0..ERROR_LIMIT {
        let text = String::from_utf8_lossy(&bytes);
        let Err(err) = parse(&text) else { break };
        let position = err.range().start.min(original.len());
        let (problem, fix) = explain(err.kind());
        findings.push(finding_at(original, position, "", &problem, fix));
        if !mend(&mut bytes, err.kind(), position, &mut lost) {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    RecoveredText { text, lost, findings }
}

fn explain(kind: &ParseErrorKind) -> (String, &'static str) {
    let fix = match kind {
        ParseErrorKind::ExpectedComma => "add a comma here",
        ParseErrorKind::UnterminatedObject => "add the closing brace",
        ParseErrorKind::UnterminatedArray => "add the closing bracket",
        ParseErrorKind::NestingDepthExceeded => "remove the nested values",
        ParseErrorKind::ExpectedColonAfterObjectKey => "write \"field\": value",
        _ => "correct the JSON on this line",
    };
    (kind.to_string().to_lowercase(), fix)
}

/// Returns whether the text was changed.
fn mend(bytes: &mut Vec<u8>, kind: &ParseErrorKind, position: usize, lost: &mut String) -> bool {
    match kind {
        ParseErrorKind::NestingDepthExceeded => return false,
        ParseErrorKind::UnterminatedObject => {
            bytes.extend_from_slice(b"\n}");
            return true;
        }
        ParseErrorKind::UnterminatedArray => {
            bytes.extend_from_slice(b"\n]");
            return true;
        }
        ParseErrorKind::ExpectedComma => {
            // The error is reported at the end of the value before the missing comma.
            if let Some(gap) = bytes.get_mut(position).filter(|byte| byte.is_ascii_whitespace()) {
                *gap = b',';
                return true;
            }
        }
        _ => {}
    }
    let is_break = |byte: &u8| *byte == b'\n';
    let start = bytes[..position].iter().rposition(is_break).map_or(0, |at| at + 1);
    let end = bytes[position..].iter().position(is_break).map_or(bytes.len(), |at| position + at);
    let line = &mut bytes[start..end];
    if line.iter().all(u8::is_ascii_whitespace) {
        return false;
    }
    lost.push_str(&String::from_utf8_lossy(line));
    line.fill(b' ');
    true
}
