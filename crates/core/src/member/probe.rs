//! Choice of the hosts to probe, and the probes that are not yet acknowledged.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    MemberKind, MemberMessage, MemberOutput, MemberState, MemberTable, PROBE_PERIOD, anti_entropy,
    gossip::GossipPayload,
};
use crate::time::Time;

/// Time without an ack after which other hosts are asked to probe the target.
const INDIRECT_AFTER: Duration = Duration::from_millis(300);
/// Time without an ack after which the target is suspected.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Probe rounds per probe of a host in another region.
const ROUNDS_PER_REMOTE_PROBE: u64 = 10;
/// Probe rounds per probe of a dead or unreachable host and of a seed, so that both sides notice
/// when a partition heals.
const ROUNDS_PER_REJOIN_PROBE: u64 = 10;
/// Number of failed probes, with no datagram received meanwhile, after which this host counts as
/// isolated.
const ISOLATED_AFTER_FAILURES: u32 = 3;
/// Number of seeds probed per round while no other host is known to be alive.
const MAX_INITIAL_SEEDS: usize = 3;

/// Hosts in a random order, returned one after the other and shuffled again after each pass.
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

struct PendingProbe {
    target: Arc<str>,
    sent: Time,
    /// Whether other hosts were asked to probe the target.
    is_indirect: bool,
}

/// An indirect probe that this host makes on behalf of another one.
struct PendingRelay {
    sent: Time,
    /// Peer address of the host that asked.
    address: Arc<str>,
    /// Name of the host that asked.
    origin: Arc<str>,
    /// Number that the host that asked gave the probe.
    probe: u32,
}

/// Pending probes of this host and those it makes on behalf of others.
#[derive(Default)]
pub(super) struct ProbeTable {
    pending: BTreeMap<u32, PendingProbe>,
    relays: BTreeMap<u32, PendingRelay>,
    next_probe: Time,
    /// Number of probe rounds started.
    rounds: u64,
    /// Failed probes since the last datagram was received.
    failures: u32,
}

impl ProbeTable {
    /// Drops all pending probes. Called after a pause of this process, as acks may have been lost.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }

    /// Records that a datagram was received, which shows that this host's own link works.
    pub(super) fn record_contact(&mut self) {
        self.failures = 0;
    }

    /// Whether this host is probably cut off: [`ISOLATED_AFTER_FAILURES`] probes failed and no
    /// datagram was received meanwhile.
    pub(super) fn is_isolated(&self) -> bool {
        self.failures >= ISOLATED_AFTER_FAILURES
    }

    /// Registers an indirect probe and returns the number for its ping.
    pub(super) fn add_relay(
        &mut self,
        now: Time,
        address: Arc<str>,
        origin: Arc<str>,
        probe: u32,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let number = rng.u32(..);
        self.relays.insert(number, PendingRelay { sent: now, address, origin, probe });
        number
    }
}

impl MemberTable {
    pub(super) fn check_probe_timeouts(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        self.probes.relays.retain(|_, relay| now.since(relay.sent) < SUSPECT_AFTER);
        let mut indirect = Vec::new();
        let mut failed = Vec::new();
        for (number, probe) in &mut self.probes.pending {
            if now.since(probe.sent) >= SUSPECT_AFTER {
                failed.push(*number);
            } else if now.since(probe.sent) >= INDIRECT_AFTER && !probe.is_indirect {
                probe.is_indirect = true;
                indirect.push((*number, probe.target.clone()));
            }
        }
        for (probe, target) in indirect {
            self.send_ping_requests(probe, target, outputs);
        }
        for number in failed {
            let probe = self.probes.pending.remove(&number).expect("listed above");
            let state = self.members.get(&probe.target).map(|member| member.record.state);
            if state.is_some_and(|state| state < MemberState::Suspected) {
                self.probes.failures += 1;
                self.suspect(now, &probe.target);
            }
        }
    }

