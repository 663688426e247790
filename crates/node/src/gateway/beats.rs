//! Datagrams between hosts: what each has in flight, what it thinks of backend servers and how
//! recent its configuration is. Members tell one another; the other hosts ask a member.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::{Async, Timer};
use parsley_core::{
    dispatch::DispatchInput,
    evidence::{EvidenceWorth, PeerEvidence},
    fleet::{EngineOpinion, FleetChange, FleetTable},
    roster::{ASK_PERIOD, BeatTarget, HostCard, HostTag, PeerDuty, PeerNews},
    time::Time,
    work::WorkUpdate,
};
use parsley_macros::message;

use super::{Gateway, GatewayRef, GatewayState, ServerNews, clock};
use crate::{error::NodeError, event};

/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;
/// Pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);
/// Entries of servers in one datagram.
const SERVERS_A_DATAGRAM: usize = 8;
/// Work entries in one datagram; more go in further ones, below the size that networks carry.
const ENTRIES_A_DATAGRAM: usize = 16;

/// Entries of servers in one answer to a host that stands by.
const SERVERS_AN_ANSWER: usize = 12;

/// A datagram.
#[message]
enum PeerBeat {
    /// What a member says of itself, sent to one other member.
    Beat {
        card: HostCard,
        /// The sender's clock, in microseconds.
        clock: u64,
        evidence: PeerEvidence,
        /// Number that stands for the sender's list of servers.
        digest: u64,
        /// Whether the sender takes the receiver for a member.
        is_called: bool,
    },
    /// All work of a member and its opinions, the same for every member.
    State { host: HostTag, incarnation: u64, news: WorkUpdate, opinions: Vec<EngineOpinion> },
    /// What a lead learned from the store about servers.
    Servers(Vec<ServerNews>),
    /// What changed in a host's work, sent to the hosts that callers are told.
    News { host: HostTag, incarnation: u64, news: WorkUpdate },
    /// A host that stands by asks what is new.
    Ask {
        beats: SocketAddr,
        incarnation: u64,
        /// The sender's clock, in microseconds.
        clock: u64,
        /// Digest of the members that it knows.
        members: u64,
        /// Revision of the newest entry of a server that it knows.
        servers: u64,
    },
    /// The answer.
    Told {
        evidence: PeerEvidence,
        /// The living members, if their digest is another one.
        members: Option<Vec<HostCard>>,
        /// Entries of servers after the revision that was named, oldest first.
        servers: Vec<ServerNews>,
        /// Number that stands for the sender's list of servers.
        digest: u64,
    },
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
        let mut known = "";
        loop {
            let is_lead = beating.feed_context(true).is_lead;
            let is_member = beating.is_member();
            note_duty(&beating, &mut known, is_lead, is_member);
            let period = if is_member {
                send_beats(&beating, &to);
                beating.state.borrow().roster.beat_period(is_lead)
            } else {
                ask(&beating, &to);
                ASK_PERIOD
            };
            Timer::after(period).await;
        }
    });
    Ok(())
}

/// Logs what this host does for the others when that changes.
fn note_duty(gateway: &Gateway, known: &mut &'static str, is_lead: bool, is_member: bool) {
    let duty = match (is_lead, is_member) {
        (true, _) => "lead",
        (false, true) => "member",
        (false, false) => "standby",
    };
    if duty != *known {
        *known = duty;
        let state = gateway.state.borrow();
        event!(gateway.log, DUTY_CHANGED, "duty" => duty,
            "living" => state.roster.alive(clock::now()).count(),
            "unanswered" => state.roster.unanswered());
    }
}

/// Tells every member everything now, from a socket of its own.
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
        let news = state.dispatcher.work_view.take_changes(now);
        if news.entries.is_empty() && news.ended.is_empty() {
            return;
        }
        let beat =
            PeerBeat::News { host: state.card.tag(), incarnation: state.card.incarnation, news };
        (encode(&beat), exchange_targets(&state, now))
    };
    for target in targets {
        send(gateway, socket, target, &bytes);
    }
}

/// Peers that place requests: those that callers are told, and those that still have work.
fn exchange_targets(state: &GatewayState, now: Time) -> Vec<SocketAddr> {
    let active = state.roster.active_hosts(now, &state.card, state.dispatcher.slot_count());
    let takes_part =
        |tag: HostTag| active.contains(&tag) || state.dispatcher.work_view.peer_has_work(tag);
    let alive = state.roster.alive(now).filter(|(tag, _)| takes_part(*tag));
    alive.map(|(_, card)| card.beats).collect()
}

