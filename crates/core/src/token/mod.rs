//! Decides whether a continuation token is genuine.
//!
//! Owns the key. A token lets a caller fetch the rest of its own answer through another host.

use std::sync::Arc;

use parsley_macros::message;

#[cfg(test)]
mod tests;

/// What a continuation token says.
#[message]
pub struct ContinuationToken {
    /// Request id.
    pub request: Arc<str>,
    /// Client account that may use the token.
    pub account: Arc<str>,
    /// Model of the request.
    pub model: Arc<str>,
    /// Engine that runs the stream.
    pub engine: Arc<str>,
    /// Stream id on the engine.
    pub stream: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// Times that the caller resumed the request.
    pub resume: u32,
    /// Unix time in milliseconds after which the token is void.
    pub expires_ms: u64,
}

/// Signs and checks continuation tokens with a keyed BLAKE3 hash.
pub struct TokenSigner {
    key: [u8; 32],
}

const TAG_BYTES: usize = 32;

impl TokenSigner {
    /// A signer whose key is derived from the secret that all hosts share.
    pub fn new(secret: &str) -> TokenSigner {
        TokenSigner {
            key: blake3::derive_key("parsleystage continuation token 1", secret.as_bytes()),
        }
    }

    /// The token in text form.
    pub fn sign(&self, token: &ContinuationToken) -> String {
        let mut bytes = postcard::to_stdvec(token).expect("tokens contain only plain text");
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(tag.as_bytes());
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The content of a token in text form, or none if it is forged, damaged or expired.
    pub fn check(&self, text: &str, now_ms: u64) -> Option<ContinuationToken> {
        let bytes = from_hex(text)?;
        let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let tag: [u8; TAG_BYTES] = tag.try_into().ok()?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.key, body) != blake3::Hash::from_bytes(tag) {
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
