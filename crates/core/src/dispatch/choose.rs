//! Compares the backend servers on which a request could be placed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use parsley_macros::value;

use super::{
    Dispatcher, EngineForecast, EngineLoad, LatencyModel, PrefillHelper, WAIT_COST,
    headroom::{EnginePlaces, OpenEngines},
};
use crate::{
    catalog::ServingService,
    fleet::{EngineRecord, EngineTag},
    time::Time,
    work::{WorkDemand, WorkEntry, WorkPhase},
};

/// How closely short requests gather before they spread.
#[value]
#[derive(Copy)]
pub(super) struct GatherLimit {
    /// Part of the first aim that their forecast may use.
    first_share: f64,
    /// Part of the slots that is filled.
    pub(super) slot_share: f64,
}

/// In calm.
pub(super) const LOOSE_GATHERING: GatherLimit = GatherLimit { first_share: 0.4, slot_share: 0.45 };
/// While long prompts wait for an engine.
pub(super) const CLOSE_GATHERING: GatherLimit = GatherLimit { first_share: 0.5, slot_share: 0.7 };
/// Part of the first aim that reading on one engine may take before a prompt is split.
const SPLIT_SHARE: f64 = 0.6;
/// Most engines that read one prompt.
pub(super) const MAX_PARTS: usize = 6;
/// Part of an engine's memory that is planned with.
const MEMORY_SHARE: f64 = 0.96;
/// Weight of a plain server's chance of failure against the part of its slots that is taken.
const PLAIN_FAILURE_WEIGHT: f64 = 4.0;
/// What a server in another failure domain counts more, in parts of its slots.
const FAR_FILL: f64 = 0.01;
/// The load of an engine without work.
static IDLE_LOAD: EngineLoad = EngineLoad::IDLE;
/// Writers whose pause aim is at most so many times this one's are company.
const ALIKE_GAP: f64 = 1.5;
/// Short requests do not join writers whose pause aim is below this part of theirs.
const TIGHTEST_GAP: f64 = 0.5;

/// What is known about a request when servers are compared.
pub(super) struct ChoiceInput<'a> {
    /// Now.
    pub now: Time,
    /// What it asks for.
    pub need: &'a WorkDemand,
    /// Time since its arrival.
    pub waited: Duration,
    /// Servers that must not get it.
    pub excluded: &'a [EngineTag],
    /// What all servers have to do.
    pub loads: &'a BTreeMap<EngineTag, EngineLoad>,
    /// Idle engines that are being collected for a prompt that several read and that goes before.
    pub collected: &'a BTreeSet<EngineTag>,
    /// How closely short requests gather.
    pub gathering: GatherLimit,
}

impl ChoiceInput<'_> {
    fn load(&self, tag: EngineTag) -> &EngineLoad {
        self.loads.get(&tag).unwrap_or(&IDLE_LOAD)
    }

    /// Whether a request may be placed on a server at all.
    fn is_allowed(&self, model: &LatencyModel, tag: EngineTag) -> bool {
        let is_kept = model.is_long_prompt(self.need) && self.collected.contains(&tag);
        !is_kept && !self.excluded.contains(&tag)
    }

    fn is_idle(&self, tag: EngineTag) -> bool {
        self.loads.get(&tag).is_none_or(|load| load.requests == 0 && load.prefills.is_empty())
    }
}

/// A server with what speaks for and against it.
#[value]
pub(super) struct PlaceChoice {
    pub engine: EngineTag,
    pub helpers: Vec<PrefillHelper>,
    pub forecast: EngineForecast,
    pub cost: f64,
    pub failure: f64,
    pub requests: usize,
    pub weighed: usize,
}

