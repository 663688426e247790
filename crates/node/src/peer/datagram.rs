//! Datagrams between hosts: sealed with a keyed hash, numbered, and dropped if they are damaged,
//! foreign or repeated.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsley_core::{
    config::Revision,
    member::{MemberMessage, ReplayFilter},
    placement::LoadPush,
    usage::UsageMessage,
};
use parsley_macros::{key, message};

/// Largest datagram, in bytes; networks carry it in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const TAG_BYTES: usize = 16;

/// A datagram between hosts.
#[message]
pub enum PeerDatagram {
    /// Membership.
    Member(MemberMessage),
    /// Loads of the engines that the sender owns.
    Load(LoadPush),
    /// The receiver is to push its load to the sender for a while.
    LoadSubscribe,
    /// The sender's complete configuration revision.
    ConfigPush(Revision),
    /// Backend servers that the host list names as leaving and that the receiver owns.
    Leaving(Vec<Arc<str>>),
    /// Keep new work off an engine that the receiver owns, as a group waits for it.
    Drain(Arc<str>),
    /// Use of accounts.
    Usage(UsageMessage),
}

/// A datagram with what identifies it.
#[message]
pub struct Envelope {
    /// Name of the sender.
    pub from: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Grows with each datagram of the sender.
    pub sequence: u64,
    /// Content.
    pub datagram: PeerDatagram,
}

/// Why a datagram was dropped.
#[key]
pub enum DropReason {
    /// Too short to hold a tag.
    Truncated,
    /// Made without the peer key, for another host, or damaged.
    InvalidTag,
    /// The content does not decode.
    Malformed,
    /// Received before, or from an earlier incarnation of the sender.
    Replayed,
}

/// Seals and opens datagrams.
pub struct DatagramSealer {
    key: [u8; 32],
    sequence: u64,
    filter: ReplayFilter,
    dropped: BTreeMap<DropReason, u64>,
}

impl DatagramSealer {
    /// A sealer for hosts that share a secret.
    pub fn new(secret: &str) -> DatagramSealer {
        DatagramSealer {
            key: blake3::derive_key("parsleystage peer datagram 2", secret.as_bytes()),
            sequence: 0,
            filter: ReplayFilter::default(),
            dropped: BTreeMap::new(),
        }
    }

    /// Datagrams dropped so far.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.dropped
    }

    /// Forgets senders that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.filter.retain(is_member);
    }

    /// The bytes of a datagram to a host.
    pub fn seal(
        &mut self,
        to: SocketAddr,
        from: &Arc<str>,
        incarnation: u64,
        datagram: PeerDatagram,
    ) -> Vec<u8> {
        self.sequence += 1;
        let from = from.clone();
        let envelope = Envelope { from, incarnation, sequence: self.sequence, datagram };
        let mut bytes = postcard::to_stdvec(&envelope).expect("datagrams are plain data");
        let tag = self.tag(to, &bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// The content of a datagram that this host received at its address, or the reason why it is
    /// dropped, which is counted.
    pub fn open(&mut self, me: SocketAddr, bytes: &[u8]) -> Result<Envelope, DropReason> {
        let result = self.check(me, bytes);
        if let Err(reason) = &result {
            *self.dropped.entry(*reason).or_default() += 1;
        }
        result
    }

    fn check(&mut self, me: SocketAddr, bytes: &[u8]) -> Result<Envelope, DropReason> {
        let length = bytes.len().checked_sub(TAG_BYTES).ok_or(DropReason::Truncated)?;
        let (body, tag) = bytes.split_at(length);
        let mut padded = [0; 32];
        padded[..TAG_BYTES].copy_from_slice(tag);
        let mut expected = [0; 32];
        expected[..TAG_BYTES].copy_from_slice(&self.tag(me, body));
        // Comparison of these hashes takes the same time wherever they differ.
        if blake3::Hash::from_bytes(padded) != blake3::Hash::from_bytes(expected) {
            return Err(DropReason::InvalidTag);
        }
        let envelope: Envelope = postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
        let Envelope { from, incarnation, sequence, .. } = &envelope;
        if !self.filter.accept(from, *incarnation, *sequence) {
            return Err(DropReason::Replayed);
        }
        Ok(envelope)
    }

    /// The tag covers the receiver, so that a datagram cannot be replayed to another host.
    fn tag(&self, to: SocketAddr, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(to.to_string().as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }
}
