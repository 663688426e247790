//! Selects the best backend server for a request.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use parsley_macros::value;

use super::{
    Dispatcher, EngineForecast, EngineLoad, LatencyModel, MAX_IMMEDIATE_COST, PrefillHelper,
    headroom::{EngineSlots, UrgentHeadroom},
    split::{HelperPool, MAX_PARTS, PromptSplit, memory_parts},
};
use crate::{
    catalog::ServingService,
    fleet::{EngineRecord, EngineTag},
    permit::PermitState,
    time::Time,
    work::{WorkDemand, WorkEntry, WorkPhase},
};

/// Bounds up to which short requests are packed onto the same engine.
#[value]
#[derive(Copy)]
pub(super) struct PackingLimit {
    /// Highest forecast of the first event, as a fraction of its target.
    first_event_share: f64,
    /// Fraction of the slots that may be filled.
    pub(super) slot_share: f64,
}

/// Used while no long prompt waits.
pub(super) const LOOSE_PACKING: PackingLimit =
    PackingLimit { first_event_share: 0.4, slot_share: 0.45 };
/// Used while long prompts wait, to free engines for them.
pub(super) const DENSE_PACKING: PackingLimit =
    PackingLimit { first_event_share: 0.5, slot_share: 0.7 };
/// Fraction of the first event target that the prefill on one engine may take before the prompt is
/// split over several.
const MAX_PREFILL_SHARE: f64 = 0.6;
/// Weight of a plain server's failure probability relative to its slot utilization.
const PLAIN_FAILURE_WEIGHT: f64 = 4.0;
/// Added to the slot utilization of plain servers in another failure domain. Small, so that it only
/// breaks ties.
const REMOTE_DOMAIN_PENALTY: f64 = 0.01;
/// Load of an engine without work.
static IDLE_LOAD: EngineLoad = EngineLoad::IDLE;
/// Running decodes count as similar if their gap target is at most this multiple of the request's.
const SIMILAR_GAP_RATIO: f64 = 1.5;
/// A short request is not packed with decodes whose gap target is below this fraction of its own.
const MIN_GAP_RATIO: f64 = 0.5;

/// A request and the state against which servers are compared for it.
pub(super) struct ChoiceInput<'a> {
    /// Current time.
    pub now: Time,
    /// Resources and latency targets of the request.
    pub demand: &'a WorkDemand,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Servers that must not receive the request.
    pub excluded: &'a [EngineTag],
    /// Load of each server with work; others are idle.
    pub loads: &'a BTreeMap<EngineTag, EngineLoad>,
    /// Idle engines reserved for split prompts ahead in the queue.
    pub reserved: &'a BTreeSet<EngineTag>,
    /// Bounds for packing short requests.
    pub packing: PackingLimit,
    /// Whether the request is one of this host, which may use the host's permits.
    pub is_own: bool,
}

impl ChoiceInput<'_> {
    pub(super) fn load(&self, tag: EngineTag) -> &EngineLoad {
        self.loads.get(&tag).unwrap_or(&IDLE_LOAD)
    }

    /// Whether the request may be placed on a server: not excluded, nor reserved if it is long.
    pub(super) fn is_allowed(&self, model: &LatencyModel, tag: EngineTag) -> bool {
        let is_reserved = model.is_long_prompt(self.demand) && self.reserved.contains(&tag);
        !is_reserved && !self.excluded.contains(&tag)
    }

    pub(super) fn is_idle(&self, tag: EngineTag) -> bool {
        self.loads.get(&tag).is_none_or(|load| load.requests == 0 && load.prefills.is_empty())
    }
}

/// A candidate server with the estimates for the request.
#[value]
pub(super) struct PlacementChoice {
    pub engine: EngineTag,
    pub helpers: Vec<PrefillHelper>,
    pub forecast: EngineForecast,
    /// Expected number of late requests, this one included, plus the failure probability; 0 for a
    /// plain server.
    pub cost: f64,
    /// Probability that the server fails the request.
    pub failure: f64,
    /// Requests in flight on the server.
    pub requests: usize,
    /// Servers that were compared.
    pub candidates: usize,
}

