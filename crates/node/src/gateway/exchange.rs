//! Lifecycle of one request, from its headers to the end of its response.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Bytes, Incoming},
    header::HOST,
};
use parsley_core::{
    catalog::{ExecutionPolicy, RouteDecision, ServingRoute},
    dispatch::DispatchInput,
    evidence::ConfigTrust,
    fleet::{EngineTag, hash_name},
    refusal::{Outcome, Reason, Refusal},
    retry::RetryBudget,
    time::Time,
    work::{AccountTag, WorkDemand, WorkNumber},
};

use super::{
    CONFIG_UNAVAILABLE, Gateway, GatewayRef, Placement,
    attempt::{self, AttemptEnd, CallerStream},
    body::ResponseBody,
    clock,
    edge::RequestInfo,
    listener::with_timeout,
    metrics::GatewayMetrics,
    receive::{RequestMemory, receive_request},
    refuse::{refusal_response, status_of},
    retry::RetryPermit,
};
use crate::event;

/// `Retry-After` when no further server may be tried.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Timeout of callers that name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest request body, in bytes, whatever the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Placements of one request before it fails.
const MAX_PLACEMENTS: u32 = 6;
/// Logged in place of the id for requests that carry none.
const MISSING_ID: &str = "none";

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
    _held: RequestMemory,
    pub info: RequestInfo,
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

/// Serves a request and sets its deadline once that is known. When the caller leaves, hyper drops this future or the response body, and with
/// it the sender that keeps the request's task running.
pub async fn serve(
    gateway: &GatewayRef,
    request: Request<Incoming>,
    deadline: Rc<Cell<Time>>,
) -> Response<ResponseBody> {
    let (reply, receiver) = async_channel::bounded(1);
    let (alive, left) = async_channel::bounded::<()>(1);
    // The task holds a weak sender, so that only the caller's side keeps it alive.
    let task = run(gateway.clone(), request, deadline, reply, left, alive.downgrade());
    gateway.spawn(task);
    let response = receiver.recv().await;
    drop(alive);
    response.unwrap_or_else(|_| {
        refusal_response(gateway, &Refusal::ran(Reason::EngineFailed, "the request's task ended"))
    })
}

async fn run(
    gateway: GatewayRef,
    request: Request<Incoming>,
    deadline: Rc<Cell<Time>>,
    reply: Sender<Response<ResponseBody>>,
    left: Receiver<()>,
    alive: async_channel::WeakSender<()>,
) {
    let arrived = clock::now();
    gateway.open_requests.set(gateway.open_requests.get() + 1);
    let number = gateway.allocate_number();
    let (parts, body) = request.into_parts();
    let info = (gateway.codec.read_request_headers)(&parts.headers);
    let id = info.id.clone().unwrap_or_else(|| MISSING_ID.into());
    let progress = RequestProgress::default();
    let work = async {
        let end = match admit(&gateway, number, arrived, parts, info, body, &reply).await {
            Ok(exchange) => {
                deadline.set(exchange.deadline);
                exchange.run_attempts(&progress, &alive).await
            }
            Err(refusal) => RequestEnd::Refused(refusal),
        };
        Some(end)
    };
    let caller_left = async {
        // Nothing is sent on this channel; it closes when the caller leaves.
        let _ = left.recv().await;
        None
    };
    let drain_over = async {
        // Nothing is sent on this channel; it closes when the host abandons its open requests.
        let _ = gateway.drain_over.1.recv().await;
        Some(gateway.abandoned_end(&progress))
    };
    let end = work.or(drain_over).or(caller_left).await;
    gateway.dispatch(DispatchInput::RequestEnded(number));
    gateway.state.borrow_mut().waiters.remove(&number);
    gateway.open_requests.set(gateway.open_requests.get() - 1);
    finish_request(&gateway, &id, arrived, &progress, end, reply);
}

