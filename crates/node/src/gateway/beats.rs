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

use super::{Gateway, GatewayRef, GatewayState, ServerChange, clock};
use crate::{error::NodeError, event};

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Pause after a failed receipt.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Entries of servers in one datagram.
const SERVERS_PER_DATAGRAM: usize = 8;
/// Work entries in one datagram; more go in further ones, below the size that networks carry.
const WORK_ENTRIES_PER_DATAGRAM: usize = 16;

/// Entries of servers in one answer to a host that stands by.
const SERVERS_PER_RESPONSE: usize = 12;

/// A datagram.
#[message]
enum PeerDatagram {
    /// What a member says of itself, sent to one other member.
    Heartbeat {
        card: HostCard,
        /// The sender's clock, in microseconds.
        clock: u64,
        evidence: PeerEvidence,
        /// Number that stands for the sender's list of servers.
        digest: u64,
        /// Whether the sender takes the receiver for a member.
        counts_receiver: bool,
    },
    /// All work of a member and its opinions, the same for every member.
    FullState { host: HostTag, incarnation: u64, news: WorkUpdate, opinions: Vec<EngineOpinion> },
    /// What a lead learned from the store about servers.
    ServerChanges(Vec<ServerChange>),
    /// What changed in a host's work, sent to the hosts that callers are told.
    WorkChanges { host: HostTag, incarnation: u64, news: WorkUpdate },
    /// A host that stands by asks what is new.
    SyncRequest {
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
    SyncResponse {
        evidence: PeerEvidence,
        /// The living members, if their digest is another one.
        members: Option<Vec<HostCard>>,
        /// Entries of servers after the revision that was named, oldest first.
        servers: Vec<ServerChange>,
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
        while telling.work_changed.1.recv().await.is_ok() {
            send_work_delta(&telling, &to);
        }
    });
    let (beating, to) = (gateway.clone(), socket);
    gateway.spawn(async move {
        let mut known = "";
        loop {
            let is_lead = beating.feed_context(true).is_lead;
            let is_member = beating.is_member();
            log_duty_change(&beating, &mut known, is_lead, is_member);
            let period = if is_member {
                send_heartbeats(&beating, &to);
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
fn log_duty_change(gateway: &Gateway, known: &mut &'static str, is_lead: bool, is_member: bool) {
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
pub fn broadcast_state(gateway: &GatewayRef) {
    with_ephemeral_socket(gateway, |socket| send_heartbeats(gateway, socket));
}

fn with_ephemeral_socket(gateway: &Gateway, work: impl FnOnce(&Async<UdpSocket>)) {
    let from = SocketAddr::new(gateway.settings.card.beats.ip(), 0);
    match Async::<UdpSocket>::bind(from) {
        Ok(socket) => work(&socket),
        Err(err) => event!(gateway.log, DATAGRAM_REFUSED, "from" => from.to_string(),
            "error" => err.to_string()),
    }
}

/// Tells every peer what the store showed about servers.
pub fn broadcast_server_changes(gateway: &Gateway) {
    let news = std::mem::take(&mut gateway.state.borrow_mut().pending_server_changes);
    if news.is_empty() {
        return;
    }
    with_ephemeral_socket(gateway, |socket| {
        let now = clock::now();
        let targets: Vec<_> = {
            let state = gateway.state.borrow();
            state.roster.alive(now).map(|(_, card)| card.beats).collect()
        };
        for part in news.chunks(SERVERS_PER_DATAGRAM) {
            let bytes = encode(&PeerDatagram::ServerChanges(part.to_vec()));
            targets.iter().for_each(|target| send(gateway, socket, *target, &bytes));
        }
    });
}

fn send_work_delta(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let (bytes, targets) = {
        let mut state = gateway.state.borrow_mut();
        let now = clock::now();
        let news = state.dispatcher.work_view.take_changes(now);
        if news.entries.is_empty() && news.ended.is_empty() {
            return;
        }
        let beat = PeerDatagram::WorkChanges {
            host: state.card.tag(),
            incarnation: state.card.incarnation,
            news,
        };
        (encode(&beat), work_delta_targets(&state, now))
    };
    for target in targets {
        send(gateway, socket, target, &bytes);
    }
}

/// Peers that place requests: those that callers are told, and those that still have work.
fn work_delta_targets(state: &GatewayState, now: Time) -> Vec<SocketAddr> {
    let active = state.roster.active_hosts(now, &state.card, state.dispatcher.slot_count());
    let takes_part =
        |tag: HostTag| active.contains(&tag) || state.dispatcher.work_view.peer_has_work(tag);
    let alive = state.roster.alive(now).filter(|(tag, _)| takes_part(*tag));
    alive.map(|(_, card)| card.beats).collect()
}

/// Tells the members everything.
fn send_heartbeats(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, states) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.targets(now, &state.card);
        (targets, state_datagrams(state, now))
    };
    for target in targets {
        send_heartbeat(gateway, socket, &target);
        if target.duty == PeerDuty::Member {
            states.iter().for_each(|bytes| send(gateway, socket, target.beats, bytes));
        }
    }
}

fn send_heartbeat(gateway: &Gateway, socket: &Async<UdpSocket>, target: &BeatTarget) {
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
                PeerDatagram::SyncResponse {
                    evidence,
                    members: Some(members),
                    servers: Vec::new(),
                    digest,
                }
            }
            duty => PeerDatagram::Heartbeat {
                card: state.card.clone(),
                clock: now.0,
                evidence,
                digest,
                counts_receiver: duty == PeerDuty::Member,
            },
        }
    };
    send(gateway, socket, target.beats, &encode(&beat));
}

/// All work of this host and its opinions of servers, in datagrams of bounded size.
fn state_datagrams(state: &GatewayState, now: Time) -> Vec<Vec<u8>> {
    let (host, incarnation) = (state.card.tag(), state.card.incarnation);
    let mut parts = state.dispatcher.work_view.snapshot(now, WORK_ENTRIES_PER_DATAGRAM);
    let opinions = state.dispatcher.fleet.opinions(now);
    let first = PeerDatagram::FullState { host, incarnation, news: parts.remove(0), opinions };
    let rest = parts.into_iter().map(|news| PeerDatagram::WorkChanges { host, incarnation, news });
    std::iter::once(first).chain(rest).map(|beat| encode(&beat)).collect()
}

/// A host that stands by asks members what is new.
fn ask(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, beat) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.ask_targets(now, &mut state.rng);
        let beat = PeerDatagram::SyncRequest {
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

fn encode(beat: &PeerDatagram) -> Vec<u8> {
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
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(err) => {
                log_invalid_datagram(
                    &gateway,
                    socket.get_ref().local_addr().ok(),
                    &err.to_string(),
                );
                Timer::after(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        gateway.metrics.datagrams.with_label_values(&["in"]).inc();
        gateway.metrics.datagram_bytes.with_label_values(&["in"]).inc_by(length as u64);
        match postcard::from_bytes(&buffer[..length]) {
            Ok(beat) => take(&gateway, socket, from, beat),
            Err(err) => log_invalid_datagram(&gateway, Some(from), &err.to_string()),
        }
    }
}

fn log_invalid_datagram(gateway: &Gateway, from: Option<SocketAddr>, error: &str) {
    if gateway.log_budget.may_write(clock::now(), true) {
        let from = from.map(|one| one.to_string()).unwrap_or_default();
        event!(gateway.log, DATAGRAM_REFUSED, "from" => from, "error" => error);
    }
}

fn take(gateway: &GatewayRef, socket: &Async<UdpSocket>, from: SocketAddr, beat: PeerDatagram) {
    match beat {
        PeerDatagram::WorkChanges { host, incarnation, news } => {
            apply_work(gateway, host, incarnation, news, Vec::new());
        }
        PeerDatagram::FullState { host, incarnation, news, opinions } => {
            apply_work(gateway, host, incarnation, news, opinions);
        }
        PeerDatagram::ServerChanges(news) => apply_server_changes(gateway, news),
        PeerDatagram::SyncRequest { beats, incarnation, clock, members, servers } => {
            let answer = sync_response(gateway, incarnation, clock, members, servers);
            send(gateway, socket, beats, &encode(&answer));
        }
        PeerDatagram::SyncResponse { evidence, members, servers, digest } => {
            let now = clock::now();
            apply_server_changes(gateway, servers);
            {
                let state = &mut *gateway.state.borrow_mut();
                state.roster.hear_members(now, &state.card, members);
                state.compare_digest(now, digest);
            }
            merge_evidence(gateway, now, from, &evidence);
        }
        PeerDatagram::Heartbeat { card, clock, evidence, digest, counts_receiver } => {
            handle_heartbeat(gateway, socket, card, clock, digest, counts_receiver);
            merge_evidence(gateway, clock::now(), from, &evidence);
        }
    }
}

fn apply_work(
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

fn apply_server_changes(gateway: &GatewayRef, news: Vec<ServerChange>) {
    for one in news {
        gateway.dispatch(match one {
            ServerChange::Changed(entry) => DispatchInput::ServerChanged(entry),
            ServerChange::Removed { tag, revision } => {
                DispatchInput::ServerRemoved { tag, revision }
            }
        });
    }
}

/// What is new for a host that stands by.
fn sync_response(
    gateway: &Gateway,
    incarnation: u64,
    clock: u64,
    known_members: u64,
    known_servers: u64,
) -> PeerDatagram {
    let now = clock::now();
    let state = gateway.state.borrow();
    let (members_digest, members) = state.roster.member_cards(now, &state.card);
    let fleet = &state.dispatcher.fleet;
    PeerDatagram::SyncResponse {
        evidence: state.evidence.tell(now, incarnation, clock, Duration::ZERO),
        members: (members_digest != known_members).then_some(members),
        servers: server_news(fleet, known_servers),
        digest: fleet.digest(),
    }
}

/// The oldest changes of servers after a revision.
fn server_news(fleet: &FleetTable, after: u64) -> Vec<ServerChange> {
    let changes = fleet.changes_after(after).into_iter().take(SERVERS_PER_RESPONSE);
    let news = changes.map(|change| match change {
        FleetChange::Entry(entry) => ServerChange::Changed(entry),
        FleetChange::Removed { tag, revision } => ServerChange::Removed { tag, revision },
    });
    news.collect()
}

fn handle_heartbeat(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    card: HostCard,
    clock: u64,
    digest: u64,
    counts_receiver: bool,
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
        if counts_receiver {
            state.roster.note_called(now);
        }
        if card.has_store {
            state.compare_digest(now, digest);
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
        let duty = if counts_receiver { PeerDuty::Member } else { PeerDuty::Away };
        send_heartbeat(gateway, socket, &BeatTarget { tag, beats: card.beats, duty });
        let states = state_datagrams(&gateway.state.borrow(), now);
        states.iter().for_each(|bytes| send(gateway, socket, card.beats, bytes));
    }
}

fn merge_evidence(gateway: &GatewayRef, now: Time, from: SocketAddr, evidence: &PeerEvidence) {
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
    gateway.metrics.peer_evidence.with_label_values(&[worth.name()]).inc();
    if worth == EvidenceWorth::Newer {
        // A full channel means that the driver was asked already.
        let _ = gateway.newer_config.0.try_send(());
    }
    gateway.update_readiness();
}
