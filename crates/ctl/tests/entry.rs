//! `parsleyctl entry`.

mod fixture;

use fixture::{check_usage, ctl, host};

/// Guards against wrong use that passes.
#[test]
fn usage() {
    check_usage("entry", &[&["more"], &["--failure-domain", "No Domain"]]);
}

/// Guards against an entry answer without the host's address.
#[test]
fn shows_addresses() {
    let host = host();
    let address = host.address.to_string();
    let run = ctl(&host, &["entry", "--failure-domain", "domain-0"], "");
    assert_eq!((run.code, run.stdout), (Some(0), format!("{address}\n")));
    assert_eq!(ctl(&host, &["entry", "-o", "json"], "").json()["addresses"][0], address);
}
