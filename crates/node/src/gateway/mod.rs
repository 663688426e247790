//! Serves callers of a fleet whose configuration, discovery and wire names a driver supplies.
//!
//! A driver feeds configurations and backend servers in, and translates heads; the decisions are
//! the core's. Every host serves alike, keeps nothing and tells its peers what it has in flight.

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
use parsley_core::{
    catalog::{RouteCatalog, ServingConfig},
    dispatch::{DispatchInput, DispatchOutput, Dispatcher, HelperPart, PlaceReason, TICK_PERIOD},
    evidence::EvidenceKeeper,
    feed::{FeedContext, LEADS, PROOF_AGE, UNLIKE_TIME},
    fleet::{EngineEntry, EngineTag, EngineVerdict},
    refusal::{Reason, Refusal},
    retry::{RetryBudget, RetryLimit},
    roster::{HostCard, HostTag, PeerRoster},
    time::Time,
    work::WorkNumber,
};
use parsley_macros::{message, value};
use slog::Logger;

use crate::event;

mod attempt;
mod beats;
mod body;
pub mod clock;
pub mod edge;
mod exchange;
pub mod line_budget;
pub mod link;
mod listener;
mod memory;
mod metrics;
mod refuse;
#[cfg(test)]
mod tests;

pub use edge::WireEdge;
pub use listener::{serve_pages, within};
pub use metrics::GatewayMetrics;

use line_budget::LineBudget;
use link::LinkPool;

/// Part of the grace time after which requests that are still open are given up.
const GRACE_SHARE: f64 = 0.93;
/// Time for which idle connections stay open while the host drains: callers that hold an older
/// answer still use them.
const LINGER: Duration = Duration::from_millis(2_500);
/// When a caller may come back if another host is ready.
const PEER_RETRY: Duration = Duration::from_millis(20);
/// When a caller may come back if no host is: outages of the store last seconds.
const STORE_RETRY: Duration = Duration::from_millis(2_500);
/// Time between two sweeps of idle connections and gauges.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks at what is still open.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// What a gateway is started with.
#[value]
pub struct GatewaySettings {
    /// What the host says of itself.
    pub card: HostCard,
    /// Time after which a key that was taken away must not be served.
    pub revoke: Duration,
    /// Time between SIGTERM and the end.
    pub grace: Duration,
    /// Limit on repeats over all hosts.
    pub retry: RetryLimit,
}

/// Where a request goes.
#[value]
struct Placement {
    engine: EngineTag,
    helpers: Vec<HelperPart>,
    first_limit: Duration,
    gap_limit: Duration,
    reason: PlaceReason,
}

/// What a lead learned from the store about a server.
#[message]
pub enum ServerNews {
    /// Its entry is new or changed.
    Changed(EngineEntry),
    /// Its entry is gone.
    Removed {
        /// Instance.
        id: Arc<str>,
        /// The store's revision.
        revision: u64,
    },
}

/// What changes while a gateway runs.
struct GatewayState {
    dispatcher: Dispatcher,
    catalog: Option<Rc<RouteCatalog>>,
    evidence: EvidenceKeeper,
    was_recent: bool,
    roster: PeerRoster,
    card: HostCard,
    budgets: BTreeMap<Arc<str>, RetryBudget>,
    waiters: BTreeMap<WorkNumber, Sender<Result<Placement, Refusal>>>,
    next_number: u32,
    drain_end: Option<Time>,
    /// Whether the store does not answer for the configuration and for discovery.
    store_lost: (bool, bool),
    /// Newest version of the configuration that a peer has.
    newest_heard: u64,
    /// Since when a lead has another list of servers.
    unlike_since: Option<Time>,
    /// News for peers that are not sent yet.
    server_news: Vec<ServerNews>,
    /// Clock of each peer's last full beat, and when it came.
    peer_clocks: BTreeMap<HostTag, (u64, Time)>,
    rng: fastrand::Rng,
}

