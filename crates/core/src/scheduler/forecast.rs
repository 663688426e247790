//! Predicts when a request would get its first token and finish, from measured throughputs, and
//! decides whether an account is within its share.

use std::time::Duration;

use super::{
    PoolScheduler, RunningWork, WorkItem,
    cost::{DECODE_COST, memory_cost, memory_tokens, size_class, update_average},
    engine::ResourceDemand,
};
use crate::{
    admission::{AdmissionRequest, Forecast},
    key::{AccountKey, RankKey},
    time::Time,
};

/// Decay span of the recent service of ranks.
pub(super) const RECENT_SPAN: Duration = Duration::from_secs(5);
/// Time for which a request is assumed to hold memory until its size class has been measured.
const INITIAL_HOLD_SECONDS: f64 = 5.0;

impl PoolScheduler {
    /// Returns the admission request for `item`, with the forecast at the current load.
    pub(super) fn admission_request(&self, now: Time, item: &WorkItem) -> AdmissionRequest {
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

    /// Estimates the cost of a request that has `prefill` prompt tokens to process.
    pub(super) fn estimate_cost(&self, item: &WorkItem, prefill: u64) -> u64 {
        let typical = self.ranks.get(&item.rank).map_or(0.0, |state| state.mean_output_tokens);
        let output = if typical == 0.0 { item.max_tokens } else { typical.ceil() as u64 };
        let held = self.mean_hold_seconds[size_class(item.prompt_tokens)];
        let held = Duration::from_secs_f64(if held == 0.0 { INITIAL_HOLD_SECONDS } else { held });
        let memory = memory_cost(memory_tokens(item), held);
        prefill + output.min(item.max_tokens) * DECODE_COST + memory
    }

    /// Returns the mean prefill rate of the measured engines, in tokens per second; 0 if none has
    /// been measured.
    pub(super) fn mean_prefill_rate(&self) -> f64 {
        let rates = self.engines.values().filter_map(|tracker| tracker.prefill_meter.rate());
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count }
    }

    /// Predicts the times of a request at the current load. Unmeasured times count as 0.
    fn forecast(&self, now: Time, item: &WorkItem) -> Forecast {
        let pool_rate = self.mean_prefill_rate();
        let priority = self.priority(now, item, false);
        let entitled = self.is_entitled(now, item.rank, item.account);
        let within_share = self.is_within_share(now, item.rank, item.account);
        let demand = ResourceDemand::new(item, priority, entitled, within_share);
        let mut prefill = f64::INFINITY;
        let mut idle_prefill = f64::INFINITY;
        let engines = self.engines.values();
        for tracker in engines
            .filter(|tracker| tracker.accepts_work() && tracker.spec.models.contains(&item.model))
        {
            let rate = tracker.rate(pool_rate).max(1.0);
            let cached = if demand.needed_tokens > tracker.spec.memory_tokens {
                0
            } else {
                tracker.cached_tokens(item)
            };
            let own = item.prompt_tokens.saturating_sub(cached) as f64 / rate;
            let own =
                if pool_rate == 0.0 { 0.0 } else { own + tracker.prefill_meter.step_seconds() };
            let ahead = if pool_rate == 0.0 { 0.0 } else { tracker.backlog(priority) / rate };
            idle_prefill = idle_prefill.min(own);
            prefill = prefill.min(own + ahead);
        }
        let has_room = self.find_engine(now, item, &demand).is_some();
        let wait = if has_room { 0.0 } else { self.wait_seconds(now, item, entitled) };
        let typical = self.ranks[&item.rank].mean_output_tokens;
        let output = if typical == 0.0 { 0.0 } else { typical.min(item.max_tokens as f64) };
        Forecast {
            queue_wait: seconds(wait),
            prefill: seconds(prefill),
            idle_prefill: seconds(idle_prefill),
            decode: seconds(output * self.mean_token_seconds),
        }
    }

