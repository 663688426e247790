//! The scheduler's view of one engine: memory and batch slots in use, prefill in progress, and
//! prompt prefixes that are probably cached.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    EngineReport, EngineSpec, WorkItem,
    cost::{CLASS_COUNT, PREFIX_TOKENS, memory_tokens, size_class},
    pace::PrefillMeter,
};
use crate::{key::WorkKey, time::Time};

/// Time of prefill ahead of a request beyond which it stays in the queue, where its order can still
/// change.
const PREFILL_WINDOW: Duration = Duration::from_millis(150);
/// Prefill window before the prefill rate is known, in tokens.
const INITIAL_WINDOW_TOKENS: f64 = 16_000.0;
/// Share of an engine's batch that each size class may occupy.
const CLASS_BATCH_SHARE: [f64; CLASS_COUNT] = [1.0, 0.9, 0.5, 0.25];
/// Smallest batch in which accounts over their share must leave one slot free.
const MIN_SHARED_BATCH: u32 = 16;
/// Share of an engine's memory up to which each size class may fill it, so that a short prompt fits
/// beside long ones.
const CLASS_MEMORY_SHARE: [f64; CLASS_COUNT] = [1.0, 0.97, 0.92, 0.87];
/// First size class whose prefill is protected against a steady stream of shorter prompts.
const FIRST_LONG_CLASS: usize = 2;
/// Share of the prefill rate that a long prompt keeps during a steady stream of shorter prompts.
const LONG_PREFILL_SHARE: f64 = 0.25;
/// Number of prefix hashes kept for each engine; the least recently used are dropped.
const MAX_CACHED_PREFIXES: usize = 256;
/// Age beyond which a load report is stale and ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Upper bound assumed for the lag of load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Capacity kept free on an engine for requests that are entitled to it.
#[derive(Clone, Copy, Default)]
pub(super) struct Headroom {
    pub slots: u32,
    pub tokens: u64,
}

/// What a request demands of an engine, and what it is allowed to use there.
#[derive(Clone, Copy)]
pub(super) struct ResourceDemand {
    pub work: WorkKey,
    pub class: usize,
    pub needed_tokens: u64,
    pub priority: u8,
    /// Whether the request may use the headroom, see [`Headroom`].
    pub entitled: bool,
    /// Whether its account recently received less than its share.
    pub within_share: bool,
}

impl ResourceDemand {
    pub fn new(
        item: &WorkItem,
        priority: u8,
        entitled: bool,
        within_share: bool,
    ) -> ResourceDemand {
        ResourceDemand {
            work: item.work,
            class: size_class(item.prompt_tokens),
            needed_tokens: memory_tokens(item),
            priority,
            entitled,
            within_share,
        }
    }
}

struct Prefill {
    work: WorkKey,
    class: usize,
    remaining_tokens: f64,
}

/// Peak memory and sequences used by this host's requests over the last one to two lag periods.
#[derive(Default)]
struct RecentPeak {
    /// Peaks of memory, in tokens, and of sequences in the current period.
    current: (u64, u32),
    /// The same in the previous period.
    previous: (u64, u32),
    since: Time,
}

/// Tracks what this host runs on one engine and what the engine reports.
pub(super) struct EngineTracker {
    pub spec: EngineSpec,
    pub is_usable: bool,
    /// Whether this host owns the engine. After it loses ownership, the entry stays until the last
    /// request has ended.
    pub is_owned: bool,
    pub held_tokens: u64,
    pub running: u32,
    /// Memory, in tokens, and batch slots of requests that are being cancelled.
    pub stopping: (u64, u32),
    /// A queued request that the engine is drained for, and the free memory to keep for it, in
    /// tokens.
    pub drain_for: Option<(WorkKey, u64)>,
    /// Time until which the engine is drained for a group.
    pub drained_until: Time,
    /// Memory reserved by groups, in tokens.
    pub reserved_tokens: u64,
    report: Option<(Time, EngineReport)>,
    peak: RecentPeak,
    /// Number of running requests, by size class.
    by_class: [u32; CLASS_COUNT],
    /// Estimated prefill in progress, by engine priority and order of dispatch.
    prefills: BTreeMap<(u8, u64), Prefill>,
    next_sequence: u64,
    /// Prefill budget that shorter prompts may still spend beside a long one, in tokens.
    short_credit: f64,
    /// Hashes of probably cached prompt prefixes, least recently used first.
    prefixes: VecDeque<u64>,
    pub prefill_meter: PrefillMeter,
    advanced_at: Time,
}

