//! Decides whether a connection to a backend server is opened directly or through a peer.
//!
//! A host may lose its own links to servers that its peers still reach. [`DetourPlanner`] owns what
//! this host learned by opening connections: to which servers only a peer could open one, which
//! peers did so, and whether the host's links seem cut as a whole. Hosts exchange nothing of it.
//! When results stop coming, detours and judgements of peers run out, and the next connection tries
//! the direct link again.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, value};

use crate::{fleet::EngineTag, roster::HostTag, time::Time};

#[cfg(test)]
mod tests;

/// Time for which connections to a server go through a peer only, after the direct link failed.
/// After that, the next one tries both.
const DETOUR_TIME: Duration = Duration::from_secs(1);
/// Servers whose direct links failed within [`CUT_WINDOW`] from which the host's links count as cut.
/// One server may have lost its own link to this host.
const CUT_SERVERS: usize = 2;
/// Window in which such failures are counted.
const CUT_WINDOW: Duration = Duration::from_secs(3);
/// Direct connections in a row after which the links count as restored.
const RESTORED_CONNECTIONS: u32 = 2;
/// Interval at which one connection tries the direct link too while the links are cut.
const TRIAL_PERIOD: Duration = Duration::from_secs(1);
/// Time for which peers are not asked again about a server that none of them reached.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer that opened a connection is asked before others.
const TRUST_TIME: Duration = Duration::from_secs(5);
/// Time for which a peer that opened none is asked after all others.
const DISTRUST_TIME: Duration = Duration::from_secs(3);
/// Time after which what was learned of a server is forgotten.
const RETENTION: Duration = Duration::from_secs(10);
/// Most peers that are asked for one connection.
const RELAY_LIMIT: usize = 4;

/// How to open a connection to a server.
#[key]
pub enum ConnectPlan {
    /// Directly, and through a peer if that fails or takes long.
    Direct,
    /// Directly only: the peers did not reach the server either.
    DirectOnly,
    /// Directly and through a peer at the same time.
    Both,
    /// Through a peer. If no peer opens a connection, directly unless the links are cut.
    Relayed,
}

/// Result of asking a peer for a connection to a server.
#[key]
pub enum RelayResult {
    /// The peer opened a connection.
    Opened,
    /// The peer could not reach the server.
    Unreachable,
    /// The peer relays nothing now, or did not answer.
    Unavailable,
}

/// Output of a change of the links.
#[value]
pub enum DetourOutput {
    /// Only a peer can open connections to the server. Idle direct ones may be dead.
    DetourStarted(EngineTag),
    /// The host's links to servers are cut. All idle direct connections may be dead.
    LinksCut,
    /// The host's links to servers work again.
    LinksRestored,
}

/// What is known of the ways to one server.
#[value]
#[derive(Copy, Default)]
struct ServerLink {
    /// When a peer last opened a connection whose direct one failed.
    detoured: Option<Time>,
    /// When a direct connection was opened last.
    opened: Option<Time>,
    /// When neither this host nor a peer could open a connection.
    down: Option<Time>,
    /// When the link was last checked because the server was silent.
    checked: Option<Time>,
}

/// The ways to the servers, as this host knows them.
#[derive(Debug, Default)]
pub struct DetourPlanner {
    links: BTreeMap<EngineTag, ServerLink>,
    /// Last result of each peer that was asked, and when.
    relays: BTreeMap<HostTag, (RelayResult, Time)>,
    /// Since when the host's links count as cut.
    cut: Option<Time>,
    /// When the next connection tries the direct link too, while the links are cut.
    next_trial: Time,
    /// Direct connections opened since the last one that failed.
    opened_in_row: u32,
}

impl DetourPlanner {
    /// Decides how to open a connection to a server.
    pub fn plan(&mut self, now: Time, server: EngineTag) -> ConnectPlan {
        let link = self.links.get(&server).copied().unwrap_or_default();
        if let Some(cut) = self.cut {
            if link.opened > Some(cut) {
                return ConnectPlan::Direct;
            }
            if now < self.next_trial {
                return ConnectPlan::Relayed;
            }
            self.next_trial = now + TRIAL_PERIOD;
            return ConnectPlan::Both;
        }
        match link.detoured {
            Some(at) if now.since(at) < DETOUR_TIME => ConnectPlan::Relayed,
            Some(_) => ConnectPlan::Both,
            None if link.down.is_some_and(|at| now.since(at) < DOWN_TIME) => {
                ConnectPlan::DirectOnly
            }
            None => ConnectPlan::Direct,
        }
    }

