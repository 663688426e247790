//! Chooses the next request and its engine: the most urgent rank's accounts within their share,
//! then ranks that are owed their guaranteed share, then ranks by level; in a rank, accounts by
//! virtual time.

use std::time::Duration;

use super::{
    PoolScheduler, RankState, SchedulerOutput, Site, WorkItem,
    cost::{CLASS_COUNT, memory_tokens, size_class},
    engine::{EngineBook, Headroom, Placement},
    forecast::RECENT_SPAN,
    queue::{Head, LaneKey},
};
use crate::{
    key::{AccountKey, EngineKey, RankKey, WorkKey},
    time::Time,
};

/// Part of a batch that is kept free for urgent work, at least one place.
const HEADROOM_BATCH: u32 = 32;
/// Most of an engine's memory that is kept free for urgent work.
const HEADROOM_MEMORY: f64 = 0.2;
/// Time after which more work is preempted for a request that still waits.
const PREEMPT_REPEAT: Duration = Duration::from_secs(1);
/// Wait after which an engine is drained for a long prompt that finds no memory.
const DRAIN_AFTER: Duration = Duration::from_millis(100);
/// First size class that engines are drained for; shorter prompts find memory soon.
const DRAIN_CLASS: usize = 2;
/// Smallest pool in which long prompts are kept to a subset of the engines.
const SUBSET_ENGINES: usize = 3;
/// Credit that a rank can run up, in seconds of the pool's throughput.
const CREDIT_SECONDS: f64 = 2.0;
/// Advance, in seconds of service, that is held against a rank when others are owed.
const DEBT_SECONDS: f64 = 0.5;
/// Advantage of the engine that the entry host chose, in seconds.
const PREFERRED_SECONDS: f64 = 0.005;
/// Weight of an engine's fill against its predicted wait, in seconds.
const FILL_SECONDS: f64 = 0.01;
/// Engine priorities for each rank: size classes of accounts within their share, and of the others.
const PRIORITIES_PER_RANK: u8 = 2 * CLASS_COUNT as u8;

/// Which requests of a rank are looked at.
#[derive(Clone, Copy, PartialEq)]
enum Pick {
    /// Only those that may use the headroom.
    Entitled,
    /// All, as the rank is owed its guaranteed share.
    Owed,
    /// All.
    Any,
}

struct Choice {
    work: WorkKey,
    engine: EngineKey,
    place: Placement,
}

impl PoolScheduler {
    /// Sends everything that has room.
    pub(super) fn dispatch_all(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        if self.queued.is_empty() {
            return;
        }
        self.advance_engines(now);
        while let Some(choice) = self.next_choice(now) {
            self.send(now, choice, outputs);
        }
        self.preempt_for_urgent(now, outputs);
        self.drain_for_long(now);
    }

    /// Sends the requests of one lane that have room; a request was just queued there and nothing
    /// else changed.
    pub(super) fn dispatch_lane(
        &mut self,
        now: Time,
        rank: RankKey,
        lane: LaneKey,
        outputs: &mut Vec<SchedulerOutput>,
    ) {
        while let Some(head) = self.ranks[&rank].queue.head(lane) {
            let owed = self.is_owed(rank);
            let pick = if owed { Pick::Owed } else { Pick::Any };
            let Some(choice) = self.choice_for(now, rank, &head, pick) else { break };
            self.send(now, choice, outputs);
        }
        if self.is_top(rank) {
            self.preempt_for_urgent(now, outputs);
        }
    }

    fn next_choice(&self, now: Time) -> Option<Choice> {
        let top = self.ranks.keys().next().copied()?;
        let urgent = self.choose_in(now, top, Pick::Entitled);
        let owed = self.ranks.keys().filter(|rank| self.is_owed(**rank));
        urgent
            .or_else(|| owed.copied().find_map(|rank| self.choose_in(now, rank, Pick::Owed)))
            .or_else(|| self.ranks.keys().find_map(|rank| self.choose_in(now, *rank, Pick::Any)))
    }

    fn choose_in(&self, now: Time, rank: RankKey, pick: Pick) -> Option<Choice> {
        let heads = self.ranks[&rank].queue.heads();
        heads.iter().find_map(|head| self.choice_for(now, rank, head, pick))
    }

    fn choice_for(&self, now: Time, rank: RankKey, head: &Head, pick: Pick) -> Option<Choice> {
        let entitled = self.is_entitled(now, rank, head.account);
        if pick == Pick::Entitled && !entitled {
            return None;
        }
        let item = &self.ranks[&rank].queue.get(head.work)?.item;
        let priority = self.priority(now, item, pick == Pick::Owed);
        // The place kept for accounts within their share must not go to lower-ranked work, or work
        // above that may not use it would never see enough free places.
        let is_passed = || self.ranks.range(..rank).any(|(_, state)| !state.queue.is_empty());
        let may_pass = pick == Pick::Owed || !is_passed();
        let within_share = may_pass && self.is_within_share(now, rank, head.account);
        let place = Placement::new(item, priority, entitled, within_share);
        let engine = self.find_engine(now, item, &place)?;
        Some(Choice { work: head.work, engine, place })
    }

