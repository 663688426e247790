//! Gateway that serves callers of a fleet. A driver supplies its configuration, discovery and wire
//! names.
//!
//! The driver feeds in configurations and backend servers and translates headers; the decisions are
//! made in the core crate. All hosts serve alike, persist nothing and report their work in flight
//! to their peers.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use parsley_core::{
    catalog::RouteCatalog,
    detour::DetourPlanner,
    dispatch::{
        DispatchInput, DispatchOutput, Dispatcher, IDLE_TICK_PERIOD, PlacementReason,
        PrefillHelper, TICK_PERIOD,
    },
    era::EraKeeper,
    evidence::{ConfigTrust, EvidenceKeeper, EvidenceLimits, PeerEvidence, ProofSource},
    feed::CALL_LIMIT,
    fleet::{EngineTag, EngineVerdict, LimitNotice, ServerNotice},
    hedge::HedgePlanner,
    permit::{ColdBound, PermitIssuer, PermitRequest},
    quarantine::PartQuarantine,
    refusal::{Reason, Refusal},
    reservation::ReservationLimits,
    retry::{RetryBudget, RetryLimit},
    roster::{HostInfo, HostTag, PeerRoster, SETTLE_TIME},
    time::Time,
    work::WorkNumber,
};
use parsley_macros::value;
use slog::Logger;

use crate::event;

mod attempt;
mod attempts;
mod beats;
mod body;
mod budget;
mod caller;
pub mod clock;
mod cold;
mod detour;
mod drain;
pub mod edge;
mod evacuation;
mod exchange;
mod feed;
mod forward;
mod hedge;
mod limits;
pub mod line_budget;
pub mod link;
mod listener;
mod listing;
mod memory;
mod metrics;
mod pace;
mod quarantine;
mod reader;
mod receive;
mod refuse;
mod relay;
mod retry;
#[cfg(test)]
mod tests;
mod yielding;

pub use body::RequestBody;
pub use clock::with_timeout;
pub use edge::WireCodec;
pub use feed::ServerChange;
pub use listener::serve_pages;
pub use metrics::GatewayMetrics;

use budget::MemoryBudget;
use edge::ResponseInfo;
use evacuation::EvacuationState;
use line_budget::LineBudget;
use link::{ConnectionPool, TcpConnector};

/// `Retry-After` while another host is ready.
const PEER_RETRY_AFTER: Duration = Duration::from_millis(20);
/// `Retry-After` while no other host is ready: store outages last seconds.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Interval at which idle connections are closed and gauges updated.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Requests for permits that may wait to be sent.
const MAX_PERMIT_REQUESTS: usize = 64;

/// Settings of a gateway.
#[value]
pub struct GatewaySettings {
    /// Description of this host, which it sends to its peers.
    pub host_info: HostInfo,
    /// Limits on the staleness of the configuration.
    pub evidence: EvidenceLimits,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Time after which a server that leaves gets no request any more.
    pub leave_limit: Duration,
    /// Time for which the entry of a silent server stays in the store.
    pub entry_lifetime: Duration,
    /// Retry limit over all hosts.
    pub retry: RetryLimit,
    /// Limits on memory reservations.
    pub reservation: ReservationLimits,
    /// Memory that the process may use, in bytes.
    pub memory_limit: u64,
    /// Time after which an evacuated failure domain gets no request any more; `None` if the
    /// deployment has no evacuations.
    pub evacuation_limit: Option<Duration>,
    /// Hedges over all hosts as a share of the requests, from 0 to 1; 0 is off.
    pub hedge_share: f64,
    /// Bound of cold engines; `None` if the deployment has none.
    pub cold_bound: Option<ColdBound>,
}

/// Server chosen for a request.
#[value]
struct Placement {
    engine: EngineTag,
    helpers: Vec<PrefillHelper>,
    first_event_timeout: Duration,
    gap_timeout: Duration,
    reason: PlacementReason,
}

/// The configuration in force and its proof, as log lines name them.
struct ConfigFacts {
    version: u64,
    /// Newest version that this host knows to exist.
    newest: u64,
    /// Age of the proof in milliseconds, the maximum if there is none.
    age_ms: u64,
    /// What the proof stands on.
    proof: &'static str,
}

/// Request for permits and the address of their issuer.
type IssuerRequest = (SocketAddr, PermitRequest);

