//! Decides which backend servers may get work, and how likely each is to fail it.
//!
//! Owns one record per backend server: what discovery says of it, what answers showed, and what the
//! server said of itself. Health
//! checks are not asked, as they may be false; answers of requests decide. When discovery stops,
//! the last list stays. Entries that vanish while the store was away get a short time to return.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::{roster::HostTag, time::Time};

mod notice;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod tests;

use notice::NoticeTable;
pub use notice::{NoticeChange, ServerNotice};

/// Time after the store's return in which entries that lapsed meanwhile come back.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);
/// Weight of one answer in the failure estimate.
const FAILURE_WEIGHT: f64 = 0.35;
/// Time in which a failure estimate falls to about a third without further answers.
const FAILURE_MEMORY: Duration = Duration::from_secs(4);
/// Estimate under which failures are taken for chance and not told to peers.
pub const MIN_REPORTED_FAILURE: f64 = 0.05;
/// Pace from which a server is told to peers as slow.
const MIN_REPORTED_SLOWDOWN: f64 = 1.5;
/// Estimate of a server whose requests all go unanswered.
const SILENT_FAILURE: f64 = 0.95;
/// Weight of one measurement in the pace.
const PACE_WEIGHT: f64 = 0.3;
/// Gone servers that are remembered.
const REMOVED_LIMIT: usize = 1_000;
/// Bounds of the pace estimate.
const PACE_RANGE: (f64, f64) = (0.5, 20.0);

/// A backend server process: the hash of its instance id.
#[key]
pub struct EngineTag(pub u64);

impl EngineTag {
    /// The tag of an instance.
    pub fn from_id(id: &str) -> EngineTag {
        EngineTag(hash_name(id))
    }
}

/// A stable hash of a name that hosts share instead of the name.
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight bytes"))
}

/// What discovery says of a backend server.
#[message]
pub struct EngineEntry {
    /// Instance id.
    pub id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Start of the process, in milliseconds of its own clock; 0 if not told.
    pub started_ms: u64,
    /// Revision of the store at which the entry was written.
    pub revision: u64,
}

impl EngineEntry {
    /// The tag of the instance.
    pub fn tag(&self) -> EngineTag {
        EngineTag::from_id(&self.id)
    }

    /// Whether two entries differ in nothing but their revision.
    fn says_the_same(&self, other: &EngineEntry) -> bool {
        EngineEntry { revision: other.revision, ..self.clone() } == *other
    }

    fn digest(&self) -> u64 {
        hash_name(&format!("{} {} {}", self.tag().0, self.is_leaving, self.started_ms))
    }
}

/// A change of the table, as other hosts are told.
#[value]
pub enum FleetChange {
    /// An entry is new or changed.
    Entry(EngineEntry),
    /// An entry is gone.
    Removed {
        /// Instance.
        tag: EngineTag,
        /// The store's revision.
        revision: u64,
    },
}

impl FleetChange {
    /// The store's revision at the change.
    fn revision(&self) -> u64 {
        match self {
            FleetChange::Entry(entry) => entry.revision,
            FleetChange::Removed { revision, .. } => *revision,
        }
    }
}

/// How an attempt at a backend server ended, as far as the server is to blame.
#[key]
pub enum EngineVerdict {
    /// It answered.
    Good,
    /// It broke off, answered nonsense or an error of its own.
    Failed,
    /// It did not answer in time.
    Silent,
    /// It did not answer, but had too little time for it.
    Undecided,
    /// No connection came about.
    Unreachable,
    /// It was full and did not run the request.
    Full,
    /// Another instance has its address.
    Replaced,
}

impl EngineVerdict {
    /// The verdict on a server that was silent for a time, where a sound one needs at most `needed`.
    /// A request that comes to it shortly before its end says nothing about the server.
    pub fn for_timeout(waited: Duration, needed: Duration) -> EngineVerdict {
        // Timers may fire a little early.
        let is_enough = waited + Duration::from_millis(2) >= needed;
        if is_enough { EngineVerdict::Silent } else { EngineVerdict::Undecided }
    }
}

/// What hosts tell each other of a backend server.
#[message]
pub struct EngineEstimate {
    /// Server.
    pub tag: EngineTag,
    /// Estimated chance that it fails a request, in percent.
    pub failure_percent: u8,
    /// Time it takes in relation to its model, in percent.
    pub slowdown_percent: u16,
}

