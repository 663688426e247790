//! Datagrams between hosts: what each has in flight, what it thinks of backend servers and how
//! recent its configuration is.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::{Async, Timer};
use parsley_core::{
    dispatch::DispatchInput,
    evidence::PeerEvidence,
    fleet::EngineOpinion,
    roster::{HostCard, HostTag, PeerNews},
    work::WorkNews,
};
use parsley_macros::message;

use super::{Gateway, GatewayRef, ServerNews, clock};
use crate::{error::NodeError, event};

/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;
/// Pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Entries of servers in one datagram.
const SERVERS_A_DATAGRAM: usize = 8;
/// Work entries in one datagram; more go in further ones, below the size that networks carry.
const ENTRIES_A_DATAGRAM: usize = 16;

/// A datagram.
#[message]
enum PeerBeat {
    /// Everything, sent to one peer.
    Full {
        card: HostCard,
        /// The sender's clock, in microseconds.
        clock: u64,
        evidence: PeerEvidence,
        news: WorkNews,
        opinions: Vec<EngineOpinion>,
        /// Number that stands for the sender's list of servers.
        digest: u64,
    },
    /// What a lead learned from the store about servers.
    Servers(Vec<ServerNews>),
    /// What changed, sent to every peer.
    News { host: HostTag, incarnation: u64, news: WorkNews },
}

/// Opens the socket and starts to send and receive.
pub fn start(gateway: &GatewayRef) -> Result<(), NodeError> {
    let address = gateway.settings.card.beats;
    let socket = Async::<UdpSocket>::bind(address)
        .map_err(|err| NodeError::Listen(address.to_string().into(), err))?;
    let socket = std::rc::Rc::new(socket);
    let (receiving, from) = (gateway.clone(), socket.clone());
    gateway.spawn(async move { receive(receiving, &from).await });
    let (telling, to) = (gateway.clone(), socket.clone());
    gateway.spawn(async move {
        // The channel closes only with the gateway.
        while telling.news.1.recv().await.is_ok() {
            send_news(&telling, &to);
        }
    });
    let (beating, to) = (gateway.clone(), socket);
    gateway.spawn(async move {
        loop {
            let is_lead = beating.feed_context(true).is_lead;
            let period = beating.state.borrow().roster.beat_period(is_lead);
            send_beats(&beating, &to);
            Timer::after(period).await;
        }
    });
    Ok(())
}

/// Tells every peer everything now, from a socket of its own.
pub fn send_full(gateway: &GatewayRef) {
    with_own_socket(gateway, |socket| send_beats(gateway, socket));
}

fn with_own_socket(gateway: &Gateway, work: impl FnOnce(&Async<UdpSocket>)) {
    let from = SocketAddr::new(gateway.settings.card.beats.ip(), 0);
    match Async::<UdpSocket>::bind(from) {
        Ok(socket) => work(&socket),
        Err(err) => event!(gateway.log, DATAGRAM_REFUSED, "from" => from.to_string(),
            "error" => err.to_string()),
    }
}

/// Tells every peer what the store showed about servers.
pub fn send_servers(gateway: &Gateway) {
    let news = std::mem::take(&mut gateway.state.borrow_mut().server_news);
    if news.is_empty() {
        return;
    }
    with_own_socket(gateway, |socket| {
        let now = clock::now();
        let targets: Vec<_> = {
            let state = gateway.state.borrow();
            state.roster.alive(now).map(|(_, card)| card.beats).collect()
        };
        for part in news.chunks(SERVERS_A_DATAGRAM) {
            let bytes = encode(&PeerBeat::Servers(part.to_vec()));
            targets.iter().for_each(|target| send(gateway, socket, *target, &bytes));
        }
    });
}

fn send_news(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let (bytes, targets) = {
        let mut state = gateway.state.borrow_mut();
        let now = clock::now();
        let news = state.dispatcher.view.take_news(now);
        if news.entries.is_empty() && news.ended.is_empty() {
            return;
        }
        let beat =
            PeerBeat::News { host: state.card.tag(), incarnation: state.card.incarnation, news };
        let alive: Vec<_> = state.roster.alive(now).map(|(_, card)| card.beats).collect();
        (encode(&beat), alive)
    };
    for target in targets {
        send(gateway, socket, target, &bytes);
    }
}

fn send_beats(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let targets = gateway.state.borrow().roster.targets();
    for target in targets {
        send_beat(gateway, socket, target);
    }
}