/// A running gateway.
pub struct Gateway {
    /// Runs its tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub metrics: GatewayMetrics,
    /// Lines that may be logged.
    pub lines: LineBudget,
    settings: GatewaySettings,
    edge: WireEdge,
    state: RefCell<GatewayState>,
    links: LinkPool,
    open: Cell<usize>,
    /// Connections of callers.
    callers: Cell<usize>,
    news: (Sender<()>, Receiver<()>),
    /// Wakes the driver when a peer has something newer.
    stale: (Sender<()>, Receiver<()>),
    closing: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

/// A shared gateway.
pub type GatewayRef = Rc<Gateway>;

impl Gateway {
    /// A gateway that has not started.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
        settings: GatewaySettings,
        edge: WireEdge,
    ) -> GatewayRef {
        let state = GatewayState {
            dispatcher: Dispatcher::new(settings.card.failure_domain.clone()),
            catalog: None,
            evidence: EvidenceKeeper::new(settings.revoke, settings.card.incarnation),
            was_recent: false,
            roster: PeerRoster::default(),
            card: settings.card.clone(),
            budgets: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_number: 0,
            drain_end: None,
            store_lost: (false, false),
            newest_heard: 0,
            unlike_since: None,
            server_news: Vec::new(),
            peer_clocks: BTreeMap::new(),
            rng: fastrand::Rng::new(),
        };
        let (closing, closed) = async_channel::bounded(1);
        Rc::new(Gateway {
            executor,
            log,
            metrics: GatewayMetrics::new(),
            lines: LineBudget::default(),
            settings,
            edge,
            state: RefCell::new(state),
            links: LinkPool::default(),
            open: Cell::new(0),
            callers: Cell::new(0),
            news: async_channel::bounded(1),
            stale: async_channel::bounded(1),
            closing: (RefCell::new(Some(closing)), closed),
        })
    }

