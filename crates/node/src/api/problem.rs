//! Refusals as problem details.

use http_types::{Response, StatusCode};
use parsley_core::refusal::Refusal;
use serde_json::{Value, json};

/// The body of a refusal, following RFC 9457.
pub fn problem_body(refusal: &Refusal) -> Value {
    json!({
        "type": format!("about:blank#{}", refusal.reason.name()),
        "title": refusal.reason.name(),
        "status": refusal.reason.status(),
        "detail": refusal.detail,
        "reason": refusal.reason.name(),
        "outcome": refusal.outcome.name(),
    })
}

/// The answer to a request that was refused or failed.
pub fn problem(refusal: &Refusal) -> Response {
    problem_with(refusal, problem_body(refusal))
}

/// The answer with a body that has further members.
pub fn problem_with(refusal: &Refusal, body: Value) -> Response {
    let status = StatusCode::try_from(refusal.reason.status()).expect("statuses are valid");
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/problem+json");
    if let Some(span) = refusal.retry_after {
        response.insert_header("retry-after", span.as_secs().max(1).to_string());
    }
    response
}
