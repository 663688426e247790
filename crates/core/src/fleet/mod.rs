//! Tracks the backend servers: their discovery entries, failure estimates and measured slowdown.
//!
//! [`FleetTable`] keeps one record per backend server. It combines the server's discovery entry,
//! the results of requests sent to it, the estimates of peers and the notices that the server put
//! into its answers. Active health checks are not used because they can report a wrong state; only
//! the results of real requests count. If discovery stops, the last known list stays in use.
//! Entries that expire during an outage of the store get a grace period in which to register again.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use parsley_macros::{key, message, value};

use crate::{
    era::{EraKeeper, REWRITE_TIME, StoreRevision},
    roster::HostTag,
    time::Time,
};

mod cold;
#[cfg(test)]
mod cold_tests;
mod copied;
#[cfg(test)]
mod copied_tests;
mod limit;
#[cfg(test)]
mod limit_tests;
mod listing;
#[cfg(test)]
mod listing_tests;
mod notice;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod tests;

use cold::ColdTable;
pub use cold::{ColdChange, ColdReport, ColdStart, MAX_COLD_TIME};
use copied::Tombstone;
use limit::LimitTable;
pub use limit::{LimitNotice, LimitReport, RequestRate};
use listing::ListState;
pub use listing::{ListEffect, ListEvidence};
pub(crate) use notice::LONGEST_PAUSE;
use notice::NoticeTable;
pub use notice::{NoticeChange, ServerNotice, pause_in_seconds};

/// Grace period after an outage of the store: entries that expired meanwhile are kept this long, so
/// that their servers can register again.
pub const REREGISTRATION_GRACE: Duration = REWRITE_TIME;
/// Weight of one attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.35;
/// Time constant of the exponential decay of failure and slowdown estimates.
const ESTIMATE_DECAY: Duration = Duration::from_secs(4);
/// Lowest failure probability that is sent to peers; below it failures are treated as chance.
pub const MIN_REPORTED_FAILURE: f64 = 0.05;
/// Lowest slowdown that is sent to peers.
const MIN_REPORTED_SLOWDOWN: f64 = 1.5;
/// Least failure probability of a server that did not answer or could not be reached.
const SILENT_FAILURE: f64 = 0.95;
/// Weight of one measurement in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Most tombstones of removed entries.
const TOMBSTONE_LIMIT: usize = 1_000;
/// Bounds of the measured slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 20.0);

/// Identifies a backend server by the hash of its instance id.
///
/// A server that restarts under the same instance id keeps its tag.
#[key]
pub struct EngineTag(pub u64);

impl EngineTag {
    /// Returns the tag of the instance id `id`.
    pub fn from_id(id: &str) -> EngineTag {
        EngineTag(hash_name(id))
    }
}

/// Returns the first eight bytes of the BLAKE3 hash of `name`.
///
/// Hosts exchange this hash in place of the name, so it must be the same in every version.
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight bytes"))
}

/// The entry of a backend server in service discovery.
#[message]
pub struct EngineEntry {
    /// Instance id under which the server registered.
    pub id: Arc<str>,
    /// Name of the service that the server belongs to.
    pub service: Arc<str>,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: Arc<str>,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and takes no new requests.
    pub is_leaving: bool,
    /// Start of the process in Unix milliseconds by the server's own clock; 0 if not given.
    pub started_ms: u64,
    /// Revision of the store at which the entry was written.
    pub revision: StoreRevision,
}

impl EngineEntry {
    /// Returns the tag of the instance id.
    pub fn tag(&self) -> EngineTag {
        EngineTag::from_id(&self.id)
    }

    /// Returns whether both entries are equal apart from their revision.
    fn eq_ignoring_revision(&self, other: &EngineEntry) -> bool {
        EngineEntry { revision: other.revision, ..self.clone() } == *other
    }

    fn digest(&self) -> u64 {
        hash_name(&format!("{} {} {}", self.tag().0, self.is_leaving, self.started_ms))
    }
}

