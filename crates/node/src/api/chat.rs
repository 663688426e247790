//! `POST /v1/chat/completions`: chat completions, as one response or as server-sent events.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use parsley_core::{
    record::{RecordOutput, RequestRecord},
    refusal::{Reason, Refusal},
    request::{PlacedStream, StreamEvent},
    token::ContinuationToken,
};
use serde::Deserialize;
use serde_json::json;

use super::{access, gate, problem::problem_body};
use crate::{
    carrier::{self, CarriedRequest},
    host::{HostRef, RequestGuard},
    http::ChannelReader,
    metrics::FirstTokenMeter,
    peer::{frame::RequestOrder, link::unix_ms},
    pool::stream::stream_id,
    records,
};

/// Interval of the comments that keep the connection of a stream without events alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a write may be blocked before the caller is considered disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

#[derive(Deserialize)]
struct ChatBody {
    model: Arc<str>,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Handles a request for a completion.
pub async fn complete(host: &HostRef, mut request: Request) -> Result<Response, Refusal> {
    let account = access::account(host, &request)?;
    let body: ChatBody = request.body_json().await.map_err(|err| bad_request(&err.to_string()))?;
    let order = build_order(host, &request, account, &body)?;
    let token = verify_continuation(host, &request, &order)?;
    let guard = host.open_request();
    let meter = FirstTokenMeter::start(&order.rank, order.prompt.len());
    let (order, placed, is_running) = record_request(host, order, token).await?;
    let carried = carrier::carry(host, order.clone(), placed, is_running);
    let call = ChatCall { host: host.clone(), order, guard, meter };
    match next_event(&carried).await? {
        StreamEvent::Refused(refusal) => Err(refusal),
        _ if body.stream => Ok(call.stream(carried)),
        _ => call.collect(carried).await,
    }
}

/// Records the request before it is dispatched.
///
/// Returns the order, the stream where the request runs or will run, and whether it may already be
/// running. A retry continues the stream that was recorded first.
async fn record_request(
    host: &HostRef,
    mut order: RequestOrder,
    token: Option<ContinuationToken>,
) -> Result<(RequestOrder, PlacedStream, bool), Refusal> {
    let placed = match &token {
        Some(token) => PlacedStream { engine: token.engine.clone(), stream: token.stream.clone() },
        None => {
            let no_engine = || Refusal::not_run(Reason::NoEngine, "no engine serves the model now");
            let engine = carrier::pick_engine(host, &order)
                .ok_or_else(|| no_engine().retry_after(Duration::from_secs(1)))?;
            PlacedStream { engine, stream: stream_id(&order.account, &order.request, 1) }
        }
    };
    if let Some(token) = &token {
        let left = Duration::from_millis(token.expires_ms.saturating_sub(unix_ms()));
        order.time_left = order.time_left.min(left);
        order.attempt = token.attempt;
        order.resume = token.resume + 1;
    }
    let max_tokens = order.max_tokens.to_string();
    let new_record = RequestRecord {
        name: records::name(&order.account, &order.request),
        body_hash: records::body_hash(&[&order.model, &order.prompt, &max_tokens]),
        placed: placed.clone(),
        attempt: order.attempt,
        resume: order.resume,
        time_left: order.time_left,
    };
    let body_hash = new_record.body_hash;
    let recorded = match records::open(host, new_record).await {
        Ok(RecordOutput::Opened { record, is_retry }) => Some((record, is_retry)),
        // A continuation token identifies the stream even if no record host answers.
        Err(_) if token.is_some() => None,
        Err(refusal) => return Err(refusal),
    };
    let Some((record, is_retry)) = recorded else { return Ok((order, placed, true)) };
    if record.body_hash != body_hash {
        let detail = "the request id was used with another body";
        return Err(Refusal::not_run(Reason::Conflict, detail));
    }
    if !is_retry {
        return Ok((order, placed, token.is_some()));
    }
    order.resume = order.resume.max(record.resume);
    order.attempt = order.attempt.max(record.attempt);
    order.time_left = order.time_left.min(record.time_left);
    Ok((order, record.placed, true))
}

/// Builds the order for a request from its headers, its body and the configuration.
///
/// Rejects models that do not exist and ranks that the account may not use.
fn build_order(
    host: &HostRef,
    request: &Request,
    account: Arc<str>,
    body: &ChatBody,
) -> Result<RequestOrder, Refusal> {
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let mut state = host.state.borrow_mut();
    let generated_id = format!("{:016x}{:016x}", state.rng.u64(..), state.rng.u64(..));
    let set = state.config.resources();
    if !set.models.contains_key(&body.model) {
        return Err(Refusal::not_run(Reason::NotFound, "no such model"));
    }
    let allowed = &set.accounts[&account].ranks;
    let rank = match header("parsley-rank") {
        None => allowed.first(),
        Some(name) => allowed.iter().find(|rank| ***rank == *name),
    };
    let forbidden = || Refusal::not_run(Reason::Forbidden, "the account may not use this rank");
    let rank = rank.ok_or_else(forbidden)?;
    let spec = set.ranks.get(rank).ok_or_else(forbidden)?;
    let mut time_left = Duration::from_millis(spec.finish_ms);
    if let Some(text) = header("parsley-deadline-ms") {
        let millis = text.parse().map_err(|_| bad_request("Parsley-Deadline-Ms: not a number"))?;
        time_left = time_left.min(Duration::from_millis(millis));
    }
    let lines = body.messages.iter().map(|line| format!("{}: {}\n", line.role, line.content));
    Ok(RequestOrder {
        request: header("request-id").map_or_else(|| generated_id.into(), Arc::from),
        account,
        rank: rank.clone(),
        model: body.model.clone(),
        prompt: lines.collect::<String>().into(),
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        time_left,
        offset: requested_offset(request)?,
        attempt: 1,
        entry: "".into(),
        resume: 1,
    })
}

/// Verifies the continuation token, if the request has one.
fn verify_continuation(
    host: &HostRef,
    request: &Request,
    order: &RequestOrder,
) -> Result<Option<ContinuationToken>, Refusal> {
    let Some(text) = request.header("parsley-continuation") else { return Ok(None) };
    let forbidden = || Refusal::not_run(Reason::Forbidden, "the continuation token is not valid");
    let token = host.signer.check(text.as_str(), unix_ms()).ok_or_else(forbidden)?;
    // The token names a stream. Accepted for another request or account, it would disclose that
    // stream's answer.
    let is_same_request = token.account == order.account
        && token.request == order.request
        && token.model == order.model;
    is_same_request.then_some(token).ok_or_else(forbidden).map(Some)
}

/// Returns the token offset from which the caller wants the answer, zero for the whole answer.
fn requested_offset(request: &Request) -> Result<u64, Refusal> {
    let Some(offset) = request.header("last-event-id") else { return Ok(0) };
    offset.as_str().parse().map_err(|_| bad_request("Last-Event-ID: not a number"))
}

async fn next_event(carried: &CarriedRequest) -> Result<StreamEvent, Refusal> {
    let dropped = || Refusal::ran(Reason::EngineFailed, "the request was dropped");
    carried.next().await.ok_or_else(dropped)
}

/// An admitted request with the state needed to respond to it.
///
/// The guard counts the request as open until the response body has been written.
struct ChatCall {
    host: HostRef,
    order: RequestOrder,
    guard: RequestGuard,
    meter: FirstTokenMeter,
}

impl ChatCall {
    /// Collects the whole answer into one JSON response.
    async fn collect(self, carried: CarriedRequest) -> Result<Response, Refusal> {
        let mut answer = String::new();
        loop {
            match next_event(&carried).await? {
                StreamEvent::Chunk { text, .. } => {
                    self.meter.record_chunk(&self.host.metrics);
                    answer.push_str(&text);
                }
                StreamEvent::Refused(refusal) => return Err(refusal),
                StreamEvent::Finished { .. } => break,
                _ => {}
            }
        }
        let message = json!({"role": "assistant", "content": answer});
        let body = json!({
            "id": self.order.request, "object": "chat.completion", "model": self.order.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        });
        let bytes = body.to_string().into_bytes();
        let length = bytes.len();
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("request-id", &*self.order.request);
        let reader = ChannelReader::whole(bytes, self.guard);
        response.set_body(Body::from_reader(reader, Some(length)));
        response.insert_header("content-type", "application/json");
        Ok(response)
    }

