//! Placement on servers that limit the rate of requests.
//!
//! A limited server is a candidate like any other while this host holds a permit for it. If it
//! would be the best choice without one, the host requests permits, and the request waits for the
//! reply for a short time. What no permit is expected for in time goes to other servers or is
//! refused.

use std::{collections::BTreeMap, time::Duration};

use super::{
    DECISION_LEAD, DispatchOutput, Dispatcher, choose::PlacementChoice, refusal::MIN_RETRY_AFTER,
    split::memory_parts,
};
use crate::{
    fleet::{EngineRecord, EngineTag, RequestRate, hash_name},
    permit::{PermitReply, PermitRequest, PermitState, REPLY_TIMEOUT},
    time::Time,
    work::{WorkDemand, WorkEntry},
};

/// Age of a request up to which it waits for a permit although another server could serve it.
pub(super) const PERMIT_PATIENCE: Duration = Duration::from_millis(30);
/// Most permits that are requested at once.
const MAX_WANTED: usize = 16;
/// Longest time after which a refused caller is told to return to limited servers.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(600);

/// Waiting requests met so far in one scheduling run.
#[derive(Default)]
pub(super) struct PermitQueue {
    /// Requests of this host that need a permit of a server.
    wanted: BTreeMap<EngineTag, usize>,
    /// Waiting requests of each service, of all hosts.
    waiting: BTreeMap<u64, usize>,
    /// Most urgent rank of the peers' waiting requests of each service.
    peer_ranks: BTreeMap<u64, u8>,
}

impl PermitQueue {
    /// Counts a request that goes on waiting and may take a permit.
    pub fn record_waiting(&mut self, demand: &WorkDemand, is_own: bool) {
        *self.waiting.entry(demand.service).or_default() += 1;
        if !is_own {
            self.peer_ranks.entry(demand.service).or_insert(demand.priority);
        }
    }

    /// Counts a request of this host that needs a permit of the server.
    pub fn record_wanted(&mut self, engine: EngineTag) {
        *self.wanted.entry(engine).or_default() += 1;
    }

    /// Returns the number of waiting requests ahead of the next one of a service.
    pub fn count_ahead(&self, service: u64) -> usize {
        self.waiting.get(&service).copied().unwrap_or_default()
    }

    /// Returns whether a more urgent request of a peer waits for the same service, which should
    /// get the next permit.
    pub fn yields_to_peer(&self, demand: &WorkDemand) -> bool {
        self.peer_ranks.get(&demand.service).is_some_and(|rank| *rank < demand.priority)
    }
}

impl Dispatcher {
    /// Returns the state of this host's permits for a server; `None` if the server is not limited.
    pub(super) fn permit_state(&self, now: Time, tag: EngineTag) -> Option<PermitState> {
        self.fleet.limit(tag)?;
        let holder = self.permits.get(&tag);
        Some(holder.map_or(PermitState::Missing, |holder| holder.state(now)))
    }

    /// Returns whether a server may get a request of this host now or after the reply to a request
    /// for permits.
    pub fn is_open(&self, now: Time, tag: EngineTag) -> bool {
        let is_closed = matches!(self.permit_state(now, tag), Some(PermitState::Closed(_)));
        self.fleet.is_usable(now, tag) && !is_closed
    }

    /// Returns the usable servers of a service that do not limit the rate of requests.
    pub(super) fn unlimited<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = (EngineTag, &'a EngineRecord)> {
        self.fleet.usable(now, service).filter(|(tag, _)| self.fleet.limit(*tag).is_none())
    }

    /// Returns whether a request needs no more than one engine, as it must to wait for a permit.
    pub(super) fn fits_one_engine(&self, demand: &WorkDemand) -> bool {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        model.is_none_or(|model| memory_parts(model, demand) <= 1)
    }

    /// Uses up the permit for a placed request, if its server needs one.
    pub(super) fn take_permit(&mut self, choice: &PlacementChoice) {
        if let Some(holder) = self.permits.get_mut(&choice.engine) {
            holder.take();
        }
    }

