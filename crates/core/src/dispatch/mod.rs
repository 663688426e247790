//! Schedules requests onto backend servers: picks the server and the time, or refuses the request.
//!
//! Owns the queue of this host's waiting requests, the replicated view of all hosts' work and the
//! table of backend servers. Every host schedules only its own requests, but orders the queue of
//! all hosts in the same way over the same view, so hosts agree without a coordinator. When a peer
//! stops sending updates, its work counts for a grace period and is then dropped.
//!
//! Designed for a steady load of short prompts with occasional long ones, where head-of-line
//! blocking is the main cause of latency. Short requests are packed onto few engines; a long prompt
//! waits for an engine on which its prefill delays no other request.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::value;

use crate::{
    catalog::ServingService,
    fleet::{EngineEntry, EngineTag, EngineVerdict, FleetTable, NoticeChange, hash_name},
    permit::{ColdBound, PermitHolder},
    roster::HostTag,
    time::Time,
    turn::StartTagLedger,
    work::{WorkDemand, WorkEntry, WorkNumber, WorkPhase, WorkView},
};

mod audit;
mod choose;
mod cold;
#[cfg(test)]
mod cold_tests;
mod decide;
#[cfg(test)]
mod drain_tests;
#[cfg(test)]
mod evacuation_tests;
mod forecast;
mod headroom;
mod limited;
#[cfg(test)]
mod limited_tests;
#[cfg(test)]
mod load_tests;
mod message;
mod refusal;
mod split;
#[cfg(test)]
mod split_tests;
#[cfg(test)]
mod tests;

pub use audit::RefusalAudit;
use choose::{ChoiceInput, ChoiceResult, DENSE_PACKING, LOOSE_PACKING, PlacementChoice};
use cold::ColdRefresh;
use decide::{DECISION_LEAD, PlacementDecision, QueuePosition};
pub use forecast::{EngineForecast, EngineLoad, LatencyModel, collect_load, collect_loads};
pub use headroom::UrgentTarget;
use limited::{PERMIT_PATIENCE, PermitQueue};
pub use message::{DispatchInput, DispatchOutput, PlacementReason, PrefillHelper};

/// Interval between two [`DispatchInput::Tick`] while requests wait.
pub const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Interval between two ticks while no request waits; long, because many hosts are idle.
pub const IDLE_TICK_PERIOD: Duration = Duration::from_millis(500);
/// Queue length below which scheduling runs on every input. Each multiple of it adds a tick between
/// two runs, so that an overload does not take CPU time from responses in flight.
const MAX_UNSPACED_QUEUE: usize = 256;
/// Longest interval between two scheduling runs, in ticks. Urgent requests also wait for the next.
const MAX_SPACING_TICKS: usize = 3;
/// Cost, in requests made late, below which a placement is taken at once instead of waiting for a
/// better one.
const MAX_IMMEDIATE_COST: f64 = 0.5;
/// Minimum margin over the forecast of the first event before another engine is tried.
const MIN_FIRST_EVENT_GRACE: Duration = Duration::from_millis(500);
/// Timeout of an attempt of a request that is not streamed, as a multiple of its target time.
const UNSTREAMED_TIMEOUT_FACTOR: f64 = 2.0;
/// Minimum gap between two events before another engine is tried.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(900);
/// Cost in [`StartTagLedger`] of a request to a plain service, one without a latency model. The
/// value does not matter, because requests compete for servers only with others of their service,
/// which have the same cost.
const PLAIN_COST_US: u64 = 1_000;

/// A request of this host that has not been placed yet.
#[value]
struct WaitingRequest {
    service: Arc<str>,
    deadline: Time,
    excluded: Vec<EngineTag>,
}

