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

use parsley_macros::{key, value};

use crate::{
    catalog::ServingService,
    fleet::{EngineEntry, EngineTag, EngineVerdict, FleetTable, NoticeChange, hash_name},
    roster::HostTag,
    time::Time,
    turn::StartTagLedger,
    work::{WorkDemand, WorkEntry, WorkNumber, WorkPhase, WorkView},
};

mod choose;
mod forecast;
mod headroom;
#[cfg(test)]
mod load_tests;
mod message;
mod refusal;
#[cfg(test)]
mod tests;

use choose::{CLOSE_GATHERING, ChoiceInput, LOOSE_GATHERING, MAX_PARTS, PlaceChoice, memory_parts};
pub use forecast::{EngineForecast, EngineLoad, LatencyModel, collect_load, collect_loads};
pub use headroom::UrgentTarget;
pub use message::{DispatchInput, DispatchOutput, PlacementReason, PrefillHelper};
use refusal::RETRY_AFTER;

/// Time between two [`DispatchInput::Tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(20);
/// The same while no request waits: many hosts are idle.
pub const IDLE_TICK_PERIOD: Duration = Duration::from_millis(500);
/// Waiting requests that are weighed at every opportunity. With more, decisions are spaced, so that
/// a flood does not take the processor that answers need.
const QUICK_QUEUE: usize = 256;
/// Longest time between two decisions, in ticks: urgent requests wait for the next one, too.
const MAX_SPACING_TICKS: usize = 3;
/// Cost of a placement, in requests made late, from which on waiting for a better one pays.
const WAIT_COST: f64 = 0.5;
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
/// Cost of a plain request in [`StartTagLedger`], where only the comparison among plain ones counts.
const PLAIN_COST_US: u64 = 1_000;
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

/// Places requests on backend servers.
#[derive(Default)]
pub struct Dispatcher {
    /// Work of all hosts.
    pub work_view: WorkView,
    /// Backend servers.
    pub fleet: FleetTable,
    failure_domain: Arc<str>,
    services: BTreeMap<Arc<str>, ServingService>,
    models: BTreeMap<u64, Option<LatencyModel>>,
    urgent: BTreeMap<Arc<str>, UrgentTarget>,
    waiting: BTreeMap<WorkNumber, WaitingWork>,
    turns: StartTagLedger,
    /// Engines of each service that get requests, by the hash of its name; counted before deciding.
    counts: BTreeMap<u64, usize>,
    /// Requests of the most urgent rank of each service, counted likewise.
    urgent_work: BTreeMap<u64, usize>,
    /// When waiting requests are weighed again at the earliest.
    next_decision: Time,
}

impl Dispatcher {
    /// A dispatcher of a host in this failure domain.
    pub fn new(me: HostTag, failure_domain: Arc<str>) -> Dispatcher {
        Dispatcher { fleet: FleetTable::new(me), failure_domain, ..Dispatcher::default() }
    }

    /// Requests that the backend servers which do not leave run at once.
    pub fn slot_count(&self) -> u32 {
        let serving = self.fleet.iter().filter(|(tag, _)| self.fleet.is_serving(*tag));
        serving.map(|(_, record)| record.entry.slots).sum()
    }

