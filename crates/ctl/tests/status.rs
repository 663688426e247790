//! `parsleyctl status`.

mod fixture;

use fixture::{apply, check_usage, command, ctl, finish, host};

/// Guards against wrong use that passes.
#[test]
fn usage() {
    check_usage("status", &[&["more"], &["--server", "nowhere"], &[]]);
}

/// Guards against a status without the host's readiness or the hosts it knows.
#[test]
fn shows_the_host_and_its_members() {
    let host = host();
    apply(&host);
    let run = ctl(&host, &["status"], "");
    assert!(run.stdout.contains("Ready:          true"), "{run:?}");
    assert!(run.stdout.lines().last().unwrap().starts_with("solo  region-0  domain-0"), "{run:?}");
    assert_eq!(ctl(&host, &["status", "-o", "json"], "").json()["resources"]["ranks"], 1);
}

/// Guards against a success when no host answers.
#[test]
fn unreachable_host_fails() {
    let run = finish(command(&["status", "--server", "127.0.0.1:9"]), "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("127.0.0.1:9"), "{run:?}");
}
