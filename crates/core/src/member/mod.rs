//! Decides which hosts are alive.
//!
//! SWIM-like: every second a host probes one other host, asks three others to probe it if it does
//! not answer, suspects it, and takes it for dead if nobody refutes. Owns the member table; other
//! slices read it. When datagrams stop coming, members become suspected and then dead, or
//! unreachable when most of another region goes at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{config::Revision, time::Time};

mod message;
mod probe;
mod replay;
mod rumour;
#[cfg(test)]
mod tests;
mod view;

pub use message::{
    MemberInput, MemberKind, MemberMessage, MemberOutput, MemberRecord, MemberState, MemberUpdate,
};
pub use replay::ReplayFilter;

use probe::{ProbeRing, ProbeTable};
use rumour::RumourQueue;
use view::ViewDigest;

/// Time between two [`MemberInput::Tick`].
pub const MEMBER_TICK: Duration = Duration::from_millis(100);
/// Time between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// A longer gap between ticks means that this process was paused, which says nothing about others.
const PAUSE_GAP: Duration = Duration::from_millis(700);
/// Suspicion at up to 32 hosts.
const SUSPICION: Duration = Duration::from_secs(3);
/// Factor on suspicion while no probe of this host is answered, as then its own link is suspect.
const ISOLATED_FACTOR: u32 = 5;
/// Time within which more than half of a region must vanish to count as a partition.
const VANISH_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a dead host is remembered, so that late rumours do not revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(3_600);
/// Regions lose contact for an hour now and then; their hosts are remembered well beyond that.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(6 * 3_600);

struct Member {
    record: MemberRecord,
    /// When the state changed last.
    since: Time,
    /// State before this host concluded something alone while its own link was suspect.
    doubted: Option<MemberState>,
}

/// The hosts known to this host.
pub struct MemberTable {
    me: MemberRecord,
    revision: Revision,
    members: BTreeMap<Arc<str>, Member>,
    seeds: Vec<Arc<str>>,
    rng: fastrand::Rng,
    near: ProbeRing,
    far: ProbeRing,
    probes: ProbeTable,
    rumours: RumourQueue,
    suspects: BTreeSet<Arc<str>>,
    digest: ViewDigest,
    /// Other regions in which a host was suspected, with the end of the quicker probes of them.
    alerts: BTreeMap<Arc<str>, Time>,
    last_tick: Option<Time>,
    next_purge: Time,
    version: u64,
}

impl MemberTable {
    /// A table that knows this host and the addresses to contact first.
    pub fn new(me: MemberRecord, seeds: Vec<Arc<str>>, rng: fastrand::Rng) -> MemberTable {
        MemberTable {
            me,
            revision: Revision(0),
            members: BTreeMap::new(),
            seeds,
            rng,
            near: ProbeRing::default(),
            far: ProbeRing::default(),
            probes: ProbeTable::default(),
            rumours: RumourQueue::default(),
            suspects: BTreeSet::new(),
            digest: ViewDigest::default(),
            alerts: BTreeMap::new(),
            last_tick: None,
            next_purge: Time::ZERO,
            version: 0,
        }
    }

    /// This host's own record.
    pub fn local(&self) -> &MemberRecord {
        &self.me
    }

