//! Counters, gauges and histograms of one host, in the Prometheus text format.
//!
//! Metric names contain base units. Label values come from fixed lists or from the configured
//! ranks, so that callers cannot create time series.

use std::{cell::Cell, sync::Arc, time::Instant};

use parsley_core::refusal::Reason;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};

use crate::host::Host;

/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;
/// Upper bounds of the histogram buckets for the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];
/// Upper bounds of the histogram buckets for the time to a response head, in seconds.
const ANSWER_BUCKETS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 10.0, 60.0, 300.0];

/// The metrics of a host.
///
/// The private gauges are set when the metrics are rendered.
pub struct HostMetrics {
    registry: Registry,
    /// Requests, by route group and HTTP status.
    pub requests: IntCounterVec,
    /// Refused and failed requests, by reason.
    pub refusals: IntCounterVec,
    /// Time from a request's arrival to its first token in seconds, by rank and prompt length
    /// class.
    pub first_token: HistogramVec,
    /// Time from the head of a request to the head of its response in seconds.
    pub answer: Histogram,
    /// Bytes exchanged with callers and operators, by direction, without TLS overhead.
    pub caller_bytes: IntCounterVec,
    /// Bytes exchanged with other hosts as datagrams, by direction and content.
    pub control_bytes: IntCounterVec,
    /// Resource writes by operators, by result: `accepted` or `refused`.
    pub writes: IntCounterVec,
    /// Open connections of callers and operators.
    pub connections: IntGauge,
    open_requests: IntGauge,
    config_revision: IntGauge,
    members: IntGaugeVec,
    draining: IntGauge,
}

impl HostMetrics {
    /// Creates the metrics with all values zero.
    #[allow(clippy::new_without_default)] // Created once per host; a default has no use.
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
        // Creates every series at zero, so that a rate over the first refusal can be computed.
        for reason in Reason::ALL {
            metrics.refusals.with_label_values(&[reason.name()]);
        }
        metrics
    }

    /// Renders all metrics in the Prometheus text format, with the gauges set from the host's
    /// state.
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

/// Measures the time from a request's arrival to its first token.
pub struct FirstTokenMeter {
    rank: Arc<str>,
    class: &'static str,
    /// Taken by the first chunk.
    start: Cell<Option<Instant>>,
}

impl FirstTokenMeter {
    /// Starts the measurement. `rank` must be a configured rank, as it becomes a label value.
    pub fn start(rank: &Arc<str>, prompt_bytes: usize) -> FirstTokenMeter {
        let class = prompt_length_class(prompt_bytes / BYTES_PER_TOKEN);
        FirstTokenMeter { rank: rank.clone(), class, start: Cell::new(Some(Instant::now())) }
    }

    /// Records the time to the first token when the first chunk arrives. Later calls have no
    /// effect.
    pub fn record_chunk(&self, metrics: &HostMetrics) {
        let Some(start) = self.start.take() else { return };
        let histogram = metrics.first_token.with_label_values(&[&self.rank, self.class]);
        histogram.observe(start.elapsed().as_secs_f64());
    }
}

/// Returns the label value of a prompt's length class.
pub fn prompt_length_class(prompt_tokens: usize) -> &'static str {
    match prompt_tokens {
        0..=2_048 => "2k",
        2_049..=16_384 => "16k",
        16_385..=131_072 => "128k",
        _ => "above-128k",
    }
}

/// Registers the histogram of the time to the first token.
fn first_token(registry: &Registry) -> HistogramVec {
    let options = HistogramOpts::new("parsley_first_token_seconds", "Time until the first token.")
        .buckets(FIRST_TOKEN_BUCKETS.to_vec());
    register(registry, HistogramVec::new(options, &["rank", "class"]))
}

/// Registers a family of counters named `parsley_<name>`.
pub(crate) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let options = Opts::new(format!("parsley_{name}"), help);
    register(registry, IntCounterVec::new(options, labels))
}

/// Registers a gauge named `parsley_<name>`.
pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(format!("parsley_{name}"), help))
}

/// Registers a collector. Panics if its name is invalid or already registered.
pub(crate) fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> C {
    let collector = collector.expect("names and labels are constants");
    registry.register(Box::new(collector.clone())).expect("names are unique");
    collector
}
