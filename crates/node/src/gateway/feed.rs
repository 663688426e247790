//! Interface of the driver's store followers: what they report and what guides their next call.

use std::{rc::Rc, time::Duration};

use parsley_core::{
    catalog::{RouteCatalog, ServingConfig},
    dispatch::DispatchInput,
    era::{EraEffect, StoreRevision},
    evidence::{ConfigTrust, StoreSighting},
    feed::{FeedContext, FeedFacts, LEAD_COUNT},
    fleet::{EngineEntry, EngineTag},
    roster::{HostInfo, HostTag},
    time::Time,
};
use parsley_macros::message;

use super::{Gateway, beats, clock, listing};
use crate::event;

/// Change of a server's entry that a lead read from the store.
#[message]
pub enum ServerChange {
    /// The entry is new or changed.
    Changed(EngineEntry),
    /// The entry was removed.
    Removed {
        /// Tag of the instance.
        tag: EngineTag,
        /// Revision of the store at the removal.
        revision: StoreRevision,
    },
}

impl Gateway {
    /// Applies a configuration that the store holds at `revision`. `call_start` is when the call was
    /// sent; `None` means that the answer may be stale and proves nothing. A version that is not
    /// newer than the one in force is ignored.
    pub fn apply_config(
        self: &Rc<Self>,
        config: ServingConfig,
        revision: StoreRevision,
        call_start: Option<Time>,
    ) {
        let version = config.version;
        let now = clock::now();
        let (services, urgent) = {
            let state = &mut *self.state.borrow_mut();
            let (newest, heard) = state.evidence.newest_known();
            let from = state.catalog.as_ref().map(|catalog| catalog.version());
            match call_start {
                Some(call_start) => {
                    let sighting = StoreSighting { version: Some(version), revision, call_start };
                    state.evidence.confirm(&sighting, &state.era);
                }
                None => state.evidence.adopt(version),
            }
            if from.is_some_and(|from| from >= version) {
                return;
            }
            let catalog = RouteCatalog::new(config);
            let in_force = (catalog.services().clone(), catalog.urgent_targets());
            state.catalog = Some(Rc::new(catalog));
            let age = call_start.map_or(0, |call_start| now.since(call_start).as_millis() as u64);
            let heard = if newest == version { now.since(heard).as_millis() as u64 } else { 0 };
            event!(self.log, CONFIG_APPLIED, "version" => version,
                "from" => from.unwrap_or_default(), "age_ms" => age, "heard_ms" => heard);
            in_force
        };
        self.metrics.config_version.set(version as i64);
        if self.feed_context(true).is_lead {
            beats::broadcast_state(self);
        }
        self.dispatch(DispatchInput::Services { services, urgent_targets: urgent });
        self.update_readiness();
    }

    /// Returns whether a configuration is in force.
    pub fn has_config(&self) -> bool {
        self.state.borrow().catalog.is_some()
    }

    /// Records that a watch of the configuration up to `revision`, sent at `call_start`, ended
    /// without a change.
    pub fn confirm_config(&self, revision: StoreRevision, call_start: Time) {
        {
            let state = &mut *self.state.borrow_mut();
            if state.catalog.is_some() {
                let sighting = StoreSighting { version: None, revision, call_start };
                state.evidence.confirm(&sighting, &state.era);
            }
        }
        self.update_readiness();
    }

    /// Records that the store holds a configuration that cannot be read.
    pub fn mark_config_unreadable(&self) {
        self.state.borrow_mut().evidence.mark_unreadable();
    }

    /// Records the era that the store, or the peer `by`, named. Returns whether it is the newest
    /// known one.
    pub fn observe_era(&self, era: u64, age: Option<Duration>, by: &str) -> bool {
        let now = clock::now();
        let from = self.state.borrow().era.era();
        let effect = {
            let state = &mut *self.state.borrow_mut();
            let effect = state.era.observe(now, era, age);
            state.dispatcher.fleet.set_era(now, state.era);
            effect
        };
        if effect == EraEffect::Restored {
            self.metrics.store_restores.inc();
            event!(self.log, STORE_RESTORED, "era" => era, "from" => from, "by" => by);
            // Fails only if the channel is full: the driver has been woken already.
            let _ = self.restored.0.try_send(());
        }
        self.metrics.store_era.set(self.state.borrow().era.era() as i64);
        effect != EraEffect::Outdated
    }

