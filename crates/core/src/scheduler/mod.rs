//! Decides which queued request goes to which engine of this host, and when.
//!
//! Owns the queue and the account of running work and memory of each owned engine. When engine
//! reports stop coming, the account kept here is used alone.

use std::collections::BTreeMap;

use crate::{
    key::{EngineKey, WorkKey},
    refusal::{Reason, Refusal},
    time::Time,
};

mod message;

pub use message::{
    AccountSpec, EngineReport, EngineSpec, RankSpec, SchedulerInput, SchedulerOutput, WorkItem,
};

struct OwnedEngine {
    spec: EngineSpec,
    usable: bool,
    held_tokens: u64,
    running: u32,
}

/// The queue in front of the engines that this host owns.
#[derive(Default)]
pub struct PoolScheduler {
    engines: BTreeMap<EngineKey, OwnedEngine>,
    queue: Vec<WorkItem>,
    running: BTreeMap<WorkKey, (EngineKey, WorkItem)>,
}

impl PoolScheduler {
    /// Advances the scheduler.
    pub fn step(&mut self, now: Time, input: SchedulerInput) -> Vec<SchedulerOutput> {
        let mut outputs = Vec::new();
        match input {
            SchedulerInput::EngineAdded(spec) => {
                let engine = self.engines.entry(spec.engine).or_insert(OwnedEngine {
                    spec: spec.clone(),
                    usable: true,
                    held_tokens: 0,
                    running: 0,
                });
                engine.spec = spec;
            }
            SchedulerInput::EngineRemoved(engine) => drop(self.engines.remove(&engine)),
            SchedulerInput::EngineUsable { engine, usable } => {
                if let Some(owned) = self.engines.get_mut(&engine) {
                    owned.usable = usable;
                }
            }
            SchedulerInput::Submit(item) => self.queue.push(item),
            SchedulerInput::Requeue(item) => {
                self.release(item.work);
                self.queue.insert(0, item);
            }
            SchedulerInput::Adopt { item, engine } => {
                self.release(item.work);
                if let Some(owned) = self.engines.get_mut(&engine) {
                    owned.held_tokens += tokens(&item);
                    owned.running += 1;
                }
                self.running.insert(item.work, (engine, item));
            }
            SchedulerInput::Cancel(work) => {
                self.queue.retain(|item| item.work != work);
                if let Some((engine, _)) = self.running.get(&work) {
                    outputs.push(SchedulerOutput::Abort { work, engine: *engine });
                }
            }
            SchedulerInput::Finished(work) => self.release(work),
            SchedulerInput::Rejected(work) => {
                if let Some((_, item)) = self.running.get(&work).cloned() {
                    self.release(work);
                    self.queue.insert(0, item);
                }
            }
            SchedulerInput::Ranks(_)
            | SchedulerInput::Accounts(_)
            | SchedulerInput::Progress { .. }
            | SchedulerInput::Report { .. }
            | SchedulerInput::RemoteUsage { .. }
            | SchedulerInput::Tick => {}
        }
        self.expire(now, &mut outputs);
        self.dispatch(&mut outputs);
        outputs
    }

    /// Tokens queued and running for an engine, as other hosts are told.
    pub fn load(&self, engine: EngineKey) -> u64 {
        let held = self.engines.get(&engine).map_or(0, |owned| owned.held_tokens);
        let share = self.engines.len().max(1) as u64;
        held + self.queue.iter().map(tokens).sum::<u64>() / share
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn release(&mut self, work: WorkKey) {
        let Some((engine, item)) = self.running.remove(&work) else { return };
        if let Some(owned) = self.engines.get_mut(&engine) {
            owned.held_tokens = owned.held_tokens.saturating_sub(tokens(&item));
            owned.running = owned.running.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        self.queue.retain(|item| {
            let late = item.deadline <= now;
            if late {
                let refusal = Refusal::not_run(Reason::DeadlineExceeded, "expired in the queue");
                outputs.push(SchedulerOutput::Refuse { work: item.work, refusal });
            }
            !late
        });
        for (work, (engine, item)) in &self.running {
            if item.deadline <= now {
                outputs.push(SchedulerOutput::Abort { work: *work, engine: *engine });
            }
        }
    }

    fn dispatch(&mut self, outputs: &mut Vec<SchedulerOutput>) {
        let mut index = 0;
        while index < self.queue.len() {
            let Some(engine) = self.engine_with_room(&self.queue[index]) else {
                index += 1;
                continue;
            };
            let item = self.queue.remove(index);
            let owned = self.engines.get_mut(&engine).expect("engine was just found");
            owned.held_tokens += tokens(&item);
            owned.running += 1;
            let (work, priority) = (item.work, item.rank.0);
            outputs.push(SchedulerOutput::Dispatch { work, engine, priority });
            self.running.insert(work, (engine, item));
        }
    }

    fn engine_with_room(&self, item: &WorkItem) -> Option<EngineKey> {
        self.engines
            .iter()
            .filter(|(_, owned)| {
                owned.usable
                    && owned.spec.models.contains(&item.model)
                    && owned.running < owned.spec.batch
                    && owned.held_tokens + tokens(item) <= owned.spec.memory_tokens
            })
            .min_by_key(|(_, owned)| owned.held_tokens)
            .map(|(engine, _)| *engine)
    }
}

fn tokens(item: &WorkItem) -> u64 {
    item.prompt_tokens + item.max_tokens
}
