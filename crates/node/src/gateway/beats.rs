//! UDP datagrams between hosts: heartbeats, work in flight, estimates for backend servers and
//! evidence about the configuration. Members send to one another; standby hosts poll a member.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::{Async, Timer};
use parsley_core::{
    dispatch::DispatchInput,
    era::StoreRevision,
    evacuation::EvacuationView,
    evidence::{EvidenceEffect, PeerEvidence},
    fleet::{ColdReport, EngineEstimate, LimitReport, ListEvidence},
    permit::{PermitReply, PermitRequest},
    quarantine::PartReport,
    roster::{
        HeartbeatTarget, HostInfo, HostTag, MemberStatement, PeerChange, PeerRole,
        STANDBY_POLL_PERIOD,
    },
    time::Time,
    work::WorkUpdate,
};
use parsley_macros::message;

use super::{
    Gateway, GatewayRef, GatewayState, ServerChange, clock, cold,
    evacuation::evacuation_datagrams,
    listing::{self, ListUpdate},
};
use crate::{error::NodeError, event};

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Work entries in one datagram, which keeps it below the size that networks carry. Further entries
/// go into further datagrams.
const WORK_ENTRIES_PER_DATAGRAM: usize = 16;
/// Least time between two deltas of this host's work. A delta goes to all hosts that place requests,
/// so without it a flood costs each host datagrams for each request of all hosts.
const WORK_DELTA_SPACING: Duration = Duration::from_millis(10);
/// Request limits in one datagram. While more change at once, the others reach the peers by their
/// own requests.
const LIMITS_PER_DATAGRAM: usize = 8;
/// Request limits that a host is sent when it joins or knows others.
const LIMITS_IN_FULL: usize = 40;

/// Datagram between two hosts.
#[message]
pub(super) enum PeerDatagram {
    /// Heartbeat of a member, sent to each peer separately because the evidence echoes its clock.
    Heartbeat {
        host_info: HostInfo,
        /// Clock of the sender, in microseconds.
        clock: u64,
        evidence: PeerEvidence,
        list: ListEvidence,
        /// Digest of what the sender knows of request limits, suspect parts of prompts and
        /// evacuations.
        beliefs_digest: u64,
        /// Whether the sender counts the receiver as a member.
        counts_receiver: bool,
    },
    /// All work of a member and its estimates for servers, the same for every receiver.
    FullState { host: HostTag, incarnation: u64, work: WorkUpdate, estimates: Vec<EngineEstimate> },
    /// Server changes that a lead read from the store.
    ServerChanges(Vec<ServerChange>),
    /// Changes to a host's work, sent to the hosts that place requests, or a further part of its
    /// full state.
    WorkChanges { host: HostTag, incarnation: u64, work: WorkUpdate },
    /// Request of a standby host for everything that changed.
    SyncRequest {
        reply_to: SocketAddr,
        incarnation: u64,
        /// Clock of the sender, in microseconds.
        clock: u64,
        /// Digest of the members known to the sender.
        members_digest: u64,
        /// Revision up to which the sender knows every change of the servers.
        list_revision: StoreRevision,
        /// Digest of what the sender knows of request limits, suspect parts of prompts and
        /// evacuations.
        beliefs_digest: u64,
    },
    /// Response to a [`PeerDatagram::SyncRequest`], or unsolicited to a host that wrongly acts as a
    /// member.
    SyncResponse {
        evidence: PeerEvidence,
        /// Infos of the live members; `None` if the requester's digest matches.
        members: Option<Vec<HostInfo>>,
        list: ListUpdate,
        /// Digest of what the sender knows of request limits, suspect parts of prompts and
        /// evacuations.
        beliefs_digest: u64,
    },
    /// What servers named as their request limits.
    LimitReports(Vec<LimitReport>),
    /// Request for permits to the issuer of a limited server.
    PermitRequest { reply_to: SocketAddr, request: PermitRequest },
    /// Reply of the issuer.
    PermitReply(PermitReply),
    /// Request for the changes that the sender's list of servers lacks.
    ListRequest {
        reply_to: SocketAddr,
        incarnation: u64,
        /// Clock of the sender, in microseconds.
        clock: u64,
        /// Revision up to which the sender knows every change of the servers.
        list_revision: StoreRevision,
    },
    /// Response to a [`PeerDatagram::ListRequest`], or to a [`PeerDatagram::SyncRequest`] from a host
    /// that is on standby itself.
    ListResponse { evidence: PeerEvidence, list: ListUpdate },
    /// What the sender knows of parts of prompts under which engines crashed.
    PartReports { reply_to: SocketAddr, reports: Vec<PartReport> },
    /// The evacuations of failure domains that the sender knows of.
    Evacuations { reply_to: SocketAddr, view: EvacuationView },
    /// What the sender knows of cold engines.
    ColdReports(Vec<ColdReport>),
}

