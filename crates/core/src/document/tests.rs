use arbtest::arbtest;

use super::*;

fn findings(text: &str) -> Vec<Finding> {
    let read = |reader: &mut ObjectReader| {
        reader.field("name").required("\"a\"").name();
        reader.field("size").number(1..=9);
        reader.field("peers").list(4, Field::address);
        Some(())
    };
    super::read(text, read).err().unwrap_or_default()
}

fn places(text: &str) -> Vec<(u32, u32, String)> {
    let place = |finding: &Finding| (finding.line, finding.column, finding.field.to_string());
    findings(text).iter().map(place).collect()
}

/// Guards against a syntax error that hides the mistakes after it.
#[test]
fn syntax_error_does_not_hide_other_mistakes() {
    let text = "{\n  \"name\": \"a\"\n  \"size\": 10,\n  \"peers\": [\"x\"],\n  \"odd\" 1,\n}";
    let expected = [(2, 14, ""), (3, 11, "size"), (4, 13, "peers[0]"), (5, 9, "")];
    let found = places(text);
    let found: Vec<_> =
        found.iter().map(|(line, column, field)| (*line, *column, &**field)).collect();
    assert_eq!(found, expected);
}

/// Guards against a field that is reported as missing because its line has a syntax error.
#[test]
fn field_on_a_line_with_a_syntax_error_is_not_missing() {
    assert_eq!(places("{\n\"name\": a,\n\"size\": 1\n}").len(), 1);
    assert_eq!(places("{\"size\": 1"), [(1, 1, String::new()), (1, 1, "name".to_owned())]);
}

/// Guards against duplicates that silently override one another.
#[test]
fn duplicates_are_reported() {
    let text = r#"{"name":"a","name":"b","peers":["1.1.1.1:1","1.1.1.1:1"]}"#;
    let fields: Vec<_> = places(text).into_iter().map(|(_, _, field)| field).collect();
    assert_eq!(fields, ["name", "peers[1]"]);
}

/// Guards against a panic or an endless loop on any input, including truncated and deeply nested
/// documents.
#[test]
fn no_input_panics() {
    arbtest(|u| {
        const PARTS: [&str; 16] = [
            "{", "}", "[", "]", "\"name\"", ":", ",", "\"é\n", "//", "/*", "9", "-1.5e999", "null",
            "'", "\n", "\\u00",
        ];
        let mut text = String::new();
        for _ in 0..u.arbitrary_len::<u8>()?.min(64) {
            text.push_str(u.choose(&PARTS)?);
        }
        text.push_str(u.arbitrary::<&str>()?);
        findings(&text);
        Ok(())
    });
    assert!(!findings(&"[".repeat(100_000)).is_empty());
    assert!(!findings(&"{\"name\":".repeat(100_000)).is_empty());
}
