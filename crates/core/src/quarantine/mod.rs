//! Finds parts of prompts and whole requests that crash engines, and keeps them from the engines.
//!
//! A part is suspect if an engine process ended while a request with the part had not begun to be
//! answered. A whole request counts as the deepest of its parts; it is suspect until its answer is
//! complete, and an answer to another request does not speak for it. [`PartQuarantine`] owns the
//! suspect parts of all hosts with the processes that ended, and when requests with a part were
//! last answered. A part is in quarantine once enough processes ended under it, in separate
//! incidents, since it was last answered. Hosts exchange [`PartReport`]s; merging them gives the
//! same result in any order. A part leaves quarantine when a request with it is answered, an
//! operator lifts it, or its last incident is long past.

use std::{collections::BTreeMap, fmt, time::Duration};

use parsley_macros::{key, value};

use crate::{
    fleet::{EngineTag, hash_name},
    time::Time,
};

mod message;
#[cfg(test)]
mod spread_tests;
#[cfg(test)]
mod tests;

pub use message::{PartReport, PartStatus, QuarantineOutput};

/// Incidents after which a part is in quarantine if no request with it was ever answered.
const INCIDENT_LIMIT: usize = 3;
/// The same if a request with the part was answered, which speaks for the part.
const ANSWERED_INCIDENT_LIMIT: usize = 5;
/// Processes that end within this time count as one incident. All engines of a failure domain may
/// end at once for reasons of their own.
const INCIDENT_SPACING: Duration = Duration::from_millis(250);
/// Time after its last incident at which a part is forgotten, and for which answers are remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Time after an answer within which a crash does not make the part suspect on the same host.
const ANSWER_PROTECTION: Duration = Duration::from_secs(10);
/// Reports may seem later by the time that they were in flight.
const REPORT_SKEW: Duration = Duration::from_millis(50);
/// Most suspect parts that are kept.
const SUSPECT_LIMIT: usize = 1_024;
/// Most ended processes that are kept of one part.
const CRASH_LIMIT: usize = 8;
/// Most answered parts that are kept.
const ANSWERED_LIMIT: usize = 8_192;
/// Most parts of one request that are looked at, itself included.
pub const PART_LIMIT: usize = 64;

/// Identifies a part of a prompt by its id, or a whole request by a hash of its content.
#[key]
pub struct PartTag(pub u64);

impl PartTag {
    /// Returns the tag of a part's id: its value, or its hash if it is not a hexadecimal number of
    /// 64 bits.
    pub fn from_id(id: &str) -> PartTag {
        let is_hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(id, 16).ok().filter(|_| is_hex);
        PartTag(value.unwrap_or_else(|| hash_name(id)))
    }

    /// Returns the tag of a whole request: a hash of the fields that identify it, such as its
    /// caller, target and body.
    pub fn of_request(fields: &[&[u8]]) -> PartTag {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes()).update(field);
        }
        let hash = hasher.finalize();
        PartTag(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight bytes")))
    }
}

impl fmt::Display for PartTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies one process of an engine.
#[key]
pub struct ProcessTag(pub u64);

impl ProcessTag {
    /// Returns the tag of the process of `engine` that started at `started_ms`.
    pub fn new(engine: EngineTag, started_ms: u64) -> ProcessTag {
        ProcessTag(hash_name(&format!("{} {started_ms}", engine.0)))
    }
}

/// What is known of a suspect part.
#[value]
#[derive(Default)]
struct PartRecord {
    /// Processes that ended under the part, and when.
    crashes: BTreeMap<ProcessTag, Time>,
    /// Greatest position of the part in a prompt.
    depth: u8,
    /// Latest time at which the part is known to have been harmless. Earlier crashes do not count.
    cleared: Option<Time>,
    /// Since when the part has been in quarantine.
    quarantined: Option<Time>,
    /// Whether this host saw one of the crashes.
    is_own: bool,
}

impl PartRecord {
    fn latest(&self) -> Option<Time> {
        self.crashes.values().copied().max().max(self.cleared)
    }

    fn is_dismissed(&self, crashed: Time) -> bool {
        self.cleared.is_some_and(|cleared| crashed <= cleared + REPORT_SKEW)
    }

    /// Adds a crash unless it is known. Above the limit, it takes the place of one that adds no
    /// incident. Returns whether it was added.
    fn add_crash(&mut self, process: ProcessTag, at: Time) -> bool {
        if self.crashes.contains_key(&process) || self.is_dismissed(at) {
            return false;
        }
        let before = self.incidents(&[]);
        self.crashes.insert(process, at);
        if self.crashes.len() <= CRASH_LIMIT {
            return true;
        }
        let added = if self.incidents(&[]) > before { self.redundant_crash() } else { None };
        let removed = added.unwrap_or(process);
        self.crashes.remove(&removed);
        removed != process
    }