    /// Requests of this host that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an input and decides.
    pub fn step(&mut self, now: Time, input: DispatchInput) -> Vec<DispatchOutput> {
        let mut outputs = Vec::new();
        // What news of peers change is decided at the next tick. Hosts tick at different moments, so
        // they do not all take the same place when it becomes free.
        let is_due = now >= self.next_decision
            && !matches!(input, DispatchInput::PeerUpdate { .. } | DispatchInput::EventGap { .. });
        match input {
            DispatchInput::Tick => {
                self.work_view.expire_peers(now);
                outputs.extend(self.fleet.expire(now).into_iter().map(DispatchOutput::ServerGone));
            }
            DispatchInput::Services { services, urgent } => {
                self.urgent = urgent;
                self.models = services
                    .values()
                    .map(|service| (hash_name(&service.name), service.latency_model.clone()))
                    .collect();
                self.services = services;
            }
            DispatchInput::Submit {
                number,
                service,
                demand: need,
                arrived,
                deadline,
                excluded,
            } => {
                let entry = WorkEntry {
                    demand: need,
                    phase: WorkPhase::Waiting,
                    start_tag_us: 0,
                    engines: Vec::new(),
                    arrived,
                    phase_start: now,
                };
                self.work_view.insert(number, entry);
                self.waiting.insert(number, WaitingWork { service, deadline, excluded });
            }
            DispatchInput::ResponseStarted(number) => {
                let mut first = None;
                self.work_view.update(number, |entry| {
                    entry.phase = WorkPhase::Responding;
                    entry.phase_start = now;
                    first = entry.engines.first().copied();
                });
                first.iter().for_each(|tag| self.fleet.note_served(now, *tag));
            }
            DispatchInput::RequestEnded(number) => {
                self.waiting.remove(&number);
                self.work_view.remove(number);
            }
            DispatchInput::AttemptEnded { engine, verdict } => {
                self.fleet.judge(now, engine, verdict);
                if verdict == EngineVerdict::Good {
                    self.fleet.note_served(now, engine);
                }
            }
            DispatchInput::NoticeReceived { engine, notice } => {
                let changes = self.fleet.note(now, engine, &notice);
                outputs.extend(changes.into_iter().map(|change| match change {
                    NoticeChange::Leaving => DispatchOutput::ServerLeaving(engine),
                    NoticeChange::Paused(until) => DispatchOutput::ServerPaused { engine, until },
                }));
            }
            DispatchInput::EventGap { engine, gap } => self.note_pace(now, engine, gap),
            DispatchInput::PeerUpdate { host, incarnation, update: news, opinions } => {
                news.entries.iter().for_each(|(_, entry)| self.note_turn(entry));
                self.work_view.apply_update(now, host, incarnation, news);
                for opinion in &opinions {
                    self.fleet.hear(now, opinion);
                }
            }
            DispatchInput::ServersListed { entries, revision } => {
                let known: BTreeSet<_> = self.fleet.iter().map(|(tag, _)| tag).collect();
                let tags: Vec<_> = entries.iter().map(EngineEntry::tag).collect();
                outputs.extend(
                    self.fleet
                        .list(now, entries, revision)
                        .into_iter()
                        .map(DispatchOutput::ServerGone),
                );
                let new = tags.into_iter().filter(|tag| !known.contains(tag));
                outputs.extend(new.map(DispatchOutput::ServerChanged));
            }
            DispatchInput::ServerChanged(entry) => {
                let tag = entry.tag();
                if self.fleet.change(now, entry) {
                    outputs.push(DispatchOutput::ServerChanged(tag));
                }
            }
            DispatchInput::ServerRemoved { tag, revision } => {
                if self.fleet.remove(now, tag, revision) {
                    outputs.push(DispatchOutput::ServerGone(tag));
                }
            }
            DispatchInput::StoreStatus { is_lost } => self.fleet.note_store(now, is_lost),
        }
        if !self.waiting.is_empty() && is_due {
            self.decide(now, &mut outputs);
        }
        outputs
    }

    /// Compares a gap between events with the model. While prompts are read the gap tells nothing.
    fn note_pace(&mut self, now: Time, engine: EngineTag, gap: Duration) {
        let Some(record) = self.fleet.get(engine) else { return };
        let service = hash_name(&record.entry.service);
        let Some(model) = self.models.get(&service).and_then(Option::as_ref) else { return };
        let load = collect_load(now, &self.work_view, &self.fleet, model, engine);
        let expected = load.pass_ms(model);
        if let Some(expected) = expected {
            self.fleet.measure(now, engine, gap.as_secs_f64() * 1e3 / expected);
        }
    }

    /// Charges an account for work that was sent, by whichever host.
    fn note_turn(&mut self, entry: &WorkEntry) {
        if entry.phase != WorkPhase::Waiting {
            let cost = self.cost_us(&entry.demand);
            self.turns.record_sent(
                entry.demand.service,
                entry.demand.account,
                entry.start_tag_us,
                cost,
            );
        }
    }

