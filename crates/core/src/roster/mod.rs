//! Membership: which hosts exchange heartbeats, and which addresses callers are given.
//!
//! [`PeerRoster`] keeps one record per peer with its addresses and the time of its last heartbeat.
//! All hosts rank the known hosts alike: by capacity, largest first, then by tag. The first
//! [`MEMBER_LIMIT`] live hosts are members and send heartbeats to one another. Callers are given
//! the highest-ranking ready hosts, as many as the request slots of the engines require. Hosts that
//! are not members are on standby: they poll one member at a time for changes, so the control
//! traffic of a host does not grow with the number of hosts. When members stop sending heartbeats,
//! the next hosts by rank replace them. A peer that was silent for [`PEER_RETENTION`] is removed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

mod duty;
#[cfg(test)]
mod fleet_tests;
mod issuer;
#[cfg(test)]
pub(crate) mod tests;

pub use duty::{HeartbeatTarget, MemberStatement, PeerRole, registration_delay};

/// Time between two heartbeats to a peer while there are few peers.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Most members. This is twice the number of hosts that callers are given in a fleet of some
/// hundred engines, so half of the members may fail at once.
pub const MEMBER_LIMIT: usize = 32;
/// Time between two polls of a standby host. Three polls may go unanswered before the host regards
/// the members as silent.
pub const STANDBY_POLL_PERIOD: Duration = Duration::from_millis(700);
/// Time after its start in which a process gives callers no addresses. It knows only few peers yet,
/// and callers go on with the addresses that they have.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Heartbeat periods without a heartbeat after which a peer counts as silent; three heartbeats may
/// get lost.
const SILENT_PERIODS: f64 = 3.5;
/// Silence after which the record of a peer is dropped.
pub const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Time to live of a host's entry in the store, after which the entry of a stopped host is gone.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals of a registration; the entries of other hosts are read as often.
pub const REGISTRATION_PERIOD: Duration = Duration::from_secs(9);
/// Time over which the registrations of hosts that start together are spread, so that later hosts
/// see that enough are listed.
pub const REGISTRATION_SPREAD: Duration = Duration::from_millis(2_500);
/// Time between two reads of the host list by a host that is not registered.
pub const LISTING_PERIOD: Duration = Duration::from_secs(60);
/// Number of hosts to register in the store: the members and as many possible successors.
const LISTED_LIMIT: usize = 2 * MEMBER_LIMIT;
/// Pause before a failed registration is tried again.
pub const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which callers may cache the addresses of one answer. After this time no caller uses a
/// host that has stopped.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);
/// Most earlier incarnations that are kept of one host.
const REPLACED_LIMIT: usize = 8;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Number of peers up to which heartbeats are sent every [`HEARTBEAT_PERIOD`]; with more peers the
/// period is longer.
const PEERS_PER_PERIOD: usize = 24;

/// Identifies a host by the hash of its name and heartbeat address, so that a replacement at
/// another address is a different host.
#[key]
pub struct HostTag(pub u64);

/// A host's description of itself, which it sends in heartbeats and registers in the store.
#[message]
pub struct HostInfo {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain in which the host runs.
    pub failure_domain: Arc<str>,
    /// Address on which the host accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address on which the host receives datagrams of its peers.
    pub heartbeat_address: SocketAddr,
    /// Whether callers may be sent to the host.
    pub is_ready: bool,
    /// Whether the host can reach the store.
    pub has_store: bool,
    /// Processor share in thousandths of a core.
    pub capacity: u32,
    /// Random number that distinguishes the process from earlier ones of the same host.
    pub incarnation: u64,
}

impl HostInfo {
    /// Returns the tag of the host.
    pub fn tag(&self) -> HostTag {
        HostTag(crate::fleet::hash_name(&format!("{} {}", self.name, self.heartbeat_address)))
    }

    /// Returns a number that differs if the process, its readiness or its access to the store does.
    fn digest(&self, tag: HostTag) -> u64 {
        let flags = u64::from(self.is_ready) << 1 | u64::from(self.has_store);
        (tag.0 ^ self.incarnation.rotate_left(17)).wrapping_add(flags)
    }
}

/// Change of a peer that a heartbeat shows.
#[key]
pub enum PeerChange {
    /// The peer was alive already and runs the same process.
    Unchanged,
    /// The peer is new, was silent or has restarted.
    Joined,
}

#[value]
struct PeerRecord {
    info: HostInfo,
    last_heartbeat: Option<Time>,
    /// When the first heartbeat was sent to the peer, while it has not answered any.
    probed_since: Option<Time>,
    is_silent: bool,
    /// Whether the last sign of life came from the peer itself and not from another host's list.
    is_heard: bool,
    /// Earlier incarnations, whose delayed datagrams are ignored.
    replaced: Vec<u64>,
}

impl PeerRecord {
    fn new(info: HostInfo) -> PeerRecord {
        PeerRecord {
            info,
            last_heartbeat: None,
            probed_since: None,
            is_silent: false,
            is_heard: false,
            replaced: Vec::new(),
        }
    }
}

/// The known peers and this host's place among them.
#[derive(Debug, Default)]
pub struct PeerRoster {
    started: Time,
    peers: BTreeMap<HostTag, PeerRecord>,
    peak_alive: usize,
    /// Whether this host is registered in the store.
    is_listed: bool,
    /// Whether this host has read the host list of the store, or a member list.
    knows_hosts: bool,
    /// When a member last confirmed that this host is a member.
    confirmed_member: Option<Time>,
    /// Digest and tags of the members in the last member list that this host received.
    member_list: (u64, Vec<HostTag>),
    /// Polls since the last useful answer of a member.
    unanswered_polls: u32,
}

