//! Problem details (RFC 9457) for refused and failed requests.

use http_types::{Response, StatusCode};
use parsley_core::refusal::Refusal;
use serde_json::{Value, json};

/// Renders a refusal as a problem details object.
///
/// `reason` and `outcome` are extension members; `outcome` states whether the request may have run.
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

/// Returns the response to a request that was refused or failed.
pub fn problem(refusal: &Refusal) -> Response {
    problem_with(refusal, problem_body(refusal))
}

/// Returns the response with the given body, which may have further extension members.
///
/// `Retry-After` is in whole seconds, at least one, and absent if the refusal names no delay.
pub fn problem_with(refusal: &Refusal, body: Value) -> Response {
    let status = StatusCode::try_from(refusal.reason.status()).expect("statuses are valid");
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/problem+json");
    if let Some(delay) = refusal.retry_after {
        response.insert_header("retry-after", delay.as_secs().max(1).to_string());
    }
    response
}
