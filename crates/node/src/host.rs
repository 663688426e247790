//! The state of one host, shared by all its tasks.

use std::{cell::RefCell, collections::BTreeMap, future::Future, rc::Rc, sync::Arc, time::Instant};

use async_executor::LocalExecutor;
use parsley_core::{
    arena::NameTable,
    config::ConfigStore,
    member::{MemberRecord, MemberState, MemberTable},
    placement::EnginePicker,
    settings::HostSettings,
    time::Time,
    token::TokenSigner,
    usage::UsageLedger,
};
use slog::Logger;

use crate::{peer::link::PeerLink, pool::EnginePool};

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
    /// Mutable state.
    pub state: RefCell<HostState>,
    started: Instant,
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
    open_requests: usize,
}

impl Host {
    /// A host that has not started.
    pub fn new(
        settings: HostSettings,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> HostRef {
        let state = HostState {
            members: MemberTable::new(member_record(&settings), settings.seeds.clone()),
            config: ConfigStore::default(),
            picker: EnginePicker::default(),
            pool: EnginePool::default(),
            usage: UsageLedger::new(settings.name.clone()),
            accounts: NameTable::default(),
            models: NameTable::default(),
            engines: NameTable::default(),
            links: BTreeMap::new(),
            rng: fastrand::Rng::new(),
            draining: false,
            open_requests: 0,
        };
        Rc::new(Host {
            signer: TokenSigner::new(&settings.peer_key),
            settings,
            executor,
            log,
            state: RefCell::new(state),
            started: Instant::now(),
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

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Whether the host is draining, for a caller that holds the state.
    pub fn is_draining_in(&self, state: &HostState) -> bool {
        state.draining
    }

    /// Requests that are open to callers or peers.
    pub fn open_requests(&self) -> usize {
        let state = self.state.borrow();
        state.open_requests + state.pool.len()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Rc<Host>) -> RequestGuard {
        self.state.borrow_mut().open_requests += 1;
        RequestGuard { host: self.clone() }
    }
}

/// Counts an open request.
pub struct RequestGuard {
    host: HostRef,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.host.state.borrow_mut().open_requests -= 1;
    }
}

fn member_record(settings: &HostSettings) -> MemberRecord {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    MemberRecord {
        name: settings.name.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.listen.clone(),
        peer_address: settings.peer_listen.clone(),
        capacity: settings.capacity,
        // A restarted host must outrank its earlier self, and it keeps nothing; wall time grows.
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        state: MemberState::Alive,
    }
}
