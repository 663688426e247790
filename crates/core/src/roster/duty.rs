//! Roles of hosts: which are members, which of these watch the store as leads, and which are
//! returned to callers.

use std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    HostInfo, HostTag, LISTED_LIMIT, MAX_ADDRESSES, MEMBER_LIMIT, PeerRecord, PeerRoster,
    REGISTRATION_SPREAD,
};
use crate::time::Time;

use parsley_macros::{key, value};

/// Least number of active hosts, if as many are alive.
const LEAST_ACTIVE: usize = 16;
/// Capacity that the active hosts need, in thousandths of a core for each request that the engines
/// run concurrently.
const CAPACITY_PER_SLOT: u32 = 3;
/// Least number of addresses in one answer, if as many hosts are active.
const LEAST_ADDRESSES: usize = 6;

/// Heartbeat periods for which a host passes on what it knows of a peer from another host's list.
/// One is the time in which a host that has become a member hears the others, the rest is jitter.
const RELAY_PERIODS: f64 = 1.25;

/// A peer to which a member sends a datagram in each heartbeat period.
#[derive(Debug)]
pub struct HeartbeatTarget {
    /// Tag of the peer.
    pub tag: HostTag,
    /// Address on which the peer receives heartbeats.
    pub address: SocketAddr,
    /// Role of the peer, which determines the datagrams that it is sent.
    pub role: PeerRole,
}

/// Role of a peer from the point of view of a member.
#[key]
pub enum PeerRole {
    /// The peer is a member.
    Member,
    /// The peer would be a member by rank but is silent. It still gets heartbeats, so that its
    /// return is noticed.
    Absent,
    /// The peer sends heartbeats as if it were a member, but is none by rank. It is sent the member
    /// list.
    Demoted,
}

/// What a host answers a poll about the members.
#[value]
pub enum MemberStatement {
    /// Nothing, because the host is on standby itself.
    Unknown,
    /// The list that the poll names is current.
    Unchanged,
    /// The live members.
    Changed(Vec<HostInfo>),
}

/// Most additional peers in one poll while answers are missing or of no use.
const MAX_EXTRA_POLLS: u32 = 3;

type HostRank = (Reverse<u32>, HostTag);

fn rank(tag: HostTag, info: &HostInfo) -> HostRank {
    (Reverse(info.capacity), tag)
}

/// Returns the time after its start at which a host checks whether it has to register in the store.
///
/// The delay grows with the tag. So among hosts of the same capacity, those that rank higher check
/// first.
pub fn registration_delay(info: &HostInfo) -> Duration {
    REGISTRATION_SPREAD.mul_f64(info.tag().0 as f64 / u64::MAX as f64)
}

/// Returns how often a host is polled relative to others.
fn weight(info: &HostInfo) -> u64 {
    u64::from(info.capacity.max(1))
}

impl PeerRoster {
    /// Returns whether a peer is known to be absent: it became silent, or did not answer the
    /// heartbeats sent to it.
    fn is_absent(&self, now: Time, record: &PeerRecord) -> bool {
        match record.last_heartbeat {
            Some(_) => !self.is_recent(now, record),
            None => record.probed_since.is_some_and(|at| now.since(at) > self.silence_limit()),
        }
    }

    /// Returns all peers, highest rank first.
    fn ranked(&self) -> Vec<(HostRank, &PeerRecord)> {
        let mut ranked: Vec<_> =
            self.peers.iter().map(|(tag, record)| (rank(*tag, &record.info), record)).collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked
    }

    /// Returns the number of peers that rank above this host and are not known to be absent.
    fn peers_above(&self, now: Time, me: &HostInfo) -> usize {
        let own_rank = rank(me.tag(), me);
        let is_above = |(tag, record): &(&HostTag, &PeerRecord)| {
            rank(**tag, &record.info) < own_rank && !self.is_absent(now, record)
        };
        self.peers.iter().filter(is_above).count()
    }