/// Binds the socket and starts the tasks that send and receive.
pub fn start(gateway: &GatewayRef) -> Result<(), NodeError> {
    let address = gateway.settings.host_info.heartbeat_address;
    let socket = Async::<UdpSocket>::bind(address)
        .map_err(|err| NodeError::Listen(address.to_string().into(), err))?;
    let socket = std::rc::Rc::new(socket);
    let (receiving, from) = (gateway.clone(), socket.clone());
    gateway.spawn(async move { receive(receiving, &from).await });
    let (sending, to) = (gateway.clone(), socket.clone());
    gateway.spawn(async move {
        // An error means that the channel is closed, which happens only with the gateway.
        while sending.work_changed.1.recv().await.is_ok() {
            send_work_delta(&sending, &to);
            Timer::after(WORK_DELTA_SPACING).await;
        }
    });
    let (requesting, to) = (gateway.clone(), socket.clone());
    gateway.spawn(async move {
        while let Ok((target, request)) = requesting.permit_requests.1.recv().await {
            let reply_to = requesting.settings.host_info.heartbeat_address;
            let datagram = PeerDatagram::PermitRequest { reply_to, request };
            send(&requesting, &to, target, &encode(&datagram));
        }
    });
    let (heartbeat, to) = (gateway.clone(), socket);
    gateway.spawn(async move {
        let mut last_role = "";
        loop {
            let is_lead = heartbeat.feed_context(true).is_lead;
            let is_member = heartbeat.is_member();
            log_role_change(&heartbeat, &mut last_role, is_lead, is_member);
            let period = if is_member {
                send_heartbeats(&heartbeat, &to);
                heartbeat.state.borrow().roster.heartbeat_period(is_lead)
            } else {
                poll_members(&heartbeat, &to);
                STANDBY_POLL_PERIOD
            };
            Timer::after(period).await;
        }
    });
    Ok(())
}

/// Logs this host's role when it changes.
fn log_role_change(
    gateway: &Gateway,
    last_role: &mut &'static str,
    is_lead: bool,
    is_member: bool,
) {
    let role = match (is_lead, is_member) {
        (true, _) => "lead",
        (false, true) => "member",
        (false, false) => "standby",
    };
    if role != *last_role {
        *last_role = role;
        let state = gateway.state.borrow();
        event!(gateway.log, DUTY_CHANGED, "duty" => role,
            "living" => state.roster.alive(clock::now()).count(),
            "unanswered" => state.roster.unanswered_polls());
    }
}

/// Sends heartbeats and the full state now, from an ephemeral socket.
pub fn broadcast_state(gateway: &GatewayRef) {
    with_ephemeral_socket(gateway, |socket| send_heartbeats(gateway, socket));
}

pub(super) fn with_ephemeral_socket(gateway: &Gateway, work: impl FnOnce(&Async<UdpSocket>)) {
    let from = SocketAddr::new(gateway.settings.host_info.heartbeat_address.ip(), 0);
    match Async::<UdpSocket>::bind(from) {
        Ok(socket) => work(&socket),
        Err(err) => event!(gateway.log, DATAGRAM_REJECTED, "from" => from.to_string(),
            "error" => err.to_string()),
    }
}

fn send_work_delta(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let (bytes, targets) = {
        let mut state = gateway.state.borrow_mut();
        let now = clock::now();
        let work = state.dispatcher.work_view.take_changes(now);
        if work.entries.is_empty() && work.ended.is_empty() {
            return;
        }
        let datagram = PeerDatagram::WorkChanges {
            host: state.host_info.tag(),
            incarnation: state.host_info.incarnation,
            work,
        };
        (encode(&datagram), work_delta_targets(&state, now))
    };
    for target in targets {
        send(gateway, socket, target, &bytes);
    }
}

