//! The catalogue of log events, its page and its uses.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
};

use parsley_node::{
    event,
    log::{self, CATALOGUE, LogEvent},
};
use slog::{Drain, Logger, o};

/// What the page and the catalogue must agree on.
#[derive(Debug, PartialEq)]
struct Row {
    level: String,
    text: String,
    fields: Vec<String>,
}

fn catalogue() -> BTreeMap<String, Row> {
    let row = |event: &LogEvent| Row {
        level: event.level.as_str().to_lowercase(),
        text: event.text.to_owned(),
        fields: event.fields.iter().map(|field| (*field).to_owned()).collect(),
    };
    CATALOGUE.iter().map(|event| (event.number.to_owned(), row(event))).collect()
}

/// Guards against an event that operators cannot look up, and against a page that differs from what
/// hosts write.
#[test]
fn page_and_catalogue_agree() {
    let page = fs::read_to_string(root().join("../../docs/events.md")).unwrap();
    let mut rows = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| E")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [number, level, text, fields, meaning, action] = cells[..] else {
            panic!("not six columns: {line}")
        };
        assert!(!meaning.is_empty() && !action.is_empty(), "{line}");
        let fields = fields.split(", ").filter(|field| *field != "-").map(str::to_owned).collect();
        let row = Row { level: level.to_owned(), text: text.to_owned(), fields };
        assert!(rows.insert(number.to_owned(), row).is_none(), "{number} occurs twice");
    }
    assert_eq!(catalogue().len(), CATALOGUE.len(), "a number occurs twice");
    assert_eq!(rows, catalogue());
}

/// Guards against an event written past the catalogue, without one of its fields or with another,
/// and against an entry that nothing writes.
#[test]
fn every_use_has_the_fields_of_its_entry() {
    let mut used = BTreeSet::new();
    let catalogue_text = fs::read_to_string(root().join("src/log.rs")).unwrap();
    let folders = [root().join("src"), root().join("../../platform/src")];
    for (path, text) in folders.iter().flat_map(|folder| sources(folder)) {
        if path.ends_with("log.rs") {
            continue;
        }
        let mut lines = text.lines().filter(|line| line.contains("slog::"));
        let is_macro =
            |line: &str| ["info", "warn", "error", "debug"].iter().any(|one| line.contains(one));
        assert!(!lines.any(is_macro), "{path}: write events with event!");
        for call in text.split("event!(").skip(1).map(arguments) {
            let name = call.split(',').nth(1).unwrap().trim();
            let entry = catalogue_text.split(&format!("    {name}: \"")).nth(1);
            let number =
                &entry.unwrap_or_else(|| panic!("{path}: {name} is not in the catalogue"))[..5];
            let pieces: Vec<_> = call.split("=>").collect();
            let fields: Vec<_> = pieces[..pieces.len() - 1]
                .iter()
                .map(|piece| piece.trim_end().trim_end_matches('"'))
                .map(|piece| piece.rsplit_once('"').unwrap().1.to_owned())
                .collect();
            assert_eq!(fields, catalogue()[number].fields, "{path}: {name}");
            used.insert(number.to_owned());
        }
    }
    let known: BTreeSet<_> = catalogue().into_keys().collect();
    assert_eq!(used, known);
}

/// Guards against a JSON line without the keys that log processing relies on, and against a
/// terminal line without the number and fields.
#[test]
fn both_forms_show_number_and_fields() {
    let buffer = SharedBuffer::default();
    let json = Mutex::new(log::json(buffer.clone())).fuse();
    event!(Logger::root(json, o!()), DRAINING, "by" => "signal");
    let line: serde_json::Value = serde_json::from_str(&buffer.text()).unwrap();
    assert_eq!((&line["event"], &line["by"]), (&"E1003".into(), &"signal".into()));
    assert_eq!((&line["msg"], &line["level"]), (&"draining".into(), &"INFO".into()));
    assert!(line["ts"].is_string());
    let buffer = SharedBuffer::default();
    let terminal = log::terminal(slog_term::PlainSyncDecorator::new(buffer.clone())).fuse();
    event!(Logger::root(terminal, o!()), DRAINING, "by" => "signal");
    let text = buffer.text();
    assert!(
        text.contains("draining") && text.contains("E1003") && text.contains("signal"),
        "{text}"
    );
}

/// The text up to the parenthesis that closes the call.
fn arguments(text: &str) -> &str {
    let mut depth = 1;
    let end = text.char_indices().find(|(_, letter)| {
        depth += match letter {
            '(' => 1,
            ')' => -1,
            _ => 0,
        };
        depth == 0
    });
    &text[..end.unwrap().0]
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn sources(folder: &Path) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else {
            found.push((path.display().to_string(), fs::read_to_string(&path).unwrap()));
        }
    }
    found
}

#[derive(Clone, Default)]
struct SharedBuffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.bytes.lock().unwrap().clone()).unwrap()
    }
}

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
