//! Tests of `parsleyctl dump` against a host process.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("dump", &[&[], &["a", "b"], &["nowhere:port"]]);
}

/// A host can be given by name or by address; an unknown name is an error.
#[test]
fn host_is_named_or_addressed() {
    let host = host();
    assert_eq!(ctl(&host, &["dump", "solo"], "").json()["host"], "solo");
    assert_eq!(ctl(&host, &["dump", &host.address.to_string()], "").json()["host"], "solo");
    let run = ctl(&host, &["dump", "other"], "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("no live host 'other'"), "{run:?}");
}