    /// Asks up to three hosts for an indirect probe: one of this region, one of the target's region
    /// and one of a third. If the link between two regions is broken, no host of this region can
    /// reach the target, but a host of a third region can. A target in this region is probed by
    /// hosts of this region only.
    fn send_ping_requests(
        &mut self,
        probe: u32,
        target: Arc<str>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let Some(member) = self.members.get(&target) else { return };
        let region = member.record.region.clone();
        let address = member.record.peer_address.clone();
        let local_region = self.local.region.clone();
        let mut chosen: Vec<Arc<str>> = Vec::new();
        for kind in 0..3 {
            for _ in 0..12 {
                let Some(name) = self.random_member(kind == 0 || region == local_region) else {
                    continue;
                };
                let other = &self.members[&name].record;
                let is_suitable = match kind {
                    1 => other.region == region,
                    2 => {
                        region == local_region
                            || (other.region != region && other.region != local_region)
                    }
                    _ => true,
                };
                if is_suitable
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

    /// A random member: of this region if `in_local_region` is set and there is one, otherwise of
    /// any region.
    pub(super) fn random_member(&mut self, in_local_region: bool) -> Option<Arc<str>> {
        let all = self.local_ring.len() + self.remote_ring.len();
        let in_local_region = self.local_ring.len() > 0
            && (in_local_region || self.rng.usize(..all) < self.local_ring.len());
        let ring = if in_local_region || self.remote_ring.len() == 0 {
            &self.local_ring
        } else {
            &self.remote_ring
        };
        ring.random(&mut self.rng).cloned()
    }

    pub(super) fn probe_next(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        if now < self.probes.next_probe {
            return;
        }
        // Jitter in the first period keeps hosts that start together from probing in step.
        let is_first = self.probes.rounds == 0;
        let period = if is_first { PROBE_PERIOD.mul_f64(self.rng.f64()) } else { PROBE_PERIOD };
        self.probes.next_probe = now + period;
        self.probes.rounds += 1;
        let round = self.probes.rounds;
        if let Some(name) = next_not_dead(self, true) {
            self.probe(now, name, outputs);
        }
        self.alerted_regions.retain(|_, until| now < *until);
        let is_remote_due =
            round.is_multiple_of(ROUNDS_PER_REMOTE_PROBE) || self.local_ring.len() == 0;
        if is_remote_due && let Some(name) = next_not_dead(self, false) {
            self.probe(now, name, outputs);
        }
        // At the usual rate for other regions, a tenth, the first suspicions in a lost region would
        // expire before half of its hosts were probed. So after a suspicion there, this host probes
        // the region in every round.
        if let Some(name) = self.next_alerted() {
            self.probe(now, name, outputs);
        }
        if round % ROUNDS_PER_REJOIN_PROBE == 1 {
            self.probe_gone_host(outputs);
        }
        self.probe_seeds(round, outputs);
        if round.is_multiple_of(anti_entropy::ROUNDS_PER_SYNC) || self.digest.is_changing() {
            self.send_digest(outputs);
        }
    }

    fn probe(&mut self, now: Time, target: Arc<str>, outputs: &mut Vec<MemberOutput>) {
        let number = self.rng.u32(..);
        let to = self.members[&target].record.peer_address.clone();
        self.send(&to, Some(&target), MemberKind::Ping { probe: number }, outputs);
        self.probes.pending.insert(number, PendingProbe { target, sent: now, is_indirect: false });
    }

    /// The next host that is not suspected in a region with a recent suspicion.
    fn next_alerted(&mut self) -> Option<Arc<str>> {
        if self.alerted_regions.is_empty() {
            return None;
        }
        for _ in 0..self.remote_ring.len().min(64) {
            let name = self.remote_ring.next(&mut self.rng)?;
            let record = &self.members[&name].record;
            if record.state < MemberState::Suspected
                && self.alerted_regions.contains_key(&record.region)
            {
                return Some(name);
            }
        }
        None
    }

    fn probe_gone_host(&mut self, outputs: &mut Vec<MemberOutput>) {
        let is_gone = |state| matches!(state, MemberState::Dead | MemberState::Unreachable);
        let gone = self.members.values().filter(|member| is_gone(member.record.state));
        let gone: Vec<_> = gone.map(|member| member.record.clone()).collect();
        if let Some(record) = self.rng.choice(gone) {
            let probe = self.rng.u32(..);
            let kind = MemberKind::Ping { probe };
            self.send(&record.peer_address, Some(&record.name), kind, outputs);
        }
    }

    fn probe_seeds(&mut self, round: u64, outputs: &mut Vec<MemberOutput>) {
        let is_alone = self.live().nth(1).is_none();
        if self.seeds.is_empty() || (!is_alone && !round.is_multiple_of(ROUNDS_PER_REJOIN_PROBE)) {
            return;
        }
        let amount = if is_alone { MAX_INITIAL_SEEDS } else { 1 };
        for to in self.rng.choose_multiple(self.seeds.iter().cloned(), amount) {
            if to != self.local.peer_address {
                let probe = self.rng.u32(..);
                self.send(&to, None, MemberKind::Ping { probe }, outputs);
            }
        }
    }

    pub(super) fn handle_ack(
        &mut self,
        probe: u32,
        subject: &Arc<str>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if let Some(relay) = self.probes.relays.remove(&probe) {
            let kind = MemberKind::Ack { probe: relay.probe, subject: subject.clone() };
            self.send(&relay.address, Some(&relay.origin), kind, outputs);
        }
        if self.probes.pending.get(&probe).is_some_and(|pending| pending.target == *subject) {
            self.probes.pending.remove(&probe);
        }
    }

    /// Sends a datagram with queued gossip. If the receiver is suspected or gone, that comes first,
    /// so that it can refute in its answer.
    pub(super) fn send(
        &mut self,
        to: &Arc<str>,
        receiver: Option<&str>,
        kind: MemberKind,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let accused = receiver.and_then(|name| self.members.get(name));
        let accused = accused.filter(|member| {
            member.record.state >= MemberState::Suspected && member.state_before_isolation.is_none()
        });
        let mut payload = GossipPayload::default();
        if let Some(member) = accused {
            payload.push_update(&anti_entropy::outgoing_record(&member.record));
        }
        self.gossip_queue.take(self.members.len() + 1, &mut payload);
        let GossipPayload { records, updates } = payload;
        let (from, revision) = (self.local.clone(), self.revision);
        let message = MemberMessage { from, revision, kind, records, updates };
        outputs.push(MemberOutput::Send { to: to.clone(), message });
    }
}

/// The next host of a ring that is not dead. Unreachable hosts are still probed.
fn next_not_dead(table: &mut MemberTable, in_local_region: bool) -> Option<Arc<str>> {
    let ring = if in_local_region { &mut table.local_ring } else { &mut table.remote_ring };
    for _ in 0..ring.len().min(64) {
        let name = ring.next(&mut table.rng)?;
        if table.members[&name].record.state != MemberState::Dead {
            return Some(name);
        }
    }
    None
}
