//! Polls the host list for peers to contact and for servers that are leaving.
//!
//! Only the hosts that watch the key-value service poll the leaving servers. They notify the
//! owners. The list therefore has few readers, three in each region, whatever the number of hosts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{config::is_watcher, member::MemberInput};

use crate::{
    adapter::hostlist,
    host::HostRef,
    peer::{self, datagram::PeerDatagram},
    pool,
};

/// Interval at which a watching host reads the leaving servers.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval at which each host reads the whole list.
const SEEDS_POLL_INTERVAL: Duration = Duration::from_secs(600);
/// Mean delay before the next read after a failed or empty one, and while no other host is live.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of engine names in one datagram.
const MAX_DATAGRAM_NAMES: usize = 20;

/// Starts to poll the host list, if one is configured.
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
        let has_listed_peers = !seeds.is_empty();
        seeds.extend(host.settings.seeds.iter().cloned());
        peer::member_step(&host, MemberInput::Seeds(seeds));
        let is_alone = host.state.borrow().members.live().nth(1).is_none();
        let delay = if has_listed_peers && !is_alone { SEEDS_POLL_INTERVAL } else { RETRY_DELAY };
        // Jitter of 50 % spreads the reads of hosts that started at the same time.
        let factor = 0.5 + host.state.borrow_mut().rng.f64();
        Timer::after(delay.mul_f64(factor)).await;
    }
}

async fn leaving_loop(host: HostRef, address: Arc<str>) {
    loop {
        Timer::after(LEAVING_POLL_INTERVAL).await;
        if !is_watcher(&host.state.borrow().members) {
            continue;
        }
        let Ok(listed) = hostlist::leaving(&address).await else { continue };
        notify_owners(&host, listed.into_iter().map(|server| server.name));
    }
}

/// Notifies the owners of engines that the engines are leaving.
///
/// Engines without a known owner are skipped. Datagrams may be lost; the next poll sends them
/// again.
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
            pool::assign::leaving(host, &names);
            continue;
        }
        for names in names.chunks(MAX_DATAGRAM_NAMES) {
            peer::send_to(host, &owner, PeerDatagram::Leaving(names.to_vec()));
        }
    }
}
