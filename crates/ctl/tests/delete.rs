//! `parsleyctl delete`.

mod fixture;

use fixture::{apply, check_usage, ctl, host};

/// Guards against wrong use that passes.
#[test]
fn usage() {
    check_usage("delete", &[&[], &["ranks"], &["ranks", "a", "--revision", "x"]]);
}

/// Guards against the deletion of what is referred to, or at a revision that was not seen.
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
