//! Loads of control in fleets of hundreds of hosts, without network: hosts exchange beats, answers
//! and questions in rounds of virtual time.
//!
//! The pattern: many hosts that all know of one another, of which many fall silent at once.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

/// Time of a round.
const ROUND: Duration = Duration::from_millis(800);
/// Rounds between two looks of listed hosts at the list.
const ENTRY_ROUNDS: usize = 11;

struct FleetHost {
    card: HostInfo,
    roster: PeerRoster,
    is_down: bool,
    /// Datagrams sent and received in the last round.
    datagrams: usize,
}

struct HostFleet {
    now: Time,
    hosts: BTreeMap<HostTag, FleetHost>,
    /// What the store lists.
    listed: Vec<HostInfo>,
    rounds: usize,
    addresses: BTreeMap<SocketAddr, HostTag>,
    rng: fastrand::Rng,
}

impl HostFleet {
    /// A fleet whose hosts start together; one in twenty is large. Each reads the list of those
    /// that registered before it.
    fn start(count: u16) -> HostFleet {
        let now = Time(1_000_000);
        let mut fleet = HostFleet {
            now,
            hosts: BTreeMap::new(),
            listed: Vec::new(),
            rounds: 0,
            addresses: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(7),
        };
        for port in 1..=count {
            let card = HostInfo {
                name: format!("h{port}").into(),
                failure_domain: "a".into(),
                caller_address: ([127, 0, 0, 1], port).into(),
                heartbeat_address: ([127, 0, 0, 2], port).into(),
                is_ready: true,
                has_store: true,
                capacity: if port % 20 == 0 { 500 } else { 125 },
                incarnation: u64::from(port),
            };
            let mut roster = PeerRoster::new(now);
            fleet.listed.iter().for_each(|card| roster.add_candidate(card.clone()));
            if roster.needs_registration(now, &card) {
                roster.set_listed();
                fleet.listed.push(card.clone());
            }
            fleet.addresses.insert(card.heartbeat_address, card.tag());
            let host = FleetHost { card, roster, is_down: false, datagrams: 0 };
            fleet.hosts.insert(host.card.tag(), host);
        }
        fleet
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        self.rounds += 1;
        if self.rounds.is_multiple_of(ENTRY_ROUNDS) {
            for entry in &self.listed {
                let Some(host) = self.hosts.get_mut(&entry.tag()) else { continue };
                let others = self.listed.iter().filter(|card| card.name != entry.name);
                others.for_each(|card| host.roster.add_candidate(card.clone()));
            }
        }
        let now = self.now;
        self.hosts.values_mut().for_each(|host| host.datagrams = 0);
        let tags: Vec<_> = self.hosts.keys().copied().collect();
        for tag in tags {
            let host = self.hosts.get_mut(&tag).unwrap();
            if host.is_down {
                continue;
            }
            if host.roster.is_member(now, &host.card) {
                let targets = host.roster.heartbeat_targets(now, &host.card);
                let (card, members) =
                    (host.card.clone(), host.roster.member_list(now, &host.card).1);
                host.datagrams += targets.len();
                for target in targets {
                    let Some(peer) = self.up(target.tag) else { continue };
                    peer.datagrams += 1;
                    if target.role == PeerRole::Demoted {
                        peer.roster.merge_members(now, &peer.card, Some(members.clone()));
                        continue;
                    }
                    peer.roster.record_heartbeat(now, card.clone());
                    if target.role == PeerRole::Member {
                        peer.roster.confirm_member(now);
                    }
                }
                continue;
            }
            let targets = host.roster.poll_targets(now, &mut self.rng);
            host.datagrams += targets.len();
            for target in targets {
                let known = self.hosts[&tag].roster.members_digest();
                let Some(peer) = self.up(self.addresses[&target]) else { continue };
                peer.datagrams += 2;
                let (digest, members) = peer.roster.member_list(now, &peer.card);
                let host = self.up(tag).unwrap();
                host.datagrams += 1;
                host.roster.merge_members(now, &host.card, (digest != known).then_some(members));
                host.roster.reset_unanswered();
            }
        }
    }

