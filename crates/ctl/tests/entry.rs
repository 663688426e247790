//! Tests of `parsleyctl entry` against a host process.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Invalid arguments must exit with code 2.
#[test]
fn usage() {
    check_usage("entry", &[&["more"], &["--failure-domain", "No Domain"]]);
}

/// The entry list must contain the address of the host itself.
#[test]
fn shows_addresses() {
    let host = host();
    let address = host.address.to_string();
    let run = ctl(&host, &["entry", "--failure-domain", "domain-0"], "");
    assert_eq!((run.code, run.stdout), (Some(0), format!("{address}\n")));
    assert_eq!(ctl(&host, &["entry", "-o", "json"], "").json()["addresses"][0], address);
}
