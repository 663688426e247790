//! Inputs and outputs of the request slice, and the events of a request between hosts.

use std::{sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::{
    key::{EngineKey, WorkKey},
    refusal::Refusal,
    time::Time,
};

/// A request open at this host as its entry host.
#[key]
pub struct RequestKey(pub u64);

/// One way of a request to an owner; a broken way is replaced by the next leg.
#[key]
pub struct LegKey(pub u32);

/// A stream that may run on an engine.
#[message]
pub struct PlacedStream {
    /// Engine.
    pub engine: Arc<str>,
    /// Stream id on the engine.
    pub stream: Arc<str>,
}

/// What happens to a request, in the order in which the entry host is told.
#[message]
pub enum StreamEvent {
    /// The request is in the owner's queue.
    Accepted,
    /// The request goes to an engine.
    Started {
        /// Engine.
        engine: Arc<str>,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// Attempt number.
        attempt: u32,
    },
    /// Tokens.
    Chunk {
        /// Position of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Position after the last token; a receiver at another position lacks a part.
        end: u64,
    },
    /// The request was refused or failed; this is its final answer.
    Refused(Refusal),
    /// The host no longer owns the engine; submit again.
    Moved,
    /// The stream is over before its end; go on with the next attempt on another engine.
    Retry {
        /// Number of the next attempt.
        attempt: u32,
    },
}

impl StreamEvent {
    /// Whether nothing follows.
    pub fn is_final(&self) -> bool {
        matches!(self, StreamEvent::Finished { .. } | StreamEvent::Refused(_))
    }
}

/// Input of the request table of an entry host.
#[value]
pub enum RequestInput {
    /// A request arrived.
    Open {
        /// Key, unique on this host.
        request: RequestKey,
        /// When the final answer is due.
        deadline: Time,
        /// Position from which the caller wants tokens.
        offset: u64,
        /// Attempt number, from 1.
        attempt: u32,
        /// Stream to attach to, for a request that may be running.
        placed: Option<PlacedStream>,
    },
    /// An event arrived on a leg.
    Event {
        /// The request.
        request: RequestKey,
        /// The leg.
        leg: LegKey,
        /// The event.
        event: StreamEvent,
    },
    /// A leg broke, or its owner could not be reached.
    LegFailed {
        /// The request.
        request: RequestKey,
        /// The leg.
        leg: LegKey,
    },
    /// No engine was found for a leg.
    NoEngine {
        /// The request.
        request: RequestKey,
        /// The leg.
        leg: LegKey,
    },
    /// The caller cancelled the request.
    Cancel(RequestKey),
    /// The caller's connection is gone; the stream stays resumable for a while.
    Disconnected(RequestKey),
    /// Time passed.
    Tick,
}

/// Output of the request table.
#[value]
pub enum RequestOutput {
    /// Submit the request to an owner, or attach to its stream.
    StartLeg {
        /// The request.
        request: RequestKey,
        /// The leg.
        leg: LegKey,
        /// Position from which tokens are wanted.
        offset: u64,
        /// Attempt number.
        attempt: u32,
        /// Stream to attach to; none means submit.
        placed: Option<PlacedStream>,
        /// Engine on which the last attempt failed; another one is to be chosen.
        avoid: Option<Arc<str>>,
        /// Time left until the final answer is due.
        time_left: Duration,
    },
    /// Give up a leg.
    EndLeg {
        /// The request.
        request: RequestKey,
        /// The leg.
        leg: LegKey,
        /// Whether the owner must cancel the request; otherwise it stays resumable.
        cancel: bool,
    },
    /// Pass an event to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
        /// The event.
        event: StreamEvent,
    },
    /// The request is over; nothing more follows.
    Closed(RequestKey),
}

/// Who gets the events of a request at its owner.
#[value]
pub struct EventReceiver {
    /// Identifies this receiver among those of the owner.
    pub attachment: u64,
    /// Entry host and request there.
    pub entry: Arc<str>,
    /// Times that the caller resumed the request; the later resumption keeps it.
    pub resume_count: u32,
}

