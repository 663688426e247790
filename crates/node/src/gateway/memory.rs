//! Memory reservations on the engines that share a prompt too large for one.
//!
//! A reservation has a short term and is renewed while its request runs, so engines release it on
//! their own soon after a host dies. [`MemoryLease`] decides on renewals.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use parsley_core::{
    fleet::EngineTag,
    reservation::{LeaseAction, MemoryLease},
    time::Time,
    work::WorkNumber,
};
use parsley_macros::value;

use super::{
    GatewayRef, Placement,
    body::RequestBody,
    clock::{self, with_timeout},
    edge::ReservationRequest,
    exchange::Exchange,
    link::ServerConnection,
    receive::receive_body,
};
use crate::event;

/// Timeout of a reservation request.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Guard of the memory reserved for one request; dropping it releases the memory.
pub struct MemoryReservation {
    /// Name of the reservation, the same on every engine.
    pub name: Arc<str>,
    first_use: Rc<Cell<Option<Time>>>,
    /// Receives a message when an engine's lease is given up.
    given_up: Receiver<()>,
    _done: Option<Sender<()>>,
}

impl MemoryReservation {
    /// Records that the request runs and uses its memory.
    pub fn note_use(&self) {
        if self.first_use.get().is_none() {
            self.first_use.set(Some(clock::now()));
        }
    }

    /// Waits until a lease is given up, without which the request cannot run.
    pub async fn wait_until_given_up(&self) {
        if self.given_up.recv().await.is_err() {
            // No memory is reserved.
            futures_lite::future::pending().await
        }
    }

    /// Releases the memory.
    pub fn release(self) {
        drop(self);
    }
}

/// Reserves the memory that the placement of work `number` needs. Errs if an engine does not grant
/// it. The memory is released when the guard is dropped, also when the caller leaves.
pub async fn reserve(
    exchange: &Exchange,
    number: WorkNumber,
    placement: &Placement,
) -> Result<MemoryReservation, Arc<str>> {
    let gateway = &exchange.gateway;
    let incarnation = gateway.settings.host_info.incarnation;
    let name: Arc<str> = format!("{:x}-{}-{}", incarnation, number.0, clock::now().0).into();
    let first_use = Rc::new(Cell::new(None));
    let (give_up, given_up) = async_channel::bounded(1);
    let (done, ended) = async_channel::bounded(1);
    let targets = helper_targets(exchange, placement);
    let (grant, grants) = async_channel::bounded(targets.len().max(1));
    for target in &targets {
        // A task for each engine: one that does not answer must not delay the others.
        let held = HeldReservation {
            gateway: gateway.clone(),
            name: name.clone(),
            request: exchange.id.clone(),
            target: *target,
            first_use: first_use.clone(),
            give_up: give_up.clone(),
        };
        gateway.spawn(held.hold_until_done(ended.clone(), grant.clone()));
    }
    let guard = MemoryReservation { name, first_use, given_up, _done: Some(done) };
    for _ in &targets {
        if grants.recv().await != Ok(true) {
            return Err("no memory at a helper".into());
        }
    }
    Ok(guard)
}

/// Engine on which memory is reserved.
#[value]
#[derive(Copy)]
struct ReservationTarget {
    engine: EngineTag,
    address: SocketAddr,
    tokens: u32,
}

