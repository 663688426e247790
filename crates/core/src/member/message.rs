//! Datagrams, inputs and outputs of membership.

use std::sync::Arc;

use parsley_macros::{key, message, value};

use crate::config::Revision;

/// What is known of a host's state. At one incarnation a later variant replaces an earlier one.
#[key]
pub enum MemberState {
    /// It answers and accepts work.
    Alive,
    /// It answers, finishes its work and takes no new work.
    Draining,
    /// It did not answer; it may still refute.
    Suspected,
    /// Most of its region stopped answering at once, so the link is more likely to be gone than the
    /// host. Never sent to other hosts, which conclude this for themselves.
    Unreachable,
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

/// News of a host that the receiver knows, in a third of the bytes of a record.
#[message]
pub struct MemberUpdate {
    /// Name of the host.
    pub name: Arc<str>,
    /// Hash of everything in its record but incarnation and state. A receiver that holds another
    /// record of the name waits for the whole new one.
    pub identity: u16,
    /// Incarnation.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
}

/// What a datagram between hosts asks or tells, besides its records.
#[message]
pub enum MemberKind {
    /// The receiver must answer with `Ack`.
    Ping {
        /// Number of the probe, chosen by the sender.
        probe: u32,
    },
    /// A host answered a probe.
    Ack {
        /// Number of the probe.
        probe: u32,
        /// Name of the host that answered; the sender, or the target of a `PingRequest`.
        subject: Arc<str>,
    },
    /// The receiver must probe a host on behalf of the sender.
    PingRequest {
        /// Number of the sender's probe.
        probe: u32,
        /// Name of the host to probe.
        target: Arc<str>,
        /// Its peer address.
        address: Arc<str>,
    },
    /// Records only.
    Gossip,
    /// A part of the sender's view. Hosts in it that the receiver did not know are no news.
    View,
    /// Digests of the sender's view; the receiver answers with the records of buckets that differ.
    Digest(Vec<u16>),
}

/// A datagram between hosts.
#[message]
pub struct MemberMessage {
    /// The sender's own record.
    pub from: MemberRecord,
    /// Complete configuration revision of the sender.
    pub revision: Revision,
    /// What the datagram is for.
    pub kind: MemberKind,
    /// News about members, and parts of a view.
    pub records: Vec<MemberRecord>,
    /// News about members that most hosts know.
    pub updates: Vec<MemberUpdate>,
}

/// Input of [`super::MemberTable::step`].
#[value]
pub enum MemberInput {
    /// Time passed; sent every [`super::MEMBER_TICK`].
    Tick,
    /// A datagram arrived.
    Received(MemberMessage),
    /// The configuration of this host reached a revision.
    ConfigRevision(Revision),
    /// Peer addresses from the host list and the settings.
    Seeds(Vec<Arc<str>>),
    /// This host starts to drain.
    Drain,
}

/// Output of [`super::MemberTable::step`].
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
    PeerConfigAhead {
        /// Name of the peer.
        host: Arc<str>,
        /// Its revision.
        revision: Revision,
    },
    /// The set of hosts or the state of one changed.
    Changed,
    /// Other hosts took this host for dead. Its incarnation was raised; work that they may have
    /// taken over must be checked.
    DeclaredDead,
}
