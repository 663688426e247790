//! Input and output types of the dispatcher.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{message, value};

use super::UrgentTarget;
use crate::{
    catalog::ServingService,
    era::StoreRevision,
    fleet::{
        ColdChange, ColdReport, EngineEntry, EngineEstimate, EngineTag, EngineVerdict, LimitReport,
        RequestRate, ServerNotice,
    },
    permit::{PermitReply, PermitRequest},
    refusal::Reason,
    roster::HostTag,
    time::Time,
    work::{WorkDemand, WorkNumber, WorkUpdate},
};

/// Input of [`super::Dispatcher::step`].
#[value]
pub enum DispatchInput {
    /// A timer fired; expires silent peers and servers, and retries waiting requests.
    Tick,
    /// A new configuration took effect.
    Services {
        /// All configured services by name.
        services: BTreeMap<Arc<str>, ServingService>,
        /// Targets of the most urgent rank of each service with streaming routes.
        urgent_targets: BTreeMap<Arc<str>, UrgentTarget>,
    },
    /// A request arrived or needs another attempt.
    Submit {
        /// Number of the request, unique on this host.
        number: WorkNumber,
        /// Name of the service that the route selected.
        service: Arc<str>,
        /// Resources and latency targets of the request.
        demand: WorkDemand,
        /// When the request arrived at this host; the same for all its attempts.
        arrived: Time,
        /// Time by which the response must have started; the request is refused if it cannot.
        deadline: Time,
        /// Backend servers that must not receive it, usually those of earlier attempts.
        excluded: Vec<EngineTag>,
    },
    /// The first part of the response arrived.
    ResponseStarted(WorkNumber),
    /// The request ended: completed, failed or was cancelled.
    RequestEnded(WorkNumber),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// Server that the attempt was sent to.
        engine: EngineTag,
        /// Outcome of the attempt as far as it says something about the server.
        verdict: EngineVerdict,
    },
    /// A backend server announced in a response that it leaves, pauses or limits requests.
    NoticeReceived {
        /// Server that sent the notice.
        engine: EngineTag,
        /// When the request was sent that the response answers.
        sent: Time,
        /// Content of the notice.
        notice: ServerNotice,
    },
    /// Two consecutive events of a streamed response arrived.
    EventGap {
        /// Server that streams the response.
        engine: EngineTag,
        /// Time between the two events.
        gap: Duration,
    },
    /// A peer sent changes of its work.
    PeerUpdate {
        /// Host that sent them.
        host: HostTag,
        /// Incarnation of the peer's process; a new one replaces all earlier work of the peer.
        incarnation: u64,
        /// Changed entries, or a part of a snapshot.
        update: WorkUpdate,
        /// The peer's observations of failing or slow backend servers.
        estimates: Vec<EngineEstimate>,
    },
    /// A peer sent statements about the limits of servers.
    LimitsReported(Vec<LimitReport>),
    /// The issuer of permits for a limited server replied.
    PermitsIssued(PermitReply),
    /// The host stops: responses must be complete by then.
    Drain {
        /// When the host abandons its open requests.
        end: Time,
    },
    /// All server entries were read from discovery.
    ServersListed {
        /// Entries of all servers.
        entries: Vec<EngineEntry>,
        /// Revision of the store at which the list was read.
        revision: StoreRevision,
    },
    /// A server entry was added or changed in discovery.
    ServerChanged(EngineEntry),
    /// A server entry was removed from discovery.
    ServerRemoved {
        /// Server process whose entry was removed.
        tag: EngineTag,
        /// Revision of the store at which it was removed.
        revision: StoreRevision,
        /// Whether a peer reported it; otherwise this host's own call to the store showed it.
        is_reported: bool,
    },
    /// The connection to the store was lost or restored.
    StoreStatus {
        /// Whether the store is unreachable.
        is_lost: bool,
    },
    /// The entry of an engine states how much longer it stays cold.
    ColdStated {
        /// Engine of the entry.
        engine: EngineTag,
        /// Start of the engine's process in Unix milliseconds by its own clock.
        started_ms: u64,
        /// Rest of the cold time.
        left: Duration,
        /// Revision of the store at which the entry was written.
        revision: StoreRevision,
    },
    /// A peer sent reports about cold engines.
    ColdReported(Vec<ColdReport>),
}

/// An additional engine that prefills a part of a prompt.
#[message]
pub struct PrefillHelper {
    /// Engine that helps.
    pub engine: EngineTag,
    /// Memory to reserve on it, in tokens; `None` if the first engine's memory suffices.
    pub tokens: Option<u32>,
}

/// Estimates behind a placement, for the log.
#[value]
pub struct PlacementReason {
    /// Forecast time to the first event, in milliseconds; 0 for a plain service.
    pub first_event_ms: u32,
    /// Other requests that the placement is expected to make late.
    pub delayed: u32,
    /// Estimated probability that the server fails the request, in percent.
    pub failure_percent: u32,
    /// Requests in flight on the server before this one.
    pub requests: u32,
    /// Servers that were compared.
    pub candidates: u32,
}

/// Output of [`super::Dispatcher::step`].
#[value]
pub enum DispatchOutput {
    /// Send the request to a backend server.
    Assign {
        /// Number of the request.
        number: WorkNumber,
        /// Backend server that answers the request.
        engine: EngineTag,
        /// Additional engines that prefill parts of the prompt.
        helpers: Vec<PrefillHelper>,
        /// Time to wait for the first event before another server may be tried.
        first_event_timeout: Duration,
        /// Longest gap between events before another server may be tried.
        gap_timeout: Duration,
        /// Estimates behind the choice, for the log.
        reason: PlacementReason,
    },
    /// Refuse the request; it was not sent to any server.
    Refuse {
        /// Number of the request.
        number: WorkNumber,
        /// Reason given to the caller.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Whether only servers that limit the rate of requests were left.
        is_limited: bool,
    },
    /// Request permits for a limited server from their issuer or its substitute.
    RequestPermits(PermitRequest),
    /// A backend server announced that it leaves; its idle connections should be closed.
    ServerLeaving(EngineTag),
    /// A backend server asked for a pause in requests from this host.
    ServerPaused {
        /// Server that asked for the pause.
        engine: EngineTag,
        /// End of the pause.
        until: Time,
    },
    /// The rate of requests that a backend server takes from all hosts together changed.
    ServerLimited {
        /// Server that named the limit.
        engine: EngineTag,
        /// The limit; `None` if the server no longer names one.
        rate: Option<RequestRate>,
        /// Whether a peer reported it.
        is_reported: bool,
    },
    /// A backend server is no longer registered; its connections should be closed.
    ServerGone(EngineTag),
    /// A backend server was added, is leaving or has restarted.
    ServerChanged(EngineTag),
    /// An engine became cold or warm.
    ColdChanged {
        /// What changed.
        change: ColdChange,
        /// Whether the engine stated it to this host, which then tells its peers at once.
        is_stated: bool,
    },
}
