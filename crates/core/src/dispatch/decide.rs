//! Decides when a waiting request is placed or refused.

use std::{collections::BTreeSet, time::Duration};

use parsley_macros::{key, value};

use super::{
    Dispatcher, MAX_IMMEDIATE_COST, UNSTREAMED_TIMEOUT_FACTOR, WaitingRequest,
    choose::{ChoiceInput, DENSE_PACKING, PlacementChoice},
    collect_loads,
    refusal::MIN_RETRY_AFTER,
    split::{MAX_PARTS, memory_parts},
};
use crate::{
    fleet::EngineTag,
    time::Time,
    work::{WorkDemand, WorkEntry, WorkPhase},
};

/// Highest cost, in requests made late, of a placement for a request that cannot wait any longer.
const MAX_FINAL_COST: f64 = 3.0;
/// Assumed timeout of peers' requests.
const PEER_TIMEOUT: Duration = Duration::from_secs(60);
/// Factor on the modelled decode time of a response that must be complete before the host stops:
/// other requests on its engine lengthen it.
const DRAIN_DECODE_FACTOR: f64 = 1.5;
/// How long before its latest possible start a waiting request is decided.
pub(super) const DECISION_LEAD: Duration = Duration::from_millis(150);

/// What is ahead of a request in the queue of all hosts.
#[value]
#[derive(Copy)]
pub(super) struct QueuePosition {
    /// Expected queueing delay of a long prompt, in milliseconds.
    pub delay_ms: f64,
    /// Waiting requests for the same service.
    pub ahead: usize,
    /// Latest time of the first event.
    pub limit: Time,
}

/// Latest times of a request's first event.
#[value]
#[derive(Copy)]
pub(super) struct FirstEventLimit {
    /// Deadline of the request.
    pub deadline: Time,
    /// Time from which the host could not finish the response before it stops.
    drain_limit: Option<Time>,
}

impl FirstEventLimit {
    /// Returns the earlier of the limits.
    pub fn latest(&self) -> Time {
        self.drain_limit.map_or(self.deadline, |limit| limit.min(self.deadline))
    }
}

/// Decision about a waiting request.
#[key]
pub(super) enum PlacementDecision {
    /// Take the best current placement.
    Place,
    /// Wait for a better one.
    Wait,
    /// Refuse, because none can meet the deadline.
    Refuse,
}

impl Dispatcher {
    /// Returns the limits on the first event of a request; `work` is absent for one of a peer, whose
    /// limits are not known here.
    pub(super) fn first_event_limit(
        &self,
        work: Option<&WaitingRequest>,
        entry: &WorkEntry,
    ) -> FirstEventLimit {
        let Some(work) = work else {
            return FirstEventLimit { deadline: entry.arrived + PEER_TIMEOUT, drain_limit: None };
        };
        let drain_limit = self.drain_end.map(|end| end - self.answer_time(&entry.demand));
        FirstEventLimit { deadline: work.deadline, drain_limit }
    }

    /// Time from the first event to the end of a response that the host must allow for when it
    /// stops. A plain service has no model; its response must come within the attempt's timeout.
    fn answer_time(&self, demand: &WorkDemand) -> Duration {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        match model {
            Some(model) => {
                let decode_ms = model.decode_ms(demand.prompt_tokens, demand.answer_tokens);
                Duration::from_secs_f64(decode_ms * DRAIN_DECODE_FACTOR / 1e3)
            }
            None => Duration::from_millis(demand.first_event_target_ms.into())
                .mul_f64(UNSTREAMED_TIMEOUT_FACTOR),
        }
    }

    /// Whether a request that runs on another server could be placed at once on one that is not
    /// excluded.
    pub fn has_place(
        &mut self,
        now: Time,
        service: &str,
        demand: &WorkDemand,
        (arrived, deadline): (Time, Time),
        excluded: &[EngineTag],
    ) -> bool {
        self.refresh_counts(now);
        let loads = collect_loads(now, &self.work_view, &self.fleet, &self.latency_models);
        let input = ChoiceInput {
            now,
            demand,
            waited: now.since(arrived),
            excluded,
            loads: &loads,
            reserved: &BTreeSet::new(),
            packing: DENSE_PACKING,
            is_own: true,
        };
        let Some(choice) = self.choose(service, &input).best else { return false };
        let entry = WorkEntry {
            demand: demand.clone(),
            phase: WorkPhase::Waiting,
            start_tag_us: 0,
            engines: Vec::new(),
            arrived,
            phase_start: now,
        };
        let work = WaitingRequest { service: service.into(), deadline, excluded: Vec::new() };
        let limit = self.first_event_limit(Some(&work), &entry).latest();
        let position = QueuePosition { delay_ms: 0.0, ahead: 0, limit };
        let decision =
            self.decide_placement(now, service, &entry, Some(&choice), excluded, position);
        decision == PlacementDecision::Place
    }

