use super::*;
use crate::fixed_cases;

const FAST: &str = r#"{"level":0,"first_token_ms":500,"finish_ms":10000}"#;
const SLOW: &str = r#"{"level":0,"first_token_ms":900,"finish_ms":10000}"#;

fn item(name: &str, revision: u64, value: Option<&str>) -> ConfigItem {
    let key = resource_key(ResourceKind::Rank, name);
    ConfigItem { key, revision: Revision(revision), value: value.map(Arc::from) }
}

fn delta(after: u64, complete: u64, items: Vec<ConfigItem>) -> ConfigInput {
    ConfigInput::Delta(ConfigDelta { after: Revision(after), complete: Revision(complete), items })
}

/// Guards against a delayed delta from a stale host that puts an older revision back in force.
#[test]
fn older_revision_never_replaces_newer() {
    let mut store = ConfigStore::default();
    let newer = store.step(Time::ZERO, delta(0, 5, vec![item("urgent", 5, Some(FAST))]));
    assert!(newer.contains(&ConfigOutput::Changed));
    let older = store.step(Time::ZERO, delta(0, 3, vec![item("urgent", 3, Some(SLOW))]));
    assert_eq!(older, vec![]);
    assert_eq!(store.resources().ranks["urgent"].first_token_ms, 500);
    assert_eq!(store.complete_revision(), Revision(5));
}

/// Guards against a host that counts as complete although a delta left a gap.
#[test]
fn delta_with_gap_does_not_advance_complete() {
    let mut store = ConfigStore::default();
    store.step(Time::ZERO, delta(4, 6, vec![item("urgent", 6, Some(FAST))]));
    assert!(store.resources().ranks.contains_key("urgent"));
    assert_eq!(store.complete_revision(), Revision(0));
}

/// Guards against a deleted resource that comes back from a host which was away until the other
/// hosts had dropped the tombstone.
#[test]
fn deletion_is_not_undone_after_its_tombstone_is_dropped() {
    let mut store = ConfigStore::default();
    store.step(Time::ZERO, delta(0, 1, vec![item("a", 1, Some(FAST))]));
    let mut away = ConfigStore::default();
    away.step(Time::ZERO, ConfigInput::Delta(store.delta(Revision(0))));
    store.step(Time::ZERO, delta(1, 2, vec![item("a", 2, None)]));
    let later = Time::ZERO + TOMBSTONE_RETENTION;
    store.step(later, ConfigInput::Tick);
    assert!(store.item(&resource_key(ResourceKind::Rank, "a")).is_none());
    store.step(later, ConfigInput::Delta(away.delta(Revision(0))));
    assert!(store.resources().ranks.is_empty(), "the deletion was undone");
    let answer = store.delta(away.complete_revision());
    assert_eq!(answer.after, Revision(0), "the answer hides that it lacks a deletion");
    away.step(later, ConfigInput::Delta(answer));
    assert!(away.resources().ranks.is_empty(), "the snapshot did not drop the key");
    assert_eq!(away.complete_revision(), Revision(2));
}

/// Guards against a burst of announcements that makes a host pull the same changes many times, and
/// against a host that waits for a dead peer forever.
#[test]
fn one_pull_at_a_time() {
    let mut store = ConfigStore::default();
    let ahead = |host: &str, revision| ConfigInput::PeerRevision {
        host: host.into(),
        revision: Revision(revision),
    };
    let pull = |host: &str| ConfigOutput::Pull { host: host.into(), after: Revision(0) };
    assert_eq!(store.step(Time::ZERO, ahead("a", 3)), vec![pull("a")]);
    assert_eq!(store.step(Time::ZERO, ahead("b", 3)), vec![]);
    let later = Time::ZERO + PULL_TIMEOUT;
    store.step(later, ConfigInput::Tick);
    assert_eq!(store.step(later, ahead("b", 3)), vec![pull("b")]);
}

