//! Which engines this host owns, how they fare, and what other hosts are told of their load.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    group::MAX_GROUP_MEMBERS,
    health::{HealthInput, HealthOutput, LeavingSource},
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    placement::{
        EngineLoad, LoadPush, PlacementInput, PlacementOutput, SAMPLE_TICK_PERIOD,
        SUBSCRIPTION_TERM, engine_id, prefix_hashes, serves,
    },
    request::{OrphanInput, StreamEvent},
    resource::{BackendRole, ClientAccount, Rank},
    scheduler::{AccountSpec, EngineReport, EngineSpec, RankSpec, SchedulerInput},
    time::Time,
};

use super::{PoolWork, end, step};
use crate::{
    adapter::engine::{self, EngineAnswer, EngineEvent, EngineOrder},
    event,
    host::{HostRef, HostState},
    peer::{self, datagram::PeerDatagram},
};

const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Above this number of subscribers only every third push is made: at 16, pushes of 132 bytes
/// every 200 ms would take 21 KB/s in and out of the 17 KB/s of a host.
const QUICK_SUBSCRIBERS: usize = 8;
/// Above this number of engines only every second report is read; each takes about 750 bytes.
const QUICK_ENGINES: usize = 3;
/// Reports for one read of cache events, which come late anyway.
const REPORTS_PER_EVENTS: u64 = 5;
/// Time over which changes of membership are taken together. One costs 1.3 ms at 10,000 engines,
/// and the loss of a failure domain brings 440.
const ASSIGN_DELAY: Duration = Duration::from_millis(50);
/// Time between two reads of an engine's load report and cache events.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Subscribers that this host pushes its load to; on average there are 16.
const MAX_SUBSCRIBERS: usize = 64;
/// Time without a word from the host list after which a server is no longer leaving by it.
const LEAVING_LIMIT: Duration = Duration::from_secs(10);
const PROBE_LIMIT: Duration = Duration::from_secs(5);

/// What this host notes about the engines that it owns.
#[derive(Default)]
pub struct EngineNotes {
    subscribers: BTreeMap<Arc<str>, Time>,
    is_assign_due: bool,
    /// Version of the configuration whose servers placement follows.
    servers: Option<u64>,
    /// Engines that the host list names as leaving, with the time of its last word.
    leaving: BTreeMap<EngineKey, Time>,
    /// Number of the last cache event of each engine.
    events: BTreeMap<EngineKey, u64>,
    /// Tokens produced by each request at the last report.
    produced: BTreeMap<WorkKey, u64>,
}

pub(super) fn start(host: &HostRef) {
    host.spawn(load_loop(host.clone()));
    host.spawn(sample_loop(host.clone()));
    host.spawn(report_loop(host.clone()));
}

async fn load_loop(host: HostRef) {
    let mut round = 0u64;
    loop {
        Timer::after(LOAD_PERIOD).await;
        return_unservable(&host);
        push_load(&host, round);
        round += 1;
    }
}

/// Hands back queued requests that no usable engine of this host serves. Entry hosts may send them
/// for a short time after an engine became unusable.
fn return_unservable(host: &HostRef) {
    let unservable: Vec<_> = {
        let state = host.state.borrow();
        let set = state.config.resources();
        let usable = state.pool.owned.iter().filter(|(key, _)| state.health.is_usable(**key));
        let servers: Vec<_> = usable.filter_map(|(_, name)| set.servers.get(name)).collect();
        let is_unservable = |(work, entry): &(&WorkKey, &PoolWork)| {
            state.pool.streams.placed(**work).is_none()
                && !servers.iter().any(|server| serves(server, &entry.order.model))
        };
        state.pool.works.iter().filter(is_unservable).map(|(work, _)| *work).collect()
    };
    for work in unservable {
        end(host, work, StreamEvent::Moved);
        step(host, SchedulerInput::Cancel(work));
    }
}

fn push_load(host: &HostRef, round: u64) {
    let now = host.now();
    let (targets, push) = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let pool = &state.pool;
        let load = |(key, name): (&EngineKey, &Arc<str>)| EngineLoad {
            engine: engine_id(name),
            backlog_tokens: pool.scheduler.backlog_tokens(*key),
            tokens_per_second: state.health.rate(*key) as u32,
            is_usable: state.health.is_usable(*key),
        };
        let owner = state.members.local().name.clone();
        let push = LoadPush { owner, engines: pool.owned.iter().map(load).collect() };
        state.picker.step(now, PlacementInput::Load(push.clone()));
        state.notes.subscribers.retain(|_, until| now < *until);
        let subscribers = &state.notes.subscribers;
        let is_due = subscribers.len() <= QUICK_SUBSCRIBERS || round.is_multiple_of(3);
        let targets: Vec<_> = subscribers.keys().filter(|_| is_due).cloned().collect();
        (targets, push)
    };
    for name in targets {
        peer::send_to(host, &name, PeerDatagram::Load(push.clone()));
    }
}