    /// Decides whether a request takes the best current placement, waits for a better one, or is
    /// refused because none can meet its deadline.
    pub(super) fn decide_placement(
        &self,
        now: Time,
        service: &str,
        entry: &WorkEntry,
        choice: Option<&PlacementChoice>,
        excluded: &[EngineTag],
        position: QueuePosition,
    ) -> PlacementDecision {
        let QueuePosition { delay_ms: queue_delay_ms, ahead, limit } = position;
        let model = self.latency_models.get(&entry.demand.service).and_then(Option::as_ref);
        let prefill_ms = self.prefill_ms(&entry.demand);
        let first_ms = choice.map_or(prefill_ms, |choice| choice.forecast.first_event_ms);
        let has_time = now + Duration::from_secs_f64(first_ms / 1e3) < limit;
        let is_candidate = |(tag, _): &(EngineTag, _)| !excluded.contains(tag);
        let engines = self.fleet.usable(now, service).filter(is_candidate).count();
        if engines == 0 && self.fleet.is_evacuated(service) {
            return PlacementDecision::Refuse;
        }
        if engines == 0
            && let Some(pause_end) = self.fleet.next_pause_end(now, service, excluded)
        {
            // All servers are paused: waits if the first pause ends early enough to be answered.
            let queued = Duration::from_secs_f64((queue_delay_ms + prefill_ms) / 1e3);
            return if pause_end + queued + DECISION_LEAD < limit {
                PlacementDecision::Wait
            } else {
                PlacementDecision::Refuse
            };
        }
        if engines == 0 {
            // The server list may still be loading, or the servers are being replaced.
            let wait_until = entry.arrived + MIN_RETRY_AFTER;
            return if now < wait_until && has_time {
                PlacementDecision::Wait
            } else {
                PlacementDecision::Refuse
            };
        }
        // A limited server can only be the first of the engines that share a prompt.
        let unlimited = self.unlimited(now, service).filter(is_candidate).count();
        let shared = if unlimited < engines { unlimited + 1 } else { unlimited };
        if model.is_some_and(|model| memory_parts(model, &entry.demand) > shared.min(MAX_PARTS)) {
            return PlacementDecision::Refuse;
        }
        let Some(choice) = choice else {
            if let Some((opening, _)) = self.permit_opening(now, service, excluded, ahead) {
                return if self.is_permit_in_time(now, entry, opening, limit) {
                    PlacementDecision::Wait
                } else {
                    PlacementDecision::Refuse
                };
            }
            let queued = Duration::from_secs_f64((queue_delay_ms + prefill_ms) / 1e3);
            return if now + queued < limit {
                PlacementDecision::Wait
            } else {
                PlacementDecision::Refuse
            };
        };
        if !has_time {
            return PlacementDecision::Refuse;
        }
        if choice.cost - choice.failure < MAX_IMMEDIATE_COST {
            return PlacementDecision::Place;
        }
        let target =
            entry.arrived + Duration::from_millis(entry.demand.first_event_target_ms.into());
        if choice.forecast.delayed == 0 {
            // The request itself would be late; a less loaded engine, or more engines, may still
            // become free in time.
            let latest = now + DECISION_LEAD + Duration::from_secs_f64(prefill_ms / 1e3);
            return if latest < target {
                PlacementDecision::Wait
            } else {
                PlacementDecision::Place
            };
        }
        if now + Duration::from_secs_f64((queue_delay_ms + prefill_ms) / 1e3) > limit {
            return PlacementDecision::Refuse;
        }
        let start_by =
            |end: Time| end - Duration::from_secs_f64(choice.forecast.first_event_ms / 1e3);
        if now + DECISION_LEAD < start_by(target) {
            return PlacementDecision::Wait;
        }
        if model.is_some_and(|model| !model.is_long_prompt(&entry.demand))
            && choice.forecast.delayed_more_urgent == 0
        {
            return PlacementDecision::Place;
        }
        if now + DECISION_LEAD < start_by(limit) {
            return PlacementDecision::Wait;
        }
        if choice.cost <= MAX_FINAL_COST {
            PlacementDecision::Place
        } else {
            PlacementDecision::Refuse
        }
    }
}
