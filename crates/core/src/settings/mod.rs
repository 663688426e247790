//! The settings file of a host: JSON with comments.

use std::sync::Arc;

use parsley_macros::message;

/// Settings of one host.
#[message]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host, unique among live hosts.
    pub name: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators, as `ip:port`.
    pub listen: Arc<str>,
    /// Address for other hosts, TCP and UDP, as `ip:port`.
    pub peer_listen: Arc<str>,
    /// Address that other hosts use instead of `peer_listen`, as `ip:port`.
    #[serde(default)]
    pub peer_advertise: Option<Arc<str>>,
    /// Secret shared by all hosts.
    pub peer_key: Arc<str>,
    /// BLAKE3 hex digests of the operators' bearer tokens; anyone may administer if empty.
    #[serde(default)]
    pub operator_digests: Vec<Arc<str>>,
    /// Addresses of the key-value service, as `ip:port`.
    pub store: Vec<Arc<str>>,
    /// Address of the host list, as `ip:port`.
    #[serde(default)]
    pub host_list: Option<Arc<str>>,
    /// Peer addresses to contact first, as `ip:port`.
    #[serde(default)]
    pub seeds: Vec<Arc<str>>,
    /// Largest request body in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Capacity of the host relative to others.
    #[serde(default = "one")]
    pub capacity: u32,
}

fn default_body_bytes() -> u64 {
    16 << 20
}

fn one() -> u32 {
    1
}

/// Reads settings from JSON with comments.
pub fn parse(text: &str) -> Result<HostSettings, Arc<str>> {
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &Default::default())
        .map_err(|err| Arc::<str>::from(err.to_string()))?;
    serde_json::from_value(value).map_err(|err| err.to_string().into())
}
