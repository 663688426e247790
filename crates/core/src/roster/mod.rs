//! Decides which hosts exchange work and beats, and which of them callers are told to use.
//!
//! Owns what is known of each peer: its addresses, when it was last heard and whether it is leaving.
//! Hosts have a rank, the same for all: larger ones first, then by tag. The first
//! [`MEMBER_LIMIT`] that live are members: they beat one another. Callers are told the first of
//! these, as many as the work needs. All other hosts stand by: they ask one member at a time what
//! is new, so what a host spends on control does not grow with the number of hosts. When members
//! fall silent, the next by rank take their places. A peer that was not heard for [`PEER_RETENTION`]
//! is forgotten unless the store still names it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

mod duty;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;

pub use duty::{HeartbeatTarget, PeerRole, registration_delay};

/// Time between two beats to a peer while there are few peers.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Most hosts that beat one another: twice those that callers are told in a fleet of some hundred
/// engines, so that half of them may go at once.
pub const MEMBER_LIMIT: usize = 32;
/// Time between two questions of a host that stands by. Three may stay unanswered before it takes
/// the members for silent.
pub const STANDBY_POLL_PERIOD: Duration = Duration::from_millis(700);
/// Time after its start in which a process tells callers no addresses: it knows few peers yet, and
/// callers go on with what they were told.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Silence, in beats, after which a peer is not told to callers: three may get lost.
const SILENT_BEATS: f64 = 3.5;
/// Silence after which a peer is forgotten.
pub const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Term of a host's entry in the store; a host that ended is forgotten after it.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals of the entry, and two looks at the others'.
pub const REGISTRATION_PERIOD: Duration = Duration::from_secs(9);
/// Time over which hosts that start together spread, so that later ones see that enough are listed.
pub const REGISTRATION_SPREAD: Duration = Duration::from_millis(2_500);
/// Time between two looks at the list of a host that needs no entry.
pub const LISTING_PERIOD: Duration = Duration::from_secs(60);
/// Hosts that the store lists: the members and as many that may follow them.
const LISTED_LIMIT: usize = 2 * MEMBER_LIMIT;
/// Pause before a failed registration is tried again.
pub const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which callers may keep an answer; a host that stops is told to none after it.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);
/// Earlier processes of a host that are remembered.
const REPLACED_LIMIT: usize = 8;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Peers that one [`HEARTBEAT_PERIOD`] serves; with more, each hears less often.
const PEERS_A_PERIOD: usize = 24;

/// A host process: the hash of its name and address, so that a replacement is another host.
#[key]
pub struct HostTag(pub u64);

/// What a host says of itself.
#[message]
pub struct HostInfo {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for beats.
    pub heartbeat_address: SocketAddr,
    /// Whether callers may be sent here.
    pub is_ready: bool,
    /// Whether the store answers this host.
    pub has_store: bool,
    /// Processor share in thousandths of a core.
    pub capacity: u32,
    /// Random number of the process; it tells a process from an earlier one of the same host.
    pub incarnation: u64,
}

impl HostInfo {
    /// The tag of the host.
    pub fn tag(&self) -> HostTag {
        HostTag(crate::fleet::hash_name(&format!("{} {}", self.name, self.heartbeat_address)))
    }

    /// A number that changes with what callers and peers are told of the host.
    fn digest(&self, tag: HostTag) -> u64 {
        let flags = u64::from(self.is_ready) << 1 | u64::from(self.has_store);
        (tag.0 ^ self.incarnation.rotate_left(17)).wrapping_add(flags)
    }
}

/// What a beat shows about its sender.
#[key]
pub enum PeerChange {
    /// Nothing new.
    Unchanged,
    /// The peer is new, was silent or has started again.
    Joined,
}

#[value]
struct PeerRecord {
    card: HostInfo,
    heard: Option<Time>,
    /// Since when it is beaten without having answered yet.
    called: Option<Time>,
    is_silent: bool,
    /// Earlier processes, whose late datagrams are ignored.
    replaced: Vec<u64>,
}

impl PeerRecord {
    fn new(card: HostInfo) -> PeerRecord {
        PeerRecord { card, heard: None, called: None, is_silent: false, replaced: Vec::new() }
    }
}

