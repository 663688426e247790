//! The edge towards callers and backend servers: what a driver translates for the gateway.
//!
//! A driver knows the names on the wire. It hands the gateway one [`WireCodec`]: functions that read
//! a head into plain facts and write facts into a head. The gateway decides with the facts only.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode, body::Bytes};
use parsley_core::{fleet::ServerNotice, refusal::Refusal};
use parsley_macros::value;

/// What a caller's head says.
#[value]
#[derive(Default)]
pub struct RequestInfo {
    /// Id of this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// Key of a client account.
    pub api_key: Option<Arc<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
}

/// What a send to a backend server adds to the caller's head.
#[value]
pub struct ForwardInfo {
    /// Instance that must answer.
    pub instance: Arc<str>,
    /// Client account.
    pub account: Option<Arc<str>>,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank at the engine's own queue, from 0; `None` for plain services.
    pub urgency: Option<u8>,
    /// Event after which the answer goes on.
    pub last_event: Option<u64>,
    /// Engines that read parts, with the name of the memory set aside there.
    pub helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
}

/// What a backend server's head says.
#[value]
pub struct ResponseInfo {
    /// Id of the attempt that it answers.
    pub id: Option<Arc<str>>,
    /// Whether it states that the request was not executed.
    pub is_not_executed: bool,
    /// Whether another instance has the address.
    pub is_replaced: bool,
    /// Whether the server vouches for the answer.
    pub is_sealed: bool,
    /// Address of another server that is to blame.
    pub at_fault: Option<SocketAddr>,
    /// What the server says of itself.
    pub notice: ServerNotice,
}

/// An order that sets memory aside or returns it.
#[value]
pub struct ReservationRequest {
    /// Name of the memory.
    pub name: Arc<str>,
    /// Tokens; `None` returns the memory.
    pub tokens: Option<u32>,
    /// Time after which the engine returns it by itself.
    pub term: Duration,
}

/// The translation between the gateway and the wire.
#[derive(Clone, Copy)]
pub struct WireCodec {
    /// Reads a caller's head.
    pub read_request_headers: fn(&HeaderMap) -> RequestInfo,
    /// Turns a caller's head into that of a send.
    pub write_forward_headers: fn(&mut HeaderMap, &ForwardInfo),
    /// Reads a backend server's head.
    pub read_response_headers: fn(StatusCode, &HeaderMap) -> ResponseInfo,
    /// Adds to an answer of the gateway itself what callers understand.
    pub write_refusal_headers: fn(&mut HeaderMap, &Refusal),
    /// Writes an order: path and JSON body.
    pub encode_reservation: fn(&ReservationRequest) -> (&'static str, Bytes),
}
