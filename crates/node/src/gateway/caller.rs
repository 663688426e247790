//! Caller's side of a request, from its headers to the end of its response.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue},
    http::uri::PathAndQuery,
};
use parsley_core::{
    catalog::{RouteDecision, ServingRoute},
    dispatch::DispatchInput,
    evidence::ConfigTrust,
    quarantine::{PART_LIMIT, PartTag},
    refusal::{Reason, Refusal},
    retry::RetryBudget,
    time::Time,
    work::WorkNumber,
};

use super::{
    CONFIG_UNAVAILABLE, Gateway, GatewayRef,
    body::ResponseBody,
    clock::{self, with_timeout},
    edge::RequestInfo,
    exchange::{Exchange, RequestEnd, RequestProgress},
    metrics::GatewayMetrics,
    receive::receive_request,
    refuse::{refusal_response, status_of},
};
use crate::event;

/// Timeout of callers that name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest request body, in bytes, whatever the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Logged in place of the id for requests that carry none.
const MISSING_ID: &str = "none";

/// Serves a request and sets its deadline once that is known. When the caller leaves, hyper drops
/// this future or the response body, and with it the sender that keeps the request's task running.
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
    for number in [Some(number), progress.hedge.get()].into_iter().flatten() {
        gateway.dispatch(DispatchInput::RequestEnded(number));
        gateway.state.borrow_mut().waiters.remove(&number);
    }
    gateway.open_requests.set(gateway.open_requests.get() - 1);
    finish_request(&gateway, &id, arrived, &progress, end, reply);
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
        let budget = state
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limit, gateway.started));
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
    let receiving = receive_request(gateway, body, limit, (priority, route.is_stream));
    let read = with_timeout(timeout, receiving).await;
    let (body, held) = read.unwrap_or_else(|| {
        Err(Refusal::not_run(Reason::ReceiveTimeout, "the body came too slowly"))
    })?;
    let fingerprint = fingerprint(&parts, account.as_deref(), &body);
    let suspects = info.shared_parts.iter().copied().take(PART_LIMIT - 1);
    let suspects = suspects.chain([fingerprint]).collect();
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
        suspects,
        account,
        route,
        service,
        priority,
        arrived,
        deadline: arrived + timeout,
        reply: reply.clone(),
    })
}

/// Hash of a request's caller, target and body. Ids and deadlines differ with each attempt.
fn fingerprint(parts: &hyper::http::request::Parts, account: Option<&str>, body: &[u8]) -> PartTag {
    let host = parts.headers.get(HOST).map(HeaderValue::as_bytes).unwrap_or_default();
    let target = parts.uri.path_and_query().map(PathAndQuery::as_str).unwrap_or_default();
    let account = account.unwrap_or_default().as_bytes();
    PartTag::of_request(&[parts.method.as_str().as_bytes(), host, target.as_bytes(), account, body])
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