    /// Returns the peers to ask for a connection, in this order: those that opened one lately, then
    /// those of which nothing is known, then those that did not reach a server, then those that did
    /// not answer. `peers` are the ready ones.
    pub fn relays(
        &self,
        now: Time,
        mut peers: Vec<HostTag>,
        rng: &mut fastrand::Rng,
    ) -> Vec<HostTag> {
        let result = |peer: &HostTag| {
            let (result, at) = self.relays.get(peer)?;
            let is_opened = *result == RelayResult::Opened;
            let limit = if is_opened { TRUST_TIME } else { DISTRUST_TIME };
            (now.since(*at) < limit).then_some(*result)
        };
        rng.shuffle(&mut peers);
        peers.sort_by_key(|peer| match result(peer) {
            Some(RelayResult::Opened) => 0,
            None => 1,
            Some(RelayResult::Unreachable) => 2,
            Some(RelayResult::Unavailable) => 3,
        });
        peers.truncate(RELAY_LIMIT);
        peers
    }

    /// Whether the host's links to servers are cut, so that it can open no connection for a peer.
    pub fn is_cut(&self) -> bool {
        self.cut.is_some()
    }

    /// Whether the link to a server that is silent should be checked with a new connection.
    pub fn wants_check(&mut self, now: Time, server: EngineTag) -> bool {
        let link = self.links.entry(server).or_default();
        let is_due = link.checked.is_none_or(|at| now.since(at) >= DETOUR_TIME);
        if is_due {
            link.checked = Some(now);
        }
        is_due
    }

    /// Records that a direct connection was opened.
    pub fn record_opened(&mut self, now: Time, server: EngineTag) -> Vec<DetourOutput> {
        let link = self.links.entry(server).or_default();
        *link = ServerLink { opened: Some(now), checked: link.checked, ..ServerLink::default() };
        self.opened_in_row += 1;
        if self.opened_in_row >= RESTORED_CONNECTIONS && self.cut.take().is_some() {
            return vec![DetourOutput::LinksRestored];
        }
        Vec::new()
    }

    /// Records the result of asking a peer for a connection.
    pub fn record_relay(&mut self, now: Time, peer: HostTag, result: RelayResult) {
        self.relays.insert(peer, (result, now));
    }

    /// Records that a peer opened a connection to a server whose direct link failed or took longer.
    pub fn record_detour(&mut self, now: Time, server: EngineTag) -> Vec<DetourOutput> {
        self.opened_in_row = 0;
        let link = self.links.entry(server).or_default();
        let is_new = link.detoured.is_none();
        (link.detoured, link.down) = (Some(now), None);
        let mut outputs = Vec::new();
        if is_new {
            outputs.push(DetourOutput::DetourStarted(server));
        }
        let is_recent = |at: Time| now.since(at) < CUT_WINDOW;
        let detours = self.links.values().filter(|link| link.detoured.is_some_and(is_recent));
        if self.cut.is_none() && detours.count() >= CUT_SERVERS {
            self.cut = Some(now);
            self.next_trial = now + TRIAL_PERIOD;
            outputs.push(DetourOutput::LinksCut);
        }
        outputs
    }

    /// Records that neither this host nor a peer could open a connection to a server.
    pub fn record_down(&mut self, now: Time, server: EngineTag) {
        self.opened_in_row = 0;
        self.links.entry(server).or_default().down = Some(now);
    }

    /// Forgets what was learned of servers and peers long ago.
    pub fn expire(&mut self, now: Time) {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) < RETENTION);
        self.links.retain(|_, link| {
            [link.detoured, link.opened, link.down, link.checked].into_iter().any(is_recent)
        });
        self.relays.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
