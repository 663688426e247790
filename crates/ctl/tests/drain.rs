//! Tests of `parsleyctl drain` against a host process.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("drain", &[&[], &["a", "b"]]);
}

/// A drained host without open requests must exit without an error.
#[test]
fn drained_host_ends() {
    let mut host = host();
    let run = ctl(&host, &["drain", "solo"], "");
    assert_eq!((run.code, &*run.stdout), (Some(0), "solo is draining, 0 requests open\n"));
    assert!(host.wait().unwrap());
}