/// One backend server.
#[value]
pub struct EngineRecord {
    /// What discovery says.
    pub entry: EngineEntry,
    /// Part of the table's digest.
    digest: u64,
    /// The store's revision at the last change of anything but the revision: servers write their
    /// entries again and again.
    changed: u64,
    /// Chance of failure at `judged`; falls with time.
    failure: f64,
    judged: Time,
    /// The same, as peers tell it.
    heard_failure: f64,
    /// Pace as peers tell it.
    heard_pace: f64,
    heard: Time,
    /// Measured time in relation to the model.
    pace: f64,
    paced: Time,
    /// When it vanished from discovery while the store was away.
    lapsed: Option<Time>,
    replaced: bool,
}

impl EngineRecord {
    fn new(entry: EngineEntry, now: Time) -> EngineRecord {
        EngineRecord {
            digest: entry.digest(),
            changed: entry.revision,
            entry,
            failure: 0.0,
            judged: now,
            heard_failure: 0.0,
            heard_pace: 1.0,
            heard: now,
            pace: 1.0,
            paced: now,
            lapsed: None,
            replaced: false,
        }
    }

    /// Estimated chance that it fails the next request.
    pub fn failure_probability(&self, now: Time) -> f64 {
        self.own_failure(now).max(faded(self.heard_failure, now.since(self.heard)))
    }

    fn own_failure(&self, now: Time) -> f64 {
        faded(self.failure, now.since(self.judged))
    }

    /// Time it takes in relation to its model. What peers tell counts for a while.
    pub fn slowdown(&self, now: Time) -> f64 {
        let heard = 1.0 + faded(self.heard_pace - 1.0, now.since(self.heard));
        self.own_pace(now).max(heard)
    }

    /// The measured pace; it returns to the model's, so that a slow server is tried again.
    fn own_pace(&self, now: Time) -> f64 {
        1.0 + faded(self.pace - 1.0, now.since(self.paced))
    }
}

fn faded(chance: f64, age: Duration) -> f64 {
    chance * (-age.as_secs_f64() / FAILURE_MEMORY.as_secs_f64()).exp()
}

/// The known backend servers.
#[derive(Debug, Default)]
pub struct FleetTable {
    engines: BTreeMap<EngineTag, EngineRecord>,
    notices: NoticeTable,
    /// Revisions at which entries went, so that late news do not bring them back.
    removed: BTreeMap<EngineTag, u64>,
    store_lost: bool,
    regained: Option<Time>,
}

impl FleetTable {
    /// An empty table of a host.
    pub fn new(me: HostTag) -> FleetTable {
        FleetTable { notices: NoticeTable::new(me), ..FleetTable::default() }
    }

    /// The store was lost or answers again.
    pub fn set_store_lost(&mut self, now: Time, is_lost: bool) {
        self.store_lost = is_lost;
        if !is_lost {
            self.regained = Some(now);
        }
    }

    /// Discovery was read as a whole at a revision. Returns the servers that are gone.
    pub fn apply_snapshot(
        &mut self,
        now: Time,
        entries: Vec<EngineEntry>,
        revision: u64,
    ) -> Vec<EngineTag> {
        let listed: Vec<_> = entries.iter().map(EngineEntry::tag).collect();
        for entry in entries {
            self.upsert(now, entry);
        }
        let missing: Vec<_> =
            self.engines.keys().filter(|tag| !listed.contains(tag)).copied().collect();
        missing.into_iter().filter(|tag| self.remove(now, *tag, revision)).collect()
    }

    /// Discovery shows an entry. Returns whether it is new, leaves or has started again.
    pub fn upsert(&mut self, now: Time, entry: EngineEntry) -> bool {
        let tag = entry.tag();
        if self.removed.get(&tag).is_some_and(|removed| *removed >= entry.revision) {
            return false;
        }
        match self.engines.get_mut(&tag) {
            Some(record) if record.entry.revision > entry.revision => false,
            Some(record)
                if record.entry.started_ms == entry.started_ms
                    && record.entry.address == entry.address =>
            {
                let is_news = record.entry.is_leaving != entry.is_leaving;
                if !record.entry.says_the_same(&entry) {
                    record.changed = entry.revision;
                }
                record.digest = entry.digest();
                record.entry = entry;
                record.lapsed = None;
                is_news
            }
            _ => {
                self.engines.insert(tag, EngineRecord::new(entry, now));
                true
            }
        }
    }

    /// Discovery no longer shows an entry since a revision. Returns whether the server is gone now.
    pub fn remove(&mut self, now: Time, tag: EngineTag, revision: u64) -> bool {
        let may_return =
            self.store_lost || self.regained.is_some_and(|at| now.since(at) < REREGISTRATION_GRACE);
        let Some(record) = self.engines.get_mut(&tag) else { return false };
        if record.entry.revision > revision {
            return false;
        }
        if may_return && !record.entry.is_leaving {
            record.lapsed.get_or_insert(now);
            return false;
        }
        self.engines.remove(&tag);
        self.removed.insert(tag, revision);
        if self.removed.len() > REMOVED_LIMIT {
            self.removed.pop_first();
        }
        true
    }

