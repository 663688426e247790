//! Which hosts are members, which of them watch the store, and which callers are told.

use std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    HostInfo, HostTag, LISTED_LIMIT, MAX_ADDRESSES, MEMBER_LIMIT, PeerRecord, PeerRoster,
    REGISTRATION_SPREAD,
};
use crate::time::Time;

use parsley_macros::key;

/// Hosts that callers are told at least, if there are as many.
const LEAST_ACTIVE: usize = 16;
/// Capacity of the hosts that callers are told, in thousandths of a core for each request that the
/// engines run at once.
const CAPACITY_A_PLACE: u32 = 3;
/// Addresses in one answer at least, if there are as many.
const LEAST_ADDRESSES: usize = 6;

/// A peer that is to be told everything.
#[derive(Debug)]
pub struct HeartbeatTarget {
    /// The peer.
    pub tag: HostTag,
    /// Its address for beats.
    pub address: SocketAddr,
    /// What it is told.
    pub role: PeerRole,
}

/// What a member takes a peer for.
#[key]
pub enum PeerRole {
    /// A member.
    Member,
    /// One that would be a member if it lived: it is beaten, so that it is found when it returns.
    Absent,
    /// One that takes itself for a member. It is told who the members are.
    Demoted,
}

/// Peers that are asked at once, beside the first, while no answer is of use.
const MOST_ASKED: u32 = 3;

type HostRank = (Reverse<u32>, HostTag);

fn rank(tag: HostTag, card: &HostInfo) -> HostRank {
    (Reverse(card.capacity), tag)
}

/// Time after its start at which a host looks whether it needs an entry in the store. Those before
/// it by rank look earlier, unless they are larger.
pub fn registration_delay(card: &HostInfo) -> Duration {
    REGISTRATION_SPREAD.mul_f64(card.tag().0 as f64 / u64::MAX as f64)
}

/// How often a host is asked, in relation to others.
fn weight(card: &HostInfo) -> u64 {
    u64::from(card.capacity.max(1))
}

impl PeerRoster {
    /// Whether a peer is known to be away: it fell silent, or did not answer when it was called.
    fn is_away(&self, now: Time, record: &PeerRecord) -> bool {
        match record.heard {
            Some(_) => !self.is_recent(now, record),
            None => record.called.is_some_and(|at| now.since(at) > self.silence_limit()),
        }
    }

    /// Peers by rank.
    fn ranked(&self) -> Vec<(HostRank, &PeerRecord)> {
        let mut ranked: Vec<_> =
            self.peers.iter().map(|(tag, record)| (rank(*tag, &record.card), record)).collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked
    }

    /// Peers with a better rank than this host that are not known to be away.
    fn peers_before(&self, now: Time, me: &HostInfo) -> usize {
        let mine = rank(me.tag(), me);
        let is_before = |(tag, record): &(&HostTag, &PeerRecord)| {
            rank(**tag, &record.card) < mine && !self.is_away(now, record)
        };
        self.peers.iter().filter(is_before).count()
    }

