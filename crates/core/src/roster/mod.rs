//! Decides which hosts callers are told to use.
//!
//! Owns what is known of each peer: its addresses, when it was last heard and whether it is leaving.
//! A peer that was silent for a few beats is not told to callers; one that was not heard
//! for [`FORGET_LIMIT`] is forgotten unless the store still names it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Time between two full beats to a peer while there are few peers.
pub const BEAT_PERIOD: Duration = Duration::from_millis(400);
/// Silence, in beats, after which a peer is not told to callers: three may get lost.
const SILENT_BEATS: f64 = 3.5;
/// Silence after which a peer is forgotten.
pub const FORGET_LIMIT: Duration = Duration::from_secs(60);
/// Term of a host's entry in the store; a host that ended is forgotten after it.
pub const ENTRY_TERM: Duration = Duration::from_secs(30);
/// Time between two renewals of the entry, and two looks at the others'.
pub const ENTRY_PERIOD: Duration = Duration::from_secs(9);
/// Pause before a failed registration is tried again.
pub const ENTRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which callers may keep an answer; a host that stops is told to none after it.
pub const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// Earlier processes of a host that are remembered.
const REPLACED_LIMIT: usize = 8;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Peers that one [`BEAT_PERIOD`] serves; with more, each hears less often.
const PEERS_A_PERIOD: usize = 64;

/// A host process: the hash of its name and address, so that a replacement is another host.
#[key]
pub struct HostTag(pub u64);

/// What a host says of itself.
#[message]
pub struct HostCard {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub serving: SocketAddr,
    /// Address for beats.
    pub beats: SocketAddr,
    /// Whether callers may be sent here.
    pub is_ready: bool,
    /// Whether the store answers this host.
    pub has_store: bool,
    /// Processor share in thousandths of a core.
    pub capacity: u32,
    /// Random number of the process; it tells a process from an earlier one of the same host.
    pub incarnation: u64,
}

impl HostCard {
    /// The tag of the host.
    pub fn tag(&self) -> HostTag {
        HostTag(crate::fleet::hash_name(&format!("{} {}", self.name, self.beats)))
    }
}

/// What a beat shows about its sender.
#[key]
pub enum PeerNews {
    /// Nothing new.
    Known,
    /// The peer is new, was silent or has started again.
    Back,
}

#[value]
struct PeerRecord {
    card: HostCard,
    heard: Option<Time>,
    is_silent: bool,
    /// Earlier processes, whose late datagrams are ignored.
    replaced: Vec<u64>,
}

/// The known peers.
#[derive(Debug, Default)]
pub struct PeerRoster {
    peers: BTreeMap<HostTag, PeerRecord>,
    most_alive: usize,
}

impl PeerRoster {
    /// The store, or another peer, names a host that was not heard yet.
    pub fn introduce(&mut self, card: HostCard) {
        self.peers.entry(card.tag()).or_insert(PeerRecord {
            card,
            heard: None,
            is_silent: false,
            replaced: Vec::new(),
        });
    }

    /// A beat arrived. Returns what is new about the peer; `None` if the beat comes from a process
    /// that was replaced.
    pub fn hear(&mut self, now: Time, card: HostCard) -> Option<PeerNews> {
        let tag = card.tag();
        let was_alive = self.is_alive(now, tag);
        let record = self.peers.entry(tag).or_insert_with(|| PeerRecord {
            card: card.clone(),
            heard: None,
            is_silent: false,
            replaced: Vec::new(),
        });
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
        record.is_silent = false;
        self.most_alive = self.most_alive.max(self.alive(now).count() + 1);
        Some(if was_alive && !is_restarted { PeerNews::Known } else { PeerNews::Back })
    }

    /// The process of a peer.
    pub fn incarnation(&self, tag: HostTag) -> Option<u64> {
        self.peers.get(&tag).map(|record| record.card.incarnation)
    }

    /// Forgets peers that were silent for long and peers that another process replaced.
    pub fn forget(&mut self, now: Time) {
        self.peers.retain(|_, record| {
            record.heard.is_some_and(|at| now.since(at) < FORGET_LIMIT) || record.heard.is_none()
        });
    }

    /// Drops hosts that were never heard and that the store no longer names.
    pub fn keep_named(&mut self, named: &[HostTag]) {
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
        self.beat_period(false).mul_f64(SILENT_BEATS)
    }

    /// Peers that were heard recently.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (HostTag, &HostCard)> {
        let alive = self.peers.iter().filter(move |(_, record)| self.is_recent(now, record));
        alive.map(|(tag, record)| (*tag, &record.card))
    }

    /// Whether this host is one of those that watch the store for all: the first by tag that the
    /// store answers, or the first of all if it answers none.
    pub fn is_lead(&self, now: Time, me: &HostCard, leads: usize) -> bool {
        let cards: Vec<_> = self.alive(now).chain([(me.tag(), me)]).collect();
        let any_store = cards.iter().any(|(_, card)| card.has_store);
        if any_store && !me.has_store {
            return false;
        }
        let before =
            cards.iter().filter(|(tag, card)| *tag < me.tag() && (card.has_store || !any_store));
        before.count() < leads
    }

    /// Addresses for beats of all known peers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|record| record.card.beats).collect()
    }

    /// The host with this address for beats.
    pub fn tag_of(&self, beats: SocketAddr) -> Option<HostTag> {
        let mut peers = self.peers.iter();
        peers.find(|(_, record)| record.card.beats == beats).map(|(tag, _)| *tag)
    }

    /// Peers that fell silent since the last call.
    pub fn take_silent(&mut self, now: Time) -> Vec<Arc<str>> {
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
    pub fn most_alive(&self) -> usize {
        self.most_alive.max(1)
    }

    /// Time between two full beats at the present number of peers. Leads beat as often as with few
    /// peers, as their beats prove that the configuration is the newest.
    pub fn beat_period(&self, is_lead: bool) -> Duration {
        if is_lead {
            return BEAT_PERIOD;
        }
        BEAT_PERIOD * (1 + self.peers.len() as u32 / PEERS_A_PERIOD as u32)
    }

    /// Addresses for a caller in `domain`: this host if it is ready, and the ready peers that were
    /// heard recently, at most 64 of them drawn at random.
    pub fn addresses(&self, now: Time, me: &HostCard, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let peers = self.alive(now).map(|(_, card)| card);
        let known: Vec<_> = peers.chain([me]).collect();
        let any_ready = known.iter().any(|card| card.is_ready);
        // Without a ready host, callers learn when to come back from those that run.
        let told = known.into_iter().filter(|card| card.is_ready || !any_ready);
        let mut addresses: Vec<_> = told.map(|card| card.serving).collect();
        rng.shuffle(&mut addresses);
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
