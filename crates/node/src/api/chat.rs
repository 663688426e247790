//! `POST /v1/chat/completions`: a prompt in, an answer out, whole or as server-sent events.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use parsley_core::{
    refusal::{Reason, Refusal},
    token::ContinuationToken,
};
use serde::Deserialize;
use serde_json::json;

use super::{gate, problem::problem_body};
use crate::{
    carrier::{self, PlacedStream},
    host::{HostRef, RequestGuard},
    http::ChannelReader,
    metrics::FirstTokenMeter,
    peer::{
        frame::{RequestOrder, StreamEvent},
        link::unix_ms,
    },
};

/// Time between two comments that keep a stream's connection alive.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Tokens generated when the caller sets no limit.
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

/// Answers a request for a completion.
pub async fn complete(host: &HostRef, mut request: Request) -> Result<Response, Refusal> {
    let account = super::access::account(host, &request)?;
    let body: ChatBody = request.body_json().await.map_err(|err| bad_request(&err.to_string()))?;
    let order = order(host, &request, account, &body)?;
    let (order, placed) = continuation(host, &request, order)?;
    let guard = host.open_request();
    let meter = FirstTokenMeter::start(&order.rank, order.prompt.len());
    let call = ChatCall { host: host.clone(), order: order.clone(), guard, meter };
    let events = carrier::start(host, order, placed);
    match first_event(&events).await? {
        StreamEvent::Refused(refusal) => Err(refusal),
        _ if body.stream => Ok(call.stream(events)),
        _ => call.collect(events).await,
    }
}

fn order(
    host: &HostRef,
    request: &Request,
    account: Arc<str>,
    body: &ChatBody,
) -> Result<RequestOrder, Refusal> {
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let mut state = host.state.borrow_mut();
    let made = format!("{:016x}{:016x}", state.rng.u64(..), state.rng.u64(..));
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
        let wanted = text.parse().map_err(|_| bad_request("Parsley-Deadline-Ms: not a number"))?;
        time_left = time_left.min(Duration::from_millis(wanted));
    }
    let lines = body.messages.iter().map(|line| format!("{}: {}\n", line.role, line.content));
    Ok(RequestOrder {
        request: header("request-id").map_or_else(|| made.into(), Arc::from),
        account,
        rank: rank.clone(),
        model: body.model.clone(),
        prompt: lines.collect::<String>().into(),
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        time_left,
        offset: 0,
        attempt: 1,
    })
}

/// Where to go on, if the caller presents a continuation token and the last position it has.
fn continuation(
    host: &HostRef,
    request: &Request,
    mut order: RequestOrder,
) -> Result<(RequestOrder, Option<PlacedStream>), Refusal> {
    let Some(text) = request.header("parsley-continuation") else { return Ok((order, None)) };
    let forbidden = || Refusal::not_run(Reason::Forbidden, "the continuation token is not valid");
    let token = host.signer.check(text.as_str(), unix_ms()).ok_or_else(forbidden)?;
    if token.account != order.account {
        return Err(forbidden());
    }
    if let Some(position) = request.header("last-event-id") {
        let position: u64 =
            position.as_str().parse().map_err(|_| bad_request("Last-Event-ID: not a number"))?;
        order.offset = position;
    }
    order.request = token.request;
    order.attempt = token.attempt;
    Ok((order, Some(PlacedStream { engine: token.engine, stream: token.stream })))
}

async fn first_event(events: &Receiver<StreamEvent>) -> Result<StreamEvent, Refusal> {
    events.recv().await.map_err(|_| Refusal::ran(Reason::EngineFailed, "the request was dropped"))
}

/// An admitted request and what is needed to answer it.
struct ChatCall {
    host: HostRef,
    order: RequestOrder,
    guard: RequestGuard,
    meter: FirstTokenMeter,
}

impl ChatCall {
    async fn collect(self, events: Receiver<StreamEvent>) -> Result<Response, Refusal> {
        let mut answer = String::new();
        loop {
            match first_event(&events).await? {
                StreamEvent::Chunk { text, .. } => {
                    self.meter.chunk(&self.host.metrics);
                    answer.push_str(&text);
                }
                StreamEvent::Refused(refusal) => return Err(refusal),
                StreamEvent::Finished => break,
                _ => {}
            }
        }
        let message = json!({"role": "assistant", "content": answer});
        let body = json!({
            "id": self.order.request, "object": "chat.completion", "model": self.order.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        });
        let mut response = super::json_answer(&body);
        response.insert_header("request-id", &*self.order.request);
        drop(self.guard);
        Ok(response)
    }

    fn stream(self, events: Receiver<StreamEvent>) -> Response {
        let (blocks, reader) = async_channel::bounded(64);
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("request-id", &*self.order.request);
        response.set_body(Body::from_reader(ChannelReader::new(reader), None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-store");
        let host = self.host.clone();
        host.spawn(self.write_events(events, blocks));
        response
    }

    async fn write_events(self, events: Receiver<StreamEvent>, blocks: Sender<Vec<u8>>) {
        loop {
            let next = async { events.recv().await.ok() };
            let keep_alive = async {
                Timer::after(KEEP_ALIVE).await;
                Some(StreamEvent::Accepted)
            };
            let Some(event) = next.or(keep_alive).await else { return };
            let is_final = matches!(event, StreamEvent::Finished | StreamEvent::Refused(_));
            if blocks.send(self.render(event).into_bytes()).await.is_err() || is_final {
                return;
            }
        }
    }

    fn render(&self, event: StreamEvent) -> String {
        match event {
            StreamEvent::Accepted | StreamEvent::Moved => ": keep-alive\n\n".to_owned(),
            StreamEvent::Started { engine, stream, attempt } => {
                let token = self.host.signer.sign(&self.token(engine, stream, attempt));
                format!("event: continuation\ndata: {token}\n\n")
            }
            StreamEvent::Chunk { offset, tokens, text } => {
                self.meter.chunk(&self.host.metrics);
                let delta = json!({
                    "id": self.order.request, "object": "chat.completion.chunk",
                    "model": self.order.model,
                    "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
                });
                format!("id: {}\ndata: {delta}\n\n", offset + tokens)
            }
            StreamEvent::Finished => "data: [DONE]\n\n".to_owned(),
            StreamEvent::Refused(refusal) => {
                // The head of the answer is gone, so the refusal was not recorded with it.
                gate::record(&self.host, gate::CHAT, &refusal);
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
            expires_ms: unix_ms().saturating_add(left),
        }
    }
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
