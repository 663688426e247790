//! Engine ownership: determines which engines this host owns, monitors their health and publishes
//! their load to subscribed hosts.

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
    adapter::engine::{self, EngineAnswer, EngineEvent, EngineNotice, EngineOrder},
    event,
    host::{HostRef, HostState},
    peer::{self, datagram::PeerDatagram},
};

/// Time between two load pushes.
const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Above this number of subscribers, only every third push is sent: for 16 subscribers, pushes of
/// 132 bytes every 200 ms would take 21 KB/s, in and out, of a host's budget of 17 KB/s.
const FULL_RATE_SUBSCRIBERS: usize = 8;
/// Above this number of owned engines, reports are read only in every other period; each takes
/// about 750 bytes.
const FULL_RATE_ENGINES: usize = 3;
/// Report periods per read of cache events. Engines publish these events with a delay, so more
/// frequent reads would gain little.
const REPORTS_PER_EVENT_READ: u64 = 5;
/// Time over which membership changes are batched into one reassignment. A reassignment takes
/// 1.3 ms at 10,000 engines, and the loss of a failure domain causes 440 changes.
const ASSIGN_DELAY: Duration = Duration::from_millis(50);
/// Time between two reads of an engine's load report and cache events.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Most subscribers that this host pushes its load to; the average is 16.
const MAX_SUBSCRIBERS: usize = 64;
/// Time after which a leaving mark from the host list expires unless it is renewed.
const LEAVING_TERM: Duration = Duration::from_secs(10);
/// Time within which a probe must complete to succeed.
const PROBE_LIMIT: Duration = Duration::from_secs(5);

/// State that this host keeps as the owner of engines, apart from the request queue.
#[derive(Default)]
pub struct OwnerState {
    /// Hosts that subscribed to this host's load, with the expiry of each subscription.
    subscribers: BTreeMap<Arc<str>, Time>,
    is_assign_due: bool,
    /// Configuration version whose servers the picker holds; `None` before the first assignment.
    servers_version: Option<u64>,
    /// Engines that the host list names as leaving, with the time of the last such notice.
    leaving: BTreeMap<EngineKey, Time>,
    /// Sequence number of the last cache event read from each engine.
    event_sequences: BTreeMap<EngineKey, u64>,
    /// Stream position of each placed request at the last rate measurement.
    produced: BTreeMap<WorkKey, u64>,
}

pub(super) fn start(host: &HostRef) {
    host.spawn(push_loop(host.clone()));
    host.spawn(sample_loop(host.clone()));
    host.spawn(report_loop(host.clone()));
}

async fn push_loop(host: HostRef) {
    let mut round = 0u64;
    loop {
        Timer::after(LOAD_PERIOD).await;
        return_unservable(&host);
        push_load(&host, round);
        round += 1;
    }
}

/// Returns queued requests whose model no usable owned engine serves to their entry hosts, which
/// may keep sending such requests for a short time after an engine became unusable.
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
        let is_due = subscribers.len() <= FULL_RATE_SUBSCRIBERS || round.is_multiple_of(3);
        let targets: Vec<_> = subscribers.keys().filter(|_| is_due).cloned().collect();
        (targets, push)
    };
    for name in targets {
        peer::send_to(host, &name, PeerDatagram::Load(push.clone()));
    }
}