/// Peers that place requests: the hosts that callers are directed to, and those that have work.
fn work_delta_targets(state: &GatewayState, now: Time) -> Vec<SocketAddr> {
    let active = state.roster.active_hosts(now, &state.host_info, state.dispatcher.slot_count());
    let takes_part =
        |tag: HostTag| active.contains(&tag) || state.dispatcher.work_view.peer_has_work(tag);
    let alive = state.roster.alive(now).filter(|(tag, _)| takes_part(*tag));
    alive.map(|(_, info)| info.heartbeat_address).collect()
}

/// Sends a heartbeat to every target, and the full state to those that are members.
fn send_heartbeats(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, states) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.heartbeat_targets(now, &state.host_info);
        let mut states = state_datagrams(state, now);
        states.extend(limit_datagram(state, now, false));
        states.extend(evacuation_datagrams(state, now, false));
        states.extend(cold::datagrams(state, now, false));
        (targets, states)
    };
    for target in targets {
        send_heartbeat(gateway, socket, &target);
        if target.role == PeerRole::Member {
            states.iter().for_each(|bytes| send(gateway, socket, target.address, bytes));
        }
    }
}

fn send_heartbeat(gateway: &Gateway, socket: &Async<UdpSocket>, target: &HeartbeatTarget) {
    let now = clock::now();
    let datagram = {
        let state = gateway.state.borrow();
        let (echo, heard) = state.peer_clocks.get(&target.tag).copied().unwrap_or((0, now));
        let incarnation = state.roster.incarnation(target.tag).unwrap_or_default();
        let evidence = state.attest(now, (incarnation, echo, now.since(heard)));
        let list = state.dispatcher.fleet.attest_list(now);
        let beliefs_digest = state.beliefs_digest();
        match target.role {
            PeerRole::Demoted => {
                let (_, members) = state.roster.member_list(now, &state.host_info);
                PeerDatagram::SyncResponse {
                    evidence,
                    members: Some(members),
                    list: ListUpdate::without_changes(list),
                    beliefs_digest,
                }
            }
            role => PeerDatagram::Heartbeat {
                host_info: state.host_info.clone(),
                clock: now.0,
                evidence,
                list,
                beliefs_digest,
                counts_receiver: role == PeerRole::Member,
            },
        }
    };
    send(gateway, socket, target.address, &encode(&datagram));
}

/// All work of this host and its estimates for servers, split into datagrams of bounded size.
fn state_datagrams(state: &GatewayState, now: Time) -> Vec<Vec<u8>> {
    let (host, incarnation) = (state.host_info.tag(), state.host_info.incarnation);
    let mut parts = state.dispatcher.work_view.snapshot(now, WORK_ENTRIES_PER_DATAGRAM);
    let estimates = state.dispatcher.fleet.estimates(now);
    let first = PeerDatagram::FullState { host, incarnation, work: parts.remove(0), estimates };
    let rest = parts.into_iter().map(|work| PeerDatagram::WorkChanges { host, incarnation, work });
    std::iter::once(first).chain(rest).map(|datagram| encode(&datagram)).collect()
}

/// What servers named as their request limits; `None` if there is nothing to report.
pub(super) fn limit_datagram(state: &GatewayState, now: Time, is_full: bool) -> Option<Vec<u8>> {
    let count = if is_full { LIMITS_IN_FULL } else { LIMITS_PER_DATAGRAM };
    let reports = state.dispatcher.fleet.limit_reports(now, count, is_full);
    (!reports.is_empty()).then(|| encode(&PeerDatagram::LimitReports(reports)))
}

/// Polls members on behalf of this standby host.
fn poll_members(gateway: &Gateway, socket: &Async<UdpSocket>) {
    let now = clock::now();
    let (targets, datagram, beliefs) = {
        let state = &mut *gateway.state.borrow_mut();
        let targets = state.roster.poll_targets(now, &mut state.rng);
        let datagram = PeerDatagram::SyncRequest {
            reply_to: state.host_info.heartbeat_address,
            incarnation: state.host_info.incarnation,
            clock: now.0,
            members_digest: state.roster.members_digest(),
            list_revision: state.dispatcher.fleet.list_revision(),
            beliefs_digest: state.beliefs_digest(),
        };
        let mut beliefs = cold::datagrams(state, now, false);
        beliefs.extend(limit_datagram(state, now, false));
        (targets, encode(&datagram), beliefs)
    };
    for target in targets {
        send(gateway, socket, target, &datagram);
        beliefs.iter().for_each(|bytes| send(gateway, socket, target, bytes));
    }
}

