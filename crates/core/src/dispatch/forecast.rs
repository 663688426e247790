//! Forecasts the time to the first event of a request on an engine, and the requests it delays.
//!
//! An engine runs in passes. A pass with decodes makes [`LatencyModel::steps_per_pass`] decode
//! steps, interleaved with chunks of pending prefills, so one long prompt lengthens the gaps
//! between events of every decode.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::value;

use crate::{
    fleet::{EngineTag, FleetTable},
    time::Time,
    work::{WorkDemand, WorkEntry, WorkPhase, WorkView},
};

/// Fraction of a gap target up to which a forecast gap counts as on time.
const GAP_TARGET_SHARE: f64 = 0.9;
/// Fraction of a prefill assumed to remain when it takes longer than forecast.
const OVERDUE_SHARE: f64 = 0.05;

/// Capacity and timing of a service's engines, as configured by the operators.
#[value]
pub struct LatencyModel {
    /// Requests that run concurrently on one engine.
    pub slots: u32,
    /// KV cache capacity, in tokens.
    pub memory_tokens: u32,
    /// Base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step by each running decode, in milliseconds.
    pub per_sequence_ms: f64,
    /// Added to a step per 1,000 tokens of context, in milliseconds.
    pub per_1k_context_ms: f64,
    /// Prefill throughput, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost added to a prefill per million pairs of a token and an earlier one, in
    /// milliseconds.
    pub per_1m_pairs_ms: f64,
    /// Most prompt tokens prefilled in a step.
    pub chunk_tokens: u32,
    /// Decode steps of a pass with running decodes; events are sent once per pass.
    pub steps_per_pass: u32,
    /// Added to each step of a request whose prompt is split over engines, in milliseconds. Not
    /// part of the forecasts.
    pub hop_ms: f64,
}

impl LatencyModel {
    /// Prefill time of a prompt on one idle engine, in milliseconds.
    pub fn prefill_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE) + pairs * self.per_1m_pairs_ms
    }

    /// Whether a prompt is long: its prefill on one engine exceeds its own gap target.
    pub fn is_long_prompt(&self, demand: &WorkDemand) -> bool {
        self.prefill_ms(demand.prompt_tokens) > f64::from(demand.gap_target_ms)
    }

    /// Time of a decode step, in milliseconds.
    fn step_time(&self, decodes: usize, context: f64) -> f64 {
        self.step_ms
            + self.per_sequence_ms * decodes as f64
            + self.per_1k_context_ms * context / 1e3
    }

    /// Decode time of an answer alone on an engine, in milliseconds.
    pub fn decode_ms(&self, prompt: u32, answer: u32) -> f64 {
        self.step_time(1, f64::from(prompt)) * f64::from(answer)
    }

    /// Fraction of a prefill that fits into one pass with decodes.
    fn pass_fraction(&self, prompt: f64) -> f64 {
        (f64::from(self.steps_per_pass) * f64::from(self.chunk_tokens) / prompt.max(1.0)).min(1.0)
    }
}

/// A prompt that an engine has yet to prefill.
#[value]
pub struct PendingPrefill {
    /// Time until its prefill ends, prefills ahead included, in milliseconds.
    pub remaining_ms: f64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Target for the longest gap between events, in milliseconds; 0 if it is not streamed.
    pub gap_target_ms: f64,
    /// Largest share of its prefill time within one pass, in milliseconds.
    pub per_pass_ms: f64,
}