impl Dispatcher {
    /// The server with the least cost, or `None` if none has room. One that had asked for a pause has
    /// room for a single request until it has begun to serve it.
    pub(super) fn choose(&self, service: &str, input: &ChoiceInput) -> Option<PlaceChoice> {
        let service = self.services.get(service)?;
        let Some(model) = &service.latency_model else { return self.choose_plain(service, input) };
        // A prompt that only fits into all engines together may have them.
        let open = self
            .open_engines(service, model, input)
            .filter(|open| memory_parts(model, input.need) <= open.most_parts());
        let wanted = self.wanted_parts(model, input.need);
        let parts = open.as_ref().map_or(wanted, |open| wanted.min(open.spare().max(1)));
        let mut best: Option<(CandidateOrder, PlaceChoice)> = None;
        let mut weighed = 0;
        for (tag, record) in self.fleet.usable(input.now, &service.name) {
            let load = input.load(tag);
            let slots = record.entry.slots.min(model.slots) as usize;
            let may_return =
                || load.prefills.is_empty() || !self.fleet.is_returning(input.now, tag);
            if !input.is_allowed(model, tag) || load.requests >= slots || !may_return() {
                continue;
            }
            weighed += 1;
            let helpers = self.find_helpers(service, model, input, tag, parts);
            let Some((helpers, parts)) = helpers else { continue };
            let may_load = |open: &OpenEngines| self.may_load(open, model, input, tag, &helpers);
            if !open.as_ref().is_none_or(may_load) {
                continue;
            }
            let failure = record.failure_chance(input.now);
            let pace = record.pace(input.now);
            let forecast = load.forecast(model, input.need, parts, pace, input.waited);
            let cost = forecast.delayed as f64 + f64::from(u8::from(forecast.is_late)) + failure;
            let order = self.candidate_order(model, input, record, load, &forecast, cost);
            if best.as_ref().is_none_or(|(least, _)| order.is_before(least)) {
                let requests = load.requests;
                let engine = tag;
                let choice =
                    PlaceChoice { engine, helpers, forecast, cost, failure, requests, weighed: 0 };
                best = Some((order, choice));
            }
        }
        best.map(|(_, choice)| PlaceChoice { weighed, ..choice })
    }