    /// Returns a crash that belongs to the incident of an earlier one.
    fn redundant_crash(&self) -> Option<ProcessTag> {
        let mut crashes: Vec<_> =
            self.crashes.iter().map(|(process, at)| (*at, *process)).collect();
        crashes.sort_unstable();
        let pairs = crashes.iter().zip(crashes.iter().skip(1));
        let mut redundant = pairs.filter(|(one, next)| next.0.since(one.0) < INCIDENT_SPACING);
        redundant.next().map(|(_, (_, process))| *process)
    }

    /// Dismisses the crashes up to `at`. Returns whether that changed anything but a time.
    fn clear(&mut self, at: Time) -> bool {
        let (before, was_cleared) = (self.crashes.len(), self.cleared.is_some());
        self.cleared = self.cleared.max(Some(at));
        let cleared = self.cleared.unwrap_or(at);
        self.crashes.retain(|_, crashed| *crashed > cleared + REPORT_SKEW);
        self.crashes.len() != before || !was_cleared
    }

    /// Number of separate incidents among the crashes of processes not in `explained`.
    fn incidents(&self, explained: &[ProcessTag]) -> usize {
        let crashes = self.crashes.iter().filter(|(process, _)| !explained.contains(process));
        let mut times: Vec<_> = crashes.map(|(_, at)| *at).collect();
        times.sort_unstable();
        let mut last: Option<Time> = None;
        let mut count = 0;
        for at in times {
            if last.is_none_or(|last| at.since(last) >= INCIDENT_SPACING) {
                (last, count) = (Some(at), count + 1);
            }
        }
        count
    }

    fn incident_limit(&self) -> usize {
        if self.cleared.is_some() { ANSWERED_INCIDENT_LIMIT } else { INCIDENT_LIMIT }
    }
}

/// The suspect parts, and those in quarantine.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: BTreeMap<PartTag, PartRecord>,
    /// When this host last saw a request with a part begin to be answered.
    answered: BTreeMap<PartTag, Time>,
}

impl PartQuarantine {
    /// Returns whether one of these parts may be blamed for a crash: none of its requests was
    /// answered on this host just now.
    pub fn may_suspect(&self, now: Time, parts: &[PartTag]) -> bool {
        parts.iter().take(PART_LIMIT).any(|part| !self.is_protected(now, *part))
    }

    fn is_protected(&self, now: Time, part: PartTag) -> bool {
        self.last_answer(now, part).is_some_and(|at| now.since(at) < ANSWER_PROTECTION)
    }

    /// Records that a process ended under a request, of which these parts, in their order, may be
    /// blamed: all while the request had not begun to be answered, later only the whole request.
    pub fn record_crash(
        &mut self,
        now: Time,
        process: ProcessTag,
        parts: &[PartTag],
    ) -> Vec<QuarantineOutput> {
        let mut reports = Vec::new();
        for (depth, part) in parts.iter().take(PART_LIMIT).enumerate() {
            if self.is_protected(now, *part) {
                continue;
            }
            let answered = self.last_answer(now, *part);
            let record = self.records.entry(*part).or_default();
            record.depth = record.depth.max(depth as u8);
            record.is_own = true;
            answered.into_iter().for_each(|at| _ = record.clear(at));
            if record.add_crash(process, now) {
                reports.push(*part);
            }
        }
        self.evict();
        let changes = self.update(now);
        let reports = reports.into_iter().filter_map(|part| self.report(now, part));
        reports.map(QuarantineOutput::Broadcast).chain(changes).collect()
    }

    /// Records that a request with these parts began to be answered.
    pub fn record_answer(&mut self, now: Time, parts: &[PartTag]) -> Vec<QuarantineOutput> {
        let parts = &parts[..parts.len().min(PART_LIMIT)];
        parts.iter().for_each(|part| _ = self.answered.insert(*part, now));
        if self.answered.len() > ANSWERED_LIMIT {
            self.forget_oldest_answers();
        }
        self.clear_suspects(now, parts)
    }

    /// Records that the answer to a whole request is complete. That is remembered only of a suspect
    /// one, as most requests never come again.
    pub fn record_completion(&mut self, now: Time, request: PartTag) -> Vec<QuarantineOutput> {
        self.clear_suspects(now, &[request])
    }

