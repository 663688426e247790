//! Receives the bodies of requests, and of responses that are not streams, within memory limits. A
//! faulty server may send without end, and many callers and servers may send at once.

use std::{cell::Cell, sync::Arc, time::Duration};

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use parsley_core::refusal::{Reason, Refusal};

use super::{
    Gateway,
    budget::{HeldMemory, MemoryUse},
};

/// Largest response body, in bytes; as large as the largest request body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Memory of a request besides its body: its head, its tasks and its place in the queue.
const REQUEST_BYTES: usize = 8 << 10;
/// Memory of a stream besides its further chunks: the buffer of its engine's connection and the
/// chunk that is handed over.
const STREAM_BYTES: usize = 32 << 10;
/// Added to `Retry-After` of a request whose body finds no memory: bodies are held for as long as
/// their requests run.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Bytes on the wire for each byte of a body, at most: a chunk of one byte takes six.
const MAX_FRAMING_RATIO: u64 = 8;
/// Bytes on the wire that a response may always take.
const FRAMING_ALLOWANCE: u64 = 256 << 10;
/// Fault of a response that finds no room.
pub const TOO_LONG: &str = "the answer is longer than a host holds";
/// Interval at which the bytes on the wire are compared with those of the body.
const FRAMING_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Receives a body from a connection with the given counter of received bytes. Errs if the body
/// exceeds the limit of one response or of all together, or consists almost only of framing.
pub async fn receive_body(
    gateway: &Gateway,
    mut body: Incoming,
    received: &Cell<u64>,
) -> Result<(Bytes, HeldMemory), Arc<str>> {
    let mut held = gateway.budget.holder(MemoryUse::Response);
    let mut bytes = Vec::new();
    if body.size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
        return Err(TOO_LONG.into());
    }
    // The buffer of a body of known length takes no more than that.
    let upper = body.size_hint().upper().and_then(|upper| usize::try_from(upper).ok());
    let most = upper.unwrap_or(usize::MAX).min(MAX_RESPONSE_BYTES);
    let start = received.get();
    loop {
        let limit = start + bytes.len() as u64 * MAX_FRAMING_RATIO + FRAMING_ALLOWANCE;
        let next = async { Some(body.frame().await) };
        let exceeded = async {
            while received.get() <= limit {
                Timer::after(FRAMING_CHECK_PERIOD).await;
            }
            None
        };
        let Some(frame) = next.or(exceeded).await else {
            return Err("the answer is framed without end".into());
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|err| Arc::from(err.to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        if !grow_for(&mut bytes, data.len(), most, &mut held) {
            return Err(TOO_LONG.into());
        }
        bytes.extend_from_slice(data);
    }
    Ok((bytes.into(), held))
}

/// Makes room for `length` more bytes, of at most `limit` in all, and takes it from the budget.
/// Returns whether there is room.
fn grow_for(bytes: &mut Vec<u8>, length: usize, limit: usize, held: &mut HeldMemory) -> bool {
    let needed = bytes.len() + length;
    if needed <= bytes.capacity() {
        return true;
    }
    if needed > limit {
        return false;
    }
    let capacity = needed.max(2 * bytes.capacity()).min(limit);
    if !held.try_take(capacity.saturating_sub(held.length())) {
        return false;
    }
    bytes.reserve_exact(capacity - bytes.len());
    true
}

/// Memory of a request, kept until it ends.
pub struct RequestMemory {
    _work: HeldMemory,
    _body: HeldMemory,
}

/// Receives the body of a request of at most `limit` bytes. If the budget has no room for it, the
/// rest is read and dropped, so that the caller gets the refusal and not a reset connection.
pub async fn receive_request(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    (priority, is_stream): (u8, bool),
) -> Result<(Bytes, RequestMemory), Refusal> {
    let mut work = gateway.budget.holder(MemoryUse::for_work(priority));
    let mut has_room = work.try_take(REQUEST_BYTES + if is_stream { STREAM_BYTES } else { 0 });
    let mut held = gateway.budget.holder(MemoryUse::for_priority(priority));
    let mut bytes = Vec::new();
    let mut received = 0;
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(too_large());
    }
    if announced > 0 {
        has_room = has_room && grow_for(&mut bytes, announced, announced, &mut held);
    }
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Refusal::not_run(Reason::BadRequest, "the body broke off"))?;
        let Some(data) = frame.data_ref() else { continue };
        received += data.len();
        if received > limit {
            return Err(too_large());
        }
        has_room = has_room && grow_for(&mut bytes, data.len(), limit, &mut held);
        match has_room {
            true => bytes.extend_from_slice(data),
            false => bytes = Vec::new(),
        }
    }
    if !has_room {
        return Err(memory_refusal(gateway));
    }
    Ok((bytes.into(), RequestMemory { _work: work, _body: held }))
}

/// Refusal of a request that finds no memory.
pub fn memory_refusal(gateway: &Gateway) -> Refusal {
    Refusal::not_run(Reason::HostMemory, "this host has no memory for the request")
        .retry_after(gateway.peer_retry_after() + MEMORY_RETRY_DELAY)
}

fn too_large() -> Refusal {
    Refusal::not_run(Reason::BodyTooLarge, "the body is larger than allowed")
}
