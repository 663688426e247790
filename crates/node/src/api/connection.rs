//! Serves one connection of a caller or operator.

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
use crate::{error::NodeError, event, host::HostRef, http::within};

/// Counts a connection until it is dropped.
struct ConnectionGuard {
    gauge: IntGauge,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

/// Serves a connection until it ends.
pub async fn serve(
    host: HostRef,
    stream: TcpStream,
    acceptor: Option<TlsAcceptor>,
    from: SocketAddr,
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
    let head_time = Duration::from_millis(limits.receive_ms);
    let is_crowded = open > limits.connections;
    let result = async {
        let transport = match acceptor {
            None => Transport::Plain(stream),
            Some(acceptor) => {
                let handshake = async { Ok(acceptor.accept(stream).await?) };
                Transport::Tls(Box::new(within(head_time, handshake).await?))
            }
        };
        let stream = CallerStream::new(transport, limits.header_bytes, head_time, counters);
        exchange(&host, stream, is_crowded).await
    };
    if let Err(err) = result.await {
        event!(host.log, CONNECTION_CLOSED, "reason" => %err, "from" => %from);
    }
    drop(guard);
}

/// Handles requests one after the other. A head that does not arrive in time, or an idle
/// connection, ends it.
async fn exchange(host: &HostRef, stream: CallerStream, is_crowded: bool) -> Result<(), NodeError> {
    let handle = |request| {
        let (host, stream) = (host.clone(), stream.clone());
        async move {
            stream.enter_request();
            let response = handle(&host, &stream, request, is_crowded).await;
            stream.leave_request();
            Ok(response)
        }
    };
    Ok(Server::new(stream.clone(), handle).accept().await?)
}

async fn handle(
    host: &HostRef,
    stream: &CallerStream,
    mut request: Request,
    is_crowded: bool,
) -> Response {
    let started = Instant::now();
    let group = gate::route_group(&request);
    let has_body = gate::has_body(&request);
    let result = if is_crowded {
        let refusal = Refusal::not_run(Reason::TooManyConnections, "too many connections");
        Err(refusal.retry_after(Duration::from_secs(1)))
    } else {
        match gate::admit(host, group, &mut request).await {
            Ok(()) => super::answer(host, request).await,
            Err(refusal) => Err(refusal),
        }
    };
    let response = result.unwrap_or_else(|refusal| {
        let mut response = gate::refuse(host, group, &refusal);
        // The rest of a refused body is not worth reading.
        if has_body || is_crowded {
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