/// The known peers.
#[derive(Debug, Default)]
pub struct PeerRoster {
    started: Time,
    peers: BTreeMap<HostTag, PeerRecord>,
    peak_alive: usize,
    /// Whether the store lists this host.
    is_listed: bool,
    /// When a member last took this host for a member.
    called: Option<Time>,
    /// The members of which a member told last, with their digest.
    told: (u64, Vec<HostTag>),
    /// Questions since the last useful answer of a member.
    unanswered: u32,
}

impl PeerRoster {
    /// A roster of a process that starts now and knows no peer.
    pub fn new(now: Time) -> PeerRoster {
        PeerRoster { started: now, ..PeerRoster::default() }
    }

    /// The store, or another peer, names a host that was not heard yet.
    pub fn add_candidate(&mut self, card: HostInfo) {
        self.peers.entry(card.tag()).or_insert_with(|| PeerRecord::new(card));
    }

    /// A beat arrived. Returns what is new about the peer; `None` if the beat comes from a process
    /// that was replaced.
    pub fn record_heartbeat(&mut self, now: Time, card: HostInfo) -> Option<PeerChange> {
        let tag = card.tag();
        let was_alive = self.is_alive(now, tag);
        let record = self.peers.entry(tag).or_insert_with(|| PeerRecord::new(card.clone()));
        if record.replaced.contains(&card.incarnation) {
            return None;
        }
        let is_restarted = record.card.incarnation != card.incarnation;
        if is_restarted {
            record.replaced.push(record.card.incarnation);
            if record.replaced.len() > REPLACED_LIMIT {
                record.replaced.remove(0);
            }
        }
        record.card = card;
        record.heard = Some(now);
        record.called = None;
        record.is_silent = false;
        self.peak_alive = self.peak_alive.max(self.alive(now).count() + 1);
        Some(if was_alive && !is_restarted { PeerChange::Unchanged } else { PeerChange::Joined })
    }

    /// The process of a peer.
    pub fn incarnation(&self, tag: HostTag) -> Option<u64> {
        self.peers.get(&tag).map(|record| record.card.incarnation)
    }

    /// Forgets peers that were silent for long and peers that another process replaced.
    pub fn purge_silent(&mut self, now: Time) {
        self.peers.retain(|_, record| {
            record.heard.is_some_and(|at| now.since(at) < PEER_RETENTION) || record.heard.is_none()
        });
    }

    /// Drops hosts that were never heard and that the store no longer names.
    pub fn retain_listed(&mut self, named: &[HostTag]) {
        self.peers.retain(|tag, record| record.heard.is_some() || named.contains(tag));
    }

    /// Whether the peer was heard recently.
    pub fn is_alive(&self, now: Time, tag: HostTag) -> bool {
        self.peers.get(&tag).is_some_and(|record| self.is_recent(now, record))
    }

    fn is_recent(&self, now: Time, record: &PeerRecord) -> bool {
        record.heard.is_some_and(|at| now.since(at) <= self.silence_limit())
    }

    /// Silence after which a peer counts as gone.
    pub fn silence_limit(&self) -> Duration {
        self.heartbeat_period(false).mul_f64(SILENT_BEATS)
    }

    /// Peers that were heard recently.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (HostTag, &HostInfo)> {
        let alive = self.peers.iter().filter(move |(_, record)| self.is_recent(now, record));
        alive.map(|(tag, record)| (*tag, &record.card))
    }

    /// Peers that fell silent since the last call.
    pub fn take_newly_silent(&mut self, now: Time) -> Vec<Arc<str>> {
        let limit = self.silence_limit();
        let fallen = self.peers.values_mut().filter(|record| {
            !record.is_silent && record.heard.is_some_and(|at| now.since(at) > limit)
        });
        let fallen = fallen.map(|record| {
            record.is_silent = true;
            record.card.name.clone()
        });
        fallen.collect()
    }

    /// Largest number of hosts alive at once, this one included.
    pub fn peak_alive(&self) -> usize {
        self.peak_alive.max(1)
    }

    /// Time between two beats at the present number of peers. Leads beat as often as with few
    /// peers, as their beats prove that the configuration is the newest.
    pub fn heartbeat_period(&self, is_lead: bool) -> Duration {
        if is_lead {
            return HEARTBEAT_PERIOD;
        }
        let peers = self.peers.len().min(MEMBER_LIMIT);
        HEARTBEAT_PERIOD * (1 + peers as u32 / PEERS_A_PERIOD as u32)
    }
}
