//! Chooses the next request and its engine. Requests of the most urgent rank from accounts within
//! their share come first, then ranks that are owed part of their guaranteed share, then all ranks
//! by level. Within a rank, accounts are served by virtual time.

use std::time::Duration;

use super::{
    PoolScheduler, RankState, SchedulerOutput, WorkItem, WorkSite,
    cost::{CLASS_COUNT, memory_tokens, size_class},
    engine::{EngineTracker, Headroom, ResourceDemand},
    forecast::RECENT_SPAN,
    queue::{LaneHead, LaneKey},
};
use crate::{
    key::{AccountKey, EngineKey, RankKey, WorkKey},
    time::Time,
};

/// Batch size for which one slot is kept free for urgent work; at least one slot is.
const BATCH_PER_HEADROOM_SLOT: u32 = 32;
/// Largest share of an engine's memory that is kept free for urgent work.
const MAX_HEADROOM_MEMORY_SHARE: f64 = 0.2;
/// Time after which more work is preempted for a request that is still queued.
const PREEMPT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Queueing time after which an engine is drained for a long prompt.
const DRAIN_WAIT: Duration = Duration::from_millis(100);
/// First size class that engines are drained for. Shorter prompts find free memory soon enough.
const FIRST_DRAIN_CLASS: usize = 2;
/// Smallest number of engines of which prompts of the longest class may use only a subset.
const MIN_SUBSET_ENGINES: usize = 3;
/// Largest guaranteed-share credit that a rank can accumulate, in seconds of the pool's throughput.
const MAX_CREDIT_SECONDS: f64 = 2.0;
/// Largest guaranteed-share debt of a rank, in seconds of the pool's throughput.
const MAX_DEBT_SECONDS: f64 = 0.5;
/// Bonus of the engine that the entry host chose, in seconds of predicted wait.
const PREFERRED_BONUS_SECONDS: f64 = 0.005;
/// Penalty of a fully used engine, in seconds of predicted wait.
const UTILIZATION_PENALTY_SECONDS: f64 = 0.01;
/// Engine priorities of each rank: one for each size class of accounts within their share, and of
/// the others.
const PRIORITIES_PER_RANK: u8 = 2 * CLASS_COUNT as u8;

/// Which requests of a rank are considered in one pass of the selection.
#[derive(Clone, Copy, PartialEq)]
enum SelectionPass {
    /// Only requests that may use the headroom.
    Entitled,
    /// All requests, because the rank is owed part of its guaranteed share.
    Owed,
    /// All requests, in the order of ranks.
    Any,
}

struct DispatchChoice {
    work: WorkKey,
    engine: EngineKey,
    demand: ResourceDemand,
}

impl PoolScheduler {
    /// Sends every queued request that has room on an engine, then makes room for urgent and long
    /// ones.
    pub(super) fn dispatch_all(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        if self.queued.is_empty() {
            return;
        }
        self.advance_engines(now);
        while let Some(choice) = self.next_dispatch(now) {
            self.send_to_engine(now, choice, outputs);
        }
        self.preempt_for_urgent(now, outputs);
        self.drain_for_long_prompts(now);
    }

    /// Sends the requests of one lane that have room. This suffices after a request was queued
    /// there and nothing else changed.
    pub(super) fn dispatch_lane(
        &mut self,
        now: Time,
        rank: RankKey,
        lane: LaneKey,
        outputs: &mut Vec<SchedulerOutput>,
    ) {
        while let Some(head) = self.ranks[&rank].queue.head(lane) {
            let owed = self.is_owed(rank);
            let pass = if owed { SelectionPass::Owed } else { SelectionPass::Any };
            let Some(choice) = self.choose_for_head(now, rank, &head, pass) else { break };
            self.send_to_engine(now, choice, outputs);
        }
        if self.is_most_urgent(rank) {
            self.preempt_for_urgent(now, outputs);
        }
    }

    fn next_dispatch(&self, now: Time) -> Option<DispatchChoice> {
        let top = self.ranks.keys().next().copied()?;
        let urgent = self.choose_from_rank(now, top, SelectionPass::Entitled);
        let owed = self.ranks.keys().filter(|rank| self.is_owed(**rank));
        urgent
            .or_else(|| {
                owed.copied().find_map(|rank| self.choose_from_rank(now, rank, SelectionPass::Owed))
            })
            .or_else(|| {
                self.ranks
                    .keys()
                    .find_map(|rank| self.choose_from_rank(now, *rank, SelectionPass::Any))
            })
    }