    /// Records the revision of the store that an answer named.
    pub fn record_store_revision(&self, revision: StoreRevision) {
        let state = &mut *self.state.borrow_mut();
        if revision.era == state.era.era() {
            state.era.record_number(revision.number);
            state.dispatcher.fleet.set_era(clock::now(), state.era);
        }
    }

    /// Returns the newest known era of the store.
    pub fn store_era(&self) -> u64 {
        self.state.borrow().era.era()
    }

    /// Returns the time until the store shows again what it may have lost by a restore.
    pub fn time_to_settle(&self) -> Duration {
        self.state.borrow().era.time_to_settle(clock::now())
    }

    /// Records the era in which the newest entry of a host was written. If the store is in a later
    /// one, it was restored and no host has seen it settled.
    pub fn observe_listed_era(&self, listed: u64) {
        let era = self.store_era();
        if listed < era {
            self.observe_era(era, Some(Duration::ZERO), "hosts");
        }
    }

    /// Adds a host that the store lists.
    pub fn add_host(&self, host_info: HostInfo) {
        let mut state = self.state.borrow_mut();
        if host_info.tag() != state.host_info.tag() {
            state.roster.add_candidate(host_info);
        }
    }

    /// Drops hosts that never sent a heartbeat and are not in `listed`, the hosts in the store. Soon
    /// after a restore of the store none are dropped, as they have yet to register again.
    pub fn retain_hosts(&self, listed: &[HostTag]) {
        let state = &mut *self.state.borrow_mut();
        if state.era.is_settled(clock::now()) {
            state.roster.retain_listed(listed);
        }
    }

    /// Records whether the store answers for the configuration or, if not `is_config`, for
    /// discovery.
    pub fn set_store_lost(self: &Rc<Self>, is_config: bool, is_lost: bool) {
        {
            let mut state = self.state.borrow_mut();
            let part = if is_config { &mut state.store_lost.0 } else { &mut state.store_lost.1 };
            *part = is_lost;
            state.host_info.has_store = state.store_lost == (false, false);
        }
        if !is_config {
            self.dispatch(DispatchInput::StoreStatus { is_lost });
        }
    }

    /// Updates readiness, and logs when requests with a key can no longer be served and when they
    /// can again.
    pub(super) fn update_readiness(&self) {
        let now = clock::now();
        let (can_serve_keys, could_serve_keys, version, age) = {
            let mut state = self.state.borrow_mut();
            let trust = state.trust(now);
            let can_serve_keys = matches!(trust, ConfigTrust::Full | ConfigTrust::Allowed);
            let was = std::mem::replace(&mut state.could_serve_keys, can_serve_keys);
            // Callers go to another host once this one cannot decide about their keys.
            state.host_info.is_ready =
                can_serve_keys && state.catalog.is_some() && state.dispatcher.drain_end().is_none();
            (can_serve_keys, was, state.evidence.version(), state.evidence.age(now))
        };
        let age = age.map_or(u64::MAX, |age| age.as_millis() as u64);
        self.metrics.config_age.set(i64::try_from(age).unwrap_or(i64::MAX));
        match (could_serve_keys, can_serve_keys) {
            (true, false) => {
                event!(self.log, EVIDENCE_STALE, "version" => version, "age_ms" => age)
            }
            (false, true) => {
                event!(self.log, EVIDENCE_RENEWED, "version" => version, "age_ms" => age)
            }
            _ => {}
        }
    }

