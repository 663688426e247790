//! Tests of `parsleyctl apply` against a host process.

mod fixture;

use fixture::{apply, builder, check_usage, ctl, host, resources};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage(
        "apply",
        &[&[], &["-f"], &["-f", "/no/such/file"], &["--odd"], &["-f", "-", "more"]],
    );
}

/// The order of resources in a file must not matter, and an unchanged spec must not be written
/// again.
#[test]
fn applies_in_order_of_references_and_once() {
    let host = host();
    let run = ctl(&host, &["apply", "-f", "-"], &resources());
    assert_eq!(run.code, Some(0), "{run:?}");
    let lines: Vec<_> = run.stdout.lines().collect();
    assert!(lines[0].starts_with("ranks/standard created"), "{lines:?}");
    assert!(lines[1].starts_with("clientaccounts/club created"), "{lines:?}");
    let again = ctl(&host, &["apply", "-f", "-"], &resources());
    assert!(again.stdout.lines().all(|line| line.contains("unchanged")), "{again:?}");
    let changed = resources().replace("5000", "4000");
    let run = ctl(&host, &["apply", "-f", "-", "-o", "json"], &changed);
    assert_eq!(
        (&run.json()[0]["result"], &run.json()[1]["result"]),
        (&"updated".into(), &"unchanged".into())
    );
}

/// All errors must be reported in one run, each with its position in the file. This holds for
/// errors found while parsing and for findings of the host.
#[test]
fn mistakes_are_shown_with_their_place() {
    let host = host();
    let text = "[{\"kind\": \"Rank\", \"name\": \"a\", \"spec\": {\"level\": 900,\n  \"finish_ms\": 0}},\n {\"kind\": \"Rang\", \"spec\": {}}]";
    let run = ctl(&host, &["apply", "-f", "-"], text);
    assert_eq!(run.code, Some(2), "{run:?}");
    assert!(
        run.stderr.contains("standard input:3:2: kind: ") && run.stderr.contains("3:2: name: ")
    );
    let text = text.replace("Rang\"", "Rank\", \"name\": \"b\"");
    let run = ctl(&host, &["apply", "-f", "-"], &text);
    assert_eq!(run.code, Some(2), "{run:?}");
    for position in ["standard input:1:50: spec.level: ", "standard input:2:16: spec.finish_ms: "] {
        assert!(run.stderr.contains(position), "{position} not in {}", run.stderr);
    }
}

/// Applying a file with an outdated revision must not overwrite a later change.
#[test]
fn stale_revision_is_refused() {
    let host = host();
    apply(&host);
    let old = ctl(&host, &["get", "rank", "standard", "-o", "json"], "").stdout;
    ctl(&host, &["apply", "-f", "-"], &resources().replace("5000", "4000"));
    let run = ctl(&host, &["apply", "-f", "-"], &old.replace("120000", "130000"));
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("revision-conflict"), "{run:?}");
    let now = ctl(&host, &["get", "rank", "standard", "-o", "json"], "").json();
    assert_eq!(now["spec"]["first_token_ms"], 4000);
}

/// A write must be reported as successful if it took effect but its response was lost.
#[test]
fn lost_answer_still_reports_the_write() {
    let host = builder().lost_answers().start().unwrap();
    apply(&host);
    let run = ctl(&host, &["get", "ranks", "-o", "json"], "");
    assert_eq!(run.json().as_array().unwrap().len(), 1);
}
