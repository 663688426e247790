use super::{tests::entry, *};

fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

fn pause(millis: u64) -> ServerNotice {
    ServerNotice { pause: Some(Duration::from_millis(millis)), ..ServerNotice::default() }
}

const LEAVING: ServerNotice =
    ServerNotice { is_leaving: true, pause: None, limit: LimitNotice::Unknown, cold_left: None };

fn table(host: u64) -> (FleetTable, EngineTag) {
    let mut table = FleetTable::new(HostTag(host));
    table.apply_snapshot(at(0), vec![entry("a", false, 1)], 5.into());
    (table, entry("a", false, 1).tag())
}

fn rewritten(born: u64, revision: u64) -> EngineEntry {
    EngineEntry { revision: revision.into(), ..entry("a", false, born) }
}

/// Guards against requests to a server that announced that it is leaving. Its entry may go on to
/// say ready, expire during an outage of the store and be registered again.
#[test]
fn leaving_server_gets_nothing_whatever_discovery_says() {
    let (mut table, tag) = table(1);
    assert_eq!(table.record_notice(at(10), at(10), tag, &LEAVING), [NoticeChange::Leaving]);
    assert_eq!(table.record_notice(at(11), at(11), tag, &LEAVING), [], "reported once");
    assert!(!table.is_usable(at(10), tag));
    table.upsert(at(20), rewritten(1, 9));
    assert!(!table.is_usable(at(20), tag), "a heartbeat");
    table.remove(at(30), tag, 10.into());
    table.upsert(at(40), rewritten(1, 11));
    assert!(!table.is_usable(at(40), tag), "the same process is listed again");
    table.upsert(at(50), rewritten(2, 12));
    assert!(table.is_usable(at(50), tag), "a restarted process");
}

/// Guards against requests to a server before the end of its pause, to the millisecond.
#[test]
fn pause_binds_until_its_end() {
    let (mut table, tag) = table(1);
    let changes = table.record_notice(at(0), at(0), tag, &pause(1_000));
    let [NoticeChange::Paused(until)] = changes[..] else { panic!("{changes:?}") };
    assert!(until >= at(1_000) && until <= at(1_250), "{until:?}");
    let last = until - Duration::from_millis(1);
    assert!(!table.is_usable(last, tag) && table.is_serving(tag));
    assert_eq!(table.next_pause_end(last, "s", &[]), Some(until));
    assert_eq!(table.next_pause_end(last, "s", &[tag]), None);
    assert!(
        table.record_notice(at(100), at(100), tag, &pause(100)).is_empty(),
        "a shorter pause does not replace a longer one"
    );
    table.record_served(at(200), tag);
    assert!(!table.is_usable(last, tag), "an answer to an earlier request does not end the pause");
    assert!(table.is_usable(until, tag) && table.is_half_open(until, tag));
    table.record_served(until, tag);
    assert!(!table.is_half_open(until, tag));
    // An excessive pause is cut to the longest accepted one.
    table.record_notice(
        until,
        until,
        tag,
        &ServerNotice { pause: Some(Duration::MAX), ..pause(1) },
    );
    assert!(table.next_pause_end(until, "s", &[]).unwrap() < until + Duration::from_secs(1_000));
}

/// Guards against a thundering herd after a pause. Of a hundred hosts that were refused at the same
/// time, no more than the server's sixteen slots may return within 30 ms, in which it answers a
/// short prompt.
#[test]
fn hosts_return_to_a_server_one_after_the_other() {
    let returns = |host: u64| {
        let (mut table, tag) = table(host.wrapping_mul(0x2545_f491_4f6c_dd1d));
        table.record_notice(at(0), at(0), tag, &pause(2_000));
        table.next_pause_end(at(0), "s", &[]).unwrap()
    };
    let mut returns: Vec<_> = (1..=100).map(returns).collect();
    returns.sort_unstable();
    assert!(returns[0] >= at(2_000));
    let shortest = returns.windows(17).map(|window| window[16].since(window[0])).min().unwrap();
    assert!(shortest > Duration::from_millis(30), "{shortest:?}");
}

/// Guards against peers that learn of a notice only from their own failed requests. A reported
/// estimate makes a server less preferred but still usable.
#[test]
fn notices_reach_peers_as_a_worse_estimate() {
    let (mut table, tag) = table(1);
    table.record_notice(at(0), at(0), tag, &LEAVING);
    let estimates = table.estimates(at(100));
    let (mut peer, _) = self::table(2);
    estimates.iter().for_each(|estimate| peer.merge_estimate(at(100), estimate));
    assert!(peer.get(tag).unwrap().failure_probability(at(100)) > 0.8);
    assert!(peer.is_usable(at(100), tag));
    assert!(
        peer.get(tag).unwrap().failure_probability(at(20_000)) < 0.05,
        "a reported estimate decays"
    );
}
