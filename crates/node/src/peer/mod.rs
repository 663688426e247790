//! Communication between hosts: UDP datagrams for membership, load, usage and notices, and TCP
//! connections with framed messages for requests, records and configuration.

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
    // Thread-local because each thread runs one host and all its senders share the socket.
    static SOCKET: RefCell<Option<Rc<Async<UdpSocket>>>> = const { RefCell::new(None) };
}

/// Binds the peer address and starts receiving datagrams and connections. Fails if an address in
/// the settings is not an IP address with a port or cannot be bound.
pub fn start(host: &HostRef) -> Result<(), NodeError> {
    let parse = |address: &str| {
        address
            .parse()
            .map_err(|_| NodeError::Protocol("a peer address is not an IP address and port"))
    };
    let listen: SocketAddr = parse(&host.settings.peer_listen)?;
    // Datagram tags cover the advertised address, which may differ from the one bound.
    let local_address = parse(&host.state.borrow().members.local().peer_address)?;
    let socket = UdpSocket::bind(listen).and_then(Async::<UdpSocket>::try_from);
    let listen = &host.settings.peer_listen;
    let socket = Rc::new(socket.map_err(|err| NodeError::Listen(listen.clone(), err))?);
    SOCKET.with_borrow_mut(|slot| *slot = Some(socket.clone()));
    host.spawn(receive_loop(host.clone(), socket, local_address));
    host.spawn(tick_loop(host.clone()));
    serve::start(host)
}

async fn tick_loop(host: HostRef) {
    loop {
        member_step(&host, MemberInput::Tick);
        Timer::after(MEMBER_TICK).await;
    }
}

async fn receive_loop(host: HostRef, socket: Rc<Async<UdpSocket>>, local_address: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 2];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else { continue };
        // `open` counts dropped datagrams by reason.
        let opened = host.state.borrow_mut().datagrams.open(local_address, &buffer[..size]);
        let Ok(envelope) = opened else { continue };
        count_bytes(&host, "received", content_name(&envelope.datagram), size);
        receive(&host, &envelope.from, envelope.datagram);
    }
}

fn receive(host: &HostRef, from: &Arc<str>, datagram: PeerDatagram) {
    match datagram {
        PeerDatagram::Member(message) => member_step(host, MemberInput::Received(message)),
        PeerDatagram::Load(push) => {
            // A host may report load only for its own engines.
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

/// Passes an input to the membership protocol and executes its outputs.
pub fn member_step(host: &HostRef, input: MemberInput) {
    let outputs = host.state.borrow_mut().members.step(host.now(), input);
    for output in outputs {
        match output {
            MemberOutput::Send { to, message } => send(host, &to, PeerDatagram::Member(message)),
            MemberOutput::PeerConfigAhead { host: peer, revision } => {
                config_sync::step(host, ConfigInput::PeerRevision { host: peer, revision });
            }
            MemberOutput::Changed => handle_member_change(host),
            MemberOutput::DeclaredDead => {
                event!(host.log, DECLARED_DEAD);
                // Other hosts may own the engines by now, so queued requests return to their entry
                // hosts.
                pool::assign::return_queued(host);
            }
        }
    }
}

fn handle_member_change(host: &HostRef) {
    {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let members = &state.members;
        state.datagrams.retain(|name| members.get(name).is_some());
    }
    pool::assign::schedule_assign(host);
}

/// Sends a datagram to a host by name. Does nothing if the host is not a member.
pub fn send_to(host: &HostRef, name: &str, datagram: PeerDatagram) {
    let address = {
        let state = host.state.borrow();
        state.members.get(name).map(|record| record.peer_address.clone())
    };
    if let Some(address) = address {
        send(host, &address, datagram);
    }
}

/// Sends a datagram to a peer address, without confirmation of delivery.
pub fn send(host: &HostRef, to: &Arc<str>, datagram: PeerDatagram) {
    let Ok(address) = to.parse::<SocketAddr>() else { return };
    let content = content_name(&datagram);
    let bytes = {
        let mut state = host.state.borrow_mut();
        let state = &mut *state;
        let local = state.members.local();
        state.datagrams.seal(address, &local.name, local.incarnation, datagram)
    };
    if bytes.len() > MAX_DATAGRAM_BYTES {
        event!(host.log, DATAGRAM_TOO_LARGE, "bytes" => bytes.len());
    }
    count_bytes(host, "sent", content, bytes.len());
    SOCKET.with_borrow(|socket| {
        let Some(socket) = socket else { return };
        // An error such as a full socket buffer is treated like loss in the network.
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
