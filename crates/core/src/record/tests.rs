use super::*;
use crate::{
    config::Revision,
    member::{MemberInput, MemberKind, MemberMessage, MemberState},
};

fn record(body: u8, resume: u32) -> RequestRecord {
    RequestRecord {
        name: RequestName { account: "a".into(), request: "r".into() },
        body_hash: [body; 32],
        placed: PlacedStream { engine: "e".into(), stream: "s".into() },
        attempt: 1,
        resume,
        time_left: Duration::from_secs(5),
    }
}

/// Guards against a retry that is dispatched as a new request, and a record that is removed before
/// its retention time is over.
#[test]
fn retry_finds_the_record_until_it_expires() {
    let mut keeper = RecordKeeper::default();
    let mut open = |now: u64, input| {
        let RecordOutput::Opened { record, is_retry } =
            keeper.step(Time(now), RecordInput::Open(input)).expect("answered");
        (record.resume, is_retry)
    };
    assert_eq!(open(0, record(1, 1)), (1, false));
    assert_eq!(open(1, record(1, 1)), (2, true));
    assert_eq!(open(2, record(1, 7)), (7, true));
    // A request with another body does not count as a resumption.
    assert_eq!(open(3, record(2, 9)), (7, true));
    keeper.step(Time(1_000_000), RecordInput::Ended(record(1, 1).name));
    keeper.step(Time(30_900_000), RecordInput::Tick);
    assert_eq!(keeper.len(), 1);
    keeper.step(Time(31_000_000), RecordInput::Tick);
    assert!(keeper.is_empty());
}

/// Guards against a delayed message of an earlier attempt that directs callers to a closed stream.
#[test]
fn earlier_attempt_does_not_replace_a_later_one() {
    let mut keeper = RecordKeeper::default();
    keeper.step(Time(0), RecordInput::Open(record(1, 1)));
    for attempt in [3, 2] {
        let placed = PlacedStream { engine: "e".into(), stream: format!("s{attempt}").into() };
        let name = record(1, 1).name;
        keeper.step(Time(0), RecordInput::Placed { name, placed, attempt });
    }
    let known = keeper.get(&record(1, 1).name).expect("kept");
    assert_eq!((known.attempt, &*known.placed.stream), (3, "s3"));
}

/// Guards against losing both records of a request with one failure domain.
#[test]
fn record_hosts_are_in_different_domains() {
    let host = |name: &str, domain: &str| MemberRecord {
        name: name.into(),
        region: "r".into(),
        failure_domain: domain.into(),
        address: name.into(),
        peer_address: name.into(),
        capacity: 1,
        incarnation: 1,
        state: MemberState::Alive,
    };
    let mut table = MemberTable::new(host("h0", "d0"), Vec::new(), fastrand::Rng::with_seed(1));
    for (name, domain) in [("h1", "d0"), ("h2", "d0"), ("h3", "d1")] {
        let (from, records) = (host(name, domain), Vec::new());
        let (revision, kind) = (Revision(0), MemberKind::Gossip);
        let message = MemberMessage { from, revision, kind, records, updates: Vec::new() };
        table.step(Time(0), MemberInput::Received(message));
    }
    arbtest::arbtest(|u| {
        let request: String = u.arbitrary()?;
        let name = RequestName { account: "a".into(), request: request.into() };
        let hosts = record_hosts(&table, &name);
        assert_eq!(hosts.len(), 2);
        assert_ne!(hosts[0].failure_domain, hosts[1].failure_domain);
        Ok(())
    });
}
