//! Predicts when a request gets its first event on an engine, and whom it delays there.
//!
//! An engine works in passes. A pass with writers makes `stride` steps, and between the steps it
//! reads pieces of waiting prompts, so one long prompt stretches the pauses of every writer.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::value;

use crate::{
    fleet::{EngineTag, FleetTable},
    time::Time,
    work::{WorkDemand, WorkEntry, WorkPhase, WorkView},
};

/// Part of a pause aim that a forecast may use up.
const GAP_SHARE: f64 = 0.9;
/// Part of a read that is assumed to be left when it takes longer than forecast.
const OVERDUE_SHARE: f64 = 0.05;

/// How an engine of a service works, as the operators publish it. Times are in milliseconds.
#[value]
pub struct LatencyModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u32,
    /// A step without work.
    pub step_ms: f64,
    /// Added to a step by each writer.
    pub per_sequence_ms: f64,
    /// Added to a step by each thousand tokens of context.
    pub per_1k_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Added to a read by each million pairs of a token and an earlier one.
    pub per_1m_pairs_ms: f64,
    /// Most prompt tokens read in a step.
    pub chunk_tokens: u32,
    /// Steps of a pass with writers.
    pub steps_per_pass: u32,
    /// Added to each step of a prompt that several engines hold.
    pub hop_ms: f64,
}

impl LatencyModel {
    /// Time to read a prompt on one idle engine.
    pub fn prefill_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE) + pairs * self.per_1m_pairs_ms
    }

    /// Whether its read takes longer than the pauses between events may be.
    pub fn is_long_prompt(&self, need: &WorkDemand) -> bool {
        self.prefill_ms(need.prompt_tokens) > f64::from(need.gap_target_ms)
    }

    /// Time of a step.
    fn step_time(&self, writers: usize, context: f64) -> f64 {
        self.step_ms
            + self.per_sequence_ms * writers as f64
            + self.per_1k_context_ms * context / 1e3
    }

    /// Time to write an answer alone on an engine.
    pub fn decode_ms(&self, prompt: u32, answer: u32) -> f64 {
        self.step_time(1, f64::from(prompt)) * f64::from(answer)
    }

    /// Part of a read that fits into one pass with writers.
    fn pass_fraction(&self, prompt: f64) -> f64 {
        (f64::from(self.steps_per_pass) * f64::from(self.chunk_tokens) / prompt.max(1.0)).min(1.0)
    }
}

/// A prompt that an engine has yet to read.
#[value]
pub struct PendingPrefill {
    /// Time until it is read.
    pub remaining_ms: f64,
    /// Rank.
    pub priority: u8,
    /// Longest pause with which its answer is on time.
    pub gap_target_ms: f64,
    /// Longest part of its read that falls into one pass.
    pub per_pass_ms: f64,
}

/// A request whose answer an engine is writing.
#[value]
#[derive(Copy)]
pub struct ActiveDecode {
    /// Longest pause with which its answer is on time; 0 if it is no stream.
    pub gap_target_ms: f64,
    /// Rank.
    pub priority: u8,
}

/// What an engine has to do.
#[value]
#[derive(Default)]
pub struct EngineLoad {
    /// Requests whose answers are being written.
    pub decodes: Vec<ActiveDecode>,
    /// Context of the writers, in tokens.
    pub context_tokens: f64,
    /// Prompts to read, in the order in which they were sent.
    pub prefills: Vec<PendingPrefill>,
    /// Memory that is taken, in tokens.
    pub held_tokens: f64,
    /// Requests sent and not ended.
    pub requests: usize,
    /// Time until all of them have ended, if their answers are as long as they may be.
    pub busy_ms: f64,
}

/// What a request would meet on an engine.
#[value]
#[derive(Default)]
pub struct EngineForecast {
    /// Time to the first event.
    pub first_event_ms: f64,
    /// Requests that would become late by it.
    pub delayed: usize,
    /// Those of them that are more urgent.
    pub delayed_more_urgent: usize,
    /// Whether it would be late itself, measured from its arrival.
    pub is_late: bool,
}

impl EngineLoad {
    /// An engine without work.
    pub const IDLE: EngineLoad = EngineLoad {
        decodes: Vec::new(),
        context_tokens: 0.0,
        prefills: Vec::new(),
        held_tokens: 0.0,
        requests: 0,
        busy_ms: 0.0,
    };

