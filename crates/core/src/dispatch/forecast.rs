//! Predicts when a request gets its first event on an engine, and whom it delays there.
//!
//! An engine works in passes. A pass with writers makes `stride` steps, and between the steps it
//! reads pieces of waiting prompts, so one long prompt stretches the pauses of every writer.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::value;

use crate::{
    fleet::{EngineTag, FleetTable},
    time::Time,
    work::{WorkEntry, WorkNeed, WorkPhase, WorkView},
};

/// Part of a pause aim that a forecast may use up.
const GAP_SHARE: f64 = 0.9;
/// Part of a read that is assumed to be left when it takes longer than forecast.
const OVERDUE_SHARE: f64 = 0.05;

/// How an engine of a service works, as the operators publish it. Times are in milliseconds.
#[value]
pub struct PassModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u32,
    /// A step without work.
    pub step_ms: f64,
    /// Added to a step by each writer.
    pub writer_ms: f64,
    /// Added to a step by each thousand tokens of context.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Added to a read by each million pairs of a token and an earlier one.
    pub pairs_ms: f64,
    /// Most prompt tokens read in a step.
    pub chunk: u32,
    /// Steps of a pass with writers.
    pub stride: u32,
    /// Added to each step of a prompt that several engines hold.
    pub hop_ms: f64,
}

impl PassModel {
    /// Time to read a prompt on one idle engine.
    pub fn read_ms(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_per_ms.max(f64::MIN_POSITIVE) + pairs * self.pairs_ms
    }

    /// Whether its read takes longer than the pauses between events may be.
    pub fn is_long(&self, need: &WorkNeed) -> bool {
        self.read_ms(need.prompt) > f64::from(need.gap_aim_ms)
    }

    /// Time of a step.
    fn step_time(&self, writers: usize, context: f64) -> f64 {
        self.step_ms + self.writer_ms * writers as f64 + self.context_ms * context / 1e3
    }

    /// Time to write an answer alone on an engine.
    pub fn write_ms(&self, prompt: u32, answer: u32) -> f64 {
        self.step_time(1, f64::from(prompt)) * f64::from(answer)
    }

    /// Part of a read that fits into one pass with writers.
    fn pass_share(&self, prompt: f64) -> f64 {
        (f64::from(self.stride) * f64::from(self.chunk) / prompt.max(1.0)).min(1.0)
    }
}

/// A prompt that an engine has yet to read.
#[value]
pub struct EngineReader {
    /// Time until it is read.
    pub left_ms: f64,
    /// Rank.
    pub priority: u8,
    /// Longest pause with which its answer is on time.
    pub gap_ms: f64,
    /// Longest part of its read that falls into one pass.
    pub pass_ms: f64,
}

/// A request whose answer an engine is writing.
#[value]
#[derive(Copy)]
pub struct EngineWriter {
    /// Longest pause with which its answer is on time; 0 if it is no stream.
    pub gap_ms: f64,
    /// Rank.
    pub priority: u8,
}

/// What an engine has to do.
#[value]
#[derive(Default)]
pub struct EngineLoad {
    /// Requests whose answers are being written.
    pub writers: Vec<EngineWriter>,
    /// Context of the writers, in tokens.
    pub context: f64,
    /// Prompts to read, in the order in which they were sent.
    pub readers: Vec<EngineReader>,
    /// Memory that is taken, in tokens.
    pub held: f64,
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
    pub first_ms: f64,
    /// Requests that would become late by it.
    pub harmed: usize,
    /// Those of them that are more urgent.
    pub harmed_above: usize,
    /// Whether it would be late itself, measured from its arrival.
    pub is_late: bool,
}

impl EngineLoad {
    /// An engine without work.
    pub const IDLE: EngineLoad = EngineLoad {
        writers: Vec::new(),
        context: 0.0,
        readers: Vec::new(),
        held: 0.0,
        requests: 0,
        busy_ms: 0.0,
    };

