use super::*;

fn card(name: &str, port: u16, incarnation: u64, is_ready: bool) -> HostInfo {
    HostInfo {
        name: name.into(),
        failure_domain: "a".into(),
        caller_address: ([127, 0, 0, 1], port).into(),
        heartbeat_address: ([127, 0, 0, 1], port + 1_000).into(),
        is_ready,
        has_store: true,
        capacity: 250,
        incarnation,
    }
}

fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

fn ports(roster: &PeerRoster, now: Time, me: &HostInfo) -> Vec<u16> {
    let mut ports: Vec<_> = roster.addresses(now, me, 100).iter().map(SocketAddr::port).collect();
    ports.sort_unstable();
    ports
}

#[test]
fn callers_are_told_ready_hosts_that_were_heard() {
    let me = card("me", 1, 1, true);
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), card("b", 2, 1, true));
    roster.record_heartbeat(at(0), card("c", 3, 1, false));
    roster.add_candidate(card("d", 4, 1, true));
    assert_eq!(ports(&roster, at(100), &me), [1, 2]);
    assert_eq!(ports(&roster, at(2_000), &me), [1], "silent peers are not told");
}

/// Callers must get some address in an outage of the store, in which no host is ready.
#[test]
fn hosts_that_run_are_told_when_none_is_ready() {
    let me = card("me", 1, 1, false);
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), card("b", 2, 1, false));
    assert_eq!(ports(&roster, at(100), &me), [1, 2]);
}

/// Found with the clock that starts anew after a loss of power: numbers of processes have no order.
#[test]
fn new_process_replaces_an_earlier_one_whatever_its_number() {
    let mut roster = PeerRoster::default();
    assert_eq!(roster.record_heartbeat(at(0), card("b", 2, 900, true)), Some(PeerChange::Joined));
    assert_eq!(
        roster.record_heartbeat(at(1), card("b", 2, 900, true)),
        Some(PeerChange::Unchanged)
    );
    assert_eq!(roster.record_heartbeat(at(2), card("b", 2, 5, true)), Some(PeerChange::Joined));
    assert_eq!(roster.record_heartbeat(at(3), card("b", 2, 900, true)), None, "a late datagram");
    assert_eq!(roster.incarnation(card("b", 2, 0, true).tag()), Some(5));
}

#[test]
fn host_that_was_never_heard_goes_with_its_entry() {
    let mut roster = PeerRoster::default();
    roster.add_candidate(card("b", 2, 1, true));
    roster.add_candidate(card("c", 3, 1, true));
    roster.retain_listed(&[card("c", 3, 1, true).tag()]);
    let targets = roster.heartbeat_targets(at(0), &card("me", 1, 1, true));
    let targets: Vec<_> = targets.iter().map(|target| target.address.port()).collect();
    assert_eq!(targets, [1_003]);
}

#[test]
fn silence_is_told_once() {
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), card("b", 2, 1, true));
    assert!(roster.take_newly_silent(at(1_000)).is_empty());
    assert_eq!(roster.take_newly_silent(at(2_000)).len(), 1);
    assert!(roster.take_newly_silent(at(3_000)).is_empty());
}

/// Two hosts watch the store for all; when it turns one away, the next takes over.
#[test]
fn leads_are_the_last_members_that_the_store_answers() {
    let mut cards: Vec<_> = (1..=5).map(|port| card("h", port, 1, true)).collect();
    cards.sort_by_key(HostInfo::tag);
    let leads = |cards: &[HostInfo]| -> Vec<usize> {
        let is_lead = |index: &usize| {
            let mut roster = PeerRoster::default();
            roster.set_listed();
            let peers = cards.iter().enumerate().filter(|(other, _)| other != index);
            peers.for_each(|(_, peer)| _ = roster.record_heartbeat(at(0), peer.clone()));
            roster.is_lead(at(1), &cards[*index], 2)
        };
        (0..cards.len()).filter(is_lead).collect()
    };
    assert_eq!(leads(&cards), [3, 4]);
    cards[4].has_store = false;
    assert_eq!(leads(&cards), [2, 3]);
    cards.iter_mut().for_each(|card| card.has_store = false);
    assert_eq!(leads(&cards), [3, 4], "somebody must notice that the store is back");
}

/// Guards against a host that asks one member after the other that is cut from the store: each
/// answers, and none knows the newest configuration.
#[test]
fn answers_of_no_use_lead_to_more_questions() {
    let me = card("me", 1, 1, true);
    let mut roster = PeerRoster::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let members: Vec<_> = (2..12).map(|port| card(&format!("m{port}"), port, 1, true)).collect();
    roster.merge_members(at(0), &me, Some(members));
    let mut asked = Vec::new();
    for round in 0..4 {
        asked.push(roster.poll_targets(at(round * 700), &mut rng).len());
        roster.merge_members(at(round * 700 + 5), &me, None);
    }
    assert_eq!(asked, [1, 2, 3, 4]);
    roster.reset_unanswered();
    assert_eq!(roster.poll_targets(at(2_800), &mut rng).len(), 1);
}
