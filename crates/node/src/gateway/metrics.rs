//! Counters, gauges and histograms of the gateway, in the Prometheus text format.

use parsley_core::refusal::Reason;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry,
    TextEncoder,
};

use crate::metrics::{counters, gauge, register};

/// Bucket bounds of the time to the first part of a response, in seconds.
const FIRST_PART_BUCKETS: [f64; 12] =
    [0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 1.5, 3.0, 6.0, 10.0, 15.0];
/// Bucket bounds of the time in the queue, in seconds.
const QUEUE_BUCKETS: [f64; 8] = [0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 3.0, 10.0];

/// Metrics of a gateway.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests that ended, by outcome and reason.
    pub requests: IntCounterVec,
    /// Time to the first part of a response, by prompt class, in seconds.
    pub first_part: HistogramVec,
    /// Time that each placement waited, in seconds.
    pub queue_wait: Histogram,
    /// Attempts at backend servers, by verdict.
    pub sends: IntCounterVec,
    /// Shutdowns and pauses announced by backend servers, by kind.
    pub notices: IntCounterVec,
    /// Placed requests that were not sent because their server no longer accepted work.
    pub held_back: IntCounter,
    /// Times that a server's bytes were cut off or slowed down because they had no end, by part.
    pub endless: IntCounterVec,
    /// Connections opened to backend servers for requests.
    pub connects: IntCounter,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Datagrams from and to peers, by direction.
    pub datagrams: IntCounterVec,
    /// Evidence from peers about the configuration, by its worth.
    pub peer_evidence: IntCounterVec,
    /// Bytes of datagrams from and to peers, by direction.
    pub datagram_bytes: IntCounterVec,
    /// Log lines dropped by the rate limit.
    pub dropped_log_lines: IntCounter,
    /// Memory for bodies and buffers, in bytes.
    pub memory_budget: IntGauge,
    /// Memory that bodies and buffers hold, in bytes.
    pub memory_held: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Connections ended because their callers read nothing.
    pub unread_connections: IntCounter,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Requests waiting for a placement.
    pub waiting_requests: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Age of the proof that this version is the newest, in milliseconds; the maximum if there is
    /// none.
    pub config_age: IntGauge,
    /// Newest known era of the store.
    pub store_era: IntGauge,
    /// Restores of the store that this process noticed.
    pub store_restores: IntCounter,
    /// Live hosts, this one included.
    pub live_hosts: IntGauge,
    /// Backend servers that may get work.
    pub usable_servers: IntGauge,
    /// Permits for limited servers by what happened: issued to other hosts or this one, received,
    /// denied, or requested from a substitute.
    pub permits: IntCounterVec,
    /// Backend servers that limit the rate of requests.
    pub limited_servers: IntGauge,
    /// Refusals of a sample that were followed to the caller's deadline.
    pub audited_refusals: IntGauge,
    /// Those among them for which a server had room in time.
    pub needless_refusals: IntGauge,
    /// Engines that are cold.
    pub cold_engines: IntGauge,
    /// Age of the proof that the list of servers is complete, in milliseconds; the maximum if there
    /// is none.
    pub server_list_age: IntGauge,
    /// Engine processes that ended under requests whose prompts may be the cause.
    pub engine_crashes: IntCounter,
    /// Parts of prompts under which engines ended, those in quarantine included.
    pub suspect_parts: IntGauge,
    /// Parts of prompts in quarantine.
    pub quarantined_parts: IntGauge,
    /// Retries left in the budgets of all services.
    pub retry_budget_left: IntGauge,
    /// Hosts among which the fixed part of the retry budget is divided.
    pub retry_budget_hosts: IntGauge,
    /// Retries and hedges that the retry budget granted or refused.
    pub retries: IntCounterVec,
    /// Evacuated failure domains with servers.
    pub evacuated_domains: IntGauge,
    /// Age of the proof that all evacuations are known, in milliseconds; the maximum if there is
    /// none, 0 if the deployment has no evacuations.
    pub evacuation_age: IntGauge,
    /// Connections to servers asked of peers, by result.
    pub relays_asked: IntCounterVec,
    /// Connections to servers that peers asked for, by result.
    pub relays_served: IntCounterVec,
    /// Connections that are relayed for peers.
    pub open_relays: IntGauge,
    /// Whether this host's own links to servers are cut.
    pub links_cut: IntGauge,
    /// Second copies of slow requests by what happened: sent, won, or refused by a limit.
    pub hedges: IntCounterVec,
}

