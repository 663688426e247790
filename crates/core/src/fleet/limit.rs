//! Request limits that backend servers name in their responses.
//!
//! A limit is the rate of requests that a server takes from all hosts together. [`LimitTable`] owns
//! what this host knows of limits, from responses to its own requests and from reports of peers.
//! Of two statements about a server the later one counts. A limit applies to one process of a
//! server and stays in effect, however old, until a later response names another one or none.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{key, message, value};

use super::{
    EngineTag, FleetTable,
    notice::{NoticeChange, ServerProcess, process},
};
use crate::time::Time;

/// Lowest limit that is applied, in thousandths of a request per second. A server that names less
/// still gets a request now and then, as only a response can end the limit.
const MIN_MILLI_RATE: u32 = 100;
/// Time for which a new or changed statement is reported to peers, several heartbeat periods.
const REPORT_TERM: Duration = Duration::from_millis(2_500);
/// Time for which the end of a limit is reported to hosts that may not have heard of it.
const END_REPORT_TERM: Duration = Duration::from_secs(60);
/// Most statements that are kept.
const STATEMENT_LIMIT: usize = 20_000;

/// A rate of requests, in thousandths of a request per second.
#[key]
pub struct RequestRate(u32);

impl RequestRate {
    /// Returns the rate of a limit of `rate` requests per second, or `None` if it is negative or
    /// not a finite number. Rates below a tenth of a request per second are raised to that.
    pub fn from_per_second(rate: f64) -> Option<RequestRate> {
        let is_valid = rate.is_finite() && rate >= 0.0;
        is_valid.then(|| RequestRate(((rate * 1e3) as u32).max(MIN_MILLI_RATE)))
    }

    /// Returns the rate in requests per second, which is never 0.
    pub fn per_second(self) -> f64 {
        // A peer may have sent any number.
        f64::from(self.0.max(MIN_MILLI_RATE)) / 1e3
    }
}

/// What a response says about the request limit of its server.
#[value]
#[derive(Copy, Default)]
pub enum LimitNotice {
    /// Nothing: the response may come from elsewhere, or the value is not valid.
    #[default]
    Unknown,
    /// The server names no limit.
    Absent,
    /// The server takes this rate from all hosts together.
    Rate(RequestRate),
}

/// The latest statement about the limit of a server, as hosts exchange it.
#[message]
pub struct LimitReport {
    /// Server that the statement is about.
    pub server: EngineTag,
    /// Start of the server's process in Unix milliseconds by its own clock.
    pub started_ms: u64,
    /// The limit; `None` if the server no longer names one.
    pub rate: Option<RequestRate>,
    /// Age of the statement in microseconds, because hosts do not share a clock.
    pub age_us: u64,
}

/// The latest statement about the limit of a server's process.
#[value]
#[derive(Copy)]
struct LimitStatement {
    /// `None` if the server no longer names a limit.
    rate: Option<RequestRate>,
    /// Latest time at which the statement is known to have held.
    as_of: Time,
    /// When the rate last changed on this host.
    changed: Time,
}

/// The latest statements about the limits of all servers.
#[derive(Debug, Default)]
pub(super) struct LimitTable {
    statements: BTreeMap<ServerProcess, LimitStatement>,
}

impl LimitTable {
    /// Stores a statement unless a later one is known. Returns whether the limit changed.
    fn apply(
        &mut self,
        now: Time,
        process: ServerProcess,
        rate: Option<RequestRate>,
        as_of: Time,
    ) -> bool {
        let known = self.statements.get(&process).copied();
        let known_rate = known.and_then(|known| known.rate);
        if known.is_some_and(|known| known.as_of >= as_of) || (known.is_none() && rate.is_none()) {
            return false;
        }
        let is_changed = known_rate != rate;
        let changed = known.map_or(now, |known| if is_changed { now } else { known.changed });
        self.statements.insert(process, LimitStatement { rate, as_of, changed });
        if self.statements.len() > STATEMENT_LIMIT {
            let oldest = self.statements.iter().min_by_key(|(_, statement)| statement.as_of);
            let oldest = oldest.map(|(process, _)| *process);
            oldest.map(|process| self.statements.remove(&process));
        }
        is_changed
    }
}

