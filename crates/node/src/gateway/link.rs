//! HTTP connections to backend servers and to the store, and the pool of idle ones.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_executor::{LocalExecutor, Task};
use async_net::TcpStream;
use futures_lite::{FutureExt, future::BoxedLocal};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
    header::{CONNECTION, HeaderMap},
};
use parsley_core::{fleet::EngineTag, time::Time};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use super::{
    Gateway,
    body::RequestBody,
    clock,
    yielding::{HeadLimit, YieldingStream},
};
use crate::error::NodeError;

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes that may be received before a response head is complete: the head and interim responses.
const MAX_BYTES_BEFORE_BODY: usize = MAX_HEAD_BYTES + (16 << 10);
/// Timeout for opening a connection. A lost SYN costs a second; trying another server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not reused if the server names no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(3_500);
/// Age from which a relayed connection is not reused: the peer may stop, and the direct link may
/// work again.
const MAX_RELAYED_AGE: Duration = Duration::from_secs(2);
/// Safety margin before the server's idle limit, from which a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Keepalive idle time and interval; one second is the smallest that sockets accept.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is dead. Memory reserved for its request is
/// then released before it counts as leaked.
const MAX_LOST_PROBES: u32 = 2;
/// Idle connections kept for each server. The hosts share the connections that a server accepts,
/// and few of a host's requests reach the same server at once.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Makes the kernel close a connection whose peer went silent, such as a machine that lost power.
pub fn enable_keepalive(stream: &TcpStream) -> Result<(), NodeError> {
    sockopt::set_socket_keepalive(stream, true).map_err(io::Error::from)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_PERIOD).map_err(io::Error::from)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_PERIOD).map_err(io::Error::from)?;
    sockopt::set_tcp_keepcnt(stream, MAX_LOST_PROBES).map_err(io::Error::from)?;
    let limit = KEEPALIVE_PERIOD * MAX_LOST_PROBES;
    sockopt::set_tcp_user_timeout(stream, limit.as_millis() as u32).map_err(io::Error::from)?;
    Ok(())
}

/// Opens TCP connections, to backend servers and to peers. Tests replace it to cut links.
pub struct TcpConnector {
    connect: Box<dyn Fn(SocketAddr) -> BoxedLocal<io::Result<TcpStream>>>,
}

impl TcpConnector {
    /// Creates a connector from a function.
    pub fn new(
        connect: impl Fn(SocketAddr) -> BoxedLocal<io::Result<TcpStream>> + 'static,
    ) -> TcpConnector {
        TcpConnector { connect: Box::new(connect) }
    }

    /// Opens a connection. Errs if that fails or takes longer than `CONNECT_TIMEOUT`.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let connected = clock::with_timeout(CONNECT_TIMEOUT, (self.connect)(address)).await;
        connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Default for TcpConnector {
    fn default() -> TcpConnector {
        TcpConnector::new(|address| TcpStream::connect(address).boxed_local())
    }
}

/// Open TCP connection to a server.
pub struct ServerStream {
    stream: TcpStream,
    is_relayed: bool,
}

impl ServerStream {
    /// Wraps a connection over this host's own link.
    pub fn direct(stream: TcpStream) -> ServerStream {
        ServerStream { stream, is_relayed: false }
    }

    /// Wraps a connection that a peer relays.
    pub fn relayed(stream: TcpStream) -> ServerStream {
        ServerStream { stream, is_relayed: true }
    }
}

/// Open HTTP connection.
pub struct ServerConnection {
    sender: SendRequest<RequestBody>,
    /// Bytes received so far.
    received: Rc<Cell<u64>>,
    head_limit: Rc<HeadLimit>,
    _connection: Task<()>,
    idle_since: Time,
    idle_limit: Duration,
    /// Whether it was returned to the pool before.
    pub is_reused: bool,
    /// Whether a peer relays it.
    is_relayed: bool,
    opened: Time,
}

/// Why a request got no response.
pub enum SendError {
    /// Nothing was sent.
    NotSent(NodeError),
    /// At least a part may have been sent.
    Unknown(NodeError),
    /// The request was sent, and the server sent bytes that are no response.
    Invalid(NodeError),
}

impl SendError {
    /// Returns the error, whatever it says of the request.
    pub fn into_error(self) -> NodeError {
        let (SendError::NotSent(err) | SendError::Unknown(err) | SendError::Invalid(err)) = self;
        err
    }
}

impl ServerConnection {
    /// Opens a connection.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        connector: &TcpConnector,
        address: SocketAddr,
    ) -> Result<ServerConnection, NodeError> {
        let stream = connector.connect(address).await.map_err(NodeError::Connect)?;
        ServerConnection::over(executor, ServerStream::direct(stream)).await
    }

