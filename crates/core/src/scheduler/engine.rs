//! The account that the scheduler keeps of one engine: memory, batch room, prefill in progress and
//! prefixes that are probably cached.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    EngineReport, EngineSpec, WorkItem,
    cost::{CLASS_COUNT, PREFIX_TOKENS, memory_tokens, size_class},
    pace::PrefillPace,
};
use crate::{key::WorkKey, time::Time};

/// Prefill ahead of a request, in time, beyond which it stays in the queue, where its place can
/// still change.
const PREFILL_WINDOW: Duration = Duration::from_millis(150);
/// The same before the prefill pace is known, in tokens.
const FIRST_WINDOW_TOKENS: f64 = 16_000.0;
/// Share of an engine's batch that each size class may fill.
const CLASS_ROOM: [f64; CLASS_COUNT] = [1.0, 0.9, 0.5, 0.25];
/// Smallest batch of which accounts over their share leave a place free.
const SHARED_BATCH: u32 = 16;
/// Part of an engine's memory up to which each size class may fill it, so that a short prompt finds
/// room beside long ones.
const CLASS_MEMORY: [f64; CLASS_COUNT] = [1.0, 0.97, 0.92, 0.87];
/// First size class whose prefill must be protected from shorter prompts that keep coming.
const LONG_CLASS: usize = 2;
/// Share of prefill that a long prompt keeps while shorter prompts keep coming.
const LONG_FLOOR: f64 = 0.25;
/// Prefixes remembered for each engine.
const MAX_PREFIXES: usize = 256;
/// Time after which a load report is not used any more.
const REPORT_LIMIT: Duration = Duration::from_secs(2);
/// Span in which the lag of load reports lies.
const LAG_SPAN: Duration = Duration::from_millis(500);

/// Room that is kept free on each engine.
#[derive(Clone, Copy, Default)]
pub(super) struct Headroom {
    pub slots: u32,
    pub tokens: u64,
}

/// A request as an engine would take it.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub work: WorkKey,
    pub class: usize,
    pub need: u64,
    pub priority: u8,
    /// Whether the request may use the headroom.
    pub entitled: bool,
    /// Whether its account received less than its share lately.
    pub within_share: bool,
}

impl Placement {
    pub fn new(item: &WorkItem, priority: u8, entitled: bool, within_share: bool) -> Placement {
        Placement {
            work: item.work,
            class: size_class(item.prompt_tokens),
            need: memory_tokens(item),
            priority,
            entitled,
            within_share,
        }
    }
}

struct Prefill {
    work: WorkKey,
    class: usize,
    left: f64,
}

/// Largest own use in the last one to two lag spans.
#[derive(Default)]
struct RecentPeak {
    current: (u64, u32),
    previous: (u64, u32),
    since: Time,
}

/// What is known of one engine.
pub(super) struct EngineBook {
    pub spec: EngineSpec,
    pub usable: bool,
    /// Whether this host still owns the engine.
    pub owned: bool,
    pub held: u64,
    pub running: u32,
    /// Memory and places of work that is being cancelled.
    pub leaving: (u64, u32),
    /// A request that waits until the engine has enough free memory, and what it needs.
    pub drain_for: Option<(WorkKey, u64)>,
    /// Time until which a group waits for the engine.
    pub drained_until: Time,
    /// Memory reserved by groups, in tokens.
    pub reserved: u64,
    report: Option<(Time, EngineReport)>,
    peak: RecentPeak,
    by_class: [u32; CLASS_COUNT],
    prefills: BTreeMap<(u8, u64), Prefill>,
    next_sequence: u64,
    /// Prefill that shorter prompts may still take while a long one runs, in tokens.
    short_credit: f64,
    prefixes: VecDeque<u64>,
    pub pace: PrefillPace,
    advanced: Time,
}

impl EngineBook {
    pub fn new(now: Time, spec: EngineSpec) -> EngineBook {
        EngineBook {
            spec,
            usable: true,
            owned: true,
            held: 0,
            running: 0,
            leaving: (0, 0),
            drain_for: None,
            drained_until: Time::ZERO,
            reserved: 0,
            report: None,
            peak: RecentPeak::default(),
            by_class: [0; CLASS_COUNT],
            prefills: BTreeMap::new(),
            next_sequence: 0,
            short_credit: 0.0,
            prefixes: VecDeque::new(),
            pace: PrefillPace::default(),
            advanced: now,
        }
    }

