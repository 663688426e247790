//! Inputs, outputs and stored values of the at-most-once protocol.

use std::sync::Arc;

use parsley_macros::{key, message, value};

use crate::{config::Revision, refusal::Refusal, time::Time};

/// A call in progress on this host.
#[key]
pub struct CallKey(pub u64);

/// What a service answered.
#[message]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body, or none if it was larger than what is kept.
    pub body: Option<Vec<u8>>,
}

/// How far a recorded call got.
#[message]
pub enum CallState {
    /// It may have been sent.
    Intent,
    /// It ran, with this answer.
    Done(CallAnswer),
    /// It was sent, and whether it ran cannot be told.
    Unknown,
}

/// The value of a call's key in the key-value service.
#[message]
pub struct CallRecord {
    /// Identifies the write, so that a host recognises its own after a lost answer.
    pub write: Arc<str>,
    /// Host that makes the call.
    pub host: Arc<str>,
    /// Incarnation of that host when it started.
    pub incarnation: u64,
    /// Hash of service, path and body.
    pub body_hash: Arc<str>,
    /// Unix time in milliseconds at which the call is given up.
    pub deadline_ms: u64,
    /// How far the call got.
    pub state: CallState,
}

/// How the key-value service answered the last output of a call.
#[value]
pub enum StoreAnswer {
    /// The write took effect at this revision.
    Written(Revision),
    /// The key has another revision than expected.
    RevisionConflict,
    /// The retention lease is not known; nothing was written.
    UnknownLease,
    /// The service could not be reached; nothing was written.
    NotSent,
    /// No answer; a write may take effect, now or later.
    NoAnswer,
    /// The key is absent.
    Absent,
    /// The key has a value.
    Found {
        /// Its revision.
        revision: Revision,
        /// The value.
        record: CallRecord,
        /// Whether the host in the record is alive and within the call's deadline.
        is_holder_alive: bool,
    },
}

/// How a call to a service ended.
#[value]
pub enum ServiceAnswer {
    /// The service answered.
    Answered(CallAnswer),
    /// No connection came about; nothing was sent.
    NotSent,
    /// It was sent, and no whole answer came.
    NoAnswer,
}

/// Input of [`super::CallKeeper::step`].
#[value]
pub enum CallInput {
    /// A caller wants a call to be made.
    Begin {
        /// Key, unique on this host.
        call: CallKey,
        /// Key in the key-value service.
        key: Arc<str>,
        /// Hash of service, path and body.
        body_hash: Arc<str>,
        /// When the final answer is due.
        deadline: Time,
        /// The same as Unix time in milliseconds.
        deadline_ms: u64,
        /// Whether the caller says that it sent the key before. It is then never told `not-run`
        /// for what this call alone cannot know.
        is_retry: bool,
    },
    /// The retention lease was granted, or could not be.
    Lease(Option<u64>),
    /// The key-value service answered.
    Store {
        /// The call.
        call: CallKey,
        /// Number of the output that is answered.
        sequence: u32,
        /// The answer.
        answer: StoreAnswer,
    },
    /// The call to the service ended.
    Service {
        /// The call.
        call: CallKey,
        /// How.
        answer: ServiceAnswer,
    },
    /// Time passed.
    Tick,
}

/// The final answer to a caller.
#[value]
pub enum CallResult {
    /// The service's answer, from this call or an earlier one with the same key.
    Answer(CallAnswer),
    /// No answer of the service.
    Refused(Refusal),
}

/// Output of [`super::CallKeeper::step`].
#[value]
pub enum CallOutput {
    /// Grant a lease for [`super::RETENTION_LEASE_TERM`] that is never renewed.
    GrantLease,
    /// Write the key if it is absent.
    Create {
        /// The call.
        call: CallKey,
        /// Number that the answer must carry.
        sequence: u32,
        /// The key.
        key: Arc<str>,
        /// Its value.
        record: CallRecord,
        /// Lease that the key is attached to.
        lease: u64,
    },
    /// Read the key.
    Read {
        /// The call.
        call: CallKey,
        /// Number that the answer must carry.
        sequence: u32,
        /// The key.
        key: Arc<str>,
    },
    /// Send the call to the service, on a new connection. Comes at most once for a call.
    Send(CallKey),
    /// Write the key if it has the expected revision.
    Replace {
        /// The call.
        call: CallKey,
        /// Number that the answer must carry.
        sequence: u32,
        /// The key.
        key: Arc<str>,
        /// Expected revision.
        expect: Revision,
        /// Its value.
        record: CallRecord,
        /// Lease that the key is attached to.
        lease: u64,
    },
    /// Delete the key if it has the expected revision.
    Delete {
        /// The call.
        call: CallKey,
        /// Number that the answer must carry.
        sequence: u32,
        /// The key.
        key: Arc<str>,
        /// Expected revision.
        expect: Revision,
    },
    /// Answer the caller.
    Answer {
        /// The call.
        call: CallKey,
        /// The answer.
        result: CallResult,
    },
}
