//! Whom to probe, and the probes that wait for an answer.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    MemberKind, MemberMessage, MemberOutput, MemberState, MemberTable, PROBE_PERIOD, rumour::News,
    view,
};
use crate::time::Time;

/// Time after which other hosts are asked to probe.
const INDIRECT_AFTER: Duration = Duration::from_millis(300);
/// Time after which the target is suspected.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Probes for one probe of a host in another region.
const FAR_EVERY: u64 = 10;
/// Probes for one probe of a host that is gone and one of a seed, so that a healed partition is
/// noticed by both sides.
const GONE_EVERY: u64 = 10;
/// Unanswered probes in a row after which this host's own link is suspect.
const ISOLATED_AFTER: u32 = 3;
/// Seeds probed at once while no other host is known.
const SEEDS_AT_ONCE: usize = 3;

/// Hosts in shuffled order; each is returned once per round.
#[derive(Default)]
pub(super) struct ProbeRing {
    names: Vec<Arc<str>>,
    next: usize,
}

impl ProbeRing {
    pub(super) fn insert(&mut self, name: Arc<str>, rng: &mut fastrand::Rng) {
        let at = rng.usize(..=self.names.len());
        self.names.push(name);
        let last = self.names.len() - 1;
        self.names.swap(at, last);
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.names.retain(|known| **known != *name);
    }

    fn next(&mut self, rng: &mut fastrand::Rng) -> Option<Arc<str>> {
        if self.next >= self.names.len() {
            rng.shuffle(&mut self.names);
            self.next = 0;
        }
        let name = self.names.get(self.next).cloned();
        self.next += 1;
        name
    }

    pub(super) fn random(&self, rng: &mut fastrand::Rng) -> Option<&Arc<str>> {
        rng.choice(self.names.iter())
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }
}

struct OpenProbe {
    target: Arc<str>,
    sent: Time,
    is_indirect: bool,
}

struct OpenRelay {
    sent: Time,
    address: Arc<str>,
    origin: Arc<str>,
    probe: u32,
}

/// Probes of this host and those it makes for others.
#[derive(Default)]
pub(super) struct ProbeTable {
    open: BTreeMap<u32, OpenProbe>,
    relays: BTreeMap<u32, OpenRelay>,
    next_probe: Time,
    count: u64,
    unanswered: u32,
}

impl ProbeTable {
    /// Drops open probes, whose answers may have been lost to a pause of this process.
    pub(super) fn forget(&mut self) {
        self.open.clear();
        self.relays.clear();
    }

    /// A datagram arrived, so this host's own link works.
    pub(super) fn heard(&mut self) {
        self.unanswered = 0;
    }

    /// Whether several probes went unanswered and nothing at all arrived meanwhile.
    pub(super) fn is_isolated(&self) -> bool {
        self.unanswered >= ISOLATED_AFTER
    }

    pub(super) fn relay(
        &mut self,
        now: Time,
        address: Arc<str>,
        origin: Arc<str>,
        probe: u32,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let number = rng.u32(..);
        self.relays.insert(number, OpenRelay { sent: now, address, origin, probe });
        number
    }
}

impl MemberTable {
    pub(super) fn check_probes(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        self.probes.relays.retain(|_, relay| now.since(relay.sent) < SUSPECT_AFTER);
        let mut indirect = Vec::new();
        let mut failed = Vec::new();
        for (number, probe) in &mut self.probes.open {
            if now.since(probe.sent) >= SUSPECT_AFTER {
                failed.push(*number);
            } else if now.since(probe.sent) >= INDIRECT_AFTER && !probe.is_indirect {
                probe.is_indirect = true;
                indirect.push((*number, probe.target.clone()));
            }
        }
        for (probe, target) in indirect {
            self.ask_others(probe, target, outputs);
        }
        for number in failed {
            let probe = self.probes.open.remove(&number).expect("listed above");
            let state = self.members.get(&probe.target).map(|member| member.record.state);
            if state.is_some_and(|state| state < MemberState::Suspected) {
                self.probes.unanswered += 1;
                self.suspect(now, &probe.target);
            }
        }
    }

    /// Asks one host of each kind: of this region, of the target's, and of another one, as a broken
    /// link between two regions hides a host from all hosts of one of them.
    fn ask_others(&mut self, probe: u32, target: Arc<str>, outputs: &mut Vec<MemberOutput>) {
        let Some(member) = self.members.get(&target) else { return };
        let region = member.record.region.clone();
        let address = member.record.peer_address.clone();
        let me = self.me.region.clone();
        let mut chosen: Vec<Arc<str>> = Vec::new();
        for kind in 0..3 {
            for _ in 0..12 {
                let Some(name) = self.random_member(kind == 0 || region == me) else { continue };
                let other = &self.members[&name].record;
                let fits = match kind {
                    1 => other.region == region,
                    2 => region == me || (other.region != region && other.region != me),
                    _ => true,
                };
                if fits
                    && name != target
                    && other.state == MemberState::Alive
                    && !chosen.contains(&name)
                {
                    chosen.push(name);
                    break;
                }
            }
        }
        for name in chosen {
            let to = self.members[&name].record.peer_address.clone();
            let kind =
                MemberKind::PingRequest { probe, target: target.clone(), address: address.clone() };
            self.send(&to, Some(&name), kind, outputs);
        }
    }