/// Mutable state of a gateway.
struct GatewayState {
    dispatcher: Dispatcher,
    catalog: Option<Rc<RouteCatalog>>,
    evidence: EvidenceKeeper,
    /// Era of the store.
    era: EraKeeper,
    /// Whether requests with a key could be served at the last check.
    could_serve_keys: bool,
    roster: PeerRoster,
    host_info: HostInfo,
    retry_budgets: BTreeMap<Arc<str>, RetryBudget>,
    waiters: BTreeMap<WorkNumber, Sender<Result<Placement, Refusal>>>,
    next_number: u32,
    /// Whether the store fails to answer for the configuration, and for discovery.
    store_lost: (bool, bool),
    /// Issues the permits for limited servers that fall to this host.
    permit_issuer: PermitIssuer,
    /// Parts of prompts that crash engines.
    quarantine: PartQuarantine,
    /// Ways to the servers.
    detours: DetourPlanner,
    /// Failure domains that are evacuated.
    evacuation: EvacuationState,
    /// Decides on second copies of slow requests.
    hedge_planner: HedgePlanner,
    /// When changes of the server list were last requested from a peer.
    list_requested: Option<Time>,
    /// Server changes to send to peers.
    pending_server_changes: Vec<ServerChange>,
    /// Clock in each peer's last heartbeat, and when it arrived.
    peer_clocks: BTreeMap<HostTag, (u64, Time)>,
    rng: fastrand::Rng,
}

impl GatewayState {
    /// Decisions that the host may still base on the configuration in force.
    fn trust(&self, now: Time) -> ConfigTrust {
        // Once the era is settled, the first proof takes a call.
        let shows_copy = !self.era.is_settled(now - CALL_LIMIT);
        self.evidence.trust(now, self.store_lost.0 || shows_copy)
    }

    /// This host's evidence for the peer whose datagram had this incarnation and clock and arrived
    /// that long ago.
    fn attest(&self, now: Time, echo: (u64, u64, Duration)) -> PeerEvidence {
        self.evidence.attest(now, &self.era, echo)
    }

    /// Digest of what this host knows and all hosts must respect.
    fn beliefs_digest(&self) -> u64 {
        let limits = self.dispatcher.fleet.limits_digest();
        let evacuations = self.evacuation.keeper.digest();
        let cold = self.dispatcher.fleet.cold_digest();
        let digests = [self.quarantine.digest(), limits, evacuations, cold];
        digests.into_iter().fold(0, u64::wrapping_add)
    }
}

/// Running gateway.
pub struct Gateway {
    /// Executor of its tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Logger of its events.
    pub log: Logger,
    /// Counters, gauges and histograms.
    pub metrics: GatewayMetrics,
    /// Rate limit of log lines about single requests.
    pub log_budget: LineBudget,
    /// Opens connections to servers and to the store.
    pub connector: TcpConnector,
    settings: GatewaySettings,
    started: Time,
    codec: WireCodec,
    state: RefCell<GatewayState>,
    connections: ConnectionPool,
    open_requests: Cell<usize>,
    /// Open connections of callers.
    caller_connections: Cell<usize>,
    /// Connections that are relayed for peers.
    open_relays: Cell<usize>,
    /// Memory for bodies and buffers.
    budget: Rc<MemoryBudget>,
    /// Wakes the task that sends changes of the work in flight.
    work_changed: (Sender<()>, Receiver<()>),
    /// Wakes the tick task when the first request starts to wait.
    wait_started: (Sender<()>, Receiver<()>),
    /// Requests for permits to other hosts. When the channel is full, further ones count as lost.
    permit_requests: (Sender<IssuerRequest>, Receiver<IssuerRequest>),
    /// Wakes the driver when a peer reports a newer configuration.
    newer_config: (Sender<()>, Receiver<()>),
    /// Wakes the driver when the store was restored.
    restored: (Sender<()>, Receiver<()>),
    /// Closed when the host stops accepting connections.
    closing: (RefCell<Option<Sender<()>>>, Receiver<()>),
    /// Closed when the host abandons its open requests.
    drain_over: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

/// Shared gateway.
pub type GatewayRef = Rc<Gateway>;

impl Gateway {
    /// Creates a gateway; [`Gateway::start`] runs it.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
        settings: GatewaySettings,
        codec: WireCodec,
        connector: TcpConnector,
    ) -> GatewayRef {
        let mut dispatcher =
            Dispatcher::new(settings.host_info.tag(), settings.host_info.failure_domain.clone());
        dispatcher.fleet.set_entry_lifetime(settings.entry_lifetime);
        dispatcher.set_cold_bound(settings.cold_bound);
        let state = GatewayState {
            dispatcher,
            catalog: None,
            evidence: EvidenceKeeper::new(settings.evidence, settings.host_info.incarnation),
            era: EraKeeper::default(),
            could_serve_keys: false,
            roster: PeerRoster::new(clock::now()),
            host_info: settings.host_info.clone(),
            retry_budgets: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_number: 0,
            store_lost: (false, false),
            permit_issuer: PermitIssuer::default(),
            quarantine: PartQuarantine::default(),
            detours: DetourPlanner::default(),
            evacuation: EvacuationState::default(),
            hedge_planner: HedgePlanner::new(settings.hedge_share),
            list_requested: None,
            pending_server_changes: Vec::new(),
            peer_clocks: BTreeMap::new(),
            rng: fastrand::Rng::new(),
        };
        let budget = MemoryBudget::for_process(settings.memory_limit);
        let (closing, closed) = async_channel::bounded(1);
        let (draining, drain_over) = async_channel::bounded(1);
        Rc::new(Gateway {
            executor,
            log,
            metrics: GatewayMetrics::new(),
            log_budget: LineBudget::default(),
            connector,
            settings,
            started: clock::now(),
            codec,
            state: RefCell::new(state),
            connections: ConnectionPool::default(),
            open_requests: Cell::new(0),
            caller_connections: Cell::new(0),
            open_relays: Cell::new(0),
            budget,
            work_changed: async_channel::bounded(1),
            wait_started: async_channel::bounded(1),
            permit_requests: async_channel::bounded(MAX_PERMIT_REQUESTS),
            newer_config: async_channel::bounded(1),
            restored: async_channel::bounded(1),
            closing: (RefCell::new(Some(closing)), closed),
            drain_over: (RefCell::new(Some(draining)), drain_over),
        })
    }