    /// Returns the time until a request would leave the queue, in seconds: the cost ahead of it
    /// divided by the throughput that its rank and account can get.
    fn wait_seconds(&self, now: Time, item: &WorkItem, entitled: bool) -> f64 {
        let rate = self.cost_meter.rate();
        if rate == 0.0 || (entitled && self.can_preempt(now, item)) {
            return 0.0;
        }
        let state = &self.ranks[&item.rank];
        let available = self.available_rate(now, item.rank);
        let class = size_class(item.prompt_tokens);
        let queued = state.queue.cost_up_to(class) as f64;
        let up_to_rank = || self.ranks.range(..=item.rank).map(|(_, state)| &state.queue);
        let ahead: f64 = up_to_rank().map(|queue| queue.cost_up_to(class) as f64).sum();
        let floor = rate * state.spec.guaranteed_share;
        let by_rank = (ahead / rate).max(queued / available);
        let by_floor = queued / floor.max(1.0);
        let weight = self.weight(item.account);
        let share = state.queue.share_of(item.account, weight);
        let own = state.queue.account_cost(item.account);
        let own_up_to: u64 = own[..=class].iter().sum();
        let by_share = by_rank.min(by_floor).min(own_up_to as f64 / (available * share));
        // A class can have less capacity than its cost suggests, for example because only one
        // prompt of the longest class is in prefill at a time.
        let class_rate = self.class_meters[class].rate();
        if class_rate == 0.0 {
            return by_share;
        }
        let in_class: f64 = up_to_rank().map(|queue| queue.class_cost(class) as f64).sum();
        by_share.max(in_class.min(own[class] as f64 / share) / class_rate)
    }

    /// Returns the throughput that more urgent ranks leave to a rank, in cost per second, but at
    /// least the guaranteed share of the rank and at least 1.
    pub(super) fn available_rate(&self, now: Time, rank: RankKey) -> f64 {
        let rate = self.cost_meter.rate();
        let above = self.ranks.range(..rank);
        let used: f64 = above.map(|(_, state)| state.recent_cost.get(now, RECENT_SPAN)).sum();
        let floor = self.ranks.get(&rank).map_or(0.0, |state| state.spec.guaranteed_share) * rate;
        (rate - used / RECENT_SPAN.as_secs_f64()).max(floor).max(1.0)
    }

    /// Whether the account recently received less than its share of its rank's throughput. The most
    /// urgent rank divides its guaranteed share; a lower rank divides what the ranks above leave.
    /// True until the pool's throughput is known.
    pub(super) fn is_within_share(&self, now: Time, rank: RankKey, account: AccountKey) -> bool {
        let Some(state) = self.ranks.get(&rank) else { return false };
        let pool = self.cost_meter.rate();
        if pool == 0.0 {
            return true;
        }
        let is_most_urgent = self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank);
        let rate = if is_most_urgent {
            pool * state.spec.guaranteed_share
        } else {
            self.available_rate(now, rank)
        };
        let share = rate * state.queue.share_of(account, self.weight(account));
        state.queue.is_below_rate(now, account, share)
    }

    /// Updates the service order of an account after its use or its share changed.
    pub(super) fn update_share_order(&mut self, now: Time, rank: RankKey, account: AccountKey) {
        let is_over_share = !self.is_within_share(now, rank, account);
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.queue.set_over_share(account, is_over_share);
        }
    }

    /// Whether requests of the account may use the headroom and preempt others: their rank is the
    /// most urgent one, and the account is within its share.
    pub(super) fn is_entitled(&self, now: Time, rank: RankKey, account: AccountKey) -> bool {
        let is_most_urgent = self.ranks.first_key_value().is_some_and(|(top, _)| *top == rank);
        is_most_urgent && self.is_within_share(now, rank, account)
    }

    /// Updates the mean hold time and token time from a request that left its engine. Requests that
    /// were cancelled or preempted do not count.
    pub(super) fn record_durations(&mut self, now: Time, running: &RunningWork) {
        if running.stop_sent_at.is_some() {
            return;
        }
        let Some(first) = running.first_token else { return };
        let class = size_class(running.item.prompt_tokens);
        let span = now.since(running.started_at).as_secs_f64();
        update_average(&mut self.mean_hold_seconds[class], span, 0.05);
        if running.produced_tokens > 1 {
            let token = now.since(first).as_secs_f64() / (running.produced_tokens - 1) as f64;
            update_average(&mut self.mean_token_seconds, token, 0.02);
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX / 4)
}
