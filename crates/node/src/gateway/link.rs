//! Connections to backend servers and to the store: opened when needed and kept for further
//! requests.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use async_executor::{LocalExecutor, Task};
use async_net::TcpStream;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{Builder, SendRequest},
    header::{CONNECTION, HeaderMap},
};
use parsley_core::{fleet::EngineTag, time::Time};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use super::{clock, yielding::YieldingStream};
use crate::error::NodeError;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for a connection; one lost opening packet costs a second and another server is better.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not used if the server names none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(3_500);
/// Time before the server's own idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Silence after which a probe is sent, and time between two probes; the shortest that sockets take.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead. Memory set aside for its request is returned
/// before it counts as lost.
const MAX_LOST_PROBES: u32 = 2;
/// Idle connections kept for each server: all hosts share what a server accepts, and few of a
/// host's requests meet on one server.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Lets the kernel end a connection whose other end fell silent, such as a machine without power.
fn enable_keepalive(stream: &TcpStream) -> Result<(), NodeError> {
    let seconds = KEEPALIVE_PERIOD;
    sockopt::set_socket_keepalive(stream, true).map_err(io::Error::from)?;
    sockopt::set_tcp_keepidle(stream, seconds).map_err(io::Error::from)?;
    sockopt::set_tcp_keepintvl(stream, seconds).map_err(io::Error::from)?;
    sockopt::set_tcp_keepcnt(stream, MAX_LOST_PROBES).map_err(io::Error::from)?;
    let limit = seconds * MAX_LOST_PROBES;
    sockopt::set_tcp_user_timeout(stream, limit.as_millis() as u32).map_err(io::Error::from)?;
    Ok(())
}

/// One open connection.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    _connection: Task<()>,
    idle_since: Time,
    idle_limit: Duration,
    /// Whether an answer came on it before.
    pub is_reused: bool,
}

/// Why a send brought no answer.
pub enum SendError {
    /// Nothing was sent.
    NotSent(NodeError),
    /// It was sent, at least in part.
    Unknown(NodeError),
}

impl ServerConnection {
    /// Opens a connection.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
    ) -> Result<ServerConnection, NodeError> {
        let connect = async { TcpStream::connect(address).await.map_err(NodeError::Connect) };
        let limit = async {
            async_io::Timer::after(CONNECT_TIMEOUT).await;
            Err(NodeError::Connect(io::ErrorKind::TimedOut.into()))
        };
        let stream = connect.or(limit).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(YieldingStream::new(stream)))
            .await
            .map_err(|err| NodeError::Http(err.to_string().into()))?;
        let connection = executor.spawn(async move {
            // The error of a connection reaches whoever waits for its answer.
            let _ = connection.await;
        });
        Ok(ServerConnection {
            sender,
            _connection: connection,
            idle_since: clock::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            is_reused: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut err| {
            let is_unsent = err.take_message().is_some();
            let fault = NodeError::Http(err.into_error().to_string().into());
            if is_unsent { SendError::NotSent(fault) } else { SendError::Unknown(fault) }
        })
    }

    /// Whether it can carry a request now.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Notes what an answer's head says about the connection. Returns whether it may be kept.
    pub fn update_idle_limit(&mut self, headers: &HeaderMap) -> bool {
        let says = |name: &str| {
            let values = headers.get_all(CONNECTION).iter().filter_map(|one| one.to_str().ok());
            values.flat_map(|one| one.split(',')).any(|one| one.trim().eq_ignore_ascii_case(name))
        };
        let seconds =
            headers.get("keep-alive").and_then(|one| one.to_str().ok()).and_then(|text| {
                let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
                timeout?.trim().parse::<u64>().ok()
            });
        if let Some(seconds) = seconds {
            self.idle_limit = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        }
        !says("close") && !self.idle_limit.is_zero()
    }
}

/// The idle connections of this host.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<EngineTag, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    /// A kept connection that has been idle for at most `limit`.
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

    /// Keeps a connection after a whole answer.
    pub fn put(&self, tag: EngineTag, mut connection: ServerConnection) {
        connection.idle_since = clock::now();
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(tag).or_default();
        connections.push(connection);
        if connections.len() > MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
    }

    /// Closes the kept connections to a server.
    pub fn remove_all(&self, tag: EngineTag) {
        self.idle.borrow_mut().remove(&tag);
    }

    /// Closes connections that are no longer of use.
    pub fn remove_expired(&self) {
        let now = clock::now();
        for connections in self.idle.borrow_mut().values_mut() {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && now.since(connection.idle_since) < connection.idle_limit
            });
        }
    }

    /// Kept connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