/// Schedules the requests of one host onto backend servers.
#[derive(Default)]
pub struct Dispatcher {
    /// Waiting and in-flight work of all hosts.
    pub work_view: WorkView,
    /// Known backend servers with their failure and slowdown estimates.
    pub fleet: FleetTable,
    failure_domain: Arc<str>,
    services: BTreeMap<Arc<str>, ServingService>,
    /// Latency model of each service, by the hash of its name; `None` for a plain service.
    latency_models: BTreeMap<u64, Option<LatencyModel>>,
    urgent_targets: BTreeMap<Arc<str>, UrgentTarget>,
    waiting: BTreeMap<WorkNumber, WaitingRequest>,
    start_tags: StartTagLedger,
    /// Usable servers of each service without a request limit, by the hash of its name; recounted in
    /// each scheduling run.
    engine_counts: BTreeMap<u64, usize>,
    /// Requests at or above the most urgent rank of each service, by the hash of its name;
    /// recounted in each scheduling run.
    urgent_counts: BTreeMap<u64, usize>,
    /// Permits of this host for limited servers.
    permits: BTreeMap<EngineTag, PermitHolder>,
    /// End of the turns promised to refused callers, by the hash of the service's name and the rank.
    return_turns: BTreeMap<(u64, u8), Time>,
    /// Sample of refusals, for the metric of needless ones.
    pub audit: RefusalAudit,
    /// Earliest time of the next scheduling run.
    next_run: Time,
    /// When this host abandons its open requests; `None` while it does not stop.
    drain_end: Option<Time>,
    /// Bound of cold engines; `None` if the deployment has none.
    cold_bound: Option<ColdBound>,
}

impl Dispatcher {
    /// Creates a dispatcher for a host in the given failure domain.
    pub fn new(me: HostTag, failure_domain: Arc<str>) -> Dispatcher {
        Dispatcher { fleet: FleetTable::new(me), failure_domain, ..Dispatcher::default() }
    }

    /// Requests that all backend servers except leaving ones can run concurrently.
    pub fn slot_count(&self) -> u32 {
        let serving = self.fleet.iter().filter(|(tag, _)| self.fleet.is_serving(*tag));
        serving.map(|(_, record)| record.entry.slots).sum()
    }

    /// Requests of this host that wait to be placed.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// When this host abandons its open requests; `None` while it does not stop.
    pub fn drain_end(&self) -> Option<Time> {
        self.drain_end
    }