    fn is_top(&self, rank: RankKey) -> bool {
        self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank)
    }

    fn is_owed(&self, rank: RankKey) -> bool {
        self.ranks[&rank].credit > 0.0 && !self.ranks[&rank].queue.is_empty()
    }

    /// The engine priority of a request. Work that a rank is owed goes level with the most urgent
    /// rank's, or it would wait inside the engine instead of in the queue.
    pub(super) fn priority(&self, now: Time, item: &WorkItem, owed: bool) -> u8 {
        let top = self.ranks.keys().next().copied().unwrap_or(item.rank);
        let level = if owed { top.0 } else { item.rank.0 };
        let within = self.is_within_share(now, item.rank, item.account);
        let own = within && (!owed || self.is_top(item.rank));
        let base = level.min(30) * PRIORITIES_PER_RANK;
        let (class, last) = (size_class(item.prompt_tokens), CLASS_COUNT - 1);
        // A prompt of the longest class would hold up every other for seconds, so it goes after all
        // others of its rank, whoever sends them.
        base + match (class == last, own) {
            (false, true) => class as u8,
            (false, false) => (last + class) as u8,
            (true, own) => 2 * last as u8 + u8::from(!own),
        }
    }

    /// The engine with room where the request gets its first token first.
    pub(super) fn find_engine(
        &self,
        now: Time,
        item: &WorkItem,
        place: &Placement,
    ) -> Option<EngineKey> {
        let rate = self.prefill_rate();
        let room = |book: &EngineBook| self.headroom(book);
        let allowed = self.long_subset(now, item);
        let engines = self.engines.iter().filter(|(engine, book)| {
            book.spec.models.contains(&item.model)
                && allowed.is_none_or(|last| **engine <= last)
                && book.has_room(now, place, room(book), rate)
        });
        let score = |engine: EngineKey, book: &EngineBook| {
            let own = item.prompt_tokens.saturating_sub(book.cached_tokens(item)) as f64;
            let rate = book.rate(rate).max(1.0);
            let wait = (book.backlog(place.priority) + own) / rate;
            let preferred = if item.preferred == Some(engine) { PREFERRED_SECONDS } else { 0.0 };
            wait + book.fill() * FILL_SECONDS - preferred
        };
        let scored = engines.map(|(engine, book)| (score(*engine, book), *engine));
        scored.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, engine)| engine)
    }

    /// Room kept free on an engine for the most urgent rank, if it has a guaranteed share.
    fn headroom(&self, book: &EngineBook) -> Headroom {
        let Some((_, top)) = self.ranks.first_key_value() else { return Headroom::default() };
        if top.spec.guaranteed_share <= 0.0 || self.ranks.len() < 2 {
            return Headroom::default();
        }
        let most = book.spec.memory_tokens as f64 * HEADROOM_MEMORY;
        Headroom {
            slots: (book.spec.batch / HEADROOM_BATCH).max(1).min(book.spec.batch / 2),
            tokens: (top.typical_need * 2.0).min(most) as u64,
        }
    }

    /// The last engine that a prompt of the longest class may use: the subset grows with the
    /// share of that class.
    fn long_subset(&self, now: Time, item: &WorkItem) -> Option<EngineKey> {
        let last = CLASS_COUNT - 1;
        if size_class(item.prompt_tokens) < last {
            return None;
        }
        let engines = self.engines.iter();
        let serving = engines
            .filter(|(_, book)| book.takes_work() && book.spec.models.contains(&item.model))
            .map(|(engine, _)| *engine);
        let serving: Vec<_> = serving.collect();
        if serving.len() < SUBSET_ENGINES {
            return None;
        }
        // What waits counts too: a class that is held back must be able to grow its subset. Lower
        // ranks do not count, as a flood of theirs must not narrow the room of those above.
        let demand = |class: usize| {
            let ranks = self.ranks.range(..=item.rank).map(|(_, state)| state);
            let of_rank = |state: &RankState| {
                let recent = state.class_recent[class].get(now, RECENT_SPAN);
                recent + state.queue.class_cost(class) as f64
            };
            ranks.map(of_rank).sum::<f64>()
        };
        let total: f64 = (0..CLASS_COUNT).map(demand).sum();
        let share = demand(last) / total.max(1.0);
        let count = (serving.len() as f64 * share).ceil().max(1.0) as usize;
        serving.get(count.min(serving.len()) - 1).copied()
    }

    fn send(&mut self, now: Time, choice: Choice, outputs: &mut Vec<SchedulerOutput>) {
        let Choice { work, engine, place } = choice;
        let rank = self.queued[&work];
        self.preempting.remove(&work);
        let waiting = self.unqueue(work).expect("was just chosen");
        let item = waiting.item;
        self.rank(rank).queue.serve(item.account);
        let book = self.engines.get_mut(&engine).expect("was just chosen");
        let prefill = book.take(now, &item, &place);
        let class = place.class;
        self.class_pace[class].spend(waiting.cost);
        let recent = &mut self.rank(rank).class_recent[class];
        recent.add(now, RECENT_SPAN, waiting.cost as f64);
        self.start(now, item, Site::Engine(engine), prefill);
        outputs.push(SchedulerOutput::Dispatch { work, engine, priority: place.priority });
    }

    /// Charges an account and the guaranteed shares.
    pub(super) fn charge(&mut self, rank: RankKey, account: AccountKey, cost: i64) {
        let pool = self.pace.rate();
        let (most, least) = (pool * CREDIT_SECONDS, -pool * DEBT_SECONDS);
        for (key, state) in &mut self.ranks {
            if !state.queue.is_empty() {
                state.credit += state.spec.guaranteed_share * cost as f64;
            } else {
                // A rank that asks for nothing is owed nothing.
                state.credit = state.credit.min(0.0);
            }
            if *key == rank {
                state.credit -= cost as f64;
                state.queue.charge(account, cost);
            }
            state.credit = state.credit.clamp(least, most.max(0.0));
        }
    }

    /// Cancels lower-ranked work when urgent work within its share finds no room.
    fn preempt_for_urgent(&mut self, now: Time, outputs: &mut Vec<SchedulerOutput>) {
        let Some(top) = self.ranks.keys().next().copied() else { return };
        for head in self.ranks[&top].queue.heads() {
            if !self.is_entitled(now, top, head.account) {
                continue;
            }
            // Room made in vain for a reason not foreseen must not be made again at once.
            let last = self.preempting.get(&head.work);
            if last.is_some_and(|last| now.since(*last) < PREEMPT_REPEAT) {
                continue;
            }
            let Some(waiting) = self.ranks[&top].queue.get(head.work) else { continue };
            let item = waiting.item.clone();
            let Some((engine, victims)) = self.victims(now, &item) else { continue };
            self.preempting.insert(head.work, now);
            for work in victims {
                let running = self.running.get_mut(&work).expect("was just chosen");
                running.stopping = Some(now);
                let book = self.engines.get_mut(&engine).expect("was just chosen");
                book.leave(&running.item);
                outputs.push(SchedulerOutput::Preempt { work, engine });
            }
        }
    }

    /// Whether cancelling lower-ranked work would make room for the request.
    pub(super) fn can_preempt(&self, now: Time, item: &WorkItem) -> bool {
        self.victims(now, item).is_some()
    }

    /// The engine on which the least has to be cancelled for the request, and what to cancel:
    /// least urgent first, and what started last, as it loses least.
    fn victims(&self, now: Time, item: &WorkItem) -> Option<(EngineKey, Vec<WorkKey>)> {
        let place = Placement::new(item, 0, true, true);
        let mut best: Option<(usize, EngineKey, Vec<WorkKey>)> = None;
        for (engine, book) in &self.engines {
            let may_start = book.takes_work() && book.may_start(place.class);
            if !may_start || !book.spec.models.contains(&item.model) {
                continue;
            }
            let (mut tokens, mut slots) = book.shortage(now, &place);
            let mut works: Vec<_> = self
                .running
                .values()
                .filter(|running| {
                    running.site == Site::Engine(*engine)
                        && running.stopping.is_none()
                        && running.item.rank > item.rank
                })
                .collect();
            works.sort_by_key(|running| std::cmp::Reverse((running.item.rank, running.since)));
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

    /// Keeps the emptiest engine for a long prompt that waits for memory, so that shorter prompts
    /// do not take every part that becomes free.
    fn drain_for_long(&mut self, now: Time) {
        let mut chosen = Vec::new();
        for (rank, state) in &self.ranks {
            for head in state.queue.heads().iter().filter(|head| head.class >= DRAIN_CLASS) {
                let Some(waiting) = state.queue.get(head.work) else { continue };
                if now.since(waiting.since) < DRAIN_AFTER {
                    continue;
                }
                chosen.push((*rank, waiting.item.clone()));
            }
        }
        for (rank, item) in chosen {
            let need = memory_tokens(&item);
            let model = item.model;
            let serving = self.engines.values_mut().filter(|b| b.spec.models.contains(&model));
            let mut is_kept = false;
            for book in serving {
                // Work of a lower rank can wait for other reasons than memory, and must not keep
                // the drain from work above it.
                let drained = book.drain_for.and_then(|(work, _)| self.queued.get(&work));
                match drained {
                    Some(drained) if *drained <= rank => is_kept = true,
                    _ => book.drain_for = None,
                }
            }
            if is_kept {
                continue;
            }
            let last = self.long_subset(now, &item);
            let open = self.engines.iter_mut().filter(|(engine, book)| {
                book.takes_work()
                    && book.spec.models.contains(&model)
                    && book.spec.memory_tokens >= need
                    && last.is_none_or(|last| **engine <= last)
            });
            if let Some((_, book)) = open.max_by_key(|(_, book)| book.free(now)) {
                book.drain_for =
                    Some((item.work, book.room_for(size_class(item.prompt_tokens), need)));
            }
        }
    }
}
