use super::*;

pub(super) const SERVER: EngineTag = EngineTag(5);

pub(super) fn at(millis: u64) -> Time {
    Time(1_000_000_000 + millis * 1_000)
}

fn request(rate: f64, wanted: u8) -> PermitRequest {
    let rate = RequestRate::from_per_second(rate).unwrap();
    PermitRequest {
        server: SERVER,
        started_ms: 1,
        number: 1,
        to_substitute: false,
        wanted,
        rate,
        rate_age_us: 0,
    }
}

/// Guards against an issuer that exceeds or starves a limit: hosts that always want more get the
/// rate, over the whole time and in any window of 4 s.
#[test]
fn issuer_keeps_to_the_rate() {
    for rate in [0.1, 0.7, 1.0, 1.3, 10.0, 150.0] {
        let mut issuer = PermitIssuer::default();
        let issue = |millis| usize::from(issuer.issue(at(millis), &request(rate, 3), 1.0).issued);
        let issued: Vec<usize> = (0..60_000).step_by(5).map(issue).collect();
        let total: usize = issued.iter().sum();
        let expected = rate * 60.0;
        assert!((total as f64) >= expected * 0.97 - 1.0, "{rate}: {total}");
        assert!((total as f64) <= expected * 1.01 + 1.0, "{rate}: {total}");
        let peak: usize = issued.windows(800).map(|window| window.iter().sum()).max().unwrap();
        assert!((peak as f64) <= rate * 4.25 + 1.0, "{rate}: {peak} in 4 s");
    }
}

/// Guards against a full bucket after a handover between issuers, and against a rate that is older
/// than the known one.
#[test]
fn new_bucket_is_empty_and_takes_the_latest_rate() {
    let mut issuer = PermitIssuer::default();
    let first = issuer.issue(at(0), &request(0.2, 1), 1.0);
    assert_eq!((first.issued, first.next_us), (0, 1_000_000), "the start delay is bounded");
    assert_eq!(issuer.issue(at(1_000), &request(0.2, 1), 1.0).issued, 1);
    issuer.issue(at(2_000), &request(100.0, 1), 1.0);
    let older = PermitRequest { rate_age_us: 7_000_000, ..request(0.2, 200) };
    assert!(issuer.issue(at(8_000), &older, 1.0).issued >= 20);
    let restarted = PermitRequest { started_ms: 2, ..request(100.0, 1) };
    assert_eq!(issuer.issue(at(8_001), &restarted, 1.0).issued, 0, "another process");
}

/// Guards against hosts that all return to the issuer at the same time: those that got no permit
/// are told successive turns.
#[test]
fn turned_away_hosts_get_successive_turns() {
    let mut issuer = PermitIssuer::default();
    let turns: Vec<_> =
        (0..12).map(|_| issuer.issue(at(0), &request(10.0, 1), 1.0).next_us / 1_000).collect();
    assert_eq!(turns, [100, 200, 300, 400, 500, 500, 500, 500, 500, 500, 500, 500]);
}

/// Guards against two sides of a partition that each use the whole limit.
#[test]
fn share_lowers_the_rate() {
    let mut issuer = PermitIssuer::default();
    let issue = |millis| usize::from(issuer.issue(at(millis), &request(9.0, 1), 1.0 / 3.0).issued);
    let total: usize = (0..20_000).step_by(10).map(issue).sum();
    assert!((58..=62).contains(&total), "{total}");
}

/// Guards against permits that outlive their term, stale replies, and a silent issuer.
#[test]
fn holder_drops_old_permits_and_falls_back() {
    let mut holder = PermitHolder::default();
    let reply = |number, issued, next_us| PermitReply { server: SERVER, number, issued, next_us };
    let (first, to_substitute) = holder.begin_request(at(0));
    assert!(!to_substitute);
    assert_eq!(holder.state(at(249)), PermitState::Requested);
    assert_eq!(holder.state(at(250)), PermitState::Missing, "no reply");
    assert!(!holder.begin_request(at(250)).1, "one lost datagram");
    let (third, to_substitute) = holder.begin_request(at(500));
    assert!(to_substitute);
    holder.record_reply(at(510), &reply(first, 9, 0), false);
    assert_eq!(holder.state(at(510)), PermitState::Requested, "a late reply");
    holder.record_reply(at(520), &reply(third, 2, 0), false);
    holder.take();
    assert_eq!(holder.state(at(1_499)), PermitState::Held);
    assert_eq!(holder.state(at(1_500)), PermitState::Missing, "expired");
    let (fourth, to_substitute) = holder.begin_request(at(1_500));
    assert!(!to_substitute, "the issuer again");
    holder.record_reply(at(1_510), &reply(fourth, 0, 40_000), false);
    assert_eq!(holder.state(at(1_549)), PermitState::Closed(at(1_550)));
    assert_eq!(holder.state(at(1_550)), PermitState::Missing);
}

/// Guards against a host that goes on asking a substitute that does not exist or died too.
#[test]
fn holder_returns_to_the_issuer_when_the_substitute_is_silent() {
    let mut holder = PermitHolder::default();
    let asked: Vec<_> = (0..8).map(|index| holder.begin_request(at(index * 250)).1).collect();
    assert_eq!(asked, [false, false, true, true, false, false, true, true]);
}