    /// Applies an input. Unless it is a peer update or an event gap, then also places or refuses
    /// waiting requests if a scheduling run is due.
    pub fn step(&mut self, now: Time, input: DispatchInput) -> Vec<DispatchOutput> {
        let mut outputs = Vec::new();
        // Changes reported by peers wait for the next tick. Hosts tick at different times, so they
        // do not all claim the same free slot at once.
        let is_due = now >= self.next_run
            && !matches!(input, DispatchInput::PeerUpdate { .. } | DispatchInput::EventGap { .. });
        let cold_refresh = ColdRefresh::after(&input);
        match input {
            DispatchInput::Tick => {
                self.work_view.expire_peers(now);
                self.purge_permits();
                self.return_turns.retain(|_, end| *end > now);
                self.audit_refusals(now);
                outputs.extend(self.fleet.expire(now).into_iter().map(DispatchOutput::ServerGone));
            }
            DispatchInput::Services { services, urgent_targets } => {
                self.urgent_targets = urgent_targets;
                self.latency_models = services
                    .values()
                    .map(|service| (hash_name(&service.name), service.latency_model.clone()))
                    .collect();
                self.services = services;
                self.update_cold_services();
            }
            DispatchInput::Submit { number, service, demand, arrived, deadline, excluded } => {
                let entry = WorkEntry {
                    demand,
                    phase: WorkPhase::Waiting,
                    start_tag_us: 0,
                    engines: Vec::new(),
                    arrived,
                    phase_start: now,
                };
                self.work_view.insert(number, entry);
                self.waiting.insert(number, WaitingRequest { service, deadline, excluded });
            }
            DispatchInput::ResponseStarted(number) => {
                let mut first = None;
                self.work_view.update(number, |entry| {
                    entry.phase = WorkPhase::Responding;
                    entry.phase_start = now;
                    first = entry.engines.first().copied();
                });
                first.iter().for_each(|tag| self.fleet.record_served(now, *tag));
            }
            DispatchInput::RequestEnded(number) => {
                self.waiting.remove(&number);
                self.work_view.remove(number);
            }
            DispatchInput::AttemptEnded { engine, verdict } => {
                self.fleet.record_attempt(now, engine, verdict);
                if verdict == EngineVerdict::Good {
                    self.fleet.record_served(now, engine);
                }
            }
            DispatchInput::NoticeReceived { engine, sent, notice } => {
                let changes = self.fleet.record_notice(now, sent, engine, &notice);
                outputs.extend(changes.into_iter().map(|change| match change {
                    NoticeChange::Leaving => DispatchOutput::ServerLeaving(engine),
                    NoticeChange::Paused(until) => DispatchOutput::ServerPaused { engine, until },
                    NoticeChange::Limited(rate) => {
                        DispatchOutput::ServerLimited { engine, rate, is_reported: false }
                    }
                }));
            }
            DispatchInput::LimitsReported(reports) => {
                for report in reports {
                    if self.fleet.merge_limit(now, &report) {
                        let (engine, rate) = (report.server, report.rate);
                        outputs.push(DispatchOutput::ServerLimited {
                            engine,
                            rate,
                            is_reported: true,
                        });
                    }
                }
            }
            DispatchInput::EventGap { engine, gap } => self.record_event_gap(now, engine, gap),
            DispatchInput::PeerUpdate { host, incarnation, update, estimates } => {
                update.entries.iter().for_each(|(_, entry)| self.charge_account(entry));
                self.work_view.apply_update(now, host, incarnation, update);
                for estimate in &estimates {
                    self.fleet.merge_estimate(now, estimate);
                }
            }
            DispatchInput::Drain { end } => self.drain_end = Some(end),
            DispatchInput::PermitsIssued(reply) => self.record_permits(now, &reply),
            DispatchInput::ServersListed { entries, revision } => {
                let known_tags: BTreeSet<_> = self.fleet.iter().map(|(tag, _)| tag).collect();
                let tags: Vec<_> = entries.iter().map(EngineEntry::tag).collect();
                outputs.extend(
                    self.fleet
                        .apply_snapshot(now, entries, revision)
                        .into_iter()
                        .map(DispatchOutput::ServerGone),
                );
                let new = tags.into_iter().filter(|tag| !known_tags.contains(tag));
                outputs.extend(new.map(DispatchOutput::ServerChanged));
            }
            DispatchInput::ServerChanged(entry) => {
                let tag = entry.tag();
                if self.fleet.upsert(now, entry) {
                    outputs.push(DispatchOutput::ServerChanged(tag));
                }
            }
            DispatchInput::ServerRemoved { tag, revision, is_reported } => {
                let is_removed = match is_reported {
                    true => self.fleet.remove_reported(tag, revision),
                    false => self.fleet.remove(now, tag, revision),
                };
                if is_removed {
                    outputs.push(DispatchOutput::ServerGone(tag));
                }
            }
            DispatchInput::StoreStatus { is_lost } => self.fleet.set_store_lost(now, is_lost),
            DispatchInput::ColdStated { engine, started_ms, left, revision } => {
                self.fleet.record_cold_entry(now, engine, started_ms, left, revision);
            }
            DispatchInput::ColdReported(reports) => {
                reports.iter().for_each(|report| self.fleet.merge_cold(now, report));
            }
        }
        self.refresh_cold(now, cold_refresh, &mut outputs);
        if !self.waiting.is_empty() && is_due {
            self.place_waiting(now, &mut outputs);
        }
        outputs
    }

    /// Updates a server's slowdown from the gap between two events. Gaps are ignored while the
    /// engine has pending prefills, because these lengthen them.
    fn record_event_gap(&mut self, now: Time, engine: EngineTag, gap: Duration) {
        let Some(record) = self.fleet.get(engine) else { return };
        let service = hash_name(&record.entry.service);
        let Some(model) = self.latency_models.get(&service).and_then(Option::as_ref) else {
            return;
        };
        let load = collect_load(now, &self.work_view, &self.fleet, model, engine);
        let expected = load.pass_ms(model);
        if let Some(expected) = expected {
            self.fleet.record_slowdown(now, engine, gap.as_secs_f64() * 1e3 / expected);
        }
    }

