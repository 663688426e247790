//! Serves HTTP requests on one connection of a caller or operator.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_h1::server::Server;
use async_net::TcpStream;
use futures_rustls::TlsAcceptor;
use http_types::{Request, Response};
use parsley_core::refusal::{Reason, Refusal};
use prometheus::IntGauge;

use super::{
    gate,
    stream::{ByteCounters, CallerStream, Transport},
};
use crate::{error::NodeError, event, host::HostRef, http::with_timeout};

/// Decrements the connection gauge when dropped.
struct ConnectionGuard {
    gauge: IntGauge,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

/// Serves a connection until it is closed or fails.
///
/// Beyond the connection limit, requests are still read and then refused, so that the caller gets a
/// response with `Retry-After` instead of a reset.
pub async fn serve(
    host: HostRef,
    stream: TcpStream,
    acceptor: Option<TlsAcceptor>,
    peer_address: SocketAddr,
) {
    let gauge = host.metrics.connections.clone();
    gauge.inc();
    let guard = ConnectionGuard { gauge };
    let open = u64::try_from(guard.gauge.get()).unwrap_or(0);
    let counters = ByteCounters {
        received: host.metrics.caller_bytes.with_label_values(&["received"]),
        sent: host.metrics.caller_bytes.with_label_values(&["sent"]),
    };
    let limits = &host.settings.limits;
    let head_timeout = Duration::from_millis(limits.receive_ms);
    let is_over_limit = open > limits.connections;
    let result = async {
        let transport = match acceptor {
            None => Transport::Plain(stream),
            Some(acceptor) => {
                let handshake = async { Ok(acceptor.accept(stream).await?) };
                Transport::Tls(Box::new(with_timeout(head_timeout, handshake).await?))
            }
        };
        let stream = CallerStream::new(transport, limits.header_bytes, head_timeout, counters);
        serve_requests(&host, stream, is_over_limit).await
    };
    if let Err(err) = result.await {
        event!(host.log, CONNECTION_CLOSED, "reason" => %err, "from" => %peer_address);
    }
    drop(guard);
}

/// Handles the requests of a connection one after the other. The connection ends when the head of
/// the next request does not arrive in time, which also covers idle connections.
async fn serve_requests(
    host: &HostRef,
    stream: CallerStream,
    is_over_limit: bool,
) -> Result<(), NodeError> {
    let handle = |request| {
        let (host, stream) = (host.clone(), stream.clone());
        async move {
            stream.begin_request();
            let response = handle_request(&host, &stream, request, is_over_limit).await;
            stream.finish_request();
            Ok(response)
        }
    };
    Ok(Server::new(stream.clone(), handle).accept().await?)
}

/// Handles one request and updates the metrics by route and status.
async fn handle_request(
    host: &HostRef,
    stream: &CallerStream,
    mut request: Request,
    is_over_limit: bool,
) -> Response {
    let started = Instant::now();
    let group = gate::route_group(&request);
    let has_body = gate::has_body(&request);
    let result = if is_over_limit {
        let refusal = Refusal::not_run(Reason::TooManyConnections, "too many connections");
        Err(refusal.retry_after(Duration::from_secs(1)))
    } else {
        match gate::admit(host, group, &mut request).await {
            Ok(()) => super::route(host, request).await,
            Err(refusal) => Err(refusal),
        }
    };
    let response = result.unwrap_or_else(|refusal| {
        let mut response = gate::refusal_response(host, group, &refusal);
        // Closing the connection avoids reading the rest of the refused body.
        if has_body || is_over_limit {
            response.insert_header("connection", "close");
            stream.close_after_answer();
        }
        response
    });
    let status = response.status().to_string();
    host.metrics.requests.with_label_values(&[group.name, &status]).inc();
    host.metrics.answer.observe(started.elapsed().as_secs_f64());
    response
}