    /// Dismisses the crashes under these parts.
    fn clear_suspects(&mut self, now: Time, parts: &[PartTag]) -> Vec<QuarantineOutput> {
        let mut cleared = Vec::new();
        for part in parts {
            if let Some(record) = self.records.get_mut(part)
                && !record.crashes.is_empty()
            {
                record.clear(now);
                cleared.push(*part);
            }
        }
        if cleared.is_empty() {
            return Vec::new();
        }
        self.broadcast_cleared(now, cleared)
    }

    /// Lifts the quarantine of a part, and dismisses the crashes under which it was suspect for all
    /// parts that shared them.
    pub fn lift(&mut self, now: Time, part: PartTag) -> Vec<QuarantineOutput> {
        let Some(record) = self.records.get(&part) else { return Vec::new() };
        let processes: Vec<_> = record.crashes.keys().copied().collect();
        let shares =
            |record: &PartRecord| processes.iter().any(|it| record.crashes.contains_key(it));
        let sharing = self.records.iter().filter(|(_, record)| shares(record));
        let sharing: Vec<_> = sharing.map(|(part, _)| *part).collect();
        for part in &sharing {
            self.records.get_mut(part).into_iter().for_each(|record| _ = record.clear(now));
        }
        self.broadcast_cleared(now, sharing)
    }

    fn broadcast_cleared(&mut self, now: Time, parts: Vec<PartTag>) -> Vec<QuarantineOutput> {
        let changes = self.update(now);
        let reports = parts.into_iter().filter_map(|part| self.report(now, part));
        reports.map(QuarantineOutput::Broadcast).chain(changes).collect()
    }

    /// Merges a peer's report.
    ///
    /// If this host knows the part to be harmless, it replies to the peer; the host that saw the
    /// crash then tells all others.
    pub fn merge(&mut self, now: Time, report: &PartReport) -> Vec<QuarantineOutput> {
        let since = |age_ms: u32| now - Duration::from_millis(age_ms.into());
        let is_recent = |age_ms: u32| Duration::from_millis(age_ms.into()) < RETENTION;
        let answered = self.last_answer(now, report.part);
        let record = self.records.entry(report.part).or_default();
        record.depth = record.depth.max(report.depth);
        let told = report.cleared_ms.filter(|age| is_recent(*age)).map(since);
        let is_cleared = told.is_some_and(|at| record.clear(at));
        let crashes = report.crashes.iter().filter(|(_, age)| is_recent(*age));
        for (process, age_ms) in crashes.take(CRASH_LIMIT) {
            record.add_crash(*process, since(*age_ms));
        }
        let known = record.cleared.max(answered);
        let is_unknown_to_peer = known.is_some_and(|at| {
            told.is_none_or(|told| at > told + ANSWER_PROTECTION) && !report.crashes.is_empty()
        });
        if is_unknown_to_peer {
            known.into_iter().for_each(|at| _ = record.clear(at));
        }
        let must_tell = is_cleared && record.is_own;
        if record.latest().is_none() {
            self.records.remove(&report.part);
        }
        self.evict();
        let mut outputs = self.update(now);
        if is_unknown_to_peer {
            outputs.extend(self.report(now, report.part).map(QuarantineOutput::Reply));
        }
        if must_tell {
            outputs.extend(self.report(now, report.part).map(QuarantineOutput::Broadcast));
        }
        outputs
    }

    /// Forgets parts and answers that are long past.
    pub fn expire(&mut self, now: Time) -> Vec<QuarantineOutput> {
        self.answered.retain(|_, at| now.since(*at) < RETENTION);
        let is_kept =
            |record: &PartRecord| record.latest().is_some_and(|at| now.since(at) < RETENTION);
        let forgotten = self.records.iter().filter(|(_, record)| !is_kept(record));
        let released = forgotten.filter(|(_, record)| record.quarantined.is_some());
        let released: Vec<_> =
            released.map(|(part, _)| QuarantineOutput::Released(*part)).collect();
        self.records.retain(|_, record| is_kept(record));
        released
    }

    /// Returns the first of these parts that is in quarantine, and for how long it will be.
    pub fn find_quarantined(&self, now: Time, parts: &[PartTag]) -> Option<(PartTag, Duration)> {
        if self.records.is_empty() {
            return None;
        }
        parts.iter().take(PART_LIMIT).find_map(|part| {
            let record = self.records.get(part).filter(|record| record.quarantined.is_some())?;
            let end = record.latest()? + RETENTION;
            Some((*part, end.since(now)))
        })
    }