pub(super) fn encode(datagram: &PeerDatagram) -> Vec<u8> {
    postcard::to_stdvec(datagram).expect("every datagram can be encoded")
}

pub(super) fn send(gateway: &Gateway, socket: &Async<UdpSocket>, target: SocketAddr, bytes: &[u8]) {
    // A datagram that cannot be sent counts as lost: the next heartbeat makes up for it.
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
            Ok(datagram) => handle_datagram(&gateway, socket, from, datagram),
            Err(err) => log_invalid_datagram(&gateway, Some(from), &err.to_string()),
        }
    }
}

fn log_invalid_datagram(gateway: &Gateway, from: Option<SocketAddr>, error: &str) {
    if gateway.log_budget.may_write(clock::now(), true) {
        let from = from.map(|address| address.to_string()).unwrap_or_default();
        event!(gateway.log, DATAGRAM_REJECTED, "from" => from, "error" => error);
    }
}

fn handle_datagram(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    datagram: PeerDatagram,
) {
    match datagram {
        PeerDatagram::WorkChanges { host, incarnation, work } => {
            apply_work(gateway, host, incarnation, work, Vec::new());
        }
        PeerDatagram::FullState { host, incarnation, work, estimates } => {
            apply_work(gateway, host, incarnation, work, estimates);
        }
        PeerDatagram::ServerChanges(changes) => listing::apply_changes(gateway, changes),
        PeerDatagram::SyncRequest {
            reply_to,
            incarnation,
            clock,
            members_digest,
            list_revision,
            beliefs_digest,
        } => {
            gateway.sync_beliefs(reply_to, beliefs_digest);
            let response =
                sync_response(gateway, incarnation, clock, members_digest, list_revision);
            send(gateway, socket, reply_to, &encode(&response));
            let beliefs = {
                let (state, now) = (gateway.state.borrow(), clock::now());
                let limits = limit_datagram(&state, now, false).into_iter();
                limits.chain(cold::datagrams(&state, now, false)).collect::<Vec<_>>()
            };
            beliefs.iter().for_each(|bytes| send(gateway, socket, reply_to, bytes));
        }
        PeerDatagram::LimitReports(reports) => {
            gateway.dispatch(DispatchInput::LimitsReported(reports));
        }
        PeerDatagram::PermitRequest { reply_to, request } => {
            let reply = PeerDatagram::PermitReply(gateway.issue_permits(&request));
            send(gateway, socket, reply_to, &encode(&reply));
        }
        PeerDatagram::PermitReply(reply) => gateway.receive_permits(reply),
        PeerDatagram::SyncResponse { evidence, members, list, beliefs_digest } => {
            gateway.sync_beliefs(from, beliefs_digest);
            gateway.confirm_evacuations(&evidence, beliefs_digest);
            let now = clock::now();
            {
                let state = &mut *gateway.state.borrow_mut();
                state.roster.merge_members(now, &state.host_info, members);
            }
            listing::merge_update(gateway, socket, from, &evidence, list);
            merge_evidence(gateway, now, from, &evidence);
        }
        PeerDatagram::Heartbeat {
            host_info,
            clock,
            evidence,
            list,
            beliefs_digest,
            counts_receiver,
        } => {
            let address = host_info.heartbeat_address;
            gateway.sync_beliefs(address, beliefs_digest);
            gateway.confirm_evacuations(&evidence, beliefs_digest);
            handle_heartbeat(gateway, socket, host_info, clock, counts_receiver);
            listing::merge_evidence(gateway, socket, address, &evidence, &list);
            merge_evidence(gateway, clock::now(), from, &evidence);
        }
        PeerDatagram::ListRequest { reply_to, incarnation, clock, list_revision } => {
            let now = clock::now();
            let response = {
                let state = gateway.state.borrow();
                PeerDatagram::ListResponse {
                    evidence: state.attest(now, (incarnation, clock, Duration::ZERO)),
                    list: ListUpdate::after(now, &state.dispatcher.fleet, list_revision),
                }
            };
            send(gateway, socket, reply_to, &encode(&response));
        }
        PeerDatagram::ListResponse { evidence, list } => {
            listing::merge_update(gateway, socket, from, &evidence, list);
            merge_evidence(gateway, clock::now(), from, &evidence);
        }
        PeerDatagram::PartReports { reply_to, reports } => {
            gateway.merge_part_reports(reply_to, &reports);
        }
        PeerDatagram::Evacuations { reply_to, view } => gateway.merge_evacuations(reply_to, view),
        PeerDatagram::ColdReports(reports) => {
            gateway.dispatch(DispatchInput::ColdReported(reports));
        }
    }
}

