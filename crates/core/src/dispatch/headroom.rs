//! Keeps headroom for the most urgent rank while lower ranks overload the fleet.
//!
//! Engines prefill prompts in order and have a fixed number of slots, so running work cannot be
//! preempted. Lower ranks therefore leave enough engines on which a short urgent prompt would meet
//! its target: as many as urgent work fills now, plus a share of the fleet. Lower ranks may use
//! these engines as long as the urgent prompt would still be on time.
//!
//! Guards against a rare urgent request being late during a long overload of long prompts.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::value;

use super::{EngineLoad, LatencyModel, choose::LOOSE_PACKING};
use crate::{
    fleet::EngineTag,
    work::{AccountTag, WorkDemand},
};

/// Fewest engines for which headroom is kept. With fewer, it would leave too much capacity idle.
const MIN_ENGINES: usize = 3;
/// Fraction of the engines kept as headroom beyond those that urgent work fills. The sum is rounded
/// up, so at least one engine is kept.
const HEADROOM_SHARE: f64 = 0.03;
/// Prefill time of the assumed short urgent prompt, as a fraction of its first event target.
const PREFILL_SHARE: f64 = 0.2;

/// The most urgent rank of a service and its latency targets.
#[value]
pub struct UrgentTarget {
    /// Most urgent rank; 0 is the highest.
    pub priority: u8,
    /// Target time to the first event, in milliseconds.
    pub first_event_target_ms: u32,
    /// Target for the longest gap between events, in milliseconds; 0 if there is none.
    pub gap_target_ms: u32,
}

impl UrgentTarget {
    /// The short urgent prompt that headroom is kept for.
    fn probe_demand(&self, model: &LatencyModel) -> WorkDemand {
        let prefill_ms = f64::from(self.first_event_target_ms) * PREFILL_SHARE;
        WorkDemand {
            account: AccountTag(0),
            service: 0,
            prompt_tokens: (prefill_ms * model.prefill_tokens_per_ms) as u32,
            answer_tokens: 0,
            first_event_target_ms: self.first_event_target_ms,
            gap_target_ms: self.gap_target_ms,
            priority: self.priority,
        }
    }

    /// Whether a short urgent prompt would meet its first event target on an engine.
    fn is_open(
        &self,
        model: &LatencyModel,
        load: &EngineLoad,
        slots: usize,
        slowdown: f64,
    ) -> bool {
        let demand = self.probe_demand(model);
        let room = f64::from(model.memory_tokens) - load.held_tokens;
        load.requests < slots
            && f64::from(demand.prompt_tokens) <= room
            && !load.forecast(model, &demand, 1, slowdown, Duration::ZERO).is_late
    }
}

/// An engine with its request slots and its slowdown, the ratio of measured to modelled time.
#[value]
#[derive(Copy)]
pub(super) struct EngineSlots {
    pub tag: EngineTag,
    pub slots: usize,
    pub slowdown: f64,
}

/// The engines open to urgent work, and how many must stay so.
pub(super) struct UrgentHeadroom<'a> {
    target: &'a UrgentTarget,
    model: &'a LatencyModel,
    open: BTreeMap<EngineTag, EngineSlots>,
    /// Usable engines of the service.
    count: usize,
    /// Engines that must stay open.
    kept: usize,
}

impl<'a> UrgentHeadroom<'a> {
    /// Computes the headroom of a service from its usable engines and the number of urgent
    /// requests.
    pub fn find(
        target: &'a UrgentTarget,
        model: &'a LatencyModel,
        engines: impl Iterator<Item = EngineSlots>,
        loads: &BTreeMap<EngineTag, EngineLoad>,
        urgent: usize,
    ) -> UrgentHeadroom<'a> {
        let idle_load = EngineLoad::default();
        let (mut count, mut open) = (0, BTreeMap::new());
        for engine in engines {
            count += 1;
            let load = loads.get(&engine.tag).unwrap_or(&idle_load);
            if target.is_open(model, load, engine.slots, engine.slowdown) {
                open.insert(engine.tag, engine);
            }
        }
        let filled = urgent as f64 / (f64::from(model.slots) * LOOSE_PACKING.slot_share).max(1.0);
        let share = (count as f64 * HEADROOM_SHARE + filled).ceil() as usize;
        let kept = if count < MIN_ENGINES { 0 } else { share.min(count - 1) };
        UrgentHeadroom { target, model, open, count, kept }
    }

    /// Most engines that one request of a lower rank may use.
    pub fn max_parts(&self) -> usize {
        self.count - self.kept
    }

    /// Open engines that lower ranks may fill now.
    pub fn spare(&self) -> usize {
        self.open.len().saturating_sub(self.kept)
    }

    /// Whether enough engines stay open if the given engines had the given loads.
    pub fn allows_load(&self, loaded: impl Iterator<Item = (EngineTag, EngineLoad)>) -> bool {
        let closes = |(tag, load): &(EngineTag, EngineLoad)| {
            let engine = self.open.get(tag);
            engine.is_some_and(|engine| {
                !self.target.is_open(self.model, load, engine.slots, engine.slowdown)
            })
        };
        let closed = loaded.filter(closes).count();
        closed == 0 || self.open.len() >= self.kept + closed
    }
}