    /// The engines on which room is kept for more urgent requests than this one.
    fn open_engines<'a>(
        &'a self,
        service: &ServingService,
        model: &'a LatencyModel,
        input: &ChoiceInput,
    ) -> Option<OpenEngines<'a>> {
        let aim = self.urgent.get(&service.name)?;
        if input.need.priority <= aim.priority {
            return None;
        }
        let engines =
            self.fleet.usable(input.now, &service.name).map(|(tag, record)| EnginePlaces {
                tag,
                slots: record.entry.slots.min(model.slots) as usize,
                pace: record.pace(input.now),
            });
        let urgent = self.urgent_work.get(&input.need.service).copied().unwrap_or_default();
        Some(OpenEngines::find(aim, model, engines, input.loads, urgent))
    }

    /// Whether a request may be read by an engine and its helpers.
    fn may_load(
        &self,
        open: &OpenEngines,
        model: &LatencyModel,
        input: &ChoiceInput,
        first: EngineTag,
        helpers: &[PrefillHelper],
    ) -> bool {
        let helpers = helpers.iter().map(|helper| helper.engine);
        let entry = WorkEntry {
            demand: input.need.clone(),
            phase: WorkPhase::Sent,
            start_tag_us: 0,
            engines: std::iter::once(first).chain(helpers).collect(),
            arrived: input.now,
            phase_start: input.now,
        };
        let loaded = entry.engines.iter().enumerate().map(|(index, tag)| {
            let pace = self.fleet.get(*tag).map_or(1.0, |record| record.pace(input.now));
            let mut load = input.load(*tag).clone();
            load.add(Some(model), &entry, pace, index == 0, input.now);
            (*tag, load)
        });
        open.may_load(loaded)
    }

    /// The idle engines that a prompt that waits for several keeps from long prompts behind it.
    pub(super) fn collect_engines(&self, service: &str, input: &ChoiceInput) -> Vec<EngineTag> {
        let model = self.services.get(service).and_then(|service| service.latency_model.as_ref());
        let Some(model) = model else { return Vec::new() };
        let parts = self.wanted_parts(model, input.need);
        if parts <= 1 {
            return Vec::new();
        }
        let idle = self.fleet.usable(input.now, service).filter(|(tag, record)| {
            input.is_allowed(model, *tag)
                && input.is_idle(*tag)
                && record.failure_chance(input.now) < WAIT_COST
        });
        idle.map(|(tag, _)| tag).take(parts).collect()
    }

    /// Number of engines that should read a prompt: as many as it takes to be on time, if there are.
    pub(super) fn wanted_parts(&self, model: &LatencyModel, need: &WorkDemand) -> usize {
        let aim = f64::from(need.first_event_target_ms) * SPLIT_SHARE;
        let by_time = (model.prefill_ms(need.prompt_tokens) / aim.max(1.0)).ceil();
        let parts = (by_time as usize).max(memory_parts(model, need)).min(MAX_PARTS);
        parts.min(self.counts.get(&need.service).copied().unwrap_or(1)).max(1)
    }

    /// Plain servers are filled evenly; those that failed lately count as fuller.
    fn choose_plain(&self, service: &ServingService, input: &ChoiceInput) -> Option<PlaceChoice> {
        let mut best: Option<(f64, PlaceChoice)> = None;
        let mut weighed = 0;
        for (engine, record) in self.fleet.usable(input.now, &service.name) {
            if input.excluded.contains(&engine) {
                continue;
            }
            weighed += 1;
            let requests = input.load(engine).requests;
            let may_return = || requests == 0 || !self.fleet.is_returning(input.now, engine);
            if requests >= record.entry.slots as usize || !may_return() {
                continue;
            }
            let failure = record.failure_chance(input.now);
            let is_far = record.entry.failure_domain != self.failure_domain;
            let fill = requests as f64 / f64::from(record.entry.slots)
                + failure * PLAIN_FAILURE_WEIGHT
                + if is_far { FAR_FILL } else { 0.0 };
            if best.as_ref().is_none_or(|(least, _)| fill < *least) {
                let forecast = EngineForecast::default();
                let helpers = Vec::new();
                let choice = PlaceChoice {
                    engine,
                    helpers,
                    forecast,
                    cost: 0.0,
                    failure,
                    requests,
                    weighed: 0,
                };
                best = Some((fill, choice));
            }
        }
        best.map(|(_, choice)| PlaceChoice { weighed, ..choice })
    }

    /// Idle engines for the other parts of a prompt, and the number of parts: fewer if there are not
    /// as many, `None` if memory lacks.
    fn find_helpers(
        &self,
        service: &ServingService,
        model: &LatencyModel,
        input: &ChoiceInput,
        first: EngineTag,
        parts: usize,
    ) -> Option<(Vec<PrefillHelper>, usize)> {
        let wanted = input.need.prompt_tokens.saturating_add(input.need.answer_tokens);
        let memory = (f64::from(model.memory_tokens) * MEMORY_SHARE) as u32;
        let room = memory.saturating_sub(input.load(first).held_tokens as u32);
        if parts <= 1 {
            return (wanted <= room).then(|| (Vec::new(), 1));
        }
        let fits = |tag: EngineTag, record: &EngineRecord| {
            tag != first
                && input.is_allowed(model, tag)
                && input.is_idle(tag)
                && record.failure_chance(input.now) < WAIT_COST
        };
        let engines = self.fleet.usable(input.now, &service.name);
        let helpers: Vec<_> = engines
            .filter(|(tag, record)| fits(*tag, record))
            .map(|(tag, _)| tag)
            .take(parts - 1)
            .collect();
        let parts = helpers.len() + 1;
        let lacking = wanted.saturating_sub(room);
        let tokens = match lacking {
            0 => None,
            _ if helpers.is_empty() => return None,
            _ => Some(lacking.div_ceil(helpers.len() as u32).max(wanted / parts as u32)),
        };
        if tokens.is_some_and(|tokens| tokens > memory) {
            return None;
        }
        let helpers = helpers.into_iter().map(|engine| PrefillHelper { engine, tokens });
        Some((helpers.collect(), parts))
    }

    fn candidate_order(
        &self,
        model: &LatencyModel,
        input: &ChoiceInput,
        record: &EngineRecord,
        load: &EngineLoad,
        forecast: &EngineForecast,
        cost: f64,
    ) -> CandidateOrder {
        let need = input.need;
        let gap = f64::from(need.gap_target_ms);
        let first_limit = f64::from(need.first_event_target_ms) * input.gathering.first_share;
        let slot_limit = f64::from(model.slots) * input.gathering.slot_share;
        let is_gathering =
            forecast.first_event_ms <= first_limit && (load.requests as f64) < slot_limit;
        let gaps = || load.decodes.iter().map(|other| other.gap_target_ms);
        let alike = gaps().filter(|other| *other <= gap * ALIKE_GAP).count();
        let tightest = gaps().fold(f64::INFINITY, f64::min);
        let joins = !model.is_long_prompt(need) && is_gathering && tightest >= gap * TIGHTEST_GAP;
        CandidateOrder {
            cost,
            company: if joins { alike } else { 0 },
            first_ms: forecast.first_event_ms,
            is_far: record.entry.failure_domain != self.failure_domain,
        }
    }
}

/// Number of engines whose memory a request needs.
pub(super) fn memory_parts(model: &LatencyModel, need: &WorkDemand) -> usize {
    let memory = f64::from(model.memory_tokens) * MEMORY_SHARE;
    let parts = f64::from(need.prompt_tokens.saturating_add(need.answer_tokens)) / memory;
    parts.ceil().max(1.0) as usize
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