    /// Opens the sockets and starts the tasks.
    pub fn start(self: &Rc<Self>) -> Result<(), crate::error::NodeError> {
        listener::start(self)?;
        beats::start(self)?;
        let gateway = self.clone();
        self.spawn(async move {
            loop {
                Timer::after(TICK_PERIOD).await;
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
        event!(self.log, GATEWAY_STARTED, "host" => &*self.settings.card.name,
            "serving" => self.settings.card.serving.to_string(),
            "incarnation" => self.settings.card.incarnation,
            "version" => env!("CARGO_PKG_VERSION"));
        Ok(())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().card.is_ready
    }

    /// Addresses for a caller that asks which to use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let state = &mut *self.state.borrow_mut();
        state.roster.addresses(clock::now(), &state.card, &mut state.rng)
    }

    /// The host's own card.
    pub fn card(&self) -> HostCard {
        self.state.borrow().card.clone()
    }

    /// Takes a configuration that the store showed in a call sent at `asked`. An older one than
    /// that in force is ignored.
    pub fn take_config(self: &Rc<Self>, config: ServingConfig, asked: Time) {
        let version = config.version;
        let services = {
            let mut state = self.state.borrow_mut();
            let from = state.catalog.as_ref().map(|catalog| catalog.version());
            state.evidence.confirm(version, asked);
            if from.is_some_and(|from| from >= version) {
                return;
            }
            let catalog = RouteCatalog::new(config);
            let services = catalog.services().clone();
            state.catalog = Some(Rc::new(catalog));
            let age = clock::now().since(asked).as_millis() as u64;
            event!(self.log, CONFIG_TAKEN, "version" => version,
                "from" => from.unwrap_or_default(), "age_ms" => age);
            services
        };
        self.metrics.config_version.set(version as i64);
        if self.feed_context(true).is_lead {
            beats::send_full(self);
        }
        self.dispatch(DispatchInput::Services(services));
        self.note_evidence();
    }

    /// The store showed, in a call sent at `asked`, that nothing is newer than the configuration
    /// in force.
    pub fn confirm_config(&self, asked: Time) {
        {
            let mut state = self.state.borrow_mut();
            let version = state.evidence.version();
            if state.catalog.is_some() {
                state.evidence.confirm(version, asked);
            }
        }
        self.note_evidence();
    }

    /// Version of the configuration and milliseconds since it was known to be the newest.
    fn config_age(&self, now: Time) -> (u64, u64) {
        let state = self.state.borrow();
        let age = state.evidence.age(now);
        (state.evidence.version(), age.map_or(u64::MAX, |age| age.as_millis() as u64))
    }

    /// When a caller may come back that this host turns away: at once if a peer is ready.
    fn retry_elsewhere(&self) -> Duration {
        let state = self.state.borrow();
        let has_peer = state.roster.alive(clock::now()).any(|(_, card)| card.is_ready);
        if has_peer { PEER_RETRY } else { STORE_RETRY }
    }

    /// What decides how the driver follows a part of the store.
    pub fn feed_context(&self, is_config: bool) -> FeedContext {
        let now = clock::now();
        let state = self.state.borrow();
        let proof = state.evidence.age(now);
        let has_news = if is_config {
            state.newest_heard > state.evidence.version()
        } else {
            state.unlike_since.is_some_and(|at| now.since(at) >= UNLIKE_TIME)
        };
        FeedContext {
            is_lead: state.roster.is_lead(now, &state.card, LEADS),
            needs_proof: state.catalog.is_some() && proof.is_none_or(|age| age >= PROOF_AGE),
            has_news,
        }
    }

    /// Waits until a peer is known to have something newer.
    pub async fn feed_news(&self) {
        // The channel closes only with the gateway.
        let _ = self.stale.1.recv().await;
    }

    /// Keeps news of the store about a server for the peers.
    pub fn tell_later(&self, news: ServerNews) {
        self.state.borrow_mut().server_news.push(news);
    }

    /// Tells the peers what was kept for them.
    pub fn tell_servers(&self) {
        beats::send_servers(self);
    }

    /// The store names a host.
    pub fn introduce(&self, card: HostCard) {
        let mut state = self.state.borrow_mut();
        if card.tag() != state.card.tag() {
            state.roster.introduce(card);
        }
    }

    /// The store names just these hosts.
    pub fn keep_hosts(&self, named: &[HostTag]) {
        self.state.borrow_mut().roster.keep_named(named);
    }

    /// The store was lost or regained for the configuration or for discovery.
    pub fn note_store(self: &Rc<Self>, is_config: bool, is_lost: bool) {
        {
            let mut state = self.state.borrow_mut();
            let part = if is_config { &mut state.store_lost.0 } else { &mut state.store_lost.1 };
            *part = is_lost;
            state.card.has_store = state.store_lost == (false, false);
        }
        if !is_config {
            self.dispatch(DispatchInput::Store { is_lost });
        }
    }

    /// Gives the dispatcher an input and carries out what it decides.
    pub fn dispatch(self: &Rc<Self>, input: DispatchInput) {
        let (outputs, has_news) = {
            let mut state = self.state.borrow_mut();
            let outputs = state.dispatcher.step(clock::now(), input);
            (outputs, state.dispatcher.view.has_news())
        };
        for output in outputs {
            self.carry_out(output);
        }
        if has_news {
            // A full channel means that the news will be sent anyway.
            let _ = self.news.0.try_send(());
        }
    }

    fn carry_out(self: &Rc<Self>, output: DispatchOutput) {
        match output {
            DispatchOutput::Assign { number, engine, helpers, first_limit, gap_limit, reason } => {
                let placement = Placement { engine, helpers, first_limit, gap_limit, reason };
                self.answer_waiter(number, Ok(placement));
            }
            DispatchOutput::Refuse { number, reason, retry_after } => {
                let refusal = Refusal::not_run(reason, "no server can serve this in time")
                    .retry_after(retry_after);
                self.answer_waiter(number, Err(refusal));
            }
            DispatchOutput::Gone(tag) => {
                self.links.forget(tag);
                event!(self.log, SERVER_GONE, "server" => tag.0);
            }
            DispatchOutput::EngineChanged(tag) => {
                let state = self.state.borrow();
                let Some(record) = state.dispatcher.fleet.get(tag) else { return };
                let entry = &record.entry;
                event!(self.log, SERVER_CHANGED, "server" => tag.0, "id" => &*entry.id,
                    "service" => &*entry.service, "address" => entry.address.to_string(),
                    "leaving" => entry.is_leaving, "revision" => entry.revision);
            }
        }
    }

    fn answer_waiter(&self, number: WorkNumber, answer: Result<Placement, Refusal>) {
        let waiter = self.state.borrow_mut().waiters.remove(&number);
        let Some(waiter) = waiter else { return };
        // A caller that left meanwhile ends its work itself.
        let _ = waiter.try_send(answer);
    }

    /// An attempt at a server ended.
    fn judge(self: &Rc<Self>, engine: EngineTag, verdict: EngineVerdict, request: &str) {
        self.dispatch(DispatchInput::Judged { engine, verdict });
        if verdict == EngineVerdict::Good {
            return;
        }
        let chance = {
            let state = self.state.borrow();
            let record = state.dispatcher.fleet.get(engine);
            record.map_or(1.0, |record| record.failure_chance(clock::now()))
        };
        if self.lines.may_write(clock::now(), true) {
            event!(self.log, SERVER_JUDGED, "server" => engine.0,
                "verdict" => format!("{verdict:?}"),
                "failure_percent" => (chance * 100.0) as u32, "request" => request);
        }
    }

    /// Logs when keys can no longer be decided about, and when they can again.
    fn note_evidence(&self) {
        let now = clock::now();
        let (is_recent, was_recent, version, age) = {
            let mut state = self.state.borrow_mut();
            let is_recent = state.evidence.is_recent(now);
            let was = std::mem::replace(&mut state.was_recent, is_recent);
            // Callers go elsewhere as soon as the host cannot decide about their keys.
            state.card.is_ready = is_recent && state.catalog.is_some() && state.drain_end.is_none();
            (is_recent, was, state.evidence.version(), state.evidence.age(now))
        };
        let age = age.map_or(u64::MAX, |age| age.as_millis() as u64);
        self.metrics.config_age.set(i64::try_from(age).unwrap_or(i64::MAX));
        match (was_recent, is_recent) {
            (true, false) => {
                event!(self.log, EVIDENCE_STALE, "version" => version, "age_ms" => age)
            }
            (false, true) => {
                event!(self.log, EVIDENCE_RECENT, "version" => version, "age_ms" => age)
            }
            _ => {}
        }
    }

    fn sweep(&self) {
        self.links.sweep();
        self.note_evidence();
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        for peer in state.roster.take_silent(now) {
            event!(self.log, PEER_SILENT, "peer" => &*peer);
        }
        state.roster.forget(now);
        let hosts = state.roster.most_alive();
        let left: f64 = state.budgets.values_mut().map(|budget| budget.left(now, hosts)).sum();
        self.metrics.retry_left.set(left as i64);
        self.metrics.open.set(self.open.get() as i64);
        self.metrics.waiting.set(state.dispatcher.waiting() as i64);
        self.metrics.hosts.set(state.roster.alive(now).count() as i64 + 1);
        let usable = state.dispatcher.fleet.iter().filter(|(_, record)| record.is_usable());
        self.metrics.servers.set(usable.count() as i64);
        let dropped = self.lines.take_dropped();
        if dropped > 0 {
            self.metrics.dropped_lines.inc_by(dropped);
            event!(self.log, LINES_DROPPED, "count" => dropped);
        }
    }

    /// Spends one repeat to a service, if the limit over all hosts allows it.
    fn spend_retry(&self, service: &str) -> bool {
        let state = &mut *self.state.borrow_mut();
        let hosts = state.roster.most_alive();
        let budget = state.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.spend(clock::now(), hosts))
    }

    /// Leaves the addresses told to callers, finishes what is open and returns at the end of the
    /// grace time at the latest.
    pub async fn drain(self: &Rc<Self>) {
        let start = clock::now();
        let end = start + self.settings.grace.mul_f64(GRACE_SHARE);
        {
            let mut state = self.state.borrow_mut();
            state.card.is_ready = false;
            state.drain_end = Some(end);
        }
        beats::send_full(self);
        event!(self.log, GATEWAY_DRAINING, "open" => self.open.get(),
            "grace_ms" => self.settings.grace.as_millis() as u64);
        let linger = start + LINGER;
        while clock::now() < linger {
            Timer::after(DRAIN_PERIOD).await;
        }
        self.closing.0.borrow_mut().take();
        loop {
            while clock::now() < end && self.is_busy() {
                Timer::after(DRAIN_PERIOD).await;
            }
            // The last answers, and requests that crossed the close, are still in the sockets.
            Timer::after(DRAIN_PERIOD * 3).await;
            if clock::now() >= end || !self.is_busy() {
                break;
            }
        }
        beats::send_full(self);
        event!(self.log, GATEWAY_STOPPED, "open" => self.open.get());
    }

    /// Whether a request is open or a caller is connected.
    fn is_busy(&self) -> bool {
        self.open.get() > 0 || self.callers.get() > 0
    }

    /// Time left before the host ends, if it drains.
    fn drain_left(&self) -> Option<Duration> {
        self.state.borrow().drain_end.map(|end| end.since(clock::now()))
    }

    fn new_number(&self) -> WorkNumber {
        let mut state = self.state.borrow_mut();
        state.next_number = state.next_number.wrapping_add(1);
        WorkNumber(state.next_number)
    }
}

/// The reason that a request gets when the host cannot decide about it.
const NO_CONFIG: Reason = Reason::StoreUnavailable;
