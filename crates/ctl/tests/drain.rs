//! `parsleyctl drain`.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Guards against wrong use that passes.
#[test]
fn usage() {
    check_usage("drain", &[&[], &["a", "b"]]);
}

/// Guards against a drained host that goes on, or that ends with an error.
#[test]
fn drained_host_ends() {
    let mut host = host();
    let run = ctl(&host, &["drain", "solo"], "");
    assert_eq!((run.code, &*run.stdout), (Some(0), "solo is draining, 0 requests open\n"));
    assert!(host.wait().unwrap());
}