/// Another host asks for this host's load.
pub fn subscribed(host: &HostRef, name: &Arc<str>) {
    let until = host.now() + SUBSCRIPTION_TERM;
    let subscribers = &mut host.state.borrow_mut().notes.subscribers;
    if subscribers.len() < MAX_SUBSCRIBERS || subscribers.contains_key(name) {
        subscribers.insert(name.clone(), until);
    }
}

async fn sample_loop(host: HostRef) {
    loop {
        let outputs = host.state.borrow_mut().picker.step(host.now(), PlacementInput::Tick);
        for PlacementOutput::Subscribe { owner } in outputs {
            if owner != host.settings.name {
                peer::send_to(&host, &owner, PeerDatagram::LoadSubscribe);
            }
        }
        Timer::after(SAMPLE_TICK_PERIOD).await;
    }
}

/// Calls [`assign`] soon, once for all changes until then.
pub fn assign_soon(host: &HostRef) {
    if std::mem::replace(&mut host.state.borrow_mut().notes.is_assign_due, true) {
        return;
    }
    let host = host.clone();
    host.clone().spawn(async move {
        Timer::after(ASSIGN_DELAY).await;
        host.state.borrow_mut().notes.is_assign_due = false;
        assign(&host);
    });
}

/// Recomputes which engines this host owns, after membership or configuration changed.
pub fn assign(host: &HostRef) {
    let now = host.now();
    let (inputs, health) = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        // Membership changes far more often than the servers, of which there may be 10,000.
        if state.notes.servers != Some(state.config.version()) {
            state.notes.servers = Some(state.config.version());
            state.picker.update_servers(state.config.resources());
        }
        state.picker.update_hosts(&state.members);
        let mut inputs = vec![ranks(state), accounts(state)];
        let (engines, health) = owned_engines(now, state);
        inputs.extend(engines);
        inputs.extend(largest_groups(state));
        (inputs, health)
    };
    for input in inputs {
        step(host, input);
    }
    carry_out(host, health);
}

fn ranks(state: &HostState) -> SchedulerInput {
    let ranks = state.config.resources().ranks.values();
    let spec = |rank: &Rank| RankSpec {
        rank: RankKey(rank.level),
        first_token_target: Duration::from_millis(rank.first_token_ms),
        finish_limit: Duration::from_millis(rank.finish_ms),
        guaranteed_share: f64::from(rank.guaranteed_percent) / 100.0,
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
        let tokens: u64 = pool.iter().take(MAX_GROUP_MEMBERS).sum();
        let most = largest.entry(model).or_default();
        *most = tokens.max(*most);
    }
    let models = &mut state.models;
    let input = |(model, tokens): (Arc<str>, u64)| SchedulerInput::GroupCapacity {
        model: ModelKey(models.intern(&model) as u16),
        tokens,
    };
    largest.into_iter().map(input).collect()
}

