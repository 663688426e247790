//! Tests of `parsleyctl status` against a host process.

mod fixture;

use fixture::{apply, check_usage, command, ctl, finish, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("status", &[&["more"], &["--server", "nowhere"], &[]]);
}

/// The status must contain the readiness of the host and its member list.
#[test]
fn shows_the_host_and_its_members() {
    let host = host();
    apply(&host);
    let run = ctl(&host, &["status"], "");
    assert!(run.stdout.contains("Ready:          true"), "{run:?}");
    assert!(run.stdout.lines().last().unwrap().starts_with("solo  region-0  domain-0"), "{run:?}");
    assert_eq!(ctl(&host, &["status", "-o", "json"], "").json()["resources"]["ranks"], 1);
}

/// The command must fail and name the address if no host responds.
#[test]
fn unreachable_host_fails() {
    let run = finish(command(&["status", "--server", "127.0.0.1:9"]), "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("127.0.0.1:9"), "{run:?}");
}
