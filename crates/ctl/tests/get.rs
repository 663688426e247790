//! Tests of `parsleyctl get` against a host process.

mod fixture;

use fixture::{apply, check_usage, command, ctl, finish, host};
use parsley_standins::solo::OPERATOR_TOKEN;

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage(
        "get",
        &[&[], &["colours"], &["ranks", "a", "b"], &["ranks", "-o", "xml"], &["ranks"]],
    );
}

/// Table columns must be aligned, and the JSON output must be parseable.
#[test]
fn table_and_json() {
    let host = host();
    apply(&host);
    let run = ctl(&host, &["get", "ranks"], "");
    let lines: Vec<_> = run.stdout.lines().collect();
    assert!(lines[0].starts_with("NAME      LEVEL  FIRST TOKEN MS"), "{run:?}");
    assert!(lines[1].starts_with("standard  1      5000") && lines[1].ends_with("ok"), "{run:?}");
    let run = ctl(&host, &["get", "ClientAccount", "club", "-o", "json"], "");
    assert_eq!(run.json()["spec"]["ranks"][0], "standard");
    assert_eq!(ctl(&host, &["get", "rank", "none"], "").code, Some(1));
}

/// The token must be accepted from a file and from the environment, so that it need not appear on
/// the command line. A wrong token must be rejected and must not appear in the error message.
#[test]
fn token_comes_from_a_file_or_the_environment_and_is_not_shown() {
    let host = host();
    let address = host.address.to_string();
    let path = std::env::temp_dir().join(format!("parsley-token-{}", std::process::id()));
    std::fs::write(&path, format!("{OPERATOR_TOKEN}\n")).unwrap();
    let file = path.to_str().unwrap();
    let run = finish(command(&["get", "ranks", "--server", &address, "--token-file", file]), "");
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run.code, Some(0), "{run:?}");
    let mut wrong = command(&["get", "ranks", "--server", &address]);
    wrong.env("PARSLEY_TOKEN", "wrong-secret");
    let run = finish(wrong, "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("unauthenticated") && !run.stderr.contains("wrong-secret"));
}

/// A read must fail over to the next server if the first one is unreachable.
#[test]
fn next_server_is_asked() {
    let host = host();
    let mut command = command(&["get", "ranks"]);
    command.env("PARSLEY_SERVER", format!("127.0.0.1:9,{}", host.address));
    command.env("PARSLEY_TOKEN", OPERATOR_TOKEN);
    assert_eq!(finish(command, "").code, Some(0));
}

/// A list that spans several pages of the API must be complete.
#[test]
fn every_page_is_listed() {
    let host = host();
    let model = |index| {
        format!(r#"{{"kind": "Model", "name": "m-{index}", "spec": {{"context_tokens": 1000}}}}"#)
    };
    let models: Vec<_> = (0..60).map(model).collect();
    let run = ctl(&host, &["apply", "-f", "-"], &format!("[{}]", models.join(",")));
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(ctl(&host, &["get", "models"], "").stdout.lines().count(), 61);
}
