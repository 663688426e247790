//! Decides to which backend server each request goes, when, and which are refused.
//!
//! Owns the requests of this host that wait, the view of all hosts' work and the table of backend
//! servers. Each host decides for its own requests with the same view and the same order, so hosts
//! agree without asking one another. When a peer's news stops, its work is assumed to go on for a
//! while and then forgotten.
//!
//! The pattern it answers: long prompts among steady short ones. Short requests gather on engines
//! that write short answers; long prompts get engines on which they delay nobody, and wait for one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::{key, message, value};

use crate::{
    catalog::ServingService,
    fleet::{EngineEntry, EngineOpinion, EngineTag, EngineVerdict, FleetTable, hash_name},
    refusal::Reason,
    roster::HostTag,
    time::Time,
    work::{WorkEntry, WorkNeed, WorkNews, WorkNumber, WorkPhase, WorkView},
};

mod forecast;
#[cfg(test)]
mod tests;

pub use forecast::{EngineForecast, EngineLoad, PassModel, collect_loads};

/// Time between two [`DispatchInput::Tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Cost of a placement, in requests made late, from which on waiting for a better one pays.
const WAIT_COST: f64 = 0.5;
/// How closely short requests gather: the part of the first aim that their forecast may use, and the
/// part of the slots that is filled, before they spread.
const LOOSE_GATHERING: (f64, f64) = (0.4, 0.45);
/// The same while long prompts wait for an engine.
const CLOSE_GATHERING: (f64, f64) = (0.5, 0.7);
/// Part of the first aim that reading on one engine may take before a prompt is split.
const SPLIT_SHARE: f64 = 0.6;
/// Most engines that read one prompt.
const MAX_PARTS: usize = 6;
/// Part of an engine's memory that is planned with.
const MEMORY_SHARE: f64 = 0.96;
/// Requests made late that a long prompt may cost when it cannot wait any longer.
const LAST_COST: f64 = 3.0;
/// Time before the last possible start at which a request that still waits is decided.
const DECIDE_AHEAD: Duration = Duration::from_millis(150);
/// Least time a first event is waited for beyond its forecast before another engine is asked.
const FIRST_GRACE: Duration = Duration::from_millis(500);
/// Aims of a plain request after which another server is asked.
const PLAIN_AIMS: f64 = 2.0;
/// Least pause between two events after which another engine is asked.
const GAP_GRACE: Duration = Duration::from_millis(900);
/// When a refused request may come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Latest time to come back that is told: floods last seconds, and the forecast is no better.
const LAST_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Input of [`Dispatcher::step`].
#[value]
pub enum DispatchInput {
    /// Time passed.
    Tick,
    /// The services in force.
    Services(BTreeMap<Arc<str>, ServingService>),
    /// A request arrived or needs another attempt.
    Submit {
        /// Its number.
        number: WorkNumber,
        /// Service.
        service: Arc<str>,
        /// What it asks for.
        need: WorkNeed,
        /// When its caller sent it first to this host.
        arrived: Time,
        /// When its answer must have begun.
        deadline: Time,
        /// Backend servers that must not get it.
        excluded: Vec<EngineTag>,
    },
    /// The first part of the answer came.
    Begun(WorkNumber),
    /// The request ended, however.
    Ended(WorkNumber),
    /// An attempt at a backend server ended.
    Judged {
        /// Server.
        engine: EngineTag,
        /// How.
        verdict: EngineVerdict,
    },
    /// Time between two events of an answer.
    Paced {
        /// Server.
        engine: EngineTag,
        /// The time.
        gap: Duration,
    },
    /// A peer's news arrived.
    Heard {
        /// Peer.
        host: HostTag,
        /// Its process.
        incarnation: u64,
        /// Its work.
        news: WorkNews,
        /// What it thinks of backend servers.
        opinions: Vec<EngineOpinion>,
    },
    /// Discovery was read as a whole.
    Listed {
        /// The entries.
        entries: Vec<EngineEntry>,
        /// The store's revision.
        revision: u64,
    },
    /// Discovery shows one entry.
    Changed(EngineEntry),
    /// Discovery no longer shows an instance.
    Removed {
        /// The instance.
        id: Arc<str>,
        /// The store's revision.
        revision: u64,
    },
    /// The store was lost or regained.
    Store {
        /// Whether it is lost.
        is_lost: bool,
    },
}

