//! Replicated view of the waiting and in-flight work of all hosts, eventually consistent.
//!
//! Owns the entries of this host and copies of the peers' entries. Each host sends deltas at once
//! and a full snapshot with every heartbeat, so a lost datagram is repaired within one heartbeat
//! interval. A snapshot is split into parts, each of which replaces only its own range of work
//! numbers, so parts may arrive in any order. The entries of a silent peer stay for
//! [`PEER_EXPIRY`], because its engines may still run the work.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, message, value};

use crate::{fleet::EngineTag, roster::HostTag, time::Time};

#[cfg(test)]
mod tests;

/// Silence after which the entries of a peer are dropped.
const PEER_EXPIRY: Duration = Duration::from_secs(3);

/// Processing phase of a request.
#[key]
pub enum WorkPhase {
    /// Queued, not yet sent to a backend server.
    Waiting,
    /// Sent to a backend server; no part of the response has arrived.
    Sent,
    /// The response has started.
    Responding,
}

/// Identifies a client account in messages between hosts: the low 32 bits of the hash of its name,
/// or 0 for requests without a key.
#[key]
pub struct AccountTag(pub u32);

/// Resources and latency targets of a request.
#[message]
pub struct WorkDemand {
    /// Client account of the request.
    pub account: AccountTag,
    /// Hash of the service's name.
    pub service: u64,
    /// Length of the prompt, in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Largest length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Target time to the first part of the response, in milliseconds.
    pub first_event_target_ms: u32,
    /// Target for the longest gap between events, in milliseconds; 0 if it is not streamed.
    pub gap_target_ms: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// A request as hosts share it.
#[message]
pub struct WorkEntry {
    /// Resources and latency targets.
    pub demand: WorkDemand,
    /// Current phase.
    pub phase: WorkPhase,
    /// Start tag of its account when it was sent, in microseconds of engine time; 0 while it waits.
    /// See [`crate::turn`].
    pub start_tag_us: u64,
    /// Backend servers that run it; the first one answers. Empty while it waits.
    pub engines: Vec<EngineTag>,
    /// Time of arrival; an age in [`WorkUpdate`].
    pub arrived: Time,
    /// Start of the current phase; an age in [`WorkUpdate`].
    pub phase_start: Time,
}

/// Number of a request, unique on its host.
#[key]
#[derive(Default)]
pub struct WorkNumber(pub u32);

/// A delta of a host's entries, or a part of its snapshot.
#[message]
pub struct WorkUpdate {
    /// Range of numbers, both ends included, of which `entries` is the complete list; `None` for a
    /// delta.
    pub covered_range: Option<(WorkNumber, WorkNumber)>,
    /// New and changed entries, with times replaced by ages in microseconds, because hosts do not
    /// share a clock.
    pub entries: Vec<(WorkNumber, WorkEntry)>,
    /// Numbers of entries that ended.
    pub ended: Vec<WorkNumber>,
}

/// Entries of a peer's current process.
#[value]
struct PeerWork {
    incarnation: u64,
    last_update: Time,
    entries: BTreeMap<WorkNumber, WorkEntry>,
}

/// Waiting and in-flight work of all hosts.
#[derive(Debug, Default)]
pub struct WorkView {
    own: BTreeMap<WorkNumber, WorkEntry>,
    peers: BTreeMap<HostTag, PeerWork>,
    changed: Vec<WorkNumber>,
    /// Highest number ever inserted; the last part of a snapshot covers up to it.
    highest: WorkNumber,
}

impl WorkView {
    /// Inserts or replaces an entry of this host.
    pub fn insert(&mut self, number: WorkNumber, entry: WorkEntry) {
        self.own.insert(number, entry);
        self.changed.push(number);
        self.highest = self.highest.max(number);
    }

    /// Applies a change to an entry of this host; does nothing if there is none.
    pub fn update(&mut self, number: WorkNumber, change: impl FnOnce(&mut WorkEntry)) {
        let Some(entry) = self.own.get_mut(&number) else { return };
        change(entry);
        self.changed.push(number);
    }