/// Progress of a request, shared with the code that logs its end.
#[derive(Default)]
pub struct RequestProgress {
    pub attempts: Cell<u32>,
    pub first_part: Cell<Option<Time>>,
    pub prompt_tokens: Cell<u32>,
    /// Whether a server may have run the request.
    pub may_have_run: Cell<bool>,
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

fn finish_request(
    gateway: &Gateway,
    id: &str,
    arrived: Time,
    progress: &RequestProgress,
    end: Option<RequestEnd>,
    reply: Sender<Response<ResponseBody>>,
) {
    let now = clock::now();
    let total_ms = now.since(arrived).as_millis() as u64;
    let attempts = progress.attempts.get();
    let failed = |refusal: &Refusal, status: u16| {
        let config = gateway.config_facts(now);
        gateway.metrics.count_request(refusal.outcome.name(), Some(refusal.reason));
        if gateway.log_budget.may_write(now, true) {
            event!(gateway.log, REQUEST_FAILED, "request" => id,
                "reason" => refusal.reason.name(), "outcome" => refusal.outcome.name(),
                "status" => status, "attempts" => attempts, "total_ms" => total_ms,
                "config" => config.version, "config_age_ms" => config.age_ms,
                "config_proof" => config.proof, "newest_config" => config.newest, "detail" => &*refusal.detail);
        }
    };
    match end {
        Some(RequestEnd::Answered(status)) => {
            let first = progress.first_part.get().map(|at| at.since(arrived));
            if let Some(first) = first {
                let size = GatewayMetrics::prompt_class(progress.prompt_tokens.get());
                let histogram = gateway.metrics.first_part.with_label_values(&[size]);
                histogram.observe(first.as_secs_f64());
            }
            gateway.metrics.count_request("answered", None);
            if gateway.log_budget.may_write(now, false) {
                event!(gateway.log, REQUEST_ENDED, "request" => id, "outcome" => "answered",
                    "status" => status.as_u16(), "attempts" => attempts,
                    "first_ms" => first.map_or(total_ms, |first| first.as_millis() as u64),
                    "total_ms" => total_ms);
            }
        }
        Some(RequestEnd::Refused(refusal)) => {
            failed(&refusal, status_of(&refusal).as_u16());
            // Fails only if the caller has left; it needs no response then.
            let _ = reply.try_send(refusal_response(gateway, &refusal));
        }
        Some(RequestEnd::Interrupted(refusal)) => failed(&refusal, StatusCode::OK.as_u16()),
        None => {
            gateway.metrics.count_request("left", None);
            if gateway.log_budget.may_write(now, false) {
                event!(gateway.log, CALLER_DISCONNECTED, "request" => id, "attempts" => attempts,
                    "total_ms" => total_ms);
            }
        }
    }
}

/// Resolves the route and service, counts the request towards the retry budget and reads the body.
async fn admit(
    gateway: &GatewayRef,
    number: WorkNumber,
    arrived: Time,
    parts: hyper::http::request::Parts,
    info: RequestInfo,
    body: Incoming,
    reply: &Sender<Response<ResponseBody>>,
) -> Result<Exchange, Refusal> {
    let id = info.id.clone().unwrap_or_else(|| MISSING_ID.into());
    let (route, account, priority, limit, version) = resolve_route(gateway, &parts, &info)?;
    let service = {
        let state = &mut *gateway.state.borrow_mut();
        let drawn = route.draw_service(&mut state.rng).cloned();
        let service = drawn
            .ok_or_else(|| Refusal::not_run(Reason::NoEngine, "the route names no service"))?;
        let limit = gateway.settings.retry.clone();
        let budget =
            state.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limit));
        budget.record_request(arrived);
        service
    };
    let timeout = info.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    if gateway.log_budget.may_write(arrived, false) {
        let config = gateway.config_facts(arrived);
        event!(gateway.log, REQUEST_ARRIVED, "request" => &*id, "route" => &*route.name,
            "account" => account.as_deref().unwrap_or_default(), "priority" => priority,
            "prompt" => info.prompt_tokens, "patience_ms" => timeout.as_millis() as u64,
            "config" => version,
            "config_age_ms" => config.age_ms, "config_proof" => config.proof);
    }
    let read =
        with_timeout(timeout, receive_request(gateway, body, limit, (priority, route.is_stream)))
            .await;
    let (body, held) = read.unwrap_or_else(|| {
        Err(Refusal::not_run(Reason::ReceiveTimeout, "the body came too slowly"))
    })?;
    Ok(Exchange {
        gateway: gateway.clone(),
        number,
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        _held: held,
        info,
        account,
        route,
        service,
        priority,
        arrived,
        deadline: arrived + timeout,
        reply: reply.clone(),
    })
}

