//! Signs and verifies continuation tokens.
//!
//! With a continuation token a caller can fetch the rest of its answer through another host. Hosts
//! derive the signing key from their shared secret, so each accepts the tokens of all others.

use std::sync::Arc;

use parsley_macros::message;

#[cfg(test)]
mod tests;

/// Content of a continuation token.
#[message]
pub struct ContinuationToken {
    /// Id of the request whose answer is continued.
    pub request: Arc<str>,
    /// Client account that may use the token.
    pub account: Arc<str>,
    /// Model that the request asked for.
    pub model: Arc<str>,
    /// Engine on which the stream runs.
    pub engine: Arc<str>,
    /// Id of the stream on the engine.
    pub stream: Arc<str>,
    /// Number of the attempt that the stream belongs to.
    pub attempt: u32,
    /// Number of times that the caller resumed the request.
    pub resume: u32,
    /// Unix time in milliseconds from which on the token is invalid.
    pub expires_ms: u64,
}

/// Signs and verifies continuation tokens with a keyed BLAKE3 hash.
pub struct TokenSigner {
    key: [u8; 32],
}

/// Length of the BLAKE3 hash at the end of a token, in bytes.
const MAC_BYTES: usize = 32;

impl TokenSigner {
    /// Creates a signer whose key is derived from the secret that all hosts share.
    pub fn new(secret: &str) -> TokenSigner {
        TokenSigner {
            key: blake3::derive_key("parsleystage continuation token 1", secret.as_bytes()),
        }
    }

    /// Returns the signed token as hexadecimal text.
    pub fn sign(&self, token: &ContinuationToken) -> String {
        let mut bytes = postcard::to_stdvec(token).expect("tokens contain only plain text");
        let mac = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Verifies a token at the Unix time `now_ms` and returns its content, or `None` if it is
    /// forged, damaged or expired.
    pub fn check(&self, text: &str, now_ms: u64) -> Option<ContinuationToken> {
        let bytes = from_hex(text)?;
        let (body, mac) = bytes.split_at_checked(bytes.len().checked_sub(MAC_BYTES)?)?;
        let mac: [u8; MAC_BYTES] = mac.try_into().ok()?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.key, body) != blake3::Hash::from_bytes(mac) {
            return None;
        }
        let token: ContinuationToken = postcard::from_bytes(body).ok()?;
        (token.expires_ms > now_ms).then_some(token)
    }
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
