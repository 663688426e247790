//! Memory set aside on the engines that share a prompt too large for one.
//!
//! Every reservation has a short term and is renewed while its request runs, so the engines take
//! it back by themselves soon after a host died.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use parsley_core::fleet::EngineTag;

use super::{
    GatewayRef, Placement, clock,
    edge::MemoryOrder,
    exchange::Exchange,
    link::{SendFault, ServerLink},
    listener::within,
};
use crate::event;

/// Term of a reservation: it ends before the operators call unused memory a leak.
const HOLD_TIME: Duration = Duration::from_millis(3_200);
/// Time between two renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// The memory set aside for one request.
pub struct HeldMemory {
    /// Its name at every engine.
    pub name: Arc<str>,
    _done: Option<Sender<()>>,
}

impl HeldMemory {
    /// Returns the memory.
    pub fn close(self) {
        drop(self);
    }
}

/// Sets aside what a placement asks for; a caller that leaves drops the result, which returns it.
pub async fn hold(exchange: &Exchange, placement: &Placement) -> Result<HeldMemory, Arc<str>> {
    let gateway = &exchange.gateway;
    let incarnation = gateway.settings.card.incarnation;
    let name: Arc<str> =
        format!("{:x}-{}-{}", incarnation, exchange.number.0, clock::now().0).into();
    let wanted = targets(exchange, placement);
    if wanted.is_empty() {
        return Ok(HeldMemory { name, _done: None });
    }
    let (done, ended) = async_channel::bounded(1);
    gateway.spawn(keep(gateway.clone(), name.clone(), wanted.clone(), ended));
    let held = HeldMemory { name: name.clone(), _done: Some(done) };
    for (tag, address, tokens) in wanted {
        let order = MemoryOrder { name: name.clone(), tokens: Some(tokens), hold: HOLD_TIME };
        let status = order_memory(gateway, tag, address, &order).await;
        if status != Ok(StatusCode::OK) {
            log_failure(gateway, tag, &name, status);
            return Err("no memory at a helper".into());
        }
    }
    Ok(held)
}

fn targets(exchange: &Exchange, placement: &Placement) -> Vec<(EngineTag, SocketAddr, u32)> {
    let state = exchange.gateway.state.borrow();
    let helpers = placement.helpers.iter().filter_map(|helper| {
        let record = state.dispatcher.fleet.get(helper.engine)?;
        Some((helper.engine, record.entry.address, helper.tokens?))
    });
    helpers.collect()
}

/// Renews the reservations until the request ended, then returns them.
async fn keep(
    gateway: GatewayRef,
    name: Arc<str>,
    held: Vec<(EngineTag, SocketAddr, u32)>,
    ended: Receiver<()>,
) {
    loop {
        let due = async {
            Timer::after(RENEW_PERIOD).await;
            false
        };
        let over = async {
            // Nothing is ever sent; the channel closes with the request.
            let _ = ended.recv().await;
            true
        };
        let is_over = over.or(due).await;
        for (tag, address, tokens) in &held {
            let tokens = (!is_over).then_some(*tokens);
            let order = MemoryOrder { name: name.clone(), tokens, hold: HOLD_TIME };
            let status = order_memory(&gateway, *tag, *address, &order).await;
            if status != Ok(StatusCode::OK) {
                log_failure(&gateway, *tag, &name, status);
            }
        }
        if is_over {
            return;
        }
    }
}

fn log_failure(
    gateway: &GatewayRef,
    tag: EngineTag,
    name: &str,
    status: Result<StatusCode, Arc<str>>,
) {
    let error = status.map_or_else(|err| err, |status| status.to_string().into());
    event!(gateway.log, MEMORY_ORDER_FAILED, "server" => tag.0, "name" => name, "error" => &*error);
}

async fn order_memory(
    gateway: &GatewayRef,
    tag: EngineTag,
    address: SocketAddr,
    order: &MemoryOrder,
) -> Result<StatusCode, Arc<str>> {
    let (path, body) = (gateway.edge.write_order)(order);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| Arc::from("the path is not valid"))?;
    let head = request.headers_mut();
    head.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    if let Ok(host) = address.to_string().parse() {
        head.insert(hyper::header::HOST, host);
    }
    let call = async {
        let mut link = ServerLink::open(&gateway.executor, address)
            .await
            .map_err(|err| Arc::from(err.to_string()))?;
        let answer = link.send(request).await.map_err(|fault| {
            let (SendFault::NotSent(err) | SendFault::Unknown(err)) = fault;
            Arc::from(err.to_string())
        })?;
        let facts = (gateway.edge.read_answer)(answer.status(), answer.headers());
        gateway.note_server(tag, facts.notice);
        Ok(answer.status())
    };
    within(ORDER_LIMIT, call).await.unwrap_or_else(|| Err("no answer in time".into()))
}
