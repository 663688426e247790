//! Traffic between hosts: membership datagrams and framed connections.

use std::{
    cell::RefCell,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    sync::Arc,
};

use async_io::{Async, Timer};
use parsley_core::{
    config::ConfigInput,
    member::{MEMBER_TICK, MemberInput, MemberOutput},
    placement::PlacementInput,
    usage::UsageInput,
};

use crate::{config_sync, error::NodeError, event, host::HostRef, pool};

pub mod datagram;
pub mod frame;
pub mod link;
pub mod serve;

use datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};

thread_local! {
    // One host runs on a thread, and every sender needs the socket.
    static SOCKET: RefCell<Option<Rc<Async<UdpSocket>>>> = const { RefCell::new(None) };
}

/// Starts to listen for other hosts.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let parse = |address: &str| {
        address.parse().map_err(|_| NodeError::Protocol("a peer address is not an IP address"))
    };
    let listen: SocketAddr = parse(&host.settings.peer_listen)?;
    // Datagrams are sealed for the address that other hosts use.
    let me = parse(&host.state.borrow().members.local().peer_address)?;
    let socket = UdpSocket::bind(listen).and_then(Async::<UdpSocket>::try_from);
    let listen = &host.settings.peer_listen;
    let socket = Rc::new(socket.map_err(|err| NodeError::Listen(listen.clone(), err))?);
    SOCKET.with_borrow_mut(|slot| *slot = Some(socket.clone()));
    host.spawn(receive_loop(host.clone(), socket, me));
    host.spawn(tick_loop(host.clone()));
    serve::start(host)
}

async fn tick_loop(host: HostRef) {
    loop {
        member_step(&host, MemberInput::Tick);
        Timer::after(MEMBER_TICK).await;
    }
}

async fn receive_loop(host: HostRef, socket: Rc<Async<UdpSocket>>, me: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 2];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else { continue };
        // Dropped datagrams are counted by reason.
        let opened = host.state.borrow_mut().datagrams.open(me, &buffer[..size]);
        let Ok(envelope) = opened else { continue };
        count_bytes(&host, "received", content_name(&envelope.datagram), size);
        receive(&host, &envelope.from, envelope.datagram);
    }
}

fn receive(host: &HostRef, from: &Arc<str>, datagram: PeerDatagram) {
    match datagram {
        PeerDatagram::Member(message) => member_step(host, MemberInput::Received(message)),
        PeerDatagram::Load(push) => {
            // A push speaks only for the engines of its sender.
            if push.owner == *from {
                host.state.borrow_mut().picker.step(host.now(), PlacementInput::Load(push));
            }
        }
        PeerDatagram::LoadSubscribe => pool::assign::add_subscriber(host, from),
        PeerDatagram::ConfigPush(revision) => {
            let input = ConfigInput::PeerRevision { host: from.clone(), revision };
            config_sync::step(host, input);
        }
        PeerDatagram::Drain(engine) => pool::group::drain_owned(host, &engine),
        PeerDatagram::Usage(message) => {
            pool::report::usage_step(host, UsageInput::Received(message));
        }
        PeerDatagram::Leaving(names) => pool::assign::mark_leaving(host, &names),
    }
}

/// Advances membership and carries out what it asks for.
pub fn member_step(host: &HostRef, input: MemberInput) {
    let outputs = host.state.borrow_mut().members.step(host.now(), input);
    for output in outputs {
        match output {
            MemberOutput::Send { to, message } => send(host, &to, PeerDatagram::Member(message)),
            MemberOutput::PeerConfigAhead { host: peer, revision } => {
                config_sync::step(host, ConfigInput::PeerRevision { host: peer, revision });
            }
            MemberOutput::Changed => changed(host),
            MemberOutput::DeclaredDead => {
                event!(host.log, DECLARED_DEAD);
                // Others may have taken the engines over; queued work goes back to its callers.
                pool::assign::return_queued(host);
            }
        }
    }
}

fn changed(host: &HostRef) {
    {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let members = &state.members;
        state.datagrams.retain(|name| members.get(name).is_some());
    }
    pool::assign::schedule_assign(host);
}

/// Sends a datagram to a host by name; one that is not known gets nothing.
pub fn send_to(host: &HostRef, name: &str, datagram: PeerDatagram) {
    let address = {
        let state = host.state.borrow();
        state.members.get(name).map(|record| record.peer_address.clone())
    };
    if let Some(address) = address {
        send(host, &address, datagram);
    }
}

/// Sends a datagram; a lost one is not noticed.
pub fn send(host: &HostRef, to: &Arc<str>, datagram: PeerDatagram) {
    let Ok(address) = to.parse::<SocketAddr>() else { return };
    let content = content_name(&datagram);
    let bytes = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let me = state.members.local();
        state.datagrams.seal(address, &me.name, me.incarnation, datagram)
    };
    if bytes.len() > MAX_DATAGRAM_BYTES {
        event!(host.log, DATAGRAM_TOO_LARGE, "bytes" => bytes.len());
    }
    count_bytes(host, "sent", content, bytes.len());
    SOCKET.with_borrow(|socket| {
        let Some(socket) = socket else { return };
        // A full socket buffer drops the datagram, as the network may.
        let _ = socket.get_ref().send_to(&bytes, address);
    });
}

fn content_name(datagram: &PeerDatagram) -> &'static str {
    match datagram {
        PeerDatagram::Member(_) => "member",
        PeerDatagram::Load(_) | PeerDatagram::LoadSubscribe => "load",
        PeerDatagram::ConfigPush(_) => "config",
        PeerDatagram::Leaving(_) => "leaving",
        PeerDatagram::Drain(_) => "drain",
        PeerDatagram::Usage(_) => "usage",
    }
}

fn count_bytes(host: &HostRef, direction: &str, content: &str, bytes: usize) {
    let counter = host.metrics.control_bytes.with_label_values(&[direction, content]);
    counter.inc_by(u64::try_from(bytes).unwrap_or(0));
}
