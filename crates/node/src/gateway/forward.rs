//! Headers of requests that are forwarded to backend servers.

use std::{net::SocketAddr, sync::Arc};

use hyper::{
    HeaderMap, Request,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};

use super::{
    Placement, body::RequestBody, edge::ForwardInfo, exchange::Exchange, memory::MemoryReservation,
};

/// Steps of the engines' urgency scale for each priority rank of the gateway.
const URGENCY_PER_PRIORITY: u8 = 3;
/// Least urgent value of the engines' urgency scale.
const MAX_URGENCY: u8 = 9;
/// Hop-by-hop header fields; they are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Builds the request that a server is sent.
pub fn build_request(
    exchange: &Exchange,
    instance: &Arc<str>,
    placement: &Placement,
    reservation: &MemoryReservation,
    last_event: Option<u64>,
) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = exchange.uri.clone();
    let mut headers = exchange.headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    let is_model = exchange.info.prompt_tokens > 0;
    let info = ForwardInfo {
        instance: instance.clone(),
        account: exchange.account.clone(),
        time_left: exchange.time_left(),
        urgency: is_model
            .then(|| exchange.priority.saturating_mul(URGENCY_PER_PRIORITY).min(MAX_URGENCY)),
        last_event,
        helpers: helper_addresses(exchange, placement, reservation),
    };
    (exchange.gateway.codec.write_forward_headers)(&mut headers, &info);
    *request.headers_mut() = headers;
    request
}

fn helper_addresses(
    exchange: &Exchange,
    placement: &Placement,
    reservation: &MemoryReservation,
) -> Vec<(SocketAddr, Option<Arc<str>>)> {
    let state = exchange.gateway.state.borrow();
    let helpers = placement.helpers.iter().filter_map(|helper| {
        let record = state.dispatcher.fleet.get(helper.engine)?;
        let name = helper.tokens.is_some().then(|| reservation.name.clone());
        Some((record.entry.address, name))
    });
    helpers.collect()
}

/// Removes hop-by-hop fields, the fields named in `Connection` and the body framing.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in listed {
        headers.remove(name.as_str());
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
