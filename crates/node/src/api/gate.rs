//! Checks that precede every route: role, size limits and receive timeout. Also records refusals.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use async_io::Timer;
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Response};
use parsley_core::{
    config::Revision,
    refusal::{Reason, Refusal},
};

use super::{
    access::{self, Role},
    problem::problem,
};
use crate::{
    error::NodeError,
    event,
    host::{Host, HostRef},
    http::with_timeout,
};

/// Maximum number of refusals logged per second, so that a flood of bad requests does not flood the
/// log. The metrics count all of them.
const MAX_LOGGED_REFUSALS_PER_S: u32 = 50;

/// Time for which a request waits until a newly started host has received a configuration.
const CONFIG_WAIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a waiting request checks for a configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A group of routes that require the same role.
#[derive(Clone, Copy, Debug)]
pub struct RouteGroup {
    /// Value of the route field in logs and the `route` label in metrics.
    pub name: &'static str,
    /// Role that the routes require.
    pub role: Role,
}

/// Group of the chat completion routes.
pub const CHAT_GROUP: RouteGroup = RouteGroup { name: "chat", role: Role::Caller };

const SERVICES_GROUP: &str = "services";

/// Returns the route group of a request.
///
/// Unknown paths belong to the group `other`, which requires no role and has no routes.
pub fn route_group(request: &Request) -> RouteGroup {
    let mut parts = request.url().path().split('/').filter(|part| !part.is_empty());
    let (name, role) = match (parts.next(), parts.next()) {
        (Some("v1"), Some("entry")) => ("entry", Role::Anyone),
        (Some("v1"), Some("models")) => ("models", Role::Caller),
        (Some("v1"), Some("chat")) => return CHAT_GROUP,
        (Some("v1"), Some("services")) => (SERVICES_GROUP, Role::Caller),
        (Some("v1"), Some("requests")) => ("requests", Role::Caller),
        (Some("admin"), _) => ("admin", Role::Operator),
        (Some("metrics"), _) => ("metrics", Role::Operator),
        (Some("healthz"), _) => ("healthz", Role::Anyone),
        (Some("readyz"), _) => ("readyz", Role::Anyone),
        _ => ("other", Role::Anyone),
    };
    RouteGroup { name, role }
}

/// Checks the credential, then reads the body within the size, nesting and time limits.
///
/// The credential is checked first, so that unauthenticated clients cannot make the host buffer
/// large bodies.
pub async fn admit(
    host: &HostRef,
    group: RouteGroup,
    request: &mut Request,
) -> Result<(), Refusal> {
    let head_limit = host.settings.limits.header_bytes;
    if head_bytes(request) > head_limit {
        let detail = format!("the head has more than {head_limit} bytes");
        return Err(Refusal::not_run(Reason::HeadTooLarge, &detail));
    }
    if group.role == Role::Caller && request.header("authorization").is_some() {
        wait_for_config(host).await?;
    }
    access::check(host, group.role, request)?;
    if !has_body(request) {
        return Ok(());
    }
    let bytes = read_body(host, request).await?;
    // Plain services accept any content type. All other routes parse the body as JSON, whatever
    // type it declares.
    let may_be_binary = group.name == SERVICES_GROUP
        && request.content_type().is_some_and(|mime| !mime.subtype().ends_with("json"));
    if !may_be_binary && nesting_depth(&bytes) > host.settings.limits.json_depth {
        return Err(Refusal::not_run(Reason::BadRequest, "the JSON body is nested too deeply"));
    }
    let mime = request.content_type();
    request.set_body(Body::from_bytes(bytes));
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Ok(())
}