    /// A number that two hosts share if they have the same entries.
    pub fn digest(&self) -> u64 {
        let listed = self.engines.iter().filter(|(_, record)| record.lapsed.is_none());
        listed.map(|(_, record)| record.digest).fold(0, u64::wrapping_add)
    }

    /// Revision of the newest change that is known.
    pub fn newest_revision(&self) -> u64 {
        let entries = self.engines.values().map(|record| record.changed);
        entries.chain(self.removed.values().copied()).max().unwrap_or_default()
    }

    /// Changes after a revision, oldest first.
    pub fn changes_after(&self, revision: u64) -> Vec<FleetChange> {
        let listed = self.engines.values().filter(|record| record.lapsed.is_none());
        let entries = listed.filter(|record| record.changed > revision).map(|record| {
            let entry = EngineEntry { revision: record.changed, ..record.entry.clone() };
            FleetChange::Entry(entry)
        });
        let removed = self.removed.iter().filter(|(_, at)| **at > revision);
        let removed = removed.map(|(tag, at)| FleetChange::Removed { tag: *tag, revision: *at });
        let mut changes: Vec<_> = entries.chain(removed).collect();
        changes.sort_unstable_by_key(FleetChange::revision);
        changes
    }

    /// Whether an entry says nothing new.
    pub fn has_entry(&self, entry: &EngineEntry) -> bool {
        let record = self.engines.get(&entry.tag());
        record.is_some_and(|record| record.entry.says_the_same(entry) && record.lapsed.is_none())
    }

    /// Drops servers that did not return after the store did. Returns them.
    pub fn expire(&mut self, now: Time) -> Vec<EngineTag> {
        if self.store_lost || self.regained.is_some_and(|at| now.since(at) < REREGISTRATION_GRACE) {
            return Vec::new();
        }
        let lapsed: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, record)| record.lapsed.is_some())
            .map(|(tag, _)| *tag)
            .collect();
        for tag in &lapsed {
            self.engines.remove(tag);
        }
        lapsed
    }

    /// An attempt at the server ended. Returns the new estimate.
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
            record.heard_failure *= 1.0 - FAILURE_WEIGHT;
        }
        record.judged = now;
        record.failure
    }

    /// A step took `ratio` times as long as the model says.
    pub fn record_slowdown(&mut self, now: Time, tag: EngineTag, ratio: f64) {
        let Some(record) = self.engines.get_mut(&tag) else { return };
        let before = record.own_pace(now);
        let pace = before + (ratio - before) * PACE_WEIGHT;
        record.paced = now;
        record.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
    }

    /// A peer's opinion arrived.
    pub fn merge_estimate(&mut self, now: Time, opinion: &EngineEstimate) {
        let Some(record) = self.engines.get_mut(&opinion.tag) else { return };
        record.heard_failure = f64::from(opinion.failure_percent) / 100.0;
        record.heard_pace = f64::from(opinion.slowdown_percent) / 100.0;
        record.heard = now;
    }

    /// What this host has seen of failing servers, for its peers.
    pub fn estimates(&self, now: Time) -> Vec<EngineEstimate> {
        let told = self.engines.iter().map(|(tag, record)| {
            let told = self.notices.told_failure(now, *tag, &record.entry);
            let failure = record.own_failure(now).max(told);
            (*tag, failure, record.own_pace(now))
        });
        let noted = told.filter(|(_, failure, pace)| {
            *failure >= MIN_REPORTED_FAILURE || *pace >= MIN_REPORTED_SLOWDOWN
        });
        let opinions = noted.map(|(tag, failure, pace)| EngineEstimate {
            tag,
            failure_percent: (failure * 100.0) as u8,
            slowdown_percent: (pace * 100.0) as u16,
        });
        opinions.collect()
    }

    /// The record of a server.
    pub fn get(&self, tag: EngineTag) -> Option<&EngineRecord> {
        self.engines.get(&tag)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (EngineTag, &EngineRecord)> {
        self.engines.iter().map(|(tag, record)| (*tag, record))
    }

    /// Usable servers of a service.
    pub fn usable<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = (EngineTag, &'a EngineRecord)> {
        let of_service = self.iter().filter(move |(_, one)| &*one.entry.service == service);
        of_service.filter(move |(tag, record)| self.accepts_work(now, *tag, record))
    }
}
