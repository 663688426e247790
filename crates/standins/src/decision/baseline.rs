//! The baselines: an engine is chosen at random or by the least reported load, and requests wait
//! in front of it in order of arrival.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use parsley_core::{
    key::{EngineKey, WorkKey},
    refusal::{Reason, Refusal},
    scheduler::{SchedulerInput, SchedulerOutput, WorkItem, cost::memory_tokens},
    time::Time,
};

/// Time between two load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRule {
    /// Any engine.
    Random,
    /// The engine with the least load at the last report.
    LeastLoad,
}

#[derive(Default)]
struct Engine {
    memory_tokens: u64,
    held: u64,
    queued: u64,
    reported: u64,
    queue: VecDeque<WorkItem>,
}

/// Engines with a FIFO queue each.
pub struct FifoFleet {
    rule: ChoiceRule,
    engines: Vec<Engine>,
    running: BTreeMap<WorkKey, (usize, WorkItem)>,
    rng: fastrand::Rng,
    reported: Time,
}

impl FifoFleet {
    /// A fleet of equal engines.
    pub fn new(rule: ChoiceRule, engines: usize, memory_tokens: u64, seed: u64) -> FifoFleet {
        let engine = |_| Engine { memory_tokens, ..Engine::default() };
        FifoFleet {
            rule,
            engines: (0..engines).map(engine).collect(),
            running: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            reported: Time::ZERO,
        }
    }

    /// Advances the fleet.
    pub fn step(&mut self, now: Time, input: SchedulerInput) -> Vec<SchedulerOutput> {
        let mut outputs = Vec::new();
        match input {
            SchedulerInput::Submit(item) => {
                let index = self.choose();
                self.engines[index].queued += memory_tokens(&item);
                self.engines[index].queue.push_back(item);
                self.send(index, &mut outputs);
            }
            SchedulerInput::Finished(work) => {
                if let Some((index, item)) = self.running.remove(&work) {
                    self.engines[index].held -= memory_tokens(&item);
                    self.send(index, &mut outputs);
                }
            }
            SchedulerInput::Tick => self.tick(now, &mut outputs),
            _ => {}
        }
        outputs
    }

    fn choose(&mut self) -> usize {
        let start = self.rng.usize(..self.engines.len());
        if self.rule == ChoiceRule::Random {
            return start;
        }
        let count = self.engines.len();
        let order = (0..count).map(|offset| (start + offset) % count);
        order.min_by_key(|index| self.engines[*index].reported).unwrap_or(start)
    }

    fn send(&mut self, index: usize, outputs: &mut Vec<SchedulerOutput>) {
        let engine = &mut self.engines[index];
        while let Some(item) = engine.queue.front() {
            let need = memory_tokens(item);
            if engine.held + need > engine.memory_tokens {
                return;
            }
            let item = engine.queue.pop_front().expect("was just looked at");
            engine.held += need;
            engine.queued -= need;
            let (work, engine) = (item.work, EngineKey(index as u32));
            outputs.push(SchedulerOutput::Dispatch { work, engine, priority: 0 });
            self.running.insert(work, (index, item));
        }
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            engine.queue.retain(|item| {
                let late = item.deadline <= now;
                if late {
                    engine.queued -= memory_tokens(item);
                    let refusal = Refusal::not_run(Reason::DeadlineExceeded, "expired");
                    outputs.push(SchedulerOutput::Refuse { work: item.work, refusal });
                }
                !late
            });
            self.send(index, outputs);
        }
        for (work, (index, item)) in &self.running {
            if item.deadline <= now {
                let engine = EngineKey(*index as u32);
                outputs.push(SchedulerOutput::Abort { work: *work, engine });
            }
        }
        if now.since(self.reported) >= REPORT_PERIOD {
            self.reported = now;
            for engine in &mut self.engines {
                engine.reported = engine.held + engine.queued;
            }
        }
    }
}
