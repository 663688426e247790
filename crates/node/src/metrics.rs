//! Counters, gauges and histograms of one host, in the Prometheus text form.
//!
//! Names carry base units. Every label takes its values from a fixed list or from the ranks in
//! force, so that callers cannot create series.

use std::{cell::Cell, sync::Arc, time::Instant};

use parsley_core::refusal::Reason;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};

use crate::host::Host;

/// Bytes of a prompt that are taken for one token.
const BYTES_PER_TOKEN: usize = 4;
/// Upper bounds for the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];
/// Upper bounds for the time of an answer, in seconds.
const ANSWER_BUCKETS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 10.0, 60.0, 300.0];

/// The metrics of a host.
pub struct HostMetrics {
    registry: Registry,
    /// Requests by route and status.
    pub requests: IntCounterVec,
    /// Refused and failed requests by reason.
    pub refusals: IntCounterVec,
    /// Time until the first token, by rank and prompt-length class.
    pub first_token: HistogramVec,
    /// Time until the head of an answer.
    pub answer: Histogram,
    /// Bytes exchanged with callers and operators, by direction.
    pub caller_bytes: IntCounterVec,
    /// Bytes exchanged with other hosts as datagrams, by direction and content.
    pub control_bytes: IntCounterVec,
    /// Writes of operators by result.
    pub writes: IntCounterVec,
    /// Connections of callers and operators.
    pub connections: IntGauge,
    open_requests: IntGauge,
    config_revision: IntGauge,
    members: IntGaugeVec,
    draining: IntGauge,
}

impl HostMetrics {
    /// Metrics that are all zero.
    #[allow(clippy::new_without_default)] // An empty set of metrics is not a useful default.
    pub fn new() -> HostMetrics {
        let registry = Registry::new();
        let metrics = HostMetrics {
            requests: counters(&registry, "requests_total", "Requests.", &["route", "status"]),
            refusals: counters(
                &registry,
                "refusals_total",
                "Refused and failed requests.",
                &["reason"],
            ),
            first_token: first_token(&registry),
            answer: register(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new("parsley_answer_seconds", "Time until an answer's head.")
                        .buckets(ANSWER_BUCKETS.to_vec()),
                ),
            ),
            caller_bytes: counters(
                &registry,
                "caller_bytes_total",
                "Bytes exchanged with callers and operators.",
                &["direction"],
            ),
            control_bytes: counters(
                &registry,
                "control_bytes_total",
                "Bytes of datagrams exchanged with other hosts.",
                &["direction", "content"],
            ),
            writes: counters(&registry, "writes_total", "Writes of operators.", &["result"]),
            connections: gauge(&registry, "connections", "Connections of callers and operators."),
            open_requests: gauge(&registry, "open_requests", "Requests in progress."),
            config_revision: gauge(&registry, "config_revision", "Complete revision."),
            members: register(
                &registry,
                IntGaugeVec::new(Opts::new("parsley_members", "Known hosts."), &["state"]),
            ),
            draining: gauge(&registry, "draining", "1 while the host is draining."),
            registry,
        };
        // A refusal that never happened is shown as zero, so that a rate can be computed from it.
        for reason in Reason::ALL {
            metrics.refusals.with_label_values(&[reason.name()]);
        }
        metrics
    }

    /// All metrics as text.
    pub fn render(&self, host: &Host) -> String {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.open_requests.set(count(host.open_requests()));
        let state = host.state.borrow();
        self.config_revision
            .set(i64::try_from(state.config.complete_revision().0).unwrap_or(i64::MAX));
        self.draining.set(i64::from(state.is_draining()));
        self.members.with_label_values(&["serving"]).set(count(state.members.serving().count()));
        self.members.with_label_values(&["live"]).set(count(state.members.live().count()));
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Measures the time from a request's arrival to its first token, once.
pub struct FirstTokenMeter {
    rank: Arc<str>,
    class: &'static str,
    start: Cell<Option<Instant>>,
}

impl FirstTokenMeter {
    /// Starts to measure. Ranks are those in force, so their number is bounded.
    pub fn start(rank: &Arc<str>, prompt_bytes: usize) -> FirstTokenMeter {
        let class = length_class(prompt_bytes / BYTES_PER_TOKEN);
        FirstTokenMeter { rank: rank.clone(), class, start: Cell::new(Some(Instant::now())) }
    }

    /// Notes that a chunk arrived; only the first one counts.
    pub fn record_chunk(&self, metrics: &HostMetrics) {
        let Some(start) = self.start.take() else { return };
        let histogram = metrics.first_token.with_label_values(&[&self.rank, self.class]);
        histogram.observe(start.elapsed().as_secs_f64());
    }
}

/// The name of a prompt's size class.
pub fn length_class(prompt_tokens: usize) -> &'static str {
    match prompt_tokens {
        0..=2_048 => "2k",
        2_049..=16_384 => "16k",
        16_385..=131_072 => "128k",
        _ => "above-128k",
    }
}

fn first_token(registry: &Registry) -> HistogramVec {
    let options = HistogramOpts::new("parsley_first_token_seconds", "Time until the first token.")
        .buckets(FIRST_TOKEN_BUCKETS.to_vec());
    register(registry, HistogramVec::new(options, &["rank", "class"]))
}

pub(crate) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let options = Opts::new(format!("parsley_{name}"), help);
    register(registry, IntCounterVec::new(options, labels))
}

pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(format!("parsley_{name}"), help))
}

pub(crate) fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> C {
    let collector = collector.expect("names and labels are constants");
    registry.register(Box::new(collector.clone())).expect("names are unique");
    collector
}