    /// Engine time that a request takes from others, in microseconds: its read, and its part of a
    /// batch while its answer is written.
    fn cost_us(&self, need: &WorkDemand) -> u64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        let Some(model) = model else { return PLAIN_COST_US };
        let write_ms =
            model.decode_ms(need.prompt_tokens, need.answer_tokens) / f64::from(model.slots.max(1));
        ((model.prefill_ms(need.prompt_tokens) + write_ms) * 1e3) as u64
    }

    /// Goes through all waiting work, most urgent first, and places this host's. Within a rank, what
    /// can still be on time goes before what is late already: otherwise everyone is late as long as
    /// more comes than can be served. After that accounts take turns.
    fn decide(&mut self, now: Time, outputs: &mut Vec<DispatchOutput>) {
        let mut loads = collect_loads(now, &self.work_view, &self.fleet, &self.models);
        self.count(now);
        let mut ahead_ms = 0.0;
        let mut queue = self.queue(now);
        // What peers have behind the last request of this host is theirs to place.
        let last_own = queue.iter().rposition(|(host, _, _)| host.is_none());
        queue.truncate(last_own.map_or(0, |last| last + 1));
        let spacing = (queue.len() / QUICK_QUEUE).min(MAX_SPACING_TICKS);
        self.next_decision = now + TICK_PERIOD * spacing as u32;
        let is_long = |need: &WorkDemand| {
            let model = self.models.get(&need.service).and_then(Option::as_ref);
            model.is_some_and(|model| model.is_long_prompt(need))
        };
        let has_long = queue.iter().any(|(_, _, entry)| is_long(&entry.demand));
        let gathering = if has_long { CLOSE_GATHERING } else { LOOSE_GATHERING };
        let mut collected = BTreeSet::new();
        for (host, number, entry) in queue {
            let work = if host.is_none() { self.waiting.get(&number).cloned() } else { None };
            let service = match &work {
                Some(work) => work.service.clone(),
                None => match self.service_of(entry.demand.service) {
                    Some(service) => service,
                    None => continue,
                },
            };
            let excluded = work.as_ref().map_or(&[][..], |work| &work.excluded);
            let input = ChoiceInput {
                now,
                need: &entry.demand,
                waited: now.since(entry.arrived),
                excluded,
                loads: &loads,
                collected: &collected,
                gathering,
            };
            let choice = self.choose(&service, &input);
            let turn_ms = self.turn_after(now, &service, &entry.demand, &loads, ahead_ms);
            let decision =
                self.weigh(now, &service, &entry, choice.as_ref(), work.as_ref(), turn_ms);
            match (decision, choice) {
                (PlaceDecision::Now, Some(choice)) => {
                    let placed = self.add_placed(now, &entry, &choice, &mut loads);
                    if work.is_some() {
                        self.note_turn(&placed);
                        self.waiting.remove(&number);
                        self.work_view.insert(number, placed);
                        outputs.push(assignment(number, &entry.demand, choice));
                    }
                }
                (PlaceDecision::Never, _) if work.is_some() => {
                    outputs.push(self.refuse(now, number, &service, &entry.demand, turn_ms));
                }
                _ => {
                    ahead_ms += self.work_ms(&entry.demand);
                    collected.extend(self.collect_engines(&service, &input));
                }
            }
        }
    }

    /// All waiting work in the order in which it is placed.
    fn queue(&self, now: Time) -> Vec<(Option<HostTag>, WorkNumber, WorkEntry)> {
        let mut queue: Vec<_> = self
            .work_view
            .all()
            .filter(|(_, _, entry)| entry.phase == WorkPhase::Waiting)
            .map(|(host, number, entry)| (host, number, entry.clone()))
            .collect();
        let is_late = |entry: &WorkEntry| {
            let read_ms = self.read_ms(&entry.demand);
            let waited_ms = now.since(entry.arrived).as_secs_f64() * 1e3;
            waited_ms + read_ms > f64::from(entry.demand.first_event_target_ms)
        };
        queue.sort_by_key(|(host, number, entry)| {
            (entry.demand.priority, is_late(entry), entry.arrived, *host, *number)
        });
        // The work of an account lines up behind what it was served.
        let mut ahead: BTreeMap<_, u64> = BTreeMap::new();
        for (_, _, entry) in &mut queue {
            let need = &entry.demand;
            let waiting = ahead.entry((need.service, need.account)).or_default();
            entry.start_tag_us =
                self.turns.next_start_tag(need.service, need.account).saturating_add(*waiting);
            *waiting = waiting.saturating_add(self.cost_us(need));
        }
        queue.sort_by_key(|(_, _, entry)| {
            (entry.demand.priority, is_late(entry), entry.start_tag_us)
        });
        queue
    }

    /// Time to read a prompt on as many idle engines as are wanted for it.
    fn read_ms(&self, need: &WorkDemand) -> f64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        let parts = |model| self.wanted_parts(model, need) as f64;
        model.map_or(0.0, |model| model.prefill_ms(need.prompt_tokens) / parts(model))
    }

    fn count(&mut self, now: Time) {
        self.counts.clear();
        for (_, record) in self.fleet.iter().filter(|(tag, _)| self.fleet.is_usable(now, *tag)) {
            *self.counts.entry(hash_name(&record.entry.service)).or_default() += 1;
        }
        let count = |(name, aim): (&Arc<str>, &UrgentTarget)| {
            let service = hash_name(name);
            let is_urgent =
                |need: &WorkDemand| need.service == service && need.priority <= aim.priority;
            (service, self.work_view.all().filter(|(_, _, one)| is_urgent(&one.demand)).count())
        };
        self.urgent_work = self.urgent.iter().map(count).collect();
    }

    /// Time that one engine needs for a request.
    fn work_ms(&self, need: &WorkDemand) -> f64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        model.map_or(0.0, |model| {
            model.prefill_ms(need.prompt_tokens)
                + model.decode_ms(need.prompt_tokens, need.answer_tokens)
        })
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
        let model = self.models.get(&entry.demand.service).and_then(Option::as_ref);
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
            start_tag_us: self.turns.next_start_tag(entry.demand.service, entry.demand.account),
            engines: std::iter::once(choice.engine).chain(helpers).collect(),
            phase_start: now,
            ..entry.clone()
        }
    }

    /// Time until it is a long prompt's turn: what is under way on the engines that may read it, and
    /// the prompts before it, spread over them. Short prompts need only one answer to end.
    fn turn_after(
        &self,
        now: Time,
        service: &str,
        need: &WorkDemand,
        loads: &BTreeMap<EngineTag, EngineLoad>,
        ahead_ms: f64,
    ) -> f64 {
        let model = self.models.get(&need.service).and_then(Option::as_ref);
        if model.is_none_or(|model| !model.is_long_prompt(need)) {
            return 0.0;
        }
        let gap = f64::from(need.gap_target_ms);
        let is_open =
            |load: &&EngineLoad| load.decodes.iter().all(|other| other.gap_target_ms >= gap / 2.0);
        let idle_load = EngineLoad::default();
        let engines = self.fleet.usable(now, service);
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
        work: Option<&WaitingWork>,
        free_ms: f64,
    ) -> PlaceDecision {
        let model = self.models.get(&entry.demand.service).and_then(Option::as_ref);
        let read_ms = self.read_ms(&entry.demand);
        let excluded = work.map_or(&[][..], |work| &work.excluded);
        let limit = work.map_or(entry.arrived + Duration::from_secs(60), |work| work.deadline);
        let first_ms = choice.map_or(read_ms, |choice| choice.forecast.first_event_ms);
        let has_time = now + Duration::from_secs_f64(first_ms / 1e3) < limit;
        let engines = self.fleet.usable(now, service).count();
        if engines == 0
            && let Some(opens) = self.fleet.opens_at(now, service, excluded)
        {
            // Its turn at the server that opens first, if there still is time for its answer then.
            let queued = Duration::from_secs_f64((free_ms + read_ms) / 1e3);
            return if opens + queued < limit {
                PlaceDecision::Later
            } else {
                PlaceDecision::Never
            };
        }
        if engines == 0 {
            // A list that is being read, or engines that are being replaced, need a moment.
            let patience = entry.arrived + RETRY_AFTER;
            return if now < patience && has_time {
                PlaceDecision::Later
            } else {
                PlaceDecision::Never
            };
        }
        if model.is_some_and(|model| memory_parts(model, &entry.demand) > engines.min(MAX_PARTS)) {
            return PlaceDecision::Never;
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
        let aim = entry.arrived + Duration::from_millis(entry.demand.first_event_target_ms.into());
        if choice.forecast.delayed == 0 {
            // An engine on which it is on time, or more engines, may still become free.
            let latest = now + DECIDE_AHEAD + Duration::from_secs_f64(read_ms / 1e3);
            return if latest < aim { PlaceDecision::Later } else { PlaceDecision::Now };
        }
        if now + Duration::from_secs_f64((free_ms + read_ms) / 1e3) > limit {
            return PlaceDecision::Never;
        }
        let start_by =
            |end: Time| end - Duration::from_secs_f64(choice.forecast.first_event_ms / 1e3);
        if now + DECIDE_AHEAD < start_by(aim) {
            return PlaceDecision::Later;
        }
        if model.is_some_and(|model| !model.is_long_prompt(&entry.demand))
            && choice.forecast.delayed_more_urgent == 0
        {
            return PlaceDecision::Now;
        }
        if now + DECIDE_AHEAD < start_by(limit) {
            return PlaceDecision::Later;
        }
        if choice.cost <= LAST_COST { PlaceDecision::Now } else { PlaceDecision::Never }
    }
}

fn assignment(number: WorkNumber, need: &WorkDemand, choice: PlaceChoice) -> DispatchOutput {
    let first = Duration::from_secs_f64(choice.forecast.first_event_ms / 1e3);
    let gap = Duration::from_millis(need.gap_target_ms.into());
    let first_limit = if need.gap_target_ms == 0 {
        Duration::from_millis(need.first_event_target_ms.into()).mul_f64(PLAIN_AIMS)
    } else {
        first.mul_f64(1.5) + FIRST_GRACE.max(gap * 2)
    };
    DispatchOutput::Assign {
        number,
        engine: choice.engine,
        helpers: choice.helpers,
        first_limit,
        gap_limit: GAP_GRACE.max(gap * 4),
        reason: PlacementReason {
            first_event_ms: choice.forecast.first_event_ms as u32,
            delayed: choice.forecast.delayed as u32,
            failure_percent: (choice.failure * 100.0) as u32,
            requests: choice.requests as u32,
            candidates: choice.weighed as u32,
        },
    }
}