impl GatewayMetrics {
    /// Creates the metrics, all zero.
    #[allow(clippy::new_without_default)] // An empty set of metrics is not a useful default.
    pub fn new() -> GatewayMetrics {
        let registry = Registry::new();
        let first_part = HistogramOpts::new(
            "parsley_gateway_first_part_seconds",
            "Time to the first part of an answer.",
        )
        .buckets(FIRST_PART_BUCKETS.to_vec());
        let queue_wait = HistogramOpts::new("parsley_gateway_queue_seconds", "Time in the queue.")
            .buckets(QUEUE_BUCKETS.to_vec());
        GatewayMetrics {
            requests: counters(
                &registry,
                "gateway_requests_total",
                "Requests.",
                &["outcome", "reason"],
            ),
            first_part: register(&registry, HistogramVec::new(first_part, &["size"])),
            queue_wait: register(&registry, Histogram::with_opts(queue_wait)),
            sends: counters(&registry, "gateway_sends_total", "Sends to servers.", &["result"]),
            notices: counters(
                &registry,
                "gateway_server_notices_total",
                "Notices of servers about themselves.",
                &["kind"],
            ),
            permits: counters(
                &registry,
                "gateway_permits_total",
                "Permits for servers that limit the rate of requests.",
                &["event"],
            ),
            held_back: register(
                &registry,
                IntCounter::new(
                    "parsley_gateway_held_back_total",
                    "Requests held back from servers that want nothing.",
                ),
            ),
            endless: counters(
                &registry,
                "gateway_endless_total",
                "Responses cut off or slowed down because they had no end.",
                &["part"],
            ),
            connects: register(
                &registry,
                IntCounter::new("parsley_gateway_connects_total", "Connections opened to servers."),
            ),
            store_calls: counters(
                &registry,
                "gateway_store_calls_total",
                "Calls to the store.",
                &["call", "result"],
            ),
            datagrams: counters(
                &registry,
                "gateway_datagrams_total",
                "Datagrams of peers.",
                &["direction"],
            ),
            peer_evidence: counters(
                &registry,
                "gateway_peer_evidence_total",
                "Evidence of peers about the configuration.",
                &["worth"],
            ),
            datagram_bytes: counters(
                &registry,
                "gateway_datagram_bytes_total",
                "Bytes of datagrams of peers.",
                &["direction"],
            ),
            dropped_log_lines: register(
                &registry,
                IntCounter::new(
                    "parsley_gateway_log_lines_dropped_total",
                    "Log lines not written.",
                ),
            ),
            memory_budget: gauge(
                &registry,
                "gateway_memory_budget_bytes",
                "Memory for bodies and buffers.",
            ),
            memory_held: gauge(
                &registry,
                "gateway_memory_held_bytes",
                "Memory held by bodies and buffers.",
            ),
            caller_connections: gauge(
                &registry,
                "gateway_caller_connections",
                "Open connections of callers.",
            ),
            unread_connections: register(
                &registry,
                IntCounter::new(
                    "parsley_gateway_unread_connections_total",
                    "Connections ended because their callers read nothing.",
                ),
            ),
            open_requests: gauge(&registry, "gateway_open_requests", "Open requests."),
            waiting_requests: gauge(&registry, "gateway_waiting_requests", "Waiting requests."),
            config_version: gauge(
                &registry,
                "gateway_config_version",
                "Version of the configuration in force.",
            ),
            config_age: gauge(
                &registry,
                "gateway_config_age_milliseconds",
                "Age of the proof that it is the newest.",
            ),
            store_era: gauge(&registry, "gateway_store_era", "Newest known era of the store."),
            store_restores: register(
                &registry,
                IntCounter::new(
                    "parsley_gateway_store_restores_total",
                    "Restores of the store that were noticed.",
                ),
            ),
            live_hosts: gauge(&registry, "gateway_hosts", "Hosts heard recently."),
            usable_servers: gauge(
                &registry,
                "gateway_servers",
                "Backend servers that may get work.",
            ),
            limited_servers: gauge(
                &registry,
                "gateway_limited_servers",
                "Backend servers that limit the rate of requests.",
            ),
            audited_refusals: gauge(
                &registry,
                "gateway_audited_refusals",
                "Refusals of a sample that were followed to the caller's deadline.",
            ),
            needless_refusals: gauge(
                &registry,
                "gateway_needless_refusals",
                "Audited refusals for which a server had room in time.",
            ),
            cold_engines: gauge(
                &registry,
                "gateway_cold_engines",
                "Engines that take few requests because they are cold.",
            ),
            server_list_age: gauge(
                &registry,
                "gateway_server_list_age_milliseconds",
                "Age of the proof that the list of servers is complete.",
            ),
            engine_crashes: register(
                &registry,
                IntCounter::new(
                    "parsley_gateway_engine_crashes_total",
                    "Engine processes that ended under requests whose prompts may be the cause.",
                ),
            ),
            suspect_parts: gauge(
                &registry,
                "gateway_suspect_parts",
                "Parts of prompts under which engines ended.",
            ),
            quarantined_parts: gauge(
                &registry,
                "gateway_quarantined_parts",
                "Parts of prompts in quarantine.",
            ),
            retry_budget_left: gauge(
                &registry,
                "gateway_retry_budget_left",
                "Repeats that may still be sent.",
            ),
            retry_budget_hosts: gauge(
                &registry,
                "gateway_retry_budget_hosts",
                "Hosts among which the fixed part of the retry budget is divided.",
            ),
            retries: counters(
                &registry,
                "gateway_retries_total",
                "Repeats that the retry budget granted or refused.",
                &["result"],
            ),
            evacuated_domains: gauge(
                &registry,
                "gateway_evacuated_domains",
                "Evacuated failure domains with servers.",
            ),
            evacuation_age: gauge(
                &registry,
                "gateway_evacuation_age_milliseconds",
                "Age of the proof that all evacuations are known.",
            ),
            relays_asked: counters(
                &registry,
                "gateway_relays_asked_total",
                "Connections to servers asked of peers.",
                &["result"],
            ),
            relays_served: counters(
                &registry,
                "gateway_relays_served_total",
                "Connections to servers that peers asked for.",
                &["result"],
            ),
            open_relays: gauge(&registry, "gateway_open_relays", "Connections relayed for peers."),
            links_cut: gauge(
                &registry,
                "gateway_links_cut",
                "1 while this host's own links to servers are cut.",
            ),
            hedges: counters(
                &registry,
                "gateway_hedges_total",
                "Second copies of slow requests.",
                &["event"],
            ),
            registry,
        }
    }

    /// Class of a prompt by its length in tokens; `none` for plain services.
    pub fn prompt_class(prompt: u32) -> &'static str {
        match prompt {
            0 => "none",
            1..=16_000 => "16k",
            16_001..=128_000 => "128k",
            _ => "above",
        }
    }

    /// Counts a request that ended.
    pub fn count_request(&self, outcome: &str, reason: Option<Reason>) {
        self.requests.with_label_values(&[outcome, reason.map_or("none", Reason::name)]).inc();
    }

    /// Metrics in the text format; empty if they cannot be encoded.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            text.clear();
        }
        text
    }
}