    /// Adds a request that was sent to several engines, of which this is one.
    pub fn add(
        &mut self,
        model: Option<&PassModel>,
        entry: &WorkEntry,
        pace: f64,
        is_first: bool,
        now: Time,
    ) {
        if is_first {
            self.requests += 1;
        }
        let Some(model) = model else { return };
        let need = &entry.need;
        let parts = entry.engines.len().max(1) as f64;
        let gap_ms = f64::from(need.gap_aim_ms);
        let must_split = need.prompt.saturating_add(need.answer) > model.memory;
        self.held += match (must_split, is_first) {
            (true, _) => f64::from(need.prompt) / parts,
            (false, true) => f64::from(need.prompt.saturating_add(need.answer)),
            (false, false) => 0.0,
        };
        let write_ms = model.write_ms(need.prompt, need.answer) * pace;
        let elapsed = now.since(entry.since).as_secs_f64() * 1e3;
        if entry.phase == WorkPhase::Writing {
            self.busy_ms = self.busy_ms.max(write_ms - elapsed);
            if is_first {
                self.writers.push(EngineWriter { gap_ms, priority: need.priority });
            }
            // Engines that hold a part take it into each of their steps.
            if is_first || must_split {
                self.context += f64::from(need.prompt) / if must_split { parts } else { 1.0 };
            }
            return;
        }
        let read_ms = model.read_ms(need.prompt) / parts * pace;
        let before = self.readers.last().map_or(0.0, |reader| reader.left_ms);
        // A read starts when the one before it ends; what of that is over shortens this one.
        let left_ms = (before + read_ms - if before > 0.0 { 0.0 } else { elapsed })
            .max(before + read_ms * OVERDUE_SHARE);
        let pass_ms = read_ms * model.pass_share(f64::from(need.prompt) / parts);
        self.busy_ms = self.busy_ms.max(left_ms + write_ms);
        self.readers.push(EngineReader { left_ms, priority: need.priority, gap_ms, pass_ms });
    }

    /// Time until every waiting prompt is read.
    pub fn backlog_ms(&self) -> f64 {
        self.readers.last().map_or(0.0, |reader| reader.left_ms)
    }

    /// Forecasts a request that is read by `parts` engines like this one.
    pub fn forecast(
        &self,
        model: &PassModel,
        need: &WorkNeed,
        parts: usize,
        pace: f64,
        waited: Duration,
    ) -> EngineForecast {
        let read_ms = model.read_ms(need.prompt) / parts as f64 * pace;
        let part = f64::from(need.prompt) / parts as f64;
        let step = model.step_time(self.writers.len(), self.context) * pace;
        let steps = if self.writers.is_empty() { 1.0 } else { f64::from(model.stride) };
        let pass_ms = step * steps;
        let is_idle = self.writers.is_empty() && self.readers.is_empty();
        let passes = (1.0 / model.pass_share(part)).ceil();
        let wait_ms = if is_idle { 0.0 } else { pass_ms / 2.0 };
        let first_step = model.step_time(self.writers.len() + 1, self.context + part) * pace;
        let first_ms = wait_ms
            + self.backlog_ms()
            + read_ms
            + pass_ms * (passes - 1.0)
            + first_step * f64::from(model.stride);
        let own_pass = read_ms * model.pass_share(part);
        let pending = self.readers.iter().map(|reader| reader.pass_ms).sum::<f64>();
        let pause = pass_ms + pending;
        let harmed_writers = self.writers.iter().filter(|writer| {
            let limit = writer.gap_ms * GAP_SHARE;
            writer.gap_ms > 0.0 && pause <= limit && pause + own_pass > limit
        });
        let harmed_readers = self
            .readers
            .iter()
            .filter(|reader| reader.gap_ms > 0.0 && pass_ms + own_pass > reader.gap_ms * GAP_SHARE);
        let harmed_ranks = harmed_writers.map(|writer| writer.priority);
        let harmed_ranks = harmed_ranks.chain(harmed_readers.map(|reader| reader.priority));
        let (harmed, harmed_above) = harmed_ranks.fold((0, 0), |(all, above), rank| {
            (all + 1, above + usize::from(rank < need.priority))
        });
        EngineForecast {
            first_ms,
            harmed,
            harmed_above,
            is_late: waited.as_secs_f64() * 1e3 + first_ms > f64::from(need.first_aim_ms),
        }
    }
}

impl EngineLoad {
    /// Time between two events of an answer, if no prompt is read meanwhile.
    pub fn pass_ms(&self, model: &PassModel) -> Option<f64> {
        let is_calm = self.readers.is_empty() && !self.writers.is_empty();
        let step = model.step_time(self.writers.len(), self.context);
        is_calm.then_some(step * f64::from(model.stride))
    }
}

/// The loads of all engines, from the work of all hosts.
pub fn collect_loads(
    now: Time,
    view: &WorkView,
    fleet: &FleetTable,
    models: &BTreeMap<u64, Option<PassModel>>,
) -> BTreeMap<EngineTag, EngineLoad> {
    let mut loads: BTreeMap<EngineTag, EngineLoad> = BTreeMap::new();
    for entry in sent_work(view, |_| true) {
        let model = models.get(&entry.need.service).and_then(Option::as_ref);
        for (index, tag) in entry.engines.iter().enumerate() {
            let pace = fleet.get(*tag).map_or(1.0, |record| record.slowdown(now));
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
    model: &PassModel,
    engine: EngineTag,
) -> EngineLoad {
    let pace = fleet.get(engine).map_or(1.0, |record| record.slowdown(now));
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
    sent.sort_by_key(|entry| entry.since);
    sent
}
