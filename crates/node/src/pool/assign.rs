//! Which engines this host owns, and what other hosts are told of their load.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    key::{EngineKey, ModelKey},
    placement::{EngineLoad, engine_owner},
    request::{OrphanInput, StreamEvent},
    resource::BackendRole,
    scheduler::{EngineSpec, SchedulerInput},
    time::Time,
};
use slog::info;

use super::{end, step};
use crate::{
    host::{HostRef, HostState},
    peer::{self, PeerDatagram},
};

const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Time for which an engine that failed gets no work.
const EJECTION: Duration = Duration::from_secs(5);

pub(super) async fn load_loop(host: HostRef) {
    loop {
        Timer::after(LOAD_PERIOD).await;
        push_load(&host);
    }
}

fn push_load(host: &HostRef) {
    let (targets, loads) = {
        let mut state = host.state.borrow_mut();
        let pool = &state.pool;
        let load = |(key, name): (&EngineKey, &Arc<str>)| EngineLoad {
            engine: name.clone(),
            tokens: pool.scheduler.load(*key),
        };
        let loads: Vec<_> = pool.owned.iter().map(load).collect();
        let targets: Vec<_> =
            state.members.live().skip(1).map(|member| member.peer_address.clone()).collect();
        loads.iter().for_each(|load| state.picker.report(load.clone()));
        (targets, loads)
    };
    for to in targets {
        peer::send(host, &to, &PeerDatagram::Load(loads.clone()));
    }
}

/// Recomputes which engines this host owns, after membership or configuration changed.
pub fn assign(host: &HostRef) {
    let inputs = {
        let mut state = host.state.borrow_mut();
        let draining = host.is_draining_in(&state);
        owned_engines(&mut state, host.now(), draining)
    };
    for input in inputs {
        step(host, input);
    }
}

fn owned_engines(state: &mut HostState, now: Time, draining: bool) -> Vec<SchedulerInput> {
    let mut inputs = Vec::new();
    let mut owned = BTreeMap::new();
    let me = state.members.me().name.clone();
    for (name, server) in &state.config.resources().servers {
        let BackendRole::Engine { models, memory_tokens, batch } = &server.role else { continue };
        let owner = engine_owner(&state.members, name, server);
        if draining || server.leaving || owner.is_none_or(|owner| owner.name != me) {
            continue;
        }
        let engine = EngineKey(state.engines.intern(name));
        let models = models.iter().map(|model| ModelKey(state.models.intern(model) as u16));
        owned.insert(engine, name.clone());
        inputs.push(SchedulerInput::EngineAdded(EngineSpec {
            engine,
            models: models.collect(),
            memory_tokens: *memory_tokens,
            batch: *batch,
        }));
    }
    let gone = state.pool.owned.keys().filter(|engine| !owned.contains_key(engine));
    for engine in gone {
        inputs.push(SchedulerInput::EngineRemoved(*engine));
        state.pool.orphans.step(now, OrphanInput::Gone(*engine));
    }
    state.pool.owned = owned;
    inputs
}

/// Hands queued requests back to their entry hosts.
pub fn hand_back(host: &HostRef) {
    assign(host);
    let queued: Vec<_> = {
        let state = host.state.borrow();
        let pool = &state.pool;
        let works = pool.works.keys().copied();
        works.filter(|work| pool.streams.placed(*work).is_none()).collect()
    };
    for work in queued {
        end(host, work, StreamEvent::Moved);
        step(host, SchedulerInput::Cancel(work));
    }
}

pub(super) fn eject(host: &HostRef, engine: EngineKey) {
    info!(host.log, "engine ejected"; "event" => "E1301", "engine" => engine.0);
    step(host, SchedulerInput::EngineUsable { engine, usable: false });
    let host = host.clone();
    host.clone().spawn(async move {
        Timer::after(EJECTION).await;
        step(&host, SchedulerInput::EngineUsable { engine, usable: true });
    });
}