type ResolvedRoute = (Arc<ServingRoute>, Option<Arc<str>>, u8, usize, u64);

fn resolve_route(
    gateway: &Gateway,
    parts: &hyper::http::request::Parts,
    info: &RequestInfo,
) -> Result<ResolvedRoute, Refusal> {
    let retry = gateway.peer_retry_after();
    let state = gateway.state.borrow();
    let Some(catalog) = &state.catalog else {
        let refusal = Refusal::not_run(CONFIG_UNAVAILABLE, "this host knows no configuration yet");
        return Err(refusal.retry_after(retry));
    };
    if state.dispatcher.drain_end().is_some_and(|end| end <= clock::now()) {
        let refusal = Refusal::not_run(Reason::Draining, "this host stops");
        return Err(refusal.retry_after(retry));
    }
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let decision = catalog.resolve(host, parts.uri.path(), info.api_key.as_deref());
    let is_allowed = matches!(decision, RouteDecision::Serve { .. });
    let may_decide = match state.trust(clock::now()) {
        ConfigTrust::Full => true,
        ConfigTrust::Allowed => is_allowed,
        ConfigTrust::Keyless => is_allowed && info.api_key.is_none(),
        ConfigTrust::Nothing => false,
    };
    if !may_decide {
        let refusal = Refusal::not_run(CONFIG_UNAVAILABLE, "the configuration here may be old");
        return Err(refusal.retry_after(retry));
    }
    match decision {
        RouteDecision::Serve { route, account, priority } => Ok((
            route,
            account,
            priority,
            catalog.limits().max_body_bytes.min(MAX_BODY_BYTES),
            catalog.version(),
        )),
        RouteDecision::NotFound => Err(Refusal::not_run(Reason::NotFound, "no route matches")),
        RouteDecision::Unauthenticated => {
            Err(Refusal::not_run(Reason::Unauthenticated, "the key is not known"))
        }
    }
}

impl Exchange {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
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

