//! Structured logs: a terminal form on a terminal, JSON lines otherwise.
//!
//! Every event is an entry of [`CATALOGUE`] and is written with [`event!`](crate::event), so that
//! its number, level and text cannot differ between places. `docs/events.md` tells operators what
//! each one means; a test compares the two.

use std::io::{IsTerminal, Write};

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_term::Decorator;

/// Lines that wait for the terminal or pipe; further ones are dropped and counted in a line.
const WAITING_LINES: usize = 4_096;

/// One event that a host can log.
#[derive(Clone, Copy, Debug)]
pub struct LogEvent {
    /// Number.
    pub number: &'static str,
    /// Level.
    pub level: Level,
    /// Text for a person.
    pub text: &'static str,
    /// Names of the fields.
    pub fields: &'static [&'static str],
}

/// Declares events as constants and collects them.
macro_rules! catalogue {
    ($($name:ident: $number:literal $level:ident $text:literal [$($field:literal),*];)*) => {
        $(
            #[doc = concat!($number, ": ", $text, ".")]
            pub const $name: LogEvent = LogEvent {
                number: $number,
                level: Level::$level,
                text: $text,
                fields: &[$($field),*],
            };
        )*
        /// Every event.
        pub const CATALOGUE: &[LogEvent] = &[$($name),*];
    };
}

