//! Hedge planner: decides when a second copy of a slow request (the hedge) is sent.
//!
//! Owns this host's measured latencies, requests and hedges, by service and size class. A request
//! is hedged once it takes longer than a quantile of the measured latencies of its class. In every
//! sliding window, a host hedges at most a share of its own requests of the class, so all hosts
//! together keep within the share without exchanging counts.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use parsley_macros::{key, value};

use crate::{time::Time, work::WorkDemand};

#[cfg(test)]
mod tests;

/// Sliding window of the share of hedges.
pub const SHARE_WINDOW: Duration = Duration::from_secs(10);
/// Sliding window of the measured latencies. Small hosts serve a few requests per second, and need
/// this long for enough of them.
const LATENCY_WINDOW: Duration = Duration::from_secs(30);
/// Latencies kept for a class: the latest ones. Bounds the memory and the time for a quantile.
const MAX_LATENCIES: usize = 512;
/// Latencies that must lie above the quantile, so that one outlier does not decide it.
const MIN_ABOVE: f64 = 3.0;
/// Lowest quantile that triggers a hedge, however large the share: more hedges shorten the tail
/// only a little.
const MIN_QUANTILE: f64 = 0.9;
/// Highest quantile that triggers a hedge, however small the share: a higher one needs more
/// latencies than a small host measures in a window.
const MAX_QUANTILE: f64 = 0.98;
/// Time over which arriving requests are counted together.
const COUNT_PERIOD_US: u64 = 100_000;

/// Requests whose latencies are comparable.
#[key]
pub struct HedgeClass {
    /// Hash of the service's name.
    pub service: u64,
    /// Size class: half the number of bits of the prompt and answer tokens, so sizes of a class
    /// differ by at most a factor of four. 0 for a plain service.
    size: u8,
}

impl HedgeClass {
    /// Returns the class of a request.
    pub fn of(demand: &WorkDemand) -> HedgeClass {
        let tokens = match demand.prompt_tokens {
            0 => 0,
            prompt => prompt.saturating_add(demand.answer_tokens),
        };
        let bits = u32::BITS - tokens.leading_zeros();
        HedgeClass { service: demand.service, size: bits.div_ceil(2) as u8 }
    }
}

/// Decision about the hedge of a request that is still running.
#[value]
pub enum HedgeDecision {
    /// Send the hedge now.
    Send,
    /// Ask again after this time, if the request still runs.
    Wait(Duration),
    /// Send none. Too few latencies were measured in the window, or hedges are off.
    Unmeasured,
    /// Send none. Requests of the service wait for capacity.
    RequestsWait,
    /// Send none. The share of the window is used up.
    ShareUsed,
}

/// Decides on the hedges of one host.
#[value]
pub struct HedgePlanner {
    share: f64,
    classes: BTreeMap<HedgeClass, ClassHistory>,
}

impl HedgePlanner {
    /// Creates a planner with a share from 0 to 1; 0 is off.
    pub fn new(share: f64) -> HedgePlanner {
        HedgePlanner { share, classes: BTreeMap::new() }
    }

    /// Whether requests may be hedged at all.
    pub fn is_enabled(&self) -> bool {
        self.share > 0.0
    }

    /// Counts a request that may be hedged, when its first copy is sent.
    pub fn record_request(&mut self, now: Time, class: HedgeClass) {
        if !self.is_enabled() {
            return;
        }
        let history = self.classes.entry(class).or_default();
        history.expire(now);
        let period = Time(now.0 - now.0 % COUNT_PERIOD_US);
        match history.requests.back_mut() {
            Some((at, count)) if *at == period => *count += 1,
            _ => history.requests.push_back((period, 1)),
        }
    }

    /// Records how long the first copy of a request took. For a copy that was ended before its
    /// response was complete, this is the time that it ran; leaving such copies out would lower
    /// the quantile with each hedge.
    pub fn record_latency(&mut self, now: Time, class: HedgeClass, latency: Duration) {
        if !self.is_enabled() {
            return;
        }
        let history = self.classes.entry(class).or_default();
        history.expire(now);
        if history.latencies.len() == MAX_LATENCIES {
            history.latencies.pop_front();
        }
        history.latencies.push_back((now, latency));
    }

    /// Counts a hedge that was sent.
    pub fn record_hedge(&mut self, now: Time, class: HedgeClass) {
        self.classes.entry(class).or_default().hedges.push_back(now);
    }

    /// Decides on the hedge of a request whose first copy has run for `age`, while `waiting`
    /// requests of its service wait for capacity; they are counted only when needed.
    pub fn decide(
        &mut self,
        now: Time,
        class: HedgeClass,
        age: Duration,
        waiting: impl FnOnce() -> usize,
    ) -> HedgeDecision {
        let Some(delay) = self.delay(now, class) else { return HedgeDecision::Unmeasured };
        if age < delay {
            return HedgeDecision::Wait(delay - age);
        }
        if waiting() > 0 {
            return HedgeDecision::RequestsWait;
        }
        let share = self.share;
        let history = self.classes.entry(class).or_default();
        let requests: u64 = history.requests.iter().map(|(_, count)| u64::from(*count)).sum();
        if history.hedges.len() as f64 + 1.0 > share * requests as f64 {
            return HedgeDecision::ShareUsed;
        }
        HedgeDecision::Send
    }

    /// Forgets classes without requests, latencies or hedges in their windows.
    pub fn expire(&mut self, now: Time) {
        self.classes.retain(|_, history| {
            history.expire(now);
            !history.is_empty()
        });
    }

    /// Time after which a request of the class is hedged; `None` without enough latencies. The
    /// quantile leaves about as many requests above it as the share allows, so a small share goes
    /// to the slowest requests.
    fn delay(&mut self, now: Time, class: HedgeClass) -> Option<Duration> {
        let quantile = (1.0 - self.share).clamp(MIN_QUANTILE, MAX_QUANTILE);
        let history = self.classes.get_mut(&class)?;
        history.expire(now);
        let mut latencies: Vec<_> = history.latencies.iter().map(|(_, latency)| *latency).collect();
        let above = (latencies.len() as f64 * (1.0 - quantile) + f64::EPSILON).floor();
        if above < MIN_ABOVE {
            return None;
        }
        let rank = latencies.len() - above as usize;
        Some(*latencies.select_nth_unstable(rank).1)
    }
}

/// Measurements of one class.
#[derive(Default)]
#[value]
struct ClassHistory {
    /// Latencies of first copies and when they were measured.
    latencies: VecDeque<(Time, Duration)>,
    /// Requests by the start of the period in which they arrived.
    requests: VecDeque<(Time, u32)>,
    /// When each hedge was sent.
    hedges: VecDeque<Time>,
}

impl ClassHistory {
    /// Forgets what has left its window. A period of requests leaves with its start, so requests
    /// are never counted longer than hedges.
    fn expire(&mut self, now: Time) {
        let is_old = |at: Time, window| now.since(at) >= window;
        while self.latencies.front().is_some_and(|(at, _)| is_old(*at, LATENCY_WINDOW)) {
            self.latencies.pop_front();
        }
        while self.requests.front().is_some_and(|(at, _)| is_old(*at, SHARE_WINDOW)) {
            self.requests.pop_front();
        }
        while self.hedges.front().is_some_and(|at| is_old(*at, SHARE_WINDOW)) {
            self.hedges.pop_front();
        }
    }

    fn is_empty(&self) -> bool {
        self.latencies.is_empty() && self.requests.is_empty() && self.hedges.is_empty()
    }
}
