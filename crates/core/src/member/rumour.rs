//! News that this host still passes on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{MemberKind, MemberOutput, MemberRecord, MemberTable, MemberUpdate};
use crate::time::Time;

/// Records in one datagram; with them it stays under 1,400 bytes.
pub(super) const MAX_RECORDS: usize = 12;
/// Updates that take the bytes of one record.
const UPDATES_PER_RECORD: usize = 3;
/// Time between two datagrams sent only to pass on news.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Gossip datagrams for one that may go to another region.
const FAR_EVERY: u64 = 5;

struct Rumour {
    record: MemberRecord,
    /// Whether hosts may not know the record's addresses yet.
    is_new: bool,
    sends: u32,
}

/// The news of one datagram.
#[derive(Default)]
pub(super) struct News {
    pub(super) records: Vec<MemberRecord>,
    pub(super) updates: Vec<MemberUpdate>,
}

impl News {
    pub(super) fn push_update(&mut self, record: &MemberRecord) {
        self.updates.push(MemberUpdate {
            name: record.name.clone(),
            identity: identity(record),
            incarnation: record.incarnation,
            state: record.state,
        });
    }

    fn room(&self) -> usize {
        let used = self.records.len() * UPDATES_PER_RECORD + self.updates.len();
        (MAX_RECORDS * UPDATES_PER_RECORD).saturating_sub(used)
    }
}

/// Hash of what stays the same while a process runs.
pub(super) fn identity(record: &MemberRecord) -> u16 {
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

/// Records by host, each sent a bounded number of times, the least sent first.
#[derive(Default)]
pub(super) struct RumourQueue {
    rumours: BTreeMap<Arc<str>, Rumour>,
    next_gossip: Time,
    count: u64,
}

impl RumourQueue {
    /// Adds news. A record that was passed on whole and is not known well yet stays whole.
    pub(super) fn push(&mut self, record: MemberRecord, is_new: bool) {
        let before = self.rumours.get(&record.name);
        let is_new = is_new || before.is_some_and(|rumour| rumour.is_new);
        self.rumours.insert(record.name.clone(), Rumour { record, is_new, sends: 0 });
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.rumours.remove(name);
    }

    /// Adds rumours up to the limit of a datagram.
    pub(super) fn take(&mut self, hosts: usize, news: &mut News) {
        let room = news.room();
        let limit = max_sends(hosts);
        let mut order: Vec<_> =
            self.rumours.iter().map(|(name, rumour)| (rumour.sends, name.clone())).collect();
        if order.len() > room && room > 0 {
            order.select_nth_unstable(room - 1);
        }
        for (_, name) in order.into_iter().take(room) {
            let rumour = self.rumours.get_mut(&name).expect("listed above");
            if rumour.is_new && news.room() < UPDATES_PER_RECORD {
                continue;
            }
            if rumour.is_new {
                news.records.push(rumour.record.clone());
            } else if news.room() > 0 {
                news.push_update(&rumour.record);
            } else {
                break;
            }
            rumour.sends += 1;
            if rumour.sends >= limit {
                self.rumours.remove(&name);
            }
        }
    }
}

/// Sends of one rumour among `hosts` hosts: 3 log2(n).
fn max_sends(hosts: usize) -> u32 {
    (3.0 * (hosts.max(2) as f64).log2()).ceil() as u32
}

impl MemberTable {
    /// Sends news to a random host between probes, so that a burst of deaths spreads in seconds.
    pub(super) fn gossip(&mut self, now: Time, outputs: &mut Vec<MemberOutput>) {
        if self.rumours.rumours.is_empty() || now < self.rumours.next_gossip {
            return;
        }
        self.rumours.next_gossip = now + GOSSIP_PERIOD;
        self.rumours.count += 1;
        let is_near = !self.rumours.count.is_multiple_of(FAR_EVERY);
        let Some(name) = self.random_member(is_near) else { return };
        let to = self.members[&name].record.peer_address.clone();
        self.send(&to, Some(&name), MemberKind::Gossip, outputs);
    }
}
