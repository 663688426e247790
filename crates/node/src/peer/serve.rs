//! Connections that other hosts open to this host.

use std::{collections::BTreeMap, net::TcpListener, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Async;
use async_net::TcpStream;
use futures_lite::{FutureExt, io::BufReader};
use parsley_core::record::RecordOutput;

use super::{
    frame::{PeerFrame, hello_tag, read_frame, read_hello, write_frame},
    link::{SILENCE_LIMIT, next_or_ping, unix_ms},
};
use crate::{
    error::NodeError,
    event,
    host::HostRef,
    http::{self, with_timeout},
    pool::{self, Attachment, EventSink},
    records,
};

/// Largest difference between the clocks of two hosts.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(60);

/// Starts to accept connections of other hosts.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let listener = http::listen(&host.settings.peer_listen)?;
    host.spawn(accept_loop(host.clone(), listener));
    Ok(())
}

async fn accept_loop(host: HostRef, listener: Async<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.get_ref().set_nodelay(true);
        let stream = TcpStream::from(stream);
        host.spawn(serve(host.clone(), stream));
    }
}

async fn serve(host: HostRef, stream: TcpStream) {
    let (frames, outgoing) = async_channel::unbounded();
    let mut channels = BTreeMap::new();
    let reader = BufReader::with_capacity(64 << 10, stream.clone());
    let reading = read_loop(&host, reader, &frames, &mut channels);
    let result = write_loop(stream, outgoing).or(reading).await;
    frames.close();
    if let Err(err) = result {
        event!(host.log, PEER_CONNECTION_ENDED, "error" => %err);
    }
    for attachment in channels.into_values() {
        pool::detach(&host, attachment);
    }
}

async fn write_loop(mut writer: TcpStream, outgoing: Receiver<PeerFrame>) -> Result<(), NodeError> {
    loop {
        let frame = next_or_ping(&outgoing).await?;
        write_frame(&mut writer, &frame).await?;
    }
}

async fn read_loop(
    host: &HostRef,
    mut reader: BufReader<TcpStream>,
    frames: &Sender<PeerFrame>,
    channels: &mut BTreeMap<u64, Attachment>,
) -> Result<(), NodeError> {
    let hello = with_timeout(SILENCE_LIMIT, read_hello(&mut reader)).await?;
    check_hello(host, &hello)?;
    let epoch = pool::check_pause(host);
    loop {
        let frame = with_timeout(SILENCE_LIMIT, read_frame(&mut reader)).await?;
        // What was sent to this host before a pause may be long out of date.
        if pool::check_pause(host) != epoch {
            return Err(NodeError::Protocol("this host was paused"));
        }
        receive(host, frame, frames, channels)?;
    }
}

fn receive(
    host: &HostRef,
    frame: PeerFrame,
    frames: &Sender<PeerFrame>,
    channels: &mut BTreeMap<u64, Attachment>,
) -> Result<(), NodeError> {
    let sink = |channel| EventSink::Peer { channel, frames: frames.clone() };
    let answer = |frame| drop(frames.try_send(frame));
    match frame {
        PeerFrame::Submit { channel, order, engine } => {
            channels.insert(channel, pool::receive(host, order, &engine, None, sink(channel)));
        }
        PeerFrame::Attach { channel, order, engine, stream } => {
            let attachment = pool::receive(host, order, &engine, Some(stream), sink(channel));
            channels.insert(channel, attachment);
        }
        PeerFrame::Cancel { channel } => {
            if let Some(attachment) = channels.remove(&channel) {
                pool::cancel_attached(host, attachment);
            }
        }
        PeerFrame::Detach { channel } => {
            if let Some(attachment) = channels.remove(&channel) {
                pool::detach(host, attachment);
            }
        }
        PeerFrame::RecordPut { channel, record } => {
            let RecordOutput::Opened { record, is_retry } = records::open_local(host, record);
            answer(PeerFrame::RecordAck { channel, record, is_retry });
        }
        PeerFrame::RecordMove { name, placed, attempt } => {
            records::update_local(host, name, placed, attempt);
        }
        PeerFrame::RecordDrop { name } => records::end_local(host, name),
        PeerFrame::RecordGet { channel, name } => {
            let record = records::get_local(host, &name);
            answer(PeerFrame::RecordAnswer { channel, record });
        }
        PeerFrame::CancelRequest { channel, name } => {
            let found = pool::cancel_named(host, &name);
            answer(PeerFrame::CancelAnswer { channel, found });
        }
        PeerFrame::ConfigPull { after } => {
            let delta = host.state.borrow().config.delta(after);
            answer(PeerFrame::ConfigDelta(delta));
        }
        PeerFrame::Ping => answer(PeerFrame::Pong),
        PeerFrame::Pong => {}
        _ => return Err(NodeError::Protocol("unexpected frame")),
    }
    Ok(())
}

fn check_hello(host: &HostRef, frame: &PeerFrame) -> Result<(), NodeError> {
    let PeerFrame::Hello { from, time_ms, tag } = frame else {
        return Err(NodeError::Protocol("first frame is not hello"));
    };
    let expected = hello_tag(&host.settings.peer_key, from, *time_ms);
    if blake3::Hash::from_bytes(expected) != blake3::Hash::from_bytes(*tag) {
        return Err(NodeError::Protocol("peer does not know the peer key"));
    }
    if unix_ms().abs_diff(*time_ms) > CLOCK_TOLERANCE.as_millis() as u64 {
        return Err(NodeError::Protocol("hello is too old"));
    }
    Ok(())
}
