//! Keeps the work in flight and waiting of all hosts, as far as this host knows it.
//!
//! Owns the entries of this host and copies of the peers' entries. Each host sends its changes at
//! once and all of its entries with every full beat, so a lost datagram is mended within one beat.
//! A full beat has parts, each of which stands for itself: it takes nothing from what others bring,
//! in whatever order they come.
//! The entries of a peer that fell silent stay for [`ORPHAN_TIME`], as its engines may still work.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, message, value};

use crate::{fleet::EngineTag, roster::HostTag, time::Time};

#[cfg(test)]
mod tests;

/// Time for which the entries of a silent peer count.
const ORPHAN_TIME: Duration = Duration::from_secs(3);

/// How far a piece of work has come.
#[key]
pub enum WorkPhase {
    /// It waits for a backend server.
    Waiting,
    /// It was sent and no part of the answer has come.
    Sent,
    /// Its answer is being written.
    Responding,
}

/// Names a client account among hosts: the low half of its name's hash, 0 for requests without key.
#[key]
pub struct AccountTag(pub u32);

/// What a piece of work asks for.
#[message]
pub struct WorkDemand {
    /// Client account that it is done for.
    pub account: AccountTag,
    /// Hash of the service's name.
    pub service: u64,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Time to the first part of the answer with which it is on time, in milliseconds.
    pub first_event_target_ms: u32,
    /// Longest pause with which it is on time, in milliseconds; 0 if it is no stream.
    pub gap_target_ms: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// A piece of work as hosts tell each other.
#[message]
pub struct WorkEntry {
    /// What it asks for.
    pub demand: WorkDemand,
    /// How far it has come.
    pub phase: WorkPhase,
    /// Its account's turn when it was sent, in microseconds of engine time; see [`crate::turn`].
    pub start_tag_us: u64,
    /// Backend servers that work on it, the one that answers first.
    pub engines: Vec<EngineTag>,
    /// Arrival, and the start of the phase. Sent as an age.
    pub arrived: Time,
    /// Start of the phase. Sent as an age.
    pub phase_start: Time,
}

/// The number of a piece of work at its host.
#[key]
#[derive(Default)]
pub struct WorkNumber(pub u32);

/// A change of a host's entries.
#[message]
pub struct WorkUpdate {
    /// First and last number of a range of which `entries` holds all that the host has.
    pub covered_range: Option<(WorkNumber, WorkNumber)>,
    /// New and changed entries; their times are ages in microseconds.
    pub entries: Vec<(WorkNumber, WorkEntry)>,
    /// Entries that ended.
    pub ended: Vec<WorkNumber>,
}

#[value]
struct PeerWork {
    incarnation: u64,
    heard: Time,
    entries: BTreeMap<WorkNumber, WorkEntry>,
}

/// The work of all hosts.
#[derive(Debug, Default)]
pub struct WorkView {
    own: BTreeMap<WorkNumber, WorkEntry>,
    peers: BTreeMap<HostTag, PeerWork>,
    changed: Vec<WorkNumber>,
    /// The highest number that was ever set.
    last: WorkNumber,
}

impl WorkView {
    /// Sets an entry of this host.
    pub fn insert(&mut self, number: WorkNumber, entry: WorkEntry) {
        self.own.insert(number, entry);
        self.changed.push(number);
        self.last = self.last.max(number);
    }

    /// Changes an entry of this host.
    pub fn update(&mut self, number: WorkNumber, change: impl FnOnce(&mut WorkEntry)) {
        let Some(entry) = self.own.get_mut(&number) else { return };
        change(entry);
        self.changed.push(number);
    }

    /// Ends an entry of this host.
    pub fn remove(&mut self, number: WorkNumber) {
        if self.own.remove(&number).is_some() {
            self.changed.push(number);
        }
    }

    /// An entry of this host.
    pub fn get(&self, number: WorkNumber) -> Option<&WorkEntry> {
        self.own.get(&number)
    }

    /// Entries of this host.
    pub fn own(&self) -> impl Iterator<Item = (WorkNumber, &WorkEntry)> {
        self.own.iter().map(|(number, entry)| (*number, entry))
    }

    /// Entries of all hosts; the host is `None` for this one.
    pub fn all(&self) -> impl Iterator<Item = (Option<HostTag>, WorkNumber, &WorkEntry)> {
        let own = self.own.iter().map(|(number, entry)| (None, *number, entry));
        let peers = self.peers.iter().flat_map(|(host, work)| {
            work.entries.iter().map(|(number, entry)| (Some(*host), *number, entry))
        });
        own.chain(peers)
    }

    /// Whether a peer has work, as far as this host knows.
    pub fn peer_has_work(&self, host: HostTag) -> bool {
        self.peers.get(&host).is_some_and(|work| !work.entries.is_empty())
    }

    /// Whether there is something to tell.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// What changed since the last call.
    pub fn take_changes(&mut self, now: Time) -> WorkUpdate {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let entries = changed.iter().filter_map(|one| Some(aged(now, *one, self.own.get(one)?)));
        let entries = entries.collect();
        changed.retain(|number| !self.own.contains_key(number));
        WorkUpdate { covered_range: None, entries, ended: changed }
    }

    /// All entries of this host, in parts of at most `most`.
    pub fn snapshot(&self, now: Time, most: usize) -> Vec<WorkUpdate> {
        let own: Vec<_> = self.own.iter().collect();
        let count = own.len().div_ceil(most).max(1);
        let mut first = WorkNumber(0);
        let part = |index: usize| {
            let part = &own[(index * most).min(own.len())..((index + 1) * most).min(own.len())];
            let is_last = index + 1 == count;
            let last = part.last().filter(|_| !is_last).map_or(self.last, |(number, _)| **number);
            let covers = Some((first, last));
            first = WorkNumber(last.0.wrapping_add(1));
            let entries = part.iter().map(|(number, entry)| aged(now, **number, entry)).collect();
            WorkUpdate { covered_range: covers, entries, ended: Vec::new() }
        };
        (0..count).map(part).collect()
    }

    /// Takes over a peer's news. Those of a process that was replaced are not to be given here.
    pub fn apply_update(&mut self, now: Time, host: HostTag, incarnation: u64, news: WorkUpdate) {
        let work = self.peers.entry(host).or_insert_with(|| PeerWork {
            incarnation,
            heard: now,
            entries: BTreeMap::new(),
        });
        // What an earlier process of the host sent has ended with its connections.
        if incarnation != work.incarnation {
            work.entries.clear();
        }
        if let Some((first, last)) = news.covered_range {
            work.entries.retain(|number, _| *number < first || *number > last);
        }
        work.incarnation = incarnation;
        work.heard = now;
        for (number, mut entry) in news.entries {
            entry.arrived = Time(now.0.saturating_sub(entry.arrived.0));
            entry.phase_start = Time(now.0.saturating_sub(entry.phase_start.0));
            work.entries.insert(number, entry);
        }
        for number in &news.ended {
            work.entries.remove(number);
        }
    }

    /// Forgets what silent peers had.
    pub fn expire_peers(&mut self, now: Time) {
        self.peers.retain(|_, work| now.since(work.heard) <= ORPHAN_TIME);
    }
}

/// An entry with its times as ages.
fn aged(now: Time, number: WorkNumber, entry: &WorkEntry) -> (WorkNumber, WorkEntry) {
    let mut entry = entry.clone();
    entry.arrived = Time(now.0.saturating_sub(entry.arrived.0));
    entry.phase_start = Time(now.0.saturating_sub(entry.phase_start.0));
    (number, entry)
}