fn helper_targets(exchange: &Exchange, placement: &Placement) -> Vec<ReservationTarget> {
    let state = exchange.gateway.state.borrow();
    let helpers = placement.helpers.iter().filter_map(|helper| {
        let address = state.dispatcher.fleet.get(helper.engine)?.entry.address;
        Some(ReservationTarget { engine: helper.engine, address, tokens: helper.tokens? })
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
    /// Tells the request that the lease is given up.
    give_up: Sender<()>,
}

impl HeldReservation {
    /// Reserves the memory, tells whether the engine granted it, and renews the reservation until
    /// the request ends or the lease is given up. Then releases it, also if the answer was lost.
    async fn hold_until_done(self, ended: Receiver<()>, grant: Sender<bool>) {
        let start = clock::now();
        let lease = RefCell::new(MemoryLease::new(start, self.gateway.settings.reservation));
        let hold = async {
            let is_granted = self.reserve(&lease).await;
            // Fails only if another engine refused; the request has ended then.
            let _ = grant.try_send(is_granted);
            self.renew(&lease).await;
        };
        let done = async {
            // Nothing is sent on this channel; it closes with the request.
            let _ = ended.recv().await;
        };
        done.or(hold).await;
        self.log_return(start);
        for at in lease.into_inner().close(clock::now()) {
            Timer::after(at.since(clock::now())).await;
            let _ = self.order(None).await;
        }
    }

    /// Renews the reservation until its lease is given up.
    async fn renew(&self, lease: &RefCell<MemoryLease>) {
        loop {
            if self.first_use.get().is_some() {
                lease.borrow_mut().note_running();
            }
            let action = lease.borrow_mut().step(clock::now());
            match action {
                LeaseAction::Wait(until) => drop(Timer::after(until.since(clock::now())).await),
                LeaseAction::Renew => _ = self.reserve(lease).await,
                LeaseAction::Inspect => {
                    let is_used = self.inspect().await;
                    lease.borrow_mut().record_inspection(clock::now(), is_used);
                }
                LeaseAction::GiveUp => break,
            }
        }
        // Fails if another lease of the request was given up already.
        let _ = self.give_up.try_send(());
    }

    /// Reserves the memory for a term. Returns whether the engine granted it.
    async fn reserve(&self, lease: &RefCell<MemoryLease>) -> bool {
        // Counts as unanswered until the answer is there: the request may end meanwhile.
        lease.borrow_mut().note_sent(clock::now());
        let status = self.order(Some(self.target.tokens)).await;
        if status.is_ok() {
            lease.borrow_mut().note_answered();
        }
        status == Ok(StatusCode::OK)
    }

    /// Asks the engine whether a request uses the memory; `None` if it does not tell.
    async fn inspect(&self) -> Option<bool> {
        let codec = &self.gateway.codec;
        let mut request = Request::new(RequestBody::new(Bytes::new()));
        *request.uri_mut() = codec.reservation_report_path.parse().ok()?;
        let call = async {
            let (connection, response) = self.call(request).await.ok()?;
            let received = connection.received_bytes();
            receive_body(&self.gateway, response.into_body(), &received).await.ok()
        };
        let (report, _held) = with_timeout(RESERVE_TIMEOUT, call).await??;
        (codec.read_reservation_use)(&report, &self.name)
    }

    /// Reserves the tokens for a term, or releases them. Errs if there is no answer.
    async fn order(&self, tokens: Option<u32>) -> Result<StatusCode, Arc<str>> {
        let term = self.gateway.settings.reservation.term();
        let reservation = ReservationRequest { name: self.name.clone(), tokens, term };
        let call = async {
            let (_connection, response) =
                self.call(order_request(&self.gateway, &reservation)?).await?;
            Ok(response.status())
        };
        let status = with_timeout(RESERVE_TIMEOUT, call).await;
        let status: Result<_, Arc<str>> = status.unwrap_or_else(|| Err("no answer in time".into()));
        if status != Ok(StatusCode::OK) {
            let error = status.clone().map_or_else(|err| err, |status| status.to_string().into());
            event!(self.gateway.log, MEMORY_ORDER_FAILED, "server" => self.target.engine.0,
                "name" => &*self.name, "error" => &*error);
        }
        status
    }

    /// Sends a call to the engine on a new connection.
    async fn call(
        &self,
        mut request: Request<RequestBody>,
    ) -> Result<(ServerConnection, Response<Incoming>), Arc<str>> {
        let (gateway, ReservationTarget { engine, address, .. }) = (&self.gateway, self.target);
        if let Ok(host) = address.to_string().parse() {
            request.headers_mut().insert(HOST, host);
        }
        let mut connection = ServerConnection::open_to(gateway, engine, address)
            .await
            .map_err(|err| Arc::from(err.to_string()))?;
        let sent = clock::now();
        let response = connection
            .send(request)
            .await
            .map_err(|fault| Arc::from(fault.into_error().to_string()))?;
        let info = (gateway.codec.read_response_headers)(response.status(), response.headers());
        gateway.apply_notice(engine, sent, &info, None);
        Ok((connection, response))
    }

    fn log_return(&self, start: Time) {
        let now = clock::now();
        if !self.gateway.log_budget.may_write(now, false) {
            return;
        }
        let first_use = self.first_use.get();
        let unused = first_use.unwrap_or(now).since(start);
        event!(self.gateway.log, MEMORY_RETURNED, "server" => self.target.engine.0,
            "name" => &*self.name, "request" => &*self.request, "tokens" => self.target.tokens,
            "held_ms" => now.since(start).as_millis() as u64,
            "unused_ms" => unused.as_millis() as u64, "is_used" => first_use.is_some());
    }
}

fn order_request(
    gateway: &GatewayRef,
    reservation: &ReservationRequest,
) -> Result<Request<RequestBody>, Arc<str>> {
    let (path, body) = (gateway.codec.encode_reservation)(reservation);
    let mut request = Request::new(RequestBody::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| Arc::from("the path is not valid"))?;
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(request)
}
