//! Follows the host list: peers to contact, and servers that are leaving.
//!
//! The hosts that watch the key-value service read what is leaving and tell the owners, so that the
//! list serves nine readers however many hosts there are.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{config::is_watcher, member::MemberInput};

use crate::{
    adapter::hostlist,
    host::HostRef,
    peer::{self, datagram::PeerDatagram},
    pool,
};

const LEAVING_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reads of the whole list by one host.
const SEEDS_PERIOD: Duration = Duration::from_secs(600);
/// Delay of the next read after one that failed or while no other host is known.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Names in one datagram.
const MAX_NAMES: usize = 20;

/// Starts to follow the list, if there is one.
pub fn start(host: &HostRef) {
    let Some(address) = host.settings.host_list.clone() else { return };
    host.spawn(seeds_loop(host.clone(), address.clone()));
    host.spawn(leaving_loop(host.clone(), address));
}

async fn seeds_loop(host: HostRef, address: Arc<str>) {
    loop {
        let listed = hostlist::hosts(&address).await.unwrap_or_default();
        let peers = listed.into_iter().filter(|listed| !listed.leaving);
        let mut seeds: Vec<_> = peers.filter_map(|listed| listed.peer_address).collect();
        let is_known = !seeds.is_empty();
        seeds.extend(host.settings.seeds.iter().cloned());
        peer::member_step(&host, MemberInput::Seeds(seeds));
        let is_alone = host.state.borrow().members.live().nth(1).is_none();
        let delay = if is_known && !is_alone { SEEDS_PERIOD } else { RETRY_DELAY };
        // Jitter keeps hosts that start together from reading together.
        let factor = 0.5 + host.state.borrow_mut().rng.f64();
        Timer::after(delay.mul_f64(factor)).await;
    }
}

async fn leaving_loop(host: HostRef, address: Arc<str>) {
    loop {
        Timer::after(LEAVING_PERIOD).await;
        if !is_watcher(&host.state.borrow().members) {
            continue;
        }
        let Ok(listed) = hostlist::leaving(&address).await else { continue };
        notify_owners(&host, listed.into_iter().map(|server| server.name));
    }
}

/// Tells the owners of engines that these are leaving.
pub fn notify_owners(host: &HostRef, engines: impl Iterator<Item = Arc<str>>) {
    let mut by_owner: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
    {
        let state = host.state.borrow();
        for engine in engines {
            if let Some(owner) = state.picker.owners().owner(&engine) {
                by_owner.entry(owner.clone()).or_default().push(engine);
            }
        }
    }
    for (owner, names) in by_owner {
        if owner == host.settings.name {
            pool::assign::mark_leaving(host, &names);
            continue;
        }
        for names in names.chunks(MAX_NAMES) {
            peer::send_to(host, &owner, PeerDatagram::Leaving(names.to_vec()));
        }
    }
}
