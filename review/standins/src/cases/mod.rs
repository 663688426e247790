//! One module a case, and what they share.

pub mod config_storm;
pub mod cut_watches;
pub mod foreign_keys;
pub mod large_bodies;
pub mod large_entries;
pub mod silent_engine;
pub mod stop_while_waiting;

use std::{io, net::SocketAddr};

use crate::{host::Host, record::Record};

/// API key of the client account that exists from the start.
pub const KEY: &str = "k3y0ne";
/// Client account that exists from the start.
pub const ACCOUNT: &str = "hule930";

/// `config_apply_ms` of the small sites.
const APPLY_MS: u64 = 2_000;

/// Service and route of a configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub is_model: bool,
    /// Whether requests need no key.
    pub is_open: bool,
}

/// Configuration with one route and one service each, and client accounts with one key each.
pub fn config(version: u32, routes: &[Route], accounts: &[(&str, &str)]) -> String {
    let listed = routes.iter().enumerate().map(|(index, route)| {
        let Route { prefix, kind, service, timeout_ms, is_open, .. } = route;
        let resume = *kind == "stream";
        format!(
            r#"{{"name":"r{index}","host":"a.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"slo_ms":6000,"priority":2,"attempts":1,"service":"{service}","allow_anonymous":{is_open},"sticky":{resume},"stream_resume":{resume},"gap_aim_ms":800}}"#
        )
    });
    let services = routes.iter().map(|route| {
        let engine = match route.is_model {
            true => {
                r#","engine":{"slots":16,"kv_capacity":450000,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"stride":46,"hop_ms":0.1}"#
            }
            false => "",
        };
        let name = route.service;
        format!(r#"{{"name":"{name}","health_path":"/health","max_connections":434{engine}}}"#)
    });
    let accounts =
        accounts.iter().map(|(name, key)| format!(r#"{{"name":"{name}","api_keys":["{key}"]}}"#));
    let join = |parts: Vec<String>| parts.join(",");
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        join(listed.collect()),
        join(services.collect()),
        join(accounts.collect())
    )
}

/// Starts hosts and waits until all are ready and told to clients.
pub fn start_hosts(
    count: u8,
    store: SocketAddr,
    memory_mb: u64,
    record: &Record,
) -> io::Result<Vec<Host>> {
    start_hosts_at(&vec![store; count.into()], memory_mb, APPLY_MS, record)
}

/// Like [`start_hosts`], with an address of the store for each host and another `config_apply_ms`.
pub fn start_hosts_at(
    stores: &[SocketAddr],
    memory_mb: u64,
    apply_ms: u64,
    record: &Record,
) -> io::Result<Vec<Host>> {
    let start = |(number, store): (usize, &SocketAddr)| {
        Host::start(number as u8, *store, memory_mb, apply_ms)
    };
    let hosts: io::Result<Vec<_>> = stores.iter().enumerate().map(start).collect();
    let hosts = hosts?;
    for host in &hosts {
        if !host.wait_until_ready() {
            record.line(&format!("log of {}: {}", host.name, host.log()));
            return Err(io::Error::other("a host did not become ready"));
        }
    }
    let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while std::time::Instant::now() < end {
        let told = hosts[0].resolve().unwrap_or_default();
        if hosts.iter().all(|host| told.contains(&host.front.to_string())) {
            record.line(&format!("clients are told to use {told}"));
            return Ok(hosts);
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    Err(io::Error::other("clients are not told of all hosts"))
}
