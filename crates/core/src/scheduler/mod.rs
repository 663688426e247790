//! Decides which queued request goes to which engine of this host, and when.
//!
//! Owns the queue and the account of running work and memory of each owned engine. When engine
//! reports stop coming, the account kept here is used alone. The parts: `queue` orders requests,
//! `engine` knows what an engine has room for, `pace` measures, `forecast` predicts, `dispatch`
//! chooses, `running` accounts for what was sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    admission::{AdmissionController, AdmissionInput, AdmissionOutput, Limit, LimitKey},
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    refusal::{Reason, Refusal},
    time::Time,
};

pub mod cost;
mod dispatch;
mod engine;
mod forecast;
mod message;
mod pace;
mod queue;
mod running;
#[cfg(test)]
mod tests;

use cost::{CLASS_COUNT, DecayingSum, memory_tokens, size_class};
use engine::EngineBook;
use pace::PoolPace;
use queue::RankQueue;

pub use message::{
    AccountSpec, AccountUsage, EngineReport, EngineSpec, RankSpec, SchedulerInput, SchedulerOutput,
    WorkItem,
};

/// Time after which an order to stop a request is repeated if nothing was heard.
const STOP_REPEAT: Duration = Duration::from_secs(5);
/// Time between two sweeps over accounts that are idle.
const FORGET_PERIOD: Duration = Duration::from_secs(10);

struct RankState {
    spec: RankSpec,
    queue: RankQueue,
    /// Service that the rank is owed for its guaranteed share, in cost; negative if it is ahead.
    credit: f64,
    /// Actual service received lately.
    recent: DecayingSum,
    /// Cost sent lately, by size class.
    class_recent: [DecayingSum; CLASS_COUNT],
    /// Average generated tokens of a request; 0 until known.
    typical_output: f64,
    /// Typical memory of a request, in tokens.
    typical_need: f64,
}

/// Where a running request runs.
#[derive(Clone, Copy, PartialEq)]
enum Site {
    Engine(EngineKey),
    Group,
}

struct RunningWork {
    item: WorkItem,
    site: Site,
    since: Time,
    /// Prompt tokens to process.
    prefill: u64,
    /// Cost charged to the account when the request was sent.
    charged: u64,
    /// Time of the first token and tokens since the request was sent.
    first_token: Option<Time>,
    produced: u64,
    /// When the request was ordered to stop.
    stopping: Option<Time>,
}

/// What is known of a request over all its attempts.
#[derive(Default)]
struct OpenWork {
    /// Tokens generated, to give back what was admitted and not used.
    produced: u64,
    /// Whether an engine took the request, even if it generated no token.
    ran: bool,
}

#[derive(Default)]
struct AccountState {
    weight: u32,
}

/// The queue in front of the engines that this host owns.
#[derive(Default)]
pub struct PoolScheduler {
    ranks: BTreeMap<RankKey, RankState>,
    accounts: BTreeMap<AccountKey, AccountState>,
    engines: BTreeMap<EngineKey, EngineBook>,
    groups: BTreeMap<ModelKey, u64>,
    gate: AdmissionController,
    /// Rank of each queued request.
    queued: BTreeMap<WorkKey, RankKey>,
    queued_tokens: u64,
    running: BTreeMap<WorkKey, RunningWork>,
    deadlines: BTreeSet<(Time, WorkKey)>,
    /// Requests admitted and not ended.
    open: BTreeMap<WorkKey, OpenWork>,
    pace: PoolPace,
    /// Cost sent to engines a second, by size class.
    class_pace: [PoolPace; CLASS_COUNT],
    /// Average seconds a request of a size class holds memory, and seconds a token takes.
    typical_seconds: [f64; CLASS_COUNT],
    token_seconds: f64,
    /// Urgent requests that wait for preempted work to leave an engine, and since when.
    preempting: BTreeMap<WorkKey, Time>,
    usage: BTreeMap<(AccountKey, RankKey), (u64, u64)>,
    held: BTreeMap<(AccountKey, RankKey), u64>,
    forgotten: Time,
}

