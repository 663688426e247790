//! `parsleyctl dump`.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Guards against wrong use that passes.
#[test]
fn usage() {
    check_usage("dump", &[&[], &["a", "b"], &["nowhere:port"]]);
}

/// Guards against a host that can be named only by its address.
#[test]
fn host_is_named_or_addressed() {
    let host = host();
    assert_eq!(ctl(&host, &["dump", "solo"], "").json()["host"], "solo");
    assert_eq!(ctl(&host, &["dump", &host.address.to_string()], "").json()["host"], "solo");
    let run = ctl(&host, &["dump", "other"], "");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("no live host 'other'"), "{run:?}");
}
