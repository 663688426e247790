//! The settings file of a host: JSON with comments.
//!
//! The settings identify the host and the services that it uses. Behaviour is configured through
//! resources, so the only tuning parameters here are the limits that protect the host itself.

use std::{fmt, sync::Arc};

use parsley_macros::message;
use serde::{Deserialize, Serialize};

use crate::document::{self, Field, Finding, ObjectReader};

mod builder;
#[cfg(test)]
mod tests;

pub use builder::SettingsBuilder;

/// Greatest length of a secret or path, in bytes.
const TEXT_BYTES: usize = 4096;
/// Least length of the secret that the hosts share, in bytes.
const PEER_KEY_BYTES: usize = 12;
/// Most addresses or digests in one list.
const LIST_LIMIT: usize = 64;

/// Settings of one host. The [`fmt::Debug`] output leaves out the peer key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host, unique among live hosts.
    pub name: Arc<str>,
    /// Region in which the host runs.
    pub region: Arc<str>,
    /// Failure domain in which the host runs.
    pub failure_domain: Arc<str>,
    /// Address on which the host listens for callers and operators, as `ip:port`.
    pub listen: Arc<str>,
    /// Address on which the host listens for other hosts, TCP and UDP, as `ip:port`.
    pub peer_listen: Arc<str>,
    /// Address that other hosts use in place of `peer_listen`, as `ip:port`.
    pub peer_advertise: Option<Arc<str>>,
    /// Secret that all hosts share.
    pub peer_key: Arc<str>,
    /// BLAKE3 digests of the operators' bearer tokens, in hexadecimal. If the list is empty, anyone
    /// may use the administration API.
    pub operator_digests: Vec<Arc<str>>,
    /// Addresses of the key-value service, as `ip:port`.
    pub store: Vec<Arc<str>>,
    /// Address of the host list, as `ip:port`.
    pub host_list: Option<Arc<str>>,
    /// Address of the weight store, as `ip:port`. Without it engines are not told to load models.
    #[serde(default)]
    pub weight_store: Option<Arc<str>>,
    /// Addresses of peers that the host contacts first, as `ip:port`.
    pub seeds: Vec<Arc<str>>,
    /// Capacity of the host relative to other hosts; 1 by default.
    pub capacity: u32,
    /// Files for TLS towards callers and operators; without them the host serves plain HTTP.
    pub tls: Option<TlsFiles>,
    /// Limits on requests of callers and operators.
    pub limits: RequestLimits,
}

/// Files for TLS. The host reads them again when they change.
#[message]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate chain in PEM.
    pub certificate_file: Arc<str>,
    /// Private key in PEM.
    pub key_file: Arc<str>,
}

/// Limits on connections and requests of callers and operators.
#[message]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Largest request head in bytes.
    pub header_bytes: u64,
    /// Greatest nesting depth of a JSON body.
    pub json_depth: u64,
    /// Time within which a request must arrive completely, in milliseconds.
    pub receive_ms: u64,
    /// Most open connections.
    pub connections: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            // A million tokens at four bytes each, with room for multi-byte text and escapes.
            body_bytes: 16 << 20,
            // The HTTP library reads at most 8 KiB of head.
            header_bytes: 8 << 10,
            json_depth: 32,
            receive_ms: 30_000,
            connections: 10_000,
        }
    }
}

impl fmt::Debug for HostSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostSettings")
            .field("name", &self.name)
            .field("region", &self.region)
            .field("failure_domain", &self.failure_domain)
            .field("listen", &self.listen)
            .field("peer_listen", &self.peer_listen)
            .field("store", &self.store)
            .field("host_list", &self.host_list)
            .field("seeds", &self.seeds)
            .field("capacity", &self.capacity)
            .field("tls", &self.tls)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl HostSettings {
    /// Returns a builder of settings for a host with the given name.
    pub fn builder(name: &str) -> SettingsBuilder {
        SettingsBuilder::new(name)
    }
}

/// Parses settings from JSON with comments. Returns all findings if there are any.
pub fn parse(text: &str) -> Result<HostSettings, Vec<Finding>> {
    document::read(text, read_settings)
}

fn read_settings(reader: &mut ObjectReader) -> Option<HostSettings> {
    let name = reader.field("name").required("\"host-1\"").name();
    let region = reader.field("region").required("\"north\"").name();
    let failure_domain = reader.field("failure_domain").required("\"north-1\"").name();
    let listen = reader.field("listen").required("\"10.0.0.5:7100\"").address();
    let peer_field = reader.field("peer_listen").required("\"10.0.0.5:7200\"");
    let peer_listen = peer_field.address();
    if peer_listen.is_some() && peer_listen == listen {
        peer_field.report("the same address as listen", "use another port");
    }
    let peer_advertise = reader.field("peer_advertise").address();
    let peer_key = read_peer_key(&reader.field("peer_key").required("\"a long shared secret\""));
    let operator_digests = reader.field("operator_digests").list(LIST_LIMIT, Field::digest);
    let store = reader.field("store").required("[\"10.0.0.9:2379\"]");
    let store = store.non_empty_list(LIST_LIMIT, Field::address);
    let host_list = reader.field("host_list").address();
    let weight_store = reader.field("weight_store").address();
    let seeds = reader.field("seeds").list(LIST_LIMIT, Field::address);
    let capacity = reader.field("capacity").number(1..=1_000);
    let tls = reader.field("tls").object(read_tls);
    let limits = reader.field("limits").object(|reader| Some(read_limits(reader)));
    Some(HostSettings {
        name: name?,
        region: region?,
        failure_domain: failure_domain?,
        listen: listen?,
        peer_listen: peer_listen?,
        peer_advertise,
        peer_key: peer_key?,
        operator_digests: operator_digests.unwrap_or_default(),
        store: store?,
        host_list,
        weight_store,
        seeds: seeds.unwrap_or_default(),
        capacity: capacity.and_then(|capacity| u32::try_from(capacity).ok()).unwrap_or(1),
        tls,
        limits: limits.unwrap_or_default(),
    })
}

fn read_peer_key(field: &Field) -> Option<Arc<str>> {
    let key = field.text(TEXT_BYTES)?;
    if key.len() < PEER_KEY_BYTES {
        field.report("too short", &format!("write at least {PEER_KEY_BYTES} bytes"));
    }
    Some(key)
}

fn read_tls(reader: &mut ObjectReader) -> Option<TlsFiles> {
    let certificate = reader.field("certificate_file").required("\"/etc/parsleystage/host.pem\"");
    let certificate_file = certificate.text(TEXT_BYTES);
    let key_file = reader.field("key_file").required("\"/etc/parsleystage/host.key\"");
    let key_file = key_file.text(TEXT_BYTES);
    Some(TlsFiles { certificate_file: certificate_file?, key_file: key_file? })
}

fn read_limits(reader: &mut ObjectReader) -> RequestLimits {
    let defaults = RequestLimits::default();
    let mut number = |name, range, default| reader.field(name).number(range).unwrap_or(default);
    RequestLimits {
        body_bytes: number("body_bytes", 1 << 10..=64 << 20, defaults.body_bytes),
        header_bytes: number("header_bytes", 512..=8 << 10, defaults.header_bytes),
        json_depth: number("json_depth", 4..=128, defaults.json_depth),
        receive_ms: number("receive_ms", 100..=600_000, defaults.receive_ms),
        connections: number("connections", 16..=100_000, defaults.connections),
    }
}
