//! Memory reservations on the engines that share a prompt too large for one.
//!
//! A reservation has a short term and is renewed while its request runs, so engines release it on
//! their own soon after a host dies.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use hyper::{Method, Request, StatusCode};
use parsley_core::{fleet::EngineTag, time::Time, work::WorkNumber};
use parsley_macros::value;

use super::{
    GatewayRef, Placement,
    body::RequestBody,
    clock::{self, with_timeout},
    edge::ReservationRequest,
    exchange::Exchange,
    link::ServerConnection,
};
use crate::event;

/// Share of the limits on reservations that a term takes.
const TERM_SHARE: f64 = 0.8;
/// Renewals in one term, of which all but one may get lost.
const RENEWALS_PER_TERM: u32 = 3;
/// Timeout of a reservation request.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Limits of a deployment on memory reservations.
#[value]
#[derive(Copy)]
pub struct ReservationLimits {
    /// Time after which memory that no request uses counts as leaked.
    pub release_limit: Duration,
    /// Longest term that engines accept.
    pub longest_term: Duration,
}

impl ReservationLimits {
    /// Returns the term of a reservation, after which engines release it unless it is renewed.
    fn term(&self) -> Duration {
        self.release_limit.min(self.longest_term).mul_f64(TERM_SHARE)
    }
}

/// Guard of the memory reserved for one request; dropping it releases the memory.
pub struct MemoryReservation {
    /// Name of the reservation, the same on every engine.
    pub name: Arc<str>,
    first_use: Rc<Cell<Option<Time>>>,
    _done: Option<Sender<()>>,
}

impl MemoryReservation {
    /// Records that the request runs and uses its memory.
    pub fn note_use(&self) {
        if self.first_use.get().is_none() {
            self.first_use.set(Some(clock::now()));
        }
    }

    /// Releases the memory.
    pub fn release(self) {
        drop(self);
    }
}

/// Reserves the memory that the placement of work `number` needs. Errs if an engine does not grant it. The memory is
/// released when the guard is dropped, also when the caller leaves.
pub async fn reserve(
    exchange: &Exchange,
    number: WorkNumber,
    placement: &Placement,
) -> Result<MemoryReservation, Arc<str>> {
    let gateway = &exchange.gateway;
    let incarnation = gateway.settings.host_info.incarnation;
    let name: Arc<str> = format!("{:x}-{}-{}", incarnation, number.0, clock::now().0).into();
    let first_use = Rc::new(Cell::new(None));
    let targets = helper_targets(exchange, placement);
    if targets.is_empty() {
        return Ok(MemoryReservation { name, first_use, _done: None });
    }
    let term = gateway.settings.reservation.term();
    let (done, ended) = async_channel::bounded(1);
    for target in &targets {
        // A task for each engine: one that does not answer must not delay the others.
        let held = HeldReservation {
            gateway: gateway.clone(),
            name: name.clone(),
            request: exchange.id.clone(),
            target: *target,
            first_use: first_use.clone(),
        };
        gateway.spawn(held.renew_until_done(ended.clone()));
    }
    let guard = MemoryReservation { name: name.clone(), first_use, _done: Some(done) };
    for (tag, address, tokens) in targets {
        let reservation = ReservationRequest { name: name.clone(), tokens: Some(tokens), term };
        let status = send_reservation(gateway, tag, address, &reservation).await;
        if status != Ok(StatusCode::OK) {
            log_failure(gateway, tag, &name, status);
            return Err("no memory at a helper".into());
        }
    }
    Ok(guard)
}

/// Engine on which memory is reserved, its address and the number of tokens.
type ReservationTarget = (EngineTag, SocketAddr, u32);

fn helper_targets(exchange: &Exchange, placement: &Placement) -> Vec<ReservationTarget> {
    let state = exchange.gateway.state.borrow();
    let helpers = placement.helpers.iter().filter_map(|helper| {
        let record = state.dispatcher.fleet.get(helper.engine)?;
        Some((helper.engine, record.entry.address, helper.tokens?))
    });
    helpers.collect()
}

/// Reservation on one engine.
struct HeldReservation {
    gateway: GatewayRef,
    name: Arc<str>,
    /// Id of the request that the memory is for.
    request: Arc<str>,
    target: ReservationTarget,
    /// When the request's first event came.
    first_use: Rc<Cell<Option<Time>>>,
}

impl HeldReservation {
    /// Renews the reservation until the request ends, then releases it.
    async fn renew_until_done(self, ended: Receiver<()>) {
        let start = clock::now();
        let term = self.gateway.settings.reservation.term();
        let renew = async {
            loop {
                Timer::after(term / RENEWALS_PER_TERM).await;
                self.send(Some(self.target.2)).await;
            }
        };
        let done = async {
            // Nothing is sent on this channel; it closes with the request.
            let _ = ended.recv().await;
        };
        done.or(renew).await;
        self.log_return(start);
        self.send(None).await;
    }

    async fn send(&self, tokens: Option<u32>) {
        let (tag, address, _) = self.target;
        let term = self.gateway.settings.reservation.term();
        let reservation = ReservationRequest { name: self.name.clone(), tokens, term };
        let status = send_reservation(&self.gateway, tag, address, &reservation).await;
        if status != Ok(StatusCode::OK) {
            log_failure(&self.gateway, tag, &self.name, status);
        }
    }

    fn log_return(&self, start: Time) {
        let now = clock::now();
        let (tag, _, tokens) = self.target;
        let first_use = self.first_use.get();
        let unused = first_use.unwrap_or(now).since(start);
        event!(self.gateway.log, MEMORY_RETURNED, "server" => tag.0, "name" => &*self.name,
            "request" => &*self.request, "tokens" => tokens,
            "held_ms" => now.since(start).as_millis() as u64,
            "unused_ms" => unused.as_millis() as u64, "is_used" => first_use.is_some());
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

async fn send_reservation(
    gateway: &GatewayRef,
    tag: EngineTag,
    address: SocketAddr,
    reservation: &ReservationRequest,
) -> Result<StatusCode, Arc<str>> {
    let (path, body) = (gateway.codec.encode_reservation)(reservation);
    let mut request = Request::new(RequestBody::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| Arc::from("the path is not valid"))?;
    let headers = request.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    if let Ok(host) = address.to_string().parse() {
        headers.insert(hyper::header::HOST, host);
    }
    let call = async {
        let mut connection = ServerConnection::open_to(gateway, tag, address)
            .await
            .map_err(|err| Arc::from(err.to_string()))?;
        let sent = clock::now();
        let response = connection
            .send(request)
            .await
            .map_err(|fault| Arc::from(fault.into_error().to_string()))?;
        let info = (gateway.codec.read_response_headers)(response.status(), response.headers());
        gateway.apply_notice(tag, sent, &info, None);
        Ok(response.status())
    };
    with_timeout(RESERVE_TIMEOUT, call).await.unwrap_or_else(|| Err("no answer in time".into()))
}
