//! Simulates membership in fleets of up to a thousand hosts without a network. Hosts exchange
//! heartbeats, polls and answers in rounds of virtual time.
//!
//! The tests guard against control traffic that grows with the number of hosts, and against losing
//! the fleet when many members fail at the same time.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

mod dead_hosts;
mod restarts;

const ROUND: Duration = Duration::from_millis(800);
/// Rounds after which registered hosts read the host list again.
const LISTING_ROUNDS: usize = 11;

struct FleetHost {
    info: HostInfo,
    roster: PeerRoster,
    is_down: bool,
    /// When the host sends its next heartbeats or polls, if hosts do not act in rounds.
    next_send: Time,
    /// Datagrams sent and received in the last round.
    datagrams: usize,
}

struct HostFleet {
    now: Time,
    hosts: BTreeMap<HostTag, FleetHost>,
    /// Hosts that are registered in the store.
    listed: Vec<HostInfo>,
    rounds: usize,
    addresses: BTreeMap<SocketAddr, HostTag>,
    /// Share of the datagrams that are lost.
    loss: f64,
    rng: fastrand::Rng,
}

impl HostFleet {
    /// Starts `count` hosts at the same time, one in twenty of them large. Each reads the list of
    /// the hosts that registered before it.
    fn start(count: u16) -> HostFleet {
        let now = Time(1_000_000);
        let mut fleet = HostFleet {
            now,
            hosts: BTreeMap::new(),
            listed: Vec::new(),
            rounds: 0,
            addresses: BTreeMap::new(),
            loss: 0.0,
            rng: fastrand::Rng::with_seed(7),
        };
        for port in 1..=count {
            let info = HostInfo {
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
            fleet.listed.iter().for_each(|info| roster.add_candidate(info.clone()));
            if roster.needs_registration(now, &info) {
                roster.set_listed();
                fleet.listed.push(info.clone());
            }
            fleet.addresses.insert(info.heartbeat_address, info.tag());
            let host = FleetHost { info, roster, is_down: false, next_send: now, datagrams: 0 };
            fleet.hosts.insert(host.info.tag(), host);
        }
        fleet
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        self.rounds += 1;
        if self.rounds.is_multiple_of(LISTING_ROUNDS) {
            for entry in &self.listed {
                let Some(host) = self.hosts.get_mut(&entry.tag()) else { continue };
                let others = self.listed.iter().filter(|info| info.name != entry.name);
                others.for_each(|info| host.roster.add_candidate(info.clone()));
            }
        }
        self.hosts.values_mut().for_each(|host| host.datagrams = 0);
        let tags: Vec<_> = self.hosts.keys().copied().collect();
        tags.into_iter().for_each(|tag| self.send(tag));
    }

    /// Sends the heartbeats or polls of one host and delivers them and their answers.
    fn send(&mut self, tag: HostTag) {
        let now = self.now;
        let host = self.hosts.get_mut(&tag).unwrap();
        if host.is_down {
            return;
        }
        if host.roster.is_member(now, &host.info) {
            let targets = host.roster.heartbeat_targets(now, &host.info);
            let (info, members) = (host.info.clone(), host.roster.member_list(now, &host.info).1);
            host.datagrams += targets.len();
            for target in targets {
                let Some(peer) = self.deliver(target.tag) else { continue };
                peer.datagrams += 1;
                if target.role == PeerRole::Demoted {
                    peer.roster.merge_members(now, &peer.info, Some(members.clone()));
                    continue;
                }
                peer.roster.record_heartbeat(now, info.clone());
                if target.role == PeerRole::Member {
                    peer.roster.confirm_member(now);
                }
            }
            return;
        }
        let targets = host.roster.poll_targets(now, &mut self.rng);
        host.datagrams += targets.len();
        for target in targets {
            let known = self.hosts[&tag].roster.members_digest();
            let Some(peer) = self.deliver(self.addresses[&target]) else { continue };
            peer.datagrams += 2;
            let statement = peer.roster.answer_poll(now, &peer.info, known);
            let Some(host) = self.deliver(tag) else { continue };
            host.datagrams += 1;
            match statement {
                MemberStatement::Unknown => continue,
                MemberStatement::Unchanged => host.roster.merge_members(now, &host.info, None),
                MemberStatement::Changed(members) => {
                    host.roster.merge_members(now, &host.info, Some(members));
                }
            }
            host.roster.reset_unanswered();
        }
    }

    /// Returns the host that receives a datagram, unless it is down or the datagram is lost.
    fn deliver(&mut self, tag: HostTag) -> Option<&mut FleetHost> {
        let is_lost = self.loss > 0.0 && self.rng.f64() < self.loss;
        self.hosts.get_mut(&tag).filter(|host| !host.is_down && !is_lost)
    }

    fn members(&self) -> BTreeSet<HostTag> {
        let up = self.hosts.iter().filter(|(_, host)| !host.is_down);
        let members = up.filter(|(_, host)| host.roster.is_member(self.now, &host.info));
        members.map(|(tag, _)| *tag).collect()
    }

    /// Returns the addresses that callers get from any running host.
    fn caller_addresses(&self) -> BTreeSet<SocketAddr> {
        let up = self.hosts.values().filter(|host| !host.is_down);
        up.flat_map(|host| host.roster.addresses(self.now, &host.info, 1_000)).collect()
    }

    /// Stops the members whose index, in the order of tags, `is_chosen` accepts.
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

/// Guards against control traffic of a host that grows with the number of hosts.
#[test]
fn control_traffic_of_a_host_does_not_grow_with_the_fleet() {
    for count in [100, 300, 1_000] {
        let mut fleet = HostFleet::start(count);
        fleet.run(20);
        let members = fleet.members();
        assert!((30..=34).contains(&members.len()), "{count} hosts, {} members", members.len());
        let idle = fleet.hosts.iter().filter(|(tag, _)| !members.contains(tag));
        let idle: Vec<_> = idle.map(|(_, host)| host.datagrams).filter(|sent| *sent > 8).collect();
        assert!(idle.is_empty(), "{count} hosts: {idle:?}");
        let traffic: Vec<_> = members.iter().map(|tag| fleet.hosts[tag].datagrams).collect();
        // 31 heartbeats in each direction, twice that while hosts disagree about who is a member,
        // and the polls of standby hosts, which larger members answer more often.
        let polls = 2 * usize::from(count) / 10;
        assert!(traffic.iter().all(|sent| *sent <= 150 + polls), "{count} hosts: {traffic:?}");
    }
}

/// Guards against callers that are left without addresses when two thirds of the members fail at
/// the same time.
#[test]
fn failed_members_are_replaced() {
    let mut fleet = HostFleet::start(300);
    fleet.run(20);
    let before = fleet.caller_addresses();
    fleet.stop_members(|index| index % 3 != 0);
    fleet.run(10);
    let after = fleet.caller_addresses();
    let down: Vec<_> = fleet.hosts.values().filter(|host| host.is_down).collect();
    assert!(down.len() >= 20);
    assert!(
        down.iter().all(|host| !after.contains(&host.info.caller_address)),
        "callers get a dead host"
    );
    assert!(after.len() >= 16, "{} before, {} after", before.len(), after.len());
    assert!(fleet.members().len() <= 40, "{} members", fleet.members().len());
}

/// Guards against standby hosts that wait for members when all members have failed.
#[test]
fn standby_hosts_take_over_when_all_members_fail() {
    let mut fleet = HostFleet::start(300);
    fleet.run(20);
    fleet.stop_members(|_| true);
    fleet.run(20);
    assert!(!fleet.caller_addresses().is_empty());
    let down = fleet.hosts.values().filter(|host| host.is_down);
    let addresses = fleet.caller_addresses();
    assert!(down.into_iter().all(|host| !addresses.contains(&host.info.caller_address)));
}

/// Guards against a growing number of members: those that return become members again, and their
/// substitutes go back to standby.
#[test]
fn returning_members_displace_their_substitutes() {
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
