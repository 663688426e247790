//! HTTP client for model engines. Streams are sent as newline-delimited JSON.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Method, Response, StatusCode};
use parsley_core::{
    fleet::pause_in_seconds,
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

/// Time within which an engine must send the head of its answer.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// Time without a line after which a stream's connection is considered broken. Engines send a
/// keep-alive line every 500 ms.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Present with the value 1 if the engine is shutting down.
const LEAVING_FIELD: &str = "parsley-leaving";

/// A request to an engine to generate a stream of tokens.
pub struct EngineOrder {
    /// Stream id, unique on the engine.
    pub stream: Arc<str>,
    /// Name of the model to run.
    pub model: Arc<str>,
    /// Text of the prompt, or of the segment that this engine processes.
    pub prompt: Arc<str>,
    /// Position of the first token to send; zero sends the stream from its start.
    pub offset: u64,
    /// Position after the last token; zero processes the prompt without generating tokens.
    pub max_tokens: u64,
    /// Scheduling priority on the engine; zero is the most urgent.
    pub priority: u8,
    /// Host that owns the stream and is responsible for cancelling it.
    pub owner: Arc<str>,
    /// Time left until the final answer is due.
    pub time_left: Duration,
}

/// An engine's answer to a submission or an attachment.
pub enum EngineAnswer {
    /// Accepted; the stream's events follow.
    Stream(Box<EngineStream>),
    /// Rejected for lack of memory, without having run.
    NoMemory,
    /// Rejected, without having run, or the stream to attach to is unknown.
    Refused,
}

/// What an engine says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineNotice {
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Time for which it wants no requests.
    pub pause: Option<Duration>,
}

/// An event of an engine's stream.
pub enum EngineEvent {
    /// Generated tokens.
    Chunk {
        /// Position of the chunk's first token.
        offset: u64,
        /// Number of tokens; at least one.
        tokens: u64,
        /// Text of the tokens.
        text: String,
    },
    /// No new tokens; shows that the connection is alive.
    KeepAlive,
    /// The stream ended, either complete or cancelled.
    End {
        /// Whether all tokens were generated.
        complete: bool,
    },
}

/// An open stream, read one event at a time.
pub struct EngineStream {
    body: Response,
    line: String,
}

#[derive(Deserialize)]
struct StreamLine {
    #[serde(default, rename = "o")]
    offset: u64,
    #[serde(default, rename = "t")]
    text: String,
    #[serde(default, rename = "n")]
    tokens: u64,
    #[serde(default)]
    end: Option<String>,
}

/// Submits a stream. Submitting an existing stream id attaches to that stream.
pub async fn submit(
    address: &str,
    order: &EngineOrder,
) -> Result<(EngineAnswer, EngineNotice), NodeError> {
    let body = json!({
        "stream": order.stream, "model": order.model, "prompt": order.prompt,
        "offset": order.offset, "max_tokens": order.max_tokens, "priority": order.priority,
        "owner": order.owner, "time_left_ms": order.time_left.as_millis() as u64,
    });
    let body = Some(body.to_string());
    let response = http::send(address, Method::Post, "/streams", body, HEAD_LIMIT).await?;
    Ok(engine_answer(response))
}

/// Additional parameters of a stream that processes one segment of a prompt on a group member.
pub struct PromptSegment<'a> {
    /// Id of the group whose reservation provides the memory.
    pub group: &'a str,
    /// KV state exported by the previous member; `None` for the first segment.
    pub import: Option<&'a str>,
}

/// Submits a segment of a prompt to a member of a group.
pub async fn submit_segment(
    address: &str,
    order: &EngineOrder,
    segment: &PromptSegment<'_>,
) -> Result<(EngineAnswer, EngineNotice), NodeError> {
    let body = json!({
        "stream": order.stream, "model": order.model, "prompt": order.prompt,
        "offset": order.offset, "max_tokens": order.max_tokens, "priority": order.priority,
        "owner": order.owner, "time_left_ms": order.time_left.as_millis() as u64,
        "group": segment.group, "import": segment.import,
    });
    let body = Some(body.to_string());
    let response = http::send(address, Method::Post, "/streams", body, HEAD_LIMIT).await?;
    Ok(engine_answer(response))
}

/// Exports the KV state of a stream that has processed its prompt. Fails if the engine does not
/// know the stream.
pub async fn export_state(address: &str, stream: &str) -> Result<String, NodeError> {
    let path = format!("/streams/{stream}/state");
    let response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Err(NodeError::Protocol("engine does not know the stream"));
    }
    http::read_json(response, HEAD_LIMIT).await
}

/// Reserves memory for a group, or renews the reservation, for `term`. Returns whether the engine
/// granted it.
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

/// Releases a reservation. Releasing an unknown one succeeds. Fails only if the engine cannot be
/// reached or does not answer.
pub async fn release(address: &str, group: &str) -> Result<(), NodeError> {
    let path = format!("/reservations/{group}");
    http::send(address, Method::Delete, &path, None, HEAD_LIMIT).await?;
    Ok(())
}

