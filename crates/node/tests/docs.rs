//! Reasons and metrics of the operators' page, against the program.

use std::collections::BTreeSet;

use http_types::Method::Get;
use parsley_core::refusal::Reason;
use parsley_standins::solo::{OPERATOR_TOKEN, SoloBuilder};

/// First cells and second cells of the page's tables, for rows that start with a word in code.
fn rows() -> Vec<(String, String)> {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let text = std::fs::read_to_string(page).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|line| {
        let mut cells = line.trim_matches('|').split('|').map(|cell| cell.trim().trim_matches('`'));
        (cells.next().unwrap().to_owned(), cells.next().unwrap().to_owned())
    })
    .collect()
}

/// Guards against a reason or status that operators cannot look up.
#[test]
fn reasons_are_documented() {
    let page: BTreeSet<_> =
        rows().into_iter().filter(|(name, _)| !name.starts_with("parsley_")).collect();
    let code: BTreeSet<_> = Reason::ALL
        .iter()
        .map(|reason| (reason.name().to_owned(), reason.status().to_string()))
        .collect();
    assert_eq!(page, code);
}

/// Guards against a metric that is not documented, or documented and not there.
#[test]
fn metrics_are_documented() {
    let host = SoloBuilder::new(env!("CARGO_BIN_EXE_parsleystage")).start().unwrap();
    // One refusal, one write and one datagram, since a metric without a value is not shown.
    let create = [("if-none-match", "*")];
    let (status, _) = host.admin(http_types::Method::Put, "ranks/a", &create, "{}").unwrap();
    assert_eq!(status, 400);
    let (_, text) = host.request(Get, "/metrics", Some(OPERATOR_TOKEN), &[], "").unwrap();
    let shown: BTreeSet<_> = text
        .as_str()
        .unwrap()
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .map(|line| line.split_once(' ').unwrap())
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect();
    let page: BTreeSet<_> =
        rows().into_iter().filter(|(name, _)| name.starts_with("parsley_")).collect();
    // A solo host has no peers and no engines, so these have no value.
    let absent = ["parsley_control_bytes_total", "parsley_first_token_seconds"];
    let expected: BTreeSet<_> =
        page.into_iter().filter(|(name, _)| !absent.contains(&&**name)).collect();
    assert_eq!(shown, expected);
}
