//! Decides which queued request goes to which engine of this host, and when.
//!
//! Owns the queue, and tracks the running work and the memory in use of each owned engine. When the
//! load reports of an engine stop, these figures are used alone. The parts: `queue` orders
//! requests, `engine` tracks the capacity of an engine, `pace` measures throughput, `forecast`
//! predicts waiting times, `dispatch` chooses requests and engines, and `running` accounts for
//! requests that were sent.

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
use engine::EngineTracker;
use pace::CostMeter;
use queue::RankQueue;

pub use message::{
    AccountSpec, AccountUsage, EngineReport, EngineSpec, RankSpec, SchedulerInput, SchedulerOutput,
    WorkItem,
};

/// Time after which the cancellation of a request is repeated if the engine did not confirm it.
const STOP_RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Time between two sweeps that remove idle accounts from the queues.
const IDLE_SWEEP_PERIOD: Duration = Duration::from_secs(10);

struct RankState {
    spec: RankSpec,
    queue: RankQueue,
    /// Service that the rank is owed for its guaranteed share, in cost; negative if it received
    /// more.
    share_credit: f64,
    /// Cost recently spent on the rank's requests, including generated tokens and memory.
    recent_cost: DecayingSum,
    /// Estimated cost of recently sent requests, by size class.
    class_recent_cost: [DecayingSum; CLASS_COUNT],
    /// Average number of tokens that a request generates; 0 until one has finished.
    mean_output_tokens: f64,
    /// Average memory that an admitted request needs, in tokens; 0 before the first.
    mean_memory_tokens: f64,
}

/// Where a request runs: on one engine of this host or on a reserved group.
#[derive(Clone, Copy, PartialEq)]
enum WorkSite {
    Engine(EngineKey),
    Group,
}

struct RunningWork {
    item: WorkItem,
    site: WorkSite,
    /// Time at which the request was sent or adopted.
    started_at: Time,
    /// Prompt tokens to prefill; 0 for a request that another host started.
    prefill_tokens: u64,
    /// Estimated cost, charged to the account when the request was sent.
    charged_cost: u64,
    /// Time of the first token.
    first_token: Option<Time>,
    /// Tokens generated since the request was sent.
    produced_tokens: u64,
    /// Time at which the request was last told to stop.
    stop_sent_at: Option<Time>,
}

/// State of a request over all its attempts.
#[derive(Default)]
struct OpenWork {
    /// Tokens generated so far. At the end, admission control refunds the unused rest.
    produced: u64,
    /// Whether an engine accepted the request, even if it generated no token.
    ran: bool,
}

#[derive(Default)]
struct AccountState {
    weight: u32,
}

/// Queues requests for the engines that this host owns and decides when each is sent.
#[derive(Default)]
pub struct PoolScheduler {
    ranks: BTreeMap<RankKey, RankState>,
    accounts: BTreeMap<AccountKey, AccountState>,
    engines: BTreeMap<EngineKey, EngineTracker>,
    /// Memory of the largest possible group of engines for each model, in tokens.
    group_tokens: BTreeMap<ModelKey, u64>,
    admission: AdmissionController,
    /// Rank of each queued request.
    queued: BTreeMap<WorkKey, RankKey>,
    queued_tokens: u64,
    running: BTreeMap<WorkKey, RunningWork>,
    deadlines: BTreeSet<(Time, WorkKey)>,
    /// Requests that were admitted and have not ended.
    open: BTreeMap<WorkKey, OpenWork>,
    /// Actual cost spent per second.
    cost_meter: CostMeter,
    /// Estimated cost sent to engines per second, by size class.
    class_meters: [CostMeter; CLASS_COUNT],
    /// Average time for which a request holds memory, in seconds, by size class; 0 until known.
    mean_hold_seconds: [f64; CLASS_COUNT],
    /// Average time to generate a token, in seconds; 0 until known.
    mean_token_seconds: f64,
    /// Queued urgent requests that work was last preempted for, with the time.
    preempting: BTreeMap<WorkKey, Time>,
    /// Cost and tokens spent since the last [`PoolScheduler::take_usage`].
    usage: BTreeMap<(AccountKey, RankKey), (u64, u64)>,
    /// Engine memory that running requests hold, in tokens.
    held_tokens: BTreeMap<(AccountKey, RankKey), u64>,
    /// Time of the last sweep over idle accounts.
    swept_at: Time,
}

