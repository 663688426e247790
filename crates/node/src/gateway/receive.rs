//! Receives response bodies that are not streams, within memory limits. A faulty server may send
//! without end, and many may do so at once.

use std::sync::Arc;

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

/// Receives a body. Errs if it exceeds the limit of one response or of all together.
pub async fn receive_body(gateway: &Gateway, mut body: Incoming) -> Result<Bytes, Arc<str>> {
    let mut buffered = BufferedBytes { gateway, length: 0 };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| Arc::from(err.to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        if !buffered.try_add(data.len()) {
            return Err("the answer is longer than a host holds".into());
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.into())
}
