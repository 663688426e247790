//! Simulates how a change of the configuration or of a server spreads through fleets of different
//! sizes, without a network. Hosts send heartbeats, poll members and call a store in virtual time, each with its own
//! phase.
//!
//! The simulated fault is a partition: hosts without access to the store go on sending heartbeats
//! and answering polls.

use std::{collections::BTreeMap, net::SocketAddr};

use super::*;
use crate::{
    era::EraKeeper,
    evacuation::{EvacuationKeeper, EvacuationView},
    evidence::{EvidenceEffect, EvidenceKeeper, EvidenceLimits, PeerEvidence, StoreSighting},
    fleet::{EngineEntry, FleetChange, FleetTable, ListEffect},
    roster::{HostInfo, HostTag, PeerRole, PeerRoster, STANDBY_POLL_PERIOD},
};

const STEP: Duration = Duration::from_millis(10);
/// Number of hosts registered in the store.
const LISTED: usize = 64;

struct SpreadHost {
    info: HostInfo,
    roster: PeerRoster,
    evidence: EvidenceKeeper,
    /// List of the only server, whose entry changes with each version.
    fleet: FleetTable,
    evacuation: EvacuationKeeper,
    follower: FeedFollower,
    /// Clock reading in each peer's last heartbeat, and when it arrived.
    clocks: BTreeMap<HostTag, (u64, Time)>,
    next_heartbeat: Time,
    next_call: Time,
    /// The call in flight, when it was sent and when it ends.
    call: Option<(FeedAction, Time, Time)>,
    is_cut: bool,
    /// Whether the host does nothing, like a frozen one.
    is_frozen: bool,
}

struct SpreadFleet {
    /// Whether the hosts follow the configuration rather than the servers.
    is_config: bool,
    /// Share of the datagrams with changes, proofs or evacuations that are lost, in percent.
    loss_percent: u8,
    now: Time,
    hosts: Vec<SpreadHost>,
    places: BTreeMap<SocketAddr, usize>,
    /// Version of the configuration in the store.
    version: u64,
    /// Changes of the evacuations so far; the only domain is evacuated after an odd number.
    evacuations: u64,
    /// Calls to the store so far.
    calls: usize,
    /// Time within which a change must be in force.
    apply: Duration,
    rng: fastrand::Rng,
}