impl EngineTracker {
    pub fn new(now: Time, spec: EngineSpec) -> EngineTracker {
        EngineTracker {
            spec,
            is_usable: true,
            is_owned: true,
            held_tokens: 0,
            running: 0,
            stopping: (0, 0),
            drain_for: None,
            drained_until: Time::ZERO,
            reserved_tokens: 0,
            report: None,
            peak: RecentPeak::default(),
            by_class: [0; CLASS_COUNT],
            prefills: BTreeMap::new(),
            next_sequence: 0,
            short_credit: 0.0,
            prefixes: VecDeque::new(),
            prefill_meter: PrefillMeter::default(),
            advanced_at: now,
        }
    }

    /// Whether the engine can get new work at all, regardless of its load.
    pub fn accepts_work(&self) -> bool {
        let leaving = self.report.as_ref().is_some_and(|(_, report)| report.leaving);
        self.is_owned && self.is_usable && !leaving
    }

    /// Stores a load report.
    pub fn set_report(&mut self, now: Time, report: EngineReport) {
        self.report = Some((now, report));
    }

    /// Returns the memory, in tokens, and the sequences that other hosts' work uses on the engine:
    /// the reported use minus the peak of this host's own use, as the report may lag behind it.
    /// Both are 0 without a fresh report.
    fn remote_use(&self, now: Time) -> (u64, u32) {
        let Some((at, report)) = &self.report else { return (0, 0) };
        if now.since(*at) > MAX_REPORT_AGE {
            return (0, 0);
        }
        let held = self.held_tokens.max(self.peak.current.0).max(self.peak.previous.0)
            + self.reserved_tokens;
        let running = self.running.max(self.peak.current.1).max(self.peak.previous.1);
        let reported = report.running + report.waiting;
        (report.held_tokens.saturating_sub(held), reported.saturating_sub(running))
    }

    /// Advances the estimated prefill progress and the budgets to `now`.
    pub fn advance(&mut self, now: Time, pool_rate: f64) {
        let span = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = self.advanced_at.max(now);
        if now.since(self.peak.since) > REPORT_LAG {
            self.peak.previous = self.peak.current;
            self.peak.current = (self.held_tokens, self.running);
            self.peak.since = now;
        }
        let rate = self.rate(pool_rate);
        let mut budget = rate * span;
        for prefill in self.prefills.values_mut() {
            let amount = prefill.remaining_tokens.min(budget);
            prefill.remaining_tokens -= amount;
            budget -= amount;
        }
        let window = rate * PREFILL_WINDOW.as_secs_f64();
        let earned = rate * span * (1.0 - LONG_PREFILL_SHARE);
        self.short_credit = (self.short_credit + earned).min(window);
    }

    /// Returns the prefill rate in tokens per second, or `pool_rate` until the engine was measured.
    pub fn rate(&self, pool_rate: f64) -> f64 {
        self.prefill_meter.rate().unwrap_or(pool_rate)
    }

    /// Returns the estimated prefill, in tokens, that the engine does before it reaches a new
    /// request of this priority.
    pub fn backlog(&self, priority: u8) -> f64 {
        let ahead = self.prefills.range(..(priority.saturating_add(1), 0));
        ahead.map(|(_, prefill)| prefill.remaining_tokens).sum()
    }

