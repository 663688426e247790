//! The state of one host, shared by all its tasks.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::Future,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use parsley_core::{
    arena::NameTable,
    call::CallKeeper,
    config::{ConfigStore, Revision},
    health::HealthTracker,
    member::{MemberRecord, MemberState, MemberTable},
    order::{OrderKeeper, ShardKey},
    placement::EnginePicker,
    record::RecordKeeper,
    settings::HostSettings,
    time::Time,
    token::TokenSigner,
    usage::UsageLedger,
};
use slog::Logger;

use crate::{
    api::services::CallTable,
    carrier::CarrierTable,
    metrics::HostMetrics,
    peer::{datagram::DatagramSealer, link::PeerLink},
    pool::{EnginePool, assign::EngineNotes},
};

/// A host. No borrow of [`Host::state`] may be held across an await.
pub struct Host {
    /// Settings.
    pub settings: HostSettings,
    /// Runs the tasks of the host.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Logger.
    pub log: Logger,
    /// Signs continuation tokens.
    pub signer: TokenSigner,
    /// Incarnation with which the host started.
    pub incarnation: u64,
    /// Closed when callers' connections are accepted no more.
    pub accept_closed: Receiver<()>,
    /// Counters and histograms.
    pub metrics: HostMetrics,
    /// Mutable state.
    pub state: RefCell<HostState>,
    started: Instant,
    open_requests: Arc<AtomicUsize>,
    accept_end: Sender<()>,
    stop: (Sender<Arc<str>>, Receiver<Arc<str>>),
}

/// A shared host.
pub type HostRef = Rc<Host>;

/// The mutable state of a host.
pub struct HostState {
    /// Membership.
    pub members: MemberTable,
    /// Configuration.
    pub config: ConfigStore,
    /// Placement.
    pub picker: EnginePicker,
    /// Work on the engines that this host owns.
    pub pool: EnginePool,
    /// Requests of callers at this host.
    pub carriers: CarrierTable,
    /// Request records kept for peers.
    pub records: RecordKeeper,
    /// Calls to plain services.
    pub calls: CallTable,
    /// Health of the engines that this host owns.
    pub health: HealthTracker,
    /// Notes on the engines that this host owns.
    pub notes: EngineNotes,
    /// Orders to engines.
    pub orders: OrderKeeper,
    /// Leases of order shards in the key-value service.
    pub shard_leases: BTreeMap<ShardKey, u64>,
    /// Seals and opens datagrams.
    pub datagrams: DatagramSealer,
    /// Use of accounts over all hosts.
    pub usage: UsageLedger,
    /// Keys of client accounts.
    pub accounts: NameTable,
    /// Keys of models.
    pub models: NameTable,
    /// Keys of engines.
    pub engines: NameTable,
    /// Connections to other hosts by host name.
    pub links: BTreeMap<Arc<str>, PeerLink>,
    /// Randomness.
    pub rng: fastrand::Rng,
    draining: bool,
}

impl HostState {
    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}

impl Host {
    /// A host that has not started.
    pub fn new(
        settings: HostSettings,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> HostRef {
        let mut rng = fastrand::Rng::new();
        let me = member_record(&settings);
        let incarnation = me.incarnation;
        let keeper = CallKeeper::new(settings.name.clone(), incarnation, rng.fork());
        let state = HostState {
            picker: EnginePicker::new(&me, rng.fork()),
            members: MemberTable::new(me, settings.seeds.clone(), rng.fork()),
            config: ConfigStore::new(rng.fork()),
            health: HealthTracker::default(),
            notes: EngineNotes::default(),
            orders: OrderKeeper::default(),
            shard_leases: BTreeMap::new(),
            datagrams: DatagramSealer::new(&settings.peer_key),
            pool: EnginePool::default(),
            carriers: CarrierTable::default(),
            records: RecordKeeper::default(),
            calls: CallTable::new(keeper),
            usage: UsageLedger::new(settings.name.clone()),
            accounts: NameTable::default(),
            models: NameTable::default(),
            engines: NameTable::default(),
            links: BTreeMap::new(),
            rng,
            draining: false,
        };
        let (accept_end, accept_closed) = async_channel::bounded(1);
        Rc::new(Host {
            incarnation,
            accept_closed,
            accept_end,
            open_requests: Arc::default(),
            signer: TokenSigner::new(&settings.peer_key),
            settings,
            executor,
            log,
            metrics: HostMetrics::new(),
            state: RefCell::new(state),
            started: Instant::now(),
            stop: async_channel::bounded(1),
        })
    }

    /// Time since the host was created.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Starts a task that runs until it ends by itself.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Marks the host as draining.
    pub fn drain(&self) {
        self.state.borrow_mut().draining = true;
    }

    /// Asks the host to drain and stop, on behalf of `by`. A second call has no effect. The host is
    /// not ready from now on, as the operator's answer promises.
    pub fn request_stop(&self, by: &str) {
        self.drain();
        // The channel is full when the host was asked before.
        let _ = self.stop.0.try_send(by.into());
    }

    /// Waits until somebody asks the host to stop, and tells who.
    pub async fn stop_requested(&self) -> Arc<str> {
        self.stop.1.recv().await.unwrap_or_else(|_| "host".into())
    }

    /// Whether this host holds a configuration, so that it can serve callers.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.draining && state.config.complete_revision() > Revision(0)
    }

    /// Ends the acceptance of callers' connections.
    pub fn stop_accepting(&self) {
        self.accept_end.close();
    }

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Requests that are open to callers or peers.
    pub fn open_requests(&self) -> usize {
        let state = self.state.borrow();
        let open = self.open_requests.load(Ordering::Relaxed);
        open + state.pool.len() + state.calls.unanswered()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(&self) -> RequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard { open_requests: self.open_requests.clone() }
    }
}

/// Counts an open request. Bodies of answers hold one and must be `Send`.
pub struct RequestGuard {
    open_requests: Arc<AtomicUsize>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

fn member_record(settings: &HostSettings) -> MemberRecord {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    MemberRecord {
        name: settings.name.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.listen.clone(),
        peer_address: settings.peer_advertise.as_ref().unwrap_or(&settings.peer_listen).clone(),
        capacity: settings.capacity,
        // A restarted host must outrank its earlier self, and it keeps nothing; wall time grows.
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        state: MemberState::Alive,
    }
}
