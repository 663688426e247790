//! Accepts callers' connections and serves requests on them.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use async_io::{Async, Timer};
use async_net::TcpStream;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use parsley_core::time::Time;
use smol_hyper::rt::FuturesIo;

use super::{
    Gateway, GatewayRef,
    body::{DropHook, ResponseBody, TrackedBody},
    caller, clock,
    reader::{CallerOutput, CallerStream},
    receive::memory_refusal,
    refuse::refusal_response,
    yielding::YieldingStream,
};
use crate::{error::NodeError, event};

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Interval of the checks for idle connections.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Share added to the configured idle time before a connection is closed, so that a caller that
/// keeps to the limit never sees a close.
const IDLE_MARGIN: f64 = 0.25;
/// Idle limit of callers' connections before a configuration is in force.
const INITIAL_IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Time limit for a request head before a configuration is in force.
const INITIAL_HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Time that a closing connection waits for a request that may already be under way.
const CLOSE_GRACE: Duration = Duration::from_secs(1);
/// Idle limit of connections whose buffers found no room.
const ROOMLESS_IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the serving address and starts to accept callers.
pub fn start(gateway: &GatewayRef) -> Result<(), NodeError> {
    let listener = bind(gateway.settings.host_info.caller_address)?;
    let acceptor = gateway.clone();
    gateway.spawn(async move {
        loop {
            let accepted = async { Some(listener.accept().await) };
            let closed = async {
                // Closed when the host drains; callers then try another host at once.
                let _ = acceptor.closing.1.recv().await;
                None
            };
            let Some(accepted) = accepted.or(closed).await else { return };
            match accepted {
                Ok((stream, from)) => {
                    let gateway = acceptor.clone();
                    acceptor.caller_connections.set(acceptor.caller_connections.get() + 1);
                    acceptor.spawn(async move {
                        serve_caller(&gateway, stream, from).await;
                        gateway.caller_connections.set(gateway.caller_connections.get() - 1);
                    });
                }
                Err(err) => {
                    event!(acceptor.log, ACCEPT_FAILED, "error" => err.to_string());
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

/// Listens at an address.
pub fn bind(address: SocketAddr) -> Result<Async<std::net::TcpListener>, NodeError> {
    Async::<std::net::TcpListener>::bind(address)
        .map_err(|err| NodeError::Listen(address.to_string().into(), err))
}

/// State of a caller's connection.
struct CallerConnection {
    /// Requests that were read and whose responses have not ended.
    requests: Cell<usize>,
    idle_since: Cell<Time>,
    /// Bytes received so far, and the count when the connection last became idle.
    received: Rc<Cell<u64>>,
    idle_received: Cell<u64>,
    from: SocketAddr,
    output: Rc<CallerOutput>,
}

impl CallerConnection {
    fn new(
        received: Rc<Cell<u64>>,
        from: SocketAddr,
        output: Rc<CallerOutput>,
    ) -> CallerConnection {
        CallerConnection {
            requests: Cell::new(0),
            idle_since: Cell::new(clock::now()),
            received,
            idle_received: Cell::new(0),
            from,
            output,
        }
    }

    fn end_request(&self) {
        self.requests.set(self.requests.get().saturating_sub(1));
        self.idle_since.set(clock::now());
        self.idle_received.set(self.received.get());
    }

    /// Whether a part of a request head has been received.
    fn is_reading_head(&self) -> bool {
        self.requests.get() == 0 && self.received.get() > self.idle_received.get()
    }
}

async fn serve_caller(gateway: &GatewayRef, stream: Async<std::net::TcpStream>, from: SocketAddr) {
    // Fails only on a closed connection, whose first read fails as well.
    let _ = stream.get_ref().set_nodelay(true);
    let socket: TcpStream = stream.into();
    let output = CallerOutput::new(gateway, socket.clone());
    let stream = YieldingStream::new(socket);
    let caller = Rc::new(CallerConnection::new(stream.received_bytes(), from, output.clone()));
    let service = {
        let (gateway, caller) = (gateway.clone(), caller.clone());
        service_fn(move |request| serve_request(gateway.clone(), caller.clone(), request))
    };
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(CallerStream::new(stream, output.clone())), service);
    let mut connection = pin!(connection);
    let result = {
        let served = async { Some(connection.as_mut().await) };
        let closed = async {
            // Closed when the host drains.
            let _ = gateway.closing.1.recv().await;
            None
        };
        let idle = async {
            wait_until_idle(gateway, &caller).await;
            None
        };
        served.or(closed).or(idle).await
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            let ended = async { Some(connection.as_mut().await) };
            let stalled = async {
                wait_until_no_request(&caller).await;
                None
            };
            match ended.or(stalled).await {
                Some(result) => result,
                // Only an incomplete head is pending, so no request is cut off.
                None => return,
            }
        }
    };
    if output.is_unread() {
        gateway.metrics.unread_connections.inc();
        if gateway.log_budget.may_write(clock::now(), true) {
            event!(gateway.log, CALLER_UNREADING, "from" => from.to_string());
        }
        return;
    }
    if let Err(err) = result
        && gateway.log_budget.may_write(clock::now(), false)
    {
        event!(gateway.log, CALLER_CONNECTION_FAILED, "from" => from.to_string(), "error" => err.to_string());
    }
}

/// Returns when the connection has been idle, or a request head incomplete, beyond the configured
/// limit.
async fn wait_until_idle(gateway: &Gateway, caller: &CallerConnection) {
    let mut head_since: Option<Time> = None;
    loop {
        Timer::after(IDLE_CHECK_PERIOD).await;
        let (idle_limit, head_time) = time_limits(gateway);
        let now = clock::now();
        if caller.is_reading_head() {
            let since = *head_since.get_or_insert(now);
            if now.since(since) > head_time {
                return;
            }
            continue;
        }
        head_since = None;
        let limit = match caller.output.has_room() {
            true => idle_limit,
            false => idle_limit.min(ROOMLESS_IDLE_LIMIT),
        };
        if caller.requests.get() == 0 && now.since(caller.idle_since.get()) > limit {
            return;
        }
    }
}

/// Time after which an idle connection is closed, and time limit for a request head.
fn time_limits(gateway: &Gateway) -> (Duration, Duration) {
    let state = gateway.state.borrow();
    let limits = state.catalog.as_ref().map(|catalog| catalog.limits());
    let idle_time = limits.map_or(INITIAL_IDLE_LIMIT, |limits| limits.idle_timeout);
    let head_time = limits.map_or(INITIAL_HEAD_LIMIT, |limits| limits.head_timeout);
    (idle_time.mul_f64(1.0 + IDLE_MARGIN), head_time)
}

/// Returns once a closing connection has no request in progress.
async fn wait_until_no_request(caller: &CallerConnection) {
    loop {
        Timer::after(CLOSE_GRACE).await;
        if caller.requests.get() == 0 {
            return;
        }
    }
}

async fn serve_request(
    gateway: GatewayRef,
    caller: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody>, Infallible> {
    caller.requests.set(caller.requests.get() + 1);
    let (from, output) = (caller.from, caller.output.clone());
    let on_end = DropHook(Some(Box::new(move || caller.end_request())));
    let has_room = output.take_room();
    let deadline = Rc::new(Cell::new(clock::now()));
    let mut response = match has_room {
        true => caller::serve(&gateway, request, deadline.clone()).await,
        false => refuse_connection(&gateway, from),
    };
    output.begin_response(deadline.get(), time_limits(&gateway).0);
    if !has_room || gateway.drain_time_left().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| TrackedBody { body, _on_end: on_end }))
}

/// Refuses a request on a connection whose buffers found no room.
fn refuse_connection(gateway: &Gateway, from: SocketAddr) -> Response<ResponseBody> {
    let refusal = memory_refusal(gateway);
    gateway.metrics.count_request(refusal.outcome.name(), Some(refusal.reason));
    if gateway.log_budget.may_write(clock::now(), true) {
        event!(gateway.log, CALLER_WITHOUT_MEMORY, "from" => from.to_string(),
            "held" => gateway.budget.held());
    }
    refusal_response(gateway, &refusal)
}

/// Serves small pages, answered without waiting, on an address of their own.
pub fn serve_pages(
    gateway: &GatewayRef,
    address: SocketAddr,
    respond: impl Fn(&Request<Incoming>) -> Response<Bytes> + Clone + 'static,
) -> Result<(), NodeError> {
    let listener = bind(address)?;
    let acceptor = gateway.clone();
    gateway.spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let respond = respond.clone();
            let service = service_fn(move |request| {
                let response = respond(&request).map(Full::new);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            let limit = Timer::after(INITIAL_IDLE_LIMIT * 4);
            acceptor.spawn(async move {
                // An error means that the client left.
                let served = async { drop(connection.await) };
                let ended = async {
                    limit.await;
                };
                served.or(ended).await;
            });
        }
    });
    Ok(())
}
