//! State of one host, shared by all of its tasks.

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

/// A host.
///
/// All tasks run on one thread. No borrow of [`Host::state`] may be held across an await point, as
/// another task would then panic on its own borrow.
pub struct Host {
    /// Settings read at the start; they do not change while the host runs.
    pub settings: HostSettings,
    /// Executor that runs the tasks of the host.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Root logger, for [`event!`](crate::event).
    pub log: Logger,
    /// Signs and checks continuation tokens with the peer key.
    pub signer: TokenSigner,
    /// Incarnation with which the host started: milliseconds since the Unix epoch. Membership may
    /// raise its own later.
    pub incarnation: u64,
    /// Closed when the host stops accepting connections of callers. Carries no messages.
    pub accept_closed: Receiver<()>,
    /// Prometheus metrics of the host.
    pub metrics: HostMetrics,
    /// Mutable state of the host.
    pub state: RefCell<HostState>,
    started: Instant,
    /// Number of live [`RequestGuard`]s.
    open_requests: Arc<AtomicUsize>,
    accept_end: Sender<()>,
    /// Carries who requested the stop; holds one message.
    stop: (Sender<Arc<str>>, Receiver<Arc<str>>),
}

/// Reference to a host, shared by its tasks.
pub type HostRef = Rc<Host>;

/// The mutable state of a host.
pub struct HostState {
    /// Records of all known hosts, including this one.
    pub members: MemberTable,
    /// Configuration in force on this host.
    pub config: ConfigStore,
    /// Chooses engines for new requests.
    pub picker: EnginePicker,
    /// Queues and running streams of the engines that this host owns.
    pub pool: EnginePool,
    /// Requests that this host received from callers and forwards to the owners of engines.
    pub carriers: CarrierTable,
    /// Request records that this host stores as one of their record hosts.
    pub records: RecordKeeper,
    /// Calls to plain services in progress.
    pub calls: CallTable,
    /// Health estimates of the engines that this host owns.
    pub health: HealthTracker,
    /// Per-engine state of the assignment of engines to this host.
    pub notes: EngineNotes,
    /// Decides which model load and unload orders this host sends to engines.
    pub orders: OrderKeeper,
    /// Lease ids in the key-value service of the order shards that this host holds.
    pub shard_leases: BTreeMap<ShardKey, u64>,
    /// Authenticates datagrams between hosts with the peer key.
    pub datagrams: DatagramSealer,
    /// Usage of each client account, aggregated over all hosts.
    pub usage: UsageLedger,
    /// Interned names of client accounts.
    pub accounts: NameTable,
    /// Interned names of models.
    pub models: NameTable,
    /// Interned names of engines.
    pub engines: NameTable,
    /// Connections from this host to other hosts, by host name.
    pub links: BTreeMap<Arc<str>, PeerLink>,
    /// Random number generator of the host. The core components have generators forked from it.
    pub rng: fastrand::Rng,
    draining: bool,
}

impl HostState {
    /// Returns whether the host is draining. It stays so until the process ends.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}

impl Host {
    /// Creates a host that has not started: no task runs and no address is listened on.
    pub fn new(
        settings: HostSettings,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> HostRef {
        let mut rng = fastrand::Rng::new();
        let local_record = member_record(&settings);
        let incarnation = local_record.incarnation;
        let keeper = CallKeeper::new(settings.name.clone(), incarnation, rng.fork());
        let state = HostState {
            picker: EnginePicker::new(&local_record, rng.fork()),
            members: MemberTable::new(local_record, settings.seeds.clone(), rng.fork()),
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

    /// Returns the monotonic time since the host was created, in microseconds.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Starts a detached task, which runs until it completes.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Marks the host as draining, so that it is no longer ready.
    pub fn drain(&self) {
        self.state.borrow_mut().draining = true;
    }

    /// Requests a drain and stop on behalf of `by`. Only the first call determines `by`.
    ///
    /// The host is marked as draining before this returns, so that it is not ready any more when
    /// the operator receives the response.
    pub fn request_stop(&self, by: &str) {
        self.drain();
        // The channel is full if a stop was already requested.
        let _ = self.stop.0.try_send(by.into());
    }

    /// Waits until a stop is requested and returns who requested it.
    pub async fn stop_requested(&self) -> Arc<str> {
        self.stop.1.recv().await.unwrap_or_else(|_| "host".into())
    }

    /// Returns whether this host can serve callers: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.draining && state.config.complete_revision() > Revision(0)
    }

    /// Stops accepting connections of callers. Open connections are not affected.
    pub fn stop_accepting(&self) {
        self.accept_end.close();
    }

    /// Returns whether the host is draining. Must not be called while the state is mutably
    /// borrowed.
    pub fn is_draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Returns the number of open requests: those received from callers, the work in the pool of
    /// this host and the service calls without an answer. A request that was received here and also
    /// runs here is counted twice; only zero is exact.
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

/// Counts an open request until dropped. Response bodies hold one and must be `Send`, hence the
/// atomic counter.
pub struct RequestGuard {
    open_requests: Arc<AtomicUsize>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the membership record with which this host starts.
fn member_record(settings: &HostSettings) -> MemberRecord {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    MemberRecord {
        name: settings.name.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.listen.clone(),
        peer_address: settings.peer_advertise.as_ref().unwrap_or(&settings.peer_listen).clone(),
        capacity: settings.capacity,
        // A restarted host needs a higher incarnation than its previous process, but the host
        // stores no state. Wall-clock time serves as the source.
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        state: MemberState::Alive,
    }
}
