//! Decides which hosts are alive.
//!
//! Owns the member table. Other slices read it. When datagrams stop coming, members become
//! suspected and then dead.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::{config::Revision, time::Time};

/// What is known of a host's state.
#[key]
pub enum MemberState {
    /// It answers and accepts work.
    Alive,
    /// It answers, finishes its work and takes no new work.
    Draining,
    /// It did not answer; others are still to confirm.
    Suspected,
    /// It is gone.
    Dead,
}

/// What hosts tell each other about one host.
#[message]
pub struct MemberRecord {
    /// Name of the host.
    pub name: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub address: Arc<str>,
    /// Address for peers.
    pub peer_address: Arc<str>,
    /// Capacity relative to other hosts.
    pub capacity: u32,
    /// Grows when the host starts or refutes a suspicion.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
}

/// A datagram between hosts.
#[message]
pub struct MemberMessage {
    /// Name of the sender.
    pub from: Arc<str>,
    /// Complete configuration revision of the sender.
    pub revision: Revision,
    /// Whether the receiver must answer.
    pub probe: bool,
    /// News about members, the sender included.
    pub records: Vec<MemberRecord>,
}

/// Input of [`MemberTable::step`].
#[value]
pub enum MemberInput {
    /// Time passed; sent every [`PROBE_PERIOD`].
    Tick,
    /// A datagram arrived.
    Received(MemberMessage),
    /// The configuration of this host reached a revision.
    Revision(Revision),
    /// This host starts to drain.
    Drain,
}

/// Output of [`MemberTable::step`].
#[value]
pub enum MemberOutput {
    /// Send a datagram.
    Send {
        /// Peer address.
        to: Arc<str>,
        /// Content.
        message: MemberMessage,
    },
    /// A peer has a higher complete configuration revision.
    PeerAhead {
        /// Name of the peer.
        host: Arc<str>,
        /// Its revision.
        revision: Revision,
    },
    /// The set of live hosts changed.
    Changed,
}

/// Time between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a host is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a host is taken for dead.
const DEAD_AFTER: Duration = Duration::from_millis(4000);

struct Member {
    record: MemberRecord,
    heard: Time,
}

/// The hosts known to this host.
pub struct MemberTable {
    me: MemberRecord,
    revision: Revision,
    members: BTreeMap<Arc<str>, Member>,
    seeds: Vec<Arc<str>>,
}

impl MemberTable {
    /// A table that knows this host and the addresses to contact first.
    pub fn new(me: MemberRecord, seeds: Vec<Arc<str>>) -> MemberTable {
        MemberTable { me, revision: Revision(0), members: BTreeMap::new(), seeds }
    }

    /// This host's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Hosts that take new work, this host included.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live().filter(|record| record.state == MemberState::Alive)
    }

    /// Hosts that answer, this host included.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.members.values().map(|member| &member.record);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Draining))
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
        match input {
            MemberInput::Tick => self.tick(now),
            MemberInput::Received(message) => self.receive(now, message),
            MemberInput::Revision(revision) => {
                self.revision = self.revision.max(revision);
                Vec::new()
            }
            MemberInput::Drain => {
                self.me.state = MemberState::Draining;
                self.me.incarnation += 1;
                let mut outputs = self.tick(now);
                outputs.push(MemberOutput::Changed);
                outputs
            }
        }
    }

    fn tick(&mut self, now: Time) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let mut changed = false;
        for member in self.members.values_mut() {
            let silent = now.since(member.heard);
            let state = match member.record.state {
                MemberState::Alive | MemberState::Draining if silent > SUSPECT_AFTER => {
                    MemberState::Suspected
                }
                MemberState::Suspected if silent > DEAD_AFTER => MemberState::Dead,
                state => state,
            };
            changed |= state != member.record.state;
            member.record.state = state;
        }
        let known = self.members.values().map(|member| member.record.peer_address.clone());
        let mut targets: Vec<_> = known.chain(self.seeds.iter().cloned()).collect();
        targets.sort();
        targets.dedup();
        for to in targets {
            if to != self.me.peer_address {
                outputs.push(MemberOutput::Send { to, message: self.message(true) });
            }
        }
        if changed {
            outputs.push(MemberOutput::Changed);
        }
        outputs
    }

    fn receive(&mut self, now: Time, message: MemberMessage) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let mut changed = false;
        for record in message.records {
            let direct = record.name == message.from;
            if record.name == self.me.name {
                continue;
            }
            let known = self.members.get_mut(&record.name);
            let Some(member) = known else {
                if direct {
                    self.members.insert(record.name.clone(), Member { record, heard: now });
                    changed = true;
                }
                continue;
            };
            if direct && record.incarnation >= member.record.incarnation {
                changed |= member.record != record;
                member.record = record;
                member.heard = now;
            }
        }
        if message.probe {
            let Some(member) = self.members.get(&message.from) else { return outputs };
            let to = member.record.peer_address.clone();
            outputs.push(MemberOutput::Send { to, message: self.message(false) });
        }
        if message.revision > self.revision {
            outputs
                .push(MemberOutput::PeerAhead { host: message.from, revision: message.revision });
        }
        if changed {
            outputs.push(MemberOutput::Changed);
        }
        outputs
    }

    fn message(&self, probe: bool) -> MemberMessage {
        let from = self.me.name.clone();
        MemberMessage { from, revision: self.revision, probe, records: vec![self.me.clone()] }
    }
}