/// Attaches to a stream from token position `offset` and makes `owner` the stream's owner.
pub async fn attach(
    address: &str,
    stream: &str,
    offset: u64,
    owner: &str,
) -> Result<(EngineAnswer, EngineNotice), NodeError> {
    let path = format!("/streams/{stream}?offset={offset}&owner={owner}");
    let response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    Ok(engine_answer(response))
}

/// Cancels a stream if it still belongs to `owner`. Cancelling an unknown stream, or one that
/// another host has taken over, succeeds without effect.
pub async fn cancel(address: &str, stream: &str, owner: &str) -> Result<(), NodeError> {
    let path = format!("/streams/{stream}?owner={owner}");
    http::send(address, Method::Delete, &path, None, HEAD_LIMIT).await?;
    Ok(())
}

#[derive(Deserialize)]
struct StreamList {
    streams: Vec<ListedStreamBody>,
}

#[derive(Deserialize)]
struct ListedStreamBody {
    stream: Arc<str>,
    finished: bool,
    owner: Arc<str>,
    overdue: bool,
    followed: bool,
}

/// Lists the unfinished streams of an engine, which occupy its memory.
pub async fn list_streams(address: &str) -> Result<Vec<ListedStream>, NodeError> {
    let list = async {
        let response =
            http::send(address, Method::Get, "/streams?open=1", None, HEAD_LIMIT).await?;
        http::read_json::<StreamList>(response, HEAD_LIMIT).await
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

fn engine_answer(response: Response) -> (EngineAnswer, EngineNotice) {
    let field = |name| response.header(name).map(|values| values.last().as_str());
    let is_refusal = response.status() == StatusCode::ServiceUnavailable;
    let notice = EngineNotice {
        is_leaving: field(LEAVING_FIELD).is_some_and(|value| value == "1"),
        pause: field("retry-after").filter(|_| is_refusal).and_then(pause_in_seconds),
    };
    let answer = match response.status() {
        StatusCode::Ok => {
            EngineAnswer::Stream(Box::new(EngineStream { body: response, line: String::new() }))
        }
        StatusCode::Conflict => EngineAnswer::NoMemory,
        _ => EngineAnswer::Refused,
    };
    (answer, notice)
}

impl EngineStream {
    /// Reads the next event. Fails if the connection breaks, stays silent for `SILENCE_LIMIT` or
    /// sends a malformed line.
    pub async fn next(&mut self) -> Result<EngineEvent, NodeError> {
        self.line.clear();
        let mut limited = (&mut self.body).take(MAX_LINE_BYTES);
        let read = async { Ok(limited.read_line(&mut self.line).await?) };
        if with_timeout(SILENCE_LIMIT, read).await? == 0 {
            return Err(NodeError::Protocol("engine closed the stream"));
        }
        if !self.line.ends_with('\n') {
            return Err(NodeError::Protocol("engine sent an incomplete or too long line"));
        }
        let line: StreamLine = serde_json::from_str(&self.line)
            .map_err(|_| NodeError::Protocol("engine sent a malformed line"))?;
        Ok(match line {
            StreamLine { end: Some(end), .. } => EngineEvent::End { complete: end == "stop" },
            StreamLine { tokens: 0, .. } => EngineEvent::KeepAlive,
            StreamLine { offset, text, tokens, .. } => EngineEvent::Chunk { offset, tokens, text },
        })
    }
}

/// An engine's load report, which lags behind its actual state.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// KV cache memory in use, in tokens.
    pub held_tokens: u64,
    /// Number of sequences running.
    pub running: u32,
    /// Number of sequences queued inside the engine.
    pub waiting: u32,
    /// Whether the engine reports that it will shut down.
    pub leaving: bool,
    /// Models loaded; `None` if the engine does not report them.
    pub models: Option<BTreeSet<Arc<str>>>,
}

/// Reads an engine's load report.
pub async fn load_report(address: &str) -> Result<LoadReport, NodeError> {
    let response = http::send(address, Method::Get, "/load", None, HEAD_LIMIT).await?;
    http::read_json(response, HEAD_LIMIT).await
}

#[derive(Deserialize)]
struct CacheEventBody {
    sequence: u64,
    #[serde(default)]
    added: Vec<u64>,
    #[serde(default)]
    removed: Vec<u64>,
}

/// Reads the cache events with a sequence number above `after`. Events appear with a delay, and the
/// engine discards old ones. A status other than 200, as from an engine without cache events,
/// yields an empty list.
pub async fn cache_events(address: &str, after: u64) -> Result<Vec<CacheEvent>, NodeError> {
    let path = format!("/cache?after={after}");
    let response = http::send(address, Method::Get, &path, None, HEAD_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Ok(Vec::new());
    }
    let lines: Vec<CacheEventBody> = http::read_json(response, HEAD_LIMIT).await?;
    let event = |line: CacheEventBody| CacheEvent {
        sequence: line.sequence,
        added: line.added,
        removed: line.removed,
    };
    Ok(lines.into_iter().map(event).collect())
}

/// Sends an order to load or unload a model. Engines that check the fencing number refuse an order
/// whose number is lower than one seen before.
pub async fn send_order(address: &str, order: &RoleOrder) -> Result<OrderResult, NodeError> {
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