    /// This host and the living peers, by rank.
    fn living<'a>(&'a self, now: Time, me: &'a HostInfo) -> Vec<(HostTag, &'a HostInfo)> {
        let mut living: Vec<_> = self.alive(now).chain([(me.tag(), me)]).collect();
        living.sort_unstable_by_key(|(tag, card)| rank(*tag, card));
        living
    }

    /// Whether this host is a member: members call it one, or no peer was heard for some time, or it
    /// is among the first of those that the store lists and no member has told it otherwise. That
    /// other peers seem silent makes no host a member: members find that out and call the next.
    pub fn is_member(&self, now: Time, me: &HostInfo) -> bool {
        let is_called = self.called.is_some_and(|at| now.since(at) <= self.silence_limit());
        if is_called || self.is_isolated(now) {
            return true;
        }
        self.told.1.is_empty() && self.is_listed && self.peers_before(now, me) < MEMBER_LIMIT
    }

    /// Whether no peer was heard since the start, or lately, for so long that members that live would
    /// have answered.
    pub fn is_isolated(&self, now: Time) -> bool {
        let heard = self.peers.values().filter_map(|record| record.heard).max();
        now.since(heard.unwrap_or(self.started)) > self.silence_limit() * 2
    }

    /// The store lists this host.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// A member took this host for a member.
    pub fn confirm_member(&mut self, now: Time) {
        self.called = Some(now);
    }

    /// Peers that a member tells something at each beat.
    pub fn heartbeat_targets(&mut self, now: Time, me: &HostInfo) -> Vec<HeartbeatTarget> {
        let mine = rank(me.tag(), me);
        let ranked = self.ranked();
        let mut places = MEMBER_LIMIT;
        let mut targets = Vec::new();
        let mut is_past_me = false;
        for (index, (rank, record)) in ranked.iter().enumerate() {
            if !is_past_me && *rank > mine {
                is_past_me = true;
                places = places.saturating_sub(1);
            }
            let is_member = places > 0 && !self.is_away(now, record);
            if is_member {
                places -= 1;
            }
            let duty = match is_member {
                true => PeerRole::Member,
                false if index + usize::from(is_past_me) < MEMBER_LIMIT => PeerRole::Absent,
                false if self.is_recent(now, record) => PeerRole::Demoted,
                false => continue,
            };
            targets.push(HeartbeatTarget {
                tag: rank.1,
                address: record.card.heartbeat_address,
                role: duty,
            });
        }
        for target in &targets {
            let Some(record) = self.peers.get_mut(&target.tag) else { continue };
            if record.heard.is_none() {
                record.called.get_or_insert(now);
            }
        }
        targets
    }

    /// The peers that a host that stands by asks now: one living member, larger ones more often; as
    /// long as no answer is of use, more of them, and then any that are known. Members that are cut
    /// from the store answer, too.
    pub fn poll_targets(&mut self, now: Time, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut cards: Vec<_> = self.alive(now).map(|(_, card)| card).collect();
        if cards.is_empty() {
            cards = self.peers.values().map(|record| &record.card).collect();
        }
        let total: u64 = cards.iter().map(|card| weight(card)).sum();
        let draw = |_| {
            let mut drawn = rng.u64(0..total.max(1));
            let target = cards.iter().find(|card| {
                let is_drawn = drawn < weight(card);
                drawn = drawn.saturating_sub(weight(card));
                is_drawn
            });
            target.map(|card| card.heartbeat_address)
        };
        let targets = (0..=self.unanswered.min(MOST_ASKED)).filter_map(draw).collect();
        self.unanswered += 1;
        targets
    }

    /// A member's answer told something new about the configuration.
    pub fn reset_unanswered(&mut self) {
        self.unanswered = 0;
    }

    /// Questions since the last useful answer of a member.
    pub fn unanswered_polls(&self) -> u32 {
        self.unanswered
    }

    /// The living members as this host tells those that stand by, with their digest.
    pub fn member_list(&self, now: Time, me: &HostInfo) -> (u64, Vec<HostInfo>) {
        let mut living = self.living(now, me);
        living.truncate(MEMBER_LIMIT);
        let digests = living.iter().map(|(tag, card)| card.digest(*tag));
        let digest = digests.fold(0, u64::wrapping_add);
        (digest, living.into_iter().map(|(_, card)| card.clone()).collect())
    }

    /// Digest of the members of which a member told this host last.
    pub fn members_digest(&self) -> u64 {
        self.told.0
    }

    /// A member told of the living members; `None` if they are those that it told before.
    pub fn merge_members(&mut self, now: Time, me: &HostInfo, members: Option<Vec<HostInfo>>) {
        if let Some(cards) = members {
            // Members that are none any more were not silent: nothing is known of them now.
            for tag in std::mem::take(&mut self.told.1) {
                if let Some(record) = self.peers.get_mut(&tag) {
                    record.heard = None;
                }
            }
            let tags: Vec<_> = cards.iter().map(HostInfo::tag).collect();
            let digests = cards.iter().zip(&tags).map(|(card, tag)| card.digest(*tag));
            self.told = (digests.fold(0, u64::wrapping_add), tags);
            for card in cards.into_iter().filter(|card| card.name != me.name) {
                self.record_heartbeat(now, card);
            }
            return;
        }
        for tag in &self.told.1 {
            if let Some(record) = self.peers.get_mut(tag) {
                record.heard = Some(now);
            }
        }
    }

    /// Whether this host needs an entry in the store, from which others learn of it.
    pub fn needs_registration(&self, now: Time, me: &HostInfo) -> bool {
        self.peers_before(now, me) < LISTED_LIMIT
    }

    /// Whether this host is one of those that watch the store for all: the last members by rank
    /// that the store answers, or the last of all if it answers none. The first by rank have the
    /// callers.
    pub fn is_lead(&self, now: Time, me: &HostInfo, leads: usize) -> bool {
        if !self.is_member(now, me) {
            return false;
        }
        let living = self.living(now, me);
        let any_store = living.iter().any(|(_, card)| card.has_store);
        if any_store && !me.has_store {
            return false;
        }
        let mine = me.tag();
        let behind = living.iter().rev().take_while(|(tag, _)| *tag != mine);
        behind.filter(|(_, card)| card.has_store || !any_store).count() < leads
    }

    /// The hosts that callers are told, by rank, where the engines run `places` requests at once:
    /// ready ones, or any that live if none is ready, as callers then learn when to come back.
    fn active<'a>(
        &'a self,
        now: Time,
        me: &'a HostInfo,
        places: u32,
    ) -> Vec<(HostTag, &'a HostInfo)> {
        let mut living = self.living(now, me);
        let any_ready = living.iter().any(|(_, card)| card.is_ready);
        living.retain(|(_, card)| card.is_ready || !any_ready);
        let wanted = places.saturating_mul(CAPACITY_A_PLACE);
        let mut capacity = 0;
        let enough = living.iter().enumerate().position(|(index, (_, card))| {
            capacity += card.capacity;
            index + 1 >= LEAST_ACTIVE && capacity >= wanted
        });
        living.truncate(enough.map_or(MAX_ADDRESSES, |index| index + 1).min(MAX_ADDRESSES));
        living
    }

    /// The hosts that take part in the exchange of work: those that callers are told.
    pub fn active_hosts(&self, now: Time, me: &HostInfo, places: u32) -> BTreeSet<HostTag> {
        self.active(now, me, places).into_iter().map(|(tag, _)| tag).collect()
    }

    /// Addresses for a caller. Smaller hosts are in fewer answers; which, depends on who answers,
    /// so that a caller that asks again keeps its connections.
    pub fn addresses(&self, now: Time, me: &HostInfo, places: u32) -> Vec<SocketAddr> {
        let active = self.active(now, me, places);
        let largest = active.iter().map(|(_, card)| card.capacity).max().unwrap_or(1).max(1);
        let mine = me.tag();
        let excess = |tag: HostTag, card: &HostInfo| {
            let seed = mine.0 ^ tag.0.rotate_left(23);
            let drawn = fastrand::Rng::with_seed(seed).u32(0..largest);
            (drawn + 1).saturating_sub(card.capacity)
        };
        let mut drawn: Vec<_> =
            active.iter().map(|(tag, card)| (excess(*tag, card), card.caller_address)).collect();
        drawn.sort_by_key(|(excess, _)| *excess);
        let kept = drawn.iter().filter(|(excess, _)| *excess == 0).count();
        drawn.truncate(kept.max(LEAST_ADDRESSES));
        drawn.into_iter().map(|(_, serving)| serving).collect()
    }
}
