//! Keeps the configuration of this host up to date from the key-value service and from peers.

use std::{sync::Arc, time::Duration};

use crate::{
    adapter::store,
    event,
    host::HostRef,
    peer::{self, frame::PeerFrame, link},
    pool,
};
use async_io::Timer;
use parsley_core::{
    config::{CONFIG_PREFIX, ConfigDelta},
    member::MemberInput,
};

const WATCH_WAIT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts to watch the key-value service.
pub fn start(host: &HostRef) {
    host.spawn(watch_loop(host.clone()));
}

async fn watch_loop(host: HostRef) {
    loop {
        for address in &host.settings.store {
            let after = host.state.borrow().config.complete();
            match store::changes(address, CONFIG_PREFIX, after, Some(WATCH_WAIT)).await {
                Ok(delta) => apply(&host, delta),
                Err(err) => {
                    event!(host.log, STORE_SILENT, "error" => %err);
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Puts changes in force.
pub fn apply(host: &HostRef, delta: ConfigDelta) {
    let (changed, complete) = {
        let mut state = host.state.borrow_mut();
        (state.config.apply(delta), state.config.complete())
    };
    peer::member_step(host, MemberInput::Revision(complete));
    if changed {
        event!(host.log, CONFIG_IN_FORCE, "revision" => complete.0);
        pool::assign::assign(host);
    }
}

/// Asks a peer for the changes that this host lacks.
pub fn pull(host: &HostRef, name: Arc<str>) {
    let (address, after) = {
        let state = host.state.borrow();
        let Some(member) = state.members.get(&name) else { return };
        (member.peer_address.clone(), state.config.complete())
    };
    link::get(host, &name, &address).send(PeerFrame::ConfigPull { after });
}
