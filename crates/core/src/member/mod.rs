//! Decides which hosts are alive, with a failure detector after SWIM.
//!
//! Every second a host probes one other host. If the probe is not acknowledged, up to three others
//! probe the target on its behalf; then the target is suspected, and declared dead unless it
//! refutes the suspicion in time. Owns the member table; other slices only read it. Hosts whose
//! datagrams stop become suspected and then dead, or unreachable if most of another region stops
//! answering at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{config::Revision, time::Time};

mod anti_entropy;
mod gossip;
mod message;
mod probe;
mod replay;
#[cfg(test)]
mod tests;

pub use message::{
    MemberInput, MemberKind, MemberMessage, MemberOutput, MemberRecord, MemberState, MemberUpdate,
};
pub use replay::ReplayFilter;

use anti_entropy::ViewDigest;
use gossip::GossipQueue;
use probe::{ProbeRing, ProbeTable};

/// Interval between [`MemberInput::Tick`] inputs.
pub const MEMBER_TICK: Duration = Duration::from_millis(100);
/// Interval between probe rounds. Each round probes one host of the local region.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// A longer gap between ticks means that this process was paused, so that missing answers say
/// nothing about other hosts.
const PAUSE_GAP: Duration = Duration::from_millis(700);
/// How long a suspected host has to refute at up to 32 hosts; see [`suspicion_timeout`].
const BASE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Factor on the suspicion timeout while no probe of this host is answered, since its own link may
/// be at fault.
const ISOLATED_TIMEOUT_FACTOR: u32 = 5;
/// How long a death counts towards the loss of its region, and how long a region is probed every
/// second after a suspicion in it.
const PARTITION_WINDOW: Duration = Duration::from_secs(10);
/// How long a dead host stays in the table, so that delayed gossip does not bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);
/// How long an unreachable host stays in the table. Regions occasionally lose contact for an hour,
/// so this is well above that.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(6 * 3_600);

struct Member {
    record: MemberRecord,
    /// When the record was inserted or last replaced. If this process is paused while the host is
    /// suspected, the length of the pause is added.
    since: Time,
    /// State before this host changed it on its own evidence while isolated; restored when
    /// datagrams arrive again.
    state_before_isolation: Option<MemberState>,
}

/// Membership as seen by this host: its own record and those of all hosts that it knows.
pub struct MemberTable {
    local: MemberRecord,
    revision: Revision,
    members: BTreeMap<Arc<str>, Member>,
    seeds: Vec<Arc<str>>,
    rng: fastrand::Rng,
    /// Hosts of this region, in probe order.
    local_ring: ProbeRing,
    /// Hosts of all other regions, in probe order.
    remote_ring: ProbeRing,
    probes: ProbeTable,
    gossip_queue: GossipQueue,
    /// Names of the members in state `Suspected`.
    suspects: BTreeSet<Arc<str>>,
    digest: ViewDigest,
    /// Other regions in which a host was suspected, with the time until which they are probed every
    /// second.
    alerted_regions: BTreeMap<Arc<str>, Time>,
    last_tick: Option<Time>,
    next_purge: Time,
    version: u64,
}

impl MemberTable {
    /// Creates a table that holds only this host. `seeds` are the peer addresses to join through.
    pub fn new(local: MemberRecord, seeds: Vec<Arc<str>>, rng: fastrand::Rng) -> MemberTable {
        MemberTable {
            local,
            revision: Revision(0),
            members: BTreeMap::new(),
            seeds,
            rng,
            local_ring: ProbeRing::default(),
            remote_ring: ProbeRing::default(),
            probes: ProbeTable::default(),
            gossip_queue: GossipQueue::default(),
            suspects: BTreeSet::new(),
            digest: ViewDigest::default(),
            alerted_regions: BTreeMap::new(),
            last_tick: None,
            next_purge: Time::ZERO,
            version: 0,
        }
    }