    /// A random member, of this region if `is_near` and there is one, of any region otherwise.
    pub(super) fn random_member(&mut self, is_near: bool) -> Option<Arc<str>> {
        let all = self.near.len() + self.far.len();
        let is_near = self.near.len() > 0 && (is_near || self.rng.usize(..all) < self.near.len());
        let ring = if is_near || self.far.len() == 0 { &self.near } else { &self.far };
        ring.random(&mut self.rng).cloned()
    }

    pub(super) fn probe_next(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        if now < self.probes.next_probe {
            return;
        }
        // The first probe falls anywhere in the period, so that hosts that start together do not
        // probe together.
        let is_first = self.probes.count == 0;
        let period = if is_first { PROBE_PERIOD.mul_f64(self.rng.f64()) } else { PROBE_PERIOD };
        self.probes.next_probe = now + period;
        self.probes.count += 1;
        let count = self.probes.count;
        if let Some(name) = next_present(self, true) {
            self.probe(now, name, outputs);
        }
        self.alerts.retain(|_, until| now < *until);
        let is_far_due = count.is_multiple_of(FAR_EVERY) || self.near.len() == 0;
        if is_far_due && let Some(name) = next_present(self, false) {
            self.probe(now, name, outputs);
        }
        // At a tenth of the rate the first suspicions in a lost region would end before half of
        // its hosts were probed. While one is open, all hosts probe that region every second.
        if let Some(name) = self.next_alerted() {
            self.probe(now, name, outputs);
        }
        if count % GONE_EVERY == 1 {
            self.probe_gone(outputs);
        }
        self.probe_seeds(count, outputs);
        if count.is_multiple_of(view::SYNC_EVERY) || self.digest.is_growing() {
            self.ask_digest(outputs);
        }
    }

    fn probe(&mut self, now: Time, target: Arc<str>, outputs: &mut Vec<MemberOutput>) {
        let number = self.rng.u32(..);
        let to = self.members[&target].record.peer_address.clone();
        self.send(&to, Some(&target), MemberKind::Ping { probe: number }, outputs);
        self.probes.open.insert(number, OpenProbe { target, sent: now, is_indirect: false });
    }

    /// A host, not yet suspected, of a region in which one was suspected lately.
    fn next_alerted(&mut self) -> Option<Arc<str>> {
        if self.alerts.is_empty() {
            return None;
        }
        for _ in 0..self.far.len().min(64) {
            let name = self.far.next(&mut self.rng)?;
            let record = &self.members[&name].record;
            if record.state < MemberState::Suspected && self.alerts.contains_key(&record.region) {
                return Some(name);
            }
        }
        None
    }

    fn probe_gone(&mut self, outputs: &mut Vec<MemberOutput>) {
        let is_gone = |state| matches!(state, MemberState::Dead | MemberState::Unreachable);
        let gone = self.members.values().filter(|member| is_gone(member.record.state));
        let gone: Vec<_> = gone.map(|member| member.record.clone()).collect();
        if let Some(record) = self.rng.choice(gone) {
            let probe = self.rng.u32(..);
            let kind = MemberKind::Ping { probe };
            self.send(&record.peer_address, Some(&record.name), kind, outputs);
        }
    }

    fn probe_seeds(&mut self, count: u64, outputs: &mut Vec<MemberOutput>) {
        let is_alone = self.live().nth(1).is_none();
        if self.seeds.is_empty() || (!is_alone && !count.is_multiple_of(GONE_EVERY)) {
            return;
        }
        let amount = if is_alone { SEEDS_AT_ONCE } else { 1 };
        for to in self.rng.choose_multiple(self.seeds.iter().cloned(), amount) {
            if to != self.me.peer_address {
                let probe = self.rng.u32(..);
                self.send(&to, None, MemberKind::Ping { probe }, outputs);
            }
        }
    }

    pub(super) fn acked(
        &mut self,
        probe: u32,
        subject: &Arc<str>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if let Some(relay) = self.probes.relays.remove(&probe) {
            let kind = MemberKind::Ack { probe: relay.probe, subject: subject.clone() };
            self.send(&relay.address, Some(&relay.origin), kind, outputs);
        }
        if self.probes.open.get(&probe).is_some_and(|open| open.target == *subject) {
            self.probes.open.remove(&probe);
        }
    }

    /// Sends a datagram with rumours. What is wrongly believed of the receiver comes first, so that
    /// it can refute in its answer.
    pub(super) fn send(
        &mut self,
        to: &Arc<str>,
        receiver: Option<&str>,
        kind: MemberKind,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let accused = receiver.and_then(|name| self.members.get(name));
        let accused = accused.filter(|member| {
            member.record.state >= MemberState::Suspected && member.doubted.is_none()
        });
        let mut news = News::default();
        if let Some(member) = accused {
            news.push_update(&view::told(&member.record));
        }
        self.rumours.take(self.members.len() + 1, &mut news);
        let News { records, updates } = news;
        let (from, revision) = (self.me.clone(), self.revision);
        let message = MemberMessage { from, revision, kind, records, updates };
        outputs.push(MemberOutput::Send { to: to.clone(), message });
    }
}

/// The next host of a ring that was not taken for dead. Unreachable hosts stay in the round of far
/// hosts.
fn next_present(table: &mut MemberTable, is_near: bool) -> Option<Arc<str>> {
    let ring = if is_near { &mut table.near } else { &mut table.far };
    for _ in 0..ring.len().min(64) {
        let name = ring.next(&mut table.rng)?;
        if table.members[&name].record.state != MemberState::Dead {
            return Some(name);
        }
    }
    None
}