fn owned_engines(now: Time, state: &mut HostState) -> (Vec<SchedulerInput>, Vec<HealthOutput>) {
    let (mut inputs, mut health) = (Vec::new(), Vec::new());
    let mut owned = BTreeMap::new();
    let me = state.members.local().name.clone();
    let is_draining = state.is_draining();
    let names: Vec<_> = state.picker.owners().owned_by(&me).cloned().collect();
    for name in names.into_iter().filter(|_| !is_draining) {
        let Some(server) = state.config.resources().servers.get(&name) else { continue };
        let BackendRole::Engine { models, memory_tokens, batch } = &server.role else { continue };
        if server.leaving {
            continue;
        }
        let engine = EngineKey(state.engines.intern(&name));
        let models: Vec<_> =
            models.iter().map(|model| ModelKey(state.models.intern(model) as u16)).collect();
        let pool = models.first().copied().unwrap_or(ModelKey(0));
        health.extend(state.health.step(now, HealthInput::OwnershipGained { engine, pool }));
        let usable = state.health.is_usable(engine);
        owned.insert(engine, name);
        inputs.push(SchedulerInput::EngineAdded(EngineSpec {
            engine,
            models,
            memory_tokens: *memory_tokens,
            batch: *batch,
        }));
        inputs.push(SchedulerInput::EngineUsable { engine, usable });
    }
    for engine in state.pool.owned.keys().filter(|engine| !owned.contains_key(engine)) {
        inputs.push(SchedulerInput::EngineRemoved(*engine));
        health.extend(state.health.step(now, HealthInput::OwnershipLost(*engine)));
        state.notes.events.remove(engine);
        state.pool.orphans.step(now, OrphanInput::OwnershipLost(*engine));
    }
    state.pool.owned = owned;
    (inputs, health)
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

fn health_step(host: &HostRef, input: HealthInput) {
    let outputs = host.state.borrow_mut().health.step(host.now(), input);
    carry_out(host, outputs);
}

fn carry_out(host: &HostRef, outputs: Vec<HealthOutput>) {
    for output in outputs {
        match output {
            HealthOutput::UsabilityChanged { engine, is_usable: usable } => {
                event!(host.log, ENGINE_AVAILABILITY_CHANGED, "engine" => engine.0, "usable" => usable);
                step(host, SchedulerInput::EngineUsable { engine, usable });
            }
            HealthOutput::Probe(engine) => host.spawn(probe(host.clone(), engine)),
        }
    }
}

/// A request failed by the engine's fault. One that does not answer is out at once.
pub(super) fn eject(host: &HostRef, engine: EngineKey) {
    health_step(host, HealthInput::RequestOutcome { engine, is_success: false });
    host.spawn(report(host.clone(), engine));
}

/// A request succeeded on its engine, which now probably holds the prompt's prefixes.
pub(super) fn succeeded(host: &HostRef, work: WorkKey) {
    let placed = {
        let state = host.state.borrow();
        let entry = state.pool.works.get(&work);
        let placed = state.pool.streams.placed(work);
        entry.and_then(|entry| Some((placed?.0, entry.order.prompt.clone())))
    };
    let Some((engine, prompt)) = placed else { return };
    health_step(host, HealthInput::RequestOutcome { engine, is_success: true });
    let mut state = host.state.borrow_mut();
    if let Some(name) = state.engines.name(engine.0).cloned() {
        let served = PlacementInput::Served { engine: name, prefixes: prefix_hashes(&prompt) };
        state.picker.step(host.now(), served);
    }
}

/// The host list, as read by a host that watches it, names servers of this host as leaving.
pub fn leaving(host: &HostRef, names: &[Arc<str>]) {
    let now = host.now();
    for name in names {
        let engine = {
            let mut state = host.state.borrow_mut();
            let Some(engine) = state.engines.get(name).map(EngineKey) else { continue };
            state.notes.leaving.insert(engine, now);
            engine
        };
        let source = LeavingSource::HostList;
        health_step(host, HealthInput::Leaving { engine, source, is_leaving: true });
    }
}

async fn report_loop(host: HostRef) {
    for round in 0u64.. {
        Timer::after(REPORT_PERIOD).await;
        let now = host.now();
        let (owned, stayed) = {
            let mut state = host.state.borrow_mut();
            let leaving = &mut state.notes.leaving;
            let is_over = |since: &Time| now.since(*since) > LEAVING_LIMIT;
            let stayed: Vec<_> =
                leaving.iter().filter(|(_, since)| is_over(since)).map(|(key, _)| *key).collect();
            leaving.retain(|_, since| !is_over(since));
            (state.pool.owned.keys().copied().collect::<Vec<_>>(), stayed)
        };
        for engine in stayed {
            let source = LeavingSource::HostList;
            health_step(&host, HealthInput::Leaving { engine, source, is_leaving: false });
        }
        measure(&host);
        let is_due = owned.len() <= QUICK_ENGINES || round.is_multiple_of(2);
        for engine in owned.into_iter().filter(|_| is_due) {
            host.spawn(report(host.clone(), engine));
            if round.is_multiple_of(REPORTS_PER_EVENTS) {
                host.spawn(read_events(host.clone(), engine));
            }
        }
        health_step(&host, HealthInput::Tick);
    }
}

/// Measures the rate of each engine from its streams that ran during the whole period.
fn measure(host: &HostRef) {
    let now = host.now();
    let mut inputs = Vec::new();
    {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let before = std::mem::take(&mut state.notes.produced);
        let mut streams: BTreeMap<EngineKey, (u64, u64)> = BTreeMap::new();
        for work in state.pool.works.keys() {
            let Some((engine, _)) = state.pool.streams.placed(*work) else { continue };
            let now_produced = state.pool.streams.next_offset(*work);
            if let Some(produced) = before.get(work).filter(|produced| **produced > 0) {
                let (tokens, count) = streams.entry(*engine).or_default();
                *tokens += now_produced.saturating_sub(*produced);
                *count += 1;
            }
            state.notes.produced.insert(*work, now_produced);
        }
        for (engine, (tokens, count)) in streams {
            let server = state.engines.name(engine.0);
            let server = server.and_then(|name| state.config.resources().servers.get(name));
            let Some(BackendRole::Engine { batch, .. }) = server.map(|server| &server.role) else {
                continue;
            };
            // Engines are compared by a full batch, as few streams make any engine look slow.
            let rate = tokens as f64 / count as f64 * f64::from(*batch);
            inputs.push(HealthInput::RateSample { engine, rate });
        }
        let loads: Vec<_> = state.picker.fresh_loads(now).collect();
        for (name, load) in loads {
            let Some(server) = state.config.resources().servers.get(name) else { continue };
            let BackendRole::Engine { models, .. } = &server.role else { continue };
            let Some(model) = models.first() else { continue };
            let engine = EngineKey(state.engines.intern(name));
            if state.pool.owned.contains_key(&engine) {
                continue;
            }
            let pool = ModelKey(state.models.intern(model) as u16);
            let (rate, is_usable) = (f64::from(load.tokens_per_second), load.is_usable);
            inputs.push(HealthInput::RemoteReport { engine, pool, rate, is_usable });
        }
    }
    for input in inputs {
        health_step(host, input);
    }
}

fn engine_address(host: &HostRef, engine: EngineKey) -> Option<(Arc<str>, Arc<str>)> {
    let state = host.state.borrow();
    let name = state.engines.name(engine.0)?;
    let server = state.config.resources().servers.get(name)?;
    Some((name.clone(), server.address.clone()))
}

/// Reads an engine's load report.
async fn report(host: HostRef, engine: EngineKey) {
    let Some((_, address)) = engine_address(&host, engine) else { return };
    let answer = engine::load(&address).await;
    let is_answering = answer.is_ok();
    health_step(&host, HealthInput::Answering { engine, is_answering });
    let Ok(load) = answer else { return };
    let source = LeavingSource::Report;
    health_step(&host, HealthInput::Leaving { engine, source, is_leaving: load.leaving });
    let report = EngineReport {
        held_tokens: load.held_tokens,
        running: load.running,
        waiting: load.waiting,
        leaving: load.leaving,
    };
    step(&host, SchedulerInput::Report { engine, report });
}

/// Reads an engine's cache events.
async fn read_events(host: HostRef, engine: EngineKey) {
    let Some((name, address)) = engine_address(&host, engine) else { return };
    let after = host.state.borrow().notes.events.get(&engine).copied().unwrap_or(0);
    let Ok(events) = engine::cache_events(&address, after).await else { return };
    let mut state = host.state.borrow_mut();
    for event in events {
        state.notes.events.insert(engine, event.sequence);
        state.picker.step(host.now(), PlacementInput::Cache { engine: name.clone(), event });
    }
}

/// Sends one small request to an ejected engine.
async fn probe(host: HostRef, engine: EngineKey) {
    let Some((name, address)) = engine_address(&host, engine) else { return };
    let (model, number) = {
        let mut state = host.state.borrow_mut();
        let server = state.config.resources().servers.get(&name);
        let Some(BackendRole::Engine { models, .. }) = server.map(|server| server.role.clone())
        else {
            return;
        };
        (models.first().cloned(), state.rng.u64(..))
    };
    let order = EngineOrder {
        stream: format!("probe-{number:016x}").into(),
        model: model.unwrap_or_else(|| "".into()),
        prompt: "probe".into(),
        offset: 0,
        max_tokens: 1,
        priority: 0,
        owner: host.settings.name.clone(),
        time_left: PROBE_LIMIT,
    };
    let run = async {
        let EngineAnswer::Stream(mut stream) = engine::submit(&address, &order).await? else {
            return Ok(false);
        };
        loop {
            if let EngineEvent::End { complete } = stream.next().await? {
                return Ok(complete);
            }
        }
    };
    let is_success = crate::http::with_timeout(PROBE_LIMIT, run).await.unwrap_or(false);
    health_step(&host, HealthInput::ProbeResult { engine, is_success });
}