    /// The record of this host.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Increases with every change to the table, so that caches can detect staleness.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Hosts that accept new work (state `Alive`), this host included.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live().filter(|record| record.state == MemberState::Alive)
    }

    /// Hosts that are neither suspected nor gone (`Alive` or `Draining`), this host included.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Draining))
    }

    /// Every host in the table, dead and unreachable ones included; this host comes first.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.local).chain(self.members.values().map(|member| &member.record))
    }

    /// The record of a host in any state, or none if it was never seen or has been purged.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        if *self.local.name == *name {
            return Some(&self.local);
        }
        self.members.get(name).map(|member| &member.record)
    }

    /// Applies one input and returns the resulting outputs.
    pub fn step(&mut self, now: Time, input: MemberInput) -> Vec<MemberOutput> {
        let version = self.version;
        let mut outputs = Vec::new();
        match input {
            MemberInput::Tick => self.tick(now, &mut outputs),
            MemberInput::Received(message) => self.receive(now, message, &mut outputs),
            MemberInput::ConfigRevision(revision) => self.revision = self.revision.max(revision),
            MemberInput::Seeds(seeds) => self.seeds = seeds,
            MemberInput::Drain => {
                self.local.state = MemberState::Draining;
                self.local.incarnation += 1;
                self.version += 1;
                self.announce_local();
                self.gossip(now, &mut outputs);
            }
        }
        if self.version != version {
            outputs.push(MemberOutput::Changed);
        }
        outputs
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap > PAUSE_GAP {
            self.probes.clear();
            for name in &self.suspects {
                let member = self.members.get_mut(name).expect("suspects are members");
                member.since = member.since + gap;
            }
        }
        self.check_probe_timeouts(now, outputs);
        self.expire_suspicions(now);
        self.probe_next(now, outputs);
        self.gossip(now, outputs);
        if self.next_purge <= now {
            self.next_purge = now + Duration::from_secs(60);
            self.purge(now);
        }
    }

    fn receive(&mut self, now: Time, message: MemberMessage, outputs: &mut Vec<MemberOutput>) {
        let MemberMessage { from, revision, kind, records, updates } = message;
        if from.name == self.local.name {
            return;
        }
        if self.probes.is_isolated() {
            self.revert_isolated_states(now);
        }
        self.probes.record_contact();
        let (sender, address) = (from.name.clone(), from.peer_address.clone());
        self.merge(now, from, true, outputs);
        let is_gossiped = kind != MemberKind::View;
        for record in records {
            self.merge(now, record, is_gossiped, outputs);
        }
        for update in updates {
            self.apply_update(now, update, outputs);
        }
        match kind {
            MemberKind::Ping { probe } => {
                let subject = self.local.name.clone();
                self.send(&address, Some(&sender), MemberKind::Ack { probe, subject }, outputs);
            }
            MemberKind::Ack { probe, subject } => self.handle_ack(probe, &subject, outputs),
            MemberKind::PingRequest { probe, target, address: target_address } => {
                let relay =
                    self.probes.add_relay(now, address, sender.clone(), probe, &mut self.rng);
                let kind = MemberKind::Ping { probe: relay };
                self.send(&target_address, Some(&target), kind, outputs);
            }
            MemberKind::Gossip | MemberKind::View => {}
            MemberKind::Digest(digests) => self.handle_digest(&address, &digests, outputs),
        }
        if revision > self.revision {
            outputs.push(MemberOutput::PeerConfigAhead { host: sender, revision });
        }
    }

    /// Applies an update if its identity hash matches the record that this host holds.
    fn apply_update(&mut self, now: Time, update: MemberUpdate, outputs: &mut Vec<MemberOutput>) {
        let Some(known) = self.get(&update.name) else { return };
        if gossip::identity_hash(known) == update.identity {
            let MemberUpdate { incarnation, state, .. } = update;
            let record = MemberRecord { incarnation, state, ..known.clone() };
            self.merge(now, record, true, outputs);
        }
    }

    /// Replaces the held record if the received one is newer. A host that was not in the table is
    /// gossiped further only if `is_gossiped`; otherwise every host that joins would gossip the
    /// whole view again.
    fn merge(
        &mut self,
        now: Time,
        mut record: MemberRecord,
        is_gossiped: bool,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if record.name == self.local.name {
            return self.refute(&record, outputs);
        }
        if record.state == MemberState::Dead && self.is_region_lost(now, &record.region) {
            record.state = MemberState::Unreachable;
        }
        let Some(member) = self.members.get(&record.name) else {
            if record.state < MemberState::Unreachable {
                self.insert(now, record, is_gossiped);
            }
            return;
        };
        let known = &member.record;
        if (record.incarnation, record.state) > (known.incarnation, known.state) {
            self.replace(now, record, true);
        }
    }

    /// Raises this host's incarnation above that of a record which is newer than its own or
    /// suspects it, so that its own record prevails.
    fn refute(&mut self, record: &MemberRecord, outputs: &mut Vec<MemberOutput>) {
        let is_newer = record.incarnation > self.local.incarnation;
        let is_accused =
            record.incarnation == self.local.incarnation && record.state >= MemberState::Suspected;
        if !is_newer && !is_accused {
            return;
        }
        self.local.incarnation = record.incarnation + 1;
        self.announce_local();
        if record.state == MemberState::Dead {
            outputs.push(MemberOutput::DeclaredDead);
        }
    }

    fn insert(&mut self, now: Time, record: MemberRecord, is_gossiped: bool) {
        let in_local_region = record.region == self.local.region;
        let ring = if in_local_region { &mut self.local_ring } else { &mut self.remote_ring };
        ring.insert(record.name.clone(), &mut self.rng);
        self.members.insert(
            record.name.clone(),
            Member { record: record.clone(), since: now, state_before_isolation: None },
        );
        self.digest.toggle(&record);
        self.record_change(now, record, is_gossiped, true);
    }

    fn replace(&mut self, now: Time, record: MemberRecord, is_gossiped: bool) {
        let member = self.members.get_mut(&record.name).expect("the caller found it");
        let before = member.state_before_isolation.unwrap_or(member.record.state);
        member.state_before_isolation =
            (!is_gossiped && self.probes.is_isolated()).then_some(before);
        self.digest.toggle(&member.record);
        self.digest.toggle(&record);
        let needs_record = gossip::identity_hash(&member.record) != gossip::identity_hash(&record);
        member.record = record.clone();
        member.since = now;
        self.record_change(now, record, is_gossiped, needs_record);
    }

    fn record_change(
        &mut self,
        now: Time,
        record: MemberRecord,
        is_gossiped: bool,
        needs_record: bool,
    ) {
        self.version += 1;
        if record.state == MemberState::Suspected {
            self.suspects.insert(record.name.clone());
            if record.region != self.local.region {
                self.alerted_regions.insert(record.region.clone(), now + PARTITION_WINDOW);
            }
        } else {
            self.suspects.remove(&record.name);
        }
        if is_gossiped && record.state != MemberState::Unreachable {
            self.gossip_queue.push(record, needs_record);
        }
    }

    fn announce_local(&mut self) {
        self.version += 1;
        self.gossip_queue.push(self.local.clone(), false);
    }

    fn suspect(&mut self, now: Time, name: &str) {
        let Some(member) = self.members.get(name) else { return };
        if member.record.state >= MemberState::Suspected {
            return;
        }
        let record = MemberRecord { state: MemberState::Suspected, ..member.record.clone() };
        self.replace(now, record, !self.probes.is_isolated());
    }

    fn expire_suspicions(&mut self, now: Time) {
        let is_isolated = self.probes.is_isolated();
        let factor = if is_isolated { ISOLATED_TIMEOUT_FACTOR } else { 1 };
        let limit = suspicion_timeout(self.members.len() + 1) * factor;
        let is_expired = |name: &&Arc<str>| now.since(self.members[*name].since) >= limit;
        let expired: Vec<_> = self.suspects.iter().filter(is_expired).cloned().collect();
        if expired.is_empty() {
            return;
        }
        let regions: BTreeSet<_> =
            expired.iter().map(|name| self.members[name].record.region.clone()).collect();
        let lost_regions: Vec<_> =
            regions.into_iter().filter(|region| self.is_region_lost(now, region)).collect();
        for name in expired {
            let record = self.members[&name].record.clone();
            let is_lost = lost_regions.contains(&record.region);
            let state = if is_lost { MemberState::Unreachable } else { MemberState::Dead };
            self.replace(now, MemberRecord { state, ..record }, !is_isolated);
        }
        for region in lost_regions {
            self.mark_region_unreachable(now, &region);
        }
    }

    /// Restores the states that this host changed on its own evidence while it was isolated.
    fn revert_isolated_states(&mut self, now: Time) {
        let reverted = self.members.values().filter_map(|member| {
            let state = member.state_before_isolation?;
            Some(MemberRecord { state, ..member.record.clone() })
        });
        for record in reverted.collect::<Vec<_>>() {
            let name = record.name.clone();
            self.replace(now, record, true);
            self.gossip_queue.remove(&name);
        }
    }

    /// Marks hosts of a lost region as unreachable if they were declared dead before the loss was
    /// detected.
    fn mark_region_unreachable(&mut self, now: Time, region: &str) {
        let is_recent = |member: &&Member| {
            *member.record.region == *region
                && member.record.state == MemberState::Dead
                && now.since(member.since) <= PARTITION_WINDOW
        };
        let dead: Vec<_> =
            self.members.values().filter(is_recent).map(|member| member.record.clone()).collect();
        for record in dead {
            self.replace(now, MemberRecord { state: MemberState::Unreachable, ..record }, false);
        }
    }

    /// Whether more than half of the hosts of another region are suspected, unreachable, or were
    /// declared dead within [`PARTITION_WINDOW`].
    fn is_region_lost(&self, now: Time, region: &str) -> bool {
        if *self.local.region == *region {
            return false;
        }
        let (mut total, mut gone) = (0, 0);
        for member in self.members.values().filter(|member| *member.record.region == *region) {
            total += 1;
            gone += match member.record.state {
                MemberState::Alive | MemberState::Draining => 0,
                MemberState::Suspected | MemberState::Unreachable => 1,
                MemberState::Dead => usize::from(now.since(member.since) <= PARTITION_WINDOW),
            };
        }
        gone * 2 > total
    }

    fn purge(&mut self, now: Time) {
        let is_expired = |member: &Member| match member.record.state {
            MemberState::Dead => now.since(member.since) >= DEAD_RETENTION,
            MemberState::Unreachable => now.since(member.since) >= UNREACHABLE_RETENTION,
            _ => false,
        };
        let expired = self.members.iter().filter(|(_, member)| is_expired(member));
        for name in expired.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.members.remove(&name);
            self.local_ring.remove(&name);
            self.remote_ring.remove(&name);
            self.version += 1;
        }
    }
}

/// How long a suspected host has to refute among `hosts` hosts. Grows with the logarithm of their
/// number, since gossip takes longer to reach more hosts.
pub fn suspicion_timeout(hosts: usize) -> Duration {
    let growth = (hosts.max(32) as f64).log10() / 32f64.log10();
    BASE_SUSPICION_TIMEOUT.mul_f64(growth)
}