/// Waits until this host has a configuration. Without one, it cannot distinguish an invalid token
/// from the token of an account that it has not received yet.
async fn wait_for_config(host: &HostRef) -> Result<(), Refusal> {
    let end = host.now() + CONFIG_WAIT_TIMEOUT;
    while host.state.borrow().config.complete_revision() == Revision(0) {
        if host.now() >= end {
            let detail = "the host has no configuration yet";
            return Err(Refusal::not_run(Reason::StoreUnavailable, detail)
                .retry_after(Duration::from_secs(1)));
        }
        Timer::after(CONFIG_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Estimates the size of a request's head from its URL and header fields. Each field counts four
/// bytes more for `: ` and the line end. The HTTP library accepts heads of at most 8 KiB.
fn head_bytes(request: &Request) -> u64 {
    let line = request.url().as_str().len();
    let fields = request.iter().flat_map(|(name, values)| {
        values.iter().map(|value| name.as_str().len() + value.as_str().len() + 4)
    });
    u64::try_from(line + fields.sum::<usize>()).unwrap_or(u64::MAX)
}

/// Returns whether a request's method allows a body.
pub fn has_body(request: &Request) -> bool {
    matches!(request.method(), Method::Post | Method::Put | Method::Patch)
}

/// Reads the body of a request within the size limit and receive timeout.
async fn read_body(host: &HostRef, request: &mut Request) -> Result<Vec<u8>, Refusal> {
    let limits = &host.settings.limits;
    let too_large = || {
        let detail = format!("the body has more than {} bytes", limits.body_bytes);
        Refusal::not_run(Reason::BodyTooLarge, &detail)
    };
    let declared = request.len().map_or(0, |bytes| u64::try_from(bytes).unwrap_or(u64::MAX));
    if declared > limits.body_bytes {
        return Err(too_large());
    }
    let mut body = request.take_body().take(limits.body_bytes + 1);
    let mut bytes = Vec::new();
    let reading = async { Ok(body.read_to_end(&mut bytes).await?) };
    match with_timeout(Duration::from_millis(limits.receive_ms), reading).await {
        Ok(_) => {}
        Err(NodeError::Timeout) => {
            let detail = "the request body was not received in time";
            return Err(Refusal::not_run(Reason::ReceiveTimeout, detail));
        }
        Err(err) => return Err(Refusal::not_run(Reason::BadRequest, &err.to_string())),
    }
    let received = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if received > limits.body_bytes {
        return Err(too_large());
    }
    if received < declared {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            "the body is shorter than its declared length",
        ));
    }
    Ok(bytes)
}

/// Returns the maximum nesting depth of a JSON text. Brackets in strings do not count.
///
/// Strings are scanned by a tight inner loop: a long prompt is a single string, and the scan blocks
/// the host's only thread.
fn nesting_depth(mut bytes: &[u8]) -> u64 {
    let (mut depth, mut deepest) = (0_u64, 0);
    while let Some((byte, rest)) = bytes.split_first() {
        bytes = rest;
        match byte {
            b'{' | b'[' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            b'"' => bytes = after_string(bytes),
            _ => {}
        }
    }
    deepest
}

/// Returns the bytes after a string whose opening quote has been consumed.
fn after_string(mut bytes: &[u8]) -> &[u8] {
    loop {
        let end = bytes.iter().position(|byte| matches!(byte, b'"' | b'\\'));
        let Some(end) = end else { return &[] };
        let is_quote = bytes[end] == b'"';
        let skipped = if is_quote { end + 1 } else { end + 2 };
        bytes = bytes.get(skipped..).unwrap_or_default();
        if is_quote {
            return bytes;
        }
    }
}

thread_local! {
    /// Start of the current one-second window and the number of refusals in it. Each thread runs
    /// one host.
    static LOG_WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Counts a refusal by reason and logs it unless the limit per second is exceeded.
///
/// The number of refusals not logged in a window is logged with the first refusal after it.
pub fn record_refusal(host: &Host, group: RouteGroup, refusal: &Refusal) {
    let reason = refusal.reason.name();
    host.metrics.refusals.with_label_values(&[reason]).inc();
    let (start, count) = LOG_WINDOW.get();
    let is_current = start.is_some_and(|start| start.elapsed() < Duration::from_secs(1));
    if !is_current && count > MAX_LOGGED_REFUSALS_PER_S {
        event!(host.log, REFUSALS_NOT_LOGGED, "count" => count - MAX_LOGGED_REFUSALS_PER_S);
    }
    let (start, count) = if is_current { (start, count + 1) } else { (Some(Instant::now()), 1) };
    LOG_WINDOW.set((start, count));
    if count <= MAX_LOGGED_REFUSALS_PER_S {
        event!(host.log, REQUEST_REFUSED, "reason" => reason,
            "outcome" => refusal.outcome.name(), "route" => group.name,
            "detail" => &*refusal.detail);
    }
}

/// Records a refusal and returns the response to it.
pub fn refusal_response(host: &Host, group: RouteGroup, refusal: &Refusal) -> Response {
    record_refusal(host, group, refusal);
    problem(refusal)
}

#[cfg(test)]
mod tests;
