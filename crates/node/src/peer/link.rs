//! The connection that this host opens to another host to forward requests, query request records
//! and pull configuration.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{FutureExt, io::BufReader};
use parsley_core::request::StreamEvent;

use super::frame::{PeerFrame, hello_tag, read_frame, write_frame};
use crate::{
    config_sync,
    error::NodeError,
    event,
    host::{Host, HostRef},
    http::with_timeout,
    pool,
};

/// Time between two pings.
pub const PING_PERIOD: Duration = Duration::from_millis(500);
/// Time without a received frame after which a connection is considered broken.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time within which the TCP connection must be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed. Configuration pulls go to random hosts, and
/// keeping connections to all of 2,000 hosts alive would take 240 KB/s for pings.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Event channels of open requests, by channel number.
type Channels = Rc<RefCell<BTreeMap<u64, Sender<StreamEvent>>>>;
/// Queries without an answer yet, by channel number.
type PendingQueries = Rc<RefCell<BTreeMap<u64, Sender<PeerFrame>>>>;

/// A connection to another host. Clones share the connection.
#[derive(Clone)]
pub struct PeerLink {
    frames: Sender<PeerFrame>,
    channels: Channels,
    queries: PendingQueries,
    last_used: Rc<Cell<Instant>>,
}

impl PeerLink {
    /// Queues a frame. A broken link drops it; the sender learns of the loss because the link's
    /// channels close.
    pub fn send(&self, frame: PeerFrame) {
        if !matches!(frame, PeerFrame::Ping | PeerFrame::Pong) {
            self.last_used.set(Instant::now());
        }
        let _ = self.frames.try_send(frame);
    }

    /// Opens a channel for a request's events. The receiver closes when the link breaks, and is
    /// closed from the start if it already has.
    pub fn open_channel(&self, channel: u64) -> Receiver<StreamEvent> {
        let (sender, receiver) = async_channel::unbounded();
        if !self.frames.is_closed() {
            self.channels.borrow_mut().insert(channel, sender);
        }
        receiver
    }

    /// Sends a query and waits for the answer on its channel. Fails if the link breaks or no answer
    /// arrives within [`SILENCE_LIMIT`].
    pub async fn query(&self, channel: u64, frame: PeerFrame) -> Result<PeerFrame, NodeError> {
        let (sender, receiver) = async_channel::bounded(1);
        self.queries.borrow_mut().insert(channel, sender);
        self.send(frame);
        if self.frames.is_closed() {
            self.queries.borrow_mut().clear();
        }
        let answer = with_timeout(SILENCE_LIMIT, async { Ok(receiver.recv().await.ok()) }).await;
        self.queries.borrow_mut().remove(&channel);
        answer?.ok_or(NodeError::Protocol("connection to peer broke"))
    }

    /// Closes a channel. Events that arrive for it later are dropped.
    pub fn close_channel(&self, channel: u64) {
        self.channels.borrow_mut().remove(&channel);
    }
}

/// Returns the link to a host, and opens one if there is none or it is broken.
pub fn get_or_open(host: &HostRef, name: &Arc<str>, address: &Arc<str>) -> PeerLink {
    if let Some(link) = host.state.borrow().links.get(name)
        && !link.frames.is_closed()
    {
        return link.clone();
    }
    let (frames, outgoing) = async_channel::unbounded();
    let last_used = Rc::new(Cell::new(Instant::now()));
    let (channels, queries) = (Channels::default(), PendingQueries::default());
    let link = PeerLink { frames, channels, queries, last_used };
    host.state.borrow_mut().links.insert(name.clone(), link.clone());
    host.spawn(run(host.clone(), name.clone(), address.clone(), link.clone(), outgoing));
    link
}

