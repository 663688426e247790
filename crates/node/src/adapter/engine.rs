//! Model engines over HTTP: streams as lines of JSON.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_lite::AsyncBufReadExt;
use http_types::{Method, Response, StatusCode};
use parsley_core::{
    order::{OrderAction, OrderResult, RoleOrder},
    placement::CacheEvent,
    request::ListedStream,
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    error::NodeError,
    http::{self, with_timeout},
};

/// Time within which an engine answers a request's head.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// Silence after which a stream's connection counts as broken; engines send a keep-alive line
/// every 500 ms.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// What an engine is asked to generate.
pub struct EngineOrder {
    /// Stream id.
    pub stream: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Position of the first token.
    pub offset: u64,
    /// Position after the last token.
    pub max_tokens: u64,
    /// Lower is more urgent.
    pub priority: u8,
    /// Host that answers for the stream.
    pub owner: Arc<str>,
    /// Time left until the final answer is due.
    pub time_left: Duration,
}

/// How an engine answers a submission or an attachment.
pub enum EngineAnswer {
    /// Tokens follow.
    Stream(Box<EngineStream>),
    /// Not taken for lack of memory; it was not run.
    NoMemory,
    /// The stream is unknown, or the engine does not take it; it was not run.
    Refused,
}

/// A part of an engine's stream.
pub enum EngineEvent {
    /// Tokens.
    Chunk {
        /// Position of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Text.
        text: String,
    },
    /// Nothing new; the connection is alive.
    KeepAlive,
    /// The stream ended: complete or cancelled.
    End {
        /// Whether all tokens were generated.
        complete: bool,
    },
}

/// An open stream.
pub struct EngineStream {
    body: Response,
    line: String,
}

#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    o: u64,
    #[serde(default)]
    t: String,
    #[serde(default)]
    n: u64,
    #[serde(default)]
    end: Option<String>,
}

/// Submits a stream; a repeated submission of the same stream id attaches to it.
pub async fn submit(address: &str, order: &EngineOrder) -> Result<EngineAnswer, NodeError> {
    let body = json!({
        "stream": order.stream, "model": order.model, "prompt": order.prompt,
        "offset": order.offset, "max_tokens": order.max_tokens, "priority": order.priority,
        "owner": order.owner, "time_left_ms": order.time_left.as_millis() as u64,
    });
    let body = Some(body.to_string());
    let response = http::send(address, Method::Post, "/streams", body, HEAD_LIMIT).await?;
    Ok(answer(response))
}

/// A part of a prompt that a member of a group processes.
pub struct GroupPart<'a> {
    /// Group, whose reservation holds the memory.
    pub group: &'a str,
    /// State exported by the member before.
    pub import: Option<&'a str>,
}

/// Submits a part of a prompt to a member of a group.
pub async fn submit_part(
    address: &str,
    order: &EngineOrder,
    part: &GroupPart<'_>,
) -> Result<EngineAnswer, NodeError> {
    let body = json!({
        "stream": order.stream, "model": order.model, "prompt": order.prompt,
        "offset": order.offset, "max_tokens": order.max_tokens, "priority": order.priority,
        "owner": order.owner, "time_left_ms": order.time_left.as_millis() as u64,
        "group": part.group, "import": part.import,
    });
    let body = Some(body.to_string());
    let response = http::send(address, Method::Post, "/streams", body, HEAD_LIMIT).await?;
    Ok(answer(response))
}

/// Exports the KV state of a stream that processed its prompt.
pub async fn export(address: &str, stream: &str) -> Result<String, NodeError> {
    let path = format!("/streams/{stream}/state");
    let mut response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Err(NodeError::Protocol("engine does not know the stream"));
    }
    let state = async { response.body_json().await.map_err(|_| NodeError::Protocol("bad state")) };
    with_timeout(HEAD_LIMIT, state).await
}

/// Reserves memory for a group, or renews the reservation. Returns whether it was granted.
pub async fn reserve(
    address: &str,
    group: &str,
    tokens: u64,
    term: Duration,
) -> Result<bool, NodeError> {
    let body = json!({"group": group, "tokens": tokens, "term_ms": term.as_millis() as u64});
    let body = Some(body.to_string());
    let response = http::send(address, Method::Post, "/reservations", body, HEAD_LIMIT).await?;
    Ok(response.status() == StatusCode::Ok)
}

/// Gives a reservation back. An unknown one counts as given back.
pub async fn release(address: &str, group: &str) -> Result<(), NodeError> {
    let path = format!("/reservations/{group}");
    http::send(address, Method::Delete, &path, None, HEAD_LIMIT).await?;
    Ok(())
}

