//! Datagrams between hosts. Each carries a keyed hash as authentication tag and a sequence number;
//! the receiver drops datagrams that are damaged, not made with the peer key, or replayed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsley_core::{
    config::Revision,
    member::{MemberMessage, ReplayFilter},
    placement::LoadPush,
    usage::UsageMessage,
};
use parsley_macros::{key, message};

/// Largest datagram, in bytes, that networks carry without IP fragmentation. A larger one is logged
/// and sent anyway.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Length of the authentication tag, a truncated BLAKE3 hash.
const TAG_BYTES: usize = 16;

/// The content of a datagram between hosts.
#[message]
pub enum PeerDatagram {
    /// Membership protocol message.
    Member(MemberMessage),
    /// Load of the engines that the sender owns.
    Load(LoadPush),
    /// Subscribes the sender to the receiver's load for one subscription term.
    LoadSubscribe,
    /// The revision up to which the sender's configuration is complete.
    ConfigPush(Revision),
    /// Backend servers owned by the receiver that the host list names as leaving.
    Leaving(Vec<Arc<str>>),
    /// Asks the receiver to send no new work to an engine that it owns, because a group is waiting
    /// to reserve memory there.
    Drain(Arc<str>),
    /// Usage of client accounts.
    Usage(UsageMessage),
}

/// A datagram with the fields that identify its sender and detect replays.
#[message]
pub struct Envelope {
    /// Name of the sender.
    pub from: Arc<str>,
    /// Incarnation of the sender, which a restart increases.
    pub incarnation: u64,
    /// Sequence number, which increases with each datagram of this incarnation.
    pub sequence: u64,
    /// The message itself.
    pub datagram: PeerDatagram,
}

/// Why a datagram was dropped.
#[key]
pub enum DropReason {
    /// Too short to hold a tag.
    Truncated,
    /// The tag does not match: the datagram is damaged, was made without the peer key, or is meant
    /// for another host.
    InvalidTag,
    /// The content does not decode.
    Malformed,
    /// Received before, or from an earlier incarnation of the sender.
    Replayed,
}

/// Authenticates outgoing datagrams, and verifies incoming ones and filters replays.
pub struct DatagramSealer {
    key: [u8; 32],
    sequence: u64,
    filter: ReplayFilter,
    dropped: BTreeMap<DropReason, u64>,
}

impl DatagramSealer {
    /// Creates a sealer with a key derived from the hosts' shared secret.
    pub fn new(secret: &str) -> DatagramSealer {
        DatagramSealer {
            key: blake3::derive_key("parsleystage peer datagram 2", secret.as_bytes()),
            sequence: 0,
            filter: ReplayFilter::default(),
            dropped: BTreeMap::new(),
        }
    }

    /// Number of datagrams dropped so far, by reason.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.dropped
    }

    /// Removes the replay state of senders that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.filter.retain(is_member);
    }

    /// Encodes a datagram with its tag. `to` is the address at which the receiver verifies it.
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

    /// Verifies and decodes a received datagram. `local_address` is the address that other hosts
    /// use for this host. Returns, and counts, the reason if the datagram must be dropped.
    pub fn open(
        &mut self,
        local_address: SocketAddr,
        bytes: &[u8],
    ) -> Result<Envelope, DropReason> {
        let result = self.check(local_address, bytes);
        if let Err(reason) = &result {
            *self.dropped.entry(*reason).or_default() += 1;
        }
        result
    }

    fn check(&mut self, local_address: SocketAddr, bytes: &[u8]) -> Result<Envelope, DropReason> {
        let length = bytes.len().checked_sub(TAG_BYTES).ok_or(DropReason::Truncated)?;
        let (body, tag) = bytes.split_at(length);
        let mut padded = [0; 32];
        padded[..TAG_BYTES].copy_from_slice(tag);
        let mut expected = [0; 32];
        expected[..TAG_BYTES].copy_from_slice(&self.tag(local_address, body));
        // `blake3::Hash` compares in constant time, so timing does not reveal the expected tag.
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

    /// Computes the tag over the receiver's address and the body. Including the address prevents a
    /// replay to another host.
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