    /// Whether the engine takes new work now.
    pub fn takes_work(&self) -> bool {
        let leaving = self.report.as_ref().is_some_and(|(_, report)| report.leaving);
        self.owned && self.usable && !leaving
    }

    /// Notes a load report.
    pub fn set_report(&mut self, now: Time, report: EngineReport) {
        self.report = Some((now, report));
    }

    /// Memory and places in use by work that other hosts sent. Reports lag, so the largest own use
    /// within the lag is subtracted.
    fn foreign(&self, now: Time) -> (u64, u32) {
        let Some((at, report)) = &self.report else { return (0, 0) };
        if now.since(*at) > REPORT_LIMIT {
            return (0, 0);
        }
        let held = self.held.max(self.peak.current.0).max(self.peak.previous.0) + self.reserved;
        let running = self.running.max(self.peak.current.1).max(self.peak.previous.1);
        let reported = report.running + report.waiting;
        (report.held_tokens.saturating_sub(held), reported.saturating_sub(running))
    }

    /// Lets the estimated prefill progress until now.
    pub fn advance(&mut self, now: Time, pool_rate: f64) {
        let span = now.since(self.advanced).as_secs_f64();
        self.advanced = self.advanced.max(now);
        if now.since(self.peak.since) > LAG_SPAN {
            self.peak.previous = self.peak.current;
            self.peak.current = (self.held, self.running);
            self.peak.since = now;
        }
        let rate = self.rate(pool_rate);
        let mut budget = rate * span;
        for prefill in self.prefills.values_mut() {
            let amount = prefill.left.min(budget);
            prefill.left -= amount;
            budget -= amount;
        }
        let window = rate * PREFILL_WINDOW.as_secs_f64();
        let earned = rate * span * (1.0 - LONG_FLOOR);
        self.short_credit = (self.short_credit + earned).min(window);
    }

    /// Prefill tokens a second: this engine's, or the pool's while its own is unknown.
    pub fn rate(&self, pool_rate: f64) -> f64 {
        self.pace.rate().unwrap_or(pool_rate)
    }

    /// Estimated prefill of requests that the engine serves before a new one of this priority.
    pub fn backlog(&self, priority: u8) -> f64 {
        let ahead = self.prefills.range(..(priority.saturating_add(1), 0));
        ahead.map(|(_, prefill)| prefill.left).sum()
    }

    /// Whether the engine has room for the request now.
    pub fn has_room(&self, now: Time, place: &Placement, room: Headroom, pool_rate: f64) -> bool {
        let drained = self.drained_until > now && !place.entitled;
        self.takes_work()
            && !drained
            && self.has_space(now, place, room)
            && self.has_pace(place, pool_rate)
    }

    /// Whether memory and batch have room.
    fn has_space(&self, now: Time, place: &Placement, room: Headroom) -> bool {
        let (foreign_held, foreign_running) = self.foreign(now);
        let kept = if place.entitled { Headroom::default() } else { room };
        // Accounts over their share leave one more place, so that the others need not wait for one.
        let more = u32::from(!place.within_share && self.spec.batch >= SHARED_BATCH);
        if self.running + foreign_running + kept.slots + more >= self.spec.batch {
            return false;
        }
        let ceiling = (f64::from(self.spec.batch) * CLASS_ROOM[place.class]).ceil() as u32;
        if !place.entitled && self.by_class[place.class] >= ceiling {
            return false;
        }
        let drained = self.drain_for.filter(|(work, _)| *work != place.work && !place.entitled);
        let drained = drained.map_or(0, |(_, need)| need);
        let held = self.held + self.reserved + foreign_held;
        // A prompt that only fits without headroom may use an engine that holds nothing.
        let alone = held == 0 && drained == 0;
        let shorter = self.room_for(place.class, 0);
        let kept = if alone || place.entitled { 0 } else { kept.tokens.max(shorter) };
        held + place.need + kept + drained <= self.spec.memory_tokens
    }

    /// Whether a prompt of this class may start: at most one of the longest class is processed at
    /// a time.
    pub fn may_start(&self, class: usize) -> bool {
        class < CLASS_COUNT - 1 || !self.processes_class(class)
    }

    fn processes_class(&self, from: usize) -> bool {
        self.prefills.values().any(|prefill| prefill.class >= from)
    }

    /// Free memory that a request needs, with what its class must leave to shorter prompts.
    pub fn room_for(&self, class: usize, need: u64) -> u64 {
        let left = (1.0 - CLASS_MEMORY[class]) * self.spec.memory_tokens as f64;
        (need + left as u64).min(self.spec.memory_tokens)
    }

