//! What backend servers said of themselves in their answers: that they leave, or that they want
//! nothing for a time.
//!
//! Owns these notices apart from what discovery says, as they outlive it: an entry that still says
//! ready, lapses or returns does not undo them. A notice binds one process of a server; the next
//! one, which has another start or address, is not bound by it. Other hosts are told by a worse
//! estimate only. Without further answers a pause ends by itself.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use parsley_macros::{key, value};

use super::{EngineEntry, EngineRecord, EngineTag, FleetTable};
use crate::{roster::HostTag, time::Time};

/// Longest pause that is kept; a server that asks for more is asked again after it.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// Part of a pause over which the hosts return to a server.
const RETURN_SPREAD: f64 = 0.25;
/// Time for which a leaving server is remembered: it may serve on for long, and its entry may come
/// and go meanwhile.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);
/// Leaving servers that are remembered.
const LEAVING_LIMIT: usize = 1_000;
/// Chance of failure of a leaving server as peers are told it.
const LEAVING_ESTIMATE: f64 = 0.9;
/// The same for one that asked this host for a pause: it may have room for others.
const PAUSED_ESTIMATE: f64 = 0.3;

/// What a server said of itself in an answer.
#[value]
#[derive(Copy, Default)]
pub struct ServerNotice {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it wants nothing from this host.
    pub pause: Option<Duration>,
}

/// What a notice changed.
#[key]
pub enum NoticeChange {
    /// Nothing was known of its leaving before.
    Leaving,
    /// It is asked nothing until then.
    Paused(Time),
}

/// One process of a server.
type ServerProcess = (EngineTag, u64, SocketAddr);

/// The process of an entry. The tag is handed in, as its hash is dear and servers are compared often.
fn process(tag: EngineTag, entry: &EngineEntry) -> ServerProcess {
    (tag, entry.started_ms, entry.address)
}

/// The notices of all servers.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
    /// This host, which decides when it returns to a server.
    me: u64,
    leaving: BTreeMap<ServerProcess, Time>,
    pauses: BTreeMap<ServerProcess, ServerPause>,
}

#[value]
#[derive(Copy)]
struct ServerPause {
    until: Time,
    /// Whether it has served since.
    is_over: bool,
}

impl NoticeTable {
    /// A board of a host.
    pub(super) fn new(me: HostTag) -> NoticeTable {
        NoticeTable { me: me.0, ..NoticeTable::default() }
    }

    /// Whether this process of a server said that it leaves.
    fn is_leaving(&self, tag: EngineTag, entry: &EngineEntry) -> bool {
        !self.leaving.is_empty() && self.leaving.contains_key(&process(tag, entry))
    }

    /// Until when a server wants nothing, if it said so and has not served since.
    fn paused_until(&self, tag: EngineTag, entry: &EngineEntry) -> Option<Time> {
        if self.pauses.is_empty() {
            return None;
        }
        let pause = self.pauses.get(&process(tag, entry)).filter(|pause| !pause.is_over);
        pause.map(|pause| pause.until)
    }

    /// A server's estimate as peers are told it because of its notices.
    pub(super) fn told_failure(&self, now: Time, tag: EngineTag, entry: &EngineEntry) -> f64 {
        match self.paused_until(tag, entry) {
            _ if self.is_leaving(tag, entry) => LEAVING_ESTIMATE,
            Some(until) if until > now => PAUSED_ESTIMATE,
            _ => 0.0,
        }
    }

    fn take(
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
            // Each host returns at its own moment, so that a server is not met by all at once.
            let mix = (self.me ^ process.0.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let drawn = mix as f64 / f64::from(u32::MAX);
            let pause = pause.min(LONGEST_PAUSE).mul_f64(1.0 + RETURN_SPREAD * drawn);
            let known = self.pauses.get(&process).map_or(Time::ZERO, |known| known.until);
            let until = known.max(now + pause);
            self.pauses.insert(process, ServerPause { until, is_over: false });
            if until > known {
                changes.push(NoticeChange::Paused(until));
            }
        }
        changes
    }

    /// Forgets what is of no use any more.
    fn forget(&mut self, now: Time) {
        self.leaving.retain(|_, said| now.since(*said) < LEAVING_MEMORY);
        while self.leaving.len() > LEAVING_LIMIT {
            let oldest = self.leaving.iter().min_by_key(|(_, said)| **said).map(|(one, _)| *one);
            oldest.map(|one| self.leaving.remove(&one));
        }
        let is_kept = |pause: &ServerPause| now.since(pause.until) < LEAVING_MEMORY;
        self.pauses.retain(|_, pause| !pause.is_over && is_kept(pause));
    }
}

impl FleetTable {
    /// A server said something of itself in an answer. Returns what that changed.
    pub fn record_notice(
        &mut self,
        now: Time,
        tag: EngineTag,
        notice: &ServerNotice,
    ) -> Vec<NoticeChange> {
        let Some(record) = self.engines.get(&tag) else { return Vec::new() };
        self.notices.forget(now);
        self.notices.take(now, process(tag, &record.entry), notice)
    }

    /// A server began to serve a request: what it said of a pause is over.
    pub fn record_served(&mut self, now: Time, tag: EngineTag) {
        let Some(record) = self.engines.get(&tag) else { return };
        if let Some(pause) = self.notices.pauses.get_mut(&process(tag, &record.entry)) {
            pause.is_over = pause.until <= now;
        }
    }

    /// Whether a server may get new work.
    pub fn is_usable(&self, now: Time, tag: EngineTag) -> bool {
        self.engines.get(&tag).is_some_and(|record| self.accepts_work(now, tag, record))
    }

    /// Whether a server is there to stay, though it may want nothing for a time.
    pub fn is_serving(&self, tag: EngineTag) -> bool {
        self.engines.get(&tag).is_some_and(|record| self.stays(tag, record))
    }

    fn stays(&self, tag: EngineTag, record: &EngineRecord) -> bool {
        let entry = &record.entry;
        !entry.is_leaving && !record.replaced && !self.notices.is_leaving(tag, entry)
    }

    pub(super) fn accepts_work(&self, now: Time, tag: EngineTag, record: &EngineRecord) -> bool {
        let until = self.notices.paused_until(tag, &record.entry);
        self.stays(tag, record) && until.is_none_or(|until| until <= now)
    }

    /// Whether a server asked for a pause that is over, and has not served since.
    pub fn is_half_open(&self, now: Time, tag: EngineTag) -> bool {
        let Some(record) = self.engines.get(&tag) else { return false };
        self.notices.paused_until(tag, &record.entry).is_some_and(|until| until <= now)
    }

    /// When the first of the service's servers that pause may be asked again, `excluded` aside.
    pub fn next_pause_end(&self, now: Time, service: &str, excluded: &[EngineTag]) -> Option<Time> {
        let is_wanted = |(tag, record): &(EngineTag, &EngineRecord)| {
            &*record.entry.service == service && self.stays(*tag, record) && !excluded.contains(tag)
        };
        let wanted = self.iter().filter(is_wanted);
        let pauses =
            wanted.filter_map(|(tag, record)| self.notices.paused_until(tag, &record.entry));
        pauses.filter(|until| *until > now).min()
    }
}
