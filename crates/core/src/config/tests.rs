use super::*;

fn item(revision: u64, value: Option<&str>) -> ConfigItem {
    ConfigItem {
        key: resource_key(ResourceKind::Rank, "urgent"),
        revision: Revision(revision),
        value: value.map(Arc::from),
    }
}

const FAST: &str = r#"{"level":0,"first_token_ms":500,"finish_ms":10000}"#;
const SLOW: &str = r#"{"level":0,"first_token_ms":900,"finish_ms":10000}"#;

/// Guards against a late delta from a stale host putting an older revision back in force.
#[test]
fn older_revision_never_replaces_newer() {
    let mut store = ConfigStore::default();
    let newer =
        ConfigDelta { after: Revision(0), complete: Revision(5), items: vec![item(5, Some(FAST))] };
    let older =
        ConfigDelta { after: Revision(0), complete: Revision(3), items: vec![item(3, Some(SLOW))] };
    assert!(store.apply(newer));
    assert!(!store.apply(older));
    assert_eq!(store.resources().ranks["urgent"].first_token_ms, 500);
    assert_eq!(store.complete(), Revision(5));
}

/// Guards against a host claiming to be complete although a delta left a gap.
#[test]
fn delta_with_gap_does_not_advance_complete() {
    let mut store = ConfigStore::default();
    let delta =
        ConfigDelta { after: Revision(4), complete: Revision(6), items: vec![item(6, Some(FAST))] };
    assert!(store.apply(delta));
    assert_eq!(store.complete(), Revision(0));
}
