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
    evacuation::{EvacuationChange, EvacuationKeeper, EvacuationView},
    evidence::{EvidenceEffect, EvidenceKeeper, EvidenceLimits, PeerEvidence, StoreSighting},
    fleet::{EngineEntry, FleetChange, FleetTable, ListEffect},
    roster::{HostInfo, HostTag, PeerRole, PeerRoster, STANDBY_POLL_PERIOD},
};

const STEP: Duration = Duration::from_millis(10);
/// Number of hosts registered in the store.
const LISTED: usize = 64;

/// The part of the store that changes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SpreadPart {
    Config,
    Servers,
    /// The evacuations, which are watched together with the configuration.
    Evacuations,
}

pub(crate) struct SpreadHost {
    info: HostInfo,
    roster: PeerRoster,
    evidence: EvidenceKeeper,
    /// List of the only server, whose entry changes with each version.
    fleet: FleetTable,
    /// Evacuation of the only failure domain, which holds at even versions.
    pub(crate) evacuation: EvacuationKeeper,
    follower: FeedFollower,
    /// Clock reading in each peer's last heartbeat, and when it arrived.
    clocks: BTreeMap<HostTag, (u64, Time)>,
    next_heartbeat: Time,
    next_call: Time,
    /// The call in flight, when it was sent and when it ends.
    call: Option<(FeedAction, Time, Time)>,
    is_cut: bool,
    /// Whether the host does nothing, like a frozen one.
    pub(crate) is_frozen: bool,
}

pub(crate) struct SpreadFleet {
    pub(crate) part: SpreadPart,
    /// Share of the datagrams with changes that are lost, in percent. Of the evacuations, all
    /// datagrams with a view, a digest or a proof are lost with this probability.
    pub(crate) loss_percent: u8,
    pub(crate) now: Time,
    pub(crate) hosts: Vec<SpreadHost>,
    /// Calls to the store so far.
    pub(crate) calls: usize,
    places: BTreeMap<SocketAddr, usize>,
    /// Version of the configuration in the store, which is also the store's revision.
    pub(crate) version: u64,
    /// Time within which a change must be in force.
    apply: Duration,
    pub(crate) rng: fastrand::Rng,
}

impl SpreadFleet {
    pub(crate) fn start(count: u16, apply: Duration, seed: u64) -> SpreadFleet {
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
        let (part, loss_percent, calls) = (SpreadPart::Config, 0, 0);
        SpreadFleet { part, loss_percent, now, hosts, calls, places, version: 1, apply, rng }
    }

