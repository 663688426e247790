//! Frames on the connection between two hosts: a length and a postcard message.

use std::{sync::Arc, time::Duration};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use parsley_core::{
    config::{ConfigDelta, Revision},
    record::{RequestName, RequestRecord},
    request::{PlacedStream, StreamEvent},
};
use parsley_macros::message;

use crate::error::NodeError;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 20 << 20;

/// Largest first frame, in bytes. It arrives from somebody who has not yet proved to be a peer.
pub const MAX_HELLO_BYTES: usize = 256;

/// A request as hosts pass it on.
#[message]
pub struct RequestOrder {
    /// Request id, unique in the client account.
    pub request: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Rank.
    pub rank: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Time left until the final answer is due.
    pub time_left: Duration,
    /// Position from which the caller wants tokens.
    pub offset: u64,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Entry host and its number for the request.
    pub entry: Arc<str>,
    /// Times that the caller resumed the request.
    pub resume_count: u32,
}

/// A frame.
#[message]
pub enum PeerFrame {
    /// First frame of a connection.
    Hello {
        /// Name of the host that connects.
        from: Arc<str>,
        /// Unix time in milliseconds.
        time_ms: u64,
        /// Keyed hash of both.
        tag: [u8; 32],
    },
    /// Queue a request.
    Submit {
        /// Channel for its events.
        channel: u64,
        /// Request.
        order: RequestOrder,
        /// Engine that the entry host chose.
        engine: Arc<str>,
    },
    /// Attach to a stream that may be running.
    Attach {
        /// Channel for its events.
        channel: u64,
        /// Request, with the position from which tokens are wanted.
        order: RequestOrder,
        /// Engine.
        engine: Arc<str>,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// Cancel a request.
    Cancel {
        /// Channel of the request.
        channel: u64,
    },
    /// The receiver of a request's events is gone; the request stays resumable for a while.
    Detach {
        /// Channel of the request.
        channel: u64,
    },
    /// Keep the record of a request that is about to be dispatched.
    RecordPut {
        /// Channel for the answer.
        channel: u64,
        /// Record.
        record: RequestRecord,
    },
    /// Answer to `RecordPut`.
    RecordAck {
        /// Channel of the question.
        channel: u64,
        /// Record in force.
        record: RequestRecord,
        /// Whether it was there before.
        is_retry: bool,
    },
    /// A recorded request goes to another stream.
    RecordMove {
        /// Request.
        name: RequestName,
        /// Stream.
        placed: PlacedStream,
        /// Attempt number.
        attempt: u32,
    },
    /// A recorded request ended.
    RecordDrop {
        /// Request.
        name: RequestName,
    },
    /// Ask for the record of a request.
    RecordGet {
        /// Channel for the answer.
        channel: u64,
        /// Request.
        name: RequestName,
    },
    /// Answer to `RecordGet`.
    RecordAnswer {
        /// Channel of the question.
        channel: u64,
        /// Record, if there is one.
        record: Option<RequestRecord>,
    },
    /// Cancel a request on the engines of the receiver.
    CancelRequest {
        /// Channel for the answer.
        channel: u64,
        /// Request.
        name: RequestName,
    },
    /// Answer to `CancelRequest`.
    CancelAnswer {
        /// Channel of the question.
        channel: u64,
        /// Whether the request was there.
        found: bool,
    },
    /// An event of a request.
    Event {
        /// Channel of the request.
        channel: u64,
        /// Event.
        event: StreamEvent,
    },
    /// Ask for configuration changes.
    ConfigPull {
        /// Changes after this revision.
        after: Revision,
    },
    /// Configuration changes.
    ConfigDelta(ConfigDelta),
    /// Sent regularly so that a silent connection is noticed.
    Ping,
    /// Answer to `Ping`.
    Pong,
}

/// Writes one frame.
pub async fn write_frame(
    writer: &mut (impl AsyncWrite + Unpin),
    frame: &PeerFrame,
) -> Result<(), NodeError> {
    let body = postcard::to_stdvec(frame)?;
    let length = u32::try_from(body.len()).map_err(|_| NodeError::Protocol("frame too large"))?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    writer.write_all(&bytes).await?;
    writer.flush().await?;
    Ok(())
}

/// Reads one frame.
pub async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<PeerFrame, NodeError> {
    read_within(reader, MAX_FRAME_BYTES).await
}

/// Reads the first frame of a connection.
pub async fn read_hello(reader: &mut (impl AsyncRead + Unpin)) -> Result<PeerFrame, NodeError> {
    read_within(reader, MAX_HELLO_BYTES).await
}

async fn read_within(
    reader: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<PeerFrame, NodeError> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > limit {
        return Err(NodeError::Protocol("frame too large"));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(postcard::from_bytes(&body)?)
}

/// The tag of a `Hello` frame.
pub fn hello_tag(secret: &str, from: &str, time_ms: u64) -> [u8; 32] {
    let key = blake3::derive_key("parsleystage peer connection 1", secret.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&time_ms.to_le_bytes());
    hasher.update(from.as_bytes());
    *hasher.finalize().as_bytes()
}