    fn up(&mut self, tag: HostTag) -> Option<&mut FleetHost> {
        self.hosts.get_mut(&tag).filter(|host| !host.is_down)
    }

    fn members(&self) -> BTreeSet<HostTag> {
        let up = self.hosts.iter().filter(|(_, host)| !host.is_down);
        let members = up.filter(|(_, host)| host.roster.is_member(self.now, &host.card));
        members.map(|(tag, _)| *tag).collect()
    }

    /// The addresses that all running hosts tell callers.
    fn told(&self) -> BTreeSet<SocketAddr> {
        let up = self.hosts.values().filter(|host| !host.is_down);
        up.flat_map(|host| host.roster.addresses(self.now, &host.card, 1_000)).collect()
    }

    /// Stops the members that `is_chosen` names, by their order.
    fn stop_members(&mut self, is_chosen: impl Fn(usize) -> bool) {
        for (index, tag) in self.members().into_iter().enumerate() {
            if is_chosen(index) {
                self.hosts.get_mut(&tag).unwrap().is_down = true;
            }
        }
    }

    fn run(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.round());
    }
}

/// What a host spends on control must not grow with the number of hosts.
#[test]
fn hosts_send_and_hear_as_much_in_a_fleet_of_any_size() {
    for count in [100, 300, 1_000] {
        let mut fleet = HostFleet::start(count);
        fleet.run(20);
        let members = fleet.members();
        assert!((30..=34).contains(&members.len()), "{count} hosts, {} members", members.len());
        let idle = fleet.hosts.iter().filter(|(tag, _)| !members.contains(tag));
        let idle: Vec<_> = idle.map(|(_, host)| host.datagrams).filter(|sent| *sent > 8).collect();
        assert!(idle.is_empty(), "{count} hosts: {idle:?}");
        let heard: Vec<_> = members.iter().map(|tag| fleet.hosts[tag].datagrams).collect();
        // 31 beats either way, twice for those that differ about who is a member, and the questions
        // of those that stand by, which larger members answer more often.
        let questions = 2 * usize::from(count) / 10;
        assert!(heard.iter().all(|sent| *sent <= 150 + questions), "{count} hosts: {heard:?}");
    }
}

/// More than half of the hosts that callers are told go at once.
#[test]
fn others_take_the_places_of_members_that_go() {
    let mut fleet = HostFleet::start(300);
    fleet.run(20);
    let before = fleet.told();
    fleet.stop_members(|index| index % 3 != 0);
    fleet.run(10);
    let after = fleet.told();
    let down: Vec<_> = fleet.hosts.values().filter(|host| host.is_down).collect();
    assert!(down.len() >= 20);
    assert!(
        down.iter().all(|host| !after.contains(&host.card.caller_address)),
        "a dead host is told"
    );
    assert!(after.len() >= 16, "{} before, {} after", before.len(), after.len());
    assert!(fleet.members().len() <= 40, "{} members", fleet.members().len());
}

/// All members go: those that stand by notice it themselves.
#[test]
fn hosts_that_stand_by_go_on_alone() {
    let mut fleet = HostFleet::start(300);
    fleet.run(20);
    fleet.stop_members(|_| true);
    fleet.run(20);
    assert!(!fleet.told().is_empty());
    let down = fleet.hosts.values().filter(|host| host.is_down);
    let told = fleet.told();
    assert!(down.into_iter().all(|host| !told.contains(&host.card.caller_address)));
}

/// Members that return, take their places again, and those that stood in stand by.
#[test]
fn members_return_to_their_places() {
    let mut fleet = HostFleet::start(300);
    fleet.run(20);
    let before = fleet.members();
    fleet.stop_members(|index| index % 2 == 0);
    fleet.run(10);
    fleet.hosts.values_mut().for_each(|host| host.is_down = false);
    fleet.run(20);
    let after = fleet.members();
    let same = before.intersection(&after).count();
    assert!(same >= 30 && after.len() <= 34, "{same} of {} members", after.len());
}
