use super::*;

pub(super) fn entry(id: &str, is_leaving: bool, born: u64) -> EngineEntry {
    EngineEntry {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        failure_domain: "a".into(),
        slots: 16,
        is_leaving,
        started_ms: born,
        revision: 5.into(),
    }
}

fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

fn usable(table: &FleetTable) -> Vec<Arc<str>> {
    table.usable(at(0), "s").map(|(_, record)| record.entry.id.clone()).collect()
}

#[test]
fn leaving_server_gets_nothing_at_once() {
    let mut table = FleetTable::default();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    assert!(table.upsert(at(1), entry("a", true, 1)));
    assert!(usable(&table).is_empty());
    assert!(table.remove(at(2), entry("a", true, 1).tag(), 6.into()));
}

/// Guards against the removal of servers whose entries expired during an outage of the store. Live
/// servers register again within about 2 s of its end.
#[test]
fn expired_entries_may_return_for_a_while() {
    let mut table = FleetTable::default();
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1), entry("b", false, 1)], 5.into());
    table.set_store_lost(at(1_000), true);
    table.set_store_lost(at(5_000), false);
    assert!(table.apply_snapshot(at(5_010), vec![entry("b", false, 1)], 5.into()).is_empty());
    assert_eq!(usable(&table).len(), 2);
    assert!(table.expire(at(6_000)).is_empty());
    assert_eq!(table.expire(at(7_300)), [tag]);
    assert!(
        table.remove(at(7_400), entry("b", false, 1).tag(), 6.into()),
        "removed at once outside the grace period"
    );
}

#[test]
fn restart_under_the_same_id_resets_the_estimates() {
    let mut table = FleetTable::default();
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    table.record_attempt(at(1), tag, EngineVerdict::Silent);
    assert!(table.get(tag).unwrap().failure_probability(at(1)) > 0.9);
    assert!(table.upsert(at(2), entry("a", false, 2)));
    assert_eq!(table.get(tag).unwrap().failure_probability(at(2)), 0.0);
}

#[test]
fn failure_estimate_falls_with_time_so_that_a_server_is_tried_again() {
    let mut table = FleetTable::default();
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    table.record_attempt(at(0), tag, EngineVerdict::Silent);
    let chances: Vec<_> =
        [0, 4_000, 16_000].map(|ms| table.get(tag).unwrap().failure_probability(at(ms))).into();
    assert!(
        chances[0] > 0.9 && chances[1] < 0.4 && chances[2] < MIN_REPORTED_FAILURE,
        "{chances:?}"
    );
}

#[test]
fn peers_estimate_counts_until_the_server_answers_this_host() {
    let mut table = FleetTable::default();
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    table
        .merge_estimate(at(0), &EngineEstimate { tag, failure_percent: 90, slowdown_percent: 100 });
    assert!(table.get(tag).unwrap().failure_probability(at(0)) > 0.8);
    (0..6).for_each(|_| _ = table.record_attempt(at(10), tag, EngineVerdict::Good));
    assert!(table.get(tag).unwrap().failure_probability(at(10)) < 0.1);
    assert!(table.estimates(at(10)).is_empty(), "estimates of peers are not passed on");
}

#[test]
fn server_at_a_reused_address_gets_nothing_more() {
    let mut table = FleetTable::default();
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    table.record_attempt(at(1), tag, EngineVerdict::Replaced);
    assert!(usable(&table).is_empty());
}

/// Guards against updates from leads that arrive out of order.
#[test]
fn delayed_update_does_not_restore_a_server() {
    let mut table = FleetTable::default();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    let leaving = EngineEntry { revision: 7.into(), ..entry("a", true, 1) };
    table.upsert(at(1), leaving.clone());
    assert!(!table.upsert(at(2), entry("a", false, 1)));
    assert!(usable(&table).is_empty());
    assert!(!table.remove(at(3), leaving.tag(), 6.into()), "an older list");
    assert!(table.remove(at(4), leaving.tag(), 8.into()));
    assert!(!table.upsert(at(5), leaving));
    assert!(usable(&table).is_empty());
}

#[test]
fn digests_are_equal_if_two_hosts_have_the_same_entries() {
    let (mut first, mut second) = (FleetTable::default(), FleetTable::default());
    first.apply_snapshot(at(0), vec![entry("a", false, 1), entry("b", false, 1)], 5.into());
    second.apply_snapshot(at(9), vec![entry("b", false, 1), entry("a", false, 1)], 5.into());
    assert_eq!(first.digest(), second.digest());
    second.upsert(at(10), EngineEntry { revision: 6.into(), ..entry("a", true, 1) });
    assert_ne!(first.digest(), second.digest());
}

/// Guards against peers that must measure for themselves that an engine takes several times as long
/// as its model predicts.
#[test]
fn slow_server_is_measured_and_reported() {
    let (mut table, mut peer) = (FleetTable::default(), FleetTable::default());
    let tag = entry("a", false, 1).tag();
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    peer.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    (0..10).for_each(|_| table.record_slowdown(at(0), tag, 4.0));
    assert!(table.get(tag).unwrap().slowdown(at(0)) > 3.5);
    let estimates = table.estimates(at(0));
    assert_eq!(estimates.len(), 1);
    peer.merge_estimate(at(0), &estimates[0]);
    assert!(peer.get(tag).unwrap().slowdown(at(100)) > 3.0);
    assert!(peer.get(tag).unwrap().slowdown(at(30_000)) < 1.1);
    assert!(table.get(tag).unwrap().slowdown(at(30_000)) < 1.1, "it is tried again");
    assert!(peer.estimates(at(100)).is_empty(), "estimates of peers are not passed on");
}

/// Guards against blaming a healthy server for a slow one. A failing server used up nearly all the
/// time of a request; the healthy server that got the request last was counted as silent, so the
/// next request went to the failing one again.
#[test]
fn server_without_time_to_answer_is_not_blamed() {
    let needed = Duration::from_millis(1_000);
    let verdict = |millis| EngineVerdict::for_timeout(Duration::from_millis(millis), needed);
    assert_eq!(verdict(3), EngineVerdict::Undecided);
    assert_eq!(verdict(1_000), EngineVerdict::Silent);
    let mut table = FleetTable::default();
    let entry = EngineEntry {
        id: "i-two".into(),
        service: "plain".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        slots: 8,
        is_leaving: false,
        started_ms: 1,
        revision: 1.into(),
    };
    let (now, tag) = (Time(1_000_000), entry.tag());
    table.upsert(now, entry);
    assert_eq!(table.record_attempt(now, tag, verdict(3)), 0.0);
    assert!(table.record_attempt(now, tag, verdict(1_000)) > 0.9);
}