    /// Charges an account for sent work, whether this host or a peer sent it.
    fn charge_account(&mut self, entry: &WorkEntry) {
        if entry.phase != WorkPhase::Waiting {
            let cost = self.cost_us(&entry.demand);
            self.start_tags.record_sent(
                entry.demand.service,
                entry.demand.account,
                entry.start_tag_us,
                cost,
            );
        }
    }

    /// Engine time charged for a request, in microseconds: its prefill plus its share of the batch
    /// during decode.
    fn cost_us(&self, demand: &WorkDemand) -> u64 {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        let Some(model) = model else { return PLAIN_COST_US };
        let decode_ms = model.decode_ms(demand.prompt_tokens, demand.answer_tokens)
            / f64::from(model.slots.max(1));
        ((model.prefill_ms(demand.prompt_tokens) + decode_ms) * 1e3) as u64
    }

    /// Walks the queue of all hosts in scheduling order and places or refuses this host's requests.
    /// Requests of peers ahead of them only add to the expected load.
    fn place_waiting(&mut self, now: Time, outputs: &mut Vec<DispatchOutput>) {
        let mut loads = collect_loads(now, &self.work_view, &self.fleet, &self.latency_models);
        self.refresh_counts(now);
        let mut ahead_ms = 0.0;
        let mut queue = self.queue(now);
        // Requests of peers behind the last own request have no effect on this host's decisions.
        let last_own = queue.iter().rposition(|(host, _, _)| host.is_none());
        queue.truncate(last_own.map_or(0, |last| last + 1));
        let spacing = (queue.len() / MAX_UNSPACED_QUEUE).min(MAX_SPACING_TICKS);
        self.next_run = now + TICK_PERIOD * spacing as u32;
        let is_long = |demand: &WorkDemand| {
            let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
            model.is_some_and(|model| model.is_long_prompt(demand))
        };
        let has_long = queue.iter().any(|(_, _, entry)| is_long(&entry.demand));
        let packing = if has_long { DENSE_PACKING } else { LOOSE_PACKING };
        let mut reserved = BTreeSet::new();
        let mut permit_queue = PermitQueue::default();
        for (host, number, entry) in queue {
            let work = if host.is_none() { self.waiting.get(&number).cloned() } else { None };
            let service = match &work {
                Some(work) => work.service.clone(),
                None => match self.service_name(entry.demand.service) {
                    Some(service) => service,
                    None => continue,
                },
            };
            let excluded = work.as_ref().map_or(&[][..], |work| &work.excluded);
            let input = ChoiceInput {
                now,
                demand: &entry.demand,
                waited: now.since(entry.arrived),
                excluded,
                loads: &loads,
                reserved: &reserved,
                packing,
                is_own: work.is_some(),
            };
            let ChoiceResult { best: choice, without_permit } = self.choose(&service, &input);
            let queue_delay_ms =
                self.queue_delay_ms(now, &service, &entry.demand, &loads, ahead_ms);
            let ahead = permit_queue.count_ahead(entry.demand.service);
            let limit = self.first_event_limit(work.as_ref(), &entry);
            let decide_by = |limit: Time, choice: Option<&PlacementChoice>| {
                let position = QueuePosition { delay_ms: queue_delay_ms, ahead, limit };
                self.decide_placement(now, &service, &entry, choice, excluded, position)
            };
            let decide = |choice: Option<&PlacementChoice>| decide_by(limit.latest(), choice);
            let mut decision = decide(choice.as_ref());
            let preferred = without_permit.filter(|better| {
                let may_wait = choice.is_none() || input.waited < PERMIT_PATIENCE;
                may_wait
                    && decision != PlacementDecision::Refuse
                    && decide(Some(better)) == PlacementDecision::Place
            });
            if let Some(better) = preferred
                && !permit_queue.yields_to_peer(&entry.demand)
            {
                permit_queue.record_wanted(better.engine);
                decision = PlacementDecision::Wait;
            }
            match (decision, choice) {
                (PlacementDecision::Place, Some(choice)) => {
                    let placed = self.add_placed(now, &entry, &choice, &mut loads);
                    if work.is_some() {
                        self.take_permit(&choice);
                        self.charge_account(&placed);
                        self.waiting.remove(&number);
                        self.work_view.insert(number, placed);
                        outputs.push(assignment(number, &entry.demand, choice));
                    }
                }
                (PlacementDecision::Refuse, choice) if work.is_some() => {
                    let is_in_time =
                        decide_by(limit.deadline, choice.as_ref()) != PlacementDecision::Refuse;
                    outputs.push(match is_in_time {
                        true => self.return_to_peers(number, &entry.demand),
                        false => self.refuse(now, number, &service, &entry.demand, queue_delay_ms),
                    });
                }
                _ => {
                    ahead_ms += self.service_ms(&entry.demand);
                    reserved.extend(self.engines_to_reserve(&service, &input));
                    if self.fits_one_engine(&entry.demand) {
                        permit_queue.record_waiting(&entry.demand, work.is_some());
                    }
                }
            }
        }
        self.request_permits(now, &permit_queue, outputs);
    }

