use super::*;
use crate::{
    fleet::EngineTag,
    retry::{RetryBudget, RetryLimit},
};

pub(crate) fn info(name: &str, port: u16, incarnation: u64, is_ready: bool) -> HostInfo {
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
fn callers_get_ready_hosts_that_are_alive() {
    let me = info("me", 1, 1, true);
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), info("b", 2, 1, true));
    roster.record_heartbeat(at(0), info("c", 3, 1, false));
    roster.add_candidate(info("d", 4, 1, true));
    assert_eq!(ports(&roster, at(100), &me), [1, 2]);
    assert_eq!(ports(&roster, at(2_000), &me), [1], "callers do not get silent peers");
}

/// Guards against callers without any address during an outage of the store, in which no host is
/// ready.
#[test]
fn callers_get_live_hosts_when_none_is_ready() {
    let me = info("me", 1, 1, false);
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), info("b", 2, 1, false));
    assert_eq!(ports(&roster, at(100), &me), [1, 2]);
}

/// Guards against a comparison of incarnations by size. They have no order; a clock that starts
/// over after a power loss once made the new process look older.
#[test]
fn new_process_replaces_an_earlier_one_whatever_its_number() {
    let mut roster = PeerRoster::default();
    assert_eq!(roster.record_heartbeat(at(0), info("b", 2, 900, true)), Some(PeerChange::Joined));
    assert_eq!(
        roster.record_heartbeat(at(1), info("b", 2, 900, true)),
        Some(PeerChange::Unchanged)
    );
    assert_eq!(roster.record_heartbeat(at(2), info("b", 2, 5, true)), Some(PeerChange::Joined));
    assert_eq!(roster.record_heartbeat(at(3), info("b", 2, 900, true)), None, "a delayed datagram");
    assert_eq!(roster.incarnation(info("b", 2, 0, true).tag()), Some(5));
}

#[test]
fn host_without_a_heartbeat_is_removed_with_its_registration() {
    let mut roster = PeerRoster::default();
    roster.add_candidate(info("b", 2, 1, true));
    roster.add_candidate(info("c", 3, 1, true));
    roster.retain_listed(&[info("c", 3, 1, true).tag()]);
    let targets = roster.heartbeat_targets(at(0), &info("me", 1, 1, true));
    let targets: Vec<_> = targets.iter().map(|target| target.address.port()).collect();
    assert_eq!(targets, [1_003]);
}

#[test]
fn silent_peer_is_reported_once() {
    let mut roster = PeerRoster::default();
    roster.record_heartbeat(at(0), info("b", 2, 1, true));
    assert!(roster.take_newly_silent(at(1_000)).is_empty());
    assert_eq!(roster.take_newly_silent(at(2_000)).len(), 1);
    assert!(roster.take_newly_silent(at(3_000)).is_empty());
}

/// Indices of the hosts that are leads if all hear of one another.
fn leads(infos: &[HostInfo]) -> Vec<usize> {
    let is_lead = |index: &usize| {
        let mut roster = PeerRoster::default();
        roster.set_listed();
        let peers = infos.iter().enumerate().filter(|(other, _)| other != index);
        peers.for_each(|(_, peer)| _ = roster.record_heartbeat(at(0), peer.clone()));
        roster.is_lead(at(1), &infos[*index], 2)
    };
    (0..infos.len()).filter(is_lead).collect()
}

/// Guards against seconds without a lead, in which every host calls the store: hosts beyond the
/// members have just stepped down and are still heard of.
#[test]
fn hosts_beyond_the_members_are_no_leads() {
    let mut infos: Vec<_> = (1..=35).map(|port| info("h", port, 1, true)).collect();
    infos.sort_by_key(HostInfo::tag);
    assert_eq!(leads(&infos), [MEMBER_LIMIT - 2, MEMBER_LIMIT - 1]);
}

/// Guards against a fleet that nobody watches the store for. If a lead loses access to the store,
/// the next host by rank becomes lead.
#[test]
fn leads_are_the_last_members_with_access_to_the_store() {
    let mut infos: Vec<_> = (1..=5).map(|port| info("h", port, 1, true)).collect();
    infos.sort_by_key(HostInfo::tag);
    assert_eq!(leads(&infos), [3, 4]);
    infos[4].has_store = false;
    assert_eq!(leads(&infos), [2, 3]);
    infos.iter_mut().for_each(|info| info.has_store = false);
    assert_eq!(leads(&infos), [3, 4], "a lead has to detect that the store is back");
}