    /// Whether the request would reach the prefill soon and leaves long prompts their share.
    fn has_pace(&self, place: &Placement, pool_rate: f64) -> bool {
        if place.entitled || !self.may_start(place.class) {
            return self.may_start(place.class);
        }
        let rate = self.rate(pool_rate);
        let is_over = rate > 0.0 && self.short_credit <= 0.0;
        if place.class < LONG_CLASS
            && !place.within_share
            && is_over
            && self.processes_class(LONG_CLASS)
        {
            return false;
        }
        let window = rate * PREFILL_WINDOW.as_secs_f64();
        let window = if rate == 0.0 { FIRST_WINDOW_TOKENS } else { window };
        self.backlog(place.priority) <= window
    }

    /// Places that lower-ranked victims must leave before the request fits, as memory and slots.
    pub fn shortage(&self, now: Time, place: &Placement) -> (u64, u32) {
        let (foreign_held, foreign_running) = self.foreign(now);
        let held = (self.held + self.reserved + foreign_held).saturating_sub(self.leaving.0);
        let running = (self.running + foreign_running).saturating_sub(self.leaving.1);
        let tokens = (held + place.need).saturating_sub(self.spec.memory_tokens);
        (tokens, (running + 1).saturating_sub(self.spec.batch))
    }

    /// Free memory, in tokens.
    pub fn free(&self, now: Time) -> u64 {
        let held = self.held + self.reserved + self.foreign(now).0;
        self.spec.memory_tokens.saturating_sub(held)
    }

    /// Part of memory or batch in use, whichever is larger.
    pub fn fill(&self) -> f64 {
        let slots = f64::from(self.running) / f64::from(self.spec.batch.max(1));
        slots.max(self.held as f64 / self.spec.memory_tokens.max(1) as f64)
    }

    /// Prompt tokens that are probably cached.
    pub fn cached_tokens(&self, item: &WorkItem) -> u64 {
        let known = |hash: &u64| self.prefixes.contains(hash);
        let longest = item.prefixes.iter().rposition(known);
        longest.map_or(0, |index| PREFIX_TOKENS.get(index).copied().unwrap_or(0))
    }

    /// Takes a request. Returns the prompt tokens to process.
    pub fn take(&mut self, now: Time, item: &WorkItem, place: &Placement) -> u64 {
        let cached = self.cached_tokens(item);
        let prefill = item.prompt_tokens.saturating_sub(cached).max(1);
        if self.drain_for.is_some_and(|(work, _)| work == item.work) {
            self.drain_for = None;
        }
        self.hold(item);
        if place.class < LONG_CLASS {
            self.short_credit -= prefill as f64;
        }
        self.pace.begin(now);
        let entry = Prefill { work: item.work, class: place.class, left: prefill as f64 };
        self.prefills.insert((place.priority, self.next_sequence), entry);
        self.next_sequence += 1;
        prefill
    }

    /// Accounts for a request that runs already.
    pub fn hold(&mut self, item: &WorkItem) {
        self.held += memory_tokens(item);
        self.running += 1;
        self.by_class[size_class(item.prompt_tokens)] += 1;
        self.peak.current.0 = self.peak.current.0.max(self.held);
        self.peak.current.1 = self.peak.current.1.max(self.running);
    }

    /// Notes the first token of a request whose prompt took this prefill.
    pub fn first_token(&mut self, now: Time, sent: Time, item: &WorkItem, prefill: u64) {
        self.pace.confirm(now, sent, prefill);
        self.end_prefill(now, item.work);
        for hash in &item.prefixes {
            self.prefixes.retain(|known| known != hash);
            self.prefixes.push_back(*hash);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Notes that a request was ordered to stop.
    pub fn leave(&mut self, item: &WorkItem) {
        self.leaving = (self.leaving.0 + memory_tokens(item), self.leaving.1 + 1);
    }

    /// Gives back what a request held.
    pub fn release(&mut self, now: Time, item: &WorkItem, was_leaving: bool) {
        let need = memory_tokens(item);
        self.held -= need;
        self.running -= 1;
        self.by_class[size_class(item.prompt_tokens)] -= 1;
        if was_leaving {
            self.leaving = (self.leaving.0 - need, self.leaving.1 - 1);
        }
        self.end_prefill(now, item.work);
    }

    fn end_prefill(&mut self, now: Time, work: WorkKey) {
        self.prefills.retain(|_, prefill| prefill.work != work);
        if self.prefills.is_empty() {
            self.pace.end(now);
        }
    }
}
