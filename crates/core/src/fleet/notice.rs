//! Notices that backend servers put into their answers: that they are leaving, that they want no
//! requests for some time, or that they limit the rate of requests.
//!
//! Notices are stored apart from discovery entries because they outlive them: an entry that still
//! says ready, expires or is registered again does not cancel a notice. A notice applies to one
//! process of a server. After a restart, recognised by another start time or address, it no longer
//! applies. Other hosts learn of a notice only through a higher failure estimate. A pause ends by
//! itself when its time is over.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use parsley_macros::{key, value};

use super::{EngineEntry, EngineRecord, EngineTag, FleetTable, LimitNotice, RequestRate};
use crate::{roster::HostTag, time::Time};

/// Longest accepted pause; longer ones are cut to this.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// Greatest jitter on a pause, as a fraction of the pause.
const PAUSE_JITTER: f64 = 0.25;
/// Time for which notices are kept. A leaving server may go on serving for minutes while its entry
/// expires and is registered again.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);
/// Most leaving servers that are kept.
const LEAVING_LIMIT: usize = 1_000;
/// Failure probability that is reported to peers for a leaving server.
const LEAVING_FAILURE: f64 = 0.9;
/// Failure probability that is reported to peers for a server that asked this host for a pause. It
/// is low because the server may still have capacity for other hosts.
const PAUSED_FAILURE: f64 = 0.3;

/// A notice of a backend server about itself, taken from one of its answers.
#[value]
#[derive(Copy, Default)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this host.
    pub pause: Option<Duration>,
    /// Rate of requests that the server takes from all hosts together.
    pub limit: LimitNotice,
    /// How much longer the server stays cold, if it says so.
    pub cold_left: Option<Duration>,
}

/// Returns the pause that a value of `Retry-After` names in seconds, with fractions. `None` if it is
/// not positive or not a number, as a date.
pub fn pause_in_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok().filter(|seconds| *seconds > 0.0)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Change that a notice caused.
#[key]
pub enum NoticeChange {
    /// The server was not yet known to be leaving.
    Leaving,
    /// The server gets no requests from this host until the given time.
    Paused(Time),
    /// The server takes this rate of requests from all hosts together; `None` if it no longer names
    /// a limit.
    Limited(Option<RequestRate>),
}

/// One process of a server: its tag, start time and address.
pub(super) type ServerProcess = (EngineTag, u64, SocketAddr);

/// Returns the process of an entry. The tag is a parameter because hashing the id is too expensive
/// to repeat on every comparison of servers.
pub(super) fn process(tag: EngineTag, entry: &EngineEntry) -> ServerProcess {
    (tag, entry.started_ms, entry.address)
}

/// The notices of all servers that are still in effect.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
    /// Tag of this host, which determines its jitter.
    me: u64,
    leaving: BTreeMap<ServerProcess, Time>,
    pauses: BTreeMap<ServerProcess, ServerPause>,
}

#[value]
#[derive(Copy)]
struct ServerPause {
    until: Time,
    /// Whether the server has served a request since `until`.
    is_over: bool,
}

impl NoticeTable {
    /// Creates an empty table for the host `me`.
    pub(super) fn new(me: HostTag) -> NoticeTable {
        NoticeTable { me: me.0, ..NoticeTable::default() }
    }

    /// Returns whether this process of a server announced that it is leaving.
    fn is_leaving(&self, tag: EngineTag, entry: &EngineEntry) -> bool {
        !self.leaving.is_empty() && self.leaving.contains_key(&process(tag, entry))
    }

    /// Returns the end of a server's pause, if it asked for one and has not served a request since.
    fn paused_until(&self, tag: EngineTag, entry: &EngineEntry) -> Option<Time> {
        if self.pauses.is_empty() {
            return None;
        }
        let pause = self.pauses.get(&process(tag, entry)).filter(|pause| !pause.is_over);
        pause.map(|pause| pause.until)
    }

    /// Returns the failure probability that peers are sent because of a server's notices; 0 without
    /// a notice in effect.
    pub(super) fn reported_failure(&self, now: Time, tag: EngineTag, entry: &EngineEntry) -> f64 {
        match self.paused_until(tag, entry) {
            _ if self.is_leaving(tag, entry) => LEAVING_FAILURE,
            Some(until) if until > now => PAUSED_FAILURE,
            _ => 0.0,
        }
    }

    /// Stores a notice. A pause never shortens the one in effect.
    fn apply(
        &mut self,
        now: Time,
        process: ServerProcess,
        notice: &ServerNotice,
    ) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.is_leaving && self.leaving.insert(process, now).is_none() {
            changes.push(NoticeChange::Leaving);
        }
        if let Some(pause) = notice.pause {
            // Jitter by host and server keeps the hosts from returning to a server all at once.
            let mix = (self.me ^ process.0.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let jitter = mix as f64 / f64::from(u32::MAX);
            let pause = pause.min(LONGEST_PAUSE).mul_f64(1.0 + PAUSE_JITTER * jitter);
            let before = self.pauses.get(&process).map_or(Time::ZERO, |pause| pause.until);
            let until = before.max(now + pause);
            self.pauses.insert(process, ServerPause { until, is_over: false });
            if until > before {
                changes.push(NoticeChange::Paused(until));
            }
        }
        changes
    }

