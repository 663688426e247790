//! Receives answers that are no streams, within what a host may hold. A server in trouble may send
//! without end, and many may do so at once.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::Gateway;

/// Largest answer, in bytes; as much as the largest request.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Bytes of all answers that are being received: a fifth of the smallest host.
const MAX_BUFFERED_BYTES: usize = 32 << 20;
/// Bytes up to which an answer is received in any case, so that the long ones of servers in trouble
/// fail no sound one.
const GUARANTEED_BYTES: usize = 64 << 10;

/// Bytes that are held for an answer; given back when it is dropped.
struct BufferedBytes<'a> {
    gateway: &'a Gateway,
    length: usize,
}

impl BufferedBytes<'_> {
    /// Whether `length` more bytes may be held.
    fn add(&mut self, length: usize) -> bool {
        let all = self.gateway.buffered_bytes.get() + length;
        let own = self.length + length;
        if own > MAX_RESPONSE_BYTES || (own > GUARANTEED_BYTES && all > MAX_BUFFERED_BYTES) {
            return false;
        }
        self.gateway.buffered_bytes.set(all);
        self.length += length;
        true
    }
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        self.gateway.buffered_bytes.set(self.gateway.buffered_bytes.get() - self.length);
    }
}

/// Receives a body as long as it stays within what one answer, and all together, may take.
pub async fn receive_body(gateway: &Gateway, mut body: Incoming) -> Result<Bytes, Arc<str>> {
    let mut held = BufferedBytes { gateway, length: 0 };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| Arc::from(err.to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        if !held.add(data.len()) {
            return Err("the answer is longer than a host holds".into());
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.into())
}