/// A change of the table, as it is sent to other hosts.
#[value]
pub enum FleetChange {
    /// An entry was added or changed.
    Entry(EngineEntry),
    /// An entry was removed.
    Removed {
        /// Server whose entry was removed.
        tag: EngineTag,
        /// Revision of the store at which the entry was absent.
        revision: StoreRevision,
    },
}

impl FleetChange {
    /// Returns the revision of the store at which the change was seen.
    pub fn revision(&self) -> StoreRevision {
        match self {
            FleetChange::Entry(entry) => entry.revision,
            FleetChange::Removed { revision, .. } => *revision,
        }
    }
}

/// Result of one attempt at a backend server, as evidence about the server's health.
#[key]
pub enum EngineVerdict {
    /// The server answered the request.
    Good,
    /// The server broke off its answer, or answered with invalid data or an error of its own.
    Failed,
    /// The server did not answer in time.
    Silent,
    /// The server did not answer, but the request left it too little time to do so.
    Undecided,
    /// No connection could be established.
    Unreachable,
    /// The server was at capacity and did not run the request.
    Full,
    /// A different instance answers at the server's address.
    Replaced,
}

impl EngineVerdict {
    /// Returns the verdict on a server that sent nothing for `waited`, where a healthy server
    /// answers within `needed`.
    ///
    /// A request that reaches a server shortly before its deadline is no evidence against it.
    pub fn for_timeout(waited: Duration, needed: Duration) -> EngineVerdict {
        // Timers may fire up to 2 ms early.
        let is_enough = waited + Duration::from_millis(2) >= needed;
        if is_enough { EngineVerdict::Silent } else { EngineVerdict::Undecided }
    }
}

/// A host's estimates for one backend server, as hosts exchange them.
#[message]
pub struct EngineEstimate {
    /// Server that the estimates are for.
    pub tag: EngineTag,
    /// Estimated probability that the server fails a request, in percent.
    pub failure_percent: u8,
    /// Measured step time relative to the time that the latency model predicts, in percent; 100 is
    /// as predicted.
    pub slowdown_percent: u16,
}

/// State of one backend server.
#[value]
pub struct EngineRecord {
    /// Latest entry of the server in discovery.
    pub entry: EngineEntry,
    /// Hash of the entry, summed up in the table's digest.
    digest: u64,
    /// Revision at which the entry last changed in content. Servers rewrite their entries
    /// periodically, which changes only the entry's own revision.
    changed_revision: StoreRevision,
    /// Failure probability from this host's attempts, as of `failure_updated`.
    failure: f64,
    failure_updated: Time,
    /// Failure probability that a peer reported last, as of `reported_at`.
    reported_failure: f64,
    /// Slowdown that a peer reported last, as of `reported_at`.
    reported_slowdown: f64,
    reported_at: Time,
    /// Slowdown that this host measured, as of `slowdown_updated`.
    slowdown: f64,
    slowdown_updated: Time,
    /// Revision at which the entry was absent during an outage of the store or the grace period
    /// after it.
    missing: Option<StoreRevision>,
    /// Whether another instance was found at the server's address.
    replaced: bool,
}

impl EngineRecord {
    fn new(entry: EngineEntry, now: Time) -> EngineRecord {
        EngineRecord {
            digest: entry.digest(),
            changed_revision: entry.revision,
            entry,
            failure: 0.0,
            failure_updated: now,
            reported_failure: 0.0,
            reported_slowdown: 1.0,
            reported_at: now,
            slowdown: 1.0,
            slowdown_updated: now,
            missing: None,
            replaced: false,
        }
    }

    /// Returns the estimated probability that the server fails the next request: the greater of
    /// this host's own estimate and the last one of a peer, both decayed to `now`.
    pub fn failure_probability(&self, now: Time) -> f64 {
        let reported = decayed(self.reported_failure, now.since(self.reported_at));
        self.own_failure(now).max(reported)
    }

    fn own_failure(&self, now: Time) -> f64 {
        decayed(self.failure, now.since(self.failure_updated))
    }

