//! One run in virtual time: arrivals, a policy, and engines.

use std::{collections::BTreeMap, time::Duration};

use parsley_core::{
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    scheduler::{
        AccountSpec, EngineSpec, PoolScheduler, RankSpec, SchedulerInput, SchedulerOutput,
        WorkItem,
        cost::{DECODE_COST, PREFIX_TOKENS},
    },
    time::Time,
};
use parsley_macros::value;

use super::{
    baseline::{ChoiceRule, FifoFleet},
    workload::Arrival,
};
use crate::engine_model::{EngineModel, EngineShape, StreamOrder};

/// Engines of a run.
pub const ENGINES: usize = 6;
/// Time of one engine step.
pub const STEP: Duration = Duration::from_millis(25);
/// Client accounts, all of weight 1.
pub const ACCOUNTS: u32 = 10;
/// First token target, time for the whole answer and guaranteed share of each rank.
pub const RANKS: [(Duration, Duration, f64); 3] = [
    (Duration::from_secs(1), Duration::from_secs(60), 0.3),
    (Duration::from_secs(5), Duration::from_secs(120), 0.4),
    (Duration::from_secs(30), Duration::from_secs(300), 0.1),
];

/// Inputs that one event may lead to; more means that decisions go round in circles.
const MAX_ROUNDS: u32 = 10_000;

/// Size and pace of each engine.
pub fn shape() -> EngineShape {
    EngineShape { memory_tokens: 1_200_000, batch: 48, prefill_tokens: 2_000, cached_prefixes: 64 }
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// `parsley_core`.
    Core,
    /// Random choice with FIFO.
    Random,
    /// Least reported load with FIFO.
    LeastLoad,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Core, Policy::Random, Policy::LeastLoad];

    /// Name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Core => "core",
            Policy::Random => "random+fifo",
            Policy::LeastLoad => "least-load+fifo",
        }
    }
}

enum Decider {
    Core(Box<PoolScheduler>),
    Fifo(FifoFleet),
}

/// How a request ended.
#[value]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// Whether it was refused at once.
    pub refused: bool,
    /// When the first token came.
    pub first_token: Option<Time>,
    /// When the last token came.
    pub finished: Option<Time>,
    /// Times it was preempted.
    pub preempted: u32,
    produced: u64,
    /// Prompt tokens that the engine has to process, after what it has cached.
    prefill: u64,
}

impl Outcome {
    /// Time to first token, in seconds.
    pub fn first_token_seconds(&self) -> Option<f64> {
        self.first_token.map(|at| at.since(self.arrival.at).as_secs_f64())
    }
}

/// What a run did.
pub struct RunReport {
    /// Outcomes in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// Cost spent in each second by account and rank: prefill at the first token, and four for
    /// each generated token.
    pub service: BTreeMap<(u64, u32, u8), u64>,
    /// Prompt and generated tokens in each second.
    pub tokens: BTreeMap<u64, u64>,
}

struct Sim {
    decider: Decider,
    engines: Vec<EngineModel>,
    /// Engine and stream id of running work.
    placed: BTreeMap<WorkKey, (usize, String)>,
    report: RunReport,
    now: Time,
}

/// Runs the arrivals for a number of seconds.
pub fn run(policy: Policy, arrivals: Vec<Arrival>, seconds: f64, seed: u64) -> RunReport {
    let decider = decider(policy, seed);
    let outcome = |arrival| Outcome {
        arrival,
        refused: false,
        first_token: None,
        finished: None,
        preempted: 0,
        produced: 0,
        prefill: 0,
    };
    let outcomes: Vec<_> = arrivals.into_iter().map(outcome).collect();
    let report = RunReport { outcomes, service: BTreeMap::new(), tokens: BTreeMap::new() };
    let engines = (0..ENGINES).map(|_| EngineModel::new(shape())).collect();
    let mut sim = Sim { decider, engines, placed: BTreeMap::new(), report, now: Time::ZERO };
    let mut next = 0;
    let end = Time((seconds * 1e6) as u64);
    let mut at = Time::ZERO;
    while at < end {
        at = at + STEP;
        while let Some(outcome) = sim.report.outcomes.get(next)
            && outcome.arrival.at < at
        {
            sim.now = outcome.arrival.at;
            let item = sim.item(next as u64);
            sim.feed(SchedulerInput::Submit(item));
            next += 1;
        }
        sim.now = at;
        sim.advance();
        sim.feed(SchedulerInput::Tick);
    }
    sim.report
}

fn decider(policy: Policy, seed: u64) -> Decider {
    let memory_tokens = shape().memory_tokens;
    let rule = match policy {
        Policy::Random => ChoiceRule::Random,
        Policy::LeastLoad => ChoiceRule::LeastLoad,
        Policy::Core => {
            let mut pool = PoolScheduler::default();
            configure(&mut pool);
            return Decider::Core(Box::new(pool));
        }
    };
    Decider::Fifo(FifoFleet::new(rule, ENGINES, memory_tokens, seed))
}

