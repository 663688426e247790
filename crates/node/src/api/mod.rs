//! HTTP API for client accounts and operators.

use std::net::TcpListener;

use async_io::Async;
use async_net::TcpStream;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use parsley_core::{
    entry::select_addresses,
    refusal::{Reason, Refusal},
};
use serde_json::json;

use crate::{error::NodeError, host::HostRef, http};

pub mod access;
mod admin;
mod admin_state;
mod admin_write;
mod chat;
mod connection;
pub mod gate;
mod problem;
mod requests;
pub mod services;
mod stream;
mod tls;

pub use problem::problem;

/// Listens on the configured address and starts to accept connections of callers and operators.
///
/// Fails if the address cannot be listened on or the TLS files are not valid.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let listener = http::listen(&host.settings.listen)?;
    let files = host.settings.tls.as_ref();
    let acceptor = files.map(|files| tls::start(host, files)).transpose()?;
    host.spawn(accept_loop(host.clone(), listener, acceptor));
    Ok(())
}

async fn accept_loop(
    host: HostRef,
    listener: Async<TcpListener>,
    acceptor: Option<tls::AcceptorCell>,
) {
    loop {
        let accept = async { Some(listener.accept().await) };
        let closed = async {
            // Nothing is ever sent on this channel. `recv` returns once the host closes it.
            let _ = host.accept_closed.recv().await;
            None
        };
        let Some(accepted) = accept.or(closed).await else { return };
        let Ok((stream, from)) = accepted else { continue };
        let _ = stream.get_ref().set_nodelay(true);
        let acceptor = acceptor.as_ref().map(|cell| cell.borrow().clone());
        host.spawn(connection::serve(host.clone(), TcpStream::from(stream), acceptor, from));
    }
}

/// Dispatches a request that passed the checks of [`gate::admit`] to its handler.
async fn route(host: &HostRef, request: Request) -> Result<Response, Refusal> {
    let path = request.url().path().to_owned();
    let parts: Vec<_> = path.split('/').filter(|part| !part.is_empty()).collect();
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["v1", "entry"]) => Ok(entry_addresses(host, &request)),
        (Method::Get, ["v1", "models"]) => Ok(list_models(host)),
        (Method::Post, ["v1", "chat", "completions"]) => chat::complete(host, request).await,
        (Method::Post, ["v1", "services", service, path @ ..]) => {
            services::call(host, service, &path.join("/"), request).await
        }
        (Method::Delete, ["v1", "requests", id]) => requests::cancel(host, id, &request).await,
        (_, ["admin", "v1", parts @ ..]) => admin::answer(host, parts, request).await,
        (Method::Get, ["metrics"]) => Ok(render_metrics(host)),
        (Method::Get, ["healthz"]) => Ok(json_response(&json!({"status": "ok"}))),
        (Method::Get, ["readyz"]) => readiness(host),
        _ => Err(Refusal::not_run(Reason::NotFound, "no such route")),
    }
}

fn readiness(host: &HostRef) -> Result<Response, Refusal> {
    if host.is_draining() {
        return Err(Refusal::not_run(Reason::Draining, "the host is draining"));
    }
    if !host.is_ready() {
        return Err(Refusal::not_run(
            Reason::StoreUnavailable,
            "the host has no configuration yet",
        ));
    }
    Ok(json_response(&json!({"status": "ready"})))
}

fn render_metrics(host: &HostRef) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(host.metrics.render(host));
    response.insert_header("content-type", prometheus::TEXT_FORMAT);
    response
}

/// Answers `GET /v1/entry` with addresses of hosts that a client can send requests to.
fn entry_addresses(host: &HostRef, request: &Request) -> Response {
    let mut state = host.state.borrow_mut();
    let state = &mut *state;
    let domain = request.url().query_pairs().find(|(name, _)| name == "failure_domain");
    let domain = domain.map(|(_, domain)| domain.into_owned());
    let answer = select_addresses(&state.members, domain.as_deref(), &mut state.rng);
    json_response(&json!(answer))
}

fn list_models(host: &HostRef) -> Response {
    let state = host.state.borrow();
    let models: Vec<_> = state
        .config
        .resources()
        .models
        .keys()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    json_response(&json!({"object": "list", "data": models}))
}

fn json_response(value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}
