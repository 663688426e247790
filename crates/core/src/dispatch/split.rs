//! Splits a long prompt over several engines that prefill its parts at the same time.
//!
//! The total prefill time does not depend on the number of parts, so a split costs no capacity and
//! brings the first event forward. Idle engines take any part. When too few are idle, smaller parts
//! go to engines that are decoding, within the gap targets of their requests.
//!
//! Designed for a burst of long prompts beside a steady load of short ones, in which almost every
//! engine decodes something and few are idle.

use super::{Dispatcher, LatencyModel, MAX_IMMEDIATE_COST, PrefillHelper, choose::ChoiceInput};
use crate::{
    catalog::ServingService,
    fleet::{EngineRecord, EngineTag},
    work::WorkDemand,
};

/// Most engines that one prompt is split over. Engines accept 16 helpers beside the first engine.
pub(super) const MAX_PARTS: usize = 16;
/// Parts that are allowed in a fleet of any size.
const SMALL_FLEET_PARTS: usize = 6;
/// Engines of a service for each part beyond [`SMALL_FLEET_PARTS`]. With 21 engines, 16 parts made
/// other long prompts late that would have had these engines.
const ENGINES_PER_PART: usize = 5;
/// Fraction of an engine's memory that placements may use.
const USABLE_MEMORY_SHARE: f64 = 0.96;

/// Engines that may prefill parts of one prompt next to the first engine, best first.
pub(super) struct HelperPool {
    engines: Vec<EngineTag>,
    /// Number of parts into which the prompt is split, the first engine's included.
    parts: usize,
    /// Longest pass of a helper with running decodes, in milliseconds; 0 if all are idle.
    extra_ms: f64,
}

/// The engines that share one prompt with its first engine.
pub(super) struct PromptSplit {
    pub helpers: Vec<PrefillHelper>,
    /// Number of parts; lower than wanted if too few engines are available.
    pub parts: usize,
    /// Time that passes of helpers add to the first event, in milliseconds.
    pub extra_ms: f64,
}

impl HelperPool {
    /// Finds helpers for a prompt that should be split into `parts`. Idle engines go first. If they
    /// do not suffice, the prompt is split further, until its parts are small enough for engines
    /// that are decoding: a part must not push any of their decodes beyond its gap target.
    pub fn find(
        dispatcher: &Dispatcher,
        service: &ServingService,
        model: &LatencyModel,
        input: &ChoiceInput,
        parts: usize,
    ) -> HelperPool {
        let mut pool = HelperPool { engines: Vec::new(), parts, extra_ms: 0.0 };
        if parts <= 1 {
            return pool;
        }
        let fits = |tag: EngineTag, record: &EngineRecord| {
            input.is_allowed(model, tag)
                && input.load(tag).prefills.is_empty()
                && record.failure_probability(input.now) < MAX_IMMEDIATE_COST
        };
        let mut decoding = Vec::new();
        for (tag, record) in dispatcher.unlimited(input.now, &service.name) {
            if !fits(tag, record) {
                continue;
            }
            if input.is_idle(tag) {
                pool.engines.push(tag);
            } else {
                decoding.push((tag, record.slowdown(input.now)));
            }
        }
        // One more than the helpers, as the first engine may be one of them.
        if pool.engines.len() >= parts || memory_parts(model, input.demand) > 1 {
            return pool;
        }
        for count in parts..=dispatcher.max_parts(input.demand.service) {
            let forecast = |(tag, slowdown): &(EngineTag, f64)| {
                input.load(*tag).forecast(model, input.demand, count, *slowdown, input.waited)
            };
            let free = decoding.iter().filter(|engine| forecast(engine).delayed == 0);
            let missing = count - pool.engines.len().min(count);
            let added: Vec<_> = free.take(missing).collect();
            if added.len() == missing {
                let pass_ms = |(tag, slowdown): &&(EngineTag, f64)| {
                    input.load(*tag).pass_ms(model).unwrap_or_default() * slowdown
                };
                pool.extra_ms = added.iter().map(pass_ms).fold(0.0, f64::max);
                pool.engines.extend(added.iter().map(|(tag, _)| *tag));
                pool.parts = count;
                return pool;
            }
        }
        pool
    }

    /// Splits the prompt over the first engine and helpers. `None` if their memory does not suffice.
    pub fn split(
        &self,
        model: &LatencyModel,
        input: &ChoiceInput,
        first: EngineTag,
    ) -> Option<PromptSplit> {
        let wanted = input.demand.prompt_tokens.saturating_add(input.demand.answer_tokens);
        let memory = (f64::from(model.memory_tokens) * USABLE_MEMORY_SHARE) as u32;
        let room = memory.saturating_sub(input.load(first).held_tokens as u32);
        let others = self.engines.iter().filter(|tag| **tag != first);
        let helpers: Vec<_> = others.copied().take(self.parts - 1).collect();
        let parts = helpers.len() + 1;
        let missing = wanted.saturating_sub(room);
        let tokens = match missing {
            0 => None,
            _ if helpers.is_empty() => return None,
            _ => Some(missing.div_ceil(helpers.len() as u32).max(wanted / parts as u32)),
        };
        if tokens.is_some_and(|tokens| tokens > memory) {
            return None;
        }
        let helpers = helpers.into_iter().map(|engine| PrefillHelper { engine, tokens }).collect();
        Some(PromptSplit { helpers, parts, extra_ms: self.extra_ms })
    }
}

impl Dispatcher {
    /// Most parts of one prompt: a fifth of the service's engines, within limits.
    pub(super) fn max_parts(&self, service: u64) -> usize {
        let engines = self.engine_counts.get(&service).copied().unwrap_or_default();
        (engines / ENGINES_PER_PART).clamp(SMALL_FLEET_PARTS, MAX_PARTS)
    }
}

/// Number of engines whose combined memory a request needs; at least 1.
pub(super) fn memory_parts(model: &LatencyModel, demand: &WorkDemand) -> usize {
    let memory = f64::from(model.memory_tokens) * USABLE_MEMORY_SHARE;
    let parts = f64::from(demand.prompt_tokens.saturating_add(demand.answer_tokens)) / memory;
    parts.ceil().max(1.0) as usize
}
