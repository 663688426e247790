//! Opens connections to backend servers: directly, or through a peer while only a peer can.

use std::{io, net::SocketAddr, pin::pin, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use parsley_core::{
    detour::{ConnectPlan, DetourOutput, RelayResult},
    fleet::EngineTag,
    roster::HostTag,
};

use super::{
    Gateway, GatewayRef,
    clock::{self, with_timeout},
    link::{ServerConnection, ServerStream},
    relay,
};
use crate::event;

/// Time after which a direct connection that is not open yet is asked of a peer as well.
const HEAD_START: Duration = Duration::from_millis(200);
/// Timeout of asking one peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of asking peers one after the other.
const ASK_ALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The way that ended first, and how.
enum FirstEnd {
    Direct(io::Result<TcpStream>),
    Relayed(Option<TcpStream>),
}

impl Gateway {
    /// Opens a connection to a server.
    pub(super) async fn connect(
        &self,
        server: EngineTag,
        address: SocketAddr,
    ) -> io::Result<ServerStream> {
        self.metrics.connects.inc();
        let plan = self.state.borrow_mut().detours.plan(clock::now(), server);
        let mut direct = pin!(self.connect_directly(server, address));
        let mut relayed = pin!(self.connect_through_peer(server));
        let head_start = match plan {
            ConnectPlan::DirectOnly => return direct.await.map(ServerStream::direct),
            ConnectPlan::Relayed => {
                return match relayed.await {
                    Some(stream) => Ok(ServerStream::relayed(stream)),
                    // One connection a second tries the direct link; the others need not wait.
                    None if self.has_cut_links() => Err(io::ErrorKind::NetworkUnreachable.into()),
                    None => self.record_last(server, direct.await),
                };
            }
            ConnectPlan::Direct => HEAD_START,
            ConnectPlan::Both => Duration::ZERO,
        };
        let first = match with_timeout(head_start, direct.as_mut()).await {
            Some(result) => FirstEnd::Direct(result),
            None => {
                let direct = async { FirstEnd::Direct(direct.as_mut().await) };
                let relayed = async { FirstEnd::Relayed(relayed.as_mut().await) };
                direct.or(relayed).await
            }
        };
        let stream = match first {
            FirstEnd::Direct(Ok(stream)) => return Ok(ServerStream::direct(stream)),
            FirstEnd::Relayed(None) => return self.record_last(server, direct.await),
            FirstEnd::Relayed(Some(stream)) => stream,
            FirstEnd::Direct(Err(err)) => match relayed.await {
                Some(stream) => stream,
                None => return self.record_last(server, Err(err)),
            },
        };
        let outputs = self.state.borrow_mut().detours.record_detour(clock::now(), server);
        self.execute_detour(outputs);
        Ok(ServerStream::relayed(stream))
    }

    async fn connect_directly(
        &self,
        server: EngineTag,
        address: SocketAddr,
    ) -> io::Result<TcpStream> {
        let stream = self.connector.connect(address).await?;
        self.record_opened(server);
        Ok(stream)
    }

    /// Records that a direct connection to a server was opened.
    pub(super) fn record_opened(&self, server: EngineTag) {
        let outputs = self.state.borrow_mut().detours.record_opened(clock::now(), server);
        self.execute_detour(outputs);
    }

    /// Records the result of a direct connection after no peer could open one.
    fn record_last(
        &self,
        server: EngineTag,
        result: io::Result<TcpStream>,
    ) -> io::Result<ServerStream> {
        if result.is_err() {
            self.state.borrow_mut().detours.record_down(clock::now(), server);
        }
        result.map(ServerStream::direct)
    }

    /// Asks one peer after the other for a connection to a server.
    async fn connect_through_peer(&self, server: EngineTag) -> Option<TcpStream> {
        let ask_all = async {
            for (peer, address) in self.relays() {
                let result = self.ask_peer(address, server).await;
                let kind = result.as_ref().err().copied().unwrap_or(RelayResult::Opened);
                self.metrics.relays_asked.with_label_values(&[relay::result_name(kind)]).inc();
                self.state.borrow_mut().detours.record_relay(clock::now(), peer, kind);
                if let Ok(stream) = result {
                    return Some(stream);
                }
            }
            None
        };
        with_timeout(ASK_ALL_TIMEOUT, ask_all).await.flatten()
    }

    /// Peers to ask, with the addresses at which they relay.
    fn relays(&self) -> Vec<(HostTag, SocketAddr)> {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let ready = state.roster.alive(now).filter(|(_, info)| info.is_ready);
        let addresses: std::collections::BTreeMap<_, _> =
            ready.map(|(tag, info)| (tag, info.heartbeat_address)).collect();
        let peers = addresses.keys().copied().collect();
        let relays = state.detours.relays(now, peers, &mut state.rng);
        relays.into_iter().map(|tag| (tag, addresses[&tag])).collect()
    }

    async fn ask_peer(
        &self,
        address: SocketAddr,
        server: EngineTag,
    ) -> Result<TcpStream, RelayResult> {
        let ask = async {
            let mut stream = self.connector.connect(address).await?;
            stream.set_nodelay(true)?;
            stream.write_all(&relay::encode_request(server)).await?;
            let mut reply = [0];
            stream.read_exact(&mut reply).await?;
            Ok::<_, io::Error>((stream, relay::decode_reply(reply)))
        };
        match with_timeout(ASK_TIMEOUT, ask).await {
            Some(Ok((stream, RelayResult::Opened))) => Ok(stream),
            Some(Ok((_, result))) => Err(result),
            Some(Err(_)) | None => Err(RelayResult::Unavailable),
        }
    }

    /// Whether this host's own links to servers are cut.
    pub(super) fn has_cut_links(&self) -> bool {
        self.state.borrow().detours.is_cut()
    }

    /// Checks the link to a server that is silent with a new connection, which joins the pool.
    pub(super) fn check_link(self: &GatewayRef, server: EngineTag, address: SocketAddr) {
        if !self.state.borrow_mut().detours.wants_check(clock::now(), server) {
            return;
        }
        let gateway = self.clone();
        self.spawn(async move {
            if let Ok(connection) = ServerConnection::open_to(&gateway, server, address).await {
                gateway.connections.put(server, connection);
            }
        });
    }

    fn execute_detour(&self, outputs: Vec<DetourOutput>) {
        for output in outputs {
            match output {
                DetourOutput::DetourStarted(server) => {
                    self.connections.remove_direct(Some(server));
                    event!(self.log, SERVER_DETOURED, "server" => server.0);
                }
                DetourOutput::LinksCut => {
                    self.connections.remove_direct(None);
                    self.metrics.links_cut.set(1);
                    event!(self.log, LINKS_CUT);
                }
                DetourOutput::LinksRestored => {
                    self.metrics.links_cut.set(0);
                    event!(self.log, LINKS_RESTORED);
                }
            }
        }
    }
}