    /// Adds a request that was sent to several engines, of which this is one.
    pub fn add(
        &mut self,
        model: Option<&LatencyModel>,
        entry: &WorkEntry,
        pace: f64,
        is_first: bool,
        now: Time,
    ) {
        if is_first {
            self.requests += 1;
        }
        let Some(model) = model else { return };
        let need = &entry.demand;
        let parts = entry.engines.len().max(1) as f64;
        let gap_ms = f64::from(need.gap_target_ms);
        let must_split =
            need.prompt_tokens.saturating_add(need.answer_tokens) > model.memory_tokens;
        self.held_tokens += match (must_split, is_first) {
            (true, _) => f64::from(need.prompt_tokens) / parts,
            (false, true) => f64::from(need.prompt_tokens.saturating_add(need.answer_tokens)),
            (false, false) => 0.0,
        };
        let write_ms = model.decode_ms(need.prompt_tokens, need.answer_tokens) * pace;
        let elapsed = now.since(entry.phase_start).as_secs_f64() * 1e3;
        if entry.phase == WorkPhase::Responding {
            self.busy_ms = self.busy_ms.max(write_ms - elapsed);
            if is_first {
                self.decodes.push(ActiveDecode { gap_target_ms: gap_ms, priority: need.priority });
            }
            // Engines that hold a part take it into each of their steps.
            if is_first || must_split {
                self.context_tokens +=
                    f64::from(need.prompt_tokens) / if must_split { parts } else { 1.0 };
            }
            return;
        }
        let read_ms = model.prefill_ms(need.prompt_tokens) / parts * pace;
        let before = self.prefills.last().map_or(0.0, |reader| reader.remaining_ms);
        // A read starts when the one before it ends; what of that is over shortens this one.
        let left_ms = (before + read_ms - if before > 0.0 { 0.0 } else { elapsed })
            .max(before + read_ms * OVERDUE_SHARE);
        let pass_ms = read_ms * model.pass_fraction(f64::from(need.prompt_tokens) / parts);
        self.busy_ms = self.busy_ms.max(left_ms + write_ms);
        self.prefills.push(PendingPrefill {
            remaining_ms: left_ms,
            priority: need.priority,
            gap_target_ms: gap_ms,
            per_pass_ms: pass_ms,
        });
    }

    /// Time until every waiting prompt is read.
    pub fn backlog_ms(&self) -> f64 {
        self.prefills.last().map_or(0.0, |reader| reader.remaining_ms)
    }

    /// Forecasts a request that is read by `parts` engines like this one.
    pub fn forecast(
        &self,
        model: &LatencyModel,
        need: &WorkDemand,
        parts: usize,
        pace: f64,
        waited: Duration,
    ) -> EngineForecast {
        let read_ms = model.prefill_ms(need.prompt_tokens) / parts as f64 * pace;
        let part = f64::from(need.prompt_tokens) / parts as f64;
        let step = model.step_time(self.decodes.len(), self.context_tokens) * pace;
        let steps = if self.decodes.is_empty() { 1.0 } else { f64::from(model.steps_per_pass) };
        let pass_ms = step * steps;
        let is_idle = self.decodes.is_empty() && self.prefills.is_empty();
        let passes = (1.0 / model.pass_fraction(part)).ceil();
        let wait_ms = if is_idle { 0.0 } else { pass_ms / 2.0 };
        let first_step = model.step_time(self.decodes.len() + 1, self.context_tokens + part) * pace;
        let first_ms = wait_ms
            + self.backlog_ms()
            + read_ms
            + pass_ms * (passes - 1.0)
            + first_step * f64::from(model.steps_per_pass);
        let own_pass = read_ms * model.pass_fraction(part);
        let pending = self.prefills.iter().map(|reader| reader.per_pass_ms).sum::<f64>();
        let pause = pass_ms + pending;
        let harmed_writers = self.decodes.iter().filter(|writer| {
            let limit = writer.gap_target_ms * GAP_SHARE;
            writer.gap_target_ms > 0.0 && pause <= limit && pause + own_pass > limit
        });
        let harmed_readers = self.prefills.iter().filter(|reader| {
            reader.gap_target_ms > 0.0 && pass_ms + own_pass > reader.gap_target_ms * GAP_SHARE
        });
        let harmed_ranks = harmed_writers.map(|writer| writer.priority);
        let harmed_ranks = harmed_ranks.chain(harmed_readers.map(|reader| reader.priority));
        let (harmed, harmed_above) = harmed_ranks.fold((0, 0), |(all, above), rank| {
            (all + 1, above + usize::from(rank < need.priority))
        });
        EngineForecast {
            first_event_ms: first_ms,
            delayed: harmed,
            delayed_more_urgent: harmed_above,
            is_late: waited.as_secs_f64() * 1e3 + first_ms > f64::from(need.first_event_target_ms),
        }
    }
}

impl EngineLoad {
    /// Time between two events of an answer, if no prompt is read meanwhile.
    pub fn pass_ms(&self, model: &LatencyModel) -> Option<f64> {
        let is_calm = self.prefills.is_empty() && !self.decodes.is_empty();
        let step = model.step_time(self.decodes.len(), self.context_tokens);
        is_calm.then_some(step * f64::from(model.steps_per_pass))
    }
}

/// The loads of all engines, from the work of all hosts.
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
            let pace = fleet.get(*tag).map_or(1.0, |record| record.pace(now));
            loads.entry(*tag).or_default().add(model, entry, pace, index == 0, now);
        }
    }
    loads
}

/// The load of one engine.
pub fn collect_load(
    now: Time,
    view: &WorkView,
    fleet: &FleetTable,
    model: &LatencyModel,
    engine: EngineTag,
) -> EngineLoad {
    let pace = fleet.get(engine).map_or(1.0, |record| record.pace(now));
    let mut load = EngineLoad::default();
    for entry in sent_work(view, |entry| entry.engines.contains(&engine)) {
        load.add(Some(model), entry, pace, entry.engines.first() == Some(&engine), now);
    }
    load
}

/// Work that was sent, in the order in which it was.
fn sent_work(view: &WorkView, is_wanted: impl Fn(&WorkEntry) -> bool) -> Vec<&WorkEntry> {
    let sent = view.all().map(|(_, _, entry)| entry);
    let mut sent: Vec<_> =
        sent.filter(|one| one.phase != WorkPhase::Waiting && is_wanted(one)).collect();
    sent.sort_by_key(|entry| entry.phase_start);
    sent
}