fn apply_work(
    gateway: &GatewayRef,
    host: HostTag,
    incarnation: u64,
    work: WorkUpdate,
    estimates: Vec<EngineEstimate>,
) {
    let known_incarnation = gateway.state.borrow().roster.incarnation(host);
    if known_incarnation == Some(incarnation) {
        gateway.dispatch(DispatchInput::PeerUpdate { host, incarnation, update: work, estimates });
    }
}

/// Response that brings a standby host up to date, as far as this host can.
fn sync_response(
    gateway: &Gateway,
    incarnation: u64,
    clock: u64,
    known_digest: u64,
    list_revision: StoreRevision,
) -> PeerDatagram {
    let now = clock::now();
    let state = gateway.state.borrow();
    let evidence = state.attest(now, (incarnation, clock, Duration::ZERO));
    let list = ListUpdate::after(now, &state.dispatcher.fleet, list_revision);
    let members = match state.roster.answer_poll(now, &state.host_info, known_digest) {
        MemberStatement::Unknown => return PeerDatagram::ListResponse { evidence, list },
        MemberStatement::Unchanged => None,
        MemberStatement::Changed(members) => Some(members),
    };
    let beliefs_digest = state.beliefs_digest();
    PeerDatagram::SyncResponse { evidence, members, list, beliefs_digest }
}

fn handle_heartbeat(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    host_info: HostInfo,
    clock: u64,
    counts_receiver: bool,
) {
    let now = clock::now();
    let (tag, incarnation) = (host_info.tag(), host_info.incarnation);
    let has_joined = {
        let state = &mut *gateway.state.borrow_mut();
        if tag == state.host_info.tag() {
            return;
        }
        let Some(peer_change) = state.roster.record_heartbeat(now, host_info.clone()) else {
            return;
        };
        state.peer_clocks.insert(tag, (clock, now));
        if counts_receiver {
            state.roster.confirm_member(now);
        }
        peer_change == PeerChange::Joined
    };
    if !has_joined {
        return;
    }
    event!(gateway.log, PEER_HEARTBEATS_RECEIVED, "peer" => &*host_info.name, "incarnation" => incarnation,
        "ready" => host_info.is_ready);
    if gateway.is_member() {
        // A host that just started gets the work in flight at once.
        let role = if counts_receiver { PeerRole::Member } else { PeerRole::Absent };
        send_heartbeat(
            gateway,
            socket,
            &HeartbeatTarget { tag, address: host_info.heartbeat_address, role },
        );
        let states = {
            let state = gateway.state.borrow();
            let mut states = state_datagrams(&state, now);
            states.extend(limit_datagram(&state, now, true));
            states.extend(evacuation_datagrams(&state, now, true));
            states.extend(cold::datagrams(&state, now, true));
            states
        };
        states.iter().for_each(|bytes| send(gateway, socket, host_info.heartbeat_address, bytes));
    }
}

fn merge_evidence(gateway: &GatewayRef, now: Time, from: SocketAddr, evidence: &PeerEvidence) {
    if let Some(era) = evidence.era {
        let age = evidence.era_age_ms.map(|age| Duration::from_millis(age.into()));
        gateway.observe_era(era, age, &from.to_string());
    }
    let effect = {
        let state = &mut *gateway.state.borrow_mut();
        let (known_newest, in_force) = (state.evidence.newest_known().0, state.evidence.version());
        let effect = state.evidence.merge(now, evidence);
        let (newest, _) = state.evidence.newest_known();
        if newest > known_newest.max(in_force) {
            let age = state.evidence.age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
            event!(gateway.log, NEWER_CONFIG_REPORTED, "version" => newest, "held" => in_force,
                "from" => from.to_string(), "age_ms" => age);
        }
        if effect != EvidenceEffect::Unchanged {
            state.roster.reset_unanswered();
        }
        effect
    };
    gateway.metrics.peer_evidence.with_label_values(&[effect.name()]).inc();
    if effect == EvidenceEffect::Newer {
        // Fails only if the channel is full: the driver has been woken already.
        let _ = gateway.newer_config.0.try_send(());
    }
    gateway.update_readiness();
}