/// A request that an engine is decoding.
#[value]
#[derive(Copy)]
pub struct ActiveDecode {
    /// Target for the longest gap between events, in milliseconds; 0 if it is not streamed.
    pub gap_target_ms: f64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// Estimated load of an engine.
#[value]
#[derive(Default)]
pub struct EngineLoad {
    /// Requests being decoded.
    pub decodes: Vec<ActiveDecode>,
    /// Combined context of the decodes, in tokens.
    pub context_tokens: f64,
    /// Pending prefills in the order in which they were sent.
    pub prefills: Vec<PendingPrefill>,
    /// KV cache in use, in tokens.
    pub held_tokens: f64,
    /// Requests in flight that this engine answers.
    pub requests: usize,
    /// Time until all work has ended if every answer has its maximum length, in milliseconds.
    pub busy_ms: f64,
}

/// Forecast effects of placing a request on an engine.
#[value]
#[derive(Default)]
pub struct EngineForecast {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Requests already on the engine that would miss their gap target because of it.
    pub delayed: usize,
    /// Delayed requests that are more urgent than the placed one.
    pub delayed_more_urgent: usize,
    /// Whether the request itself would miss its first event target, measured from its arrival.
    pub is_late: bool,
}

impl EngineLoad {
    /// Load of an engine without work.
    pub const IDLE: EngineLoad = EngineLoad {
        decodes: Vec::new(),
        context_tokens: 0.0,
        prefills: Vec::new(),
        held_tokens: 0.0,
        requests: 0,
        busy_ms: 0.0,
    };

    /// Adds a request in flight. `is_first` tells whether this engine answers it or only holds a
    /// part of its prompt. Without a model, only the request is counted.
    pub fn add(
        &mut self,
        model: Option<&LatencyModel>,
        entry: &WorkEntry,
        slowdown: f64,
        is_first: bool,
        now: Time,
    ) {
        if is_first {
            self.requests += 1;
        }
        let Some(model) = model else { return };
        let demand = &entry.demand;
        let parts = entry.engines.len().max(1) as f64;
        let gap_target_ms = f64::from(demand.gap_target_ms);
        let must_split =
            demand.prompt_tokens.saturating_add(demand.answer_tokens) > model.memory_tokens;
        self.held_tokens += match (must_split, is_first) {
            (true, _) => f64::from(demand.prompt_tokens) / parts,
            (false, true) => f64::from(demand.prompt_tokens.saturating_add(demand.answer_tokens)),
            (false, false) => 0.0,
        };
        let decode_ms = model.decode_ms(demand.prompt_tokens, demand.answer_tokens) * slowdown;
        let elapsed = now.since(entry.phase_start).as_secs_f64() * 1e3;
        if entry.phase == WorkPhase::Responding {
            self.busy_ms = self.busy_ms.max(decode_ms - elapsed);
            if is_first {
                self.decodes.push(ActiveDecode { gap_target_ms, priority: demand.priority });
            }
            // Every engine that holds a part of the KV cache attends to it in each step.
            if is_first || must_split {
                self.context_tokens +=
                    f64::from(demand.prompt_tokens) / if must_split { parts } else { 1.0 };
            }
            return;
        }
        let prefill_ms = model.prefill_ms(demand.prompt_tokens) / parts * slowdown;
        let before = self.prefills.last().map_or(0.0, |prefill| prefill.remaining_ms);
        // A prefill starts when the one before it ends, so only the first has made progress.
        let remaining_ms = (before + prefill_ms - if before > 0.0 { 0.0 } else { elapsed })
            .max(before + prefill_ms * OVERDUE_SHARE);
        let per_pass_ms = prefill_ms * model.pass_fraction(f64::from(demand.prompt_tokens) / parts);
        self.busy_ms = self.busy_ms.max(remaining_ms + decode_ms);
        self.prefills.push(PendingPrefill {
            remaining_ms,
            priority: demand.priority,
            gap_target_ms,
            per_pass_ms,
        });
    }

    /// Time until all pending prefills have ended, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        self.prefills.last().map_or(0.0, |prefill| prefill.remaining_ms)
    }

