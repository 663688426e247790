//! Tests of `parsleyctl delete` against a host process.

mod fixture;

use fixture::{apply, check_usage, ctl, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("delete", &[&[], &["ranks"], &["ranks", "a", "--revision", "x"]]);
}

/// A resource that is still referenced, or whose revision is not the expected one, must not be
/// deleted.
#[test]
fn deletes_only_unused_resources_at_a_seen_revision() {
    let host = host();
    apply(&host);
    let run = ctl(&host, &["delete", "rank", "standard"], "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("clientaccounts/club"), "{run:?}");
    let run = ctl(&host, &["delete", "clientaccount", "club", "--revision", "1"], "");
    assert!(run.stderr.contains("revision-conflict"), "{run:?}");
    let run = ctl(&host, &["delete", "clientaccount", "club"], "");
    assert_eq!((run.code, &*run.stdout), (Some(0), "clientaccounts/club deleted\n"));
    assert_eq!(ctl(&host, &["delete", "rank", "standard"], "").code, Some(0));
    assert_eq!(ctl(&host, &["delete", "rank", "standard"], "").code, Some(1));
}
