//! Dissemination of membership changes: the queue of changes that this host still gossips.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{MemberKind, MemberOutput, MemberRecord, MemberTable, MemberUpdate};
use crate::time::Time;

/// Most records in one datagram, so that it stays under 1,400 bytes.
pub(super) const MAX_RECORDS_PER_DATAGRAM: usize = 12;
/// Number of updates that take as many bytes as one record.
const UPDATES_PER_RECORD: usize = 3;
/// Interval between datagrams that carry nothing but gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// One in this many gossip datagrams may go to another region.
const DATAGRAMS_PER_REMOTE_GOSSIP: u64 = 5;

struct GossipEntry {
    record: MemberRecord,
    /// Whether hosts may not have the record's addresses yet, so that an update is not enough.
    needs_record: bool,
    sends: u32,
}

/// The membership changes in one datagram.
#[derive(Default)]
pub(super) struct GossipPayload {
    pub(super) records: Vec<MemberRecord>,
    pub(super) updates: Vec<MemberUpdate>,
}

impl GossipPayload {
    pub(super) fn push_update(&mut self, record: &MemberRecord) {
        self.updates.push(MemberUpdate {
            name: record.name.clone(),
            identity: identity_hash(record),
            incarnation: record.incarnation,
            state: record.state,
        });
    }

    /// Number of further updates that fit; a record takes [`UPDATES_PER_RECORD`] of them.
    fn remaining_updates(&self) -> usize {
        let used = self.records.len() * UPDATES_PER_RECORD + self.updates.len();
        (MAX_RECORDS_PER_DATAGRAM * UPDATES_PER_RECORD).saturating_sub(used)
    }
}

/// Hash of the fields of a record that stay the same while a process runs.
pub(super) fn identity_hash(record: &MemberRecord) -> u16 {
    let mut hasher = blake3::Hasher::new();
    let MemberRecord { region, failure_domain, address, peer_address, .. } = record;
    for part in [region, failure_domain, address, peer_address] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&record.capacity.to_le_bytes());
    let hash = hasher.finalize();
    u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]])
}

/// Changes by host. Each is sent a bounded number of times; those sent least go first.
#[derive(Default)]
pub(super) struct GossipQueue {
    entries: BTreeMap<Arc<str>, GossipEntry>,
    next_gossip: Time,
    /// Number of gossip datagrams sent.
    datagrams_sent: u64,
}

impl GossipQueue {
    /// Queues a change and replaces an older one of the same host. If that one still had to be sent
    /// as a whole record, so does the new one.
    pub(super) fn push(&mut self, record: MemberRecord, needs_record: bool) {
        let before = self.entries.get(&record.name);
        let needs_record = needs_record || before.is_some_and(|entry| entry.needs_record);
        self.entries.insert(record.name.clone(), GossipEntry { record, needs_record, sends: 0 });
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Moves queued changes into a payload, up to the limit of a datagram.
    pub(super) fn take(&mut self, hosts: usize, payload: &mut GossipPayload) {
        let capacity = payload.remaining_updates();
        let limit = max_sends(hosts);
        let mut order: Vec<_> =
            self.entries.iter().map(|(name, entry)| (entry.sends, name.clone())).collect();
        if order.len() > capacity && capacity > 0 {
            order.select_nth_unstable(capacity - 1);
        }
        for (_, name) in order.into_iter().take(capacity) {
            let entry = self.entries.get_mut(&name).expect("names were collected from the queue");
            if entry.needs_record && payload.remaining_updates() < UPDATES_PER_RECORD {
                continue;
            }
            if entry.needs_record {
                payload.records.push(entry.record.clone());
            } else if payload.remaining_updates() > 0 {
                payload.push_update(&entry.record);
            } else {
                break;
            }
            entry.sends += 1;
            if entry.sends >= limit {
                self.entries.remove(&name);
            }
        }
    }
}

/// How often a change is sent among `hosts` hosts: 3 log2(n).
fn max_sends(hosts: usize) -> u32 {
    (3.0 * (hosts.max(2) as f64).log2()).ceil() as u32
}

impl MemberTable {
    /// Sends queued changes to a random host between probes, so that a burst of deaths spreads
    /// within seconds.
    pub(super) fn gossip(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        if self.gossip_queue.entries.is_empty() || now < self.gossip_queue.next_gossip {
            return;
        }
        self.gossip_queue.next_gossip = now + GOSSIP_PERIOD;
        self.gossip_queue.datagrams_sent += 1;
        let in_local_region =
            !self.gossip_queue.datagrams_sent.is_multiple_of(DATAGRAMS_PER_REMOTE_GOSSIP);
        let Some(name) = self.random_member(in_local_region) else { return };
        let to = self.members[&name].record.peer_address.clone();
        self.send(&to, Some(&name), MemberKind::Gossip, outputs);
    }
}
