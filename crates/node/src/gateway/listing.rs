//! Exchange of the list of backend servers between hosts: changes that a lead read, and what a host
//! that misses some requests from the peer that has them.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::Async;
use parsley_core::{
    dispatch::DispatchInput,
    era::StoreRevision,
    evidence::PeerEvidence,
    fleet::{FleetChange, FleetTable, ListEffect, ListEvidence},
    time::Time,
};
use parsley_macros::message;

use super::{
    Gateway, GatewayRef, ServerChange,
    beats::{self, PeerDatagram},
    clock,
};
use crate::event;

/// Server changes in one datagram.
const CHANGES_PER_DATAGRAM: usize = 8;
/// Server changes in one update.
const CHANGES_PER_UPDATE: usize = 12;
/// Least time between two requests for changes. Changes that a lead sends arrive sooner than that.
const REQUEST_SPACING: Duration = Duration::from_millis(100);

/// Server changes that a host lacks, with the sender's statement about its list.
#[message]
pub struct ListUpdate {
    evidence: ListEvidence,
    /// Changes after the requested revision, oldest first.
    pub(super) changes: Vec<ServerChange>,
    /// Revision up to which the receiver knows every change once it applied these.
    pub(super) known_revision: StoreRevision,
}

impl ListUpdate {
    /// Creates an update with nothing but the sender's statement.
    pub fn without_changes(evidence: ListEvidence) -> ListUpdate {
        ListUpdate { evidence, changes: Vec::new(), known_revision: StoreRevision::default() }
    }

    /// Creates the update for a host that knows every change up to `revision`.
    pub fn after(now: Time, fleet: &FleetTable, revision: StoreRevision) -> ListUpdate {
        let mut changes = fleet.changes_after(revision);
        // Changes of one revision stay together, as the receiver continues after a revision.
        let end = changes.get(CHANGES_PER_UPDATE - 1).map_or(changes.len(), |last| {
            changes.partition_point(|change| change.revision() <= last.revision())
        });
        let is_complete = end == changes.len();
        changes.truncate(end);
        let evidence = fleet.attest_list(now);
        let last = changes.last().map_or(StoreRevision::default(), FleetChange::revision);
        // This host may lack a change before its last ones.
        let known_revision = match is_complete {
            true => evidence.revision,
            false => last.min(evidence.revision),
        };
        let changes = changes.into_iter().map(|change| match change {
            FleetChange::Entry(entry) => ServerChange::Changed(entry),
            FleetChange::Removed { tag, revision } => ServerChange::Removed { tag, revision },
        });
        ListUpdate { evidence, changes: changes.collect(), known_revision }
    }
}

/// Sends the queued server changes to every live peer.
pub fn broadcast_changes(gateway: &Gateway) {
    let changes = std::mem::take(&mut gateway.state.borrow_mut().pending_server_changes);
    if changes.is_empty() {
        return;
    }
    beats::with_ephemeral_socket(gateway, |socket| {
        let now = clock::now();
        let targets: Vec<_> = {
            let state = gateway.state.borrow();
            state.roster.alive(now).map(|(_, info)| info.heartbeat_address).collect()
        };
        for part in changes.chunks(CHANGES_PER_DATAGRAM) {
            let bytes = beats::encode(&PeerDatagram::ServerChanges(part.to_vec()));
            targets.iter().for_each(|target| beats::send(gateway, socket, *target, &bytes));
        }
    });
}

/// Applies changes that a peer read from the store.
pub fn apply_changes(gateway: &GatewayRef, changes: Vec<ServerChange>) {
    for change in changes {
        gateway.dispatch(match change {
            ServerChange::Changed(entry) => DispatchInput::ServerChanged(entry),
            ServerChange::Removed { tag, revision } => {
                DispatchInput::ServerRemoved { tag, revision, is_reported: true }
            }
        });
    }
}

/// Applies an update and requests the next one if the peer has further changes.
pub fn merge_update(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    evidence: &PeerEvidence,
    update: ListUpdate,
) {
    let ListUpdate { evidence: list, changes, known_revision } = update;
    let has_changes = !changes.is_empty();
    apply_changes(gateway, changes);
    if has_changes {
        let state = &mut *gateway.state.borrow_mut();
        let fleet = &mut state.dispatcher.fleet;
        let before = fleet.list_revision();
        fleet.advance_list(known_revision);
        if fleet.list_revision() > before {
            state.list_requested = None;
        }
    }
    merge_evidence(gateway, socket, from, evidence, &list);
}

/// Merges a peer's statement about its list, and requests the changes that this host lacks.
pub fn merge_evidence(
    gateway: &GatewayRef,
    socket: &Async<UdpSocket>,
    from: SocketAddr,
    evidence: &PeerEvidence,
    list: &ListEvidence,
) {
    let now = clock::now();
    let request = {
        let state = &mut *gateway.state.borrow_mut();
        let confirmed = evidence.confirmed_at(now, state.host_info.incarnation, list.age_ms);
        let fleet = &mut state.dispatcher.fleet;
        let is_due = state.list_requested.is_none_or(|at| now.since(at) >= REQUEST_SPACING);
        if fleet.merge_list(now, list, confirmed) != ListEffect::Behind || !is_due {
            return;
        }
        state.list_requested = Some(now);
        let age = fleet.list_age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
        event!(gateway.log, SERVER_LIST_BEHIND, "from" => from.to_string(),
            "era" => fleet.list_revision().era, "revision" => fleet.list_revision().number,
            "peer_era" => list.revision.era, "peer_revision" => list.revision.number,
            "age_ms" => age);
        PeerDatagram::ListRequest {
            reply_to: state.host_info.heartbeat_address,
            incarnation: state.host_info.incarnation,
            clock: now.0,
            list_revision: fleet.list_revision(),
        }
    };
    beats::send(gateway, socket, from, &beats::encode(&request));
}
