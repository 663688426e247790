//! Which members issue the permits for a limited server.

use std::net::SocketAddr;

use super::{HostInfo, HostTag, MEMBER_LIMIT, PeerRoster};
use crate::{fleet::EngineTag, permit::MemberView, time::Time};

/// Returns the weight of a host as issuer of the permits for a server. All hosts compute the same,
/// and a host that comes or goes changes the order of no others.
fn issuer_weight(server: EngineTag, host: HostTag) -> u64 {
    let mixed = (server.0 ^ host.0.rotate_left(32)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

impl PeerRoster {
    /// Returns the tag and heartbeat address of the member that issues the permits for a server, or
    /// of its substitute if there are two. `None` if no member is known to be alive.
    pub fn permit_issuer(
        &self,
        now: Time,
        me: &HostInfo,
        server: EngineTag,
        is_substitute: bool,
    ) -> Option<(HostTag, SocketAddr)> {
        let is_member = self.is_member(now, me);
        let own_tag = me.tag();
        let mut members = self.live_hosts(now, me);
        members.retain(|(tag, _)| is_member || *tag != own_tag);
        members.truncate(MEMBER_LIMIT);
        members.sort_unstable_by_key(|(tag, _)| issuer_weight(server, *tag));
        let issuer = members.get(usize::from(is_substitute)).or(members.first());
        issuer.map(|(tag, info)| (*tag, info.heartbeat_address))
    }

    /// Returns the fraction of the members that are alive. In a partition of the members, the
    /// fractions of all sides add up to one until [`super::PEER_RETENTION`] has passed. Peers that
    /// the store lists and that were never heard of count as members that are not alive.
    pub fn live_share(&self, now: Time) -> f64 {
        let live = self.alive(now).count() + 1;
        let known = (self.peers.len() + 1).min(MEMBER_LIMIT);
        live.min(known) as f64 / known as f64
    }

    /// Returns what this host knows of the other members when it issues permits.
    pub fn member_view(&self, now: Time) -> MemberView {
        let alive_digest =
            self.alive(now).fold(0, |digest: u64, (tag, _)| digest.wrapping_add(tag.0));
        MemberView { live_share: self.live_share(now), alive_digest }
    }
}
