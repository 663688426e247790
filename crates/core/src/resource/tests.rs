use arbtest::arbtest;

use super::*;

const DIGEST: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn account(ranks: &str) -> String {
    format!(r#"{{"credential_digests":["{DIGEST}"],"ranks":[{ranks}]}}"#)
}

fn set() -> ResourceSet {
    let mut set = ResourceSet::default();
    let rank = r#"{"level":0,"first_token_ms":500,"finish_ms":10000,"guaranteed_percent":60}"#;
    let engine = r#"{"address":"10.0.0.1:80","region":"r","failure_domain":"d",
        "role":{"type":"engine","models":["inspector"],"memory_tokens":1000,"batch":8}}"#;
    set.put(ResourceKind::Rank, "urgent", rank).unwrap();
    set.put(ResourceKind::Model, "inspector", r#"{"context_tokens":1000}"#).unwrap();
    set.put(ResourceKind::ClientAccount, "club", &account("\"urgent\"")).unwrap();
    set.put(ResourceKind::BackendServer, "engine-0", engine).unwrap();
    set
}

fn fields(kind: ResourceKind, name: &str, text: &str) -> Vec<String> {
    let findings = read_spec(kind, name, text, Some(&set())).err().unwrap_or_default();
    findings.iter().map(|finding| finding.field.to_string()).collect()
}

/// Guards against a mistake in a specification that is accepted or hides another one.
#[test]
fn every_finding_of_a_spec_is_reported() {
    let text = r#"{"credential_digests":["x"],"ranks":["urgent","gold"],"weight":0,"color":1}"#;
    let expected = ["credential_digests[0]", "ranks[1]", "weight", "color"];
    assert_eq!(fields(ResourceKind::ClientAccount, "new", text), expected);
    let text = r#"{"level":0,"first_token_ms":9,"finish_ms":8,"guaranteed_percent":41}"#;
    let expected = ["level", "first_token_ms", "guaranteed_percent"];
    assert_eq!(fields(ResourceKind::Rank, "batch", text), expected);
    let text = r#"{"address":"10.0.0.1:80","region":"r",
        "role":{"type":"engine","models":["none"],"memory_tokens":0}}"#;
    let expected =
        ["failure_domain", "address", "role.batch", "role.models[0]", "role.memory_tokens"];
    let mut found = fields(ResourceKind::BackendServer, "engine-1", text);
    found.sort();
    let mut expected = expected.map(str::to_owned).to_vec();
    expected.sort();
    assert_eq!(found, expected);
    assert_eq!(fields(ResourceKind::Model, "m", r#"{"adapters":["a","a"]}"#).len(), 2);
}

/// Guards against a resource whose second application conflicts with its own first one.
#[test]
fn resource_does_not_conflict_with_itself() {
    let rank = r#"{"level":0,"first_token_ms":5,"finish_ms":10,"guaranteed_percent":100}"#;
    assert!(fields(ResourceKind::Rank, "urgent", rank).is_empty());
    assert!(fields(ResourceKind::ClientAccount, "club", &account("\"urgent\"")).is_empty());
    assert_eq!(fields(ResourceKind::ClientAccount, "other", &account("\"urgent\"")).len(), 1);
}

/// Guards against an invalid stored value that replaces a valid resource in force.
#[test]
fn invalid_value_leaves_the_set_as_it_was() {
    let mut set = set();
    let before = set.clone();
    let wrong = r#"{"spec":{"level":0,"first_token_ms":0,"finish_ms":1},"write_id":"w"}"#;
    assert!(set.put(ResourceKind::Rank, "urgent", wrong).is_err());
    assert_eq!(set, before);
    let found = conditions(ResourceKind::Rank, "urgent", wrong, &set);
    assert_eq!((&*found[0].kind, found[0].status), ("InForce", false));
}

/// Guards against a stored value that changes when it is encoded and decoded.
#[test]
fn stored_value_survives_encoding() {
    let spec = serde_json::json!({"context_tokens": 5});
    let stored =
        StoredResource { spec, write_id: "w-1".into(), operator: "ab".into(), written_ms: 7 };
    assert_eq!(StoredResource::decode(&stored.encode()).unwrap(), stored);
    let mut set = ResourceSet::default();
    set.put(ResourceKind::Model, "m", &stored.encode()).unwrap();
    assert_eq!(set.models["m"].context_tokens, 5);
}

/// Guards against a reference that is missing after a race but is not reported, and against the
/// deletion of a resource in use.
#[test]
fn missing_reference_is_a_condition_and_referrers_are_listed() {
    let mut set = set();
    assert_eq!(referrers(ResourceKind::Rank, "urgent", &set), ["clientaccounts/club".into()]);
    assert_eq!(
        referrers(ResourceKind::Model, "inspector", &set),
        ["backendservers/engine-0".into()]
    );
    set.remove(ResourceKind::Rank, "urgent");
    let found = conditions(ResourceKind::ClientAccount, "club", &account("\"urgent\""), &set);
    assert!(found[0].status && !found[1].status, "{found:?}");
    assert!(found[1].message.contains("ranks/urgent"));
}

/// Guards against hosts that disagree on the account of a token that two accounts got by a race.
/// The result must not depend on the order of arrival, both accounts must report the conflict, and
/// if one account is deleted, the other keeps the token.
#[test]
fn shared_token_is_resolved_alike_on_all_hosts() {
    let spec = account("\"urgent\"");
    for order in [["a", "b"], ["b", "a"]] {
        let mut set = set();
        set.remove(ResourceKind::ClientAccount, "club");
        for name in order {
            set.put(ResourceKind::ClientAccount, name, &spec).unwrap();
        }
        assert_eq!(&*set.digests[DIGEST], "a");
        for name in order {
            let found = conditions(ResourceKind::ClientAccount, name, &spec, &set);
            assert_eq!((&*found[2].kind, found[2].status), ("Consistent", false), "{found:?}");
        }
        set.remove(ResourceKind::ClientAccount, "a");
        assert_eq!(&*set.digests[DIGEST], "b");
        let found = conditions(ResourceKind::ClientAccount, "b", &spec, &set);
        assert!(found[2].status, "{found:?}");
    }
}

/// Guards against a panic on any stored value or specification.
#[test]
fn no_value_panics() {
    let valid = account("\"urgent\"");
    arbtest(|u| {
        let at = u.choose_index(valid.len())?;
        let end = at + u.choose_index(valid.len() - at)?;
        let text = format!("{}{}{}", &valid[..at], u.arbitrary::<&str>()?, &valid[end..]);
        for kind in ResourceKind::ALL {
            drop(read_spec(kind, "a", &text, Some(&set())));
            drop(ResourceSet::default().put(kind, "a", &text));
            conditions(kind, "a", &text, &set());
        }
        Ok(())
    });
}