/// One engine beside the first that reads a part of a prompt.
#[message]
pub struct HelperPart {
    /// Engine.
    pub engine: EngineTag,
    /// Memory to set aside there, in tokens, if the first engine's does not suffice.
    pub tokens: Option<u32>,
}

/// Why a place was chosen; for the log.
#[value]
pub struct PlaceReason {
    /// Forecast of the time to the first event.
    pub first_ms: u32,
    /// Requests that it makes late.
    pub harmed: u32,
    /// Estimated chance that the server fails.
    pub failure_percent: u32,
    /// Requests on the server.
    pub requests: u32,
    /// Servers that were weighed.
    pub weighed: u32,
}

/// Output of [`Dispatcher::step`].
#[value]
pub enum DispatchOutput {
    /// Send the request.
    Assign {
        /// Request.
        number: WorkNumber,
        /// Backend server.
        engine: EngineTag,
        /// Engines that read parts.
        helpers: Vec<HelperPart>,
        /// Time for the first event, after which another engine may be asked.
        first_limit: Duration,
        /// Longest pause between events, after which another engine may be asked.
        gap_limit: Duration,
        /// Why.
        reason: PlaceReason,
    },
    /// Refuse the request; it was not sent.
    Refuse {
        /// Request.
        number: WorkNumber,
        /// Why.
        reason: Reason,
        /// When it may come back.
        retry_after: Duration,
    },
    /// A backend server is gone; its connections are of no use.
    Gone(EngineTag),
    /// A backend server is new, leaves or started again.
    EngineChanged(EngineTag),
}

#[value]
struct WaitingWork {
    service: Arc<str>,
    deadline: Time,
    excluded: Vec<EngineTag>,
}

#[key]
enum PlaceDecision {
    Now,
    Later,
    Never,
}

#[value]
struct PlaceChoice {
    engine: EngineTag,
    helpers: Vec<HelperPart>,
    forecast: EngineForecast,
    cost: f64,
    failure: f64,
    requests: usize,
    weighed: usize,
}

/// Places requests on backend servers.
#[derive(Default)]
pub struct Dispatcher {
    /// Work of all hosts.
    pub view: WorkView,
    /// Backend servers.
    pub fleet: FleetTable,
    failure_domain: Arc<str>,
    services: BTreeMap<Arc<str>, ServingService>,
    models: BTreeMap<u64, Option<PassModel>>,
    waiting: BTreeMap<WorkNumber, WaitingWork>,
}

impl Dispatcher {
    /// A dispatcher of a host in this failure domain.
    pub fn new(failure_domain: Arc<str>) -> Dispatcher {
        Dispatcher { failure_domain, ..Dispatcher::default() }
    }

