use super::{notice::NoticeChange, tests::entry, *};

pub(super) fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap()
}

fn names(per_second: f64) -> ServerNotice {
    ServerNotice { limit: LimitNotice::Rate(rate(per_second)), ..ServerNotice::default() }
}

const ABSENT: ServerNotice =
    ServerNotice { is_leaving: false, pause: None, limit: LimitNotice::Absent, cold_left: None };

fn table() -> (FleetTable, EngineTag) {
    let mut table = FleetTable::new(HostTag(1));
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    (table, entry("a", false, 1).tag())
}

/// Guards against values that are no rate, and against a limit of zero that no response could end.
#[test]
fn rates_are_bounded() {
    for invalid in [-0.1, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::from_per_second(invalid), None, "{invalid}");
    }
    assert_eq!(rate(0.0).per_second(), 0.1);
    assert_eq!(rate(1.3).per_second(), 1.3);
    let from_peer: RequestRate = serde_json::from_str("0").unwrap();
    assert_eq!(from_peer.per_second(), 0.1);
    assert!(rate(1e300).per_second() > 1e6);
}

/// Guards against a limit that outlives its server's word or process, and against one that ends by
/// a response that was sent before it was named.
#[test]
fn limit_holds_until_a_later_response_names_none() {
    let (mut table, tag) = table();
    let changes = table.record_notice(at(10), at(0), tag, &names(2.0));
    assert_eq!(changes, [NoticeChange::Limited(Some(rate(2.0)))]);
    assert!(table.record_notice(at(11), at(0), tag, &names(2.0)).is_empty(), "reported once");
    assert!(table.record_notice(at(12), at(9), tag, &ABSENT).is_empty(), "overtaken");
    assert_eq!(table.limit(tag), Some(rate(2.0)));
    assert!(table.record_notice(at(600_000), at(0), tag, &ServerNotice::default()).is_empty());
    assert_eq!(table.limit(tag), Some(rate(2.0)), "a limit stays however old");
    let changes = table.record_notice(at(600_030), at(600_000), tag, &ABSENT);
    assert_eq!(changes, [NoticeChange::Limited(None)]);
    assert_eq!(table.limit(tag), None);
    table.record_notice(at(600_040), at(600_031), tag, &names(3.0));
    table.upsert(at(600_050), EngineEntry { revision: 9.into(), ..entry("a", false, 2) });
    assert_eq!(table.limit(tag), None, "a restarted process");
}

/// Guards against hosts that learn of a limit only from their own responses, and against older
/// reports that replace later knowledge.
#[test]
fn limits_reach_peers_and_the_later_statement_counts() {
    let ((mut table, tag), (mut peer, _)) = (table(), table());
    table.record_notice(at(0), at(0), tag, &names(2.0));
    let reports = table.limit_reports(at(100), 8, false);
    assert!(peer.merge_limit(at(101), &reports[0]));
    assert!(!peer.merge_limit(at(101), &reports[0]), "known already");
    assert_eq!(peer.limit(tag), Some(rate(2.0)));
    peer.record_notice(at(300), at(250), tag, &ABSENT);
    assert!(!peer.merge_limit(at(301), &reports[0]), "older than the response");
    for report in peer.limit_reports(at(400), 8, false) {
        assert!(table.merge_limit(at(401), &report));
    }
    assert_eq!(table.limit(tag), None);
    assert!(table.limit_reports(at(10_000), 8, false).is_empty(), "reported for a short time only");
    let full = table.limit_reports(at(10_000), 8, true);
    assert_eq!(full.len(), 1, "a host that knows another limit is told of its end");
    assert!(table.limit_reports(at(100_000), 8, true).is_empty());
    let other = LimitReport { started_ms: 7, rate: Some(rate(1.0)), age_us: 0, ..reports[0] };
    assert!(!table.merge_limit(at(500), &other), "another process");
}

/// Guards against hosts that were cut off while a limit was named or ended and never hear of it.
#[test]
fn digest_shows_whether_two_hosts_know_the_same_limits() {
    let ((mut table, tag), (mut peer, _)) = (table(), table());
    assert_eq!(table.limits_digest(), peer.limits_digest());
    table.record_notice(at(0), at(0), tag, &names(2.0));
    peer.record_notice(at(0), at(0), tag, &names(2.5));
    assert_ne!(table.limits_digest(), peer.limits_digest());
    peer.record_notice(at(60_000), at(50_000), tag, &names(2.0));
    assert_eq!(table.limits_digest(), peer.limits_digest(), "however old what they know is");
    peer.record_notice(at(70_000), at(65_000), tag, &ABSENT);
    assert_ne!(table.limits_digest(), peer.limits_digest());
    for report in peer.limit_reports(at(80_000), 8, true) {
        table.merge_limit(at(80_000), &report);
    }
    assert_eq!(table.limits_digest(), 0);
}
