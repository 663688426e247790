//! Error recovery for the parser, so that one syntax error does not hide other mistakes.

use jsonc_parser::{
    ParseOptions,
    ast::Value,
    errors::{ParseError, ParseErrorKind},
};

use super::{Finding, finding_at};

/// Most syntax errors that are reported for one document.
const ERROR_LIMIT: usize = 16;

/// A text after error recovery, together with its syntax errors.
pub struct RecoveredText {
    /// The repaired text. Bytes that were not changed keep their original position.
    pub text: String,
    /// Content of the lines that were blanked out.
    pub skipped: String,
    /// Findings for the syntax errors.
    pub findings: Vec<Finding>,
}

/// Parses JSON with comments and trailing commas; other extensions of JSON are errors.
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

/// Reports the syntax errors of a text and repairs them where possible.
///
/// Missing commas and closing brackets are added; for any other error its line is blanked out.
pub fn recover(original: &str) -> RecoveredText {
    let mut bytes = original.as_bytes().to_vec();
    let mut skipped = String::new();
    let mut findings = Vec::new();
    for _ in 0..ERROR_LIMIT {
        let text = String::from_utf8_lossy(&bytes);
        let Err(err) = parse(&text) else { break };
        let position = err.range().start.min(original.len());
        let (problem, fix) = explain(err.kind());
        findings.push(finding_at(original, position, "", &problem, fix));
        if !repair(&mut bytes, err.kind(), position, &mut skipped) {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    RecoveredText { text, skipped, findings }
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

/// Repairs the syntax error at `position`. Returns whether the text was changed.
fn repair(
    bytes: &mut Vec<u8>,
    kind: &ParseErrorKind,
    position: usize,
    skipped: &mut String,
) -> bool {
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
    skipped.push_str(&String::from_utf8_lossy(line));
    line.fill(b' ');
    true
}