catalogue! {
    HOST_STARTED: "E1001" Info "host started" ["listen", "peer_listen", "tls", "version"];
    HOST_STOPPED: "E1002" Info "host stopped" [];
    DRAINING: "E1003" Info "draining" ["by"];
    TLS_RELOADED: "E1004" Info "certificate reloaded" ["file"];
    TLS_NOT_RELOADED: "E1005" Error "certificate not reloaded" ["file", "error"];
    PEER_LINK_ENDED: "E1101" Info "peer connection ended" ["peer", "error"];
    PEER_CONNECTION_ENDED: "E1102" Info "connection from peer ended" ["error"];
    DECLARED_DEAD: "E1103" Warning "other hosts took this host for dead" [];
    DATAGRAM_TOO_LARGE: "E1104" Warning "datagram larger than networks carry" ["bytes"];
    STORE_UNAVAILABLE: "E1201" Warning "key-value service does not answer" ["error"];
    CONFIG_IN_FORCE: "E1202" Info "configuration in force" ["revision"];
    ENGINE_AVAILABILITY_CHANGED: "E1301" Warning "engine usable or not" ["engine", "usable"];
    CANCEL_FAILED: "E1302" Warning "cancel failed" ["stream", "error"];
    SHARD_LEASE_FAILED: "E1303" Warning "lease call failed" ["shard", "error"];
    ORDER_SENT: "E1304" Info "order sent" ["engine", "action", "model", "fencing", "result"];
    RELEASE_FAILED: "E1305" Warning "release of a group failed" ["group", "error"];
    GROUP_FAILED: "E1306" Warning "group failed" ["work", "error"];
    ORPHAN_CANCELLED: "E1307" Warning "orphaned stream cancelled" ["stream", "owner"];
    RESOURCE_APPLIED: "E1401" Info "resource applied"
        ["operator", "resource", "revision", "write_id"];
    RESOURCE_DELETED: "E1402" Info "resource deleted"
        ["operator", "resource", "revision", "write_id"];
    WRITE_REFUSED: "E1403" Warning "write to a resource refused"
        ["operator", "resource", "reason", "detail"];
    DRAIN_REQUESTED: "E1404" Info "drain requested" ["operator"];
    REQUEST_REFUSED: "E1501" Info "request refused" ["reason", "outcome", "route", "detail"];
    REFUSALS_NOT_LOGGED: "E1502" Warning "refusals not logged" ["count"];
    CONNECTION_CLOSED: "E1503" Info "connection closed" ["reason", "from"];
    GATEWAY_STARTED: "E2001" Info "gateway started" ["host", "serving", "incarnation", "version"];
    GATEWAY_STOPPED: "E2002" Info "gateway stopped" ["open"];
    GATEWAY_DRAINING: "E2003" Info "gateway draining" ["open", "grace_ms"];
    SETTINGS_RELOADED: "E2004" Info "settings read again" ["cause", "changed"];
    SETTINGS_INVALID: "E2005" Error "settings not valid" ["cause", "error"];
    ACCEPT_FAILED: "E2006" Warning "connection not accepted" ["error"];
    STORE_LOST: "E2101" Warning "store lost" ["part", "error"];
    STORE_REGAINED: "E2102" Info "store regained" ["part", "revision"];
    CONFIG_APPLIED: "E2103" Info "configuration taken" ["version", "from", "age_ms", "heard_ms"];
    STORE_ENTRY_INVALID: "E2104" Warning "entry of the store not valid" ["entry", "error"];
    EVIDENCE_STALE: "E2105" Warning "configuration may be old" ["version", "age_ms"];
    EVIDENCE_RENEWED: "E2106" Info "configuration known to be the newest" ["version", "age_ms"];
    REGISTER_FAILED: "E2107" Warning "host not registered" ["error"];
    NEWER_CONFIG_REPORTED: "E2108" Info "newer configuration heard of" ["version", "held", "from", "age_ms"];
    PEER_HEARTBEATS_RECEIVED: "E2201" Info "peer heard" ["peer", "incarnation", "ready"];
    PEER_HEARTBEATS_MISSING: "E2202" Warning "peer silent" ["peer"];
    DATAGRAM_REJECTED: "E2203" Warning "datagram not valid" ["from", "error"];
    DUTY_CHANGED: "E2204" Info "duty of this host changed" ["duty", "living", "unanswered"];
    SERVER_CHANGED: "E2301" Info "server in discovery"
        ["server", "id", "service", "address", "leaving", "revision"];
    SERVER_REMOVED: "E2302" Info "server gone" ["server"];
    SERVER_ATTEMPT_FAILED: "E2303" Warning "server failed an attempt"
        ["server", "verdict", "failure_percent", "request"];
    MEMORY_ORDER_FAILED: "E2304" Warning "order for memory failed" ["server", "name", "error"];
    SERVER_LEAVING: "E2305" Info "server said that it leaves" ["server"];
    SERVER_PAUSED: "E2306" Info "server asked for a pause" ["server", "pause_ms"];
    REQUEST_ARRIVED: "E2401" Info "request arrived"
        ["request", "route", "account", "priority", "prompt", "patience_ms", "config", "config_age_ms"];
    REQUEST_PLACED: "E2402" Info "request placed"
        ["request", "server", "attempt", "helpers", "waited_ms", "first_ms", "harmed", "failure_percent",
            "requests", "weighed", "revision", "hosts"];
    ATTEMPT_FAILED: "E2403" Warning "attempt failed"
        ["request", "server", "attempt", "fault", "may_have_run", "events"];
    REQUEST_ENDED: "E2404" Info "request ended"
        ["request", "outcome", "status", "attempts", "first_ms", "total_ms"];
    REQUEST_FAILED: "E2405" Warning "request failed"
        ["request", "reason", "outcome", "status", "attempts", "total_ms", "config", "config_age_ms", "detail"];
    CALLER_DISCONNECTED: "E2406" Info "caller left" ["request", "attempts", "total_ms"];
    LINES_DROPPED: "E2407" Warning "log lines not written" ["count"];
    CALLER_CONNECTION_FAILED: "E2408" Info "connection of a caller broke" ["from", "error"];
}

/// Writes an event of the catalogue: `event!(log, EVENT, "field" => value)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:ident $(, $key:literal => $($value:tt)*)?) => {
        ::slog::log!(
            $log, $crate::log::$event.level, "", "{}", $crate::log::$event.text;
            "event" => $crate::log::$event.number $(, $key => $($value)*)?
        )
    };
}

/// The root logger to standard output. The guard writes out what is waiting when it is dropped.
pub fn root() -> (Logger, AsyncGuard) {
    if std::io::stdout().is_terminal() {
        return background(terminal(slog_term::TermDecorator::new().stdout().build()).fuse());
    }
    background(json(std::io::stdout()).fuse())
}

/// One JSON object a line: `ts`, `level`, `event`, `msg` and the event's fields.
pub fn json<W: Write + Send + 'static>(output: W) -> slog_json::Json<W> {
    slog_json::Json::new(output).set_flush(true).add_default_keys().build()
}

/// One line an event for a person at a terminal.
pub fn terminal<D: Decorator>(decorator: D) -> slog_term::FullFormat<D> {
    slog_term::FullFormat::new(decorator).use_original_order().build()
}

fn background<D>(drain: D) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain).chan_size(WAITING_LINES).build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