/// The best servers for a request.
#[value]
#[derive(Default)]
pub(super) struct ChoiceResult {
    /// The best server that may get the request now.
    pub best: Option<PlacementChoice>,
    /// A server that would be better, once this host has a permit for it.
    pub without_permit: Option<PlacementChoice>,
}

/// The best candidates so far, with and without a permit where one is needed.
struct CandidateRanking<S> {
    best: Option<(S, PlacementChoice)>,
    without_permit: Option<(S, PlacementChoice)>,
    candidates: usize,
    is_better: fn(&S, &S) -> bool,
}

impl<S> CandidateRanking<S> {
    fn new(is_better: fn(&S, &S) -> bool) -> CandidateRanking<S> {
        CandidateRanking { best: None, without_permit: None, candidates: 0, is_better }
    }

    fn add(&mut self, needs_permit: bool, score: S, choice: PlacementChoice) {
        let leader = if needs_permit { &mut self.without_permit } else { &mut self.best };
        if leader.as_ref().is_none_or(|(leading, _)| (self.is_better)(&score, leading)) {
            *leader = Some((score, choice));
        }
    }

    fn close(self) -> ChoiceResult {
        let CandidateRanking { best, mut without_permit, candidates, is_better } = self;
        if let (Some((score, _)), Some((leading, _))) = (&without_permit, &best)
            && !is_better(score, leading)
        {
            without_permit = None;
        }
        let choice = |(_, choice)| PlacementChoice { candidates, ..choice };
        ChoiceResult { best: best.map(choice), without_permit: without_permit.map(choice) }
    }
}

impl Dispatcher {
    /// Returns whether a candidate lacks a permit; `None` if it cannot get the request because no
    /// permit is expected now.
    fn needs_permit(&self, input: &ChoiceInput, tag: EngineTag) -> Option<bool> {
        match self.permit_state(input.now, tag) {
            None => Some(false),
            Some(_) if !input.is_own => None,
            Some(PermitState::Held) => Some(false),
            Some(PermitState::Missing | PermitState::Requested) => Some(true),
            Some(PermitState::Closed(_)) => None,
        }
    }

    /// Returns the servers with the lowest cost. After a pause, a server takes one request at a time
    /// until it has served one.
    pub(super) fn choose(&self, service: &str, input: &ChoiceInput) -> ChoiceResult {
        let Some(service) = self.services.get(service) else { return ChoiceResult::default() };
        let Some(model) = &service.latency_model else { return self.choose_plain(service, input) };
        // A prompt whose memory needs the reserved headroom too is exempt from it.
        let headroom = self
            .urgent_headroom(service, model, input)
            .filter(|headroom| memory_parts(model, input.demand) <= headroom.max_parts());
        let wanted = self.wanted_parts(model, input.demand);
        let parts =
            headroom.as_ref().map_or(wanted, |headroom| wanted.min(headroom.spare().max(1)));
        let helpers = HelperPool::find(self, service, model, input, parts);
        let mut ranking = CandidateRanking::new(CandidateScore::is_better_than);
        for (tag, record) in self.fleet.usable(input.now, &service.name) {
            let load = input.load(tag);
            let slots = record.entry.slots.min(model.slots) as usize;
            let may_resume =
                || load.prefills.is_empty() || !self.fleet.is_half_open(input.now, tag);
            if !input.is_allowed(model, tag) || load.requests >= slots || !may_resume() {
                continue;
            }
            let Some(needs_permit) = self.needs_permit(input, tag) else { continue };
            ranking.candidates += 1;
            let Some(split) = helpers.split(model, input, tag) else { continue };
            let PromptSplit { helpers, parts, extra_ms } = split;
            let allows_load =
                |headroom: &UrgentHeadroom| self.allows_load(headroom, model, input, tag, &helpers);
            if !headroom.as_ref().is_none_or(allows_load) {
                continue;
            }
            let failure = record.failure_probability(input.now);
            let slowdown = record.slowdown(input.now);
            let waited = input.waited + Duration::from_secs_f64(extra_ms / 1e3);
            let mut forecast = load.forecast(model, input.demand, parts, slowdown, waited);
            forecast.first_event_ms += extra_ms;
            let cost = forecast.delayed as f64 + f64::from(u8::from(forecast.is_late)) + failure;
            let score = self.score_candidate(model, input, record, load, &forecast, cost);
            let requests = load.requests;
            let engine = tag;
            let choice = PlacementChoice {
                engine,
                helpers,
                forecast,
                cost,
                failure,
                requests,
                candidates: 0,
            };
            ranking.add(needs_permit, score, choice);
        }
        ranking.close()
    }