    fn choose_from_rank(
        &self,
        now: Time,
        rank: RankKey,
        pass: SelectionPass,
    ) -> Option<DispatchChoice> {
        let heads = self.ranks[&rank].queue.heads();
        heads.iter().find_map(|head| self.choose_for_head(now, rank, head, pass))
    }

    fn choose_for_head(
        &self,
        now: Time,
        rank: RankKey,
        head: &LaneHead,
        pass: SelectionPass,
    ) -> Option<DispatchChoice> {
        let entitled = self.is_entitled(now, rank, head.account);
        if pass == SelectionPass::Entitled && !entitled {
            return None;
        }
        let item = &self.ranks[&rank].queue.get(head.work)?.item;
        let priority = self.priority(now, item, pass == SelectionPass::Owed);
        // The slot kept for accounts within their share must not go to lower-ranked work, or queued
        // work of higher ranks that may not use it would never find enough free slots.
        let is_higher_rank_waiting =
            || self.ranks.range(..rank).any(|(_, state)| !state.queue.is_empty());
        let may_overtake = pass == SelectionPass::Owed || !is_higher_rank_waiting();
        let within_share = may_overtake && self.is_within_share(now, rank, head.account);
        let demand = ResourceDemand::new(item, priority, entitled, within_share);
        let engine = self.find_engine(now, item, &demand)?;
        Some(DispatchChoice { work: head.work, engine, demand })
    }