/// Tells one peer everything.
fn send_beat(gateway: &Gateway, socket: &Async<UdpSocket>, target: SocketAddr) {
    let now = clock::now();
    let evidence = evidence_for(gateway, target);
    let (card, news, opinions, digest) = {
        let state = gateway.state.borrow();
        let opinions = state.dispatcher.fleet.opinions(now);
        let digest = state.dispatcher.fleet.digest();
        (state.card.clone(), state.dispatcher.view.all_news(now), opinions, digest)
    };
    let (host, incarnation) = (card.tag(), card.incarnation);
    let (first, rest) = news.entries.split_at(news.entries.len().min(ENTRIES_A_DATAGRAM));
    let news = WorkNews { is_full: true, entries: first.to_vec(), ended: Vec::new() };
    let beat = PeerBeat::Full { card, clock: now.0, evidence, news, opinions, digest };
    send(gateway, socket, target, &encode(&beat));
    for entries in rest.chunks(ENTRIES_A_DATAGRAM) {
        let news = WorkNews { is_full: false, entries: entries.to_vec(), ended: Vec::new() };
        send(gateway, socket, target, &encode(&PeerBeat::News { host, incarnation, news }));
    }
}

/// What this host can vouch for, bound to the last clock that it has from the peer.
fn evidence_for(gateway: &Gateway, target: SocketAddr) -> PeerEvidence {
    let now = clock::now();
    let state = gateway.state.borrow();
    let tag = state.roster.tag_of(target);
    let (echo, heard) =
        tag.and_then(|tag| state.peer_clocks.get(&tag)).copied().unwrap_or((0, now));
    let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    PeerEvidence {
        version: state.evidence.version(),
        // Rounded against the evidence.
        age_ms: state.evidence.age(now).map(|age| millis(age).saturating_add(1)),
        incarnation: tag.and_then(|tag| state.roster.incarnation(tag)).unwrap_or_default(),
        echo,
        held_ms: millis(now.since(heard)),
    }
}

fn encode(beat: &PeerBeat) -> Vec<u8> {
    postcard::to_stdvec(beat).expect("beats have no types that fail to encode")
}

fn send(gateway: &Gateway, socket: &Async<UdpSocket>, target: SocketAddr, bytes: &[u8]) {
    // A datagram that cannot be sent now is as one that got lost: the next beat mends it.
    if socket.get_ref().send_to(bytes, target).is_ok() {
        gateway.metrics.datagrams.with_label_values(&["out"]).inc();
        gateway.metrics.datagram_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
    }
}

async fn receive(gateway: GatewayRef, socket: &Async<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(err) => {
                log_refused(&gateway, socket.get_ref().local_addr().ok(), &err.to_string());
                Timer::after(RECEIVE_PAUSE).await;
                continue;
            }
        };
        gateway.metrics.datagrams.with_label_values(&["in"]).inc();
        gateway.metrics.datagram_bytes.with_label_values(&["in"]).inc_by(length as u64);
        match postcard::from_bytes(&buffer[..length]) {
            Ok(beat) => take(&gateway, beat),
            Err(err) => log_refused(&gateway, Some(from), &err.to_string()),
        }
    }
}

fn log_refused(gateway: &Gateway, from: Option<SocketAddr>, error: &str) {
    if gateway.lines.may_write(clock::now(), true) {
        let from = from.map(|one| one.to_string()).unwrap_or_default();
        event!(gateway.log, DATAGRAM_REFUSED, "from" => from, "error" => error);
    }
}

fn take(gateway: &GatewayRef, beat: PeerBeat) {
    let now = clock::now();
    match beat {
        PeerBeat::News { host, incarnation, news } => {
            let known = gateway.state.borrow().roster.incarnation(host);
            if known == Some(incarnation) {
                let opinions = Vec::new();
                gateway.dispatch(DispatchInput::Heard { host, incarnation, news, opinions });
            }
        }
        PeerBeat::Servers(news) => {
            for one in news {
                gateway.dispatch(match one {
                    ServerNews::Changed(entry) => DispatchInput::Changed(entry),
                    ServerNews::Removed { id, revision } => DispatchInput::Removed { id, revision },
                });
            }
        }
        PeerBeat::Full { card, clock, evidence, news, opinions, digest } => {
            let (host, incarnation) = (card.tag(), card.incarnation);
            let (peer_news, is_newer) = {
                let state = &mut *gateway.state.borrow_mut();
                if host == state.card.tag() {
                    return;
                }
                let Some(peer_news) = state.roster.hear(now, card.clone()) else { return };
                state.peer_clocks.insert(host, (clock, now));
                state.newest_heard = state.newest_heard.max(evidence.version);
                let is_unlike = digest != state.dispatcher.fleet.digest();
                if card.has_store && is_unlike {
                    state.unlike_since.get_or_insert(now);
                } else if card.has_store {
                    state.unlike_since = None;
                }
                (peer_news, state.evidence.hear(now, &evidence))
            };
            if peer_news == PeerNews::Back {
                // A host that starts learns at once what is in flight.
                with_own_socket(gateway, |socket| send_beat(gateway, socket, card.beats));
                event!(gateway.log, PEER_HEARD, "peer" => &*card.name,
                    "incarnation" => incarnation, "ready" => card.is_ready);
            }
            if is_newer {
                // A full channel means that the driver was asked already.
                let _ = gateway.stale.0.try_send(());
            }
            gateway.note_evidence();
            gateway.dispatch(DispatchInput::Heard { host, incarnation, news, opinions });
        }
    }
}
