//! Responses that the gateway generates itself.

use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use parsley_core::refusal::{Outcome, Reason, Refusal};

use super::{Gateway, body::ResponseBody};

/// Status of a refusal. A status that promises that nothing was executed is used only if that is
/// true.
pub fn status_of(refusal: &Refusal) -> StatusCode {
    match (refusal.outcome, refusal.reason) {
        (Outcome::NotRun, Reason::DeadlineExceeded) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::NotRun, reason) => {
            StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
        }
        (_, Reason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the response to a request that was refused or failed.
pub fn refusal_response(gateway: &Gateway, refusal: &Refusal) -> Response<ResponseBody> {
    let status = status_of(refusal);
    let mut problem = serde_json::json!({
        "type": "about:blank",
        "title": status.canonical_reason().unwrap_or("refused"),
        "status": status.as_u16(),
        "reason": refusal.reason.name(),
        "outcome": refusal.outcome.name(),
        "detail": &*refusal.detail,
    });
    if let Some(after) = refusal.retry_after {
        problem["retry_after_ms"] = after.as_millis().to_string().into();
    }
    let mut response = Response::new(ResponseBody::whole(Bytes::from(problem.to_string()), None));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(after) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    (gateway.codec.write_refusal_headers)(headers, refusal);
    response
}