/// How an engine answered a submission or attachment that gave no stream.
#[key]
pub enum EngineReply {
    /// Not taken for lack of memory; it was not run.
    NoMemory,
    /// The engine does not know or does not take the stream.
    StreamRejected,
    /// No answer, or one that makes no sense; the stream may run.
    Failed,
}

/// Input of the stream table of an owner.
#[value]
pub enum StreamInput {
    /// A request arrived.
    Open {
        /// The request.
        work: WorkKey,
        /// Who gets its events.
        receiver: EventReceiver,
        /// Position from which tokens are wanted.
        offset: u64,
        /// Attempt number.
        attempt: u32,
        /// When the final answer is due.
        deadline: Time,
    },
    /// Another receiver wants to take over a request.
    Attach {
        /// The request.
        work: WorkKey,
        /// The receiver.
        receiver: EventReceiver,
        /// Position from which it wants tokens.
        offset: u64,
    },
    /// A receiver is gone.
    Detach {
        /// The request.
        work: WorkKey,
        /// Identifies the receiver.
        attachment: u64,
    },
    /// The request goes to an engine, or a stream on it is adopted.
    Place {
        /// The request.
        work: WorkKey,
        /// The engine.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// Whether the stream is submitted now; otherwise it may already be running.
        submit: bool,
    },
    /// The engine gave no stream.
    Reply {
        /// The request.
        work: WorkKey,
        /// The reader that asked.
        reader: u64,
        /// The answer.
        reply: EngineReply,
    },
    /// Tokens arrived from the engine.
    Chunk {
        /// The request.
        work: WorkKey,
        /// The reader of the stream.
        reader: u64,
        /// Position of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
    },
    /// The stream ended on the engine.
    Ended {
        /// The request.
        work: WorkKey,
        /// The reader of the stream.
        reader: u64,
        /// Whether all tokens were generated; otherwise it was cancelled.
        complete: bool,
    },
    /// The connection to the stream broke or went silent.
    ConnectionLost {
        /// The request.
        work: WorkKey,
        /// The reader of the stream.
        reader: u64,
    },
    /// The scheduler takes the request off its engine and will dispatch it again.
    Preempt(WorkKey),
    /// The request is over; a stream that may still run is cancelled.
    Close(WorkKey),
    /// The engine answered a cancellation.
    CancelConfirmed {
        /// The engine.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// This host was paused: every reader must ask its engine again before it relays more.
    ProcessResumed,
    /// Time passed.
    Tick,
}

/// Output of the stream table.
#[value]
pub enum StreamOutput {
    /// The receiver that was the input has the request now.
    Attached(WorkKey),
    /// The receiver that was the input does not get the request.
    Denied(WorkKey),
    /// Submit the stream.
    Submit {
        /// The request.
        work: WorkKey,
        /// Reader that the answers belong to.
        reader: u64,
    },
    /// Attach to the stream at a position, on a new connection.
    Follow {
        /// The request.
        work: WorkKey,
        /// Reader that the answers belong to.
        reader: u64,
    },
    /// Pass on the chunk that was the input.
    Relay(WorkKey),
    /// The answer is complete; the request is over.
    Finish {
        /// The request.
        work: WorkKey,
        /// Position after the last token.
        end: u64,
    },
    /// The request failed for good; it is over.
    Fail {
        /// The request.
        work: WorkKey,
        /// Its final answer.
        refusal: Refusal,
    },
    /// Queue the rest of the request again; it was preempted.
    Requeue(WorkKey),
    /// Hand the request back to its entry host for the next attempt; it is over here.
    Retry {
        /// The request.
        work: WorkKey,
        /// Number of the next attempt.
        attempt: u32,
    },
    /// Offer the request again after a delay; the engine had no memory.
    Rejected(WorkKey),
    /// The engine did not answer as it should.
    EngineFailed(EngineKey),
    /// Cancel a stream on an engine; repeated until the engine answered.
    Cancel {
        /// The engine.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// Nobody came back for the request within the time; cancel it.
    Expired(WorkKey),
}
