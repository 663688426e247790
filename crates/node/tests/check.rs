//! `parsleystage check` and the refusal of `parsleystage serve` to start on a wrong file.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

const WRONG: &str = r#"{
    // A host of the first failure domain.
    "name": "host-0",
    "region": "north",
    "failure_domain": "north-1",
    "listen": "localhost",
    "peer_listen": "127.0.0.1:7200",
    "peer_key": "a long shared secret",
    "store": ["127.0.0.1:2379"],
    "capacity": "large",
    "colour": "green",
}
"#;

fn run(command: &str, name: &str, text: &str) -> (PathBuf, Output) {
    let path = std::env::temp_dir().join(format!("parsley-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_parsleystage"))
        .args([command, "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    (path, output)
}

/// Guards against an operator who has to mend a file one mistake at a time.
#[test]
fn three_mistakes_give_three_findings_with_line_and_column() {
    let (path, output) = run("check", "three.json", WRONG);
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(lines.len(), 3, "{text}");
    for (line, start) in
        lines.iter().zip([":6:15: listen: ", ":10:17: capacity: ", ":11:5: colour: "])
    {
        assert!(line.starts_with(&format!("{}{start}", path.display())), "{line}");
    }
}

/// Guards against a host that starts although its settings are wrong.
#[test]
fn serve_does_not_start_on_a_wrong_file() {
    let (_, output) = run("serve", "serve.json", WRONG);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(String::from_utf8(output.stderr).unwrap().lines().count(), 3);
}

/// Guards against a file that is valid but refused, and against settings read differently by
/// `check` and `serve`.
#[test]
fn valid_file_passes() {
    let text = WRONG
        .replace("localhost", "127.0.0.1:7100")
        .replace("\"large\"", "2")
        .replace("\"colour\": \"green\",", "");
    let (_, output) = run("check", "valid.json", &text);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("host-0"));
}

/// Guards against `--help` that fails and a missing option that passes.
#[test]
fn help_succeeds_and_wrong_use_exits_with_2() {
    let program = env!("CARGO_BIN_EXE_parsleystage");
    let help = Command::new(program).args(["check", "--help"]).output().unwrap();
    assert!(help.status.success());
    assert!(String::from_utf8(help.stdout).unwrap().contains("--settings FILE"));
    let wrong = Command::new(program).arg("check").output().unwrap();
    assert_eq!(wrong.status.code(), Some(2));
    let missing = Command::new(program).args(["check", "--settings", "/no/such"]).output().unwrap();
    assert_eq!(missing.status.code(), Some(2), "an unreadable file is wrong input");
}
