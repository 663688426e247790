//! Applies the evacuations of failure domains that the store or a peer shows, and exchanges them
//! with the other hosts.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use parsley_core::{
    era::StoreRevision,
    evacuation::{EvacuationChange, EvacuationKeeper, EvacuationView},
    evidence::PeerEvidence,
    time::Time,
};

use super::{
    Gateway, GatewayState,
    beats::{self, PeerDatagram},
    clock,
};
use crate::event;

/// Evacuations known to a gateway, and what it logged of them.
#[derive(Default)]
pub(super) struct EvacuationState {
    pub(super) keeper: EvacuationKeeper,
    /// Failure domains that were logged as evacuated.
    announced: BTreeSet<Arc<str>>,
    /// Keys that were logged because no server is in their failure domain.
    unknown: BTreeSet<Arc<str>>,
    /// Whether the age of the view exceeded the limit at the last check.
    is_old: bool,
}

impl Gateway {
    /// Returns whether the deployment has evacuations.
    pub fn has_evacuations(&self) -> bool {
        self.settings.evacuation_limit.is_some()
    }

    /// Applies all evacuations that the store held in a call that was sent at `call_start`.
    pub fn apply_evacuations(&self, view: EvacuationView, call_start: Time) {
        self.apply_from_store(call_start, |state, now| {
            state.evacuation.keeper.merge(now, &state.era, view)
        });
    }

    /// Applies the changes that a watch of the evacuations, sent at `call_start`, returned up to
    /// `revision`.
    pub fn apply_evacuation_changes(
        &self,
        changes: Vec<EvacuationChange>,
        revision: StoreRevision,
        call_start: Time,
    ) {
        self.apply_from_store(call_start, |state, now| {
            state.evacuation.keeper.apply_changes(now, &state.era, changes, revision)
        });
    }

    fn apply_from_store(
        &self,
        call_start: Time,
        apply: impl FnOnce(&mut GatewayState, Time) -> bool,
    ) {
        let is_changed = {
            let state = &mut *self.state.borrow_mut();
            let is_changed = apply(state, clock::now());
            // Before that the store may show a copy, which lacks acknowledged evacuations.
            if state.era.is_settled(call_start) {
                state.evacuation.keeper.confirm(call_start);
            }
            is_changed
        };
        if !is_changed {
            return;
        }
        self.enforce_evacuations("store");
        if self.feed_context(true).is_lead {
            let targets: Vec<_> = {
                let state = self.state.borrow();
                let alive = state.roster.alive(clock::now());
                alive.map(|(_, info)| info.heartbeat_address).collect()
            };
            self.send_evacuations(&targets);
        }
    }

    /// Merges the view of a peer, and replies if this host knows a later one.
    pub(super) fn merge_evacuations(&self, reply_to: SocketAddr, view: EvacuationView) {
        let is_behind = {
            let state = &mut *self.state.borrow_mut();
            let is_behind = state.evacuation.keeper.is_newer_than(&view);
            state.evacuation.keeper.merge(clock::now(), &state.era, view);
            is_behind
        };
        self.enforce_evacuations("peer");
        if is_behind {
            self.send_evacuations(&[reply_to]);
        }
    }

    fn send_evacuations(&self, targets: &[SocketAddr]) {
        let datagrams = evacuation_datagrams(&self.state.borrow(), clock::now(), true);
        beats::with_ephemeral_socket(self, |socket| {
            for bytes in &datagrams {
                targets.iter().for_each(|target| beats::send(self, socket, *target, bytes));
            }
        });
    }

    /// Extends the proof of this host's view by that of a peer that knows the same. The watch that
    /// proves the configuration covers the evacuations as well.
    pub(super) fn confirm_evacuations(&self, evidence: &PeerEvidence, digest: u64) {
        let state = &mut *self.state.borrow_mut();
        let incarnation = state.host_info.incarnation;
        let confirmed = evidence.confirmed_at(clock::now(), incarnation, evidence.age_ms);
        if let Some(at) = confirmed.filter(|_| state.beliefs_digest() == digest) {
            state.evacuation.keeper.confirm(at);
        }
    }

    /// Passes the evacuations in force to the dispatcher, and logs what changed.
    fn enforce_evacuations(&self, from: &str) {
        let state = &mut *self.state.borrow_mut();
        let EvacuationState { keeper, announced, unknown, .. } = &mut state.evacuation;
        let in_force = keeper.in_force(clock::now(), &state.era);
        let domains: BTreeSet<_> = in_force.values().cloned().collect();
        let fleet = &mut state.dispatcher.fleet;
        fleet.set_evacuated(domains.clone());
        let StoreRevision { era, number } = keeper.revision();
        for domain in announced.extract_if(.., |domain| !domains.contains(domain)) {
            fleet.warm_up_domain(clock::now(), &domain);
            event!(self.log, EVACUATION_WITHDRAWN, "domain" => &*domain, "era" => era,
                "revision" => number, "from" => from);
        }
        unknown.retain(|key| in_force.contains_key(key));
        // Before the list of servers is known, every domain would seem unknown.
        let is_list_known = fleet.list_revision() > StoreRevision::default();
        for (key, domain) in in_force.into_iter().filter(|_| is_list_known) {
            if announced.contains(&domain) {
                continue;
            }
            if fleet.has_domain(&domain) {
                event!(self.log, DOMAIN_EVACUATED, "domain" => &*domain, "key" => &*key,
                    "era" => era, "revision" => number, "from" => from);
                announced.insert(domain);
            } else if unknown.insert(key.clone()) {
                event!(self.log, EVACUATION_UNKNOWN, "key" => &*key);
            }
        }
        self.metrics.evacuated_domains.set(announced.len() as i64);
    }

    /// Withdraws what only counted until the era was settled, and checks the age of the view.
    pub(super) fn sweep_evacuations(&self) {
        let now = clock::now();
        {
            let state = &mut *self.state.borrow_mut();
            state.evacuation.keeper.expire(now, &state.era);
        }
        self.enforce_evacuations("time");
        let Some(limit) = self.settings.evacuation_limit else { return };
        let evacuation = &mut self.state.borrow_mut().evacuation;
        let age = evacuation.keeper.age(now);
        let age_ms = age.map_or(i64::MAX, |age| age.as_millis() as i64);
        self.metrics.evacuation_age.set(age_ms);
        let is_old = age.unwrap_or(now.since(self.started)) > limit;
        if is_old && !std::mem::replace(&mut evacuation.is_old, is_old) {
            event!(self.log, EVACUATIONS_OLD, "age_ms" => age_ms,
                "limit_ms" => limit.as_millis() as u64);
        }
        evacuation.is_old = is_old;
    }

    /// Time within which a change under the prefix of the configuration must be known.
    pub(super) fn config_limit(&self) -> Duration {
        let limit = self.settings.evidence.apply_limit;
        self.settings.evacuation_limit.map_or(limit, |evacuation| evacuation.min(limit))
    }
}

/// The views for a peer, one in each datagram: all of them if `is_full`, otherwise only if they
/// changed lately.
pub(super) fn evacuation_datagrams(state: &GatewayState, now: Time, is_full: bool) -> Vec<Vec<u8>> {
    let reply_to = state.host_info.heartbeat_address;
    let views = state.evacuation.keeper.reports(now, is_full);
    let datagrams = views.into_iter().map(|view| PeerDatagram::Evacuations { reply_to, view });
    datagrams.map(|datagram| beats::encode(&datagram)).collect()
}
