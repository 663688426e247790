//! Datagrams, inputs and outputs of the membership protocol.

use std::sync::Arc;

use parsley_macros::{key, message, value};

use crate::config::Revision;

/// State of a host as seen by another one. At the same incarnation a later variant overrides an
/// earlier one.
#[key]
pub enum MemberState {
    /// The host answers and accepts work.
    Alive,
    /// The host answers and finishes its work but accepts no new work.
    Draining,
    /// The host did not answer a probe. It is declared dead unless it refutes in time.
    Suspected,
    /// Most of the host's region stopped answering at once, so a broken link is more likely than a
    /// dead host. Never sent to other hosts, each of which detects this for itself.
    Unreachable,
    /// The host did not refute a suspicion in time.
    Dead,
}

/// What hosts exchange about one host.
#[message]
pub struct MemberRecord {
    /// Name of the host, unique in the fleet.
    pub name: Arc<str>,
    /// Region, as configured on the host.
    pub region: Arc<str>,
    /// Failure domain, as configured on the host.
    pub failure_domain: Arc<str>,
    /// Address at which the host serves callers, as `ip:port`.
    pub address: Arc<str>,
    /// Address at which the host receives datagrams and connections of other hosts, as `ip:port`.
    pub peer_address: Arc<str>,
    /// Capacity relative to other hosts; the host's weight in placement.
    pub capacity: u32,
    /// Version of the record. Only the host itself raises it: when it starts, begins to drain or
    /// refutes a suspicion.
    pub incarnation: u64,
    /// State of the host at this incarnation.
    pub state: MemberState,
}

/// A change of state of a host whose record the receiver has, in a third of the bytes of a record.
#[message]
pub struct MemberUpdate {
    /// Name of the host.
    pub name: Arc<str>,
    /// Hash of all fields of its record but name, incarnation and state. A receiver whose record
    /// has another hash ignores the update and waits for the whole record.
    pub identity: u16,
    /// Incarnation to which the state belongs.
    pub incarnation: u64,
    /// New state of the host.
    pub state: MemberState,
}

/// Purpose of a datagram between hosts, apart from the records and updates that it carries.
#[message]
pub enum MemberKind {
    /// The receiver must answer with `Ack`.
    Ping {
        /// Number of the probe, chosen at random by the sender.
        probe: u32,
    },
    /// Acknowledges a `Ping`.
    Ack {
        /// Number in the ping.
        probe: u32,
        /// Name of the host that answered: the sender, or the target of a `PingRequest`.
        subject: Arc<str>,
    },
    /// The receiver must probe a host on behalf of the sender.
    PingRequest {
        /// Number of the sender's probe, repeated in the ack to it.
        probe: u32,
        /// Name of the host to probe.
        target: Arc<str>,
        /// Its peer address.
        address: Arc<str>,
    },
    /// Carries only records and updates.
    Gossip,
    /// A part of the sender's view, in reply to a `Digest`. The receiver doesn't gossip hosts that
    /// it learns of in this way.
    View,
    /// One digest per bucket of the sender's view. The receiver replies with its records in the
    /// buckets that differ.
    Digest(Vec<u16>),
}

/// A datagram between hosts.
#[message]
pub struct MemberMessage {
    /// The sender's own record.
    pub from: MemberRecord,
    /// Revision up to which the sender has the complete configuration.
    pub revision: Revision,
    /// Purpose of the datagram.
    pub kind: MemberKind,
    /// Changed records, or for `View` a part of the sender's view.
    pub records: Vec<MemberRecord>,
    /// Changes to members whose records most hosts have.
    pub updates: Vec<MemberUpdate>,
}

/// Input of [`super::MemberTable::step`].
#[value]
pub enum MemberInput {
    /// Time has passed; expected every [`super::MEMBER_TICK`].
    Tick,
    /// A datagram arrived from another host.
    Received(MemberMessage),
    /// The configuration of this host is complete up to a revision; lower ones are ignored.
    ConfigRevision(Revision),
    /// Peer addresses to join through, from the host list and the settings; replaces earlier ones.
    Seeds(Vec<Arc<str>>),
    /// This host starts to drain.
    Drain,
}

/// Output of [`super::MemberTable::step`].
#[value]
pub enum MemberOutput {
    /// Send a datagram. Loss is tolerated.
    Send {
        /// Peer address of the receiver.
        to: Arc<str>,
        /// Datagram to send.
        message: MemberMessage,
    },
    /// Another host has a complete configuration of a higher revision.
    PeerConfigAhead {
        /// Name of the other host.
        host: Arc<str>,
        /// Its complete configuration revision.
        revision: Revision,
    },
    /// The table changed: a host was added, removed or got a new record.
    Changed,
    /// Other hosts declared this host dead. Its incarnation was raised; they may have taken over
    /// its work, which must be checked.
    DeclaredDead,
}
