//! Engines that are cold: for some time after their start they take few requests.
//!
//! [`ColdTable`] owns what this host knows of cold engines: statements of the engines themselves in
//! their entries and responses, processes that were first seen during traffic, failure domains that
//! were readmitted after an evacuation, and reports of peers. A cold engine has a request limit,
//! which starts and ends with [`FleetTable::refresh_cold`]. Without cold settings nothing is
//! recorded and no engine is limited.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{message, value};

use super::{EngineEntry, EngineRecord, EngineTag, FleetTable, RequestRate};
use crate::{era::StoreRevision, time::Time};

/// Longest cold time that is accepted; longer ones are cut to this.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(600);
/// Least difference by which a peer's report replaces what is known. Each hop adds the latency of a
/// datagram to the times in a report, so smaller differences would add up as hosts exchange them.
const REPORT_TOLERANCE: Duration = Duration::from_millis(500);
/// Time for which a change is reported to peers, several heartbeat periods.
const REPORT_TERM: Duration = Duration::from_millis(2_500);
/// Most processes that are kept.
const PROCESS_LIMIT: usize = 20_000;

/// How long the engines of a service are cold after their start, and what a cold one takes.
#[value]
#[derive(Copy)]
pub struct ColdStart {
    /// Time for which a new process counts as cold unless it states otherwise.
    pub time: Duration,
    /// Requests that a cold engine takes from all hosts together.
    pub rate: RequestRate,
}

/// What a host knows of the cold time of a process, as hosts exchange it. Times are ages and
/// durations in microseconds, because hosts do not share a clock.
#[message]
pub struct ColdReport {
    /// Engine that the report is about.
    pub engine: EngineTag,
    /// Start of the engine's process in Unix milliseconds by its own clock.
    pub started_ms: u64,
    /// Rest of the cold time by the engine's own statements, and the age of the latest one; `None`
    /// without a statement.
    pub stated_us: Option<(u64, u64)>,
    /// Time since the process was first seen, if that was during traffic.
    pub seen_us: Option<u64>,
    /// Time since the engine's failure domain was readmitted after an evacuation.
    pub readmitted_us: Option<u64>,
}

/// An engine that became cold or warm.
#[value]
#[derive(Copy)]
pub struct ColdChange {
    /// The engine.
    pub engine: EngineTag,
    /// End of the cold time as known so far, and the request limit until then; `None` if the engine
    /// is warm.
    pub limit: Option<(Time, RequestRate)>,
}

/// One process of an engine: its tag and start time.
type ProcessKey = (EngineTag, u64);

/// What is known of the cold time of one process.
#[value]
#[derive(Copy, Default)]
struct ColdState {
    /// Latest end of the cold time that the engine stated.
    stated_until: Time,
    /// Time of the engine's latest statement.
    stated_at: Option<Time>,
    /// When the process was first seen, if that was during traffic.
    seen: Option<Time>,
    /// When the engine's failure domain was last readmitted.
    readmitted: Option<Time>,
    /// Revision of the entry that made the latest statement.
    entry_revision: StoreRevision,
    /// When this last changed on this host.
    changed: Time,
}

impl ColdState {
    /// Returns the end of the cold time, for engines that are cold for `time` after their start.
    /// Any statement replaces the assumption about a new process, and one that was made since
    /// replaces the assumption about a readmitted domain.
    fn end(&self, time: Duration) -> Time {
        let seen = self.seen.filter(|_| self.stated_at.is_none());
        let readmitted = self.readmitted.filter(|since| self.stated_at < Some(*since));
        let assumed = seen.max(readmitted).map_or(Time::ZERO, |since| since + time);
        self.stated_until.max(assumed)
    }

    fn state(&mut self, now: Time, made: Time, until: Time) {
        let is_ending = self.readmitted > self.stated_at && self.readmitted <= Some(made);
        let is_later = until > now && until > self.stated_until + REPORT_TOLERANCE;
        if self.stated_at.is_none() || is_ending || is_later {
            self.changed = now;
        }
        self.stated_until = self.stated_until.max(until);
        self.stated_at = self.stated_at.max(Some(made));
    }
}

/// What is known of cold engines.
#[derive(Debug, Default)]
pub(super) struct ColdTable {
    /// Services with cold engines.
    services: BTreeMap<Arc<str>, ColdStart>,
    /// Whether the deployment has cold engines. The configuration, with the services, may arrive
    /// later than the first entries.
    is_enabled: bool,
    processes: BTreeMap<ProcessKey, ColdState>,
    /// Engines that are cold, with the end of their cold time and their limit.
    active: BTreeMap<EngineTag, (Time, RequestRate)>,
}

