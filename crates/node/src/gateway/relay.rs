//! Relays connections of peers that have lost their own links to backend servers.
//!
//! A peer connects to the heartbeat address over TCP and names a server. If this host can connect
//! to that server, it passes bytes on in both directions, whatever they are; the peer decides what
//! is sent and what an answer means.

use std::{cell::Cell, io, net::Shutdown, rc::Rc, time::Duration};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, io::copy};
use parsley_core::{detour::RelayResult, fleet::EngineTag};
use rustix::net::sockopt;

use super::{
    Gateway, GatewayRef, budget::MemoryUse, clock::with_timeout, link::enable_keepalive,
    listener::bind, yielding::YieldingStream,
};
use crate::{error::NodeError, event};

/// Timeout of connecting to the server, shorter than the time for which the peer waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of receiving the peer's request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Memory of a relayed connection: a buffer in each direction.
const RELAY_BYTES: usize = 2 * BUFFER_BYTES;
const BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of a request: the server's tag.
const REQUEST_BYTES: usize = size_of::<u64>();

/// Encodes the request for a connection to a server.
pub fn encode_request(server: EngineTag) -> [u8; REQUEST_BYTES] {
    server.0.to_le_bytes()
}

/// Decodes the reply that precedes the bytes of the server.
pub fn decode_reply(reply: [u8; 1]) -> RelayResult {
    // A reply that this version does not know opens no connection.
    postcard::from_bytes(&reply).unwrap_or(RelayResult::Unavailable)
}

/// Name of a result in the metrics.
pub fn result_name(result: RelayResult) -> &'static str {
    match result {
        RelayResult::Opened => "opened",
        RelayResult::Unreachable => "unreachable",
        RelayResult::Unavailable => "unavailable",
    }
}

/// Binds the address and starts to accept peers.
pub fn start(gateway: &GatewayRef) -> Result<(), NodeError> {
    let listener = bind(gateway.settings.host_info.heartbeat_address)?;
    let acceptor = gateway.clone();
    gateway.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let gateway = acceptor.clone();
                    acceptor.spawn(async move {
                        // An error means that the peer left.
                        let _ = serve_peer(&gateway, stream.into()).await;
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

async fn serve_peer(gateway: &GatewayRef, mut peer: TcpStream) -> Result<(), NodeError> {
    let mut request = [0; REQUEST_BYTES];
    let received = with_timeout(REQUEST_TIMEOUT, peer.read_exact(&mut request)).await;
    received.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let mut held = gateway.budget.holder(MemoryUse::Work);
    let opened = match held.try_take(RELAY_BYTES) {
        true => gateway.open_for_peer(EngineTag(u64::from_le_bytes(request))).await,
        false => Err(RelayResult::Unavailable),
    };
    let result = opened.as_ref().err().copied().unwrap_or(RelayResult::Opened);
    gateway.metrics.relays_served.with_label_values(&[result_name(result)]).inc();
    let reply = postcard::to_stdvec(&result).expect("every result can be encoded");
    peer.write_all(&reply).await?;
    let Ok(server) = opened else { return Ok(()) };
    for stream in [&peer, &server] {
        stream.set_nodelay(true)?;
        enable_keepalive(stream)?;
    }
    gateway.open_relays.set(gateway.open_relays.get() + 1);
    relay(&peer, &server).await;
    gateway.open_relays.set(gateway.open_relays.get() - 1);
    Ok(())
}

impl Gateway {
    /// Opens a connection to a server for a peer. It never leads through a further peer.
    async fn open_for_peer(self: &Rc<Self>, server: EngineTag) -> Result<TcpStream, RelayResult> {
        let address = {
            let state = self.state.borrow();
            let record = state.dispatcher.fleet.get(server);
            let may_relay = !state.detours.is_cut() && state.dispatcher.drain_end().is_none();
            record.map(|record| record.entry.address).filter(|_| may_relay)
        };
        let address = address.ok_or(RelayResult::Unavailable)?;
        let connected = with_timeout(CONNECT_TIMEOUT, self.connector.connect(address)).await;
        let Some(Ok(stream)) = connected else { return Err(RelayResult::Unreachable) };
        self.record_opened(server);
        Ok(stream)
    }
}

/// Passes bytes on until the peer closes its connection or the server's breaks.
async fn relay(peer: &TcpStream, server: &TcpStream) {
    let is_broken = Cell::new(false);
    let download = async {
        let received = YieldingStream::new(server.clone());
        if copy(received, &mut peer.clone()).await.is_err() || is_broken.get() {
            // An answer without a length ends with its connection: one that broke off must not look
            // complete to the peer.
            let _ = sockopt::set_socket_linger(peer, Some(Duration::ZERO));
            return;
        }
        // The peer closes its side once it has read everything.
        let _ = peer.shutdown(Shutdown::Write);
        futures_lite::future::pending().await
    };
    upload(peer, server, &is_broken).or(download).await;
}

/// Passes on what the peer sends until it closes its connection. A server may answer and close
/// before it has read everything; the rest is dropped, as its answer decides. A failed write takes
/// the error of the connection, so that reads end as if the server had closed it.
async fn upload(peer: &TcpStream, server: &TcpStream, is_broken: &Cell<bool>) {
    let mut received = YieldingStream::new(peer.clone());
    let mut server = server.clone();
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = received.read(&mut buffer).await {
        if !is_broken.get() && server.write_all(&buffer[..length]).await.is_err() {
            is_broken.set(true);
        }
    }
}