/// Guards against a standby host that polls one member after another without access to the store:
/// each one answers, but none has the newest configuration.
#[test]
fn useless_answers_lead_to_more_polls() {
    let me = info("me", 1, 1, true);
    let mut roster = PeerRoster::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let members: Vec<_> = (2..12).map(|port| info(&format!("m{port}"), port, 1, true)).collect();
    roster.merge_members(at(0), &me, Some(members));
    let mut polled = Vec::new();
    for round in 0..4 {
        polled.push(roster.poll_targets(at(round * 700), &mut rng).len());
        roster.merge_members(at(round * 700 + 5), &me, None);
    }
    assert_eq!(polled, [1, 2, 3, 4]);
    roster.reset_unanswered();
    assert_eq!(roster.poll_targets(at(2_800), &mut rng).len(), 1);
}

/// Guards against hosts that ask different members for the permits of a server, and against an
/// issuer that all servers share.
#[test]
fn all_hosts_draw_the_same_issuers() {
    let infos: Vec<_> = (0..9).map(|port| info(&format!("host-{port}"), port, 1, true)).collect();
    let mut drawn = BTreeMap::<_, u32>::new();
    for server in 0..200 {
        let server = EngineTag::from_id(&format!("i-{server}"));
        let issuers = |me: &HostInfo, is_substitute| {
            let mut roster = PeerRoster::default();
            roster.set_listed();
            for peer in infos.iter().filter(|peer| peer.name != me.name) {
                roster.record_heartbeat(at(0), peer.clone());
            }
            roster.permit_issuer(at(100), me, server, is_substitute).unwrap()
        };
        let (issuer, substitute) = (issuers(&infos[0], false), issuers(&infos[0], true));
        assert_ne!(issuer, substitute);
        assert!(infos.iter().all(|me| issuers(me, false) == issuer));
        assert!(infos.iter().all(|me| issuers(me, true) == substitute));
        *drawn.entry(issuer).or_default() += 1;
    }
    assert!(drawn.len() == 9 && drawn.values().all(|count| *count <= 50), "{drawn:?}");
}

/// Guards against two sides of a partition that each issue a server's whole limit.
#[test]
fn shares_of_a_partition_add_up_to_one() {
    let mut roster = PeerRoster::default();
    for port in 2..=9 {
        roster.record_heartbeat(at(0), info(&format!("host-{port}"), port, 1, true));
    }
    assert_eq!(roster.live_share(at(100)), 1.0);
    for port in 2..=3 {
        roster.record_heartbeat(at(5_000), info(&format!("host-{port}"), port, 1, true));
    }
    assert_eq!(roster.live_share(at(5_100)), 3.0 / 9.0, "with this host");
    roster.purge_silent(at(60_100));
    roster.record_heartbeat(at(60_100), info("host-2", 2, 1, true));
    roster.record_heartbeat(at(60_100), info("host-3", 3, 1, true));
    assert_eq!(roster.live_share(at(60_200)), 1.0, "the others are gone for good");
}

/// Guards against a limit of all hosts that is exceeded while they do not hear one another, because
/// each divides it by the peers that it hears.
#[test]
fn hosts_that_hear_few_peers_stay_below_the_retry_limit() {
    let infos: Vec<_> = (1..=9).map(|port| info("h", port, 1, true)).collect();
    let limit = RetryLimit { ratio: 0.2, window: Duration::from_secs(10), allowance: 100.0 };
    for heard in 0..infos.len() {
        let mut spent = 0;
        for me in &infos {
            let mut roster = PeerRoster::default();
            let peers = || infos.iter().filter(|peer| peer.tag() != me.tag());
            let unread = roster.sharing_hosts();
            peers().for_each(|peer| roster.add_candidate(peer.clone()));
            roster.retain_listed(&infos.iter().map(HostInfo::tag).collect::<Vec<_>>());
            assert_eq!((unread, roster.sharing_hosts()), (MEMBER_LIMIT, infos.len()));
            peers().take(heard).for_each(|peer| _ = roster.record_heartbeat(at(0), peer.clone()));
            let mut budget = RetryBudget::new(limit.clone(), Time::ZERO);
            spent += (0..200).filter(|_| budget.try_spend(at(100), roster.sharing_hosts())).count();
        }
        assert!(spent <= 100, "{spent} retries, {heard} peers heard");
    }
}

/// Guards against a server's limit that is issued several times, because its issuers know one
/// another from the store only.
#[test]
fn peers_that_were_never_heard_have_a_share() {
    let mut roster = PeerRoster::default();
    (2..=9).for_each(|port| roster.add_candidate(info("h", port, 1, true)));
    assert_eq!(roster.live_share(at(100)), 1.0 / 9.0);
    roster.record_heartbeat(at(100), info("h", 2, 1, true));
    assert_eq!(roster.live_share(at(200)), 2.0 / 9.0);
}