    /// Returns this host and the live peers, highest rank first.
    pub(super) fn live_hosts<'a>(
        &'a self,
        now: Time,
        me: &'a HostInfo,
    ) -> Vec<(HostTag, &'a HostInfo)> {
        let mut hosts: Vec<_> = self.alive(now).chain([(me.tag(), me)]).collect();
        hosts.sort_unstable_by_key(|(tag, info)| rank(*tag, info));
        hosts
    }

    /// Returns whether this host is a member.
    ///
    /// It is one if a member confirmed it recently, if it is isolated, or if it is registered,
    /// ranks among the first and has not received a member list. A standby host does not promote
    /// itself because peers seem silent to it: the members detect that and confirm their
    /// successors.
    pub fn is_member(&self, now: Time, me: &HostInfo) -> bool {
        let is_confirmed =
            self.confirmed_member.is_some_and(|at| now.since(at) <= self.silence_limit());
        if is_confirmed || self.is_isolated(now) {
            return true;
        }
        self.member_list.1.is_empty() && self.is_listed && self.peers_above(now, me) < MEMBER_LIMIT
    }

    /// Returns whether this host has had no sign of life of any peer for twice the silence limit,
    /// within which a live member would have answered. The time counts from the start of the
    /// process if there was none at all.
    pub fn is_isolated(&self, now: Time) -> bool {
        let latest = self.peers.values().filter_map(|record| record.last_heartbeat).max();
        now.since(latest.unwrap_or(self.started)) > self.silence_limit() * 2
    }

    /// Records that this host is registered in the store.
    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Records that a member confirmed this host as a member.
    pub fn confirm_member(&mut self, now: Time) {
        self.confirmed_member = Some(now);
    }

    /// Returns the peers to which this host, as a member, sends its next heartbeats.
    pub fn heartbeat_targets(&mut self, now: Time, me: &HostInfo) -> Vec<HeartbeatTarget> {
        let own_rank = rank(me.tag(), me);
        let ranked = self.ranked();
        // One of the places is this host's own.
        let mut places = MEMBER_LIMIT;
        let mut targets = Vec::new();
        let mut is_past_me = false;
        for (index, (rank, record)) in ranked.iter().enumerate() {
            if !is_past_me && *rank > own_rank {
                is_past_me = true;
                places = places.saturating_sub(1);
            }
            let is_member = places > 0 && !self.is_absent(now, record);
            if is_member {
                places -= 1;
            }
            let role = match is_member {
                true => PeerRole::Member,
                false if index + usize::from(is_past_me) < MEMBER_LIMIT => PeerRole::Absent,
                false if self.is_recent(now, record) => PeerRole::Demoted,
                false => continue,
            };
            targets.push(HeartbeatTarget {
                tag: rank.1,
                address: record.info.heartbeat_address,
                role,
            });
        }
        for target in &targets {
            let Some(record) = self.peers.get_mut(&target.tag) else { continue };
            if record.last_heartbeat.is_none() {
                record.probed_since.get_or_insert(now);
            }
        }
        targets
    }

    /// Returns the addresses that a standby host polls now: one live peer, drawn at random with its
    /// capacity as weight. If no peer is alive, any known one may be drawn.
    ///
    /// For each earlier poll without a useful answer one more draw is made, up to
    /// `MAX_EXTRA_POLLS`. Answers alone do not suffice because members without access to the store
    /// answer as well.
    pub fn poll_targets(&mut self, now: Time, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut infos: Vec<_> = self.alive(now).map(|(_, info)| info).collect();
        if infos.is_empty() {
            infos = self.peers.values().map(|record| &record.info).collect();
        }
        let total: u64 = infos.iter().map(|info| weight(info)).sum();
        let draw = |_| {
            let mut drawn = rng.u64(0..total.max(1));
            let target = infos.iter().find(|info| {
                let is_drawn = drawn < weight(info);
                drawn = drawn.saturating_sub(weight(info));
                is_drawn
            });
            target.map(|info| info.heartbeat_address)
        };
        let targets = (0..=self.unanswered_polls.min(MAX_EXTRA_POLLS)).filter_map(draw).collect();
        self.unanswered_polls += 1;
        targets
    }

    /// Records that an answer was useful: it proved the configuration to be current or named a
    /// newer one.
    pub fn reset_unanswered(&mut self) {
        self.unanswered_polls = 0;
    }

    /// Returns the number of polls since the last useful answer.
    pub fn unanswered_polls(&self) -> u32 {
        self.unanswered_polls
    }

    /// Returns the answer to a poll from a standby host whose last list has this digest.
    ///
    /// A host that has a member list waits for a member to confirm it. Hosts that start together
    /// would wait for one another if they answered with lists of their own.
    pub fn answer_poll(&self, now: Time, me: &HostInfo, known_digest: u64) -> MemberStatement {
        if !self.is_member(now, me) {
            return MemberStatement::Unknown;
        }
        let (digest, members) = self.member_list(now, me);
        match digest == known_digest {
            true => MemberStatement::Unchanged,
            false => MemberStatement::Changed(members),
        }
    }

    /// Returns the digest and the infos of the live members, which standby hosts are sent.
    ///
    /// A list has no times, so its receiver counts each member as just heard. If what a host knows
    /// from lists were passed on for as long, a dead host would stay alive in one list after
    /// another. So it is passed on for `RELAY_PERIODS` only, within which a host that has become a
    /// member hears the other members itself.
    pub fn member_list(&self, now: Time, me: &HostInfo) -> (u64, Vec<HostInfo>) {
        let relay_limit = self.heartbeat_period(false).mul_f64(RELAY_PERIODS);
        let mut members = self.live_hosts(now, me);
        members.retain(|(tag, _)| {
            let is_recent = |record: &PeerRecord| {
                record.last_heartbeat.is_some_and(|at| now.since(at) < relay_limit)
            };
            self.peers.get(tag).is_none_or(|record| record.is_heard || is_recent(record))
        });
        members.truncate(MEMBER_LIMIT);
        let digests = members.iter().map(|(tag, info)| info.digest(*tag));
        let digest = digests.fold(0, u64::wrapping_add);
        (digest, members.into_iter().map(|(_, info)| info.clone()).collect())
    }

    /// Returns the digest of the member list that this host received last; 0 without one.
    pub fn members_digest(&self) -> u64 {
        self.member_list.0
    }

    /// Applies the member list of a member's answer. `None` means that the list has the digest that
    /// this host sent, so the members of its last list are alive.
    pub fn merge_members(&mut self, now: Time, me: &HostInfo, members: Option<Vec<HostInfo>>) {
        if let Some(infos) = members {
            self.knows_hosts = true;
            // A host that is no longer a member was not necessarily silent, so its state becomes
            // unknown.
            for tag in std::mem::take(&mut self.member_list.1) {
                if let Some(record) = self.peers.get_mut(&tag) {
                    record.last_heartbeat = None;
                }
            }
            let tags: Vec<_> = infos.iter().map(HostInfo::tag).collect();
            let digests = infos.iter().zip(&tags).map(|(info, tag)| info.digest(*tag));
            let digest = digests.fold(0, u64::wrapping_add);
            for (info, tag) in infos.into_iter().zip(&tags).filter(|(info, _)| info.name != me.name)
            {
                self.record_sign_of_life(now, *tag, info, false);
            }
            self.member_list = (digest, tags);
            self.update_peak(now);
            return;
        }
        for tag in &self.member_list.1 {
            if let Some(record) = self.peers.get_mut(tag) {
                record.last_heartbeat = Some(now);
                record.is_heard = false;
            }
        }
    }

    /// Returns whether this host ranks high enough that it must register in the store, where other
    /// hosts find it.
    pub fn needs_registration(&self, now: Time, me: &HostInfo) -> bool {
        self.peers_above(now, me) < LISTED_LIMIT
    }

    /// Returns whether this host is a lead, one of the `leads` hosts that watch the store on behalf
    /// of all hosts.
    ///
    /// Leads are the lowest-ranking live hosts with access to the store, because the
    /// highest-ranking ones serve the callers. If no host has access, the lowest-ranking ones are
    /// leads and detect when the store is back. Only members can be leads.
    pub fn is_lead(&self, now: Time, me: &HostInfo, leads: usize) -> bool {
        if !self.is_member(now, me) {
            return false;
        }
        let mut hosts = self.live_hosts(now, me);
        // A host that steps down is heard of for a while. If it still counted, nobody would lead.
        hosts.truncate(MEMBER_LIMIT);
        let own_tag = me.tag();
        let any_store = hosts.iter().any(|(_, info)| info.has_store);
        let is_first = hosts.iter().any(|(tag, _)| *tag == own_tag);
        if !is_first || (any_store && !me.has_store) {
            return false;
        }
        let below = hosts.iter().rev().take_while(|(tag, _)| *tag != own_tag);
        below.filter(|(_, info)| info.has_store || !any_store).count() < leads
    }

    /// Returns the hosts whose addresses callers are given, highest rank first, where the engines
    /// run `slots` requests concurrently.
    ///
    /// These are ready hosts. If no host is ready, any live ones are returned, since their refusals
    /// tell callers when to retry.
    fn active<'a>(
        &'a self,
        now: Time,
        me: &'a HostInfo,
        slots: u32,
    ) -> Vec<(HostTag, &'a HostInfo)> {
        let mut hosts = self.live_hosts(now, me);
        let any_ready = hosts.iter().any(|(_, info)| info.is_ready);
        hosts.retain(|(_, info)| info.is_ready || !any_ready);
        let needed = slots.saturating_mul(CAPACITY_PER_SLOT);
        let mut capacity = 0;
        let last = hosts.iter().enumerate().position(|(index, (_, info))| {
            capacity += info.capacity;
            index + 1 >= LEAST_ACTIVE && capacity >= needed
        });
        hosts.truncate(last.map_or(MAX_ADDRESSES, |index| index + 1).min(MAX_ADDRESSES));
        hosts
    }

    /// Returns the tags of the active hosts, which are given to callers and exchange the state of
    /// their requests.
    pub fn active_hosts(&self, now: Time, me: &HostInfo, slots: u32) -> BTreeSet<HostTag> {
        self.active(now, me, slots).into_iter().map(|(tag, _)| tag).collect()
    }

    /// Returns the addresses for a caller. A host is included with a probability proportional to
    /// its capacity; further ones are added up to `LEAST_ADDRESSES`.
    ///
    /// The draw is seeded with the tags of this host and the included one. So this host repeats its
    /// choice, and a caller that asks it again can keep its connections.
    pub fn addresses(&self, now: Time, me: &HostInfo, slots: u32) -> Vec<SocketAddr> {
        let active = self.active(now, me, slots);
        let largest = active.iter().map(|(_, info)| info.capacity).max().unwrap_or(1).max(1);
        let own_tag = me.tag();
        let excess = |tag: HostTag, info: &HostInfo| {
            let seed = own_tag.0 ^ tag.0.rotate_left(23);
            let drawn = fastrand::Rng::with_seed(seed).u32(0..largest);
            (drawn + 1).saturating_sub(info.capacity)
        };
        let mut drawn: Vec<_> =
            active.iter().map(|(tag, info)| (excess(*tag, info), info.caller_address)).collect();
        drawn.sort_by_key(|(excess, _)| *excess);
        let kept = drawn.iter().filter(|(excess, _)| *excess == 0).count();
        drawn.truncate(kept.max(LEAST_ADDRESSES));
        drawn.into_iter().map(|(_, serving)| serving).collect()
    }
}