async fn run(
    host: HostRef,
    name: Arc<str>,
    address: Arc<str>,
    link: PeerLink,
    outgoing: Receiver<PeerFrame>,
) {
    let result = exchange(&host, &address, &link, outgoing).await;
    if let Err(err) = result {
        event!(host.log, PEER_LINK_ENDED, "peer" => &*name, "error" => %err);
    }
    // A closed channel makes its request attach again over a new connection.
    link.frames.close();
    link.channels.borrow_mut().clear();
    link.queries.borrow_mut().clear();
}

async fn exchange(
    host: &HostRef,
    address: &str,
    link: &PeerLink,
    outgoing: Receiver<PeerFrame>,
) -> Result<(), NodeError> {
    let connect = async { Ok(TcpStream::connect(address).await?) };
    let stream = with_timeout(CONNECT_LIMIT, connect).await?;
    stream.set_nodelay(true)?;
    let reader = BufReader::with_capacity(64 << 10, stream.clone());
    let writer = stream;
    let epoch = pool::detect_pause(host);
    let exchange = write_loop(host, writer, outgoing).or(read_loop(host, reader, link, epoch));
    exchange.or(wait_idle(link)).await
}

/// Returns when the link has no open channel or query and sent nothing but pings and pongs for
/// [`IDLE_LIMIT`].
async fn wait_idle(link: &PeerLink) -> Result<(), NodeError> {
    loop {
        Timer::after(IDLE_LIMIT).await;
        let is_unused = link.channels.borrow().is_empty() && link.queries.borrow().is_empty();
        if is_unused && link.last_used.get().elapsed() >= IDLE_LIMIT {
            return Ok(());
        }
    }
}

async fn write_loop(
    host: &Host,
    mut writer: TcpStream,
    outgoing: Receiver<PeerFrame>,
) -> Result<(), NodeError> {
    let from = host.settings.name.clone();
    let time_ms = unix_ms();
    let tag = hello_tag(&host.settings.peer_key, &from, time_ms);
    write_frame(&mut writer, &PeerFrame::Hello { from, time_ms, tag }).await?;
    loop {
        let frame = next_or_ping(&outgoing).await?;
        write_frame(&mut writer, &frame).await?;
    }
}

/// Waits for the next frame to send, or returns a ping if there is none within [`PING_PERIOD`].
/// Fails when the sending side has closed the queue.
pub async fn next_or_ping(outgoing: &Receiver<PeerFrame>) -> Result<PeerFrame, NodeError> {
    let next = async {
        outgoing.recv().await.map_err(|_| NodeError::Protocol("connection closed by this host"))
    };
    let ping = async {
        Timer::after(PING_PERIOD).await;
        Ok(PeerFrame::Ping)
    };
    next.or(ping).await
}

async fn read_loop(
    host: &HostRef,
    mut reader: BufReader<TcpStream>,
    link: &PeerLink,
    epoch: u64,
) -> Result<(), NodeError> {
    loop {
        let frame = with_timeout(SILENCE_LIMIT, read_frame(&mut reader)).await?;
        // Frames that were buffered while this process was paused may be stale.
        if pool::detect_pause(host) != epoch {
            return Err(NodeError::Protocol("this host was paused"));
        }
        match frame {
            PeerFrame::Event { channel, event } => {
                let sender = link.channels.borrow().get(&channel).cloned();
                let delivered = sender.is_some_and(|sender| sender.try_send(event).is_ok());
                if !delivered {
                    link.close_channel(channel);
                }
            }
            PeerFrame::ConfigDelta(delta) => config_sync::apply(host, delta),
            PeerFrame::RecordAck { channel, .. }
            | PeerFrame::RecordAnswer { channel, .. }
            | PeerFrame::CancelAnswer { channel, .. } => {
                if let Some(sender) = link.queries.borrow_mut().remove(&channel) {
                    let _ = sender.try_send(frame);
                }
            }
            PeerFrame::Ping => link.send(PeerFrame::Pong),
            PeerFrame::Pong => {}
            _ => return Err(NodeError::Protocol("unexpected frame")),
        }
    }
}

/// Unix time in milliseconds; zero if the clock is set before 1970.
pub fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