    /// The waiting work of all hosts in scheduling order: by rank, then requests that can still
    /// meet their target before late ones, then by the finish tag of the account, its start tag plus
    /// the cost of the request. Serving late requests first would make every request late for as long
    /// as the overload lasts. Between accounts with the same share, finish tags put cheap requests
    /// first, so that one very long prompt does not make several shorter ones late.
    fn queue(&self, now: Time) -> Vec<(Option<HostTag>, WorkNumber, WorkEntry)> {
        let mut queue: Vec<_> = self
            .work_view
            .all()
            .filter(|(_, _, entry)| entry.phase == WorkPhase::Waiting)
            .map(|(host, number, entry)| (host, number, entry.clone()))
            .collect();
        let is_late = |entry: &WorkEntry| {
            let prefill_ms = self.prefill_ms(&entry.demand);
            let waited_ms = now.since(entry.arrived).as_secs_f64() * 1e3;
            waited_ms + prefill_ms > f64::from(entry.demand.first_event_target_ms)
        };
        queue.sort_by_key(|(host, number, entry)| {
            (entry.demand.priority, is_late(entry), entry.arrived, *host, *number)
        });
        // Each request of an account starts where the account's previous request ends.
        let mut ahead: BTreeMap<_, u64> = BTreeMap::new();
        for (_, _, entry) in &mut queue {
            let demand = &entry.demand;
            let waiting = ahead.entry((demand.service, demand.account)).or_default();
            entry.start_tag_us = self
                .start_tags
                .next_start_tag(demand.service, demand.account)
                .saturating_add(*waiting);
            *waiting = waiting.saturating_add(self.cost_us(demand));
        }
        queue.sort_by_cached_key(|(_, _, entry)| {
            let finish_tag = entry.start_tag_us.saturating_add(self.cost_us(&entry.demand));
            (entry.demand.priority, is_late(entry), finish_tag)
        });
        queue
    }

    /// Prefill time of a prompt, split over the preferred number of idle engines, in milliseconds.
    fn prefill_ms(&self, demand: &WorkDemand) -> f64 {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        let parts = |model| self.wanted_parts(model, demand) as f64;
        model.map_or(0.0, |model| model.prefill_ms(demand.prompt_tokens) / parts(model))
    }

    /// Recounts usable servers without a limit and urgent requests of each service.
    fn refresh_counts(&mut self, now: Time) {
        self.engine_counts.clear();
        let fleet = &self.fleet;
        let is_counted = |tag| fleet.is_usable(now, tag) && fleet.limit(tag).is_none();
        for (_, record) in fleet.iter().filter(|(tag, _)| is_counted(*tag)) {
            *self.engine_counts.entry(hash_name(&record.entry.service)).or_default() += 1;
        }
        let count = |(name, target): (&Arc<str>, &UrgentTarget)| {
            let service = hash_name(name);
            let is_urgent = |demand: &WorkDemand| {
                demand.service == service && demand.priority <= target.priority
            };
            (service, self.work_view.all().filter(|(_, _, entry)| is_urgent(&entry.demand)).count())
        };
        self.urgent_counts = self.urgent_targets.iter().map(count).collect();
    }

