//! Finds out which refusals were needless: a server had room while the caller would still have
//! waited.
//!
//! Owns a sample of the refused requests until their deadlines. It changes no decision; operators
//! and tests see by it whether the forecasts refuse too much, as in a short burst after which the
//! fleet is idle again.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use parsley_macros::value;

use super::{Dispatcher, QueuePosition, WaitingRequest, decide::PlacementDecision};
use crate::{
    dispatch::{
        choose::{ChoiceInput, DENSE_PACKING},
        collect_loads,
    },
    time::Time,
    work::{WorkEntry, WorkPhase},
};

/// Most refusals that are followed at the same time. Each check compares all servers.
const SAMPLE_SIZE: usize = 4;
/// Time between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// A refused request whose caller would still wait.
#[value]
struct RefusedRequest {
    service: Arc<str>,
    entry: WorkEntry,
    deadline: Time,
}

/// Follows a sample of the refused requests.
#[value]
#[derive(Default)]
pub struct RefusalAudit {
    refused: VecDeque<RefusedRequest>,
    next_check: Time,
    /// Refusals that were followed to their end.
    checked: u64,
    /// Those among them for which a server had room in time.
    needless: u64,
}

impl RefusalAudit {
    /// Follows a refused request if the sample has room.
    pub(super) fn record(&mut self, now: Time, work: &WaitingRequest, entry: &WorkEntry) {
        if self.refused.len() >= SAMPLE_SIZE {
            return;
        }
        if self.refused.is_empty() {
            self.next_check = now + CHECK_PERIOD;
        }
        self.refused.push_back(RefusedRequest {
            service: work.service.clone(),
            entry: WorkEntry { phase: WorkPhase::Waiting, ..entry.clone() },
            deadline: work.deadline,
        });
    }

    /// Returns the number of refusals followed to their end, and of those that were needless.
    pub fn counts(&self) -> (u64, u64) {
        (self.checked, self.needless)
    }

    fn is_due(&self, now: Time) -> bool {
        !self.refused.is_empty() && now >= self.next_check
    }
}

impl Dispatcher {
    /// Checks the sample of refused requests against the servers' current load.
    pub(super) fn audit_refusals(&mut self, now: Time) {
        if !self.audit.is_due(now) {
            return;
        }
        self.refresh_counts(now);
        let loads = collect_loads(now, &self.work_view, &self.fleet, &self.latency_models);
        let refused = std::mem::take(&mut self.audit.refused);
        let mut kept = VecDeque::new();
        for request in refused {
            let input = ChoiceInput {
                now,
                demand: &request.entry.demand,
                waited: now.since(request.entry.arrived),
                excluded: &[],
                loads: &loads,
                reserved: &Default::default(),
                packing: DENSE_PACKING,
                is_own: true,
            };
            let choice = self.choose(&request.service, &input).best;
            let position = QueuePosition { delay_ms: 0.0, ahead: 0, limit: request.deadline };
            let is_placeable = choice.as_ref().is_some_and(|choice| {
                let (service, entry) = (&request.service, &request.entry);
                self.decide_placement(now, service, entry, Some(choice), &[], position)
                    == PlacementDecision::Place
            });
            if is_placeable || now >= request.deadline {
                self.audit.checked += 1;
                self.audit.needless += u64::from(is_placeable);
            } else {
                kept.push_back(request);
            }
        }
        self.audit.refused = kept;
        self.audit.next_check = now + CHECK_PERIOD;
    }
}