/// Attaches to a stream at a position. The owner answers for the stream from now on.
pub async fn attach(
    address: &str,
    stream: &str,
    offset: u64,
    owner: &str,
) -> Result<EngineAnswer, NodeError> {
    let path = format!("/streams/{stream}?offset={offset}&owner={owner}");
    let response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    Ok(answer(response))
}

/// Cancels a stream if the owner still answers for it. An unknown stream, or one that another
/// host took over, counts as cancelled.
pub async fn cancel(address: &str, stream: &str, owner: &str) -> Result<(), NodeError> {
    let path = format!("/streams/{stream}?owner={owner}");
    http::send(address, Method::Delete, &path, None, HEAD_LIMIT).await?;
    Ok(())
}

#[derive(Deserialize)]
struct StreamList {
    streams: Vec<ListLine>,
}

#[derive(Deserialize)]
struct ListLine {
    stream: Arc<str>,
    finished: bool,
    owner: Arc<str>,
    overdue: bool,
    followed: bool,
}

/// The streams that hold memory on an engine.
pub async fn list(address: &str) -> Result<Vec<ListedStream>, NodeError> {
    let list = async {
        let mut response =
            http::send(address, Method::Get, "/streams?open=1", None, HEAD_LIMIT).await?;
        Ok(response.body_json::<StreamList>().await?)
    };
    let list = with_timeout(HEAD_LIMIT, list).await?;
    let open = list.streams.into_iter().filter(|line| !line.finished);
    Ok(open
        .map(|line| ListedStream {
            stream: line.stream,
            owner: line.owner,
            is_overdue: line.overdue,
            is_followed: line.followed,
        })
        .collect())
}

fn answer(response: Response) -> EngineAnswer {
    match response.status() {
        StatusCode::Ok => {
            EngineAnswer::Stream(Box::new(EngineStream { body: response, line: String::new() }))
        }
        StatusCode::Conflict => EngineAnswer::NoMemory,
        _ => EngineAnswer::Refused,
    }
}

impl EngineStream {
    /// The next part. A silent or broken connection is an error.
    pub async fn next(&mut self) -> Result<EngineEvent, NodeError> {
        self.line.clear();
        let read = async { Ok(self.body.read_line(&mut self.line).await?) };
        if with_timeout(SILENCE_LIMIT, read).await? == 0 {
            return Err(NodeError::Protocol("engine closed the stream"));
        }
        let line: Line = serde_json::from_str(&self.line)
            .map_err(|_| NodeError::Protocol("engine sent a malformed line"))?;
        Ok(match line {
            Line { end: Some(end), .. } => EngineEvent::End { complete: end == "stop" },
            Line { n: 0, .. } => EngineEvent::KeepAlive,
            Line { o, t, n, .. } => EngineEvent::Chunk { offset: o, tokens: n, text: t },
        })
    }
}

/// An engine's load report, which lags behind.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// KV cache memory in use, in tokens.
    pub held_tokens: u64,
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Models loaded, if the engine tells.
    pub models: Option<BTreeSet<Arc<str>>>,
}

/// Reads the load report.
pub async fn load(address: &str) -> Result<LoadReport, NodeError> {
    let mut response = http::send(address, Method::Get, "/load", None, HEAD_LIMIT).await?;
    Ok(response.body_json().await?)
}

#[derive(Deserialize)]
struct CacheLine {
    sequence: u64,
    #[serde(default)]
    added: Vec<u64>,
    #[serde(default)]
    removed: Vec<u64>,
}

/// Reads the cache events after a number. Events come late, and old ones are no longer listed.
pub async fn cache_events(address: &str, after: u64) -> Result<Vec<CacheEvent>, NodeError> {
    let path = format!("/cache?after={after}");
    let mut response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Ok(Vec::new());
    }
    let lines: Vec<CacheLine> = response.body_json().await?;
    let event = |line: CacheLine| CacheEvent {
        sequence: line.sequence,
        added: line.added,
        removed: line.removed,
    };
    Ok(lines.into_iter().map(event).collect())
}

/// Sends an order. An engine that checks the fencing number refuses an old one.
pub async fn order(address: &str, order: &RoleOrder) -> Result<OrderResult, NodeError> {
    let (action, model) = match &order.action {
        OrderAction::Load(model) => ("load", model),
        OrderAction::Unload(model) => ("unload", model),
    };
    let body = json!({"fencing": order.fencing, "action": action, "model": model}).to_string();
    let response = http::send(address, Method::Post, "/orders", Some(body), HEAD_LIMIT).await?;
    Ok(match response.status() {
        StatusCode::Ok | StatusCode::Accepted => OrderResult::Taken,
        StatusCode::PreconditionFailed => OrderResult::Fenced,
        _ => OrderResult::Failed,
    })
}