    /// Returns the step time relative to the cost model: the greater of this host's own measurement
    /// and the last one of a peer, both decayed to `now`. 1.0 is as predicted.
    pub fn slowdown(&self, now: Time) -> f64 {
        let reported = 1.0 + decayed(self.reported_slowdown - 1.0, now.since(self.reported_at));
        self.own_slowdown(now).max(reported)
    }

    /// Returns this host's measurement, which decays to 1.0 so that a slow server is tried again.
    fn own_slowdown(&self, now: Time) -> f64 {
        1.0 + decayed(self.slowdown - 1.0, now.since(self.slowdown_updated))
    }
}

/// Returns `value` after exponential decay over `age`.
fn decayed(value: f64, age: Duration) -> f64 {
    value * (-age.as_secs_f64() / ESTIMATE_DECAY.as_secs_f64()).exp()
}

/// The known backend servers by tag.
#[derive(Debug, Default)]
pub struct FleetTable {
    engines: BTreeMap<EngineTag, EngineRecord>,
    /// Sum of the digests of all entries.
    digest: u64,
    /// Entries that went missing during an outage of the store.
    missing_count: usize,
    notices: NoticeTable,
    limits: LimitTable,
    /// Failure domains whose servers get no new work.
    evacuated: BTreeSet<Arc<str>>,
    cold: ColdTable,
    list: ListState,
    /// What is known of removed entries, so that neither a delayed older update nor a copy restores
    /// them.
    tombstones: BTreeMap<EngineTag, Tombstone>,
    /// Era of the store, and since when.
    era: EraKeeper,
    /// Time for which the entry of a silent server stays in the store.
    entry_lifetime: Duration,
    /// Whether an entry of the list that may be a copy was passed over.
    has_withheld: bool,
    store_lost: bool,
    /// When the store last became reachable again.
    store_regained: Option<Time>,
}

impl FleetTable {
    /// Creates an empty table for the host `me`.
    pub fn new(me: HostTag) -> FleetTable {
        FleetTable { notices: NoticeTable::new(me), ..FleetTable::default() }
    }

    /// Records that the store became unreachable or reachable again.
    pub fn set_store_lost(&mut self, now: Time, is_lost: bool) {
        self.store_lost = is_lost;
        if !is_lost {
            self.store_regained = Some(now);
        }
    }

    /// Applies a full listing of discovery that was read at `revision`. Returns the servers that
    /// were removed because the listing does not contain them.
    pub fn apply_snapshot(
        &mut self,
        now: Time,
        entries: Vec<EngineEntry>,
        revision: StoreRevision,
    ) -> Vec<EngineTag> {
        let listed: Vec<_> = entries.iter().map(EngineEntry::tag).collect();
        self.has_withheld = false;
        for entry in entries {
            self.upsert(now, entry);
        }
        let missing: Vec<_> =
            self.engines.keys().filter(|tag| !listed.contains(tag)).copied().collect();
        missing.into_iter().filter(|tag| self.remove(now, *tag, revision)).collect()
    }

    /// Adds or updates an entry. Returns whether the server is new, restarted, or changed between
    /// ready and leaving. An entry older than the known one or than its tombstone is ignored.
    ///
    /// A restart is recognised by another start time or address and resets all estimates.
    pub fn upsert(&mut self, now: Time, entry: EngineEntry) -> bool {
        let tag = entry.tag();
        if self.is_withheld(now, tag, &entry) {
            return false;
        }
        let entry = self.with_known_state(now, tag, entry);
        match self.engines.get_mut(&tag) {
            Some(record) if record.entry.revision > entry.revision => false,
            Some(record)
                if record.entry.started_ms == entry.started_ms
                    && record.entry.address == entry.address =>
            {
                let is_state_changed = record.entry.is_leaving != entry.is_leaving;
                if !record.entry.eq_ignoring_revision(&entry) {
                    record.changed_revision = entry.revision;
                }
                self.digest = self.digest.wrapping_sub(record.digest);
                record.digest = entry.digest();
                self.digest = self.digest.wrapping_add(record.digest);
                record.entry = entry;
                self.missing_count -= usize::from(record.missing.take().is_some());
                is_state_changed
            }
            _ => {
                // What a host finds in its first list may have run for any time.
                let is_new = self.engines.contains_key(&tag) || self.list_age(now).is_some();
                self.cold.observe_process(now, &entry, is_new);
                let record = EngineRecord::new(entry, now);
                self.digest = self.digest.wrapping_add(record.digest);
                let replaced = self.engines.insert(tag, record);
                self.discount(replaced);
                true
            }
        }
    }

