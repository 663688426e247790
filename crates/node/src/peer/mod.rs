//! Traffic between hosts: membership datagrams and framed connections.

use std::{cell::RefCell, net::UdpSocket, rc::Rc, sync::Arc};

use async_io::{Async, Timer};
use parsley_core::{
    member::{MemberInput, MemberMessage, MemberOutput, PROBE_PERIOD},
    placement::EngineLoad,
    usage::{UsageInput, UsageMessage},
};
use parsley_macros::message;

use crate::{config_sync, error::NodeError, host::HostRef, pool};

pub mod frame;
pub mod link;
pub mod serve;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 1400;
const TAG_BYTES: usize = 16;

/// A datagram between hosts.
#[message]
pub enum PeerDatagram {
    /// Membership.
    Member(MemberMessage),
    /// Loads of the engines that the sender owns.
    Load(Vec<EngineLoad>),
    /// Keep new work off an engine that the receiver owns, as a group waits for it.
    Drain(Arc<str>),
    /// Use of accounts.
    Usage(UsageMessage),
}

thread_local! {
    // One host runs on a thread, and every sender needs the socket.
    static SOCKET: RefCell<Option<Rc<Async<UdpSocket>>>> = const { RefCell::new(None) };
}

/// Starts to listen for other hosts.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let address = &*host.settings.peer_listen;
    let socket = Rc::new(Async::<UdpSocket>::try_from(UdpSocket::bind(address)?)?);
    SOCKET.with_borrow_mut(|slot| *slot = Some(socket.clone()));
    host.spawn(receive_loop(host.clone(), socket));
    host.spawn(probe_loop(host.clone()));
    serve::start(host)
}

async fn probe_loop(host: HostRef) {
    loop {
        member_step(&host, MemberInput::Tick);
        Timer::after(PROBE_PERIOD).await;
    }
}

async fn receive_loop(host: HostRef, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; DATAGRAM_BYTES * 2];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(datagram) = open(&host, &buffer[..size]) else { continue };
        match datagram {
            PeerDatagram::Member(message) => member_step(&host, MemberInput::Received(message)),
            PeerDatagram::Usage(message) => {
                pool::report::usage_step(&host, UsageInput::Received(message));
            }
            PeerDatagram::Drain(engine) => pool::group::drain_owned(&host, &engine),
            PeerDatagram::Load(loads) => {
                let mut state = host.state.borrow_mut();
                loads.into_iter().for_each(|load| state.picker.report(load));
            }
        }
    }
}

/// Advances membership and carries out what it asks for.
pub fn member_step(host: &HostRef, input: MemberInput) {
    let outputs = host.state.borrow_mut().members.step(host.now(), input);
    for output in outputs {
        match output {
            MemberOutput::Send { to, message } => send(host, &to, &PeerDatagram::Member(message)),
            MemberOutput::PeerAhead { host: peer, revision: _ } => config_sync::pull(host, peer),
            MemberOutput::Changed => pool::assign::assign(host),
        }
    }
}

/// Sends a datagram; a lost one is not noticed.
pub fn send(host: &HostRef, to: &Arc<str>, datagram: &PeerDatagram) {
    let Ok(address) = to.parse::<std::net::SocketAddr>() else { return };
    let bytes = seal(host, datagram);
    SOCKET.with_borrow(|socket| {
        let Some(socket) = socket else { return };
        // A full socket buffer drops the datagram, as the network may.
        let _ = socket.get_ref().send_to(&bytes, address);
    });
}

fn seal(host: &HostRef, datagram: &PeerDatagram) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(datagram).expect("datagrams are plain data");
    let tag = blake3::keyed_hash(&datagram_key(host), &bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    bytes
}

fn open(host: &HostRef, bytes: &[u8]) -> Option<PeerDatagram> {
    let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
    let expected = blake3::keyed_hash(&datagram_key(host), body);
    if expected.as_bytes()[..TAG_BYTES] != *tag {
        return None;
    }
    postcard::from_bytes(body).ok()
}

fn datagram_key(host: &HostRef) -> [u8; 32] {
    blake3::derive_key("parsleystage peer datagram 1", host.settings.peer_key.as_bytes())
}
