//! Predicts when a request would get its first token and end, from measured throughputs.

use std::time::Duration;

use super::{
    PoolScheduler, RunningWork, WorkItem,
    cost::{DECODE_COST, memory_cost, memory_tokens, size_class, update_average},
    engine::Placement,
};
use crate::{
    admission::{AdmissionRequest, Forecast},
    key::{AccountKey, RankKey},
    time::Time,
};

/// Span over which the recent service of ranks is averaged.
pub(super) const RECENT_SPAN: Duration = Duration::from_secs(5);
/// Seconds a request holds memory before any has ended.
const FIRST_SECONDS: f64 = 5.0;

impl PoolScheduler {
    /// The request with what to expect of it.
    pub(super) fn ask(&self, now: Time, item: &WorkItem) -> AdmissionRequest {
        let spec = &self.ranks[&item.rank].spec;
        AdmissionRequest {
            work: item.work,
            account: item.account,
            rank: item.rank,
            tokens: memory_tokens(item),
            max_tokens: item.max_tokens,
            forecast: self.forecast(now, item),
            first_token_target: spec.first_token_target,
            time_left: item.deadline.since(now),
        }
    }

    /// Cost that a request will probably have.
    pub(super) fn estimate(&self, item: &WorkItem, prefill: u64) -> u64 {
        let typical = self.ranks.get(&item.rank).map_or(0.0, |state| state.typical_output);
        let output = if typical == 0.0 { item.max_tokens } else { typical.ceil() as u64 };
        let held = self.typical_seconds[size_class(item.prompt_tokens)];
        let held = Duration::from_secs_f64(if held == 0.0 { FIRST_SECONDS } else { held });
        let memory = memory_cost(memory_tokens(item), held);
        prefill + output.min(item.max_tokens) * DECODE_COST + memory
    }

    /// Mean prefill throughput of the engines whose own is known, in tokens a second; 0 if none.
    pub(super) fn prefill_rate(&self) -> f64 {
        let rates = self.engines.values().filter_map(|book| book.pace.rate());
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count }
    }

    fn forecast(&self, now: Time, item: &WorkItem) -> Forecast {
        let pool_rate = self.prefill_rate();
        let priority = self.priority(now, item, false);
        let entitled = self.is_entitled(now, item.rank, item.account);
        let within_share = self.is_within_share(now, item.rank, item.account);
        let place = Placement::new(item, priority, entitled, within_share);
        let mut prefill = f64::INFINITY;
        let mut idle_prefill = f64::INFINITY;
        let engines = self.engines.values();
        for book in engines.filter(|b| b.takes_work() && b.spec.models.contains(&item.model)) {
            let rate = book.rate(pool_rate).max(1.0);
            let cached =
                if place.need > book.spec.memory_tokens { 0 } else { book.cached_tokens(item) };
            let own = item.prompt_tokens.saturating_sub(cached) as f64 / rate;
            let own = if pool_rate == 0.0 { 0.0 } else { own + book.pace.step_seconds() };
            let ahead = if pool_rate == 0.0 { 0.0 } else { book.backlog(priority) / rate };
            idle_prefill = idle_prefill.min(own);
            prefill = prefill.min(own + ahead);
        }
        let has_room = self.find_engine(now, item, &place).is_some();
        let wait = if has_room { 0.0 } else { self.wait_seconds(now, item, entitled) };
        let typical = self.ranks[&item.rank].typical_output;
        let output = if typical == 0.0 { 0.0 } else { typical.min(item.max_tokens as f64) };
        Forecast {
            queue_wait: seconds(wait),
            prefill: seconds(prefill),
            idle_prefill: seconds(idle_prefill),
            decode: seconds(output * self.token_seconds),
        }
    }

    /// Time until a request would leave the queue: the cost ahead of it over the throughput that
    /// its rank and account can get.
    fn wait_seconds(&self, now: Time, item: &WorkItem, entitled: bool) -> f64 {
        let rate = self.pace.rate();
        if rate == 0.0 || (entitled && self.can_preempt(now, item)) {
            return 0.0;
        }
        let state = &self.ranks[&item.rank];
        let available = self.available_rate(now, item.rank);
        let class = size_class(item.prompt_tokens);
        let queued = state.queue.cost_up_to(class) as f64;
        let above = || self.ranks.range(..=item.rank).map(|(_, state)| &state.queue);
        let ahead: f64 = above().map(|queue| queue.cost_up_to(class) as f64).sum();
        let floor = rate * state.spec.guaranteed_share;
        let by_rank = (ahead / rate).max(queued / available);
        let by_floor = queued / floor.max(1.0);
        let weight = self.weight(item.account);
        let share = state.queue.share(item.account, weight);
        let own = state.queue.client_cost(item.account);
        let own_up_to: u64 = own[..=class].iter().sum();
        let by_share = by_rank.min(by_floor).min(own_up_to as f64 / (available * share));
        // A class can have less room than its cost suggests, for example one long prefill at a time.
        let class_rate = self.class_pace[class].rate();
        if class_rate == 0.0 {
            return by_share;
        }
        let in_class: f64 = above().map(|queue| queue.class_cost(class) as f64).sum();
        by_share.max(in_class.min(own[class] as f64 / share) / class_rate)
    }

    /// Throughput left for a rank by the ranks above it, in cost a second.
    pub(super) fn available_rate(&self, now: Time, rank: RankKey) -> f64 {
        let rate = self.pace.rate();
        let above = self.ranks.range(..rank);
        let used: f64 = above.map(|(_, state)| state.recent.get(now, RECENT_SPAN)).sum();
        let floor = self.ranks.get(&rank).map_or(0.0, |state| state.spec.guaranteed_share) * rate;
        (rate - used / RECENT_SPAN.as_secs_f64()).max(floor).max(1.0)
    }

    /// Whether the account received less than its share of its rank lately. The most urgent rank's
    /// share is its guarantee; a lower rank shares what the ranks above leave.
    pub(super) fn is_within_share(&self, now: Time, rank: RankKey, account: AccountKey) -> bool {
        let Some(state) = self.ranks.get(&rank) else { return false };
        let pool = self.pace.rate();
        if pool == 0.0 {
            return true;
        }
        let is_top = self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank);
        let rate = if is_top {
            pool * state.spec.guaranteed_share
        } else {
            self.available_rate(now, rank)
        };
        let share = rate * state.queue.share(account, self.weight(account));
        state.queue.is_below(now, account, share)
    }

    /// Keeps the order of an account up to date with its share.
    pub(super) fn note_share(&mut self, now: Time, rank: RankKey, account: AccountKey) {
        let is_over = !self.is_within_share(now, rank, account);
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.queue.set_over(account, is_over);
        }
    }

    /// Whether the request may use the headroom and preempt: it is of the most urgent rank, and
    /// its account is within its share.
    pub(super) fn is_entitled(&self, now: Time, rank: RankKey, account: AccountKey) -> bool {
        let is_top = self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank);
        is_top && self.is_within_share(now, rank, account)
    }

    /// Learns from a request that left its engine.
    pub(super) fn note_times(&mut self, now: Time, running: &RunningWork) {
        if running.stopping.is_some() {
            return;
        }
        let Some(first) = running.first_token else { return };
        let class = size_class(running.item.prompt_tokens);
        let span = now.since(running.since).as_secs_f64();
        update_average(&mut self.typical_seconds[class], span, 0.05);
        if running.produced > 1 {
            let token = now.since(first).as_secs_f64() / (running.produced - 1) as f64;
            update_average(&mut self.token_seconds, token, 0.02);
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX / 4)
}