    /// Prefill and decode time of a request alone on one engine, in milliseconds.
    fn service_ms(&self, demand: &WorkDemand) -> f64 {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        model.map_or(0.0, |model| {
            model.prefill_ms(demand.prompt_tokens)
                + model.decode_ms(demand.prompt_tokens, demand.answer_tokens)
        })
    }

    /// Adds a placed request to the loads of its engines and returns its entry.
    fn add_placed(
        &self,
        now: Time,
        entry: &WorkEntry,
        choice: &PlacementChoice,
        loads: &mut BTreeMap<EngineTag, EngineLoad>,
    ) -> WorkEntry {
        let placed = self.placed_entry(now, entry, choice);
        let model = self.latency_models.get(&entry.demand.service).and_then(Option::as_ref);
        for (index, tag) in placed.engines.iter().enumerate() {
            let slowdown = self.fleet.get(*tag).map_or(1.0, |record| record.slowdown(now));
            loads.entry(*tag).or_default().add(model, &placed, slowdown, index == 0, now);
        }
        placed
    }

    /// Finds the configured service whose name has this hash.
    fn service_name(&self, hash: u64) -> Option<Arc<str>> {
        self.services.keys().find(|name| hash_name(name) == hash).cloned()
    }

    fn placed_entry(&self, now: Time, entry: &WorkEntry, choice: &PlacementChoice) -> WorkEntry {
        let helpers = choice.helpers.iter().map(|helper| helper.engine);
        WorkEntry {
            phase: WorkPhase::Sent,
            start_tag_us: self
                .start_tags
                .next_start_tag(entry.demand.service, entry.demand.account),
            engines: std::iter::once(choice.engine).chain(helpers).collect(),
            phase_start: now,
            ..entry.clone()
        }
    }

    /// Expected queueing delay of a long prompt, in milliseconds: the work in flight on engines
    /// that may run it plus the work queued ahead, divided by the number of these engines. Short
    /// prompts get 0, because they need only one running request to end.
    fn queue_delay_ms(
        &self,
        now: Time,
        service: &str,
        demand: &WorkDemand,
        loads: &BTreeMap<EngineTag, EngineLoad>,
        ahead_ms: f64,
    ) -> f64 {
        let model = self.latency_models.get(&demand.service).and_then(Option::as_ref);
        if model.is_none_or(|model| !model.is_long_prompt(demand)) {
            return 0.0;
        }
        let gap = f64::from(demand.gap_target_ms);
        let is_eligible =
            |load: &&EngineLoad| load.decodes.iter().all(|other| other.gap_target_ms >= gap / 2.0);
        let idle_load = EngineLoad::default();
        let engines = self.unlimited(now, service);
        let eligible: Vec<_> = engines
            .map(|(tag, _)| loads.get(&tag).unwrap_or(&idle_load))
            .filter(is_eligible)
            .collect();
        let busy: f64 = eligible.iter().map(|load| load.busy_ms).sum();
        (busy + ahead_ms) / eligible.len().max(1) as f64
    }
}

/// Builds the assignment of a request to the chosen server, with its timeouts.
fn assignment(number: WorkNumber, demand: &WorkDemand, choice: PlacementChoice) -> DispatchOutput {
    let first = Duration::from_secs_f64(choice.forecast.first_event_ms / 1e3);
    let gap = Duration::from_millis(demand.gap_target_ms.into());
    let first_event_timeout = if demand.gap_target_ms == 0 {
        Duration::from_millis(demand.first_event_target_ms.into())
            .mul_f64(UNSTREAMED_TIMEOUT_FACTOR)
    } else {
        first.mul_f64(1.5) + MIN_FIRST_EVENT_GRACE.max(gap * 2)
    };
    DispatchOutput::Assign {
        number,
        engine: choice.engine,
        helpers: choice.helpers,
        first_event_timeout,
        gap_timeout: MIN_GAP_TIMEOUT.max(gap * 4),
        reason: PlacementReason {
            first_event_ms: choice.forecast.first_event_ms as u32,
            delayed: choice.forecast.delayed as u32,
            failure_percent: (choice.failure * 100.0) as u32,
            requests: choice.requests as u32,
            candidates: choice.candidates as u32,
        },
    }
}