    pub(crate) fn run(&mut self, span: Duration) {
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

    pub(crate) fn facts(&self, place: usize) -> FeedFacts {
        let SpreadHost { info, roster, evidence, fleet, .. } = &self.hosts[place];
        let facts = FeedFacts {
            is_config: self.part != SpreadPart::Servers,
            limit: self.apply,
            is_lead: roster.is_lead(self.now, info, LEAD_COUNT),
            is_member: roster.is_member(self.now, info),
            ..FeedFacts::default()
        };
        if self.part == SpreadPart::Servers {
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
        let (now, version) = (self.now, self.version);
        let delay = Duration::from_millis(self.rng.u64(5..40));
        let host = &mut self.hosts[place];
        if let Some((action, asked, end)) = &host.call {
            // A watch ends with the change.
            let is_changed =
                matches!(action, FeedAction::Watch { after, .. } if after.number < version);
            if now < *end && !(is_changed && !host.is_cut && now > *asked + delay) {
                return;
            }
            let result = match action {
                _ if host.is_cut => FeedResult::Failed,
                FeedAction::Watch { .. } => {
                    FeedResult::Watched { revision: version.into(), has_changes: is_changed }
                }
                _ => FeedResult::Read { revision: version.into(), is_stale: false },
            };
            if result != FeedResult::Failed {
                let config = if self.part == SpreadPart::Config { version } else { 1 };
                let sighting = StoreSighting {
                    version: Some(config),
                    revision: version.into(),
                    call_start: *asked,
                };
                host.evidence.confirm(&sighting, &EraKeeper::default());
                host.fleet.upsert(now, entry(version));
                host.fleet.confirm_list(*asked, version.into());
                host.read_evacuation(now, version, matches!(result, FeedResult::Watched { .. }));
            }
            host.follower.step(now, result);
            host.info.has_store = !host.follower.is_lost();
            (host.call, host.next_call) = (None, now);
            if is_changed && !host.is_cut && self.part != SpreadPart::Config {
                self.push_change(place);
            }
        }
        let host = &self.hosts[place];
        if host.next_call > now {
            return;
        }
        let context = FeedContext::from_facts(&self.facts(place));
        let host = &mut self.hosts[place];
        if self.part == SpreadPart::Servers {
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
        if self.part == SpreadPart::Evacuations && !self.facts(place).is_lead {
            return;
        }
        let view = self.hosts[place].evacuation.latest().cloned();
        let alive = self.hosts[place].roster.alive(now);
        let targets: Vec<_> = alive.map(|(_, info)| self.places[&info.heartbeat_address]).collect();
        for target in targets {
            if self.rng.u8(0..100) >= self.loss_percent {
                let target = &mut self.hosts[target];
                target.fleet.upsert(now, entry(self.version));
                view.iter().for_each(|view| target.merge_evacuation(now, view.clone()));
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
        if self.part == SpreadPart::Evacuations && !self.sync_evacuations(from, to) {
            return;
        }
        let evidence = self.hosts[from].evidence.attest(
            self.now,
            &EraKeeper::default(),
            (incarnation, echo, held),
        );
        if self.part == SpreadPart::Servers {
            return self.send_list(from, to, &evidence);
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

    /// Compares the digest of a host with that in a heartbeat or poll; the hosts send each other
    /// their views if they differ. Returns whether the heartbeat or poll arrived.
    fn sync_evacuations(&mut self, from: usize, to: usize) -> bool {
        if self.is_lost() {
            return false;
        }
        let [one, other] = [from, to].map(|place| &self.hosts[place].evacuation);
        let mut sent = Vec::new();
        if one.digest() != other.digest() {
            sent.extend(other.reports(self.now, true).into_iter().map(|view| (from, view)));
            // The receiver of a later view than its own is sent that view in reply.
            let views = one.reports(self.now, true).into_iter();
            sent.extend(views.filter(|view| other.latest() != Some(view)).map(|view| (to, view)));
        }
        for (place, view) in sent {
            if !self.is_lost() {
                self.hosts[place].merge_evacuation(self.now, view);
            }
        }
        true
    }

    fn is_lost(&mut self) -> bool {
        self.rng.u8(0..100) < self.loss_percent
    }

    /// Returns the number of hosts with access to the store that have an older version than it.
    pub(crate) fn behind(&self) -> usize {
        let version = |host: &SpreadHost| match self.part {
            SpreadPart::Config => host.evidence.version(),
            SpreadPart::Servers => {
                host.fleet.get(entry(1).tag()).map_or(0, |record| record.entry.revision.number)
            }
            SpreadPart::Evacuations => {
                let is_evacuated =
                    !host.evacuation.domains(self.now, &EraKeeper::default()).is_empty();
                let is_known = is_evacuated == self.version.is_multiple_of(2);
                if is_known { self.version } else { 0 }
            }
        };
        let is_behind =
            |host: &&SpreadHost| !host.is_cut && !host.is_frozen && version(host) < self.version;
        self.hosts.iter().filter(is_behind).count()
    }
}

/// Evacuations at a version of the store.
fn evacuations(version: u64) -> EvacuationView {
    let domains = version.is_multiple_of(2).then(|| ("key".into(), "a".into()));
    EvacuationView { revision: version.into(), domains: domains.into_iter().collect() }
}

impl SpreadHost {
    /// Applies what a read or a watch of the store returned.
    fn read_evacuation(&mut self, now: Time, version: u64, is_watch: bool) {
        if !is_watch {
            return self.merge_evacuation(now, evacuations(version));
        }
        let changes = self.evacuation.revision().number + 1..=version;
        let changes = changes.map(|number| EvacuationChange {
            key: "key".into(),
            domain: evacuations(number).domains.into_values().next(),
            number,
        });
        self.evacuation.apply_changes(
            now,
            &EraKeeper::default(),
            changes.collect(),
            version.into(),
        );
    }

    fn merge_evacuation(&mut self, now: Time, view: EvacuationView) {
        self.evacuation.merge(now, &EraKeeper::default(), view);
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
            (fleet.part, fleet.loss_percent) = (SpreadPart::Servers, loss_percent);
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
