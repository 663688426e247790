//! Comparison of whole views, which repairs what rumours missed and fills the view of a new host.

use std::sync::Arc;

use super::{
    MemberKind, MemberMessage, MemberOutput, MemberRecord, MemberState, MemberTable,
    rumour::MAX_RECORDS,
};

/// Probes for one comparison of views with a random host.
pub(super) const SYNC_EVERY: u64 = 10;
/// Buckets of the view; about eight hosts each at 2,000 hosts, so one datagram answers for one.
const BUCKETS: usize = 256;
/// Datagrams in answer to one comparison.
const MAX_ANSWERS: usize = 32;

/// One digest per bucket over the hosts that are not gone.
pub(super) struct ViewDigest {
    buckets: Vec<u16>,
    /// Hosts at the last comparison; a view that still grows is compared again at once.
    known_before: usize,
    known: usize,
}

impl Default for ViewDigest {
    fn default() -> ViewDigest {
        ViewDigest { buckets: vec![0; BUCKETS], known_before: usize::MAX, known: 0 }
    }
}

impl ViewDigest {
    /// Adds a record, or takes it out again.
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

    pub(super) fn is_growing(&self) -> bool {
        self.known != self.known_before
    }
}

fn bucket(name: &str) -> usize {
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % BUCKETS
}

/// A record as other hosts are told of it.
pub(super) fn told(record: &MemberRecord) -> MemberRecord {
    let mut record = record.clone();
    if record.state == MemberState::Unreachable {
        record.state = MemberState::Suspected;
    }
    record
}

impl MemberTable {
    fn digests(&self) -> Vec<u16> {
        let mut digest = ViewDigest { buckets: self.digest.buckets.clone(), ..Default::default() };
        digest.toggle(&self.me);
        digest.buckets
    }

    pub(super) fn ask_digest(&mut self, outputs: &mut Vec<MemberOutput>) {
        let Some(name) = self.random_member(false) else { return };
        let record = &self.members[&name].record;
        if record.state >= MemberState::Suspected {
            return;
        }
        let to = record.peer_address.clone();
        self.digest.known_before = self.digest.known;
        self.digest.known = self.members.len();
        let digests = self.digests();
        // Rumours would take the datagram over the size that networks carry in one piece.
        let message = MemberMessage {
            from: self.me.clone(),
            revision: self.revision,
            kind: MemberKind::Digest(digests),
            records: Vec::new(),
            updates: Vec::new(),
        };
        outputs.push(MemberOutput::Send { to, message });
    }

    pub(super) fn answer_digest(
        &mut self,
        to: &Arc<str>,
        digests: &[u16],
        outputs: &mut Vec<MemberOutput>,
    ) {
        let mine = self.digests();
        if digests.len() != mine.len() || digests == mine {
            return;
        }
        let differs = |name: &str| digests[bucket(name)] != mine[bucket(name)];
        let mut records: Vec<_> =
            self.all().filter(|record| differs(&record.name)).map(told).collect();
        // A host that lacks much gets whole buckets, so that the next answer leaves them out.
        let start = self.rng.usize(..BUCKETS);
        records.sort_by_key(|record| (bucket(&record.name) + BUCKETS - start) % BUCKETS);
        for chunk in records.chunks(MAX_RECORDS).take(MAX_ANSWERS) {
            let message = MemberMessage {
                from: self.me.clone(),
                revision: self.revision,
                kind: MemberKind::View,
                records: chunk.to_vec(),
                updates: Vec::new(),
            };
            outputs.push(MemberOutput::Send { to: to.clone(), message });
        }
    }
}