    fn is_most_urgent(&self, rank: RankKey) -> bool {
        self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank)
    }

    fn is_owed(&self, rank: RankKey) -> bool {
        self.ranks[&rank].share_credit > 0.0 && !self.ranks[&rank].queue.is_empty()
    }

    /// Returns the priority of a request inside its engine. Work that a rank is owed gets the level
    /// of the most urgent rank, or it would wait inside the engine instead of in the queue.
    pub(super) fn priority(&self, now: Time, item: &WorkItem, owed: bool) -> u8 {
        let top = self.ranks.keys().next().copied().unwrap_or(item.rank);
        let level = if owed { top.0 } else { item.rank.0 };
        let within = self.is_within_share(now, item.rank, item.account);
        let own = within && (!owed || self.is_most_urgent(item.rank));
        let base = level.min(30) * PRIORITIES_PER_RANK;
        let (class, last) = (size_class(item.prompt_tokens), CLASS_COUNT - 1);
        // A prompt of the longest class would block all others for seconds, so it comes after every
        // shorter prompt of its rank, whatever the share of their accounts.
        base + match (class == last, own) {
            (false, true) => class as u8,
            (false, false) => (last + class) as u8,
            (true, own) => 2 * last as u8 + u8::from(!own),
        }
    }

    /// Returns the engine with room that is predicted to deliver the first token earliest.
    pub(super) fn find_engine(
        &self,
        now: Time,
        item: &WorkItem,
        demand: &ResourceDemand,
    ) -> Option<EngineKey> {
        let rate = self.mean_prefill_rate();
        let headroom = |tracker: &EngineTracker| self.headroom(tracker);
        let allowed = self.last_long_engine(now, item);
        let engines = self.engines.iter().filter(|(engine, tracker)| {
            tracker.spec.models.contains(&item.model)
                && allowed.is_none_or(|last| **engine <= last)
                && tracker.has_room(now, demand, headroom(tracker), rate)
        });
        let score = |engine: EngineKey, tracker: &EngineTracker| {
            let own = item.prompt_tokens.saturating_sub(tracker.cached_tokens(item)) as f64;
            let rate = tracker.rate(rate).max(1.0);
            let wait = (tracker.backlog(demand.priority) + own) / rate;
            let preferred =
                if item.preferred == Some(engine) { PREFERRED_BONUS_SECONDS } else { 0.0 };
            wait + tracker.utilization() * UTILIZATION_PENALTY_SECONDS - preferred
        };
        let scored = engines.map(|(engine, tracker)| (score(*engine, tracker), *engine));
        scored.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, engine)| engine)
    }

    /// Returns the capacity to keep free on an engine for the most urgent rank. It is none if that
    /// rank has no guaranteed share or is the only rank.
    fn headroom(&self, tracker: &EngineTracker) -> Headroom {
        let Some((_, top)) = self.ranks.first_key_value() else { return Headroom::default() };
        if top.spec.guaranteed_share <= 0.0 || self.ranks.len() < 2 {
            return Headroom::default();
        }
        let most = tracker.spec.memory_tokens as f64 * MAX_HEADROOM_MEMORY_SHARE;
        Headroom {
            slots: (tracker.spec.batch / BATCH_PER_HEADROOM_SLOT)
                .max(1)
                .min(tracker.spec.batch / 2),
            tokens: (top.mean_memory_tokens * 2.0).min(most) as u64,
        }
    }

    /// Returns the last engine, by key, that the prompt may use, or `None` if it may use all.
    /// Prompts of the longest class are kept to a subset of the engines that grows with the share
    /// of that class in the demand.
    fn last_long_engine(&self, now: Time, item: &WorkItem) -> Option<EngineKey> {
        let last = CLASS_COUNT - 1;
        if size_class(item.prompt_tokens) < last {
            return None;
        }
        let engines = self.engines.iter();
        let serving = engines
            .filter(|(_, tracker)| {
                tracker.accepts_work() && tracker.spec.models.contains(&item.model)
            })
            .map(|(engine, _)| *engine);
        let serving: Vec<_> = serving.collect();
        if serving.len() < MIN_SUBSET_ENGINES {
            return None;
        }
        // Queued work counts as well, or a class that is held back could never grow its subset.
        // Lower ranks do not count, because their overload must not shrink the subset of higher
        // ranks.
        let class_demand = |class: usize| {
            let ranks = self.ranks.range(..=item.rank).map(|(_, state)| state);
            let of_rank = |state: &RankState| {
                let recent = state.class_recent_cost[class].get(now, RECENT_SPAN);
                recent + state.queue.class_cost(class) as f64
            };
            ranks.map(of_rank).sum::<f64>()
        };
        let total: f64 = (0..CLASS_COUNT).map(class_demand).sum();
        let share = class_demand(last) / total.max(1.0);
        let count = (serving.len() as f64 * share).ceil().max(1.0) as usize;
        serving.get(count.min(serving.len()) - 1).copied()
    }

    fn send_to_engine(
        &mut self,
        now: Time,
        choice: DispatchChoice,
        outputs: &mut Vec<SchedulerOutput>,
    ) {
        let DispatchChoice { work, engine, demand } = choice;
        let rank = self.queued[&work];
        self.preempting.remove(&work);
        let queued_work = self.unqueue(work).expect("was just chosen");
        let item = queued_work.item;
        self.rank(rank).queue.advance_virtual_time(item.account);
        let tracker = self.engines.get_mut(&engine).expect("was just chosen");
        let prefill = tracker.add_request(now, &item, &demand);
        let class = demand.class;
        self.class_meters[class].add_cost(queued_work.cost);
        let recent = &mut self.rank(rank).class_recent_cost[class];
        recent.add(now, RECENT_SPAN, queued_work.cost as f64);
        self.start(now, item, WorkSite::Engine(engine), prefill);
        outputs.push(SchedulerOutput::Dispatch { work, engine, priority: demand.priority });
    }

    /// Charges a cost to an account and updates the guaranteed-share credit of every rank: ranks
    /// with queued work earn their share of the cost, and the charged rank pays all of it.
    pub(super) fn charge(&mut self, rank: RankKey, account: AccountKey, cost: i64) {
        let pool = self.cost_meter.rate();
        let (most, least) = (pool * MAX_CREDIT_SECONDS, -pool * MAX_DEBT_SECONDS);
        for (key, state) in &mut self.ranks {
            if !state.queue.is_empty() {
                state.share_credit += state.spec.guaranteed_share * cost as f64;
            } else {
                // A rank without queued work is owed nothing.
                state.share_credit = state.share_credit.min(0.0);
            }
            if *key == rank {
                state.share_credit -= cost as f64;
                state.queue.charge(account, cost);
            }
            state.share_credit = state.share_credit.clamp(least, most.max(0.0));
        }
    }

    /// Preempts lower-ranked work when urgent work of accounts within their share finds no room.
    fn preempt_for_urgent(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        let Some(top) = self.ranks.keys().next().copied() else { return };
        for head in self.ranks[&top].queue.heads() {
            if !self.is_entitled(now, top, head.account) {
                continue;
            }
            // If the freed room did not let the request start, more work must not be preempted at
            // once.
            let last = self.preempting.get(&head.work);
            if last.is_some_and(|last| now.since(*last) < PREEMPT_RETRY_DELAY) {
                continue;
            }
            let Some(queued_work) = self.ranks[&top].queue.get(head.work) else { continue };
            let item = queued_work.item.clone();
            let Some((engine, victims)) = self.preemption_victims(now, &item) else { continue };
            self.preempting.insert(head.work, now);
            for work in victims {
                let running = self.running.get_mut(&work).expect("was just chosen");
                running.stop_sent_at = Some(now);
                let tracker = self.engines.get_mut(&engine).expect("was just chosen");
                tracker.mark_stopping(&running.item);
                outputs.push(SchedulerOutput::Preempt { work, engine });
            }
        }
    }

    /// Whether preempting lower-ranked work would make room for the request.
    pub(super) fn can_preempt(&self, now: Time, item: &WorkItem) -> bool {
        self.preemption_victims(now, item).is_some()
    }

    /// Returns the engine on which the fewest requests have to be preempted for the request, and
    /// these requests. The least urgent are chosen first, and among them those that started last,
    /// as they lose the least work.
    fn preemption_victims(&self, now: Time, item: &WorkItem) -> Option<(EngineKey, Vec<WorkKey>)> {
        let demand = ResourceDemand::new(item, 0, true, true);
        let mut best: Option<(usize, EngineKey, Vec<WorkKey>)> = None;
        for (engine, tracker) in &self.engines {
            let may_start = tracker.accepts_work() && tracker.may_start_prefill(demand.class);
            if !may_start || !tracker.spec.models.contains(&item.model) {
                continue;
            }
            let (mut tokens, mut slots) = tracker.shortage(now, &demand);
            let mut works: Vec<_> = self
                .running
                .values()
                .filter(|running| {
                    running.site == WorkSite::Engine(*engine)
                        && running.stop_sent_at.is_none()
                        && running.item.rank > item.rank
                })
                .collect();
            works.sort_by_key(|running| std::cmp::Reverse((running.item.rank, running.started_at)));
            let mut victims = Vec::new();
            for running in works {
                if tokens == 0 && slots == 0 {
                    break;
                }
                tokens = tokens.saturating_sub(memory_tokens(&running.item));
                slots = slots.saturating_sub(1);
                victims.push(running.item.work);
            }
            let is_better = best.as_ref().is_none_or(|best| victims.len() < best.0);
            if tokens == 0 && slots == 0 && !victims.is_empty() && is_better {
                best = Some((victims.len(), *engine, victims));
            }
        }
        best.map(|(_, engine, victims)| (engine, victims))
    }

    /// Drains the engine with the most free memory for a long prompt that waits for memory, so that
    /// shorter prompts do not take all memory that becomes free.
    fn drain_for_long_prompts(&mut self, now: Time) {
        let mut chosen = Vec::new();
        for (rank, state) in &self.ranks {
            for head in state.queue.heads().iter().filter(|head| head.class >= FIRST_DRAIN_CLASS) {
                let Some(queued_work) = state.queue.get(head.work) else { continue };
                if now.since(queued_work.queued_at) < DRAIN_WAIT {
                    continue;
                }
                chosen.push((*rank, queued_work.item.clone()));
            }
        }
        for (rank, item) in chosen {
            let need = memory_tokens(&item);
            let model = item.model;
            let serving =
                self.engines.values_mut().filter(|tracker| tracker.spec.models.contains(&model));
            let mut has_drain = false;
            for tracker in serving {
                // Work of a lower rank can wait for other reasons than memory, and must not keep a
                // drain from higher-ranked work.
                let drained = tracker.drain_for.and_then(|(work, _)| self.queued.get(&work));
                match drained {
                    Some(drained) if *drained <= rank => has_drain = true,
                    _ => tracker.drain_for = None,
                }
            }
            if has_drain {
                continue;
            }
            let last = self.last_long_engine(now, &item);
            let open = self.engines.iter_mut().filter(|(engine, tracker)| {
                tracker.accepts_work()
                    && tracker.spec.models.contains(&model)
                    && tracker.spec.memory_tokens >= need
                    && last.is_none_or(|last| **engine <= last)
            });
            if let Some((_, tracker)) = open.max_by_key(|(_, tracker)| tracker.free_tokens(now)) {
                tracker.drain_for = Some((
                    item.work,
                    tracker.required_free_tokens(size_class(item.prompt_tokens), need),
                ));
            }
        }
    }
}