    /// Forecasts a request whose prompt is split over `parts` engines with this load. `slowdown`
    /// scales the modelled times, and `waited` is the time since the request arrived.
    pub fn forecast(
        &self,
        model: &LatencyModel,
        demand: &WorkDemand,
        parts: usize,
        slowdown: f64,
        waited: Duration,
    ) -> EngineForecast {
        let prefill_ms = model.prefill_ms(demand.prompt_tokens) / parts as f64 * slowdown;
        let part = f64::from(demand.prompt_tokens) / parts as f64;
        let step = model.step_time(self.decodes.len(), self.context_tokens) * slowdown;
        let steps = if self.decodes.is_empty() { 1.0 } else { f64::from(model.steps_per_pass) };
        let pass_ms = step * steps;
        let is_idle = self.decodes.is_empty() && self.prefills.is_empty();
        let passes = (1.0 / model.pass_fraction(part)).ceil();
        let wait_ms = if is_idle { 0.0 } else { pass_ms / 2.0 };
        let first_step =
            model.step_time(self.decodes.len() + 1, self.context_tokens + part) * slowdown;
        let first_event_ms = wait_ms
            + self.backlog_ms()
            + prefill_ms
            + pass_ms * (passes - 1.0)
            + first_step * f64::from(model.steps_per_pass);
        let own_per_pass = prefill_ms * model.pass_fraction(part);
        let pending = self.prefills.iter().map(|prefill| prefill.per_pass_ms).sum::<f64>();
        let gap_ms = pass_ms + pending;
        let delayed_decodes = self.decodes.iter().filter(|decode| {
            let limit = decode.gap_target_ms * GAP_TARGET_SHARE;
            decode.gap_target_ms > 0.0 && gap_ms <= limit && gap_ms + own_per_pass > limit
        });
        let delayed_prefills = self.prefills.iter().filter(|prefill| {
            prefill.gap_target_ms > 0.0
                && pass_ms + own_per_pass > prefill.gap_target_ms * GAP_TARGET_SHARE
        });
        let delayed_ranks = delayed_decodes.map(|decode| decode.priority);
        let delayed_ranks = delayed_ranks.chain(delayed_prefills.map(|prefill| prefill.priority));
        let (delayed, delayed_more_urgent) = delayed_ranks
            .fold((0, 0), |(all, more_urgent), rank| {
                (all + 1, more_urgent + usize::from(rank < demand.priority))
            });
        EngineForecast {
            first_event_ms,
            delayed,
            delayed_more_urgent,
            is_late: waited.as_secs_f64() * 1e3 + first_event_ms
                > f64::from(demand.first_event_target_ms),
        }
    }
}

impl EngineLoad {
    /// Modelled time between two events, in milliseconds; `None` while prefills are pending or
    /// nothing is decoded.
    pub fn pass_ms(&self, model: &LatencyModel) -> Option<f64> {
        let only_decodes = self.prefills.is_empty() && !self.decodes.is_empty();
        let step = model.step_time(self.decodes.len(), self.context_tokens);
        only_decodes.then_some(step * f64::from(model.steps_per_pass))
    }
}

/// Computes the loads of all engines from the work of all hosts.
pub fn collect_loads(
    now: Time,
    view: &WorkView,
    fleet: &FleetTable,
    models: &BTreeMap<u64, Option<LatencyModel>>,
) -> BTreeMap<EngineTag, EngineLoad> {
    let mut loads: BTreeMap<EngineTag, EngineLoad> = BTreeMap::new();
    for entry in sent_work(view, |_| true) {
        let model = models.get(&entry.demand.service).and_then(Option::as_ref);
        for (index, tag) in entry.engines.iter().enumerate() {
            let slowdown = fleet.get(*tag).map_or(1.0, |record| record.slowdown(now));
            loads.entry(*tag).or_default().add(model, entry, slowdown, index == 0, now);
        }
    }
    loads
}

/// Computes the load of one engine from the work of all hosts.
pub fn collect_load(
    now: Time,
    view: &WorkView,
    fleet: &FleetTable,
    model: &LatencyModel,
    engine: EngineTag,
) -> EngineLoad {
    let slowdown = fleet.get(engine).map_or(1.0, |record| record.slowdown(now));
    let mut load = EngineLoad::default();
    for entry in sent_work(view, |entry| entry.engines.contains(&engine)) {
        load.add(Some(model), entry, slowdown, entry.engines.first() == Some(&engine), now);
    }
    load
}

/// Work in flight, ordered by the start of its current phase.
fn sent_work(view: &WorkView, is_wanted: impl Fn(&WorkEntry) -> bool) -> Vec<&WorkEntry> {
    let sent = view.all().map(|(_, _, entry)| entry);
    let mut sent: Vec<_> =
        sent.filter(|entry| entry.phase != WorkPhase::Waiting && is_wanted(entry)).collect();
    sent.sort_by_key(|entry| entry.phase_start);
    sent
}
