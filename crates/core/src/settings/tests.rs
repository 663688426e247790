use arbtest::arbtest;

use super::*;

const VALID: &str = r#"{
    "name": "host-0", "region": "north", "failure_domain": "north-1",
    "listen": "127.0.0.1:7100", "peer_listen": "127.0.0.1:7200",
    "peer_key": "a long shared secret", // rotated each quarter
    "store": ["127.0.0.1:2379"],
}"#;

fn fields(text: &str) -> Vec<String> {
    parse(text).err().unwrap_or_default().iter().map(|finding| finding.field.to_string()).collect()
}

/// Guards against refusing a valid file, and against absent fields without their defaults.
#[test]
fn valid_file_has_defaults() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.limits, RequestLimits::default());
    assert_eq!((settings.capacity, settings.tls), (1, None));
}

/// Guards against kinds of mistakes that are not reported: invalid addresses, duplicates, values
/// out of range, wrong types, missing, unknown and nested fields.
#[test]
fn every_kind_of_mistake_is_reported_together() {
    let text = r#"{
        "name": "Host 0", "region": 7, "failure_domain": "", "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:7200", "peer_key": "short", "store": [],
        "seeds": ["127.0.0.1:1", "127.0.0.1:1"], "operator_digests": ["token"], "capacity": 0,
        "tls": {"key_file": "k"}, "limits": {"body_bytes": 1, "bodies": 2}
    }"#;
    let expected = [
        "name",
        "region",
        "failure_domain",
        "listen",
        "peer_key",
        "store",
        "seeds[1]",
        "operator_digests[0]",
        "capacity",
        "tls.certificate_file",
        "limits.body_bytes",
        "limits.bodies",
    ];
    assert_eq!(fields(text), expected);
}

/// Guards against a host that listens for callers and peers on the same address.
#[test]
fn equal_addresses_are_reported() {
    assert_eq!(fields(&VALID.replace("7200", "7100")), ["peer_listen"]);
}

/// Guards against a builder that applies other rules than the parser of settings files.
#[test]
fn builder_applies_the_rules_of_a_file() {
    let builder = HostSettings::builder("host-0")
        .location("north", "north-1")
        .addresses("127.0.0.1:7100", "127.0.0.1:7200")
        .peer_key("a long shared secret")
        .store("127.0.0.1:2379");
    assert_eq!(builder.clone().build().unwrap(), parse(VALID).unwrap());
    let findings = builder.capacity(0).build().unwrap_err();
    assert_eq!(&*findings[0].field, "capacity");
}

/// Guards against a panic on a damaged file in which any range is replaced by any text.
#[test]
fn damaged_file_does_not_panic() {
    arbtest(|u| {
        let at = u.choose_index(VALID.len())?;
        let end = at + u.choose_index(VALID.len() - at)?;
        let text = format!("{}{}{}", &VALID[..at], u.arbitrary::<&str>()?, &VALID[end..]);
        drop(parse(&text));
        Ok(())
    });
}

/// Guards against a peer key in log or panic messages that contain the settings.
#[test]
fn debug_form_has_no_secret() {
    let text = format!("{:?}", parse(VALID).unwrap());
    assert!(text.contains("host-0") && !text.contains("a long shared secret"), "{text}");
}
