//! Structured logs: formatted text on a terminal, JSON lines otherwise.
//!
//! Every event is an entry of [`CATALOGUE`] and is logged with [`event!`](crate::event), so its
//! number, level and text are the same at every call site. `docs/events.md` documents the events
//! for operators; a test checks that it matches the catalogue.

use std::io::{IsTerminal, Write};

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_term::Decorator;

/// Capacity of the queue to the writer thread, in records. When it is full, further records are
/// dropped, and their number is logged.
const QUEUE_RECORDS: usize = 4_096;

/// Definition of an event that a host can log.
#[derive(Clone, Copy, Debug)]
pub struct LogEvent {
    /// Stable identifier, `E` and four digits, logged in the field `event`.
    pub number: &'static str,
    /// Level at which the event is logged.
    pub level: Level,
    /// Message text, without values; those are in the fields.
    pub text: &'static str,
    /// Names of the fields, in the order in which they are passed to [`event!`](crate::event).
    pub fields: &'static [&'static str],
}

/// Declares each event as a constant and collects them all in `CATALOGUE`.
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
        /// All events, in the order of their numbers.
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
    DECLARED_DEAD: "E1103" Warning "declared dead by other hosts" [];
    DATAGRAM_TOO_LARGE: "E1104" Warning "datagram exceeds the safe size" ["bytes"];
    STORE_UNAVAILABLE: "E1201" Warning "key-value service does not answer" ["error"];
    CONFIG_IN_FORCE: "E1202" Info "configuration in force" ["revision"];
    ENGINE_AVAILABILITY_CHANGED: "E1301" Warning "engine availability changed" ["engine", "usable"];
    CANCEL_FAILED: "E1302" Warning "stream cancellation failed" ["stream", "error"];
    SHARD_LEASE_FAILED: "E1303" Warning "shard lease request failed" ["shard", "error"];
    ORDER_SENT: "E1304" Info "order sent" ["engine", "action", "model", "fencing", "result"];
    RELEASE_FAILED: "E1305" Warning "reservation release failed" ["group", "error"];
    GROUP_FAILED: "E1306" Warning "engine group failed" ["work", "error"];
    ORPHAN_CANCELLED: "E1307" Warning "orphaned stream cancelled" ["stream", "owner"];
    ENGINE_NOTICE_RECEIVED: "E1308" Info "engine wants no work" ["engine", "leaving", "pause_ms"];
    RESOURCE_APPLIED: "E1401" Info "resource applied"
        ["operator", "resource", "revision", "write_id"];
    RESOURCE_DELETED: "E1402" Info "resource deleted"
        ["operator", "resource", "revision", "write_id"];
    WRITE_REFUSED: "E1403" Warning "resource write refused"
        ["operator", "resource", "reason", "detail"];
    DRAIN_REQUESTED: "E1404" Info "drain requested" ["operator"];
    REQUEST_REFUSED: "E1501" Info "request refused" ["reason", "outcome", "route", "detail"];
    REFUSALS_NOT_LOGGED: "E1502" Warning "refusals not logged" ["count"];
    CONNECTION_CLOSED: "E1503" Info "connection closed" ["reason", "from"];
    GATEWAY_STARTED: "E2001" Info "gateway started" ["host", "serving", "incarnation", "version"];
    GATEWAY_STOPPED: "E2002" Info "gateway stopped" ["open", "waiting"];
    GATEWAY_DRAINING: "E2003" Info "gateway draining" ["open", "grace_ms"];
    SETTINGS_RELOADED: "E2004" Info "settings reloaded" ["cause", "changed"];
    SETTINGS_INVALID: "E2005" Error "invalid settings" ["cause", "error"];
    ACCEPT_FAILED: "E2006" Warning "connection not accepted" ["error"];
    STORE_LOST: "E2101" Warning "store lost" ["part", "error"];
    STORE_REGAINED: "E2102" Info "store regained" ["part", "era", "revision"];
    CONFIG_APPLIED: "E2103" Info "configuration applied" ["version", "from", "age_ms", "heard_ms"];
    STORE_ENTRY_INVALID: "E2104" Warning "invalid store entry" ["entry", "error"];
    EVIDENCE_STALE: "E2105" Warning "configuration may be old" ["version", "age_ms"];
    EVIDENCE_RENEWED: "E2106" Info "configuration confirmed as the newest" ["version", "age_ms"];
    REGISTER_FAILED: "E2107" Warning "host registration failed" ["error"];
    NEWER_CONFIG_REPORTED: "E2108" Info "peer reported a newer configuration" ["version", "held", "from", "age_ms"];
    STORE_RESTORED: "E2109" Warning "store restored from a copy" ["era", "from", "by"];
    PEER_HEARTBEATS_RECEIVED: "E2201" Info "peer heartbeats received" ["peer", "incarnation", "ready"];
    PEER_HEARTBEATS_MISSING: "E2202" Warning "peer heartbeats missing" ["peer"];
    DATAGRAM_REJECTED: "E2203" Warning "datagram rejected" ["from", "error"];
    DUTY_CHANGED: "E2204" Info "host duty changed" ["duty", "living", "unanswered"];
    SERVER_CHANGED: "E2301" Info "server in discovery"
        ["server", "id", "service", "address", "leaving", "era", "revision"];
    SERVER_REMOVED: "E2302" Info "server removed from discovery" ["server"];
    SERVER_ATTEMPT_FAILED: "E2303" Warning "server failed an attempt"
        ["server", "verdict", "failure_percent", "request"];
    MEMORY_ORDER_FAILED: "E2304" Warning "engine memory order failed" ["server", "name", "error"];
    SERVER_LEAVING: "E2305" Info "server announced that it is leaving" ["server"];
    SERVER_PAUSED: "E2306" Info "server requested a pause" ["server", "pause_ms"];
    SERVER_LIMITED: "E2307" Info "server limited its request rate" ["server", "per_second", "from"];
    SERVER_LIMIT_ENDED: "E2308" Info "server no longer limits its request rate" ["server", "from"];
    SERVER_LIMIT_INVALID: "E2309" Warning "invalid request limit ignored" ["server", "value"];
    SERVER_LIST_BEHIND: "E2310" Info "a peer has a later list of servers"
        ["from", "era", "revision", "peer_era", "peer_revision", "age_ms"];
    PARTS_SUSPECT: "E2311" Warning "an engine ended under a request"
        ["server", "process", "request", "parts"];
    PART_QUARANTINED: "E2312" Warning "part of prompts in quarantine" ["part", "crashes", "from"];
    PART_RELEASED: "E2313" Info "part of prompts released from quarantine" ["part", "from"];
    SERVER_DETOURED: "E2314" Warning "server reached only through a peer" ["server"];
    LINKS_CUT: "E2315" Warning "links to servers cut" [];
    LINKS_RESTORED: "E2316" Info "links to servers restored" [];
    MEMORY_RETURNED: "E2317" Info "engine memory returned" ["server", "name", "request", "tokens", "held_ms", "unused_ms", "is_used"];
    REQUEST_ARRIVED: "E2401" Info "request arrived"
        ["request", "route", "account", "priority", "prompt", "patience_ms", "config", "config_age_ms",
            "config_proof"];
    REQUEST_PLACED: "E2402" Info "request placed"
        ["request", "server", "attempt", "helpers", "waited_ms", "first_ms", "harmed", "failure_percent",
            "requests", "weighed", "revision", "hosts"];
    ATTEMPT_FAILED: "E2403" Warning "attempt failed"
        ["request", "fingerprint", "server", "attempt", "fault", "may_have_run", "events"];
    REQUEST_ENDED: "E2404" Info "request ended"
        ["request", "outcome", "status", "attempts", "first_ms", "total_ms"];
    REQUEST_FAILED: "E2405" Warning "request failed"
        ["request", "reason", "outcome", "status", "attempts", "total_ms", "config", "config_age_ms",
            "config_proof", "newest_config", "detail"];
    CALLER_DISCONNECTED: "E2406" Info "caller disconnected" ["request", "attempts", "total_ms"];
    LINES_DROPPED: "E2407" Warning "log lines dropped" ["count"];
    CALLER_CONNECTION_FAILED: "E2408" Info "caller connection failed" ["from", "error"];
    DOMAIN_EVACUATED: "E2601" Warning "failure domain evacuated"
        ["domain", "key", "era", "revision", "from"];
    EVACUATION_WITHDRAWN: "E2602" Info "evacuation withdrawn" ["domain", "era", "revision", "from"];
    EVACUATION_UNKNOWN: "E2603" Warning "evacuation of an unknown failure domain" ["key"];
    EVACUATION_INVALID: "E2604" Warning "malformed evacuation" ["key", "error"];
    EVACUATIONS_OLD: "E2605" Warning "evacuations may be old" ["age_ms", "limit_ms"];
    CALLER_UNREADING: "E2621" Warning "caller read nothing of its response" ["from"];
    CALLER_WITHOUT_MEMORY: "E2622" Warning "no memory for a caller's connection" ["from", "held"];
    ENGINE_COLD: "E2611" Info "engine is cold" ["server", "left_ms", "per_second"];
    ENGINE_WARM: "E2612" Info "engine is warm again" ["server"];
    COLD_TIME_INVALID: "E2613" Warning "invalid cold time" ["entry", "value"];
    COLD_SETTING_INVALID: "E2614" Warning "invalid cold setting of a service"
        ["service", "setting", "value"];
}