impl SpreadFleet {
    fn start(count: u16, apply: Duration, seed: u64) -> SpreadFleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Time(1_000_000_000);
        let limits =
            EvidenceLimits { revocation_limit: Duration::from_secs(5), apply_limit: apply };
        let mut infos: Vec<_> = (1..=count).map(info).collect();
        infos.sort_by_key(|info| (std::cmp::Reverse(info.capacity), info.tag()));
        let host = |info: &HostInfo| {
            let mut roster = PeerRoster::new(now);
            let listed = infos.iter().take(LISTED);
            listed
                .filter(|other| other.name != info.name)
                .for_each(|other| roster.add_candidate(other.clone()));
            if infos.iter().take(LISTED).any(|other| other.name == info.name) {
                roster.set_listed();
            }
            SpreadHost {
                evidence: EvidenceKeeper::new(limits, info.incarnation),
                fleet: FleetTable::new(info.tag()),
                evacuation: EvacuationKeeper::default(),
                info: info.clone(),
                roster,
                follower: FeedFollower::default(),
                clocks: BTreeMap::new(),
                next_heartbeat: now + Duration::from_millis(rng.u64(0..700)),
                next_call: now + Duration::from_millis(rng.u64(0..300)),
                call: None,
                is_cut: false,
                is_frozen: false,
            }
        };
        let hosts: Vec<_> = infos.iter().map(host).collect();
        let places =
            infos.iter().enumerate().map(|(place, info)| (info.heartbeat_address, place)).collect();
        SpreadFleet {
            is_config: true,
            loss_percent: 0,
            now,
            hosts,
            places,
            version: 1,
            evacuations: 0,
            calls: 0,
            apply,
            rng,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for place in 0..self.hosts.len() {
                if self.hosts[place].is_frozen {
                    continue;
                }
                self.follow(place);
                if self.hosts[place].next_heartbeat <= self.now {
                    self.send_heartbeats(place);
                }
            }
        }
    }

    fn facts(&self, place: usize) -> FeedFacts {
        let SpreadHost { info, roster, evidence, fleet, .. } = &self.hosts[place];
        let facts = FeedFacts {
            is_config: self.is_config,
            limit: self.apply,
            is_lead: roster.is_lead(self.now, info, LEAD_COUNT),
            is_member: roster.is_member(self.now, info),
            ..FeedFacts::default()
        };
        if !self.is_config {
            return FeedFacts {
                is_known: fleet.list_revision() > StoreRevision::default(),
                proof_age: fleet.list_age(self.now),
                divergence: fleet.list_divergence(self.now),
                ..facts
            };
        }
        FeedFacts {
            is_known: evidence.version() > 0,
            proof_age: evidence.age(self.now),
            has_newer: evidence.newest_known().0 > evidence.version(),
            ..facts
        }
    }

    fn follow(&mut self, place: usize) {
        let (now, version, view) = (self.now, self.version, self.stored_evacuations());
        let revision = view.revision;
        let delay = Duration::from_millis(self.rng.u64(5..40));
        let host = &mut self.hosts[place];
        if let Some((action, asked, end)) = &host.call {
            // A watch ends with the change.
            let is_changed = matches!(action, FeedAction::Watch { after, .. } if *after < revision);
            if now < *end && !(is_changed && !host.is_cut && now > *asked + delay) {
                return;
            }
            let result = match action {
                _ if host.is_cut => FeedResult::Failed,
                FeedAction::Watch { .. } => {
                    FeedResult::Watched { revision, has_changes: is_changed }
                }
                _ => FeedResult::Read { revision, is_stale: false },
            };
            if result != FeedResult::Failed {
                let sighting =
                    StoreSighting { version: Some(version), revision, call_start: *asked };
                host.evidence.confirm(&sighting, &EraKeeper::default());
                host.fleet.upsert(now, entry(version));
                host.fleet.confirm_list(*asked, version.into());
                host.evacuation.merge(now, &EraKeeper::default(), view);
            }
            host.follower.step(now, result);
            host.info.has_store = !host.follower.is_lost();
            (host.call, host.next_call) = (None, now);
            if is_changed && !host.is_cut {
                self.push_change(place);
            }
        }
        let host = &self.hosts[place];
        if host.next_call > now {
            return;
        }
        let context = FeedContext::from_facts(&self.facts(place));
        let host = &mut self.hosts[place];
        if !self.is_config {
            host.follower.advance(host.fleet.list_revision());
        }
        let (pause, action) = host.follower.next_action(now, &context);
        let wait = match action {
            FeedAction::Idle => return host.next_call = now + IDLE_TIME,
            FeedAction::Watch { wait, .. } => wait,
            FeedAction::Read { .. } => Duration::ZERO,
        };
        self.calls += 1;
        let answer = if host.is_cut { CALL_LIMIT } else { delay };
        let asked = now + pause;
        host.call = Some((action, asked, asked + wait + answer));
    }

    /// Sends the change that a host read to the live members.
    fn push_change(&mut self, place: usize) {
        let now = self.now;
        let alive = self.hosts[place].roster.alive(now);
        let targets: Vec<_> = alive.map(|(_, info)| self.places[&info.heartbeat_address]).collect();
        for target in targets {
            if self.is_config {
                self.send_evacuations(place, target);
            } else if !self.is_lost() {
                self.hosts[target].fleet.upsert(now, entry(self.version));
            }
        }
    }

    fn send_heartbeats(&mut self, place: usize) {
        let now = self.now;
        let FeedFacts { is_lead, is_member, .. } = self.facts(place);
        let me = &mut self.hosts[place];
        if !is_member {
            me.next_heartbeat = now + STANDBY_POLL_PERIOD;
            let polled = me.roster.poll_targets(now, &mut self.rng);
            let incarnation = me.info.incarnation;
            for target in polled {
                self.send_answer(self.places[&target], place, (incarnation, now.0, Duration::ZERO));
            }
            return;
        }
        me.next_heartbeat = now + me.roster.heartbeat_period(is_lead);
        let (info, targets) = (me.info.clone(), me.roster.heartbeat_targets(now, &me.info));
        for target in targets {
            let me = &self.hosts[place];
            let (clock, heard) = me.clocks.get(&target.tag).copied().unwrap_or((0, now));
            let incarnation = me.roster.incarnation(target.tag).unwrap_or_default();
            let proof = (incarnation, clock, now.since(heard));
            let peer = self.places[&target.address];
            if target.role == PeerRole::Demoted {
                self.send_answer(place, peer, proof);
                continue;
            }
            let host = &mut self.hosts[peer];
            host.roster.record_heartbeat(now, info.clone());
            host.clocks.insert(info.tag(), (now.0, now));
            if target.role == PeerRole::Member {
                host.roster.confirm_member(now);
            }
            self.send_evidence(place, peer, proof);
        }
    }

    /// Sends the answer of a member to a standby host.
    fn send_answer(&mut self, from: usize, to: usize, proof: (u64, u64, Duration)) {
        let now = self.now;
        let (digest, members) = self.hosts[from].roster.member_list(now, &self.hosts[from].info);
        let host = &mut self.hosts[to];
        let is_known = digest == host.roster.members_digest();
        host.roster.merge_members(now, &host.info, (!is_known).then_some(members));
        self.send_evidence(from, to, proof);
    }

    fn send_evidence(
        &mut self,
        from: usize,
        to: usize,
        (incarnation, echo, held): (u64, u64, Duration),
    ) {
        if self.hosts[from].is_frozen || self.hosts[to].is_frozen {
            return;
        }
        let evidence = self.hosts[from].evidence.attest(
            self.now,
            &EraKeeper::default(),
            (incarnation, echo, held),
        );
        if !self.is_config {
            return self.send_list(from, to, &evidence);
        }
        // The receiver compares its digest with the sender's; who knows less is sent the rest.
        self.send_evacuations(from, to);
        self.send_evacuations(to, from);
        if self.is_lost() {
            return;
        }
        let host = &mut self.hosts[to];
        match host.evidence.merge(self.now, &evidence) {
            EvidenceEffect::Unchanged => return,
            EvidenceEffect::Extended => {}
            EvidenceEffect::Newer => host.next_call = host.next_call.min(self.now),
        }
        host.roster.reset_unanswered();
    }

    /// Sends what a host knows of the servers, and the changes that the receiver lacks.
    fn send_list(&mut self, from: usize, to: usize, evidence: &PeerEvidence) {
        let now = self.now;
        let list = self.hosts[from].fleet.attest_list(now);
        let host = &mut self.hosts[to];
        let confirmed = evidence.confirmed_at(now, host.info.incarnation, list.age_ms);
        match host.fleet.merge_list(now, &list, confirmed) {
            ListEffect::Unchanged => return,
            ListEffect::Extended => {}
            ListEffect::Behind => {
                let revision = host.fleet.list_revision();
                for change in self.hosts[from].fleet.changes_after(revision) {
                    let FleetChange::Entry(entry) = change else { continue };
                    self.hosts[to].fleet.upsert(now, entry);
                }
            }
        }
        self.hosts[to].roster.reset_unanswered();
    }

    /// Sends what a host knows of the evacuations to one that knows something else.
    fn send_evacuations(&mut self, from: usize, to: usize) {
        let [known, other] = [from, to].map(|place| &self.hosts[place].evacuation);
        if known.digest() == other.digest() || self.hosts[to].is_frozen {
            return;
        }
        for view in known.reports(self.now, true) {
            if !self.is_lost() {
                self.hosts[to].evacuation.merge(self.now, &EraKeeper::default(), view);
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.u8(0..100) < self.loss_percent
    }

    fn stored_evacuations(&self) -> EvacuationView {
        let domains = (self.evacuations % 2 == 1).then(|| ("key".into(), "a".into()));
        let revision = (self.version + self.evacuations).into();
        EvacuationView { revision, domains: domains.into_iter().collect() }
    }

    /// Returns the number of hosts that do not know the evacuations in the store.
    fn unaware(&self) -> usize {
        let domains = self.stored_evacuations().domains;
        let in_force =
            |host: &SpreadHost| host.evacuation.in_force(self.now, &EraKeeper::default());
        let is_unaware = |host: &&SpreadHost| !host.is_frozen && in_force(host) != domains;
        self.hosts.iter().filter(is_unaware).count()
    }

    /// Returns the number of hosts with access to the store that have an older version than it.
    fn behind(&self) -> usize {
        let version = |host: &SpreadHost| match self.is_config {
            true => host.evidence.version(),
            false => {
                host.fleet.get(entry(1).tag()).map_or(0, |record| record.entry.revision.number)
            }
        };
        let is_behind =
            |host: &&SpreadHost| !host.is_cut && !host.is_frozen && version(host) < self.version;
        self.hosts.iter().filter(is_behind).count()
    }
}

fn info(port: u16) -> HostInfo {
    HostInfo {
        name: format!("h{port}").into(),
        failure_domain: "a".into(),
        caller_address: ([127, 0, 0, 1], port).into(),
        heartbeat_address: ([127, 0, 0, 2], port).into(),
        is_ready: true,
        has_store: true,
        capacity: if port.is_multiple_of(20) { 500 } else { 125 },
        incarnation: u64::from(port),
    }
}

/// Guards against a host that stays on an older version because the members that it polls answer
/// although they have no access to the store.
#[test]
fn change_is_in_force_in_time_while_members_are_cut_from_the_store() {
    let mut late = Vec::new();
    for (count, apply_ms) in [(9, 2_000), (84, 3_000), (295, 4_000), (1_000, 4_000)] {
        let apply = Duration::from_millis(apply_ms);
        for seed in 1..=4 {
            let mut fleet = SpreadFleet::start(count, apply, seed);
            fleet.run(Duration::from_secs(8));
            assert_eq!(fleet.behind(), 0, "{count} hosts, seed {seed}: the first version");
            for place in 0..fleet.hosts.len() {
                let is_lead = fleet.facts(place).is_lead;
                fleet.hosts[place].is_cut = is_lead || fleet.rng.u8(0..100) < 35;
            }
            let since_cut = Duration::from_millis(fleet.rng.u64(0..1_500));
            fleet.run(since_cut);
            fleet.version = 2;
            fleet.run(apply);
            if fleet.behind() > 0 {
                late.push((count, seed, fleet.behind()));
            }
        }
    }
    assert!(late.is_empty(), "hosts, seed, hosts behind: {late:?}");
}

/// Entry of the server at a version; from the second one on, it leaves.
fn entry(version: u64) -> EngineEntry {
    EngineEntry {
        id: "engine".into(),
        service: "s".into(),
        address: ([127, 0, 0, 3], 80).into(),
        failure_domain: "a".into(),
        slots: 8,
        is_leaving: version > 1,
        started_ms: 1,
        revision: version.into(),
    }
}

/// Guards against hosts that go on using a server that leaves because both leads are frozen, or
/// because the datagrams that tell of it are lost. Each host has to notice that its list is old.
#[test]
fn server_that_leaves_is_known_in_time_without_leads_or_datagrams() {
    let mut late = Vec::new();
    for (count, limit_ms) in [(8, 2_000), (84, 3_000), (295, 4_000), (1_000, 4_000)] {
        let limit = Duration::from_millis(limit_ms);
        let cases = [(1, true, 0), (2, false, 100), (3, true, 0), (4, true, 0), (5, false, 70)];
        let case_count = if count < 1_000 { cases.len() } else { 2 };
        for (seed, is_frozen, loss_percent) in cases.into_iter().take(case_count) {
            let mut fleet = SpreadFleet::start(count, limit, seed);
            (fleet.is_config, fleet.loss_percent) = (false, loss_percent);
            fleet.run(Duration::from_secs(8));
            assert_eq!(fleet.behind(), 0, "{count} hosts, seed {seed}: the first version");
            for place in 0..fleet.hosts.len() {
                fleet.hosts[place].is_frozen = is_frozen && fleet.facts(place).is_lead;
            }
            let since_frozen = Duration::from_millis(fleet.rng.u64(0..800));
            fleet.run(since_frozen);
            fleet.version = 2;
            fleet.run(limit);
            if fleet.behind() > 0 {
                late.push((count, seed, fleet.behind()));
            }
        }
    }
    assert!(late.is_empty(), "hosts, seed, hosts that do not know it: {late:?}");
}

/// Time from the store's response to an evacuation until no engine gets a request, without a part
/// that is left for the time between a decision and the arrival at an engine.
const EVACUATION_LIMIT: Duration = Duration::from_millis(4_500);

/// Guards against hosts that go on sending to an evacuated domain, or do not come back to it, because
/// both leads are dead when the key is written and datagrams are lost. Also guards against calls to
/// the store that grow with the number of hosts or evacuations while the leads are alive.
#[test]
fn evacuation_is_in_force_in_time_without_leads_and_with_lost_datagrams() {
    let (mut late, mut calls) = (Vec::new(), Vec::new());
    for (count, apply_ms) in [(9, 2_000), (84, 4_000), (295, 4_000), (1_000, 4_000)] {
        for seed in 1..=if count < 1_000 { 4 } else { 2 } {
            let mut fleet = SpreadFleet::start(count, Duration::from_millis(apply_ms), seed);
            fleet.run(Duration::from_secs(8));
            let before = fleet.calls;
            fleet.run(EVACUATION_LIMIT);
            let calm = fleet.calls - before;
            if seed > 1 {
                fleet.loss_percent = 3;
                for place in 0..fleet.hosts.len() {
                    fleet.hosts[place].is_frozen = fleet.facts(place).is_lead;
                }
            }
            for _ in 0..2 {
                let before = fleet.calls;
                fleet.evacuations += 1;
                fleet.run(EVACUATION_LIMIT);
                calls.extend((seed == 1).then(|| (count, calm, fleet.calls - before)));
                late.extend((fleet.unaware() > 0).then(|| (count, seed, fleet.unaware())));
            }
        }
    }
    assert!(late.is_empty(), "hosts, seed, hosts that do not know it: {late:?}");
    let least_hosts = calls[0].1;
    let is_few = |(_, calm, changed): &(_, _, _)| *calm <= least_hosts && *changed <= calm + 2;
    assert!(calls.iter().all(is_few), "hosts, calls without a change, calls with one: {calls:?}");
}
