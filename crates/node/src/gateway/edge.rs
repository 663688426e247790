//! Translation between the wire and the gateway, which a driver supplies.
//!
//! The driver knows the names on the wire. It passes the gateway a [`WireCodec`]: functions that
//! parse headers into plain values and write such values into headers. The gateway handles only
//! these values.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode, body::Bytes};
use parsley_core::{
    fleet::{LimitNotice, ServerNotice},
    quarantine::PartTag,
    refusal::Refusal,
};
use parsley_macros::value;

/// Values parsed from the headers of a caller's request.
#[value]
#[derive(Default)]
pub struct RequestInfo {
    /// Id of this attempt, chosen by the caller.
    pub id: Option<Arc<str>>,
    /// API key of a client account.
    pub api_key: Option<Arc<str>>,
    /// Time for which the caller waits; `None` if it names none.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Prompt length in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Upper bound on the output, in tokens.
    pub max_output_tokens: u32,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PartTag>,
}

/// Values that are written into the headers of a request forwarded to a backend server.
#[value]
pub struct ForwardInfo {
    /// Id of the instance that must answer.
    pub instance: Arc<str>,
    /// Client account; `None` for requests without a key.
    pub account: Option<Arc<str>>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Rank in the engine's own queue, 0 is the most urgent; `None` for plain services.
    pub urgency: Option<u8>,
    /// Id of the event after which the stream resumes.
    pub last_event: Option<u64>,
    /// Engines that process parts of the prompt, each with the name of its memory reservation if it
    /// needs one.
    pub helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
}

/// Values parsed from the headers of a backend server's response.
#[value]
pub struct ResponseInfo {
    /// Id of the attempt that is answered.
    pub id: Option<Arc<str>>,
    /// Whether the server states that it did not execute the request.
    pub is_not_executed: bool,
    /// Whether another instance now uses the address.
    pub is_replaced: bool,
    /// Whether the response carries the seal of the server; a success without it is not relayed.
    pub is_sealed: bool,
    /// Address of the server that caused the failure, if it is not the one that answered.
    pub at_fault: Option<SocketAddr>,
    /// What the server announces about itself.
    pub notice: ServerNotice,
    /// Value of a request limit that is not valid.
    pub invalid_limit: Option<Arc<str>>,
    /// Value of a cold time that is not valid.
    pub invalid_cold: Option<Arc<str>>,
}

impl ResponseInfo {
    /// Returns the part of the notice that a response to the attempt `id` can give; `None` is a
    /// request without an id, such as a memory reservation.
    pub fn notice_for(&self, id: Option<&Arc<str>>) -> ServerNotice {
        let is_other_attempt = self.id.is_some() && self.id.as_ref() != id;
        let ServerNotice { is_leaving, pause, limit, cold_left } = self.notice;
        if is_other_attempt {
            // A late response to an earlier attempt: its pause, limit and cold time may have changed.
            return ServerNotice { is_leaving, ..ServerNotice::default() };
        }
        // Responses without an id may come from something else that answers for the server.
        let is_unknown = limit == LimitNotice::Absent && self.id.is_none();
        let limit = if is_unknown { LimitNotice::Unknown } else { limit };
        ServerNotice { is_leaving, pause, limit, cold_left }
    }
}

/// Request to reserve memory on an engine or to release it.
#[value]
pub struct ReservationRequest {
    /// Name of the reservation.
    pub name: Arc<str>,
    /// Memory to reserve, in tokens; `None` releases the reservation.
    pub tokens: Option<u32>,
    /// Term after which the engine releases the reservation unless it is renewed.
    pub term: Duration,
}

/// Functions that translate between the gateway and the wire.
#[derive(Clone, Copy)]
pub struct WireCodec {
    /// Parses a caller's request headers.
    pub read_request_headers: fn(&HeaderMap) -> RequestInfo,
    /// Turns a caller's request headers into those of a forwarded request.
    pub write_forward_headers: fn(&mut HeaderMap, &ForwardInfo),
    /// Parses a backend server's status and response headers.
    pub read_response_headers: fn(StatusCode, &HeaderMap) -> ResponseInfo,
    /// Adds the driver's own fields to a response that the gateway generates.
    pub write_refusal_headers: fn(&mut HeaderMap, &Refusal),
    /// Encodes a reservation request as a path and a JSON body.
    pub encode_reservation: fn(&ReservationRequest) -> (&'static str, Bytes),
    /// Path at which an engine reports its reservations.
    pub reservation_report_path: &'static str,
    /// Reads from a report whether a request uses the reservation with this name; `None` if the
    /// report does not tell.
    pub read_reservation_use: fn(&[u8], &str) -> Option<bool>,
}
