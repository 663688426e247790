//! Accepts the connections of callers.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    net::{SocketAddr, TcpListener},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use async_io::{Async, Timer};
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
    body::{BusyGuard, CallerBody},
    clock, exchange,
    yielding::YieldingStream,
};
use crate::{error::NodeError, event};

/// Largest head that is read before a configuration is known, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// Time between two looks at idle connections.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Part of the operators' idle time that is added before a connection is closed, so that a caller
/// that stays within it never meets a close.
const IDLE_RESERVE: f64 = 0.25;
/// Idle time of callers' connections before a configuration is known.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);
/// Time for a head before a configuration is known.
const FIRST_HEAD_TIME: Duration = Duration::from_secs(5);
/// Time for a request that crosses the close of its connection.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Starts to accept callers.
pub fn start(gateway: &GatewayRef) -> Result<(), NodeError> {
    let listener = bind(gateway.settings.card.serving)?;
    let accepting = gateway.clone();
    gateway.spawn(async move {
        loop {
            let accepted = async { Some(listener.accept().await) };
            let closed = async {
                // The channel closes when the host drains; callers then try another host at once.
                let _ = accepting.closing.1.recv().await;
                None
            };
            let Some(accepted) = accepted.or(closed).await else { return };
            match accepted {
                Ok((stream, from)) => {
                    let serving = accepting.clone();
                    accepting.callers.set(accepting.callers.get() + 1);
                    accepting.spawn(async move {
                        serve_caller(&serving, stream, from).await;
                        serving.callers.set(serving.callers.get() - 1);
                    });
                }
                Err(err) => {
                    event!(accepting.log, ACCEPT_FAILED, "error" => err.to_string());
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, NodeError> {
    Async::<TcpListener>::bind(address)
        .map_err(|err| NodeError::Listen(address.to_string().into(), err))
}

/// What is known of a caller's connection.
struct CallerLink {
    /// Requests that were read and whose answers have not ended.
    requests: Cell<usize>,
    idle_since: Cell<Time>,
    /// Bytes received so far, and those received when it became idle.
    received: Rc<Cell<u64>>,
    idle_received: Cell<u64>,
}

impl CallerLink {
    fn new(received: Rc<Cell<u64>>) -> CallerLink {
        CallerLink {
            requests: Cell::new(0),
            idle_since: Cell::new(clock::now()),
            received,
            idle_received: Cell::new(0),
        }
    }

    fn end_request(&self) {
        self.requests.set(self.requests.get().saturating_sub(1));
        self.idle_since.set(clock::now());
        self.idle_received.set(self.received.get());
    }

    /// Whether a head has begun and is not whole.
    fn is_in_head(&self) -> bool {
        self.requests.get() == 0 && self.received.get() > self.idle_received.get()
    }
}

async fn serve_caller(gateway: &GatewayRef, stream: Async<std::net::TcpStream>, from: SocketAddr) {
    // A connection that ended already fails at its first read.
    let _ = stream.get_ref().set_nodelay(true);
    let stream = YieldingStream::new(stream.into());
    let link = Rc::new(CallerLink::new(stream.received()));
    let service = {
        let (gateway, link) = (gateway.clone(), link.clone());
        service_fn(move |request| serve_request(gateway.clone(), link.clone(), request))
    };
    let connection = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = {
        let served = async { Some(connection.as_mut().await) };
        let closed = async {
            // The channel closes when the host drains.
            let _ = gateway.closing.1.recv().await;
            None
        };
        let idle = async {
            is_idle(gateway, &link).await;
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
                has_no_request(&link).await;
                None
            };
            match ended.or(stalled).await {
                Some(result) => result,
                // A head that never ends: no request was read, so none is cut off.
                None => return,
            }
        }
    };
    if let Err(err) = result
        && gateway.lines.may_write(clock::now(), false)
    {
        event!(gateway.log, CALLER_LINK_BROKE, "from" => from.to_string(), "error" => err.to_string());
    }
}

/// Returns when a connection has been idle, or has been in one head, for longer than the operators
/// allow.
async fn is_idle(gateway: &Gateway, link: &CallerLink) {
    let mut head_since: Option<Time> = None;
    loop {
        Timer::after(IDLE_PERIOD).await;
        let (idle_time, head_time) = {
            let state = gateway.state.borrow();
            let limits = state.catalog.as_ref().map(|catalog| catalog.limits());
            let idle_time = limits.map_or(FIRST_IDLE_TIME, |limits| limits.idle_timeout);
            (idle_time, limits.map_or(FIRST_HEAD_TIME, |limits| limits.head_timeout))
        };
        let now = clock::now();
        if link.is_in_head() {
            let since = *head_since.get_or_insert(now);
            if now.since(since) > head_time {
                return;
            }
            continue;
        }
        head_since = None;
        let limit = idle_time.mul_f64(1.0 + IDLE_RESERVE);
        if link.requests.get() == 0 && now.since(link.idle_since.get()) > limit {
            return;
        }
    }
}

/// Returns when no request was read for some time on a connection that is to end.
async fn has_no_request(link: &CallerLink) {
    loop {
        Timer::after(CLOSE_TIME).await;
        if link.requests.get() == 0 {
            return;
        }
    }
}

async fn serve_request(
    gateway: GatewayRef,
    link: Rc<CallerLink>,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    link.requests.set(link.requests.get() + 1);
    let busy = BusyGuard(Some(Box::new(move || link.end_request())));
    let mut response = exchange::serve(&gateway, request).await;
    if gateway.drain_left().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| CallerBody { body, _busy: busy }))
}

/// Serves small pages, each answered at once, on an address of its own.
pub fn serve_pages(
    gateway: &GatewayRef,
    address: SocketAddr,
    answer: impl Fn(&Request<Incoming>) -> Response<Bytes> + Clone + 'static,
) -> Result<(), NodeError> {
    let listener = bind(address)?;
    let accepting = gateway.clone();
    gateway.spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let response = answer(&request).map(Full::new);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            let limit = Timer::after(FIRST_IDLE_TIME * 4);
            accepting.spawn(async move {
                // Whoever asked for a page and left needs nothing more.
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

/// Runs a future for at most `limit`.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let end = async {
        Timer::after(limit).await;
        None
    };
    work.or(end).await
}