    /// Whether the request can be sent to the engine now.
    pub fn has_room(
        &self,
        now: Time,
        demand: &ResourceDemand,
        headroom: Headroom,
        pool_rate: f64,
    ) -> bool {
        let is_drained = self.drained_until > now && !demand.entitled;
        self.accepts_work()
            && !is_drained
            && self.has_capacity(now, demand, headroom)
            && self.has_prefill_capacity(demand, pool_rate)
    }

    /// Whether the memory and the batch have room for the request.
    fn has_capacity(&self, now: Time, demand: &ResourceDemand, headroom: Headroom) -> bool {
        let (remote_tokens, remote_running) = self.remote_use(now);
        let kept = if demand.entitled { Headroom::default() } else { headroom };
        // Accounts over their share leave one more slot free for the others.
        let shared_slot = u32::from(!demand.within_share && self.spec.batch >= MIN_SHARED_BATCH);
        if self.running + remote_running + kept.slots + shared_slot >= self.spec.batch {
            return false;
        }
        let ceiling = (f64::from(self.spec.batch) * CLASS_BATCH_SHARE[demand.class]).ceil() as u32;
        if !demand.entitled && self.by_class[demand.class] >= ceiling {
            return false;
        }
        let drain = self.drain_for.filter(|(work, _)| *work != demand.work && !demand.entitled);
        let drain_tokens = drain.map_or(0, |(_, need)| need);
        let held = self.held_tokens + self.reserved_tokens + remote_tokens;
        // A prompt that fits only without the headroom may still use an idle engine.
        let is_idle = held == 0 && drain_tokens == 0;
        let shorter = self.required_free_tokens(demand.class, 0);
        let kept = if is_idle || demand.entitled { 0 } else { kept.tokens.max(shorter) };
        held + demand.needed_tokens + kept + drain_tokens <= self.spec.memory_tokens
    }

    /// Whether a prompt of this class may start its prefill. Only one prompt of the longest class
    /// is in prefill at a time.
    pub fn may_start_prefill(&self, class: usize) -> bool {
        class < CLASS_COUNT - 1 || !self.is_prefilling_class(class)
    }

    fn is_prefilling_class(&self, from: usize) -> bool {
        self.prefills.values().any(|prefill| prefill.class >= from)
    }

    /// Returns the free memory that a request requires, in tokens: its own and what its class must
    /// leave to shorter prompts, at most the whole memory.
    pub fn required_free_tokens(&self, class: usize, need: u64) -> u64 {
        let left = (1.0 - CLASS_MEMORY_SHARE[class]) * self.spec.memory_tokens as f64;
        (need + left as u64).min(self.spec.memory_tokens)
    }

    /// Whether the request would start its prefill within the window and leaves long prompts their
    /// share of the prefill rate.
    fn has_prefill_capacity(&self, demand: &ResourceDemand, pool_rate: f64) -> bool {
        if demand.entitled || !self.may_start_prefill(demand.class) {
            return self.may_start_prefill(demand.class);
        }
        let rate = self.rate(pool_rate);
        let is_budget_spent = rate > 0.0 && self.short_credit <= 0.0;
        if demand.class < FIRST_LONG_CLASS
            && !demand.within_share
            && is_budget_spent
            && self.is_prefilling_class(FIRST_LONG_CLASS)
        {
            return false;
        }
        let window = rate * PREFILL_WINDOW.as_secs_f64();
        let window = if rate == 0.0 { INITIAL_WINDOW_TOKENS } else { window };
        self.backlog(demand.priority) <= window
    }

    /// Returns the memory, in tokens, and the batch slots that lower-ranked requests must release
    /// before the request fits.
    pub fn shortage(&self, now: Time, demand: &ResourceDemand) -> (u64, u32) {
        let (remote_tokens, remote_running) = self.remote_use(now);
        let held = (self.held_tokens + self.reserved_tokens + remote_tokens)
            .saturating_sub(self.stopping.0);
        let running = (self.running + remote_running).saturating_sub(self.stopping.1);
        let tokens = (held + demand.needed_tokens).saturating_sub(self.spec.memory_tokens);
        (tokens, (running + 1).saturating_sub(self.spec.batch))
    }

