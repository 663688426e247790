//! Tests of the examples in docs/OPERATORS.md against the real programs.

mod fixture;

use fixture::{ctl, host};
use parsley_node::command::SettingsArgs;

/// Returns the code blocks of the page that are fenced as `jsonc` with the given mark.
fn blocks(mark: &str) -> Vec<String> {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let text = std::fs::read_to_string(page).unwrap();
    let found: Vec<_> = text
        .split(&format!("```jsonc {mark}\n"))
        .skip(1)
        .map(|rest| rest.split("```").next().unwrap().to_owned())
        .collect();
    assert!(!found.is_empty());
    found
}

/// A host must accept the settings examples, and each example must contain every settings field.
#[test]
fn settings_example_is_valid_and_complete() {
    for (index, text) in blocks("settings").into_iter().enumerate() {
        let name = format!("parsley-docs-{}-{index}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, &text).unwrap();
        let settings = SettingsArgs { settings: path.clone() }.load();
        std::fs::remove_file(&path).unwrap();
        let settings = settings.unwrap_or_else(|err| panic!("{err}"));
        let complete = serde_json::to_value(&settings).unwrap();
        for field in complete.as_object().unwrap().keys() {
            assert!(text.contains(&format!("\"{field}\"")), "{field}");
        }
    }
}

/// A host must accept the resource examples, and each example must cover every kind.
#[test]
fn resource_examples_are_accepted() {
    let host = host();
    for text in blocks("resources") {
        let run = ctl(&host, &["apply", "-f", "-"], &text);
        assert_eq!(run.code, Some(0), "{run:?}");
        for kind in ["ranks", "models", "clientaccounts", "backendservers"] {
            assert!(run.stdout.contains(kind), "{kind}: {run:?}");
        }
    }
}