impl ColdTable {
    /// Returns the state of a process, which is created if the table has none.
    fn process(&mut self, now: Time, key: ProcessKey) -> &mut ColdState {
        if self.processes.len() >= PROCESS_LIMIT && !self.processes.contains_key(&key) {
            let oldest = self.processes.iter().min_by_key(|(_, state)| state.changed);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| self.processes.remove(&key));
        }
        let first = ColdState { changed: now, ..ColdState::default() };
        self.processes.entry(key).or_insert(first)
    }

    /// Returns the limit of a cold engine.
    pub(super) fn rate(&self, tag: EngineTag) -> Option<RequestRate> {
        self.active.get(&tag).map(|(_, rate)| *rate)
    }

    /// Records an entry with a process that the table of engines does not hold. `is_new` tells
    /// whether the process started during traffic, as far as this host can know.
    pub(super) fn observe_process(&mut self, now: Time, entry: &EngineEntry, is_new: bool) {
        if !self.is_enabled {
            return;
        }
        let key = (entry.tag(), entry.started_ms);
        // A process without a start time is recognised by its address only.
        let is_known = entry.started_ms > 0 && self.processes.contains_key(&key);
        let state = self.process(now, key);
        if is_new && !is_known {
            *state = ColdState { seen: Some(now), changed: now, ..ColdState::default() };
        }
    }
}

impl FleetTable {
    /// Sets whether the deployment has cold engines; it has none by default.
    pub fn enable_cold(&mut self, is_enabled: bool) {
        self.cold.is_enabled = is_enabled;
    }

    /// Sets the services with cold engines and the limits of these.
    pub fn set_cold_services(&mut self, services: BTreeMap<Arc<str>, ColdStart>) {
        self.cold.services = services;
    }

    /// Records that the entry of a process, written at `revision`, states how much longer it stays
    /// cold. The entry itself may arrive later than this. A revision that is not later than the
    /// known one says nothing new, as lists are read repeatedly. Neither does a warm entry that may
    /// come from a copy of the store.
    pub fn record_cold_entry(
        &mut self,
        now: Time,
        tag: EngineTag,
        started_ms: u64,
        left: Duration,
        revision: StoreRevision,
    ) {
        if !self.cold.is_enabled {
            return;
        }
        let key = (tag, started_ms);
        let known = self.cold.processes.get(&key).copied().unwrap_or_default().entry_revision;
        let is_copy = known > StoreRevision::default() && self.may_be_copied(now, revision, known);
        if revision <= known || (left.is_zero() && is_copy) {
            return;
        }
        let state = self.cold.process(now, key);
        state.entry_revision = revision;
        state.state(now, now, now + left.min(MAX_COLD_TIME));
    }

    /// Records how much longer an engine stays cold, by a response to this host.
    pub fn record_cold_response(&mut self, now: Time, tag: EngineTag, left: Duration) {
        let Some(record) = self.engines.get(&tag).filter(|_| self.cold.is_enabled) else { return };
        let key = (tag, record.entry.started_ms);
        self.cold.process(now, key).state(now, now, now + left.min(MAX_COLD_TIME));
    }

    /// Marks the engines of a failure domain as cold when its evacuation is withdrawn. Returns the
    /// number of engines whose service has a cold time.
    pub fn warm_up_domain(&mut self, now: Time, failure_domain: &str) -> usize {
        if !self.cold.is_enabled {
            return 0;
        }
        let is_affected = |record: &EngineRecord| {
            let entry = &record.entry;
            *entry.failure_domain == *failure_domain
                && self.cold.services.contains_key(&entry.service)
        };
        let affected = self.engines.iter().filter(|(_, record)| is_affected(record));
        let keys: Vec<_> = affected.map(|(tag, record)| (*tag, record.entry.started_ms)).collect();
        for key in &keys {
            let state = self.cold.process(now, *key);
            (state.readmitted, state.changed) = (Some(now), now);
        }
        keys.len()
    }

