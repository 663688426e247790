//! The value of a resource in the key-value service.

use std::sync::Arc;

use parsley_macros::message;
use serde_json::Value;

/// A resource as it is stored: the specification and metadata of the write that stored it.
#[message]
#[serde(deny_unknown_fields)]
pub struct StoredResource {
    /// Specification that the operator declared.
    pub spec: Value,
    /// Id of the write, by which the writer recognises its own write after a lost answer.
    #[serde(default)]
    pub write_id: Arc<str>,
    /// Operator who wrote the resource, as the first digits of the digest of the bearer token.
    #[serde(default)]
    pub operator: Arc<str>,
    /// Time of the write in Unix milliseconds, by the clock of the writing host.
    #[serde(default)]
    pub written_ms: u64,
}

impl StoredResource {
    /// Decodes a stored value. A specification without metadata, which was written without the
    /// administration API, is accepted too.
    pub fn decode(text: &str) -> Result<StoredResource, Arc<str>> {
        let wrong = |err: serde_json::Error| Arc::<str>::from(err.to_string());
        let value: Value = serde_json::from_str(text).map_err(wrong)?;
        // No specification has a field of this name, so the two forms cannot be confused.
        if value.get("spec").is_some() {
            return serde_json::from_value(value).map_err(wrong);
        }
        Ok(StoredResource { spec: value, write_id: "".into(), operator: "".into(), written_ms: 0 })
    }

    /// Encodes the resource for the key-value service.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("resources are plain data")
    }
}
