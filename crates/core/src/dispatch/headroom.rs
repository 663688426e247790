//! Keeps room for the most urgent rank while lower ranks ask for more than there is.
//!
//! Engines read one prompt after the other and take no more requests than they have places, so work
//! that was placed can't be moved out of the way. Lower ranks therefore never take the last engines
//! on which a short urgent prompt would be answered in time: as many as urgent work fills now, and
//! some more. They may work there as long as that stays true.
//!
//! The pattern it answers: one urgent question after days of long prompts from everyone else.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::value;

use super::{EngineLoad, LatencyModel, choose::LOOSE_GATHERING};
use crate::{
    fleet::EngineTag,
    work::{AccountTag, WorkDemand},
};

/// Smallest number of engines of which some are kept open: with fewer, too much would be idle.
const LEAST_ENGINES: usize = 3;
/// Part of the engines that is kept open beside those that urgent work fills, at least one.
const OPEN_SHARE: f64 = 0.03;
/// Part of the urgent aim that reading a short urgent prompt takes.
const READ_SHARE: f64 = 0.2;

/// The most urgent rank that a service has, and how soon it is to be answered.
#[value]
pub struct UrgentTarget {
    /// Rank.
    pub priority: u8,
    /// Time to the first event within which it is on time, in milliseconds.
    pub first_event_target_ms: u32,
    /// Longest pause between events with which it is on time, in milliseconds.
    pub gap_target_ms: u32,
}

impl UrgentTarget {
    /// A short urgent prompt.
    fn need(&self, model: &LatencyModel) -> WorkDemand {
        let read_ms = f64::from(self.first_event_target_ms) * READ_SHARE;
        WorkDemand {
            account: AccountTag(0),
            service: 0,
            prompt_tokens: (read_ms * model.prefill_tokens_per_ms) as u32,
            answer_tokens: 0,
            first_event_target_ms: self.first_event_target_ms,
            gap_target_ms: self.gap_target_ms,
            priority: self.priority,
        }
    }

    /// Whether an engine would answer a short urgent prompt in time.
    fn is_open(&self, model: &LatencyModel, load: &EngineLoad, slots: usize, pace: f64) -> bool {
        let need = self.need(model);
        let room = f64::from(model.memory_tokens) - load.held_tokens;
        load.requests < slots
            && f64::from(need.prompt_tokens) <= room
            && !load.forecast(model, &need, 1, pace, Duration::ZERO).is_late
    }
}

/// An engine with its places and how many times as long as usual it works.
#[value]
#[derive(Copy)]
pub(super) struct EnginePlaces {
    pub tag: EngineTag,
    pub slots: usize,
    pub pace: f64,
}

/// Which engines are open to urgent work.
pub(super) struct OpenEngines<'a> {
    aim: &'a UrgentTarget,
    model: &'a LatencyModel,
    open: BTreeMap<EngineTag, EnginePlaces>,
    count: usize,
    kept: usize,
}

impl<'a> OpenEngines<'a> {
    /// Looks at all engines of a service that get requests, of which `urgent` are as urgent as can
    /// be.
    pub fn find(
        aim: &'a UrgentTarget,
        model: &'a LatencyModel,
        engines: impl Iterator<Item = EnginePlaces>,
        loads: &BTreeMap<EngineTag, EngineLoad>,
        urgent: usize,
    ) -> OpenEngines<'a> {
        let idle_load = EngineLoad::default();
        let (mut count, mut open) = (0, BTreeMap::new());
        for engine in engines {
            count += 1;
            let load = loads.get(&engine.tag).unwrap_or(&idle_load);
            if aim.is_open(model, load, engine.slots, engine.pace) {
                open.insert(engine.tag, engine);
            }
        }
        let filled = urgent as f64 / (f64::from(model.slots) * LOOSE_GATHERING.slot_share).max(1.0);
        let share = (count as f64 * OPEN_SHARE + filled).ceil() as usize;
        let kept = if count < LEAST_ENGINES { 0 } else { share.min(count - 1) };
        OpenEngines { aim, model, open, count, kept }
    }

    /// Most engines that one request may ever use.
    pub fn most_parts(&self) -> usize {
        self.count - self.kept
    }

    /// Open engines that may be closed now.
    pub fn spare(&self) -> usize {
        self.open.len().saturating_sub(self.kept)
    }

    /// Whether enough engines stay open if these got this load.
    pub fn may_load(&self, loaded: impl Iterator<Item = (EngineTag, EngineLoad)>) -> bool {
        let closes = |(tag, load): &(EngineTag, EngineLoad)| {
            let engine = self.open.get(tag);
            engine.is_some_and(|one| !self.aim.is_open(self.model, load, one.slots, one.pace))
        };
        let closed = loaded.filter(closes).count();
        closed == 0 || self.open.len() >= self.kept + closed
    }
}
