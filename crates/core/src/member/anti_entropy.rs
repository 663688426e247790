//! Anti-entropy: hosts compare digests of their whole views, which repairs what gossip missed and
//! fills the view of a new host.

use std::sync::Arc;

use super::{
    MemberKind, MemberMessage, MemberOutput, MemberRecord, MemberState, MemberTable,
    gossip::MAX_RECORDS_PER_DATAGRAM,
};

/// Probe rounds per comparison of views with a random host.
pub(super) const ROUNDS_PER_SYNC: u64 = 10;
/// Number of buckets of a view. At 2,000 hosts each has about eight, whose records fit into one
/// datagram.
const BUCKETS: usize = 256;
/// Most datagrams in reply to one digest.
const MAX_REPLY_DATAGRAMS: usize = 32;

/// A digest per bucket of the hosts that are neither unreachable nor dead: the XOR of the hashes of
/// their records, so that a record can be removed again.
pub(super) struct ViewDigest {
    buckets: Vec<u16>,
    /// Number of known hosts at the comparison before the last. While it differs from that at the
    /// last one, the view still changes and is compared in every probe round.
    hosts_at_previous_sync: usize,
    hosts_at_last_sync: usize,
}

impl Default for ViewDigest {
    fn default() -> ViewDigest {
        ViewDigest {
            buckets: vec![0; BUCKETS],
            hosts_at_previous_sync: usize::MAX,
            hosts_at_last_sync: 0,
        }
    }
}

impl ViewDigest {
    /// Adds a record, or removes one that was added.
    pub(super) fn toggle(&mut self, record: &MemberRecord) {
        if record.state >= MemberState::Unreachable {
            return;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(record.name.as_bytes());
        hasher.update(&record.incarnation.to_le_bytes());
        hasher.update(&[u8::from(record.state == MemberState::Draining)]);
        let bytes = hasher.finalize();
        let digest = u16::from_le_bytes([bytes.as_bytes()[0], bytes.as_bytes()[1]]);
        self.buckets[bucket(&record.name)] ^= digest;
    }

    /// Whether the number of known hosts differed between the last two comparisons.
    pub(super) fn is_changing(&self) -> bool {
        self.hosts_at_last_sync != self.hosts_at_previous_sync
    }
}

fn bucket(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % BUCKETS
}

/// A record as it is sent to other hosts: unreachable hosts count as suspected, since each host
/// detects a lost region for itself.
pub(super) fn outgoing_record(record: &MemberRecord) -> MemberRecord {
    let mut record = record.clone();
    if record.state == MemberState::Unreachable {
        record.state = MemberState::Suspected;
    }
    record
}

impl MemberTable {
    fn digests(&self) -> Vec<u16> {
        let mut digest = ViewDigest { buckets: self.digest.buckets.clone(), ..Default::default() };
        digest.toggle(&self.local);
        digest.buckets
    }

    pub(super) fn send_digest(&mut self, outputs: &mut Vec<MemberOutput>) {
        let Some(name) = self.random_member(false) else { return };
        let record = &self.members[&name].record;
        if record.state >= MemberState::Suspected {
            return;
        }
        let to = record.peer_address.clone();
        self.digest.hosts_at_previous_sync = self.digest.hosts_at_last_sync;
        self.digest.hosts_at_last_sync = self.members.len();
        let digests = self.digests();
        // With gossip, the datagram would exceed the size that networks carry unfragmented.
        let message = MemberMessage {
            from: self.local.clone(),
            revision: self.revision,
            kind: MemberKind::Digest(digests),
            records: Vec::new(),
            updates: Vec::new(),
        };
        outputs.push(MemberOutput::Send { to, message });
    }

    pub(super) fn handle_digest(
        &mut self,
        to: &Arc<str>,
        digests: &[u16],
        outputs: &mut Vec<MemberOutput>,
    ) {
        let local = self.digests();
        if digests.len() != local.len() || digests == local {
            return;
        }
        let differs = |name: &str| digests[bucket(name)] != local[bucket(name)];
        let mut records: Vec<_> =
            self.all().filter(|record| differs(&record.name)).map(outgoing_record).collect();
        // Whole buckets are sent in order, so that after a partial reply the digests of complete
        // buckets match and the next reply leaves them out.
        let start = self.rng.usize(..BUCKETS);
        records.sort_by_key(|record| (bucket(&record.name) + BUCKETS - start) % BUCKETS);
        for chunk in records.chunks(MAX_RECORDS_PER_DATAGRAM).take(MAX_REPLY_DATAGRAMS) {
            let message = MemberMessage {
                from: self.local.clone(),
                revision: self.revision,
                kind: MemberKind::View,
                records: chunk.to_vec(),
                updates: Vec::new(),
            };
            outputs.push(MemberOutput::Send { to: to.clone(), message });
        }
    }
}