    /// Grows with every change of the set of hosts or of a state; caches compare it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Hosts that take new work, this host included.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live().filter(|record| record.state == MemberState::Alive)
    }

    /// Hosts that answer, this host included.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Draining))
    }

    /// Every known host, this host first, gone ones included.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.me).chain(self.members.values().map(|member| &member.record))
    }

    /// The record of a host.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        if *self.me.name == *name {
            return Some(&self.me);
        }
        self.members.get(name).map(|member| &member.record)
    }

    /// Advances the table.
    pub fn step(&mut self, now: Time, input: MemberInput) -> Vec<MemberOutput> {
        let version = self.version;
        let mut outputs = Vec::new();
        match input {
            MemberInput::Tick => self.tick(now, &mut outputs),
            MemberInput::Received(message) => self.receive(now, message, &mut outputs),
            MemberInput::ConfigRevision(revision) => self.revision = self.revision.max(revision),
            MemberInput::Seeds(seeds) => self.seeds = seeds,
            MemberInput::Drain => {
                self.me.state = MemberState::Draining;
                self.me.incarnation += 1;
                self.version += 1;
                self.announce_me();
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
            self.probes.forget();
            for name in &self.suspects {
                let member = self.members.get_mut(name).expect("suspects are members");
                member.since = member.since + gap;
            }
        }
        self.check_probes(now, outputs);
        self.end_suspicions(now);
        self.probe_next(now, outputs);
        self.gossip(now, outputs);
        if self.next_purge <= now {
            self.next_purge = now + Duration::from_secs(60);
            self.purge(now);
        }
    }

    fn receive(&mut self, now: Time, message: MemberMessage, outputs: &mut Vec<MemberOutput>) {
        let MemberMessage { from, revision, kind, records, updates } = message;
        if from.name == self.me.name {
            return;
        }
        if self.probes.is_isolated() {
            self.reconsider(now);
        }
        self.probes.heard();
        let (sender, address) = (from.name.clone(), from.peer_address.clone());
        self.merge(now, from, true, outputs);
        let is_news = kind != MemberKind::View;
        for record in records {
            self.merge(now, record, is_news, outputs);
        }
        for update in updates {
            self.update(now, update, outputs);
        }
        match kind {
            MemberKind::Ping { probe } => {
                let subject = self.me.name.clone();
                self.send(&address, Some(&sender), MemberKind::Ack { probe, subject }, outputs);
            }
            MemberKind::Ack { probe, subject } => self.acked(probe, &subject, outputs),
            MemberKind::PingRequest { probe, target, address: target_address } => {
                let relay = self.probes.relay(now, address, sender.clone(), probe, &mut self.rng);
                let kind = MemberKind::Ping { probe: relay };
                self.send(&target_address, Some(&target), kind, outputs);
            }
            MemberKind::Gossip | MemberKind::View => {}
            MemberKind::Digest(digests) => self.answer_digest(&address, &digests, outputs),
        }
        if revision > self.revision {
            outputs.push(MemberOutput::PeerConfigAhead { host: sender, revision });
        }
    }

    /// Takes an update over if it is of the record that this host holds.
    fn update(&mut self, now: Time, update: MemberUpdate, outputs: &mut Vec<MemberOutput>) {
        let Some(known) = self.get(&update.name) else { return };
        if rumour::identity(known) == update.identity {
            let MemberUpdate { incarnation, state, .. } = update;
            let record = MemberRecord { incarnation, state, ..known.clone() };
            self.merge(now, record, true, outputs);
        }
    }

    /// Takes a record over if it is newer than what is known. A host that was unknown is passed on
    /// only if it `is_news`; otherwise each new host would send the whole view around again.
    fn merge(
        &mut self,
        now: Time,
        mut record: MemberRecord,
        is_news: bool,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if record.name == self.me.name {
            return self.refute(&record, outputs);
        }
        if record.state == MemberState::Dead && self.is_vanishing(now, &record.region) {
            record.state = MemberState::Unreachable;
        }
        let Some(member) = self.members.get(&record.name) else {
            if record.state < MemberState::Unreachable {
                self.insert(now, record, is_news);
            }
            return;
        };
        let known = &member.record;
        if (record.incarnation, record.state) > (known.incarnation, known.state) {
            self.replace(now, record, true);
        }
    }

    /// This host is alive, whatever others say: outranks what they say.
    fn refute(&mut self, record: &MemberRecord, outputs: &mut Vec<MemberOutput>) {
        let is_newer = record.incarnation > self.me.incarnation;
        let is_accused =
            record.incarnation == self.me.incarnation && record.state >= MemberState::Suspected;
        if !is_newer && !is_accused {
            return;
        }
        self.me.incarnation = record.incarnation + 1;
        self.announce_me();
        if record.state == MemberState::Dead {
            outputs.push(MemberOutput::DeclaredDead);
        }
    }

    fn insert(&mut self, now: Time, record: MemberRecord, is_news: bool) {
        let is_near = record.region == self.me.region;
        let ring = if is_near { &mut self.near } else { &mut self.far };
        ring.insert(record.name.clone(), &mut self.rng);
        self.members.insert(
            record.name.clone(),
            Member { record: record.clone(), since: now, doubted: None },
        );
        self.digest.toggle(&record);
        self.changed(now, record, is_news, true);
    }

    fn replace(&mut self, now: Time, record: MemberRecord, is_told: bool) {
        let member = self.members.get_mut(&record.name).expect("the caller found it");
        let before = member.doubted.unwrap_or(member.record.state);
        member.doubted = (!is_told && self.probes.is_isolated()).then_some(before);
        self.digest.toggle(&member.record);
        self.digest.toggle(&record);
        let is_new = rumour::identity(&member.record) != rumour::identity(&record);
        member.record = record.clone();
        member.since = now;
        self.changed(now, record, is_told, is_new);
    }

    fn changed(&mut self, now: Time, record: MemberRecord, is_told: bool, is_new: bool) {
        self.version += 1;
        if record.state == MemberState::Suspected {
            self.suspects.insert(record.name.clone());
            if record.region != self.me.region {
                self.alerts.insert(record.region.clone(), now + VANISH_WINDOW);
            }
        } else {
            self.suspects.remove(&record.name);
        }
        if is_told && record.state != MemberState::Unreachable {
            self.rumours.push(record, is_new);
        }
    }

    fn announce_me(&mut self) {
        self.version += 1;
        self.rumours.push(self.me.clone(), false);
    }

    fn suspect(&mut self, now: Time, name: &str) {
        let Some(member) = self.members.get(name) else { return };
        if member.record.state >= MemberState::Suspected {
            return;
        }
        let record = MemberRecord { state: MemberState::Suspected, ..member.record.clone() };
        self.replace(now, record, !self.probes.is_isolated());
    }

    fn end_suspicions(&mut self, now: Time) {
        let is_isolated = self.probes.is_isolated();
        let factor = if is_isolated { ISOLATED_FACTOR } else { 1 };
        let limit = suspicion_timeout(self.members.len() + 1) * factor;
        let is_over = |name: &&Arc<str>| now.since(self.members[*name].since) >= limit;
        let over: Vec<_> = self.suspects.iter().filter(is_over).cloned().collect();
        if over.is_empty() {
            return;
        }
        let regions: BTreeSet<_> =
            over.iter().map(|name| self.members[name].record.region.clone()).collect();
        let vanishing: Vec<_> =
            regions.into_iter().filter(|region| self.is_vanishing(now, region)).collect();
        for name in over {
            let record = self.members[&name].record.clone();
            let is_vanished = vanishing.contains(&record.region);
            let state = if is_vanished { MemberState::Unreachable } else { MemberState::Dead };
            self.replace(now, MemberRecord { state, ..record }, !is_isolated);
        }
        for region in vanishing {
            self.forgive(now, &region);
        }
    }

    /// Takes back what this host concluded while its own link was broken.
    fn reconsider(&mut self, now: Time) {
        let doubted = self.members.values().filter_map(|member| {
            member.doubted.map(|state| MemberRecord { state, ..member.record.clone() })
        });
        for record in doubted.collect::<Vec<_>>() {
            let name = record.name.clone();
            self.replace(now, record, true);
            self.rumours.remove(&name);
        }
    }

    /// Hosts of a vanished region that were taken for dead first are unreachable as well.
    fn forgive(&mut self, now: Time, region: &str) {
        let is_recent = |member: &&Member| {
            *member.record.region == *region
                && member.record.state == MemberState::Dead
                && now.since(member.since) <= VANISH_WINDOW
        };
        let dead: Vec<_> =
            self.members.values().filter(is_recent).map(|member| member.record.clone()).collect();
        for record in dead {
            self.replace(now, MemberRecord { state: MemberState::Unreachable, ..record }, false);
        }
    }

    /// Whether more than half of another region stopped answering within a short time.
    fn is_vanishing(&self, now: Time, region: &str) -> bool {
        if *self.me.region == *region {
            return false;
        }
        let (mut total, mut gone) = (0, 0);
        for member in self.members.values().filter(|member| *member.record.region == *region) {
            total += 1;
            gone += match member.record.state {
                MemberState::Alive | MemberState::Draining => 0,
                MemberState::Suspected | MemberState::Unreachable => 1,
                MemberState::Dead => usize::from(now.since(member.since) <= VANISH_WINDOW),
            };
        }
        gone * 2 > total
    }

    fn purge(&mut self, now: Time) {
        let is_over = |member: &Member| match member.record.state {
            MemberState::Dead => now.since(member.since) >= DEAD_RETENTION,
            MemberState::Unreachable => now.since(member.since) >= UNREACHABLE_RETENTION,
            _ => false,
        };
        let over = self.members.iter().filter(|(_, member)| is_over(member));
        for name in over.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.members.remove(&name);
            self.near.remove(&name);
            self.far.remove(&name);
            self.version += 1;
        }
    }
}

/// How long a suspicion lasts among `hosts` hosts; rumours need longer to reach more hosts.
pub fn suspicion_timeout(hosts: usize) -> Duration {
    let growth = (hosts.max(32) as f64).log10() / 32f64.log10();
    SUSPICION.mul_f64(growth)
}