/// Tells the members everything.
fn send_beats(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, states) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.targets(now, &state.card);
        (targets, state_datagrams(state, now))
    };
    for target in targets {
        send_beat(gateway, socket, &target);
        if target.duty == PeerDuty::Member {
            states.iter().for_each(|bytes| send(gateway, socket, target.beats, bytes));
        }
    }
}

fn send_beat(gateway: &Gateway, socket: &Async<UdpSocket>, target: &BeatTarget) {
    let now = clock::now();
    let beat = {
        let state = gateway.state.borrow();
        let (echo, heard) = state.peer_clocks.get(&target.tag).copied().unwrap_or((0, now));
        let incarnation = state.roster.incarnation(target.tag).unwrap_or_default();
        let evidence = state.evidence.tell(now, incarnation, echo, now.since(heard));
        let digest = state.dispatcher.fleet.digest();
        match target.duty {
            PeerDuty::Other => {
                let (_, members) = state.roster.member_cards(now, &state.card);
                PeerBeat::Told { evidence, members: Some(members), servers: Vec::new(), digest }
            }
            duty => PeerBeat::Beat {
                card: state.card.clone(),
                clock: now.0,
                evidence,
                digest,
                is_called: duty == PeerDuty::Member,
            },
        }
    };
    send(gateway, socket, target.beats, &encode(&beat));
}

/// All work of this host and its opinions of servers, in datagrams of bounded size.
fn state_datagrams(state: &GatewayState, now: Time) -> Vec<Vec<u8>> {
    let (host, incarnation) = (state.card.tag(), state.card.incarnation);
    let mut parts = state.dispatcher.work_view.snapshot(now, ENTRIES_A_DATAGRAM);
    let opinions = state.dispatcher.fleet.opinions(now);
    let first = PeerBeat::State { host, incarnation, news: parts.remove(0), opinions };
    let rest = parts.into_iter().map(|news| PeerBeat::News { host, incarnation, news });
    std::iter::once(first).chain(rest).map(|beat| encode(&beat)).collect()
}

/// A host that stands by asks members what is new.
fn ask(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, beat) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.ask_targets(now, &mut state.rng);
        let beat = PeerBeat::Ask {
            beats: state.card.beats,
            incarnation: state.card.incarnation,
            clock: now.0,
            members: state.roster.members_digest(),
            servers: state.dispatcher.fleet.newest_revision(),
        };
        (targets, encode(&beat))
    };
    targets.iter().for_each(|target| send(gateway, socket, *target, &beat));
}

fn encode(beat: &PeerBeat) -> Vec<u8> {
    postcard::to_stdvec(beat).expect("beats have no types that fail to encode")
}

