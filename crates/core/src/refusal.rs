//! Refusals and failures as callers see them: a fixed reason name that is the same in the answer,
//! the log and the metric, whether the request ran, and when to come back.

use std::{sync::Arc, time::Duration};

use parsley_macros::{key, message};

/// Whether a request that did not succeed was executed.
#[key]
pub enum Outcome {
    /// It was not executed and will not be.
    NotRun,
    /// It was executed, at least in part.
    Ran,
    /// The system cannot tell.
    Unknown,
}

impl Outcome {
    /// The name in answers, logs and metrics.
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
    /// The credential is missing or not valid.
    Unauthenticated,
    /// The credential does not allow this.
    Forbidden,
    /// The model, service, request or route is unknown.
    NotFound,
    /// The deadline passed.
    DeadlineExceeded,
    /// The same key is in use with another body, or a call with it is in progress.
    Conflict,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The fleet can never hold the prompt.
    PromptExceedsFleet,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The request did not arrive within the time.
    ReceiveTimeout,
    /// The host serves as many connections as it may.
    TooManyConnections,
    /// A resource has mistakes.
    InvalidResource,
    /// A resource has another revision than the writer expects.
    RevisionConflict,
    /// Other resources refer to the resource.
    InUse,
    /// The client account exceeds its limit.
    AccountLimit,
    /// The rank's target cannot be met at the current load.
    Overloaded,
    /// No engine serves the model now.
    NoEngine,
    /// The key-value service cannot be reached.
    StoreUnavailable,
    /// No connection to the service came about.
    ServiceUnavailable,
    /// The service failed on every allowed try.
    ServiceFailed,
    /// The engine failed and no retry is allowed.
    EngineFailed,
    /// The host is shutting down.
    Draining,
    /// The caller cancelled the request.
    Cancelled,
    /// An at-most-once call with the same key is in progress.
    InProgress,
    /// The outcome of an at-most-once call cannot be determined.
    OutcomeUnknown,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 25] = [
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
        Reason::NoEngine,
        Reason::StoreUnavailable,
        Reason::ServiceUnavailable,
        Reason::ServiceFailed,
        Reason::EngineFailed,
        Reason::Draining,
        Reason::Cancelled,
        Reason::InProgress,
        Reason::OutcomeUnknown,
    ];

    /// The name in answers, logs and metrics.
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
            Reason::NoEngine => "no-engine",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::ServiceUnavailable => "service-unavailable",
            Reason::ServiceFailed => "service-failed",
            Reason::EngineFailed => "engine-failed",
            Reason::Draining => "draining",
            Reason::Cancelled => "cancelled",
            Reason::InProgress => "in-progress",
            Reason::OutcomeUnknown => "outcome-unknown",
        }
    }

    /// The HTTP status of the answer.
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
            | Reason::TooManyConnections
            | Reason::NoEngine
            | Reason::StoreUnavailable
            | Reason::ServiceUnavailable
            | Reason::ServiceFailed
            | Reason::EngineFailed
            | Reason::Draining => 503,
        }
    }
}

/// The final answer to a request that did not succeed.
#[message]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// When a retry can succeed.
    pub retry_after: Option<Duration>,
    /// One sentence for a person.
    pub detail: Arc<str>,
}

impl Refusal {
    /// A refusal of a request that was not executed.
    pub fn not_run(reason: Reason, detail: &str) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// The failure of a request that was executed at least in part.
    pub fn ran(reason: Reason, detail: &str) -> Refusal {
        Refusal { reason, outcome: Outcome::Ran, retry_after: None, detail: detail.into() }
    }

    /// Sets when to come back.
    pub fn retry_after(mut self, span: Duration) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}