/// Logs an event of the catalogue: `event!(log, EVENT, "field" => value)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:ident $(, $key:literal => $($value:tt)*)?) => {
        ::slog::log!(
            $log, $crate::log::$event.level, "", "{}", $crate::log::$event.text;
            "event" => $crate::log::$event.number $(, $key => $($value)*)?
        )
    };
}

/// Creates the root logger to standard output. Dropping the guard flushes the queued records.
pub fn root() -> (Logger, AsyncGuard) {
    if std::io::stdout().is_terminal() {
        return background(terminal(slog_term::TermDecorator::new().stdout().build()).fuse());
    }
    background(json(std::io::stdout()).fuse())
}

/// Creates a drain that writes one JSON object per line: `ts`, `level`, `event`, `msg` and the
/// event's fields.
pub fn json<W: Write + Send + 'static>(output: W) -> slog_json::Json<W> {
    slog_json::Json::new(output).set_flush(true).add_default_keys().build()
}

/// Creates a drain that writes one human-readable line per event.
pub fn terminal<D: Decorator>(decorator: D) -> slog_term::FullFormat<D> {
    slog_term::FullFormat::new(decorator).use_original_order().build()
}

/// Wraps a drain so that records are written by a separate thread.
fn background<D>(drain: D) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain).chan_size(QUEUE_RECORDS).build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