    /// Requests of this host that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an input and decides.
    pub fn step(&mut self, now: Time, input: DispatchInput) -> Vec<DispatchOutput> {
        let mut outputs = Vec::new();
        match input {
            DispatchInput::Tick => {
                self.view.forget(now);
                outputs.extend(self.fleet.expire(now).into_iter().map(DispatchOutput::Gone));
            }
            DispatchInput::Services(services) => {
                self.models = services
                    .values()
                    .map(|service| (hash_name(&service.name), service.pass.clone()))
                    .collect();
                self.services = services;
            }
            DispatchInput::Submit { number, service, need, arrived, deadline, excluded } => {
                let entry = WorkEntry {
                    need,
                    phase: WorkPhase::Waiting,
                    engines: Vec::new(),
                    arrived,
                    since: now,
                };
                self.view.set(number, entry);
                self.waiting.insert(number, WaitingWork { service, deadline, excluded });
            }
            DispatchInput::Begun(number) => self.view.update(number, |entry| {
                entry.phase = WorkPhase::Writing;
                entry.since = now;
            }),
            DispatchInput::Ended(number) => {
                self.waiting.remove(&number);
                self.view.end(number);
            }
            DispatchInput::Judged { engine, verdict } => {
                self.fleet.judge(now, engine, verdict);
            }
            DispatchInput::Paced { engine, gap } => self.note_pace(now, engine, gap),
            DispatchInput::Heard { host, incarnation, news, opinions } => {
                self.view.hear(now, host, incarnation, news);
                for opinion in &opinions {
                    self.fleet.hear(now, opinion);
                }
            }
            DispatchInput::Listed { entries, revision } => {
                let known: BTreeSet<_> = self.fleet.iter().map(|(tag, _)| tag).collect();
                let tags: Vec<_> = entries.iter().map(EngineEntry::tag).collect();
                outputs.extend(
                    self.fleet.list(now, entries, revision).into_iter().map(DispatchOutput::Gone),
                );
                let new = tags.into_iter().filter(|tag| !known.contains(tag));
                outputs.extend(new.map(DispatchOutput::EngineChanged));
            }
            DispatchInput::Changed(entry) => {
                let tag = entry.tag();
                if self.fleet.change(now, entry) {
                    outputs.push(DispatchOutput::EngineChanged(tag));
                }
            }
            DispatchInput::Removed { id, revision } => {
                let tag = EngineTag(hash_name(&id));
                if self.fleet.remove(now, tag, revision) {
                    outputs.push(DispatchOutput::Gone(tag));
                }
            }
            DispatchInput::Store { is_lost } => self.fleet.note_store(now, is_lost),
        }
        if !self.waiting.is_empty() {
            self.decide(now, &mut outputs);
        }
        outputs
    }

    /// Compares a gap between events with the model. While prompts are read the gap tells nothing.
    fn note_pace(&mut self, now: Time, engine: EngineTag, gap: Duration) {
        let Some(record) = self.fleet.get(engine) else { return };
        let service = hash_name(&record.entry.service);
        let Some(model) = self.models.get(&service).and_then(Option::as_ref) else { return };
        let loads = collect_loads(now, &self.view, &self.fleet, &self.models);
        let expected = loads.get(&engine).and_then(|load| load.pass_ms(model));
        if let Some(expected) = expected {
            self.fleet.measure(now, engine, gap.as_secs_f64() * 1e3 / expected);
        }
    }

    /// Goes through all waiting work, most urgent first, and places this host's. Within a rank, what
    /// can still be on time goes before what is late already: otherwise everyone is late as long as
    /// more comes than can be served.
    fn decide(&mut self, now: Time, outputs: &mut Vec<DispatchOutput>) {
        let mut loads = collect_loads(now, &self.view, &self.fleet, &self.models);
        let mut ahead_ms = 0.0;
        let queue = self.queue(now);
        let is_long = |need: &WorkNeed| {
            let model = self.models.get(&need.service).and_then(Option::as_ref);
            model.is_some_and(|model| model.is_long(need))
        };
        let has_long = queue.iter().any(|(_, _, entry)| is_long(&entry.need));
        let gathering = if has_long { CLOSE_GATHERING } else { LOOSE_GATHERING };
        for (host, number, entry) in queue {
            let work = if host.is_none() { self.waiting.get(&number).cloned() } else { None };
            let service = match &work {
                Some(work) => work.service.clone(),
                None => match self.service_of(entry.need.service) {
                    Some(service) => service,
                    None => continue,
                },
            };
            let excluded = work.as_ref().map_or(&[][..], |work| &work.excluded);
            let choice = self.choose(now, &service, &entry, excluded, &loads, gathering);
            let deadline = work.as_ref().map(|work| work.deadline);
            let turn_ms = self.turn_after(&service, &entry.need, &loads, ahead_ms);
            let decision = self.weigh(now, &service, &entry, choice.as_ref(), deadline, turn_ms);
            match (decision, choice) {
                (PlaceDecision::Now, Some(choice)) => {
                    let placed = self.add_placed(now, &entry, &choice, &mut loads);
                    if work.is_some() {
                        self.waiting.remove(&number);
                        self.view.set(number, placed);
                        outputs.push(assignment(number, &entry.need, choice));
                    }
                }
                (PlaceDecision::Never, _) if work.is_some() => {
                    outputs.push(self.refuse(number, &service, turn_ms));
                }
                _ => ahead_ms += self.work_ms(&entry.need),
            }
        }
    }