    /// The headroom kept for requests more urgent than this one; `None` if it is itself urgent or
    /// the service has no urgent rank.
    fn urgent_headroom<'a>(
        &'a self,
        service: &ServingService,
        model: &'a LatencyModel,
        input: &ChoiceInput,
    ) -> Option<UrgentHeadroom<'a>> {
        let target = self.urgent_targets.get(&service.name)?;
        if input.demand.priority <= target.priority {
            return None;
        }
        let engines = self.unlimited(input.now, &service.name).map(|(tag, record)| EngineSlots {
            tag,
            slots: record.entry.slots.min(model.slots) as usize,
            slowdown: record.slowdown(input.now),
        });
        let urgent = self.urgent_counts.get(&input.demand.service).copied().unwrap_or_default();
        Some(UrgentHeadroom::find(target, model, engines, input.loads, urgent))
    }

    /// Whether enough headroom remains if the request runs on an engine and its helpers.
    fn allows_load(
        &self,
        headroom: &UrgentHeadroom,
        model: &LatencyModel,
        input: &ChoiceInput,
        first: EngineTag,
        helpers: &[PrefillHelper],
    ) -> bool {
        let helpers = helpers.iter().map(|helper| helper.engine);
        let entry = WorkEntry {
            demand: input.demand.clone(),
            phase: WorkPhase::Sent,
            start_tag_us: 0,
            engines: std::iter::once(first).chain(helpers).collect(),
            arrived: input.now,
            phase_start: input.now,
        };
        let loaded = entry.engines.iter().enumerate().map(|(index, tag)| {
            let slowdown = self.fleet.get(*tag).map_or(1.0, |record| record.slowdown(input.now));
            let mut load = input.load(*tag).clone();
            load.add(Some(model), &entry, slowdown, index == 0, input.now);
            (*tag, load)
        });
        headroom.allows_load(loaded)
    }

    /// Idle engines to reserve for a waiting prompt that is split over several, so that long
    /// prompts behind it do not take them. Empty for other prompts.
    pub(super) fn engines_to_reserve(&self, service: &str, input: &ChoiceInput) -> Vec<EngineTag> {
        let model = self.services.get(service).and_then(|service| service.latency_model.as_ref());
        let Some(model) = model else { return Vec::new() };
        let parts = self.wanted_parts(model, input.demand);
        if parts <= 1 {
            return Vec::new();
        }
        let idle = self.unlimited(input.now, service).filter(|(tag, record)| {
            input.is_allowed(model, *tag)
                && input.is_idle(*tag)
                && record.failure_probability(input.now) < MAX_IMMEDIATE_COST
        });
        idle.map(|(tag, _)| tag).take(parts).collect()
    }

    /// Number of engines to split a prompt over: as many as its target time and memory require, up
    /// to [`MAX_PARTS`] and the number of usable engines.
    pub(super) fn wanted_parts(&self, model: &LatencyModel, demand: &WorkDemand) -> usize {
        let target = f64::from(demand.first_event_target_ms) * MAX_PREFILL_SHARE;
        let by_time = (model.prefill_ms(demand.prompt_tokens) / target.max(1.0)).ceil();
        let limit = self.max_parts(demand.service);
        let parts = (by_time as usize).min(limit).max(memory_parts(model, demand).min(MAX_PARTS));
        parts.min(self.engine_counts.get(&demand.service).copied().unwrap_or(1)).max(1)
    }

    /// Selects the plain server with the lowest slot utilization; recent failures count as
    /// utilization.
    fn choose_plain(&self, service: &ServingService, input: &ChoiceInput) -> ChoiceResult {
        let mut ranking = CandidateRanking::new(|fill: &f64, other: &f64| fill < other);
        for (engine, record) in self.fleet.usable(input.now, &service.name) {
            if input.excluded.contains(&engine) {
                continue;
            }
            let Some(needs_permit) = self.needs_permit(input, engine) else { continue };
            ranking.candidates += 1;
            let requests = input.load(engine).requests;
            let may_resume = || requests == 0 || !self.fleet.is_half_open(input.now, engine);
            if requests >= record.entry.slots as usize || !may_resume() {
                continue;
            }
            let failure = record.failure_probability(input.now);
            let is_remote_domain = record.entry.failure_domain != self.failure_domain;
            let fill = requests as f64 / f64::from(record.entry.slots)
                + failure * PLAIN_FAILURE_WEIGHT
                + if is_remote_domain { REMOTE_DOMAIN_PENALTY } else { 0.0 };
            let choice = PlacementChoice {
                engine,
                helpers: Vec::new(),
                forecast: EngineForecast::default(),
                cost: 0.0,
                failure,
                requests,
                candidates: 0,
            };
            ranking.add(needs_permit, fill, choice);
        }
        ranking.close()
    }

    /// Scores an engine; packing counts only for short requests within the packing bounds.
    fn score_candidate(
        &self,
        model: &LatencyModel,
        input: &ChoiceInput,
        record: &EngineRecord,
        load: &EngineLoad,
        forecast: &EngineForecast,
        cost: f64,
    ) -> CandidateScore {
        let demand = input.demand;
        let gap = f64::from(demand.gap_target_ms);
        let first_event_limit =
            f64::from(demand.first_event_target_ms) * input.packing.first_event_share;
        let slot_limit = f64::from(model.slots) * input.packing.slot_share;
        let has_packing_room =
            forecast.first_event_ms <= first_event_limit && (load.requests as f64) < slot_limit;
        let gaps = || load.decodes.iter().map(|other| other.gap_target_ms);
        let similar = gaps().filter(|other| *other <= gap * SIMILAR_GAP_RATIO).count();
        let tightest = gaps().fold(f64::INFINITY, f64::min);
        let is_packed =
            !model.is_long_prompt(demand) && has_packing_room && tightest >= gap * MIN_GAP_RATIO;
        CandidateScore {
            cost,
            similar_decodes: if is_packed { similar } else { 0 },
            first_event_ms: forecast.first_event_ms,
            is_remote_domain: record.entry.failure_domain != self.failure_domain,
        }
    }
}

/// Ranks candidates by lowest cost, then most similar decodes, then earliest first event, then own
/// failure domain.
#[value]
struct CandidateScore {
    cost: f64,
    similar_decodes: usize,
    first_event_ms: f64,
    is_remote_domain: bool,
}

impl CandidateScore {
    /// Differences of cost up to this are within the error of the estimates and count as equal.
    const COST_TOLERANCE: f64 = 0.05;
    /// First events that differ by no more than this count as equal; the failure domain then
    /// decides.
    const FIRST_EVENT_TOLERANCE_MS: f64 = 3.0;

    fn is_better_than(&self, other: &CandidateScore) -> bool {
        if (self.cost - other.cost).abs() > Self::COST_TOLERANCE {
            return self.cost < other.cost;
        }
        if self.similar_decodes != other.similar_decodes {
            return self.similar_decodes > other.similar_decodes;
        }
        if (self.first_event_ms - other.first_event_ms).abs() > Self::FIRST_EVENT_TOLERANCE_MS {
            return self.first_event_ms < other.first_event_ms;
        }
        !self.is_remote_domain && other.is_remote_domain
    }
}