    /// Stores a peer's report. The latest end of a cold time counts.
    pub fn merge_cold(&mut self, now: Time, report: &ColdReport) {
        if !self.cold.is_enabled {
            return;
        }
        let ago = |age_us: u64| Time(now.0.saturating_sub(age_us));
        let is_later =
            |known: Option<Time>, at: Time| known.is_none_or(|known| at > known + REPORT_TOLERANCE);
        let state = self.cold.process(now, (report.engine, report.started_ms));
        if let Some(at) = report.readmitted_us.map(ago)
            && is_later(state.readmitted, at)
        {
            (state.readmitted, state.changed) = (Some(at), now);
        }
        if let Some(at) = report.seen_us.map(ago)
            && state.seen.is_none()
        {
            (state.seen, state.changed) = (Some(at), now);
        }
        if let Some((left, age)) = report.stated_us {
            let until = now + Duration::from_micros(left).min(MAX_COLD_TIME);
            let is_longer = left > 0 && is_later(Some(state.stated_until), until);
            if is_later(state.stated_at, ago(age)) || is_longer {
                let until = if left > 0 { until } else { state.stated_until };
                state.state(now, ago(age), until);
            }
        }
    }

    /// Returns up to `count` reports for this host's peers, the latest first: those that changed
    /// lately, or for a host that knows other cold engines all that are cold.
    pub fn cold_reports(&self, now: Time, count: usize, is_full: bool) -> Vec<ColdReport> {
        let is_cold = |key: &ProcessKey| {
            let record = self.engines.get(&key.0);
            self.cold.active.contains_key(&key.0)
                && record.is_some_and(|record| record.entry.started_ms == key.1)
        };
        let is_telling = |state: &ColdState| {
            state.stated_at.is_some() || state.seen.is_some() || state.readmitted.is_some()
        };
        let processes = self.cold.processes.iter().filter(|(key, state)| {
            let is_recent = now.since(state.changed) < REPORT_TERM;
            is_telling(state) && (is_recent || (is_full && is_cold(key)))
        });
        let mut recent: Vec<_> = processes.collect();
        recent.sort_unstable_by_key(|(_, state)| std::cmp::Reverse(state.changed));
        let micros = |duration: Duration| duration.as_micros() as u64;
        let age = |at: Time| micros(now.since(at));
        let report = |(key, state): (&ProcessKey, &ColdState)| ColdReport {
            engine: key.0,
            started_ms: key.1,
            stated_us: state.stated_at.map(|at| (micros(state.stated_until.since(now)), age(at))),
            seen_us: state.seen.map(age),
            readmitted_us: state.readmitted.map(age),
        };
        recent.into_iter().take(count).map(report).collect()
    }

    /// Starts and ends the limits of cold engines. Returns the changes.
    pub fn refresh_cold(&mut self, now: Time) -> Vec<ColdChange> {
        if self.cold.active.is_empty() && self.cold.services.is_empty() {
            return Vec::new();
        }
        let cold_limit = |(tag, record): (&EngineTag, &EngineRecord)| {
            let service = self.cold.services.get(&record.entry.service)?;
            let state = self.cold.processes.get(&(*tag, record.entry.started_ms))?;
            let end = state.end(service.time);
            (end > now).then_some((*tag, (end, service.rate)))
        };
        let is_used = self.cold.is_enabled;
        let engines = self.engines.iter().filter(|_| is_used);
        let active: BTreeMap<_, _> = engines.filter_map(cold_limit).collect();
        let before = std::mem::replace(&mut self.cold.active, active);
        let active = &self.cold.active;
        let began = active.iter().filter(|(tag, _)| !before.contains_key(tag));
        let ended = before.keys().filter(|tag| !active.contains_key(tag));
        let ended = ended.map(|tag| ColdChange { engine: *tag, limit: None });
        let began = began.map(|(tag, limit)| ColdChange { engine: *tag, limit: Some(*limit) });
        began.chain(ended).collect()
    }

    /// Returns the limit of a process that is cold or unknown to this host, for the issuer of its
    /// permits. `None` if the process is known to be warm or its service has no cold engines.
    pub fn cold_rate(&self, tag: EngineTag, started_ms: u64) -> Option<RequestRate> {
        let entry = &self.engines.get(&tag)?.entry;
        if entry.started_ms == started_ms {
            return self.cold.rate(tag);
        }
        let service = self.cold.services.get(&entry.service).filter(|_| self.cold.is_enabled);
        service.map(|service| service.rate)
    }

    /// Returns whether an engine is cold.
    pub fn is_cold(&self, tag: EngineTag) -> bool {
        self.cold.active.contains_key(&tag)
    }

    /// Returns the number of cold engines.
    pub fn cold_count(&self) -> usize {
        self.cold.active.len()
    }

    /// Returns a digest of the cold processes, by which hosts find out whether they know the same.
    pub fn cold_digest(&self) -> u64 {
        let cold = self.cold.active.keys().filter_map(|tag| Some((tag, self.engines.get(tag)?)));
        let digests = cold.map(|(tag, record)| {
            (tag.0 ^ record.entry.started_ms).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        digests.fold(0, u64::wrapping_add)
    }
}
