//! Synchronizes the configuration of this host with the key-value service and its peers.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    config::{
        CONFIG_PREFIX, CONFIG_TICK, ConfigDelta, ConfigInput, ConfigOutput, PUSH_FANOUT, Revision,
        is_watcher,
    },
    member::MemberInput,
};

use crate::{
    adapter::store,
    event,
    host::HostRef,
    order_sync,
    peer::{self, datagram::PeerDatagram, frame::PeerFrame, link},
    pool,
};

/// Time for which the key-value service holds a watch open without changes.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Delay after a failed watch, and between checks while another host watches.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts the tasks that watch the key-value service and exchange revisions with peers.
pub fn start(host: &HostRef) {
    host.spawn(watch_loop(host.clone()));
    host.spawn(tick_loop(host.clone()));
}

/// Watches the key-value service while this host is one of the watchers of its region.
async fn watch_loop(host: HostRef) {
    loop {
        for address in &host.settings.store {
            if !is_watcher(&host.state.borrow().members) {
                break;
            }
            let after = host.state.borrow().config.complete_revision();
            match store::changes(address, CONFIG_PREFIX, after, Some(WATCH_WAIT)).await {
                Ok(delta) => apply(&host, delta),
                Err(err) => {
                    event!(host.log, STORE_UNAVAILABLE, "error" => %err);
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        if !is_watcher(&host.state.borrow().members) {
            Timer::after(RETRY_DELAY).await;
        }
    }
}

async fn tick_loop(host: HostRef) {
    loop {
        Timer::after(CONFIG_TICK).await;
        step(&host, ConfigInput::Tick);
    }
}

/// Applies changes to the configuration of this host.
pub fn apply(host: &HostRef, delta: ConfigDelta) {
    step(host, ConfigInput::Delta(delta));
}

/// Passes an input to the configuration store and executes its outputs.
pub fn step(host: &HostRef, input: ConfigInput) {
    let outputs = host.state.borrow_mut().config.step(host.now(), input);
    for output in outputs {
        match output {
            ConfigOutput::Pull { host: peer, after } => pull(host, peer, after),
            ConfigOutput::Push(revision) => push(host, revision),
            ConfigOutput::Read { .. } => host.spawn(read(host.clone())),
            ConfigOutput::CompleteRevision(revision) => {
                peer::member_step(host, MemberInput::ConfigRevision(revision));
                event!(host.log, CONFIG_IN_FORCE, "revision" => revision.0);
            }
            ConfigOutput::Changed => {
                pool::assign::assign(host);
                order_sync::update_desired_engines(host);
            }
        }
    }
}

/// Requests the changes after a revision from a peer.
fn pull(host: &HostRef, name: Arc<str>, after: Revision) {
    let address = {
        let state = host.state.borrow();
        let Some(member) = state.members.get(&name) else { return };
        member.peer_address.clone()
    };
    link::get(host, &name, &address).send(PeerFrame::ConfigPull { after });
}

/// Announces a revision to random live peers.
fn push(host: &HostRef, revision: Revision) {
    let peers = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let peers = state.members.live().skip(1).map(|record| record.peer_address.clone());
        state.rng.choose_multiple(peers, PUSH_FANOUT)
    };
    for to in peers {
        peer::send(host, &to, PeerDatagram::ConfigPush(revision));
    }
}

/// Reads the key-value service directly. A host does so about once a minute, in case its peers
/// cannot reach the service.
async fn read(host: HostRef) {
    // If the service does not answer, the current configuration stays in force.
    refresh(&host).await;
}

/// Fetches and applies the changes from the key-value service. Returns whether it answered.
pub async fn refresh(host: &HostRef) -> bool {
    for address in &host.settings.store {
        let after = host.state.borrow().config.complete_revision();
        if let Ok(delta) = store::changes(address, CONFIG_PREFIX, after, None).await {
            apply(host, delta);
            return true;
        }
    }
    false
}