    /// Requests the permits that a scheduling run found missing.
    pub(super) fn request_permits(
        &mut self,
        now: Time,
        queue: &PermitQueue,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        for (tag, count) in &queue.wanted {
            let Some((started_ms, rate, rate_age)) = self.fleet.limit_with_age(now, *tag) else {
                continue;
            };
            let holder = self.permits.entry(*tag).or_default();
            if holder.state(now) != PermitState::Missing {
                continue;
            }
            let (number, to_substitute) = holder.begin_request(now);
            let request = PermitRequest {
                server: *tag,
                started_ms,
                number,
                to_substitute,
                wanted: (*count).min(MAX_WANTED) as u8,
                rate,
                rate_age_us: rate_age.as_micros() as u64,
            };
            outputs.push(DispatchOutput::RequestPermits(request));
        }
    }

    /// Stores the reply to a request for permits.
    pub(super) fn record_permits(&mut self, now: Time, reply: &PermitReply) {
        if let Some(holder) = self.permits.get_mut(&reply.server) {
            holder.record_reply(now, reply, self.fleet.is_cold(reply.server));
        }
    }

    /// Drops the permits for servers that are not limited any more.
    pub(super) fn purge_permits(&mut self) {
        let fleet = &self.fleet;
        self.permits.retain(|tag, _| fleet.limit(*tag).is_some());
    }

    /// Returns when a request is expected to get a permit, with `ahead` requests before it, and the
    /// sum of the limits. `None` if a server without a limit may serve it, or none at all.
    pub(super) fn permit_opening(
        &self,
        now: Time,
        service: &str,
        excluded: &[EngineTag],
        ahead: usize,
    ) -> Option<(Time, f64)> {
        if self.unlimited(now, service).any(|(tag, _)| !excluded.contains(&tag)) {
            return None;
        }
        let candidates = self.fleet.usable(now, service).map(|(tag, _)| tag);
        let mut opening = None;
        let mut rate = 0.0;
        for tag in candidates.filter(|tag| !excluded.contains(tag)) {
            let state = self.permit_state(now, tag);
            let open_at = if let Some(PermitState::Closed(until)) = state { until } else { now };
            opening = Some(opening.map_or(open_at, |first: Time| first.min(open_at)));
            rate += self.fleet.limit(tag).map_or(0.0, RequestRate::per_second);
        }
        opening.map(|first| {
            let queued = Duration::from_secs_f64(ahead as f64 / rate);
            (first + queued.min(MAX_RETURN_DELAY), rate)
        })
    }

    /// Returns whether a request that needs a permit gets one early enough to be on time. The first
    /// reply of the issuer is always waited for.
    pub(super) fn is_permit_in_time(
        &self,
        now: Time,
        entry: &WorkEntry,
        opening: Time,
        limit: Time,
    ) -> bool {
        let prefill = Duration::from_secs_f64(self.prefill_ms(&entry.demand) / 1e3);
        let target = Duration::from_millis(entry.demand.first_event_target_ms.into());
        let latest = entry.arrived + target.saturating_sub(prefill).max(REPLY_TIMEOUT);
        opening.max(now) <= latest && opening + prefill + DECISION_LEAD < limit
    }

    /// Returns the time after which a caller that found only limited servers should return. Callers
    /// get successive turns at the rate of the limits, behind those of more urgent ranks.
    pub(super) fn return_delay(
        &mut self,
        now: Time,
        service: &str,
        demand: &WorkDemand,
        excluded: &[EngineTag],
    ) -> Option<Duration> {
        let (opening, rate) = self.permit_opening(now, service, excluded, 0)?;
        // An issuer that does not reply gives no time.
        let opening = if opening > now { opening } else { now + MIN_RETRY_AFTER };
        let service = hash_name(service);
        let ranks = (service, 0)..=(service, demand.priority);
        let promised = self.return_turns.range(ranks).map(|(_, end)| *end).max();
        let turn = opening.max(promised.unwrap_or_default()).min(now + MAX_RETURN_DELAY);
        let end = turn + Duration::from_secs_f64(1.0 / rate);
        self.return_turns.insert((service, demand.priority), end);
        Some(turn.since(now))
    }
}
