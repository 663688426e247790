//! Inputs and outputs of the request slice, and the request events exchanged by hosts.

use std::{sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::{
    key::{EngineKey, WorkKey},
    refusal::Refusal,
    time::Time,
};

/// Identifies an open request at its entry host.
#[key]
pub struct RequestKey(pub u64);

/// Number of a leg of a request, as in a proxied call: one submission or attachment to an owner.
/// The first leg has number 1; a failed leg is replaced by one with the next number.
#[key]
pub struct LegKey(pub u32);

/// A stream on an engine, which may or may not be running.
#[message]
pub struct PlacedStream {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Stream id on the engine.
    pub stream: Arc<str>,
}

/// What happens to a request, as its owner reports it to the entry host.
#[message]
pub enum StreamEvent {
    /// The request is in the owner's queue.
    Accepted,
    /// The request is being submitted to an engine.
    Started {
        /// Name of the engine.
        engine: Arc<str>,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// Attempt number, from 1.
        attempt: u32,
    },
    /// A run of generated tokens.
    Chunk {
        /// Position of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Text of the tokens.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Position after the last token. A receiver at another position has missed a chunk.
        end: u64,
    },
    /// The request was refused or failed; this is its final answer.
    Refused(Refusal),
    /// The host does not own the engine any more; the request must be submitted again.
    Moved,
    /// The stream ended before the answer was complete. The next attempt must resume the request on
    /// another engine.
    Retry {
        /// Number of the next attempt.
        attempt: u32,
    },
}

impl StreamEvent {
    /// Whether this is the last event of its request.
    pub fn is_final(&self) -> bool {
        matches!(self, StreamEvent::Finished { .. } | StreamEvent::Refused(_))
    }
}

/// Input of the request table of an entry host.
#[value]
pub enum RequestInput {
    /// A caller sent a request, or resumed one.
    Open {
        /// Key, unique on this host.
        request: RequestKey,
        /// When the final answer is due.
        deadline: Time,
        /// Position of the first token that the caller wants.
        offset: u64,
        /// Attempt number, from 1.
        attempt: u32,
        /// Stream to attach to, if the request may already be running; none to submit it.
        placed: Option<PlacedStream>,
    },
    /// An event arrived on a leg.
    Event {
        /// Request to which the event belongs.
        request: RequestKey,
        /// Leg on which it arrived. Events of legs that have ended are ignored.
        leg: LegKey,
        /// The event, as the owner sent it.
        event: StreamEvent,
    },
    /// A leg was interrupted, or its owner could not be reached.
    LegFailed {
        /// Request to which the leg belongs.
        request: RequestKey,
        /// Leg that failed.
        leg: LegKey,
    },
    /// No engine was found for a leg.
    NoEngine {
        /// Request to which the leg belongs.
        request: RequestKey,
        /// Leg that could not be started.
        leg: LegKey,
    },
    /// The caller cancelled the request.
    Cancel(RequestKey),
    /// The caller's connection was lost. The stream is not cancelled and stays resumable for a
    /// while.
    Disconnected(RequestKey),
    /// Time has passed.
    Tick,
}

/// Output of the request table of an entry host.
#[value]
pub enum RequestOutput {
    /// Submit the request to an owner, or attach to its stream.
    StartLeg {
        /// Request to submit or attach to.
        request: RequestKey,
        /// Number of the new leg.
        leg: LegKey,
        /// Position of the first token that is wanted.
        offset: u64,
        /// Attempt number, from 1.
        attempt: u32,
        /// Stream to attach to, or none to submit the request.
        placed: Option<PlacedStream>,
        /// Engine on which the last attempt failed; another one is preferred if there is one.
        avoid: Option<Arc<str>>,
        /// Time left until the final answer is due.
        time_left: Duration,
    },
    /// Close a leg.
    EndLeg {
        /// Request to which the leg belongs.
        request: RequestKey,
        /// Leg to close.
        leg: LegKey,
        /// Whether the owner must cancel the request; otherwise it stays resumable there.
        cancel: bool,
    },
    /// Pass an event on to the caller.
    Deliver {
        /// Request of the caller.
        request: RequestKey,
        /// Event to pass on.
        event: StreamEvent,
    },
    /// The request was removed from the table; no output for it follows.
    Closed(RequestKey),
}

/// The entry host to which an owner sends the events of a request.
#[value]
pub struct EventReceiver {
    /// Identifies this receiver among those of the owner.
    pub attachment: u64,
    /// Name of the entry host and the number of the request there.
    pub entry: Arc<str>,
    /// How often the caller has resumed the request. A receiver with a higher count takes it over.
    pub resume_count: u32,
}

/// How a submission or attachment to an engine failed.
#[key]
pub enum EngineReply {
    /// Rejected for lack of memory; nothing was run.
    NoMemory,
    /// The engine does not know the stream or refused it.
    StreamRejected,
    /// No answer or an invalid one; the stream may be running.
    Failed,
}

/// Input of the stream table of an owner.
#[value]
pub enum StreamInput {
    /// A request arrived from an entry host.
    Open {
        /// Key of the request, unique on this host.
        work: WorkKey,
        /// Entry host that gets its events.
        receiver: EventReceiver,
        /// Position of the first token that is wanted.
        offset: u64,
        /// Attempt number, from 1.
        attempt: u32,
        /// When the final answer is due.
        deadline: Time,
    },
    /// A receiver wants to take over a request, for instance after its caller resumed it.
    Attach {
        /// Request to take over.
        work: WorkKey,
        /// Receiver that wants it.
        receiver: EventReceiver,
        /// Position of the first token that it wants.
        offset: u64,
    },
    /// The connection of a receiver was lost.
    Detach {
        /// Request of the receiver.
        work: WorkKey,
        /// Attachment number of the receiver; ignored if another one has taken over.
        attachment: u64,
    },
    /// The request was assigned to an engine, or a stream there is adopted.
    Place {
        /// Request that was assigned.
        work: WorkKey,
        /// Engine that it runs on.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// Whether the stream must be submitted; otherwise it may already be running.
        submit: bool,
    },
    /// A submission or attachment to the engine failed.
    Reply {
        /// Request concerned.
        work: WorkKey,
        /// Number of the reader that submitted or attached. Inputs of earlier readers are ignored.
        reader: u64,
        /// How it failed.
        reply: EngineReply,
    },
    /// Tokens arrived from the engine.
    Chunk {
        /// Request concerned.
        work: WorkKey,
        /// Number of the reader that received them.
        reader: u64,
        /// Position of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
    },
    /// The stream ended on the engine.
    Ended {
        /// Request concerned.
        work: WorkKey,
        /// Number of the reader that saw the end.
        reader: u64,
        /// Whether all tokens were generated; otherwise the stream was cancelled.
        complete: bool,
    },
    /// The connection to the engine failed or timed out.
    ConnectionLost {
        /// Request concerned.
        work: WorkKey,
        /// Number of the reader whose connection it was.
        reader: u64,
    },
    /// The scheduler preempts the request: its stream is cancelled, and it is queued again.
    Preempt(WorkKey),
    /// Remove the request and cancel its stream if it has one.
    Close(WorkKey),
    /// The engine confirmed a cancellation.
    CancelConfirmed {
        /// Engine that confirmed.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// This host continues after a pause, in which its engines may have got another owner. Every
    /// reader is replaced by one that attaches again.
    ProcessResumed,
    /// Time has passed.
    Tick,
}

/// Output of the stream table of an owner.
#[value]
pub enum StreamOutput {
    /// The receiver in the `Attach` input has taken over the request.
    Attached(WorkKey),
    /// The receiver in the `Attach` input may not take over the request.
    Denied(WorkKey),
    /// Submit the request to its engine.
    Submit {
        /// Request to submit.
        work: WorkKey,
        /// Number of the reader to which the engine's answers belong.
        reader: u64,
    },
    /// Attach to the stream on a new connection, at the position after the last token relayed.
    Follow {
        /// Request whose stream it is.
        work: WorkKey,
        /// Number of the reader to which the engine's answers belong.
        reader: u64,
    },
    /// Send the chunk in the input to the receiver.
    Relay(WorkKey),
    /// The answer is complete; the request was removed.
    Finish {
        /// Request that is complete.
        work: WorkKey,
        /// Position after the last token.
        end: u64,
    },
    /// All attempts failed; the request was removed.
    Fail {
        /// Request that failed.
        work: WorkKey,
        /// Final answer to the caller.
        refusal: Refusal,
    },
    /// Queue the rest of a preempted request again.
    Requeue(WorkKey),
    /// Return the request to its entry host for the next attempt; it was removed here.
    Retry {
        /// Request to return.
        work: WorkKey,
        /// Number of the next attempt.
        attempt: u32,
    },
    /// The engine had no memory for the request, which must be offered again after a delay.
    Rejected(WorkKey),
    /// The engine gave no answer or an invalid one.
    EngineFailed(EngineKey),
    /// Cancel a stream. Repeated until the engine confirms it or a time limit is reached.
    Cancel {
        /// Engine that runs the stream.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
    },
    /// No receiver wants the request any more, or it is long past its deadline; it must be
    /// cancelled.
    Expired(WorkKey),
}
