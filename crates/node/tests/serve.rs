//! `parsleystage serve`: start, stop and failures of both.

use std::process::Command;

use http_types::Method::{Get, Put};
use parsley_standins::solo::SoloBuilder;

fn solo() -> SoloBuilder {
    SoloBuilder::new(env!("CARGO_BIN_EXE_parsleystage"))
}

/// Guards against `--help` that fails and wrong use that passes.
#[test]
fn help_succeeds_and_wrong_use_exits_with_2() {
    let run = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_parsleystage")).args(arguments).output().unwrap()
    };
    assert!(run(&["serve", "--help"]).status.success());
    assert!(run(&["--version"]).status.success());
    for wrong in [&["serve"][..], &["serve", "--odd"], &["serve", "--settings"], &["start"], &[]] {
        assert_eq!(run(wrong).status.code(), Some(2), "{wrong:?}");
    }
}

/// Guards against a signal that ends the process without draining, and against lost last lines of
/// the log.
#[test]
fn signal_drains_and_ends_with_success() {
    let mut host = solo().start().unwrap();
    let create = [("if-none-match", "*")];
    let rank = r#"{"level":1,"first_token_ms":5,"finish_ms":10}"#;
    assert_eq!(host.admin(Put, "ranks/a", &create, rank).unwrap().0, 201);
    host.signal("TERM").unwrap();
    // The host still answers while callers may hold its address, and no longer hands it out.
    let is_draining = |_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        host.request(Get, "/readyz", None, &[], "").unwrap().0 == 503
    };
    assert!((0..1_000).any(is_draining));
    let (status, body) = host.request(Get, "/v1/entry", None, &[], "").unwrap();
    assert_eq!((status, body["addresses"].as_array().unwrap().len()), (200, 0));
    assert!(host.wait().unwrap());
    let numbers: Vec<_> = host.log().unwrap().iter().map(|line| line["event"].clone()).collect();
    let at = |number: &str| numbers.iter().position(|one| one == number).expect(number);
    assert!(at("E1001") < at("E1003") && at("E1003") < at("E1002"), "{numbers:?}");
    let draining = &host.log().unwrap()[at("E1003")];
    assert_eq!(draining["by"], "signal");
}

/// Guards against a second host on the same address that seems to run.
#[test]
fn address_in_use_fails() {
    let first = solo().start().unwrap();
    let path = std::env::temp_dir().join(format!("parsley-serve-{}.json", std::process::id()));
    let settings = serde_json::json!({
        "name": "second", "region": "r", "failure_domain": "d", "listen": first.address,
        "peer_listen": "127.200.1.1:7299", "peer_key": "stand-in fleet",
        "store": [first.store_address()],
    });
    std::fs::write(&path, settings.to_string()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_parsleystage"))
        .args(["serve", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("in use") && text.contains(&first.address.to_string()), "{text}");
}