fn configure(pool: &mut PoolScheduler) {
    let ranks = RANKS.iter().enumerate().map(|(level, rank)| RankSpec {
        rank: RankKey(level as u8),
        first_token_target: rank.0,
        finish_limit: rank.1,
        guaranteed_share: rank.2,
        tokens_per_second: None,
        memory_tokens: None,
    });
    pool.step(Time::ZERO, SchedulerInput::Ranks(ranks.collect()));
    let accounts = (0..ACCOUNTS).map(|account| AccountSpec {
        account: AccountKey(account),
        weight: 1,
        tokens_per_second: None,
        memory_tokens: None,
    });
    pool.step(Time::ZERO, SchedulerInput::Accounts(accounts.collect()));
    for engine in 0..ENGINES as u32 {
        let EngineShape { memory_tokens, batch, .. } = shape();
        let (engine, models, batch) = (EngineKey(engine), vec![ModelKey(0)], batch as u32);
        let spec = EngineSpec { engine, models, memory_tokens, batch };
        pool.step(Time::ZERO, SchedulerInput::EngineAdded(spec));
    }
}

impl Sim {
    fn item(&self, index: u64) -> WorkItem {
        let outcome = &self.report.outcomes[index as usize];
        let arrival = &outcome.arrival;
        WorkItem {
            work: WorkKey(index),
            account: AccountKey(arrival.account),
            rank: RankKey(arrival.rank),
            model: ModelKey(0),
            prompt_tokens: arrival.prompt_tokens + outcome.produced,
            max_tokens: arrival.output_tokens - outcome.produced,
            prefixes: arrival.prefixes.clone(),
            preferred: None,
            deadline: arrival.at + RANKS[usize::from(arrival.rank)].1,
        }
    }

    fn feed(&mut self, input: SchedulerInput) {
        let mut inputs = vec![input];
        let mut rounds = 0;
        while let Some(input) = inputs.pop() {
            rounds += 1;
            assert!(rounds < MAX_ROUNDS, "decisions repeat without end at {:?}", self.now);
            let outputs = match &mut self.decider {
                Decider::Core(pool) => pool.step(self.now, input),
                Decider::Fifo(fleet) => fleet.step(self.now, input),
            };
            for output in outputs {
                inputs.extend(self.carry_out(output));
            }
        }
    }

    fn carry_out(&mut self, output: SchedulerOutput) -> Option<SchedulerInput> {
        match output {
            SchedulerOutput::Dispatch { work, engine, priority } => {
                let item = self.item(work.0);
                let outcome = &self.report.outcomes[work.0 as usize];
                let order = StreamOrder {
                    model: String::new(),
                    prompt_tokens: item.prompt_tokens,
                    prompt_hash: work.0,
                    prefixes: item.prefixes.iter().copied().zip(PREFIX_TOKENS).collect(),
                    offset: outcome.produced,
                    end: outcome.arrival.output_tokens,
                    priority,
                    group: None,
                };
                let index = engine.0 as usize;
                let id = format!("{:08}", work.0);
                if self.engines[index].submit(&id, order).is_err() {
                    return Some(SchedulerInput::Rejected(work));
                }
                let prefill = self.engines[index].streams()[&id].prefill_left;
                self.report.outcomes[work.0 as usize].prefill = prefill;
                self.placed.insert(work, (index, id));
                None
            }
            SchedulerOutput::Preempt { work, .. } => {
                self.stop(work);
                self.report.outcomes[work.0 as usize].preempted += 1;
                Some(SchedulerInput::Requeue(self.item(work.0)))
            }
            SchedulerOutput::Abort { work, .. } => {
                self.stop(work);
                Some(SchedulerInput::Finished(work))
            }
            SchedulerOutput::Refuse { work, .. } => {
                let outcome = &mut self.report.outcomes[work.0 as usize];
                outcome.refused = outcome.arrival.at == self.now;
                None
            }
            _ => None,
        }
    }

    fn stop(&mut self, work: WorkKey) {
        if let Some((index, id)) = self.placed.remove(&work) {
            self.engines[index].cancel(&id);
        }
    }

    fn advance(&mut self) {
        for index in 0..self.engines.len() {
            for id in self.engines[index].advance() {
                let work = WorkKey(id.parse().expect("ids are numbers"));
                // An earlier token of this step may have led to a preemption.
                if self.placed.get(&work).is_some_and(|placed| *placed == (index, id)) {
                    self.token(work);
                }
            }
        }
    }

    fn token(&mut self, work: WorkKey) {
        let outcome = &mut self.report.outcomes[work.0 as usize];
        let arrival = &outcome.arrival;
        let second = self.now.0 / 1_000_000;
        let is_first = outcome.first_token.is_none();
        let prompt = if is_first { arrival.prompt_tokens } else { 0 };
        let prefill = if is_first { outcome.prefill } else { 0 };
        let slot = (second, arrival.account, arrival.rank);
        *self.report.service.entry(slot).or_default() += prefill + DECODE_COST;
        *self.report.tokens.entry(second).or_default() += prompt + 1;
        outcome.first_token.get_or_insert(self.now);
        outcome.produced += 1;
        let finished = outcome.produced >= arrival.output_tokens;
        if finished {
            outcome.finished = Some(self.now);
        }
        self.feed(SchedulerInput::Progress { work, tokens: 1 });
        if finished {
            self.stop(work);
            self.feed(SchedulerInput::Finished(work));
        }
    }
}