    fn work_demand(&self) -> WorkDemand {
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

    /// Waits for a placement until the deadline.
    async fn wait_for_placement(&self, excluded: &[EngineTag]) -> Result<Placement, Refusal> {
        let (sender, receiver) = async_channel::bounded(1);
        self.gateway.state.borrow_mut().waiters.insert(self.number, sender);
        self.gateway.dispatch(DispatchInput::Submit {
            number: self.number,
            service: self.service.clone(),
            demand: self.work_demand(),
            arrived: self.arrived,
            deadline: self.deadline,
            excluded: excluded.to_vec(),
        });
        let timeout_refusal =
            Refusal::not_run(Reason::DeadlineExceeded, "no server was free in time");
        with_timeout(self.time_left(), receiver.recv())
            .await
            .and_then(Result::ok)
            .unwrap_or(Err(timeout_refusal))
    }

    /// Sends the request to one server after the other until one answers or no retry is allowed.
    async fn run_attempts(
        self,
        progress: &RequestProgress,
        alive: &async_channel::WeakSender<()>,
    ) -> RequestEnd {
        let gateway = &self.gateway;
        let mut excluded: Vec<EngineTag> = Vec::new();
        let mut stream = CallerStream::new(self.info.last_event);
        let mut may_have_run = false;
        let mut fallback = None;
        progress.prompt_tokens.set(self.info.prompt_tokens);
        for placement_count in 1..=MAX_PLACEMENTS {
            if let Some(refusal) = gateway.quarantine_refusal(&self.info.shared_parts) {
                return self.fail(refusal, may_have_run, &stream, fallback);
            }
            let wait_start = clock::now();
            let placement = match self.wait_for_placement(&excluded).await {
                Ok(placement) => placement,
                Err(refusal) => return self.fail(refusal, may_have_run, &stream, fallback),
            };
            gateway.metrics.queue_wait.observe(clock::now().since(wait_start).as_secs_f64());
            let engine = placement.engine;
            let sends = progress.attempts.get();
            self.log_placement(&placement, sends + 1, wait_start);
            excluded.push(engine);
            let permit = RetryPermit {
                exchange: &self,
                tried: &excluded,
                may_retry: Cell::new(self.is_repeatable() && sends + 1 < self.route.max_attempts),
                is_granted: Cell::new(false),
                next_check: Cell::new(Time::ZERO),
            };
            let end = attempt::run(&self, &placement, &mut stream, progress, alive, &permit).await;
            let is_paid = permit.is_granted.get();
            let is_lost = matches!(end, AttemptEnd::ConnectionLost(_));
            let (fault, not_run) = match end {
                AttemptEnd::Answered(status) => return RequestEnd::Answered(status),
                AttemptEnd::ServerError(response) => {
                    may_have_run = true;
                    let fault = "the server answered with a failure";
                    fallback = Some(response);
                    (Arc::from(fault), false)
                }
                AttemptEnd::NotRun(fault) => (fault, true),
                AttemptEnd::HeldBack(fault) => {
                    // A server that still takes work may get it in the next placement.
                    excluded.pop();
                    (fault, true)
                }
                AttemptEnd::Unknown(fault) | AttemptEnd::ConnectionLost(fault) => {
                    may_have_run = true;
                    (fault, false)
                }
            };
            progress.may_have_run.set(may_have_run);
            if gateway.log_budget.may_write(clock::now(), true) {
                event!(gateway.log, ATTEMPT_FAILED, "request" => &*self.id, "server" => engine.0,
                    "attempt" => progress.attempts.get(), "fault" => &*fault,
                    "may_have_run" => !not_run, "events" => stream.events);
            }
            let was_sent = progress.attempts.get() > sends;
            let obstacle = match () {
                () if !not_run && !self.is_repeatable() => Some("it may run only once"),
                () if is_lost && gateway.is_suspect(&self.info.shared_parts) => {
                    Some("engines ended under a part of its prompt")
                }
                () if progress.attempts.get() >= self.route.max_attempts => {
                    Some("the route allows no further server")
                }
                () if placement_count >= MAX_PLACEMENTS => Some("too many servers were tried"),
                () if was_sent && !is_paid && !gateway.spend_retry(&self.service) => {
                    Some("the limit on repeats is reached")
                }
                () => None,
            };
            if let Some(obstacle) = obstacle {
                let reason = if not_run { Reason::Overloaded } else { Reason::EngineFailed };
                let detail = format!("{fault}; {obstacle}");
                let refusal = Refusal::not_run(reason, &detail).retry_after(SERVER_RETRY_AFTER);
                return self.fail(refusal, may_have_run, &stream, fallback);
            }
        }
        let refusal = Refusal::not_run(Reason::NoEngine, "every server turned the request away");
        self.fail(refusal, may_have_run, &stream, fallback)
    }

    fn fail(
        &self,
        mut refusal: Refusal,
        may_have_run: bool,
        stream: &CallerStream,
        fallback: Option<Response<ResponseBody>>,
    ) -> RequestEnd {
        if let Some(response) = fallback {
            let status = response.status();
            // Fails only if the caller has left; it needs no response then.
            let _ = self.reply.try_send(response);
            return RequestEnd::Answered(status);
        }
        if may_have_run {
            refusal.outcome = Outcome::Unknown;
            refusal.retry_after = None;
        }
        if self.time_left().is_zero() {
            refusal.reason = Reason::DeadlineExceeded;
        }
        if stream.has_started() {
            RequestEnd::Interrupted(refusal)
        } else {
            RequestEnd::Refused(refusal)
        }
    }

    fn log_placement(&self, placement: &Placement, attempt: u32, wait_start: Time) {
        let now = clock::now();
        if !self.gateway.log_budget.may_write(now, false) {
            return;
        }
        let reason = &placement.reason;
        let (revision, hosts) = {
            let state = self.gateway.state.borrow();
            let record = state.dispatcher.fleet.get(placement.engine);
            let revision = record.map_or(0, |record| record.entry.revision.number);
            (revision, state.roster.alive(now).count() + 1)
        };
        event!(self.gateway.log, REQUEST_PLACED, "request" => &*self.id,
            "server" => placement.engine.0, "attempt" => attempt,
            "helpers" => placement.helpers.len(),
            "waited_ms" => now.since(wait_start).as_millis() as u64,
            "first_ms" => reason.first_event_ms,
            "harmed" => reason.delayed, "failure_percent" => reason.failure_percent,
            "requests" => reason.requests, "weighed" => reason.candidates, "revision" => revision,
            "hosts" => hosts);
    }
}
