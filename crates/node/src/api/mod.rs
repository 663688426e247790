//! The HTTP API for callers and operators.

use std::net::TcpListener;

use async_io::Async;
use async_net::TcpStream;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use parsley_core::{
    entry::pick_entries,
    refusal::{Reason, Refusal},
};
use serde_json::json;

use crate::{error::NodeError, host::HostRef};

mod chat;
mod problem;
mod requests;
pub mod services;

pub use problem::problem;

/// Starts to accept callers and operators.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let listener = Async::<TcpListener>::try_from(TcpListener::bind(&*host.settings.listen)?)?;
    host.spawn(accept_loop(host.clone(), listener));
    Ok(())
}

async fn accept_loop(host: HostRef, listener: Async<TcpListener>) {
    loop {
        let accept = async { Some(listener.accept().await) };
        let closed = async {
            let _ = host.accepting.recv().await;
            None
        };
        let Some(accepted) = accept.or(closed).await else { return };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.get_ref().set_nodelay(true);
        let stream = TcpStream::from(stream);
        let serving = host.clone();
        host.spawn(async move {
            let answer = |request| {
                let host = serving.clone();
                async move { Ok(answer(&host, request).await) }
            };
            // A broken connection concerns only its client.
            let _ = async_h1::accept(stream, answer).await;
        });
    }
}

async fn answer(host: &HostRef, request: Request) -> Response {
    let path = request.url().path().to_owned();
    let parts: Vec<_> = path.split('/').filter(|part| !part.is_empty()).collect();
    let result = match (request.method(), parts.as_slice()) {
        (Method::Get, ["v1", "entry"]) => Ok(entry(host, &request)),
        (Method::Get, ["v1", "models"]) => Ok(models(host)),
        (Method::Post, ["v1", "chat", "completions"]) => chat::complete(host, request).await,
        (Method::Post, ["v1", "services", service, path @ ..]) => {
            services::call(host, service, &path.join("/"), request).await
        }
        (Method::Delete, ["v1", "requests", id]) => requests::cancel(host, id, &request).await,
        (Method::Get, ["healthz" | "readyz"]) => Ok(json_answer(&json!({"status": "ok"}))),
        _ => Err(Refusal::not_run(Reason::NotFound, "no such route")),
    };
    result.unwrap_or_else(|refusal| problem(&refusal))
}

fn entry(host: &HostRef, request: &Request) -> Response {
    let mut state = host.state.borrow_mut();
    let state = &mut *state;
    let domain = request.url().query_pairs().find(|(name, _)| name == "failure_domain");
    let domain = domain.map(|(_, domain)| domain.into_owned());
    let answer = pick_entries(&state.members, domain.as_deref(), &mut state.rng);
    json_answer(&json!(answer))
}

fn models(host: &HostRef) -> Response {
    let state = host.state.borrow();
    let models: Vec<_> = state
        .config
        .resources()
        .models
        .keys()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    json_answer(&json!({"object": "list", "data": models}))
}

fn json_answer(value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}