    /// Removes an entry of this host, to be reported as ended.
    pub fn remove(&mut self, number: WorkNumber) {
        if self.own.remove(&number).is_some() {
            self.changed.push(number);
        }
    }

    /// Returns an entry of this host.
    pub fn get(&self, number: WorkNumber) -> Option<&WorkEntry> {
        self.own.get(&number)
    }

    /// All entries of this host.
    pub fn own(&self) -> impl Iterator<Item = (WorkNumber, &WorkEntry)> {
        self.own.iter().map(|(number, entry)| (*number, entry))
    }

    /// Entries of all hosts; the host tag is `None` for this host.
    pub fn all(&self) -> impl Iterator<Item = (Option<HostTag>, WorkNumber, &WorkEntry)> {
        let own = self.own.iter().map(|(number, entry)| (None, *number, entry));
        let peers = self.peers.iter().flat_map(|(host, work)| {
            work.entries.iter().map(|(number, entry)| (Some(*host), *number, entry))
        });
        own.chain(peers)
    }

    /// Whether this host knows of any work of a peer.
    pub fn peer_has_work(&self, host: HostTag) -> bool {
        self.peers.get(&host).is_some_and(|work| !work.entries.is_empty())
    }

    /// Whether there are changes that [`WorkView::take_changes`] would return.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the delta since the last call.
    pub fn take_changes(&mut self, now: Time) -> WorkUpdate {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let entries = changed
            .iter()
            .filter_map(|number| Some(with_ages(now, *number, self.own.get(number)?)));
        let entries = entries.collect();
        changed.retain(|number| !self.own.contains_key(number));
        WorkUpdate { covered_range: None, entries, ended: changed }
    }

    /// Returns all entries of this host in at least one part, each with at most `max_entries`.
    pub fn snapshot(&self, now: Time, max_entries: usize) -> Vec<WorkUpdate> {
        let own: Vec<_> = self.own.iter().collect();
        let count = own.len().div_ceil(max_entries).max(1);
        let mut first = WorkNumber(0);
        let part = |index: usize| {
            let part = &own
                [(index * max_entries).min(own.len())..((index + 1) * max_entries).min(own.len())];
            let is_last = index + 1 == count;
            let last =
                part.last().filter(|_| !is_last).map_or(self.highest, |(number, _)| **number);
            let covered_range = Some((first, last));
            first = WorkNumber(last.0.wrapping_add(1));
            let entries =
                part.iter().map(|(number, entry)| with_ages(now, **number, entry)).collect();
            WorkUpdate { covered_range, entries, ended: Vec::new() }
        };
        (0..count).map(part).collect()
    }

    /// Applies a delta or snapshot part of a peer. The caller filters out those of replaced
    /// processes.
    pub fn apply_update(&mut self, now: Time, host: HostTag, incarnation: u64, update: WorkUpdate) {
        let work = self.peers.entry(host).or_insert_with(|| PeerWork {
            incarnation,
            last_update: now,
            entries: BTreeMap::new(),
        });
        // Requests of an earlier process ended with its connections.
        if incarnation != work.incarnation {
            work.entries.clear();
        }
        if let Some((first, last)) = update.covered_range {
            work.entries.retain(|number, _| *number < first || *number > last);
        }
        work.incarnation = incarnation;
        work.last_update = now;
        for (number, mut entry) in update.entries {
            entry.arrived = Time(now.0.saturating_sub(entry.arrived.0));
            entry.phase_start = Time(now.0.saturating_sub(entry.phase_start.0));
            work.entries.insert(number, entry);
        }
        for number in &update.ended {
            work.entries.remove(number);
        }
    }

    /// Drops the entries of peers that have been silent for too long.
    pub fn expire_peers(&mut self, now: Time) {
        self.peers.retain(|_, work| now.since(work.last_update) <= PEER_EXPIRY);
    }
}

/// Copies an entry with its times replaced by ages.
fn with_ages(now: Time, number: WorkNumber, entry: &WorkEntry) -> (WorkNumber, WorkEntry) {
    let mut entry = entry.clone();
    entry.arrived = Time(now.0.saturating_sub(entry.arrived.0));
    entry.phase_start = Time(now.0.saturating_sub(entry.phase_start.0));
    (number, entry)
}