impl PoolScheduler {
    /// Advances the scheduler.
    pub fn step(&mut self, now: Time, input: SchedulerInput) -> Vec<SchedulerOutput> {
        let mut outputs = Vec::new();
        let mut freed = true;
        match input {
            SchedulerInput::Ranks(specs) => self.set_ranks(now, specs),
            SchedulerInput::Accounts(specs) => self.set_accounts(now, specs),
            SchedulerInput::EngineAdded(spec) => {
                let engine = spec.engine;
                let book = self.engines.entry(engine);
                let book = book.or_insert_with(|| EngineBook::new(now, spec.clone()));
                book.spec = spec;
                book.owned = true;
            }
            SchedulerInput::EngineRemoved(engine) => self.remove_engine(now, engine, &mut outputs),
            SchedulerInput::EngineUsable { engine, usable } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.usable = usable;
                }
            }
            SchedulerInput::Submit(item) => {
                self.submit(now, item, &mut outputs);
                freed = false;
            }
            SchedulerInput::Requeue(item) => self.requeue(now, item, &mut outputs),
            SchedulerInput::Retry(item) => self.retry(now, item, &mut outputs),
            SchedulerInput::Adopt { item, engine } => self.adopt(now, item, engine),
            SchedulerInput::Cancel(work) => {
                freed = !self.queued.contains_key(&work);
                self.cancel(now, work, &mut outputs);
            }
            SchedulerInput::Progress { work, tokens } => freed = self.progress(now, work, tokens),
            SchedulerInput::Finished(work) => self.close(now, work),
            SchedulerInput::Rejected(work) => {
                if let Some(running) = self.release(now, work) {
                    self.enqueue(now, running.item, true);
                }
            }
            SchedulerInput::Report { engine, report } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.set_report(now, report);
                }
            }
            SchedulerInput::RemoteUsage { account, rank, cost, tokens, held_tokens } => {
                let input = AdmissionInput::RemoteUsage { account, rank, tokens, held_tokens };
                self.gate.step(now, input);
                if let Some(state) = self.ranks.get_mut(&rank) {
                    state.queue.charge(account, cost as i64);
                    state.queue.note_use(now, account, cost);
                }
            }
            SchedulerInput::Drain { engine, until } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.drained_until = until;
                }
            }
            SchedulerInput::ReservedMemory { engine, tokens } => {
                if let Some(book) = self.engines.get_mut(&engine) {
                    book.reserved = tokens;
                }
            }
            SchedulerInput::GroupCapacity { model, tokens } => {
                self.groups.insert(model, tokens);
            }
            SchedulerInput::Tick => self.tick(now),
        }
        self.expire(now, &mut outputs);
        if freed {
            self.dispatch_all(now, &mut outputs);
        }
        outputs
    }

    /// Tokens queued and running for an engine, as other hosts are told. An engine that takes no
    /// work looks fuller than any other.
    pub fn backlog_tokens(&self, engine: EngineKey) -> u64 {
        let Some(book) = self.engines.get(&engine) else { return 0 };
        if !book.takes_work() {
            return u64::MAX / 2;
        }
        book.held + book.reserved + self.queued_tokens / self.engines.len().max(1) as u64
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Engine memory that running requests hold by this host's account, in tokens.
    pub fn held_tokens(&self, engine: EngineKey) -> u64 {
        self.engines.get(&engine).map_or(0, |book| book.held)
    }

    /// What accounts spent on this host since the last call, and what they hold.
    pub fn take_usage(&mut self) -> Vec<AccountUsage> {
        let usage = std::mem::take(&mut self.usage);
        let item = |((account, rank), (cost, tokens))| {
            let held_tokens = self.held.get(&(account, rank)).copied().unwrap_or(0);
            AccountUsage { account, rank, cost, tokens, held_tokens }
        };
        usage.into_iter().map(item).collect()
    }

    fn set_ranks(&mut self, now: Time, specs: Vec<RankSpec>) {
        for spec in specs {
            let state = self.ranks.entry(spec.rank).or_insert_with(|| RankState::new(spec.clone()));
            state.spec = spec;
        }
        self.set_limits(now, None);
    }

    fn set_accounts(&mut self, now: Time, specs: Vec<AccountSpec>) {
        self.accounts =
            specs.iter().map(|spec| (spec.account, AccountState { weight: spec.weight })).collect();
        self.set_limits(now, Some(specs));
    }

    fn set_limits(&mut self, now: Time, accounts: Option<Vec<AccountSpec>>) {
        let ranks = self.ranks.values().map(|state| {
            let RankSpec { tokens_per_second, memory_tokens, .. } = state.spec;
            (LimitKey::Rank(state.spec.rank), Limit { tokens_per_second, memory_tokens })
        });
        let mut limits: Vec<_> = ranks.collect();
        match accounts {
            Some(specs) => limits.extend(specs.into_iter().map(|spec| {
                let AccountSpec { tokens_per_second, memory_tokens, .. } = spec;
                (LimitKey::Account(spec.account), Limit { tokens_per_second, memory_tokens })
            })),
            None => limits.extend(self.gate.account_limits()),
        }
        self.gate.step(now, AdmissionInput::Limits(limits));
    }

    fn weight(&self, account: AccountKey) -> u32 {
        self.accounts.get(&account).map_or(1, |state| state.weight)
    }

    /// The state of a rank; work of a rank that is not configured gets no guarantee.
    fn rank(&mut self, rank: RankKey) -> &mut RankState {
        self.ranks.entry(rank).or_insert_with(|| RankState::new(unknown_rank(rank)))
    }

    fn submit(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        let (work, model) = (item.work, item.model);
        if item.deadline <= now {
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, "the deadline has passed");
            return outputs.push(SchedulerOutput::Refuse { work, refusal });
        }
        let serving = self.engines.values().filter(|book| book.spec.models.contains(&model));
        if !serving.into_iter().any(EngineBook::takes_work) {
            return outputs.push(SchedulerOutput::HandBack(work));
        }
        let need = memory_tokens(&item);
        let is_group = self.is_group(&item);
        if is_group && self.groups.get(&model).is_none_or(|tokens| need > *tokens) {
            let text = "the prompt needs more memory than the fleet can give it";
            let refusal = Refusal::not_run(Reason::PromptExceedsFleet, text);
            return outputs.push(SchedulerOutput::Refuse { work, refusal });
        }
        self.advance_engines(now);
        self.rank(item.rank);
        let ask = self.ask(now, &item);
        for output in self.gate.step(now, AdmissionInput::Request(ask)) {
            if let AdmissionOutput::Refused(work, refusal) = output {
                return outputs.push(SchedulerOutput::Refuse { work, refusal });
            }
        }
        self.open.insert(work, OpenWork::default());
        let state = self.rank(item.rank);
        cost::update_average(&mut state.typical_need, need as f64, 0.05);
        if is_group {
            self.start_group(now, item);
            return outputs.push(SchedulerOutput::ReserveGroup(work));
        }
        let (rank, lane) = (item.rank, (model, size_class(item.prompt_tokens)));
        self.enqueue(now, item, false);
        self.dispatch_lane(now, rank, lane, outputs);
    }

    fn enqueue(&mut self, now: Time, item: WorkItem, ahead: bool) {
        let (work, rank, deadline) = (item.work, item.rank, item.deadline);
        let need = memory_tokens(&item);
        let weight = self.weight(item.account);
        let cost = self.estimate(&item, item.prompt_tokens);
        self.note_share(now, rank, item.account);
        self.rank(rank).queue.push(now, item, weight, cost, ahead);
        self.queued.insert(work, rank);
        self.queued_tokens += need;
        self.deadlines.insert((deadline, work));
    }

    fn unqueue(&mut self, work: WorkKey) -> Option<queue::Waiting> {
        let rank = self.queued.remove(&work)?;
        let waiting = self.ranks.get_mut(&rank)?.queue.remove(work)?;
        self.queued_tokens -= memory_tokens(&waiting.item);
        self.deadlines.remove(&(waiting.item.deadline, work));
        self.preempting.remove(&work);
        for book in self.engines.values_mut() {
            if book.drain_for.is_some_and(|(drained, _)| drained == work) {
                book.drain_for = None;
            }
        }
        Some(waiting)
    }

    fn requeue(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        self.release(now, item.work);
        self.unqueue(item.work);
        if !self.open.contains_key(&item.work) {
            self.adopt_limits(now, &item);
        }
        self.open.entry(item.work).or_default().ran = true;
        if item.deadline <= now {
            return self.give_up(now, item.work, outputs);
        }
        if self.is_group(&item) {
            let work = item.work;
            self.start_group(now, item);
            return outputs.push(SchedulerOutput::ReserveGroup(work));
        }
        self.enqueue(now, item, true);
    }

    /// Whether no engine of this host can hold the request.
    fn is_group(&self, item: &WorkItem) -> bool {
        let serving = self.engines.values().filter(|book| book.spec.models.contains(&item.model));
        let largest = serving.map(|book| book.spec.memory_tokens).max();
        largest.is_some_and(|largest| memory_tokens(item) > largest)
    }

    fn retry(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        let work = item.work;
        self.release(now, work);
        if !self.open.contains_key(&work) {
            self.adopt_limits(now, &item);
        }
        for output in self.gate.step(now, AdmissionInput::Retry(work)) {
            match output {
                AdmissionOutput::Admitted(_) => self.requeue(now, item.clone(), outputs),
                AdmissionOutput::Refused(work, refusal) => {
                    self.close(now, work);
                    outputs.push(SchedulerOutput::Refuse { work, refusal });
                }
            }
        }
    }

    fn give_up(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        let ran = self.open.get(&work).is_some_and(|open| open.ran);
        let refuse = if ran { Refusal::ran } else { Refusal::not_run };
        let refusal = refuse(Reason::DeadlineExceeded, "not served within the time left");
        self.close(now, work);
        outputs.push(SchedulerOutput::Refuse { work, refusal });
    }

    fn adopt_limits(&mut self, now: Time, item: &WorkItem) {
        let ask = self.ask(now, item);
        self.gate.step(now, AdmissionInput::Adopt(ask));
        self.open.insert(item.work, OpenWork::default());
    }

    fn remove_engine(&mut self, now: Time, engine: EngineKey, outputs: &mut Vec<SchedulerOutput>) {
        let Some(book) = self.engines.get_mut(&engine) else { return };
        book.owned = false;
        if book.running == 0 {
            self.engines.remove(&engine);
        }
        let owned = self.engines.values().filter(|book| book.owned);
        let models: BTreeSet<_> = owned.flat_map(|book| book.spec.models.clone()).collect();
        let is_lost = |work: &WorkKey, rank: &RankKey| {
            let waiting = self.ranks.get(rank).and_then(|state| state.queue.get(*work));
            waiting.is_some_and(|waiting| !models.contains(&waiting.item.model))
        };
        let queued = self.queued.iter();
        let lost: Vec<_> =
            queued.filter(|(work, rank)| is_lost(work, rank)).map(|(work, _)| *work).collect();
        for work in lost {
            self.close(now, work);
            outputs.push(SchedulerOutput::HandBack(work));
        }
    }

    fn expire(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        while let Some((deadline, work)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.remove(&(deadline, work));
            if self.queued.contains_key(&work) {
                self.unqueue(work);
                self.give_up(now, work, outputs);
                continue;
            }
            // A stop that leads to nothing is ordered again.
            if let Some(running) = self.running.get_mut(&work) {
                running.item.deadline = now + STOP_REPEAT;
                self.deadlines.insert((now + STOP_REPEAT, work));
                self.stop(now, work, outputs);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.pace.observe(now, !self.queued.is_empty());
        for (class, pace) in self.class_pace.iter_mut().enumerate() {
            let is_queued = |state: &RankState| state.queue.class_cost(class) > 0;
            pace.observe(now, self.ranks.values().any(is_queued));
        }
        self.advance_engines(now);
        if now.since(self.forgotten) >= FORGET_PERIOD {
            self.forgotten = now;
            self.ranks.values_mut().for_each(|state| state.queue.forget_idle(now));
        }
    }

    fn advance_engines(&mut self, now: Time) {
        let rate = self.prefill_rate();
        self.engines.values_mut().for_each(|book| book.advance(now, rate));
    }
}

impl RankState {
    fn new(spec: RankSpec) -> RankState {
        RankState {
            spec,
            queue: RankQueue::default(),
            credit: 0.0,
            recent: DecayingSum::default(),
            class_recent: [DecayingSum::default(); CLASS_COUNT],
            typical_output: 0.0,
            typical_need: 0.0,
        }
    }
}

fn unknown_rank(rank: RankKey) -> RankSpec {
    RankSpec {
        rank,
        first_token_target: Duration::MAX,
        finish_limit: Duration::MAX,
        guaranteed_share: 0.0,
        tokens_per_second: None,
        memory_tokens: None,
    }
}