    /// Handles an entry that this host's call to the store no longer found at `revision`. Returns
    /// whether the server was removed.
    ///
    /// An entry newer than `revision` stays. During an outage of the store and the grace period
    /// after it, the entry of a server that is not leaving is only marked as missing.
    pub fn remove(&mut self, now: Time, tag: EngineTag, revision: StoreRevision) -> bool {
        let is_grace = self.store_lost || self.is_grace_period(now);
        let Some(record) = self.engines.get_mut(&tag) else { return false };
        if is_grace && !record.entry.is_leaving && record.entry.revision <= revision {
            self.missing_count += usize::from(record.missing.is_none());
            record.missing.get_or_insert(revision);
            return false;
        }
        self.remove_reported(tag, revision)
    }

    /// Removes a server that a peer knows to be gone at `revision`. Returns whether it was removed;
    /// an entry newer than `revision` stays.
    ///
    /// Peers report only removals that they saw without an outage, so this host's own access to the
    /// store does not matter.
    pub fn remove_reported(&mut self, tag: EngineTag, revision: StoreRevision) -> bool {
        if self.engines.get(&tag).is_none_or(|record| record.entry.revision > revision) {
            return false;
        }
        let removed = self.engines.remove(&tag);
        if let Some(record) = &removed {
            self.tombstones.insert(tag, Tombstone::new(&record.entry, revision));
        }
        self.discount(removed);
        if self.tombstones.len() > TOMBSTONE_LIMIT {
            self.tombstones.pop_first();
        }
        true
    }

    /// Takes a removed record out of the digest and the count of missing entries.
    fn discount(&mut self, removed: Option<EngineRecord>) {
        let Some(record) = removed else { return };
        self.digest = self.digest.wrapping_sub(record.digest);
        self.missing_count -= usize::from(record.missing.is_some());
    }

    fn is_grace_period(&self, now: Time) -> bool {
        self.store_regained.is_some_and(|at| now.since(at) < REREGISTRATION_GRACE)
    }

    /// Returns a digest of the entries, which two hosts compare to find out whether their tables
    /// agree. It does not depend on the order of the entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the changes after `revision`, oldest first.
    pub fn changes_after(&self, revision: StoreRevision) -> Vec<FleetChange> {
        let changed = self.engines.values().filter(|record| record.changed_revision > revision);
        let entries = changed.map(|record| {
            let entry = EngineEntry { revision: record.changed_revision, ..record.entry.clone() };
            FleetChange::Entry(entry)
        });
        let removed = self.tombstones.iter().map(|(tag, tombstone)| (*tag, tombstone.revision));
        let removed = removed.filter(|(_, at)| *at > revision);
        let removed = removed.map(|(tag, revision)| FleetChange::Removed { tag, revision });
        let mut changes: Vec<_> = entries.chain(removed).collect();
        changes.sort_unstable_by_key(FleetChange::revision);
        changes
    }

    /// Returns whether the table holds this entry, whatever its revision.
    pub fn has_entry(&self, entry: &EngineEntry) -> bool {
        let Some(record) = self.engines.get(&entry.tag()) else { return false };
        record.entry.eq_ignoring_revision(entry) && record.missing.is_none()
    }