impl PeerRoster {
    /// Creates the roster of a process that starts at `now` and knows no peers.
    pub fn new(now: Time) -> PeerRoster {
        PeerRoster { started: now, ..PeerRoster::default() }
    }

    /// Adds a host from the host list of the store. A peer that is known already stays as it is.
    pub fn add_candidate(&mut self, info: HostInfo) {
        self.peers.entry(info.tag()).or_insert_with(|| PeerRecord::new(info));
    }

    /// Records a heartbeat. Returns whether the peer has joined; `None` if the heartbeat comes from
    /// a process that was replaced and is therefore ignored.
    pub fn record_heartbeat(&mut self, now: Time, info: HostInfo) -> Option<PeerChange> {
        let change = self.record_sign_of_life(now, info.tag(), info, true);
        self.update_peak(now);
        change
    }

    fn update_peak(&mut self, now: Time) {
        self.peak_alive = self.peak_alive.max(self.alive(now).count() + 1);
    }

    fn record_sign_of_life(
        &mut self,
        now: Time,
        tag: HostTag,
        info: HostInfo,
        is_heard: bool,
    ) -> Option<PeerChange> {
        let was_alive = self.is_alive(now, tag);
        let record = self.peers.entry(tag).or_insert_with(|| PeerRecord::new(info.clone()));
        if record.replaced.contains(&info.incarnation) {
            return None;
        }
        let is_restarted = record.info.incarnation != info.incarnation;
        if is_restarted {
            record.replaced.push(record.info.incarnation);
            if record.replaced.len() > REPLACED_LIMIT {
                record.replaced.remove(0);
            }
        }
        record.info = info;
        record.last_heartbeat = Some(now);
        record.probed_since = None;
        record.is_silent = false;
        record.is_heard = is_heard;
        Some(if was_alive && !is_restarted { PeerChange::Unchanged } else { PeerChange::Joined })
    }

    /// Returns the incarnation of a peer, or `None` if the peer is unknown.
    pub fn incarnation(&self, tag: HostTag) -> Option<u64> {
        self.peers.get(&tag).map(|record| record.info.incarnation)
    }

    /// Drops peers whose last heartbeat is at least [`PEER_RETENTION`] old. Peers that never sent
    /// one stay until [`PeerRoster::retain_listed`] drops them.
    pub fn purge_silent(&mut self, now: Time) {
        self.peers.retain(|_, record| {
            record.last_heartbeat.is_none_or(|at| now.since(at) < PEER_RETENTION)
        });
    }

    /// Drops hosts that never sent a heartbeat and are not in `listed`, the hosts that the store
    /// lists.
    pub fn retain_listed(&mut self, listed: &[HostTag]) {
        self.knows_hosts = true;
        self.peers.retain(|tag, record| record.last_heartbeat.is_some() || listed.contains(tag));
    }

    /// Returns whether the last heartbeat of a peer is no older than [`PeerRoster::silence_limit`].
    pub fn is_alive(&self, now: Time, tag: HostTag) -> bool {
        self.peers.get(&tag).is_some_and(|record| self.is_recent(now, record))
    }

    fn is_recent(&self, now: Time, record: &PeerRecord) -> bool {
        record.last_heartbeat.is_some_and(|at| now.since(at) <= self.silence_limit())
    }

    /// Returns the time without a heartbeat after which a peer counts as silent.
    pub fn silence_limit(&self) -> Duration {
        self.heartbeat_period(false).mul_f64(SILENT_PERIODS)
    }

    /// Returns the live peers, without this host, in the order of their tags.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (HostTag, &HostInfo)> {
        let limit = self.silence_limit();
        let is_recent = move |record: &PeerRecord| {
            record.last_heartbeat.is_some_and(|at| now.since(at) <= limit)
        };
        let alive = self.peers.iter().filter(move |(_, record)| is_recent(record));
        alive.map(|(tag, record)| (*tag, &record.info))
    }

    /// Returns the names of the peers that became silent since the last call.
    pub fn take_newly_silent(&mut self, now: Time) -> Vec<Arc<str>> {
        let limit = self.silence_limit();
        let silent = self.peers.values_mut().filter(|record| {
            !record.is_silent && record.last_heartbeat.is_some_and(|at| now.since(at) > limit)
        });
        let silent = silent.map(|record| {
            record.is_silent = true;
            record.info.name.clone()
        });
        silent.collect()
    }

    /// Returns the number of hosts, including this one, that share a limit of the whole fleet: the
    /// most that were alive at the same time, and at least all known ones up to [`MEMBER_LIMIT`].
    ///
    /// Hosts that do not hear one another must not each count on a larger share. So peers that are
    /// silent count as well, and a host that knows nothing of the fleet assumes a large one.
    pub fn sharing_hosts(&self) -> usize {
        let known = if self.knows_hosts { self.peers.len() + 1 } else { MEMBER_LIMIT };
        self.peak_alive.max(known.min(MEMBER_LIMIT))
    }

    /// Returns the time between two heartbeats, which grows with the number of known peers. Leads
    /// always use [`HEARTBEAT_PERIOD`], because their heartbeats prove to other hosts that the
    /// configuration is the newest.
    pub fn heartbeat_period(&self, is_lead: bool) -> Duration {
        if is_lead {
            return HEARTBEAT_PERIOD;
        }
        let peers = self.peers.len().min(MEMBER_LIMIT);
        HEARTBEAT_PERIOD * (1 + peers as u32 / PEERS_PER_PERIOD as u32)
    }
}