impl PoolScheduler {
    /// Applies an input at time `now` and returns the actions to carry out. Deadlines that have
    /// passed are handled on every call.
    pub fn step(&mut self, now: Time, input: SchedulerInput) -> Vec<SchedulerOutput> {
        let mut outputs = Vec::new();
        // Whether capacity or the order of service may have changed, so that all queues are tried.
        let mut needs_dispatch = true;
        match input {
            SchedulerInput::Ranks(specs) => self.set_ranks(now, specs),
            SchedulerInput::Accounts(specs) => self.set_accounts(now, specs),
            SchedulerInput::EngineAdded(spec) => {
                let engine = spec.engine;
                let tracker = self.engines.entry(engine);
                let tracker = tracker.or_insert_with(|| EngineTracker::new(now, spec.clone()));
                tracker.spec = spec;
                tracker.is_owned = true;
            }
            SchedulerInput::EngineRemoved(engine) => self.remove_engine(now, engine, &mut outputs),
            SchedulerInput::EngineUsable { engine, usable } => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.is_usable = usable;
                }
            }
            SchedulerInput::Submit(item) => {
                self.submit(now, item, &mut outputs);
                needs_dispatch = false;
            }
            SchedulerInput::Requeue(item) => self.requeue(now, item, &mut outputs),
            SchedulerInput::Retry(item) => self.retry(now, item, &mut outputs),
            SchedulerInput::Adopt { item, engine } => self.adopt(now, item, engine),
            SchedulerInput::Cancel(work) => {
                needs_dispatch = !self.queued.contains_key(&work);
                self.cancel(now, work, &mut outputs);
            }
            SchedulerInput::Progress { work, tokens } => {
                needs_dispatch = self.progress(now, work, tokens)
            }
            SchedulerInput::Finished(work) => self.end_work(now, work),
            SchedulerInput::Rejected(work) => {
                if let Some(running) = self.release(now, work) {
                    self.enqueue(now, running.item, true);
                }
            }
            SchedulerInput::Report { engine, report } => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.set_report(now, report);
                }
            }
            SchedulerInput::RemoteUsage { account, rank, cost, tokens, held_tokens } => {
                let input = AdmissionInput::RemoteUsage { account, rank, tokens, held_tokens };
                self.admission.step(now, input);
                if let Some(state) = self.ranks.get_mut(&rank) {
                    state.queue.charge(account, cost as i64);
                    state.queue.record_use(now, account, cost);
                }
            }
            SchedulerInput::Drain { engine, until } => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.drained_until = until;
                }
            }
            SchedulerInput::ReservedMemory { engine, tokens } => {
                if let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.reserved_tokens = tokens;
                }
            }
            SchedulerInput::GroupCapacity { model, tokens } => {
                self.group_tokens.insert(model, tokens);
            }
            SchedulerInput::Tick => self.tick(now),
        }
        self.expire(now, &mut outputs);
        if needs_dispatch {
            self.dispatch_all(now, &mut outputs);
        }
        outputs
    }

    /// Returns the load of an engine that is reported to other hosts: the memory held and reserved
    /// on it and its part of the queue, in tokens. An engine that accepts no work reports more than
    /// any other.
    pub fn backlog_tokens(&self, engine: EngineKey) -> u64 {
        let Some(tracker) = self.engines.get(&engine) else { return 0 };
        if !tracker.accepts_work() {
            return u64::MAX / 2;
        }
        tracker.held_tokens
            + tracker.reserved_tokens
            + self.queued_tokens / self.engines.len().max(1) as u64
    }

    /// Returns the number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of running requests, including those on groups.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the engine memory that requests of this host hold, in tokens; 0 for an unknown
    /// engine.
    pub fn held_tokens(&self, engine: EngineKey) -> u64 {
        self.engines.get(&engine).map_or(0, |tracker| tracker.held_tokens)
    }

    /// Returns the usage of each account and rank on this host since the last call, and resets it.
    /// Accounts that spent nothing are left out.
    pub fn take_usage(&mut self) -> Vec<AccountUsage> {
        let usage = std::mem::take(&mut self.usage);
        let item = |((account, rank), (cost, tokens))| {
            let held_tokens = self.held_tokens.get(&(account, rank)).copied().unwrap_or(0);
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
            None => limits.extend(self.admission.account_limits()),
        }
        self.admission.step(now, AdmissionInput::Limits(limits));
    }

    fn weight(&self, account: AccountKey) -> u32 {
        self.accounts.get(&account).map_or(1, |state| state.weight)
    }

    /// Returns the state of a rank. A rank that is not configured gets no guaranteed share and no
    /// limits.
    fn rank(&mut self, rank: RankKey) -> &mut RankState {
        self.ranks.entry(rank).or_insert_with(|| RankState::new(unconfigured_rank(rank)))
    }

    fn submit(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        let (work, model) = (item.work, item.model);
        if item.deadline <= now {
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, "the deadline has passed");
            return outputs.push(SchedulerOutput::Refuse { work, refusal });
        }
        let serving = self.engines.values().filter(|tracker| tracker.spec.models.contains(&model));
        if !serving.into_iter().any(EngineTracker::accepts_work) {
            return outputs.push(SchedulerOutput::HandBack(work));
        }
        let need = memory_tokens(&item);
        let needs_group = self.needs_group(&item);
        if needs_group && self.group_tokens.get(&model).is_none_or(|tokens| need > *tokens) {
            let text = "the prompt needs more memory than any group of engines has";
            let refusal = Refusal::not_run(Reason::PromptExceedsFleet, text);
            return outputs.push(SchedulerOutput::Refuse { work, refusal });
        }
        self.advance_engines(now);
        self.rank(item.rank);
        let request = self.admission_request(now, &item);
        for output in self.admission.step(now, AdmissionInput::Request(request)) {
            if let AdmissionOutput::Refused(work, refusal) = output {
                return outputs.push(SchedulerOutput::Refuse { work, refusal });
            }
        }
        self.open.insert(work, OpenWork::default());
        let state = self.rank(item.rank);
        cost::update_average(&mut state.mean_memory_tokens, need as f64, 0.05);
        if needs_group {
            self.start_group(now, item);
            return outputs.push(SchedulerOutput::ReserveGroup(work));
        }
        let (rank, lane) = (item.rank, (model, size_class(item.prompt_tokens)));
        self.enqueue(now, item, false);
        self.dispatch_lane(now, rank, lane, outputs);
    }

    fn enqueue(&mut self, now: Time, item: WorkItem, at_front: bool) {
        let (work, rank, deadline) = (item.work, item.rank, item.deadline);
        let need = memory_tokens(&item);
        let weight = self.weight(item.account);
        let cost = self.estimate_cost(&item, item.prompt_tokens);
        self.update_share_order(now, rank, item.account);
        self.rank(rank).queue.push(now, item, weight, cost, at_front);
        self.queued.insert(work, rank);
        self.queued_tokens += need;
        self.deadlines.insert((deadline, work));
    }

    fn unqueue(&mut self, work: WorkKey) -> Option<queue::QueuedWork> {
        let rank = self.queued.remove(&work)?;
        let queued_work = self.ranks.get_mut(&rank)?.queue.remove(work)?;
        self.queued_tokens -= memory_tokens(&queued_work.item);
        self.deadlines.remove(&(queued_work.item.deadline, work));
        self.preempting.remove(&work);
        for tracker in self.engines.values_mut() {
            if tracker.drain_for.is_some_and(|(drained, _)| drained == work) {
                tracker.drain_for = None;
            }
        }
        Some(queued_work)
    }

    fn requeue(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        self.release(now, item.work);
        self.unqueue(item.work);
        if !self.open.contains_key(&item.work) {
            self.count_adopted(now, &item);
        }
        self.open.entry(item.work).or_default().ran = true;
        if item.deadline <= now {
            return self.refuse_expired(now, item.work, outputs);
        }
        if self.needs_group(&item) {
            let work = item.work;
            self.start_group(now, item);
            return outputs.push(SchedulerOutput::ReserveGroup(work));
        }
        self.enqueue(now, item, true);
    }

    /// Whether the request needs more memory than any engine of this host that serves its model
    /// has.
    fn needs_group(&self, item: &WorkItem) -> bool {
        let serving =
            self.engines.values().filter(|tracker| tracker.spec.models.contains(&item.model));
        let largest = serving.map(|tracker| tracker.spec.memory_tokens).max();
        largest.is_some_and(|largest| memory_tokens(item) > largest)
    }

    fn retry(&mut self, now: Time, item: WorkItem, outputs: &mut Vec<SchedulerOutput>) {
        let work = item.work;
        self.release(now, work);
        if !self.open.contains_key(&work) {
            self.count_adopted(now, &item);
        }
        for output in self.admission.step(now, AdmissionInput::Retry(work)) {
            match output {
                AdmissionOutput::Admitted(_) => self.requeue(now, item.clone(), outputs),
                AdmissionOutput::Refused(work, refusal) => {
                    self.end_work(now, work);
                    outputs.push(SchedulerOutput::Refuse { work, refusal });
                }
            }
        }
    }

    fn refuse_expired(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        let ran = self.open.get(&work).is_some_and(|open| open.ran);
        let refuse = if ran { Refusal::ran } else { Refusal::not_run };
        let refusal = refuse(Reason::DeadlineExceeded, "the request was not served in time");
        self.end_work(now, work);
        outputs.push(SchedulerOutput::Refuse { work, refusal });
    }

    fn count_adopted(&mut self, now: Time, item: &WorkItem) {
        let request = self.admission_request(now, item);
        self.admission.step(now, AdmissionInput::Adopt(request));
        self.open.insert(item.work, OpenWork::default());
    }

    fn remove_engine(&mut self, now: Time, engine: EngineKey, outputs: &mut Vec<SchedulerOutput>) {
        let Some(tracker) = self.engines.get_mut(&engine) else { return };
        tracker.is_owned = false;
        if tracker.running == 0 {
            self.engines.remove(&engine);
        }
        let owned = self.engines.values().filter(|tracker| tracker.is_owned);
        let models: BTreeSet<_> = owned.flat_map(|tracker| tracker.spec.models.clone()).collect();
        let is_lost = |work: &WorkKey, rank: &RankKey| {
            let queued_work = self.ranks.get(rank).and_then(|state| state.queue.get(*work));
            queued_work.is_some_and(|queued_work| !models.contains(&queued_work.item.model))
        };
        let queued = self.queued.iter();
        let lost: Vec<_> =
            queued.filter(|(work, rank)| is_lost(work, rank)).map(|(work, _)| *work).collect();
        for work in lost {
            self.end_work(now, work);
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
                self.refuse_expired(now, work, outputs);
                continue;
            }
            // A cancellation that the engine does not confirm is repeated.
            if let Some(running) = self.running.get_mut(&work) {
                running.item.deadline = now + STOP_RETRY_PERIOD;
                self.deadlines.insert((now + STOP_RETRY_PERIOD, work));
                self.stop(now, work, outputs);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.cost_meter.observe(now, !self.queued.is_empty());
        for (class, meter) in self.class_meters.iter_mut().enumerate() {
            let is_queued = |state: &RankState| state.queue.class_cost(class) > 0;
            meter.observe(now, self.ranks.values().any(is_queued));
        }
        self.advance_engines(now);
        if now.since(self.swept_at) >= IDLE_SWEEP_PERIOD {
            self.swept_at = now;
            self.ranks.values_mut().for_each(|state| state.queue.remove_idle_accounts(now));
        }
    }

    fn advance_engines(&mut self, now: Time) {
        let rate = self.mean_prefill_rate();
        self.engines.values_mut().for_each(|tracker| tracker.advance(now, rate));
    }
}

impl RankState {
    fn new(spec: RankSpec) -> RankState {
        RankState {
            spec,
            queue: RankQueue::default(),
            share_credit: 0.0,
            recent_cost: DecayingSum::default(),
            class_recent_cost: [DecayingSum::default(); CLASS_COUNT],
            mean_output_tokens: 0.0,
            mean_memory_tokens: 0.0,
        }
    }
}

fn unconfigured_rank(rank: RankKey) -> RankSpec {
    RankSpec {
        rank,
        first_token_target: Duration::MAX,
        finish_limit: Duration::MAX,
        guaranteed_share: 0.0,
        tokens_per_second: None,
        memory_tokens: None,
    }
}
