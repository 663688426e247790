//! Request that is being served, and its placement.

use std::{cell::Cell, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, body::Bytes};
use parsley_core::{
    catalog::{ExecutionPolicy, ServingRoute},
    dispatch::DispatchInput,
    fleet::{EngineTag, hash_name},
    quarantine::PartTag,
    refusal::{Reason, Refusal},
    time::Time,
    work::{AccountTag, WorkDemand, WorkNumber},
};

use super::{
    GatewayRef, Placement,
    body::ResponseBody,
    clock::{self, with_timeout},
    edge::RequestInfo,
    receive::RequestMemory,
};

/// Placement of a copy, or the dispatcher's refusal.
pub type PlacementResult = Result<Placement, Refusal>;

/// Request that is being served.
pub struct Exchange {
    pub gateway: GatewayRef,
    pub number: WorkNumber,
    pub id: Arc<str>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory of the body and of the request's buffers.
    pub(super) _held: RequestMemory,
    pub info: RequestInfo,
    /// What engines may crash on: the shared parts of the prompt, then the fingerprint.
    pub(super) suspects: Vec<PartTag>,
    pub account: Option<Arc<str>>,
    pub route: Arc<ServingRoute>,
    pub service: Arc<str>,
    pub priority: u8,
    pub arrived: Time,
    /// Arrival time plus the shorter of the caller's and the route's timeout.
    pub deadline: Time,
    /// Channel for the response.
    pub reply: Sender<Response<ResponseBody>>,
}

/// Progress of a request, shared with the code that logs its end.
#[derive(Default)]
pub struct RequestProgress {
    pub attempts: Cell<u32>,
    pub first_part: Cell<Option<Time>>,
    pub prompt_tokens: Cell<u32>,
    /// Whether a server may have run the request.
    pub may_have_run: Cell<bool>,
    /// Work of the request's hedge, to be ended with the request.
    pub hedge: Cell<Option<WorkNumber>>,
    /// Whether the head of a streamed response was given to the caller.
    pub has_started: Cell<bool>,
}

/// Result of a request.
pub enum RequestEnd {
    /// The caller got a server's response.
    Answered(StatusCode),
    /// The gateway responds with a refusal.
    Refused(Refusal),
    /// The response had started and was cut off.
    Interrupted(Refusal),
}

impl Exchange {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Tag that is the same for requests of the same caller with the same target and body.
    pub fn fingerprint(&self) -> PartTag {
        self.suspects.last().copied().unwrap_or(PartTag(0))
    }

    /// Sends a whole response to the caller.
    pub fn answer(&self, progress: &RequestProgress, response: Response<ResponseBody>) {
        progress.first_part.set(Some(clock::now()));
        // Fails only if the caller has left; it needs no response then.
        let _ = self.reply.try_send(response);
    }

    /// Whether the request may be executed again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route.execution == ExecutionPolicy::Idempotent
    }

    /// Whether a server that was not tried could take the request at once.
    pub fn has_place_elsewhere(&self, tried: &[EngineTag]) -> bool {
        let times = (self.arrived, self.deadline);
        let demand = self.work_demand();
        let dispatcher = &mut self.gateway.state.borrow_mut().dispatcher;
        dispatcher.has_place(clock::now(), &self.service, &demand, times, tried)
    }

    /// Resources and latency targets of the request.
    pub fn work_demand(&self) -> WorkDemand {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let account = self.account.as_deref().map_or(0, |name| hash_name(name) as u32);
        WorkDemand {
            account: AccountTag(account),
            service: hash_name(&self.service),
            prompt_tokens: self.info.prompt_tokens,
            answer_tokens: self.info.max_output_tokens,
            first_event_target_ms: millis(self.route.first_event_target),
            gap_target_ms: self.route.gap_target.map_or(0, millis),
            priority: self.priority,
        }
    }

    /// Submits a copy of the request for a placement, which arrives on the returned channel.
    pub fn submit(&self, number: WorkNumber, excluded: &[EngineTag]) -> Receiver<PlacementResult> {
        let (sender, receiver) = async_channel::bounded(1);
        self.gateway.state.borrow_mut().waiters.insert(number, sender);
        self.gateway.dispatch(DispatchInput::Submit {
            number,
            service: self.service.clone(),
            demand: self.work_demand(),
            arrived: self.arrived,
            deadline: self.deadline,
            excluded: excluded.to_vec(),
        });
        receiver
    }

    /// Waits for a placement until the deadline.
    pub async fn wait_for_placement(&self, excluded: &[EngineTag]) -> PlacementResult {
        let receiver = self.submit(self.number, excluded);
        let timeout_refusal =
            Refusal::not_run(Reason::DeadlineExceeded, "no server was free in time");
        with_timeout(self.time_left(), receiver.recv())
            .await
            .and_then(Result::ok)
            .unwrap_or(Err(timeout_refusal))
    }
}