    /// Binds the sockets and starts the tasks.
    pub fn start(self: &Rc<Self>) -> Result<(), crate::error::NodeError> {
        listener::start(self)?;
        beats::start(self)?;
        relay::start(self)?;
        let gateway = self.clone();
        self.spawn(async move {
            loop {
                let is_idle = gateway.state.borrow().dispatcher.waiting_count() == 0;
                let tick = async {
                    let period = if is_idle { IDLE_TICK_PERIOD } else { TICK_PERIOD };
                    Timer::after(period).await;
                };
                let woken = async {
                    // An error means that the channel is closed, which happens only with the
                    // gateway.
                    let _ = gateway.wait_started.1.recv().await;
                };
                tick.or(woken).await;
                gateway.dispatch(DispatchInput::Tick);
            }
        });
        let gateway = self.clone();
        self.spawn(async move {
            loop {
                Timer::after(SWEEP_PERIOD).await;
                gateway.sweep();
            }
        });
        event!(self.log, GATEWAY_STARTED, "host" => &*self.settings.host_info.name,
            "serving" => self.settings.host_info.caller_address.to_string(),
            "incarnation" => self.settings.host_info.incarnation,
            "version" => env!("CARGO_PKG_VERSION"));
        Ok(())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Whether callers may be directed to this host.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().host_info.is_ready
    }

