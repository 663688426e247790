//! Receives response bodies that are not streams, within memory limits. A faulty server may send
//! without end, and many may do so at once.

use std::{cell::Cell, sync::Arc, time::Duration};

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::Gateway;

/// Largest response body, in bytes; as large as the largest request body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Bytes of all response bodies in progress: a fifth of the smallest host's memory.
const MAX_BUFFERED_BYTES: usize = 32 << 20;
/// Bytes that a response may always take, so that long ones from faulty servers do not fail those
/// of healthy servers.
const GUARANTEED_BYTES: usize = 64 << 10;

/// Bytes on the wire for each byte of a body, at most: a chunk of one byte takes six.
const MAX_FRAMING_RATIO: u64 = 8;
/// Bytes on the wire that a response may always take.
const FRAMING_ALLOWANCE: u64 = 256 << 10;
/// Interval at which the bytes on the wire are compared with those of the body.
const FRAMING_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Bytes buffered for one response; subtracted from the total when dropped.
struct BufferedBytes<'a> {
    gateway: &'a Gateway,
    length: usize,
}

impl BufferedBytes<'_> {
    /// Whether `length` more bytes may be buffered; counts them if so.
    fn try_add(&mut self, length: usize) -> bool {
        let total = self.gateway.buffered_bytes.get() + length;
        let own = self.length + length;
        if own > MAX_RESPONSE_BYTES || (own > GUARANTEED_BYTES && total > MAX_BUFFERED_BYTES) {
            return false;
        }
        self.gateway.buffered_bytes.set(total);
        self.length += length;
        true
    }
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        self.gateway.buffered_bytes.set(self.gateway.buffered_bytes.get() - self.length);
    }
}

/// Receives a body from a connection with the given counter of received bytes. Errs if the body
/// exceeds the limit of one response or of all together, or consists almost only of framing.
pub async fn receive_body(
    gateway: &Gateway,
    mut body: Incoming,
    received: &Cell<u64>,
) -> Result<Bytes, Arc<str>> {
    let mut buffered = BufferedBytes { gateway, length: 0 };
    let mut bytes = Vec::new();
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
        if !buffered.try_add(data.len()) {
            return Err("the answer is longer than a host holds".into());
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.into())
}
