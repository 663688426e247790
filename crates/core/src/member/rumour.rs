//! News that this host still passes on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{MemberKind, MemberOutput, MemberRecord, MemberTable};
use crate::time::Time;

/// Records in one datagram; with them it stays under 1,400 bytes.
pub(super) const MAX_RECORDS: usize = 12;
/// Time between two datagrams sent only to pass on news.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Gossip datagrams for one that may go to another region.
const FAR_EVERY: u64 = 5;

struct Rumour {
    record: MemberRecord,
    sends: u32,
}

/// Records by host, each sent a bounded number of times, the least sent first.
#[derive(Default)]
pub(super) struct RumourQueue {
    rumours: BTreeMap<Arc<str>, Rumour>,
    next_gossip: Time,
    count: u64,
}

impl RumourQueue {
    pub(super) fn push(&mut self, record: MemberRecord) {
        self.rumours.insert(record.name.clone(), Rumour { record, sends: 0 });
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.rumours.remove(name);
    }

    /// Adds rumours up to the limit of a datagram.
    pub(super) fn take(&mut self, hosts: usize, records: &mut Vec<MemberRecord>) {
        let room = MAX_RECORDS.saturating_sub(records.len());
        let limit = max_sends(hosts);
        let mut order: Vec<_> =
            self.rumours.iter().map(|(name, rumour)| (rumour.sends, name.clone())).collect();
        if order.len() > room && room > 0 {
            order.select_nth_unstable(room - 1);
        }
        for (_, name) in order.into_iter().take(room) {
            let rumour = self.rumours.get_mut(&name).expect("listed above");
            records.push(rumour.record.clone());
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
