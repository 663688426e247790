//! Which engines this host owns, and what other hosts are told of their load.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    group::MAX_MEMBERS,
    key::{AccountKey, EngineKey, ModelKey, RankKey},
    placement::{EngineLoad, engine_owner},
    resource::{BackendRole, ClientAccount, Rank},
    scheduler::{AccountSpec, EngineSpec, RankSpec, SchedulerInput},
};
use slog::info;

use super::{finish, step};
use crate::{
    host::{HostRef, HostState},
    peer::{self, PeerDatagram, frame::StreamEvent},
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
        let mut inputs = vec![ranks(&state), accounts(&mut state)];
        inputs.extend(owned_engines(&mut state, draining));
        inputs.extend(largest_groups(&mut state));
        inputs
    };
    for input in inputs {
        step(host, input);
    }
}

fn ranks(state: &HostState) -> SchedulerInput {
    let ranks = state.config.resources().ranks.values();
    let spec = |rank: &Rank| RankSpec {
        rank: RankKey(rank.level),
        first_token: Duration::from_millis(rank.first_token_ms),
        finish: Duration::from_millis(rank.finish_ms),
        guaranteed: f64::from(rank.guaranteed_percent) / 100.0,
        tokens_per_second: None,
        memory_tokens: None,
    };
    SchedulerInput::Ranks(ranks.map(spec).collect())
}

fn accounts(state: &mut HostState) -> SchedulerInput {
    let accounts = state.config.resources().accounts.iter();
    let names = &mut state.accounts;
    let spec = |(name, account): (&Arc<str>, &ClientAccount)| AccountSpec {
        account: AccountKey(names.intern(name)),
        weight: account.weight,
        tokens_per_second: account.tokens_per_second,
        memory_tokens: account.memory_tokens,
    };
    SchedulerInput::Accounts(accounts.map(spec).collect())
}

/// The memory of the largest group that each model's engines can form in one region.
fn largest_groups(state: &mut HostState) -> Vec<SchedulerInput> {
    let set = state.config.resources();
    let mut regions: BTreeMap<(Arc<str>, Arc<str>), Vec<u64>> = BTreeMap::new();
    for server in set.servers.values().filter(|server| !server.leaving) {
        let BackendRole::Engine { models, memory_tokens, .. } = &server.role else { continue };
        for model in models {
            let pool = regions.entry((model.clone(), server.region.clone())).or_default();
            pool.push(*memory_tokens);
        }
    }
    let mut largest: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    for ((model, _), mut pool) in regions {
        pool.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
        let tokens: u64 = pool.iter().take(MAX_MEMBERS).sum();
        let most = largest.entry(model).or_default();
        *most = tokens.max(*most);
    }
    let models = &mut state.models;
    let input = |(model, tokens): (Arc<str>, u64)| SchedulerInput::Groups {
        model: ModelKey(models.intern(&model) as u16),
        tokens,
    };
    largest.into_iter().map(input).collect()
}

fn owned_engines(state: &mut HostState, draining: bool) -> Vec<SchedulerInput> {
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
    inputs.extend(gone.map(|engine| SchedulerInput::EngineRemoved(*engine)));
    state.pool.owned = owned;
    inputs
}

/// Hands queued requests back to their entry hosts.
pub fn hand_back(host: &HostRef) {
    assign(host);
    let queued: Vec<_> = {
        let state = host.state.borrow();
        let works = state.pool.works.iter();
        works.filter(|(_, entry)| entry.placed.is_none()).map(|(work, _)| *work).collect()
    };
    for work in queued {
        finish(host, work, StreamEvent::Moved);
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
