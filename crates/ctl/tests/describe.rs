//! Tests of `parsleyctl describe` against a host process.

mod fixture;

use fixture::{apply, check_usage, ctl, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("describe", &[&[], &["ranks"], &["ranks", "No Name"]]);
}

/// The description must contain the conditions, and the JSON the revision in force.
#[test]
fn shows_conditions_and_spec() {
    let host = host();
    apply(&host);
    let run = ctl(&host, &["describe", "clientaccounts", "club"], "");
    assert_eq!(run.code, Some(0), "{run:?}");
    for part in
        ["Kind:        ClientAccount", "InForce              yes", "ReferencesResolved   yes"]
    {
        assert!(run.stdout.contains(part), "{part} not in {}", run.stdout);
    }
    let json = ctl(&host, &["describe", "clientaccounts", "club", "-o", "json"], "").json();
    assert_eq!(json["status"]["observedRevision"], json["revision"]);
}