fn send(gateway: &Gateway, socket: &Async<UdpSocket>, target: SocketAddr, bytes: &[u8]) {
    // A datagram that cannot be sent now is as one that got lost: the next beat mends it.
    let is_sent = socket.get_ref().send_to(bytes, target).is_ok();
    let direction = if is_sent { "out" } else { "unsent" };
    gateway.metrics.datagrams.with_label_values(&[direction]).inc();
    gateway.metrics.datagram_bytes.with_label_values(&[direction]).inc_by(bytes.len() as u64);
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
            Ok(beat) => take(&gateway, socket, from, beat),
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

fn take(gateway: &GatewayRef, socket: &Async<UdpSocket>, from: SocketAddr, beat: PeerBeat) {
    match beat {
        PeerBeat::News { host, incarnation, news } => {
            take_work(gateway, host, incarnation, news, Vec::new());
        }
        PeerBeat::State { host, incarnation, news, opinions } => {
            take_work(gateway, host, incarnation, news, opinions);
        }
        PeerBeat::Servers(news) => take_servers(gateway, news),
        PeerBeat::Ask { beats, incarnation, clock, members, servers } => {
            let answer = answer_to(gateway, incarnation, clock, members, servers);
            send(gateway, socket, beats, &encode(&answer));
        }
        PeerBeat::Told { evidence, members, servers, digest } => {
            let now = clock::now();
            take_servers(gateway, servers);
            {
                let state = &mut *gateway.state.borrow_mut();
                state.roster.hear_members(now, &state.card, members);
                state.note_digest(now, digest);
            }
            take_evidence(gateway, now, from, &evidence);
        }
        PeerBeat::Beat { card, clock, evidence, digest, is_called } => {
            take_beat(gateway, socket, card, clock, digest, is_called);
            take_evidence(gateway, clock::now(), from, &evidence);
        }
    }
}

fn take_work(
    gateway: &GatewayRef,
    host: HostTag,
    incarnation: u64,
    news: WorkUpdate,
    opinions: Vec<EngineOpinion>,
) {
    let known = gateway.state.borrow().roster.incarnation(host);
    if known == Some(incarnation) {
        gateway.dispatch(DispatchInput::PeerUpdate { host, incarnation, update: news, opinions });
    }
}

fn take_servers(gateway: &GatewayRef, news: Vec<ServerNews>) {
    for one in news {
        gateway.dispatch(match one {
            ServerNews::Changed(entry) => DispatchInput::ServerChanged(entry),
            ServerNews::Removed { tag, revision } => DispatchInput::ServerRemoved { tag, revision },
        });
    }
}

/// What is new for a host that stands by.
fn answer_to(
    gateway: &Gateway,
    incarnation: u64,
    clock: u64,
    known_members: u64,
    known_servers: u64,
) -> PeerBeat {
    let now = clock::now();
    let state = gateway.state.borrow();
    let (members_digest, members) = state.roster.member_cards(now, &state.card);
    let fleet = &state.dispatcher.fleet;
    PeerBeat::Told {
        evidence: state.evidence.tell(now, incarnation, clock, Duration::ZERO),
        members: (members_digest != known_members).then_some(members),
        servers: server_news(fleet, known_servers),
        digest: fleet.digest(),
    }
}

/// The oldest changes of servers after a revision.
fn server_news(fleet: &FleetTable, after: u64) -> Vec<ServerNews> {
    let changes = fleet.changes_after(after).into_iter().take(SERVERS_AN_ANSWER);
    let news = changes.map(|change| match change {
        FleetChange::Entry(entry) => ServerNews::Changed(entry),
        FleetChange::Removed { tag, revision } => ServerNews::Removed { tag, revision },
    });
    news.collect()
}

fn take_beat(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    card: HostCard,
    clock: u64,
    digest: u64,
    is_called: bool,
) {
    let now = clock::now();
    let (tag, incarnation) = (card.tag(), card.incarnation);
    let is_back = {
        let state = &mut *gateway.state.borrow_mut();
        if tag == state.card.tag() {
            return;
        }
        let Some(peer_news) = state.roster.hear(now, card.clone()) else { return };
        state.peer_clocks.insert(tag, (clock, now));
        if is_called {
            state.roster.note_called(now);
        }
        if card.has_store {
            state.note_digest(now, digest);
        }
        peer_news == PeerNews::Back
    };
    if !is_back {
        return;
    }
    event!(gateway.log, PEER_HEARD, "peer" => &*card.name, "incarnation" => incarnation,
        "ready" => card.is_ready);
    if gateway.is_member() {
        // A host that starts learns at once what is in flight.
        let duty = if is_called { PeerDuty::Member } else { PeerDuty::Away };
        send_beat(gateway, socket, &BeatTarget { tag, beats: card.beats, duty });
        let states = state_datagrams(&gateway.state.borrow(), now);
        states.iter().for_each(|bytes| send(gateway, socket, card.beats, bytes));
    }
}

fn take_evidence(gateway: &GatewayRef, now: Time, from: SocketAddr, evidence: &PeerEvidence) {
    let worth = {
        let state = &mut *gateway.state.borrow_mut();
        let (known, held) = (state.evidence.newest_heard().0, state.evidence.version());
        let worth = state.evidence.hear(now, evidence);
        let (newest, _) = state.evidence.newest_heard();
        if newest > known.max(held) {
            let age = state.evidence.age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
            event!(gateway.log, CONFIG_HEARD, "version" => newest, "held" => held,
                "from" => from.to_string(), "age_ms" => age);
        }
        if worth != EvidenceWorth::Nothing {
            state.roster.note_useful();
        }
        worth
    };
    gateway.metrics.evidence.with_label_values(&[worth.name()]).inc();
    if worth == EvidenceWorth::Newer {
        // A full channel means that the driver was asked already.
        let _ = gateway.stale.0.try_send(());
    }
    gateway.note_evidence();
}