    /// Drops notices that are older than [`NOTICE_RETENTION`] or no longer in effect, and the
    /// oldest leaving servers above [`LEAVING_LIMIT`].
    fn purge(&mut self, now: Time) {
        self.leaving.retain(|_, noticed| now.since(*noticed) < NOTICE_RETENTION);
        while self.leaving.len() > LEAVING_LIMIT {
            let oldest = self.leaving.iter().min_by_key(|(_, noticed)| **noticed);
            let oldest = oldest.map(|(process, _)| *process);
            oldest.map(|process| self.leaving.remove(&process));
        }
        let is_kept = |pause: &ServerPause| now.since(pause.until) < NOTICE_RETENTION;
        self.pauses.retain(|_, pause| !pause.is_over && is_kept(pause));
    }
}

impl FleetTable {
    /// Stores a notice from a server's answer to a request that was sent at `sent`. Returns the
    /// changes; none if the server is unknown.
    pub fn record_notice(
        &mut self,
        now: Time,
        sent: Time,
        tag: EngineTag,
        notice: &ServerNotice,
    ) -> Vec<NoticeChange> {
        let Some(record) = self.engines.get(&tag) else { return Vec::new() };
        self.notices.purge(now);
        let mut changes = self.notices.apply(now, process(tag, &record.entry), notice);
        changes.extend(self.record_limit(now, sent, tag, notice.limit));
        if let Some(left) = notice.cold_left {
            self.record_cold_response(now, tag, left);
        }
        changes
    }

    /// Records that a server began to serve a request, which closes a pause whose time is over.
    pub fn record_served(&mut self, now: Time, tag: EngineTag) {
        let Some(record) = self.engines.get(&tag) else { return };
        if let Some(pause) = self.notices.pauses.get_mut(&process(tag, &record.entry)) {
            pause.is_over = pause.until <= now;
        }
    }

    /// Returns whether a server may get new requests.
    pub fn is_usable(&self, now: Time, tag: EngineTag) -> bool {
        self.engines.get(&tag).is_some_and(|record| self.accepts_work(now, tag, record))
    }

    /// Returns whether a server is neither leaving nor replaced. It may be paused.
    pub fn is_serving(&self, tag: EngineTag) -> bool {
        self.engines.get(&tag).is_some_and(|record| self.is_staying(tag, record))
    }

    fn is_staying(&self, tag: EngineTag, record: &EngineRecord) -> bool {
        let entry = &record.entry;
        !entry.is_leaving && !record.replaced && !self.notices.is_leaving(tag, entry)
    }

    pub(super) fn accepts_work(&self, now: Time, tag: EngineTag, record: &EngineRecord) -> bool {
        let until = self.notices.paused_until(tag, &record.entry);
        self.is_staying(tag, record)
            && !self.is_domain_evacuated(record)
            && until.is_none_or(|until| until <= now)
    }

    /// Sets the failure domains whose servers get no new work.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Arc<str>>) {
        self.evacuated = domains;
    }

    fn is_domain_evacuated(&self, record: &EngineRecord) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(&record.entry.failure_domain)
    }

    /// Returns whether all servers of a service that are neither leaving nor replaced are in
    /// evacuated failure domains; `false` if there are none.
    pub fn is_evacuated(&self, service: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let of_service = self.iter().filter(|(_, record)| &*record.entry.service == service);
        let mut staying = of_service.filter(|(tag, record)| self.is_staying(*tag, record));
        let Some((_, first)) = staying.next() else { return false };
        self.is_domain_evacuated(first)
            && staying.all(|(_, record)| self.is_domain_evacuated(record))
    }

    /// Returns whether a known server is in the failure domain.
    pub fn has_domain(&self, domain: &str) -> bool {
        self.engines.values().any(|record| &*record.entry.failure_domain == domain)
    }

    /// Returns whether the pause of a server is over but no request has been served since. Like the
    /// half-open state of a circuit breaker, this allows one trial request.
    pub fn is_half_open(&self, now: Time, tag: EngineTag) -> bool {
        let Some(record) = self.engines.get(&tag) else { return false };
        self.notices.paused_until(tag, &record.entry).is_some_and(|until| until <= now)
    }

    /// Returns the end of the pause that ends first among the service's paused servers, without
    /// those in `excluded`. `None` if no server is paused.
    pub fn next_pause_end(&self, now: Time, service: &str, excluded: &[EngineTag]) -> Option<Time> {
        let is_candidate = |(tag, record): &(EngineTag, &EngineRecord)| {
            let is_of_service = &*record.entry.service == service;
            let may_serve = self.is_staying(*tag, record) && !self.is_domain_evacuated(record);
            is_of_service && may_serve && !excluded.contains(tag)
        };
        let candidates = self.iter().filter(is_candidate);
        let pauses =
            candidates.filter_map(|(tag, record)| self.notices.paused_until(tag, &record.entry));
        pauses.filter(|until| *until > now).min()
    }
}
