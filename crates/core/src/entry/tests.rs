use super::*;
use crate::{
    config::Revision,
    member::{MemberInput, MemberKind, MemberMessage, MemberState},
    time::Time,
};

fn record(index: usize, domain: &str, state: MemberState) -> MemberRecord {
    MemberRecord {
        name: format!("host-{index}").into(),
        region: "r".into(),
        failure_domain: domain.into(),
        address: format!("10.0.0.{index}:80").into(),
        peer_address: format!("10.0.0.{index}:90").into(),
        capacity: 1,
        incarnation: 1,
        state,
    }
}

fn table(others: Vec<MemberRecord>) -> MemberTable {
    let rng = fastrand::Rng::with_seed(1);
    let mut table = MemberTable::new(record(0, "a", MemberState::Alive), Vec::new(), rng);
    for from in others {
        let message = MemberMessage {
            from,
            revision: Revision(0),
            kind: MemberKind::Gossip,
            records: Vec::new(),
            updates: vec![],
        };
        table.step(Time::ZERO, MemberInput::Received(message));
    }
    table
}

/// Guards against directing a caller to a host that is draining or suspected to have failed.
#[test]
fn draining_and_suspected_hosts_are_left_out() {
    let table = table(vec![
        record(1, "a", MemberState::Draining),
        record(2, "a", MemberState::Suspected),
        record(3, "b", MemberState::Alive),
    ]);
    let answer = select_addresses(&table, Some("a"), &mut fastrand::Rng::with_seed(1));
    let addresses: Vec<_> = answer.addresses.iter().map(|address| &**address).collect();
    assert_eq!(addresses, ["10.0.0.0:80", "10.0.0.3:80"]);
}

/// Guards against callers that all prefer the same host, and against an answer with hosts of only
/// one failure domain.
#[test]
fn callers_spread_and_keep_a_second_domain() {
    let others = (1..60)
        .map(|index| record(index, if index % 2 == 0 { "a" } else { "b" }, MemberState::Alive));
    let table = table(others.collect());
    let mut rng = fastrand::Rng::with_seed(2);
    let mut first = std::collections::BTreeMap::new();
    for _ in 0..3_000 {
        let answer = select_addresses(&table, Some("a"), &mut rng);
        assert_eq!(answer.addresses.len(), MAX_ADDRESSES);
        let index = |address: &str| -> usize {
            address["10.0.0.".len()..address.len() - 3].parse().expect("made above")
        };
        assert!(answer.addresses[..6].iter().all(|address| index(address) % 2 == 0));
        assert!(answer.addresses[6..].iter().all(|address| index(address) % 2 == 1));
        *first.entry(index(&answer.addresses[0])).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 30);
    assert!(first.values().all(|count| (50..=160).contains(count)), "{first:?}");
}