    /// Returns whether engines ended under one of these parts in more than one incident, so that
    /// a request with them should not be sent to another one.
    pub fn is_suspect(&self, parts: &[PartTag]) -> bool {
        let record = |part| self.records.get(part);
        parts.iter().filter_map(record).any(|record| record.crashes.len() > 1)
    }

    /// Returns a digest of the parts under which more than one process ended, by which hosts find
    /// out whether their reports arrived. Of a part in quarantine the processes do not matter.
    pub fn digest(&self) -> u64 {
        let repeated = self.records.iter().filter(|(_, record)| record.crashes.len() > 1);
        let digests = repeated.map(|(part, record)| {
            let processes = record.crashes.keys().map(|process| process.0);
            let processes = match record.quarantined {
                Some(_) => 1,
                None => processes.fold(0, u64::wrapping_add),
            };
            (part.0 ^ processes).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns up to `count` reports, of the parts with most crashes first.
    pub fn reports(&self, now: Time, count: usize) -> Vec<PartReport> {
        let mut parts: Vec<_> = self.records.iter().collect();
        parts.sort_unstable_by_key(|(part, record)| {
            (std::cmp::Reverse((record.crashes.len(), record.latest())), **part)
        });
        parts.into_iter().take(count).filter_map(|(part, _)| self.report(now, *part)).collect()
    }

    /// Returns the parts in quarantine.
    pub fn quarantined(&self, now: Time) -> Vec<PartStatus> {
        let quarantined = self.records.iter().filter_map(|(part, record)| {
            let since = record.quarantined?;
            Some(PartStatus {
                part: *part,
                age: now.since(since),
                left: (record.latest()? + RETENTION).since(now),
                crashes: record.crashes.len(),
            })
        });
        quarantined.collect()
    }

    /// Returns the number of suspect parts, those in quarantine included.
    pub fn suspect_count(&self) -> usize {
        self.records.values().filter(|record| !record.crashes.is_empty()).count()
    }

    fn last_answer(&self, now: Time, part: PartTag) -> Option<Time> {
        self.answered.get(&part).copied().filter(|at| now.since(*at) < RETENTION)
    }

    fn report(&self, now: Time, part: PartTag) -> Option<PartReport> {
        let record = self.records.get(&part)?;
        let millis = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Some(PartReport {
            part,
            depth: record.depth,
            crashes: record.crashes.iter().map(|(process, at)| (*process, millis(*at))).collect(),
            cleared_ms: record.cleared.map(millis),
        })
    }

    /// Decides which parts are in quarantine. Parts with more crashes are decided first, and of
    /// those with as many the deeper one, which fewer requests share: crashes that it explains
    /// speak against no other part.
    fn update(&mut self, now: Time) -> Vec<QuarantineOutput> {
        let mut suspects: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes.len() >= record.incident_limit())
            .filter(|(_, record)| record.incidents(&[]) >= record.incident_limit())
            .map(|(part, record)| (record.crashes.len(), record.depth, *part))
            .collect();
        suspects.sort_unstable_by(|one, other| other.cmp(one));
        let mut explained = Vec::new();
        let mut quarantined = Vec::new();
        for (_, _, part) in suspects {
            let Some(record) = self.records.get(&part) else { continue };
            if record.incidents(&explained) >= record.incident_limit() {
                explained.extend(record.crashes.keys().copied());
                quarantined.push(part);
            }
        }
        let mut outputs = Vec::new();
        for (part, record) in &mut self.records {
            let is_quarantined = quarantined.contains(part);
            if is_quarantined && record.quarantined.is_none() {
                record.quarantined = Some(now);
                let crashes = record.crashes.len();
                outputs.push(QuarantineOutput::Quarantined { part: *part, crashes });
            } else if !is_quarantined && record.quarantined.take().is_some() {
                outputs.push(QuarantineOutput::Released(*part));
            }
        }
        outputs
    }

    /// Drops the parts with the fewest and oldest crashes above the limit.
    fn evict(&mut self) {
        while self.records.len() > SUSPECT_LIMIT {
            let least = self.records.iter().min_by_key(|(_, record)| {
                (record.quarantined.is_some(), record.crashes.len(), record.latest())
            });
            let Some((part, _)) = least else { return };
            let part = *part;
            self.records.remove(&part);
        }
    }

    /// Drops the older half of the answers, so that the cost of doing so is rare.
    fn forget_oldest_answers(&mut self) {
        let mut times: Vec<_> = self.answered.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.answered.retain(|_, at| *at > median);
    }
}