    /// All waiting work in the order in which it is placed.
    fn queue(&self, now: Time) -> Vec<(Option<HostTag>, WorkNumber, WorkEntry)> {
        let mut queue: Vec<_> = self
            .view
            .all()
            .filter(|(_, _, entry)| entry.phase == WorkPhase::Waiting)
            .map(|(host, number, entry)| (host, number, entry.clone()))
            .collect();
        let is_late = |entry: &WorkEntry| {
            let model = self.models.get(&entry.need.service).and_then(Option::as_ref);
            let read_ms = model.map_or(0.0, |model| model.read_ms(entry.need.prompt));
            let waited_ms = now.since(entry.arrived).as_secs_f64() * 1e3;
            waited_ms + read_ms > f64::from(entry.need.first_aim_ms)
        };
        queue.sort_by_key(|(host, number, entry)| {
            (entry.need.priority, is_late(entry), entry.arrived, *host, *number)
        });
        queue
    }

    /// Time that one engine needs for a request.
    fn work_ms(&self, need: &WorkNeed) -> f64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        model.map_or(0.0, |model| {
            model.read_ms(need.prompt) + model.write_ms(need.prompt, need.answer)
        })
    }

    fn refuse(&mut self, number: WorkNumber, service: &str, turn_ms: f64) -> DispatchOutput {
        self.waiting.remove(&number);
        self.view.end(number);
        let has_server = self.fleet.usable(service).next().is_some();
        let reason = if has_server { Reason::Overloaded } else { Reason::NoEngine };
        let turn = Duration::from_secs_f64(turn_ms / 1e3);
        let retry_after = turn.clamp(RETRY_AFTER, LAST_RETRY_AFTER);
        DispatchOutput::Refuse { number, reason, retry_after }
    }

    /// Adds a request to the loads of its engines.
    fn add_placed(
        &self,
        now: Time,
        entry: &WorkEntry,
        choice: &PlaceChoice,
        loads: &mut BTreeMap<EngineTag, EngineLoad>,
    ) -> WorkEntry {
        let placed = self.placed_entry(now, entry, choice);
        let model = self.models.get(&entry.need.service).and_then(Option::as_ref);
        for (index, tag) in placed.engines.iter().enumerate() {
            let pace = self.fleet.get(*tag).map_or(1.0, |record| record.pace(now));
            loads.entry(*tag).or_default().add(model, &placed, pace, index == 0, now);
        }
        placed
    }

    fn service_of(&self, hash: u64) -> Option<Arc<str>> {
        self.services.keys().find(|name| hash_name(name) == hash).cloned()
    }

    fn placed_entry(&self, now: Time, entry: &WorkEntry, choice: &PlaceChoice) -> WorkEntry {
        let helpers = choice.helpers.iter().map(|helper| helper.engine);
        WorkEntry {
            phase: WorkPhase::Sent,
            engines: std::iter::once(choice.engine).chain(helpers).collect(),
            since: now,
            ..entry.clone()
        }
    }

    /// The server with the least cost, or `None` if none has room.
    fn choose(
        &self,
        now: Time,
        service: &str,
        entry: &WorkEntry,
        excluded: &[EngineTag],
        loads: &BTreeMap<EngineTag, EngineLoad>,
        gathering: (f64, f64),
    ) -> Option<PlaceChoice> {
        let service = self.services.get(service)?;
        let Some(model) = &service.pass else {
            return self.choose_plain(now, service, excluded, loads);
        };
        let need = &entry.need;
        let waited = now.since(entry.arrived);
        let parts = self.wanted_parts(model, need);
        let idle_load = EngineLoad::default();
        let mut best: Option<(CandidateOrder, PlaceChoice)> = None;
        let mut weighed = 0;
        for (tag, record) in self.fleet.usable(&service.name) {
            if excluded.contains(&tag) {
                continue;
            }
            let load = loads.get(&tag).unwrap_or(&idle_load);
            if load.requests >= record.entry.slots.min(model.slots) as usize {
                continue;
            }
            weighed += 1;
            let failure = record.failure_chance(now);
            let Some((helpers, parts)) =
                self.find_helpers(now, service, model, need, parts, tag, excluded, loads)
            else {
                continue;
            };
            let forecast = load.forecast(model, need, parts, record.pace(now), waited);
            let cost = forecast.harmed as f64 + f64::from(u8::from(forecast.is_late)) + failure;
            let order = self.candidate_order(model, need, record, load, &forecast, cost, gathering);
            if best.as_ref().is_none_or(|(least, _)| order.is_before(least)) {
                let requests = load.requests;
                let choice = PlaceChoice {
                    engine: tag,
                    helpers,
                    forecast,
                    cost,
                    failure,
                    requests,
                    weighed: 0,
                };
                best = Some((order, choice));
            }
        }
        best.map(|(_, choice)| PlaceChoice { weighed, ..choice })
    }

    fn choose_plain(
        &self,
        now: Time,
        service: &ServingService,
        excluded: &[EngineTag],
        loads: &BTreeMap<EngineTag, EngineLoad>,
    ) -> Option<PlaceChoice> {
        let usable: Vec<_> =
            self.fleet.usable(&service.name).filter(|(tag, _)| !excluded.contains(tag)).collect();
        let weighed = usable.len();
        let rate = |tag: EngineTag, slots: u32, failure: f64, is_near: bool| {
            let requests = loads.get(&tag).map_or(0, |load| load.requests);
            let fill = requests as f64 / f64::from(slots.max(1));
            (requests, fill + failure * 4.0 + if is_near { 0.0 } else { 0.01 })
        };
        let rated = usable.into_iter().map(|(tag, record)| {
            let is_near = record.entry.failure_domain == self.failure_domain;
            let failure = record.failure_chance(now);
            let (requests, score) = rate(tag, record.entry.slots, failure, is_near);
            (tag, record.entry.slots, requests, failure, score)
        });
        let free = rated.filter(|(_, slots, requests, _, _)| *requests < *slots as usize);
        let (engine, _, requests, failure, _) =
            free.min_by(|left, right| left.4.total_cmp(&right.4))?;
        let forecast = EngineForecast { first_ms: 0.0, harmed: 0, is_late: false };
        let helpers = Vec::new();
        Some(PlaceChoice { engine, helpers, forecast, cost: 0.0, failure, requests, weighed })
    }

    /// Number of engines that should read a prompt.
    fn wanted_parts(&self, model: &PassModel, need: &WorkNeed) -> usize {
        let aim = f64::from(need.first_aim_ms) * SPLIT_SHARE;
        let by_time = (model.read_ms(need.prompt) / aim.max(1.0)).ceil();
        let memory = f64::from(model.memory) * MEMORY_SHARE;
        let by_memory = (f64::from(need.prompt.saturating_add(need.answer)) / memory).ceil();
        (by_time.max(by_memory).max(1.0) as usize).min(MAX_PARTS)
    }

    /// Idle engines for the other parts; fewer if there are not as many, `None` if memory lacks.
    #[allow(clippy::too_many_arguments)] // All of it describes one candidate.
    fn find_helpers(
        &self,
        now: Time,
        service: &ServingService,
        model: &PassModel,
        need: &WorkNeed,
        parts: usize,
        first: EngineTag,
        excluded: &[EngineTag],
        loads: &BTreeMap<EngineTag, EngineLoad>,
    ) -> Option<(Vec<HelperPart>, usize)> {
        let wanted = need.prompt.saturating_add(need.answer);
        let memory = (f64::from(model.memory) * MEMORY_SHARE) as u32;
        let held = loads.get(&first).map_or(0.0, |load| load.held) as u32;
        let room = memory.saturating_sub(held);
        if parts <= 1 {
            return (wanted <= room).then(|| (Vec::new(), 1));
        }
        let idle = |tag: EngineTag| {
            loads.get(&tag).is_none_or(|load| load.requests == 0 && load.readers.is_empty())
        };
        let helpers: Vec<_> = self
            .fleet
            .usable(&service.name)
            .filter(|(tag, record)| {
                *tag != first
                    && !excluded.contains(tag)
                    && idle(*tag)
                    && record.failure_chance(now) < WAIT_COST
            })
            .map(|(tag, _)| tag)
            .take(parts - 1)
            .collect();
        let parts = helpers.len() + 1;
        let lacking = wanted.saturating_sub(room);
        if lacking == 0 {
            let helpers = helpers.into_iter().map(|engine| HelperPart { engine, tokens: None });
            return Some((helpers.collect(), parts));
        }
        let share = lacking.div_ceil(helpers.len().max(1) as u32).max(wanted / parts as u32);
        if helpers.is_empty() || share > memory {
            return None;
        }
        let helpers = helpers.into_iter().map(|engine| HelperPart { engine, tokens: Some(share) });
        Some((helpers.collect(), parts))
    }

    #[allow(clippy::too_many_arguments)] // All of it describes one candidate.
    fn candidate_order(
        &self,
        model: &PassModel,
        need: &WorkNeed,
        record: &crate::fleet::EngineRecord,
        load: &EngineLoad,
        forecast: &EngineForecast,
        cost: f64,
        gathering: (f64, f64),
    ) -> CandidateOrder {
        let gap = f64::from(need.gap_aim_ms);
        let is_short = !model.is_long(need);
        let is_gathering = forecast.first_ms <= f64::from(need.first_aim_ms) * gathering.0
            && (load.requests as f64) < f64::from(model.slots) * gathering.1;
        let alike = load.writers.iter().filter(|other| **other <= gap * 1.5).count();
        let tightest = load.writers.iter().copied().fold(f64::INFINITY, f64::min);
        let company = if is_short && is_gathering && tightest >= gap * 0.5 { alike } else { 0 };
        CandidateOrder {
            cost,
            company,
            first_ms: forecast.first_ms,
            is_far: record.entry.failure_domain != self.failure_domain,
        }
    }

    /// Time until it is a long prompt's turn: what is under way on the engines that may read it, and
    /// the prompts before it, spread over them. Short prompts need only one answer to end.
    fn turn_after(
        &self,
        service: &str,
        need: &WorkNeed,
        loads: &BTreeMap<EngineTag, EngineLoad>,
        ahead_ms: f64,
    ) -> f64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        if model.is_none_or(|model| !model.is_long(need)) {
            return 0.0;
        }
        let gap = f64::from(need.gap_aim_ms);
        let is_open = |load: &&EngineLoad| load.writers.iter().all(|other| *other >= gap / 2.0);
        let idle_load = EngineLoad::default();
        let engines = self.fleet.usable(service);
        let open: Vec<_> =
            engines.map(|(tag, _)| loads.get(&tag).unwrap_or(&idle_load)).filter(is_open).collect();
        let busy: f64 = open.iter().map(|load| load.busy_ms).sum();
        (busy + ahead_ms) / open.len().max(1) as f64
    }

    /// Whether a choice is taken now, or a better one is waited for, or there will be none.
    fn weigh(
        &self,
        now: Time,
        service: &str,
        entry: &WorkEntry,
        choice: Option<&PlaceChoice>,
        deadline: Option<Time>,
        free_ms: f64,
    ) -> PlaceDecision {
        let model = self.models.get(&entry.need.service).and_then(Option::as_ref);
        let read_ms = model.map_or(0.0, |model| model.read_ms(entry.need.prompt));
        let limit = deadline.unwrap_or(entry.arrived + Duration::from_secs(60));
        let first_ms = choice.map_or(read_ms, |choice| choice.forecast.first_ms);
        let has_time = now + Duration::from_secs_f64(first_ms / 1e3) < limit;
        let engines = self.fleet.usable(service).count();
        if engines == 0 {
            // A list that is being read, or engines that are being replaced, need a moment.
            let patience = entry.arrived + RETRY_AFTER;
            return if now < patience && has_time {
                PlaceDecision::Later
            } else {
                PlaceDecision::Never
            };
        }
        let Some(choice) = choice else {
            let queued = Duration::from_secs_f64((free_ms + read_ms) / 1e3);
            return if now + queued < limit { PlaceDecision::Later } else { PlaceDecision::Never };
        };
        if choice.cost - choice.failure < WAIT_COST {
            return PlaceDecision::Now;
        }
        if !has_time {
            return PlaceDecision::Never;
        }
        if choice.forecast.harmed == 0 {
            return PlaceDecision::Now;
        }
        if now + Duration::from_secs_f64((free_ms + read_ms) / 1e3) > limit {
            return PlaceDecision::Never;
        }
        let aim = entry.arrived + Duration::from_millis(entry.need.first_aim_ms.into());
        let start_by = |end: Time| end - Duration::from_secs_f64(choice.forecast.first_ms / 1e3);
        if now + DECIDE_AHEAD < start_by(aim) {
            return PlaceDecision::Later;
        }
        if model.is_some_and(|model| !model.is_long(&entry.need)) {
            return PlaceDecision::Now;
        }
        if now + DECIDE_AHEAD < start_by(limit) {
            return PlaceDecision::Later;
        }
        if choice.cost <= LAST_COST { PlaceDecision::Now } else { PlaceDecision::Never }
    }
}

