//! The value of a resource in the key-value service.

use std::sync::Arc;

use parsley_macros::message;
use serde_json::Value;

/// A resource as it is stored: what the operator declared, and the write that declared it.
#[message]
#[serde(deny_unknown_fields)]
pub struct StoredResource {
    /// The operator's declaration.
    pub spec: Value,
    /// Names the write, so that its writer recognises it after a lost answer.
    #[serde(default)]
    pub write_id: Arc<str>,
    /// Who wrote it: the first digits of the digest of the operator's token.
    #[serde(default)]
    pub operator: Arc<str>,
    /// When it was written, in milliseconds since 1970 on the writing host's clock.
    #[serde(default)]
    pub written_ms: u64,
}

impl StoredResource {
    /// Reads a stored value. A bare spec, written without the administration API, is accepted.
    pub fn decode(text: &str) -> Result<StoredResource, Arc<str>> {
        let wrong = |err: serde_json::Error| Arc::<str>::from(err.to_string());
        let value: Value = serde_json::from_str(text).map_err(wrong)?;
        // No kind of resource has a field of this name.
        if value.get("spec").is_some() {
            return serde_json::from_value(value).map_err(wrong);
        }
        Ok(StoredResource { spec: value, write_id: "".into(), operator: "".into(), written_ms: 0 })
    }

    /// The stored form.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("resources are plain data")
    }
}