    /// Removes the servers that did not register again within the grace period after an outage of
    /// the store. Returns their tags.
    pub fn expire(&mut self, now: Time) -> Vec<EngineTag> {
        if self.store_lost || self.is_grace_period(now) {
            return Vec::new();
        }
        let missing = self.engines.iter().filter_map(|(tag, record)| Some((*tag, record.missing?)));
        let missing: Vec<_> = missing.collect();
        missing
            .into_iter()
            .filter(|(tag, revision)| self.remove_reported(*tag, *revision))
            .map(|(tag, _)| tag)
            .collect()
    }

    /// Updates the failure estimate of a server after an attempt. Returns the new estimate of this
    /// host, or 1.0 if the server is unknown.
    pub fn record_attempt(&mut self, now: Time, tag: EngineTag, verdict: EngineVerdict) -> f64 {
        let Some(record) = self.engines.get_mut(&tag) else { return 1.0 };
        let before = record.own_failure(now);
        record.failure = match verdict {
            EngineVerdict::Good => before * (1.0 - FAILURE_WEIGHT),
            EngineVerdict::Failed => before + (1.0 - before) * FAILURE_WEIGHT,
            EngineVerdict::Silent | EngineVerdict::Unreachable => before.max(SILENT_FAILURE),
            EngineVerdict::Full | EngineVerdict::Undecided => before,
            EngineVerdict::Replaced => {
                record.replaced = true;
                1.0
            }
        };
        if verdict == EngineVerdict::Good {
            record.reported_failure *= 1.0 - FAILURE_WEIGHT;
        }
        record.failure_updated = now;
        record.failure
    }

    /// Updates the measured slowdown of a server: a step took `ratio` times as long as the
    /// latency model predicts.
    pub fn record_slowdown(&mut self, now: Time, tag: EngineTag, ratio: f64) {
        let Some(record) = self.engines.get_mut(&tag) else { return };
        let before = record.own_slowdown(now);
        let slowdown = before + (ratio - before) * SLOWDOWN_WEIGHT;
        record.slowdown_updated = now;
        record.slowdown = slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
    }

    /// Stores a peer's estimate in place of the last one from any peer.
    pub fn merge_estimate(&mut self, now: Time, estimate: &EngineEstimate) {
        let Some(record) = self.engines.get_mut(&estimate.tag) else { return };
        record.reported_failure = f64::from(estimate.failure_percent) / 100.0;
        record.reported_slowdown = f64::from(estimate.slowdown_percent) / 100.0;
        record.reported_at = now;
    }

    /// Returns this host's estimates for servers that fail, are slow or sent a notice, for its
    /// peers.
    ///
    /// Estimates of other hosts are left out, so that hosts cannot reinforce one another's reports.
    pub fn estimates(&self, now: Time) -> Vec<EngineEstimate> {
        let measured = self.engines.iter().map(|(tag, record)| {
            let noticed = self.notices.reported_failure(now, *tag, &record.entry);
            let failure = record.own_failure(now).max(noticed);
            (*tag, failure, record.own_slowdown(now))
        });
        let relevant = measured.filter(|(_, failure, slowdown)| {
            *failure >= MIN_REPORTED_FAILURE || *slowdown >= MIN_REPORTED_SLOWDOWN
        });
        let estimates = relevant.map(|(tag, failure, slowdown)| EngineEstimate {
            tag,
            failure_percent: (failure * 100.0) as u8,
            slowdown_percent: (slowdown * 100.0) as u16,
        });
        estimates.collect()
    }

    /// Returns the record of a server.
    pub fn get(&self, tag: EngineTag) -> Option<&EngineRecord> {
        self.engines.get(&tag)
    }

    /// Returns all servers in the order of their tags.
    pub fn iter(&self) -> impl Iterator<Item = (EngineTag, &EngineRecord)> {
        self.engines.iter().map(|(tag, record)| (*tag, record))
    }

    /// Returns the servers of a service that may get new requests, in the order of their tags.
    pub fn usable<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = (EngineTag, &'a EngineRecord)> {
        let of_service = self.iter().filter(move |(_, record)| &*record.entry.service == service);
        of_service.filter(move |(tag, record)| self.accepts_work(now, *tag, record))
    }
}
