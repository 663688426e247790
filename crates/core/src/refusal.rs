//! Refusals and failures as callers see them.
//!
//! A refusal has a reason with a fixed name that is the same in answers, logs and metrics, states
//! whether the request was executed and says when a retry may succeed.

use std::{sync::Arc, time::Duration};

use parsley_macros::{key, message};

/// Whether a request that did not succeed was executed.
#[key]
pub enum Outcome {
    /// The request was not executed and will not be.
    NotRun,
    /// The request was executed, at least in part.
    Ran,
    /// It cannot be determined whether the request was executed.
    Unknown,
}

impl Outcome {
    /// Returns the name used in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or failed.
#[key]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The credential is missing or invalid.
    Unauthenticated,
    /// The credential does not permit the operation.
    Forbidden,
    /// The model, service, request or route is unknown.
    NotFound,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The same idempotency key is in use with another body, or a call with it is in progress.
    Conflict,
    /// The request body is larger than the limit.
    BodyTooLarge,
    /// The engines together cannot hold the prompt.
    PromptExceedsFleet,
    /// The request head is larger than the limit.
    HeadTooLarge,
    /// The request did not arrive completely within the time limit.
    ReceiveTimeout,
    /// The host has reached its limit of open connections.
    TooManyConnections,
    /// A resource does not pass validation.
    InvalidResource,
    /// The stored resource has another revision than the writer expects.
    RevisionConflict,
    /// Other resources refer to the resource.
    InUse,
    /// The client account has reached its limit.
    AccountLimit,
    /// The target of the request's rank cannot be met at the current load.
    Overloaded,
    /// The host has no memory for the request's body.
    HostMemory,
    /// No engine currently serves the model.
    NoEngine,
    /// The key-value service cannot be reached.
    StoreUnavailable,
    /// No connection to the service could be established.
    ServiceUnavailable,
    /// The service failed on every permitted attempt.
    ServiceFailed,
    /// The engine failed and no retry is allowed.
    EngineFailed,
    /// The prompt has a part that crashes engines.
    PromptQuarantined,
    /// The host is shutting down.
    Draining,
    /// The caller cancelled the request.
    Cancelled,
    /// An at-most-once call with the same key is in progress.
    InProgress,
    /// The outcome of an at-most-once call cannot be determined.
    OutcomeUnknown,
    /// All failure domains with servers of the service are evacuated.
    Evacuated,
    /// The request crashes engines.
    RequestQuarantined,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Reason; 29] = [
        Reason::BadRequest,
        Reason::Unauthenticated,
        Reason::Forbidden,
        Reason::NotFound,
        Reason::DeadlineExceeded,
        Reason::Conflict,
        Reason::BodyTooLarge,
        Reason::PromptExceedsFleet,
        Reason::HeadTooLarge,
        Reason::ReceiveTimeout,
        Reason::TooManyConnections,
        Reason::InvalidResource,
        Reason::RevisionConflict,
        Reason::InUse,
        Reason::AccountLimit,
        Reason::Overloaded,
        Reason::HostMemory,
        Reason::NoEngine,
        Reason::StoreUnavailable,
        Reason::ServiceUnavailable,
        Reason::ServiceFailed,
        Reason::EngineFailed,
        Reason::PromptQuarantined,
        Reason::Draining,
        Reason::Cancelled,
        Reason::InProgress,
        Reason::OutcomeUnknown,
        Reason::Evacuated,
        Reason::RequestQuarantined,
    ];

    /// Returns the name used in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad-request",
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::NotFound => "not-found",
            Reason::DeadlineExceeded => "deadline-exceeded",
            Reason::Conflict => "conflict",
            Reason::BodyTooLarge => "body-too-large",
            Reason::PromptExceedsFleet => "prompt-exceeds-fleet",
            Reason::HeadTooLarge => "head-too-large",
            Reason::ReceiveTimeout => "receive-timeout",
            Reason::TooManyConnections => "too-many-connections",
            Reason::InvalidResource => "invalid-resource",
            Reason::RevisionConflict => "revision-conflict",
            Reason::InUse => "in-use",
            Reason::AccountLimit => "account-limit",
            Reason::Overloaded => "overloaded",
            Reason::HostMemory => "host-memory",
            Reason::NoEngine => "no-engine",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::ServiceUnavailable => "service-unavailable",
            Reason::ServiceFailed => "service-failed",
            Reason::EngineFailed => "engine-failed",
            Reason::PromptQuarantined => "prompt-quarantined",
            Reason::Draining => "draining",
            Reason::Cancelled => "cancelled",
            Reason::InProgress => "in-progress",
            Reason::OutcomeUnknown => "outcome-unknown",
            Reason::Evacuated => "evacuated",
            Reason::RequestQuarantined => "request-quarantined",
        }
    }

    /// Returns the HTTP status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            Reason::BadRequest | Reason::InvalidResource => 400,
            Reason::Unauthenticated => 401,
            Reason::Forbidden => 403,
            Reason::NotFound => 404,
            Reason::DeadlineExceeded | Reason::ReceiveTimeout => 408,
            Reason::Conflict
            | Reason::Cancelled
            | Reason::InProgress
            | Reason::OutcomeUnknown
            | Reason::RevisionConflict
            | Reason::InUse => 409,
            Reason::BodyTooLarge | Reason::HeadTooLarge | Reason::PromptExceedsFleet => 413,
            Reason::AccountLimit => 429,
            Reason::Overloaded
            | Reason::HostMemory
            | Reason::TooManyConnections
            | Reason::NoEngine
            | Reason::StoreUnavailable
            | Reason::ServiceUnavailable
            | Reason::ServiceFailed
            | Reason::EngineFailed
            | Reason::PromptQuarantined
            | Reason::RequestQuarantined
            | Reason::Draining
            | Reason::Evacuated => 503,
        }
    }
}

/// The final answer to a request that did not succeed.
#[message]
pub struct Refusal {
    /// Why the request did not succeed.
    pub reason: Reason,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Time after which a retry may succeed; `None` if that is unknown.
    pub retry_after: Option<Duration>,
    /// Explanation for a human reader, in one sentence.
    pub detail: Arc<str>,
}

impl Refusal {
    /// Creates the refusal of a request that was not executed.
    pub fn not_run(reason: Reason, detail: &str) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates the failure of a request that was executed at least in part.
    pub fn ran(reason: Reason, detail: &str) -> Refusal {
        Refusal { reason, outcome: Outcome::Ran, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, span: Duration) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}