    /// Inputs that decide how the driver follows the configuration or, if not `is_config`,
    /// discovery.
    pub fn feed_context(&self, is_config: bool) -> FeedContext {
        let now = clock::now();
        let state = self.state.borrow();
        let fleet = &state.dispatcher.fleet;
        let is_lead = state.roster.is_lead(now, &state.host_info, LEAD_COUNT);
        let is_member = state.roster.is_member(now, &state.host_info);
        if is_config {
            return FeedContext::from_facts(&FeedFacts {
                is_config,
                limit: self.config_limit(),
                is_lead,
                is_member,
                is_known: state.catalog.is_some(),
                proof_age: state.evidence.age(now),
                shows_copy: !state.era.is_settled(now),
                has_newer: state.evidence.newest_known().0 > state.evidence.version(),
                ..FeedFacts::default()
            });
        }
        FeedContext::from_facts(&FeedFacts {
            limit: self.settings.leave_limit,
            is_lead,
            is_member,
            // Whether entries that are missing return shows by itself within the grace period.
            is_known: fleet.list_revision() > StoreRevision::default() && !fleet.has_missing(),
            proof_age: fleet.list_age(now),
            divergence: fleet.list_divergence(now),
            must_read_again: fleet.must_read_again(now),
            ..FeedFacts::default()
        })
    }

    /// When a peer first showed that it has a newer configuration than this host or, if not
    /// `is_config`, a later list of servers; `None` if none has.
    pub fn news_time(&self, is_config: bool) -> Option<Time> {
        let state = self.state.borrow();
        if is_config {
            let (newest, heard) = state.evidence.newest_known();
            return (newest > state.evidence.version()).then_some(heard);
        }
        let now = clock::now();
        state.dispatcher.fleet.list_divergence(now).map(|age| now - age)
    }

    /// Records that the store returned every change of the servers up to `revision` in a call that
    /// was sent at `call_start`.
    pub fn confirm_servers(&self, call_start: Time, revision: StoreRevision) {
        self.state.borrow_mut().dispatcher.fleet.confirm_list(call_start, revision);
    }

    /// Revision up to which this host knows every change of the servers.
    pub fn server_list_revision(&self) -> StoreRevision {
        self.state.borrow().dispatcher.fleet.list_revision()
    }

    /// Waits until the store was restored, which ends this host's lease.
    pub async fn wait_for_restore(&self) {
        // An error means that the channel is closed, which happens only with the gateway.
        let _ = self.restored.1.recv().await;
    }

    /// Waits until a peer reports a newer configuration.
    pub async fn wait_for_newer_config(&self) {
        // An error means that the channel is closed, which happens only with the gateway.
        let _ = self.newer_config.1.recv().await;
    }

    /// Whether this host needs an entry in the store, through which peers discover it.
    pub fn wants_entry(&self) -> bool {
        let state = self.state.borrow();
        state.roster.needs_registration(clock::now(), &state.host_info)
    }

    /// Records that the store lists this host.
    pub fn note_listed(&self) {
        self.state.borrow_mut().roster.set_listed();
    }

    /// Whether no other host was heard from recently.
    pub fn is_alone(&self) -> bool {
        self.state.borrow().roster.is_isolated(clock::now())
    }

    /// Whether another host is known to be alive.
    pub fn has_live_peer(&self) -> bool {
        self.state.borrow().roster.alive(clock::now()).next().is_some()
    }

    /// Queues a new or changed entry for the peers unless it is known already.
    pub fn queue_server_entry(&self, entry: EngineEntry) {
        let mut state = self.state.borrow_mut();
        if !state.dispatcher.fleet.has_entry(&entry) {
            state.pending_server_changes.push(ServerChange::Changed(entry));
        }
    }

    /// Queues the removal of an entry for the peers, unless it may have expired during an outage and
    /// is kept for now.
    pub fn queue_server_removal(&self, tag: EngineTag, revision: StoreRevision) {
        let mut state = self.state.borrow_mut();
        if state.dispatcher.fleet.get(tag).is_none() {
            state.pending_server_changes.push(ServerChange::Removed { tag, revision });
        }
    }

    /// Sends the queued server changes to the peers.
    pub fn flush_server_changes(&self) {
        listing::broadcast_changes(self);
    }
}
