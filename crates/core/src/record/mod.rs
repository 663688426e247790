//! Decides what is known of a request at its record hosts.
//!
//! Owns the records that this host keeps for others. A record leads a caller that lost its
//! connection before it had a continuation token back to the stream of its request. Two hosts in
//! two failure domains keep each record; when one is lost, the other answers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{message, value};

use crate::{
    member::{MemberRecord, MemberTable},
    placement::rendezvous_score,
    request::PlacedStream,
    time::Time,
};

#[cfg(test)]
mod tests;

/// Time for which a record is kept after the end of its request.
pub const RECORD_RETENTION: Duration = Duration::from_secs(30);

/// Identifies a request among all accounts.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct RequestName {
    /// Client account.
    pub account: Arc<str>,
    /// Request id, unique in the account.
    pub request: Arc<str>,
}

/// What is known of a request.
#[message]
pub struct RequestRecord {
    /// The request.
    pub name: RequestName,
    /// Hash of the body; a retry with another body is refused.
    pub body_hash: [u8; 32],
    /// Where it runs or is to run.
    pub placed: PlacedStream,
    /// Attempt number.
    pub attempt: u32,
    /// Times that a caller resumed it.
    pub resume: u32,
    /// Time left until the final answer is due, when the record was sent.
    pub time_left: Duration,
}

/// Input of [`RecordKeeper::step`].
#[value]
pub enum RecordInput {
    /// A request is about to be dispatched, for the first time or again.
    Open(RequestRecord),
    /// A request moved to another stream.
    Placed {
        /// The request.
        name: RequestName,
        /// The stream.
        placed: PlacedStream,
        /// Attempt number.
        attempt: u32,
    },
    /// A request ended.
    Ended(RequestName),
    /// Time passed.
    Tick,
}

/// Output of [`RecordKeeper::step`].
#[value]
pub enum RecordOutput {
    /// The answer to `Open`: the record in force, and whether it was there before.
    Opened {
        /// The record, with the number of this resumption.
        record: RequestRecord,
        /// Whether an earlier request made it.
        is_retry: bool,
    },
}

struct KeptRecord {
    record: RequestRecord,
    deadline: Time,
    expires: Time,
}

/// The records that this host keeps.
#[derive(Default)]
pub struct RecordKeeper {
    records: BTreeMap<RequestName, KeptRecord>,
}

impl RecordKeeper {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a request.
    pub fn get(&self, name: &RequestName) -> Option<&RequestRecord> {
        self.records.get(name).map(|kept| &kept.record)
    }

    /// Advances the keeper.
    pub fn step(&mut self, now: Time, input: RecordInput) -> Option<RecordOutput> {
        match input {
            RecordInput::Open(record) => return Some(self.open(now, record)),
            RecordInput::Placed { name, placed, attempt } => {
                let kept = self.records.get_mut(&name)?;
                if attempt >= kept.record.attempt {
                    kept.record.placed = placed;
                    kept.record.attempt = attempt;
                }
            }
            RecordInput::Ended(name) => {
                let kept = self.records.get_mut(&name)?;
                kept.expires = kept.expires.min(now + RECORD_RETENTION);
            }
            RecordInput::Tick => self.records.retain(|_, kept| kept.expires > now),
        }
        None
    }

    fn open(&mut self, now: Time, record: RequestRecord) -> RecordOutput {
        let known = self.records.get_mut(&record.name).filter(|kept| kept.expires > now);
        if let Some(kept) = known {
            if kept.record.body_hash == record.body_hash {
                kept.record.resume = (kept.record.resume + 1).max(record.resume);
            }
            kept.record.time_left = kept.deadline.since(now);
            return RecordOutput::Opened { record: kept.record.clone(), is_retry: true };
        }
        let deadline = now + record.time_left;
        let expires = deadline + RECORD_RETENTION;
        let kept = KeptRecord { record: record.clone(), deadline, expires };
        self.records.insert(record.name.clone(), kept);
        RecordOutput::Opened { record, is_retry: false }
    }
}

/// The hosts that keep the record of a request: the highest rendezvous score among live hosts, and
/// the highest among those in other failure domains.
pub fn record_hosts(table: &MemberTable, name: &RequestName) -> Vec<MemberRecord> {
    let key = format!("{}/{}", name.account, name.request);
    let mut hosts: Vec<_> = table.live().map(|host| (rendezvous_score(&key, host), host)).collect();
    hosts.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut hosts = hosts.into_iter().map(|(_, host)| host.clone());
    let Some(first) = hosts.next() else { return Vec::new() };
    let is_apart = |host: &MemberRecord| {
        (&host.region, &host.failure_domain) != (&first.region, &first.failure_domain)
    };
    let second = hosts.find(is_apart);
    std::iter::once(first).chain(second).collect()
}
