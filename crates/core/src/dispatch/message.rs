//! Inputs and outputs of the dispatcher.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{message, value};

use super::UrgentTarget;
use crate::{
    catalog::ServingService,
    fleet::{EngineEntry, EngineOpinion, EngineTag, EngineVerdict, ServerNotice},
    refusal::Reason,
    roster::HostTag,
    time::Time,
    work::{WorkDemand, WorkNumber, WorkUpdate},
};

/// Input of [`super::Dispatcher::step`].
#[value]
pub enum DispatchInput {
    /// Time passed.
    Tick,
    /// A configuration came into force.
    Services {
        /// Its services.
        services: BTreeMap<Arc<str>, ServingService>,
        /// The most urgent rank of each service that has streams.
        urgent: BTreeMap<Arc<str>, UrgentTarget>,
    },
    /// A request arrived or needs another attempt.
    Submit {
        /// Its number.
        number: WorkNumber,
        /// Service.
        service: Arc<str>,
        /// What it asks for.
        demand: WorkDemand,
        /// When its caller sent it first to this host.
        arrived: Time,
        /// When its answer must have begun.
        deadline: Time,
        /// Backend servers that must not get it.
        excluded: Vec<EngineTag>,
    },
    /// The first part of the answer came.
    ResponseStarted(WorkNumber),
    /// The request ended, however.
    RequestEnded(WorkNumber),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// Server.
        engine: EngineTag,
        /// How.
        verdict: EngineVerdict,
    },
    /// A backend server said something of itself in an answer.
    NoticeReceived {
        /// Server.
        engine: EngineTag,
        /// What it said.
        notice: ServerNotice,
    },
    /// Time between two events of an answer.
    EventGap {
        /// Server.
        engine: EngineTag,
        /// The time.
        gap: Duration,
    },
    /// A peer's news arrived.
    PeerUpdate {
        /// Peer.
        host: HostTag,
        /// Its process.
        incarnation: u64,
        /// Its work.
        update: WorkUpdate,
        /// What it thinks of backend servers.
        opinions: Vec<EngineOpinion>,
    },
    /// Discovery was read as a whole.
    ServersListed {
        /// The entries.
        entries: Vec<EngineEntry>,
        /// The store's revision.
        revision: u64,
    },
    /// Discovery shows one entry.
    ServerChanged(EngineEntry),
    /// Discovery no longer shows an instance.
    ServerRemoved {
        /// The instance.
        tag: EngineTag,
        /// The store's revision.
        revision: u64,
    },
    /// The store was lost or regained.
    StoreStatus {
        /// Whether it is lost.
        is_lost: bool,
    },
}

/// One engine beside the first that reads a part of a prompt.
#[message]
pub struct PrefillHelper {
    /// Engine.
    pub engine: EngineTag,
    /// Memory to set aside there, in tokens, if the first engine's does not suffice.
    pub tokens: Option<u32>,
}

/// Why a place was chosen; for the log.
#[value]
pub struct PlacementReason {
    /// Forecast of the time to the first event.
    pub first_event_ms: u32,
    /// Requests that it makes late.
    pub delayed: u32,
    /// Estimated chance that the server fails.
    pub failure_percent: u32,
    /// Requests on the server.
    pub requests: u32,
    /// Servers that were weighed.
    pub candidates: u32,
}

/// Output of [`super::Dispatcher::step`].
#[value]
pub enum DispatchOutput {
    /// Send the request.
    Assign {
        /// Request.
        number: WorkNumber,
        /// Backend server.
        engine: EngineTag,
        /// Engines that read parts.
        helpers: Vec<PrefillHelper>,
        /// Time for the first event, after which another engine may be asked.
        first_limit: Duration,
        /// Longest pause between events, after which another engine may be asked.
        gap_limit: Duration,
        /// Why.
        reason: PlacementReason,
    },
    /// Refuse the request; it was not sent.
    Refuse {
        /// Request.
        number: WorkNumber,
        /// Why.
        reason: Reason,
        /// When it may come back.
        retry_after: Duration,
    },
    /// A backend server said that it leaves; its idle connections are of no use.
    ServerLeaving(EngineTag),
    /// A backend server wants nothing from this host for a time.
    ServerPaused {
        /// Server.
        engine: EngineTag,
        /// When it may be asked again.
        until: Time,
    },
    /// A backend server is gone; its connections are of no use.
    ServerGone(EngineTag),
    /// A backend server is new, leaves or started again.
    ServerChanged(EngineTag),
}
