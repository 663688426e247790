//! Frames on the connection between two hosts: a length of four bytes, little-endian, followed by a
//! message in postcard encoding.

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

/// Largest first frame, in bytes. The limit is low because the sender is not yet authenticated.
pub const MAX_HELLO_BYTES: usize = 256;

/// A request as the entry host forwards it to an engine's owner.
#[message]
pub struct RequestOrder {
    /// Request id, unique in the client account.
    pub request: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Name of the request's rank.
    pub rank: Arc<str>,
    /// Name of the requested model.
    pub model: Arc<str>,
    /// Complete text of the prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Time left until the final answer is due.
    pub time_left: Duration,
    /// Position of the first token that the caller has not received.
    pub offset: u64,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Entry host, its incarnation and its number for the request, separated by slashes.
    pub entry: Arc<str>,
    /// Number of the caller's connection for this request: 1 for the first, increased by each
    /// resumption. A receiver with a higher number supersedes one with a lower.
    pub resume_count: u32,
}

/// A message on a connection between two hosts. Channel numbers are chosen by the host that opened
/// the connection.
#[message]
pub enum PeerFrame {
    /// First frame of a connection.
    Hello {
        /// Name of the host that connects.
        from: Arc<str>,
        /// Unix time in milliseconds.
        time_ms: u64,
        /// Keyed hash of the name and time; see [`hello_tag`].
        tag: [u8; 32],
    },
    /// Submits a request to the owner of an engine.
    Submit {
        /// Channel for its events.
        channel: u64,
        /// The request to run.
        order: RequestOrder,
        /// Engine that the entry host chose.
        engine: Arc<str>,
    },
    /// Attaches to a stream that may be running on an engine.
    Attach {
        /// Channel for its events.
        channel: u64,
        /// The request, whose offset is the position to continue from.
        order: RequestOrder,
        /// Engine on which the stream runs.
        engine: Arc<str>,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// Cancels a request.
    Cancel {
        /// Channel of the request.
        channel: u64,
    },
    /// The receiver of a request's events has disconnected. The request stays resumable for a
    /// limited time.
    Detach {
        /// Channel of the request.
        channel: u64,
    },
    /// Asks the receiver to store the record of a request that is about to be dispatched.
    RecordPut {
        /// Channel for the answer.
        channel: u64,
        /// The record to store.
        record: RequestRecord,
    },
    /// Answer to `RecordPut`.
    RecordAck {
        /// Channel of the query.
        channel: u64,
        /// The stored record, which is the earlier one if there was one.
        record: RequestRecord,
        /// Whether the record existed before.
        is_retry: bool,
    },
    /// Updates a record because its request moved to another stream.
    RecordMove {
        /// Account and id of the request.
        name: RequestName,
        /// The new stream and its engine.
        placed: PlacedStream,
        /// Attempt number.
        attempt: u32,
    },
    /// Removes a record because its request ended.
    RecordDrop {
        /// Account and id of the request.
        name: RequestName,
    },
    /// Asks for the record of a request.
    RecordGet {
        /// Channel for the answer.
        channel: u64,
        /// Account and id of the request.
        name: RequestName,
    },
    /// Answer to `RecordGet`.
    RecordAnswer {
        /// Channel of the query.
        channel: u64,
        /// The record, or `None` if the sender has none.
        record: Option<RequestRecord>,
    },
    /// Cancels a request, by name, on the engines that the receiver owns.
    CancelRequest {
        /// Channel for the answer.
        channel: u64,
        /// Account and id of the request.
        name: RequestName,
    },
    /// Answer to `CancelRequest`.
    CancelAnswer {
        /// Channel of the query.
        channel: u64,
        /// Whether the sender had the request.
        found: bool,
    },
    /// An event of a request.
    Event {
        /// Channel of the request.
        channel: u64,
        /// The event to relay to the caller.
        event: StreamEvent,
    },
    /// Asks for configuration changes.
    ConfigPull {
        /// Revision that the sender has; only later changes are returned.
        after: Revision,
    },
    /// Configuration changes, in answer to `ConfigPull`.
    ConfigDelta(ConfigDelta),
    /// Heartbeat, sent when no other frame was sent for a ping period, so that the receiver detects
    /// a broken connection.
    Ping,
    /// Answer to `Ping`.
    Pong,
}

/// Writes and flushes one frame.
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

/// Reads one frame. Fails if it exceeds [`MAX_FRAME_BYTES`] or does not decode.
pub async fn read_frame(reader: &mut (impl AsyncRead + Unpin)) -> Result<PeerFrame, NodeError> {
    read_within(reader, MAX_FRAME_BYTES).await
}

/// Reads the first frame of a connection, which may not exceed [`MAX_HELLO_BYTES`].
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

/// Computes the tag of a `Hello` frame with a key derived from the hosts' shared secret.
pub fn hello_tag(secret: &str, from: &str, time_ms: u64) -> [u8; 32] {
    let key = blake3::derive_key("parsleystage peer connection 1", secret.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&time_ms.to_le_bytes());
    hasher.update(from.as_bytes());
    *hasher.finalize().as_bytes()
}