/// Adds or renews another host's load subscription. Above `MAX_SUBSCRIBERS`, new subscribers are
/// ignored.
pub fn add_subscriber(host: &HostRef, name: &Arc<str>) {
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

/// Schedules [`assign`] after `ASSIGN_DELAY`. Calls made during the delay share one run.
pub fn schedule_assign(host: &HostRef) {
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

/// Recomputes which engines this host owns and updates the scheduler's engines, ranks and accounts.
/// Called after a change of membership or configuration.
pub fn assign(host: &HostRef) {
    let now = host.now();
    let (inputs, health) = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        // The servers, of which there may be 10,000, are reloaded only for a new configuration
        // version, because membership changes far more often.
        if state.notes.servers_version != Some(state.config.version()) {
            state.notes.servers_version = Some(state.config.version());
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

/// For each model, the memory in tokens of the largest group that its engines can form within one
/// region.
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
        let capacity = largest.entry(model).or_default();
        *capacity = tokens.max(*capacity);
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
    let local_name = state.members.local().name.clone();
    let is_draining = state.is_draining();
    let names: Vec<_> = state.picker.owners().owned_by(&local_name).cloned().collect();
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
        state.notes.event_sequences.remove(engine);
        state.pool.orphans.step(now, OrphanInput::OwnershipLost(*engine));
    }
    state.pool.owned = owned;
    (inputs, health)
}

/// Reassigns engines and returns all queued requests to their entry hosts, which forward them to
/// another engine.
pub fn return_queued(host: &HostRef) {
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

/// Records a request failure caused by the engine and reads its load report at once, so that an
/// engine that does not answer becomes unusable without waiting for the next period.
pub(super) fn record_failure(host: &HostRef, engine: EngineKey) {
    health_step(host, HealthInput::RequestOutcome { engine, is_success: false });
    host.spawn(report(host.clone(), engine));
}

/// Records a request's success on its engine, and that the engine's cache now probably holds the
/// prompt's prefixes.
pub(super) fn record_success(host: &HostRef, work: WorkKey) {
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

/// Marks engines as leaving because the host list, read by one of the hosts that watch it, names
/// them so. Unknown names are ignored.
pub fn mark_leaving(host: &HostRef, names: &[Arc<str>]) {
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
        let (owned, expired) = {
            let mut state = host.state.borrow_mut();
            let leaving = &mut state.notes.leaving;
            let is_expired = |since: &Time| now.since(*since) > LEAVING_TERM;
            let expired: Vec<_> = leaving
                .iter()
                .filter(|(_, since)| is_expired(since))
                .map(|(key, _)| *key)
                .collect();
            leaving.retain(|_, since| !is_expired(since));
            (state.pool.owned.keys().copied().collect::<Vec<_>>(), expired)
        };
        for engine in expired {
            let source = LeavingSource::HostList;
            health_step(&host, HealthInput::Leaving { engine, source, is_leaving: false });
        }
        sample_rates(&host);
        let is_due = owned.len() <= FULL_RATE_ENGINES || round.is_multiple_of(2);
        for engine in owned.into_iter().filter(|_| is_due) {
            host.spawn(report(host.clone(), engine));
            if round.is_multiple_of(REPORTS_PER_EVENT_READ) {
                host.spawn(read_events(host.clone(), engine));
            }
        }
        health_step(&host, HealthInput::Tick);
    }
}

/// Samples the token rate of each engine from the streams that ran during the whole period, and
/// passes the rates that other owners report to the health tracker for comparison.
fn sample_rates(host: &HostRef) {
    let now = host.now();
    let mut inputs = Vec::new();
    {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let before = std::mem::take(&mut state.notes.produced);
        let mut streams: BTreeMap<EngineKey, (u64, u64)> = BTreeMap::new();
        for work in state.pool.works.keys() {
            let Some((engine, _)) = state.pool.streams.placed(*work) else { continue };
            let position = state.pool.streams.next_offset(*work);
            if let Some(produced) = before.get(work).filter(|produced| **produced > 0) {
                let (tokens, count) = streams.entry(*engine).or_default();
                *tokens += position.saturating_sub(*produced);
                *count += 1;
            }
            state.notes.produced.insert(*work, position);
        }
        for (engine, (tokens, count)) in streams {
            let server = state.engines.name(engine.0);
            let server = server.and_then(|name| state.config.resources().servers.get(name));
            let Some(BackendRole::Engine { batch, .. }) = server.map(|server| &server.role) else {
                continue;
            };
            // Scaled to a full batch, because an engine with few streams would look slow.
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

/// Passes what an engine said of itself in an answer to the health tracker.
pub(super) fn apply_notice(host: &HostRef, engine: EngineKey, notice: EngineNotice) {
    let source = LeavingSource::Answer;
    let leaving =
        notice.is_leaving.then_some(HealthInput::Leaving { engine, source, is_leaving: true });
    let paused = notice.pause.map(|pause| HealthInput::Paused { engine, pause });
    for input in leaving.into_iter().chain(paused) {
        let outputs = host.state.borrow_mut().health.step(host.now(), input);
        if !outputs.is_empty() {
            event!(host.log, ENGINE_NOTICE_RECEIVED, "engine" => engine.0,
                "leaving" => notice.is_leaving,
                "pause_ms" => notice.pause.map_or(0, |pause| pause.as_millis() as u64));
        }
        carry_out(host, outputs);
    }
}

/// Reads an engine's load report and passes it to the health tracker and the scheduler.
async fn report(host: HostRef, engine: EngineKey) {
    let Some((_, address)) = engine_address(&host, engine) else { return };
    let answer = engine::load_report(&address).await;
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

/// Reads the cache events that an engine has published since the last read.
async fn read_events(host: HostRef, engine: EngineKey) {
    let Some((name, address)) = engine_address(&host, engine) else { return };
    let after = host.state.borrow().notes.event_sequences.get(&engine).copied().unwrap_or(0);
    let Ok(events) = engine::cache_events(&address, after).await else { return };
    let mut state = host.state.borrow_mut();
    for event in events {
        state.notes.event_sequences.insert(engine, event.sequence);
        state.picker.step(host.now(), PlacementInput::Cache { engine: name.clone(), event });
    }
}

/// Sends one small request to an ejected engine and reports the result to the health tracker.
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
        let (answer, notice) = engine::submit(&address, &order).await?;
        apply_notice(&host, engine, notice);
        let EngineAnswer::Stream(mut stream) = answer else {
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