    /// Addresses for a caller that resolves the service; empty while this host knows few peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        if now.since(self.started) < SETTLE_TIME {
            return Vec::new();
        }
        let state = self.state.borrow();
        state.roster.addresses(now, &state.host_info, state.dispatcher.slot_count())
    }

    /// Whether this host exchanges heartbeats with the other members.
    fn is_member(&self) -> bool {
        let state = self.state.borrow();
        state.roster.is_member(clock::now(), &state.host_info)
    }

    /// Description of this host in its current state.
    pub fn host_info(&self) -> HostInfo {
        self.state.borrow().host_info.clone()
    }

    /// Describes the configuration in force and its proof, for log lines.
    fn config_facts(&self, now: Time) -> ConfigFacts {
        let evidence = &self.state.borrow().evidence;
        let age = evidence.age(now);
        ConfigFacts {
            version: evidence.version(),
            newest: evidence.newest_known().0.max(evidence.version()),
            age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
            proof: evidence.source().map_or("none", ProofSource::name),
        }
    }

    /// `Retry-After` for a request that another host may serve.
    fn peer_retry_after(&self) -> Duration {
        let state = self.state.borrow();
        let has_peer = state.roster.alive(clock::now()).any(|(_, info)| info.is_ready);
        if has_peer { PEER_RETRY_AFTER } else { STORE_RETRY_AFTER }
    }

    /// Steps the dispatcher with an input and executes its outputs.
    pub fn dispatch(self: &Rc<Self>, input: DispatchInput) {
        let (outputs, has_work_changes, begins_to_wait) = {
            let mut state = self.state.borrow_mut();
            let was_idle = state.dispatcher.waiting_count() == 0;
            let outputs = state.dispatcher.step(clock::now(), input);
            let begins_to_wait = was_idle && state.dispatcher.waiting_count() > 0;
            (outputs, state.dispatcher.work_view.has_changes(), begins_to_wait)
        };
        if begins_to_wait {
            // Fails only if the channel is full: the tick task has been woken already.
            let _ = self.wait_started.0.try_send(());
        }
        for output in outputs {
            self.execute(output);
        }
        if has_work_changes {
            // Fails only if the channel is full: the changes are sent anyway.
            let _ = self.work_changed.0.try_send(());
        }
    }

    fn execute(self: &Rc<Self>, output: DispatchOutput) {
        match output {
            DispatchOutput::Assign {
                number,
                engine,
                helpers,
                first_event_timeout,
                gap_timeout,
                reason,
            } => {
                let placement =
                    Placement { engine, helpers, first_event_timeout, gap_timeout, reason };
                self.resolve_waiter(number, Ok(placement));
            }
            DispatchOutput::Refuse { number, reason, retry_after, is_limited } => {
                let refusal = match (reason, is_limited) {
                    (Reason::Draining, _) => self.drain_refusal(retry_after),
                    (Reason::Evacuated, _) => {
                        let detail = "all failure domains of the service are evacuated";
                        Refusal::not_run(reason, detail).retry_after(retry_after)
                    }
                    (_, true) => {
                        let detail = "the request limits of the servers leave no room in time";
                        Refusal::not_run(reason, detail).retry_after(retry_after)
                    }
                    (_, false) => Refusal::not_run(reason, "no server can serve this in time")
                        .retry_after(retry_after),
                };
                self.resolve_waiter(number, Err(refusal));
            }
            DispatchOutput::RequestPermits(request) => self.request_permits(request),
            DispatchOutput::ServerLeaving(tag) => {
                self.connections.remove_all(tag);
                self.metrics.notices.with_label_values(&["leaving"]).inc();
                event!(self.log, SERVER_LEAVING, "server" => tag.0);
            }
            DispatchOutput::ServerPaused { engine, until } => {
                self.metrics.notices.with_label_values(&["pause"]).inc();
                let pause = until.since(clock::now()).as_millis() as u64;
                event!(self.log, SERVER_PAUSED, "server" => engine.0, "pause_ms" => pause);
            }
            DispatchOutput::ServerLimited { engine, rate, is_reported } => {
                self.log_limit(engine, rate, is_reported);
            }
            DispatchOutput::ServerGone(tag) => {
                self.connections.remove_all(tag);
                event!(self.log, SERVER_REMOVED, "server" => tag.0);
            }
            DispatchOutput::ServerChanged(tag) => {
                let state = self.state.borrow();
                let Some(record) = state.dispatcher.fleet.get(tag) else { return };
                let entry = &record.entry;
                event!(self.log, SERVER_CHANGED, "server" => tag.0, "id" => &*entry.id,
                    "service" => &*entry.service, "address" => entry.address.to_string(),
                    "leaving" => entry.is_leaving, "era" => entry.revision.era,
                    "revision" => entry.revision.number);
            }
            DispatchOutput::ColdChanged { change, is_stated } => {
                self.report_cold(change, is_stated);
            }
        }
    }

    fn resolve_waiter(&self, number: WorkNumber, result: Result<Placement, Refusal>) {
        let waiter = self.state.borrow_mut().waiters.remove(&number);
        let Some(waiter) = waiter else { return };
        // Fails only if the caller left; the request's own task reports the end of its work.
        let _ = waiter.try_send(result);
    }

    /// Applies what a server announced in a response to the attempt `id`, which was sent at `sent`.
    fn apply_notice(
        self: &Rc<Self>,
        engine: EngineTag,
        sent: Time,
        info: &ResponseInfo,
        id: Option<&Arc<str>>,
    ) {
        if let Some(value) = &info.invalid_limit {
            self.metrics.notices.with_label_values(&["invalid_limit"]).inc();
            if self.log_budget.may_write(clock::now(), true) {
                event!(self.log, SERVER_LIMIT_INVALID, "server" => engine.0, "value" => &**value);
            }
        }
        let mut notice = info.notice_for(id);
        let is_limited = self.state.borrow().dispatcher.fleet.limit(engine).is_some();
        if notice.limit == LimitNotice::Absent && !is_limited {
            notice.limit = LimitNotice::Unknown;
        }
        self.filter_cold(engine, &mut notice, info.invalid_cold.as_ref());
        if notice != ServerNotice::default() {
            self.dispatch(DispatchInput::NoticeReceived { engine, sent, notice });
        }
    }

    /// Reports the result of an attempt at a server.
    fn report_verdict(self: &Rc<Self>, engine: EngineTag, verdict: EngineVerdict, request: &str) {
        self.dispatch(DispatchInput::AttemptEnded { engine, verdict });
        if verdict == EngineVerdict::Good {
            return;
        }
        let failure = {
            let state = self.state.borrow();
            let record = state.dispatcher.fleet.get(engine);
            record.map_or(1.0, |record| record.failure_probability(clock::now()))
        };
        if self.log_budget.may_write(clock::now(), true) {
            event!(self.log, SERVER_ATTEMPT_FAILED, "server" => engine.0,
                "verdict" => format!("{verdict:?}"),
                "failure_percent" => (failure * 100.0) as u32, "request" => request);
        }
    }

    fn sweep(&self) {
        self.connections.remove_expired();
        self.sweep_quarantine();
        self.sweep_evacuations();
        self.update_readiness();
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let members = state.roster.member_view(now);
        state.permit_issuer.observe_members(now, members);
        for peer in state.roster.take_newly_silent(now) {
            event!(self.log, PEER_HEARTBEATS_MISSING, "peer" => &*peer);
        }
        state.roster.purge_silent(now);
        state.hedge_planner.expire(now);
        state.detours.expire(now);
        let hosts = state.roster.sharing_hosts();
        let left: f64 =
            state.retry_budgets.values_mut().map(|budget| budget.remaining(now, hosts)).sum();
        self.metrics.retry_budget_left.set(left as i64);
        self.metrics.retry_budget_hosts.set(hosts as i64);
        self.metrics.memory_budget.set(self.budget.total() as i64);
        self.metrics.memory_held.set(self.budget.held() as i64);
        self.metrics.caller_connections.set(self.caller_connections.get() as i64);
        self.metrics.open_relays.set(self.open_relays.get() as i64);
        self.metrics.open_requests.set(self.open_requests.get() as i64);
        self.metrics.waiting_requests.set(state.dispatcher.waiting_count() as i64);
        self.metrics.live_hosts.set(state.roster.alive(now).count() as i64 + 1);
        let (audited, needless) = state.dispatcher.audit.counts();
        self.metrics.audited_refusals.set(audited as i64);
        self.metrics.needless_refusals.set(needless as i64);
        let fleet = &state.dispatcher.fleet;
        let usable = fleet.iter().filter(|(tag, _)| fleet.is_usable(now, *tag));
        self.metrics.usable_servers.set(usable.count() as i64);
        self.metrics.limited_servers.set(fleet.limited_count() as i64);
        self.metrics.cold_engines.set(fleet.cold_count() as i64);
        let list_age = fleet.list_age(now).map_or(i64::MAX, |age| age.as_millis() as i64);
        self.metrics.server_list_age.set(list_age);
        let dropped = self.log_budget.take_dropped();
        if dropped > 0 {
            self.metrics.dropped_log_lines.inc_by(dropped);
            event!(self.log, LINES_DROPPED, "count" => dropped);
        }
    }

    /// Charges one retry to the service's budget. Returns whether the budget allows it.
    fn spend_retry(&self, service: &str) -> bool {
        let state = &mut *self.state.borrow_mut();
        let hosts = state.roster.sharing_hosts();
        let budget = state.retry_budgets.get_mut(service);
        let is_granted = budget.is_some_and(|budget| budget.try_spend(clock::now(), hosts));
        let result = if is_granted { "granted" } else { "refused" };
        self.metrics.retries.with_label_values(&[result]).inc();
        is_granted
    }

    fn allocate_number(&self) -> WorkNumber {
        let mut state = self.state.borrow_mut();
        state.next_number = state.next_number.wrapping_add(1);
        WorkNumber(state.next_number)
    }
}

/// Reason of refusals while this host may not decide by its configuration.
const CONFIG_UNAVAILABLE: Reason = Reason::StoreUnavailable;