impl FleetTable {
    /// Returns the request limit of a server: the lower one of what it names and what a cold engine
    /// takes, if any.
    pub fn limit(&self, tag: EngineTag) -> Option<RequestRate> {
        let (named, cold) = (self.named_limit(tag), self.cold.rate(tag));
        named.into_iter().chain(cold).min()
    }

    /// Returns the request limit that a server names, if any.
    fn named_limit(&self, tag: EngineTag) -> Option<RequestRate> {
        if self.limits.statements.is_empty() {
            return None;
        }
        let record = self.engines.get(&tag)?;
        self.limits.statements.get(&process(tag, &record.entry))?.rate
    }

    /// Returns the start time of a limited server's process, its limit and the age of that
    /// knowledge, as they are sent to the issuer of its permits.
    pub fn limit_with_age(
        &self,
        now: Time,
        tag: EngineTag,
    ) -> Option<(u64, RequestRate, Duration)> {
        let entry = &self.engines.get(&tag)?.entry;
        if let Some(rate) = self.cold.rate(tag) {
            // That an engine is cold follows from what this host knows now.
            return Some((entry.started_ms, rate.min(self.limit(tag)?), Duration::ZERO));
        }
        let statement = self.limits.statements.get(&process(tag, entry))?;
        Some((entry.started_ms, statement.rate?, now.since(statement.as_of)))
    }

    /// Stores what a response to a request that was sent at `sent` says about the limit. Returns
    /// the change, if any.
    ///
    /// Responses on different connections may overtake one another, so only a response to a request
    /// that was sent after the limit was last named can end it.
    pub(super) fn record_limit(
        &mut self,
        now: Time,
        sent: Time,
        tag: EngineTag,
        notice: LimitNotice,
    ) -> Option<NoticeChange> {
        let record = self.engines.get(&tag)?;
        let (rate, as_of) = match notice {
            LimitNotice::Unknown => return None,
            LimitNotice::Absent => (None, sent),
            LimitNotice::Rate(rate) => (Some(rate), now),
        };
        let process = process(tag, &record.entry);
        self.limits.apply(now, process, rate, as_of).then_some(NoticeChange::Limited(rate))
    }

    /// Stores a peer's statement about a limit. Returns whether the limit changed. A statement about
    /// another process of the server than the known one is ignored.
    pub fn merge_limit(&mut self, now: Time, report: &LimitReport) -> bool {
        let Some(record) = self.engines.get(&report.server) else { return false };
        let process = process(report.server, &record.entry);
        let as_of = Time(now.0.saturating_sub(report.age_us));
        record.entry.started_ms == report.started_ms
            && self.limits.apply(now, process, report.rate, as_of)
    }

    /// Returns up to `count` statements for this host's peers, the latest first: those that changed
    /// lately, or for a host that knows other limits all that hold or ended lately.
    pub fn limit_reports(&self, now: Time, count: usize, is_full: bool) -> Vec<LimitReport> {
        let is_reported = |statement: &LimitStatement| {
            let age = now.since(statement.changed);
            let is_known = statement.rate.is_some() || age < END_REPORT_TERM;
            age < REPORT_TERM || (is_full && is_known)
        };
        let mut recent: Vec<_> =
            self.limits.statements.iter().filter(|(_, one)| is_reported(one)).collect();
        recent.sort_unstable_by_key(|(_, statement)| std::cmp::Reverse(statement.changed));
        let report = |(process, statement): (&ServerProcess, &LimitStatement)| LimitReport {
            server: process.0,
            started_ms: process.1,
            rate: statement.rate,
            age_us: now.since(statement.as_of).as_micros() as u64,
        };
        recent.into_iter().take(count).map(report).collect()
    }

    /// Returns a digest of the limits that hold, by which hosts find out whether they know the same.
    pub fn limits_digest(&self) -> u64 {
        if self.limits.statements.is_empty() {
            return 0;
        }
        let limits = self.engines.iter().filter_map(|(tag, record)| {
            let RequestRate(rate) = self.named_limit(*tag)?;
            Some((tag.0 ^ record.entry.started_ms).wrapping_mul(u64::from(rate) | 1 << 33))
        });
        limits.fold(0, u64::wrapping_add)
    }

    /// Returns the number of servers that name a limit.
    pub fn limited_count(&self) -> usize {
        self.engines.keys().filter(|tag| self.named_limit(**tag).is_some()).count()
    }
}
