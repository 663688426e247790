//! The connection that this host opens to another host for the requests it forwards.

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
/// Silence after which a connection counts as broken.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a connection without a request is closed. Pulls of configuration go to random
/// hosts, and pings to all of 2,000 hosts would take 240 KB/s.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

type Channels = Rc<RefCell<BTreeMap<u64, Sender<StreamEvent>>>>;
type Questions = Rc<RefCell<BTreeMap<u64, Sender<PeerFrame>>>>;

/// A connection to another host. Clones share it.
#[derive(Clone)]
pub struct PeerLink {
    frames: Sender<PeerFrame>,
    channels: Channels,
    questions: Questions,
    used: Rc<Cell<Instant>>,
}

impl PeerLink {
    /// Sends a frame; a broken link drops it, which the closed channels tell.
    pub fn send(&self, frame: PeerFrame) {
        if !matches!(frame, PeerFrame::Ping | PeerFrame::Pong) {
            self.used.set(Instant::now());
        }
        let _ = self.frames.try_send(frame);
    }

    /// Opens a channel. Its receiver is closed when the link breaks.
    pub fn open(&self, channel: u64) -> Receiver<StreamEvent> {
        let (sender, receiver) = async_channel::unbounded();
        if !self.frames.is_closed() {
            self.channels.borrow_mut().insert(channel, sender);
        }
        receiver
    }

    /// Sends a frame that is answered on a channel, and waits for the answer.
    pub async fn ask(&self, channel: u64, frame: PeerFrame) -> Result<PeerFrame, NodeError> {
        let (sender, receiver) = async_channel::bounded(1);
        self.questions.borrow_mut().insert(channel, sender);
        self.send(frame);
        if self.frames.is_closed() {
            self.questions.borrow_mut().clear();
        }
        let answer = with_timeout(SILENCE_LIMIT, async { Ok(receiver.recv().await.ok()) }).await;
        self.questions.borrow_mut().remove(&channel);
        answer?.ok_or(NodeError::Protocol("connection to peer broke"))
    }

    /// Closes a channel.
    pub fn close_channel(&self, channel: u64) {
        self.channels.borrow_mut().remove(&channel);
    }
}

/// The link to a host, opened if there is none.
pub fn get(host: &HostRef, name: &Arc<str>, address: &Arc<str>) -> PeerLink {
    if let Some(link) = host.state.borrow().links.get(name)
        && !link.frames.is_closed()
    {
        return link.clone();
    }
    let (frames, outgoing) = async_channel::unbounded();
    let used = Rc::new(Cell::new(Instant::now()));
    let (channels, questions) = (Channels::default(), Questions::default());
    let link = PeerLink { frames, channels, questions, used };
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
    // Closing the channels tells every open request that it must attach elsewhere.
    link.frames.close();
    link.channels.borrow_mut().clear();
    link.questions.borrow_mut().clear();
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
    let epoch = pool::check_pause(host);
    let exchange = write_loop(host, writer, outgoing).or(read_loop(host, reader, link, epoch));
    exchange.or(wait_idle(link)).await
}

/// Ends when no request uses the link and nothing was sent for a while.
async fn wait_idle(link: &PeerLink) -> Result<(), NodeError> {
    loop {
        Timer::after(IDLE_LIMIT).await;
        let is_unused = link.channels.borrow().is_empty() && link.questions.borrow().is_empty();
        if is_unused && link.used.get().elapsed() >= IDLE_LIMIT {
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

/// The next frame to send, or a ping when there is none for a ping period.
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
        // What was sent to this host before a pause may be long out of date.
        if pool::check_pause(host) != epoch {
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
                if let Some(sender) = link.questions.borrow_mut().remove(&channel) {
                    let _ = sender.try_send(frame);
                }
            }
            PeerFrame::Ping => link.send(PeerFrame::Pong),
            PeerFrame::Pong => {}
            _ => return Err(NodeError::Protocol("unexpected frame")),
        }
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