    /// Opens a connection to a server, through a peer if need be.
    pub async fn open_to(
        gateway: &Gateway,
        server: EngineTag,
        address: SocketAddr,
    ) -> Result<ServerConnection, NodeError> {
        let stream = gateway.connect(server, address).await.map_err(NodeError::Connect)?;
        ServerConnection::over(&gateway.executor, stream).await
    }

    /// Starts HTTP over an open connection.
    pub async fn over(
        executor: &Rc<LocalExecutor<'static>>,
        ServerStream { stream, is_relayed }: ServerStream,
    ) -> Result<ServerConnection, NodeError> {
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        let stream = YieldingStream::new(stream);
        let (received, head_limit) = (stream.received_bytes(), stream.head_limit());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|err| NodeError::Http(err.to_string().into()))?;
        let connection = executor.spawn(async move {
            // An error of the connection reaches the caller that waits for the response.
            let _ = connection.await;
        });
        Ok(ServerConnection {
            sender,
            received,
            head_limit,
            _connection: connection,
            idle_since: clock::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            is_reused: false,
            is_relayed,
            opened: clock::now(),
        })
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.set(MAX_BYTES_BEFORE_BODY);
        let result = self.sender.try_send_request(request).await;
        self.head_limit.clear();
        result.map_err(|mut err| {
            let is_unsent = err.take_message().is_some();
            let err = err.into_error();
            let is_invalid = err.is_parse() || self.head_limit.is_exceeded();
            let fault = NodeError::Http(err.to_string().into());
            match (is_unsent, is_invalid) {
                (true, _) => SendError::NotSent(fault),
                (false, true) => SendError::Invalid(fault),
                (false, false) => SendError::Unknown(fault),
            }
        })
    }

    /// Whether interim responses exceeded their limit.
    pub fn has_endless_head(&self) -> bool {
        self.head_limit.is_exceeded()
    }

    /// Counter of the bytes received.
    pub fn received_bytes(&self) -> Rc<Cell<u64>> {
        self.received.clone()
    }

    /// Whether it can carry a request now.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Reads the connection's idle limit from response headers. Returns whether it may be reused.
    pub fn update_idle_limit(&mut self, headers: &HeaderMap) -> bool {
        let has_option = |name: &str| {
            let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
            values
                .flat_map(|value| value.split(','))
                .any(|option| option.trim().eq_ignore_ascii_case(name))
        };
        let seconds =
            headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|text| {
                let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
                timeout?.trim().parse::<u64>().ok()
            });
        if let Some(seconds) = seconds {
            self.idle_limit = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        }
        !has_option("close") && !self.idle_limit.is_zero()
    }
}

/// Pool of idle connections to backend servers.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<EngineTag, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    /// Takes a connection that has been idle for less than `limit`.
    pub fn take(&self, tag: EngineTag, limit: Duration) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&tag)?;
        let now = clock::now();
        connections.retain(|connection| {
            !connection.sender.is_closed()
                && now.since(connection.idle_since) < connection.idle_limit
        });
        let at = connections.iter().rposition(|connection| {
            connection.sender.is_ready() && now.since(connection.idle_since) < limit
        })?;
        Some(connections.remove(at))
    }

    /// Returns a connection to the pool after a complete response. The oldest is closed if the pool
    /// is full.
    pub fn put(&self, tag: EngineTag, mut connection: ServerConnection) {
        connection.idle_since = clock::now();
        connection.is_reused = true;
        if connection.is_relayed {
            let left = MAX_RELAYED_AGE.saturating_sub(clock::now().since(connection.opened));
            connection.idle_limit = connection.idle_limit.min(left);
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(tag).or_default();
        connections.push(connection);
        if connections.len() > MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
    }

    /// Closes all idle connections to a server.
    pub fn remove_all(&self, tag: EngineTag) {
        self.idle.borrow_mut().remove(&tag);
    }

    /// Closes the idle connections over this host's own links to a server, or to all servers.
    pub fn remove_direct(&self, server: Option<EngineTag>) {
        for (tag, connections) in &mut *self.idle.borrow_mut() {
            if server.is_none_or(|server| server == *tag) {
                connections.retain(|connection| connection.is_relayed);
            }
        }
    }

    /// Closes connections that the server closed or whose idle limit has passed.
    pub fn remove_expired(&self) {
        let now = clock::now();
        for connections in self.idle.borrow_mut().values_mut() {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && now.since(connection.idle_since) < connection.idle_limit
            });
        }
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