/// Order of candidates: least cost, then most company, then the earliest first event.
#[value]
struct CandidateOrder {
    cost: f64,
    company: usize,
    first_ms: f64,
    is_far: bool,
}

impl CandidateOrder {
    /// Difference of cost that decides; smaller ones are noise of the estimates.
    const COST_STEP: f64 = 0.05;
    /// Difference of first events for which a nearer server is taken.
    const FIRST_STEP_MS: f64 = 3.0;

    fn is_before(&self, other: &CandidateOrder) -> bool {
        if (self.cost - other.cost).abs() > Self::COST_STEP {
            return self.cost < other.cost;
        }
        if self.company != other.company {
            return self.company > other.company;
        }
        if (self.first_ms - other.first_ms).abs() > Self::FIRST_STEP_MS {
            return self.first_ms < other.first_ms;
        }
        !self.is_far && other.is_far
    }
}

fn assignment(number: WorkNumber, need: &WorkNeed, choice: PlaceChoice) -> DispatchOutput {
    let first = Duration::from_secs_f64(choice.forecast.first_ms / 1e3);
    let gap = Duration::from_millis(need.gap_aim_ms.into());
    let first_limit = if need.gap_aim_ms == 0 {
        Duration::from_millis(need.first_aim_ms.into()).mul_f64(PLAIN_AIMS)
    } else {
        first.mul_f64(1.5) + FIRST_GRACE.max(gap * 2)
    };
    DispatchOutput::Assign {
        number,
        engine: choice.engine,
        helpers: choice.helpers,
        first_limit,
        gap_limit: GAP_GRACE.max(gap * 4),
        reason: PlaceReason {
            first_ms: choice.forecast.first_ms as u32,
            harmed: choice.forecast.harmed as u32,
            failure_percent: (choice.failure * 100.0) as u32,
            requests: choice.requests as u32,
            weighed: choice.weighed as u32,
        },
    }
}