/// Guards against a number of watches that grows with the fleet, and against a region without one.
#[test]
fn three_hosts_of_each_region_watch_the_service() {
    use crate::member::{MemberInput, MemberKind, MemberMessage, MemberState};
    let record = |index: usize| MemberRecord {
        name: format!("host-{index}").into(),
        region: format!("region-{}", index % 3).into(),
        failure_domain: "d".into(),
        address: "".into(),
        peer_address: "".into(),
        capacity: 1,
        incarnation: 1,
        state: MemberState::Alive,
    };
    let watchers = (0..60).filter(|me| {
        let rng = fastrand::Rng::with_seed(1);
        let mut table = MemberTable::new(record(*me), vec![], rng);
        for other in (0..60).filter(|other| other != me) {
            let (from, kind) = (record(other), MemberKind::Gossip);
            let message = MemberMessage {
                from,
                revision: Revision(0),
                kind,
                records: vec![],
                updates: vec![],
            };
            table.step(Time::ZERO, MemberInput::Received(message));
        }
        is_watcher(&table)
    });
    let regions: Vec<_> = watchers.map(|index| index % 3).collect();
    assert_eq!((0..3).map(|r| regions.iter().filter(|it| **it == r).count()).max(), Some(3));
    assert_eq!(regions.len(), 9);
}

/// Guards against a host that never gets a change because every announcement is lost. It must read
/// the service within 90 s.
#[test]
fn every_host_reads_the_service_about_once_a_minute() {
    let mut store = ConfigStore::new(fastrand::Rng::with_seed(3));
    let ticks = 3_600 * 2;
    let reads = (0..ticks).filter(|tick| {
        let outputs = store.step(Time::ZERO + CONFIG_TICK * *tick, ConfigInput::Tick);
        outputs.contains(&ConfigOutput::Read { after: Revision(0) })
    });
    assert!((50..=75).contains(&reads.count()));
}

/// Guards against a configuration that reverts or does not converge when deltas are lost,
/// duplicated, reordered or come from any host, and when hosts lose their state.
#[test]
fn accepted_configuration_never_reverts() {
    fixed_cases(300, |u| {
        let hosts = u.int_in_range(2..=5)?;
        let mut truth = ConfigStore::default();
        let mut stores: Vec<_> = (0..hosts).map(|_| ConfigStore::default()).collect();
        let mut late: Vec<ConfigDelta> = Vec::new();
        let mut now = Time::ZERO;
        let mut revision = 0;
        for _ in 0..u.int_in_range(1..=60)? {
            now = now + Duration::from_secs(u.int_in_range(0..=900)?);
            let host = u.choose_index(hosts)?;
            match u.int_in_range(0..=6)? {
                0 | 1 => {
                    revision += u.int_in_range(1..=3)?;
                    let name = ["a", "b", "c"][u.choose_index(3)?];
                    let spec =
                        format!(r#"{{"level":0,"first_token_ms":{revision},"finish_ms":1000}}"#);
                    let value = u.arbitrary::<bool>()?.then_some(spec.as_str());
                    let after = truth.complete_revision().0;
                    truth.step(now, delta(after, revision, vec![item(name, revision, value)]));
                }
                2 => late.push(truth.delta(stores[host].complete_revision())),
                3 => late
                    .push(stores[u.choose_index(hosts)?].delta(stores[host].complete_revision())),
                4 => drop(stores[host].step(now, ConfigInput::Tick)),
                5 if u.ratio(1, 4)? => stores[host] = ConfigStore::default(),
                _ if late.is_empty() => {}
                _ => {
                    let delta = late[u.choose_index(late.len())?].clone();
                    let before = snapshot(&stores[host]);
                    let complete = stores[host].complete_revision();
                    stores[host].step(now, ConfigInput::Delta(delta));
                    assert!(stores[host].complete_revision() >= complete);
                    check_no_revert(&before, complete, &stores[host]);
                }
            }
        }
        for store in &mut stores {
            let last = truth.delta(store.complete_revision());
            store.step(now, ConfigInput::Delta(last));
            assert_eq!(store.resources(), truth.resources());
            assert_eq!(store.complete_revision(), truth.complete_revision());
        }
        Ok(())
    });
}

fn snapshot(store: &ConfigStore) -> Vec<(Arc<str>, u64)> {
    let ranks = store.resources().ranks.iter();
    ranks.map(|(name, rank)| (name.clone(), rank.first_token_ms)).collect()
}

/// In `accepted_configuration_never_reverts`, `first_token_ms` is the revision that wrote it.
fn check_no_revert(before: &[(Arc<str>, u64)], complete: Revision, store: &ConfigStore) {
    for (name, rank) in &store.resources().ranks {
        let known = before.iter().find(|(known, _)| known == name);
        let floor = known.map_or(complete.0 + 1, |(_, revision)| *revision);
        assert!(rank.first_token_ms >= floor, "{name} reverted");
    }
}