    /// Starts a task that writes the answer as server-sent events, and returns the response head.
    fn stream(self, carried: CarriedRequest) -> Response {
        let ChatCall { host, order, guard, meter } = self;
        let (blocks, reader) = async_channel::bounded(64);
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("request-id", &*order.request);
        response.set_body(Body::from_reader(ChannelReader::new(reader, Some(guard)), None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-store");
        let stream = ChatStream { host: host.clone(), order, meter };
        host.spawn(stream.write_events(carried, blocks));
        response
    }
}

/// State of the task that writes a streamed answer.
struct ChatStream {
    host: HostRef,
    order: RequestOrder,
    meter: FirstTokenMeter,
}

impl ChatStream {
    /// Writes events until the final one, the end of the request or a blocked or closed connection.
    async fn write_events(self, carried: CarriedRequest, blocks: Sender<Vec<u8>>) {
        loop {
            let keep_alive = async {
                Timer::after(KEEP_ALIVE_INTERVAL).await;
                Some(StreamEvent::Accepted)
            };
            let Some(event) = carried.next().or(keep_alive).await else { return };
            let is_final = event.is_final();
            let block = self.render(event).into_bytes();
            let write = async { blocks.send(block).await.is_ok() };
            let timed_out = async {
                Timer::after(WRITE_TIMEOUT).await;
                false
            };
            if !write.or(timed_out).await || is_final {
                return;
            }
        }
    }

    /// Renders an event as one server-sent event or comment.
    fn render(&self, event: StreamEvent) -> String {
        match event {
            StreamEvent::Accepted | StreamEvent::Moved | StreamEvent::Retry { .. } => {
                ": keep-alive\n\n".to_owned()
            }
            StreamEvent::Started { engine, stream, attempt } => {
                let token = self.host.signer.sign(&self.token(engine, stream, attempt));
                format!("event: continuation\ndata: {token}\n\n")
            }
            StreamEvent::Chunk { offset, tokens, text } => {
                self.meter.record_chunk(&self.host.metrics);
                let delta = json!({
                    "id": self.order.request, "object": "chat.completion.chunk",
                    "model": self.order.model,
                    "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
                });
                format!("id: {}\ndata: {delta}\n\n", offset + tokens)
            }
            StreamEvent::Finished { .. } => "data: [DONE]\n\n".to_owned(),
            StreamEvent::Refused(refusal) => {
                // The response head was already sent, so this refusal is not recorded with the
                // response.
                gate::record_refusal(&self.host, gate::CHAT_GROUP, &refusal);
                format!("event: error\ndata: {}\n\n", problem_body(&refusal))
            }
        }
    }

    fn token(&self, engine: Arc<str>, stream: Arc<str>, attempt: u32) -> ContinuationToken {
        let left = u64::try_from(self.order.time_left.as_millis()).unwrap_or(u64::MAX);
        ContinuationToken {
            request: self.order.request.clone(),
            account: self.order.account.clone(),
            model: self.order.model.clone(),
            engine,
            stream,
            attempt,
            resume: self.order.resume,
            expires_ms: unix_ms().saturating_add(left),
        }
    }
}

pub(super) fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