    /// Returns the free memory, in tokens.
    pub fn free_tokens(&self, now: Time) -> u64 {
        let held = self.held_tokens + self.reserved_tokens + self.remote_use(now).0;
        self.spec.memory_tokens.saturating_sub(held)
    }

    /// Returns the share of memory or batch used by this host's requests, whichever is larger.
    pub fn utilization(&self) -> f64 {
        let slots = f64::from(self.running) / f64::from(self.spec.batch.max(1));
        slots.max(self.held_tokens as f64 / self.spec.memory_tokens.max(1) as f64)
    }

    /// Returns the number of prompt tokens that are probably in the engine's prefix cache.
    pub fn cached_tokens(&self, item: &WorkItem) -> u64 {
        let known = |hash: &u64| self.prefixes.contains(hash);
        let longest = item.prefixes.iter().rposition(known);
        longest.map_or(0, |index| PREFIX_TOKENS.get(index).copied().unwrap_or(0))
    }

    /// Records that a request is sent to the engine. Returns the prompt tokens to prefill, at least
    /// 1.
    pub fn add_request(&mut self, now: Time, item: &WorkItem, demand: &ResourceDemand) -> u64 {
        let cached = self.cached_tokens(item);
        let prefill = item.prompt_tokens.saturating_sub(cached).max(1);
        if self.drain_for.is_some_and(|(work, _)| work == item.work) {
            self.drain_for = None;
        }
        self.hold_resources(item);
        if demand.class < FIRST_LONG_CLASS {
            self.short_credit -= prefill as f64;
        }
        self.prefill_meter.prompt_sent(now);
        let entry =
            Prefill { work: item.work, class: demand.class, remaining_tokens: prefill as f64 };
        self.prefills.insert((demand.priority, self.next_sequence), entry);
        self.next_sequence += 1;
        prefill
    }

    /// Counts the memory and batch slot of a request, without any prefill.
    pub fn hold_resources(&mut self, item: &WorkItem) {
        self.held_tokens += memory_tokens(item);
        self.running += 1;
        self.by_class[size_class(item.prompt_tokens)] += 1;
        self.peak.current.0 = self.peak.current.0.max(self.held_tokens);
        self.peak.current.1 = self.peak.current.1.max(self.running);
    }

    /// Records the first token of a request that was sent at `sent` with `prefill` prompt tokens to
    /// process. Its prefixes are now cached.
    pub fn record_first_token(&mut self, now: Time, sent: Time, item: &WorkItem, prefill: u64) {
        self.prefill_meter.prompt_processed(now, sent, prefill);
        self.end_prefill(now, item.work);
        for hash in &item.prefixes {
            self.prefixes.retain(|known| known != hash);
            self.prefixes.push_back(*hash);
        }
        while self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Records that a request is being cancelled.
    pub fn mark_stopping(&mut self, item: &WorkItem) {
        self.stopping = (self.stopping.0 + memory_tokens(item), self.stopping.1 + 1);
    }

    /// Releases the memory and batch slot of a request.
    pub fn release(&mut self, now: Time, item: &WorkItem, was_stopping: bool) {
        let need = memory_tokens(item);
        self.held_tokens -= need;
        self.running -= 1;
        self.by_class[size_class(item.prompt_tokens)] -= 1;
        if was_stopping {
            self.stopping = (self.stopping.0 - need, self.stopping.1 - 1);
        }
        self.end_prefill(now, item.work);
    }

    fn end_prefill(&mut self, now: Time, work: WorkKey) {
        self.prefills.retain(|_, prefill| prefill.work != work);
        if self.prefills.is_empty() {
            self.prefill_meter.became_idle(now);
        }
    }
}
