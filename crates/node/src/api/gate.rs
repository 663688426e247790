//! What stands before every route: roles, sizes, times and the record of refusals.

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
    http::within,
};

/// Refusals logged in one second; a flood of them must not flood the log.
const LOGGED_REFUSALS: u32 = 50;

/// Time for which a request waits at a host that just started until it holds a configuration.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(3);
const CONFIGURATION_PERIOD: Duration = Duration::from_millis(20);

/// A group of routes with one role.
#[derive(Clone, Copy, Debug)]
pub struct RouteGroup {
    /// Name in logs and metrics.
    pub name: &'static str,
    /// Who may use it.
    pub role: Role,
}

/// The group of requests for completions.
pub const CHAT: RouteGroup = RouteGroup { name: "chat", role: Role::Caller };

const SERVICES: &str = "services";

/// The group that a request belongs to.
pub fn route_group(request: &Request) -> RouteGroup {
    let mut parts = request.url().path().split('/').filter(|part| !part.is_empty());
    let (name, role) = match (parts.next(), parts.next()) {
        (Some("v1"), Some("entry")) => ("entry", Role::Anyone),
        (Some("v1"), Some("models")) => ("models", Role::Caller),
        (Some("v1"), Some("chat")) => return CHAT,
        (Some("v1"), Some("services")) => (SERVICES, Role::Caller),
        (Some("v1"), Some("requests")) => ("requests", Role::Caller),
        (Some("admin"), _) => ("admin", Role::Operator),
        (Some("metrics"), _) => ("metrics", Role::Operator),
        (Some("healthz"), _) => ("healthz", Role::Anyone),
        (Some("readyz"), _) => ("readyz", Role::Anyone),
        _ => ("other", Role::Anyone),
    };
    RouteGroup { name, role }
}

/// Checks the credential, then receives the body within its limits. The credential comes first, so
/// that nobody without one makes the host hold a large body.
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
        await_configuration(host).await?;
    }
    access::check(host, group.role, request)?;
    if !has_body(request) {
        return Ok(());
    }
    let bytes = receive(host, request).await?;
    // A plain service may take any body; every other route reads JSON whatever type is stated.
    let is_opaque = group.name == SERVICES
        && request.content_type().is_some_and(|mime| !mime.subtype().ends_with("json"));
    if !is_opaque && depth(&bytes) > host.settings.limits.json_depth {
        return Err(Refusal::not_run(Reason::BadRequest, "the JSON body is nested too deeply"));
    }
    let mime = request.content_type();
    request.set_body(Body::from_bytes(bytes));
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Ok(())
}

/// Waits until this host holds a configuration. A host that just started cannot tell an unknown
/// account from one that it has not heard of.
async fn await_configuration(host: &HostRef) -> Result<(), Refusal> {
    let end = host.now() + CONFIGURATION_LIMIT;
    while host.state.borrow().config.complete_revision() == Revision(0) {
        if host.now() >= end {
            let detail = "no configuration is held yet";
            return Err(Refusal::not_run(Reason::StoreUnavailable, detail)
                .retry_after(Duration::from_secs(1)));
        }
        Timer::after(CONFIGURATION_PERIOD).await;
    }
    Ok(())
}

/// Size of a request's head; the HTTP library keeps no more than 8 KiB of it.
fn head_bytes(request: &Request) -> u64 {
    let line = request.url().as_str().len();
    let fields = request.iter().flat_map(|(name, values)| {
        values.iter().map(|value| name.as_str().len() + value.as_str().len() + 4)
    });
    u64::try_from(line + fields.sum::<usize>()).unwrap_or(u64::MAX)
}

/// Whether a request can have a body.
pub fn has_body(request: &Request) -> bool {
    matches!(request.method(), Method::Post | Method::Put | Method::Patch)
}

async fn receive(host: &HostRef, request: &mut Request) -> Result<Vec<u8>, Refusal> {
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
    match within(Duration::from_millis(limits.receive_ms), reading).await {
        Ok(_) => {}
        Err(NodeError::Timeout) => {
            let detail = "the request did not arrive in time";
            return Err(Refusal::not_run(Reason::ReceiveTimeout, detail));
        }
        Err(err) => return Err(Refusal::not_run(Reason::BadRequest, &err.to_string())),
    }
    let received = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if received > limits.body_bytes {
        return Err(too_large());
    }
    if received < declared {
        return Err(Refusal::not_run(Reason::BadRequest, "the body ended early"));
    }
    Ok(bytes)
}

/// Nesting of a JSON text. Brackets in strings do not count.
///
/// Strings are skipped in one go, since a long prompt is one string and the host's only thread
/// scans it.
fn depth(mut bytes: &[u8]) -> u64 {
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

/// What follows a string whose opening quote was read.
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
    // One host runs on a thread.
    static LOGGED: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Counts and logs a refusal under its reason's name.
pub fn record(host: &Host, group: RouteGroup, refusal: &Refusal) {
    let reason = refusal.reason.name();
    host.metrics.refusals.with_label_values(&[reason]).inc();
    let (start, count) = LOGGED.get();
    let is_current = start.is_some_and(|start| start.elapsed() < Duration::from_secs(1));
    if !is_current && count > LOGGED_REFUSALS {
        event!(host.log, REFUSALS_NOT_LOGGED, "count" => count - LOGGED_REFUSALS);
    }
    let (start, count) = if is_current { (start, count + 1) } else { (Some(Instant::now()), 1) };
    LOGGED.set((start, count));
    if count <= LOGGED_REFUSALS {
        event!(host.log, REQUEST_REFUSED, "reason" => reason,
            "outcome" => refusal.outcome.name(), "route" => group.name,
            "detail" => &*refusal.detail);
    }
}

/// The answer to a refused request, after it was recorded.
pub fn refuse(host: &Host, group: RouteGroup, refusal: &Refusal) -> Response {
    record(host, group, refusal);
    problem(refusal)
}

#[cfg(test)]
mod tests;
