//! Inputs, outputs and stored records of the at-most-once protocol.

use std::sync::Arc;

use parsley_macros::{key, message, value};

use crate::{config::Revision, refusal::Refusal, time::Time};

/// Identifies a call in progress on this host.
#[key]
pub struct CallKey(pub u64);

/// The HTTP answer of a service.
#[message]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Arc<str>,
    /// Body, or none in a stored record if it exceeded [`super::MAX_STORED_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// Progress of a call, as stored in its record.
#[message]
pub enum CallState {
    /// The call is about to be sent or has been sent.
    Intent,
    /// The call ran and got this answer.
    Done(CallAnswer),
    /// The call was sent and got no answer, so it may or may not have run.
    Unknown,
}

/// The record of a call in the key-value service, stored as JSON.
#[message]
pub struct CallRecord {
    /// Random id of the call that wrote the record, by which a host recognises its own write after
    /// a lost answer.
    pub write: Arc<str>,
    /// Name of the host that makes the call.
    pub host: Arc<str>,
    /// Incarnation with which that host started.
    pub incarnation: u64,
    /// Hash of service, path and body. A call with the same key and another hash is refused.
    pub body_hash: Arc<str>,
    /// Deadline of the call as Unix time in milliseconds.
    pub deadline_ms: u64,
    /// Progress of the call.
    pub state: CallState,
}

/// Result of an operation of a call on the key-value service.
#[value]
pub enum StoreAnswer {
    /// The write took effect at this revision.
    Written(Revision),
    /// The key does not have the expected revision; nothing was written.
    RevisionConflict,
    /// The service does not know the lease, which may have expired; nothing was written.
    UnknownLease,
    /// The service could not be reached; nothing was written.
    NotSent,
    /// No valid answer; a write may have taken effect or may still do so.
    NoAnswer,
    /// The key does not exist.
    Absent,
    /// The key exists.
    Found {
        /// Revision of its last write.
        revision: Revision,
        /// Record stored under the key.
        record: CallRecord,
        /// Whether the host in the record may still be making the call: it is alive, and the call's
        /// deadline has not passed by more than a grace period.
        is_holder_alive: bool,
    },
}

/// Result of sending a call to its service.
#[value]
pub enum ServiceAnswer {
    /// The service answered.
    Answered(CallAnswer),
    /// No connection could be established; nothing was sent.
    NotSent,
    /// The call was sent and no complete answer arrived, so it may have run.
    NoAnswer,
}

/// Input of [`super::CallKeeper::step`].
#[value]
pub enum CallInput {
    /// A caller requests a call.
    Begin {
        /// Key, unique on this host.
        call: CallKey,
        /// Key of its record in the key-value service; see [`super::call_key`].
        key: Arc<str>,
        /// Hash of service, path and body.
        body_hash: Arc<str>,
        /// When the final answer is due, on this host's clock.
        deadline: Time,
        /// The same moment as Unix time in milliseconds.
        deadline_ms: u64,
        /// Whether the caller says that it has sent the key before. Refusals before the call is
        /// sent then have the outcome unknown instead of `not-run`, since an earlier call may have
        /// run.
        is_retry: bool,
    },
    /// Id of the retention lease that was granted, or none if that failed.
    Lease(Option<u64>),
    /// An operation on the key-value service ended.
    Store {
        /// Call that requested it.
        call: CallKey,
        /// Sequence number in the output that requested it.
        sequence: u32,
        /// Result of the operation.
        answer: StoreAnswer,
    },
    /// The exchange with the service ended.
    Service {
        /// Call that was sent.
        call: CallKey,
        /// Result of sending it.
        answer: ServiceAnswer,
    },
    /// Time has passed.
    Tick,
}

/// Final answer to a caller.
#[value]
pub enum CallResult {
    /// The answer of the service, to this call or to an earlier one with the same key.
    Answer(CallAnswer),
    /// The call was refused, or its outcome is not known.
    Refused(Refusal),
}

/// Output of [`super::CallKeeper::step`].
#[value]
pub enum CallOutput {
    /// Request a lease for [`super::RETENTION_LEASE_TERM`]. It is never renewed.
    GrantLease,
    /// Write the key if it is absent.
    Create {
        /// Call that needs it.
        call: CallKey,
        /// Sequence number to repeat in [`CallInput::Store`].
        sequence: u32,
        /// Key of the call's record.
        key: Arc<str>,
        /// Record to write.
        record: CallRecord,
        /// Id of the lease to attach the key to.
        lease: u64,
    },
    /// Read the key.
    Read {
        /// Call that needs it.
        call: CallKey,
        /// Sequence number to repeat in [`CallInput::Store`].
        sequence: u32,
        /// Key of the call's record.
        key: Arc<str>,
    },
    /// Send the call to the service, on a new connection. Returned at most once per call.
    Send(CallKey),
    /// Write the key if it has the expected revision.
    Replace {
        /// Call that needs it.
        call: CallKey,
        /// Sequence number to repeat in [`CallInput::Store`].
        sequence: u32,
        /// Key of the call's record.
        key: Arc<str>,
        /// Revision that the key must have.
        expect: Revision,
        /// Record to write.
        record: CallRecord,
        /// Id of the lease to attach the key to.
        lease: u64,
    },
    /// Delete the key if it has the expected revision.
    Delete {
        /// Call that needs it.
        call: CallKey,
        /// Sequence number to repeat in [`CallInput::Store`].
        sequence: u32,
        /// Key of the call's record.
        key: Arc<str>,
        /// Revision that the key must have.
        expect: Revision,
    },
    /// Answer the caller. Returned exactly once per call.
    Answer {
        /// Call to answer.
        call: CallKey,
        /// Final answer.
        result: CallResult,
    },
}
