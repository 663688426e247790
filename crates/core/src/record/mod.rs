//! Records of open requests, with which a caller finds its stream again after a lost connection.
//!
//! [`RecordKeeper`] holds the records that this host keeps. A caller that lost its connection
//! before it had a continuation token sends its request again; the record then identifies the
//! stream of the first one. Each record is kept by two hosts in different failure domains if there
//! are such, so that one of them can fail.

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

/// Time for which a record is kept after its request has ended.
pub const RECORD_RETENTION: Duration = Duration::from_secs(30);

/// Identifies a request across all client accounts.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct RequestName {
    /// Client account that sent the request.
    pub account: Arc<str>,
    /// Request id, unique within the client account.
    pub request: Arc<str>,
}

/// Record of one request.
#[message]
pub struct RequestRecord {
    /// Request that the record is for.
    pub name: RequestName,
    /// Hash of the body. A retry must have the same body.
    pub body_hash: [u8; 32],
    /// Stream on which the request runs or will run.
    pub placed: PlacedStream,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// Number of times that a caller resumed the request.
    pub resume: u32,
    /// Time until the final answer is due, measured when the record was sent; zero once the request
    /// has ended.
    pub time_left: Duration,
}

/// Input of [`RecordKeeper::step`].
#[value]
pub enum RecordInput {
    /// A request is about to be dispatched, for the first time or as a retry.
    Open(RequestRecord),
    /// A request was moved to another stream.
    Placed {
        /// Request that was moved.
        name: RequestName,
        /// Stream on which it now runs.
        placed: PlacedStream,
        /// Number of the attempt. A lower one than the recorded attempt is ignored.
        attempt: u32,
    },
    /// A request ended. Its record expires [`RECORD_RETENTION`] later at the latest.
    Ended(RequestName),
    /// Removes expired records.
    Tick,
}

/// Output of [`RecordKeeper::step`].
#[value]
pub enum RecordOutput {
    /// Answer to [`RecordInput::Open`].
    Opened {
        /// The record in force, with the number of this resumption.
        record: RequestRecord,
        /// Whether the record existed already.
        is_retry: bool,
    },
}

struct KeptRecord {
    record: RequestRecord,
    /// When the final answer of the request is due.
    deadline: Time,
    /// When the record is removed.
    expires: Time,
}

/// The records that this host keeps.
#[derive(Default)]
pub struct RecordKeeper {
    records: BTreeMap<RequestName, KeptRecord>,
}

impl RecordKeeper {
    /// Returns the number of records, including expired ones that no tick has removed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of a request.
    pub fn get(&self, name: &RequestName) -> Option<&RequestRecord> {
        self.records.get(name).map(|kept| &kept.record)
    }

    /// Applies an input. Only [`RecordInput::Open`] has an output.
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
                kept.record.time_left = Duration::ZERO;
            }
            RecordInput::Tick => self.records.retain(|_, kept| kept.expires > now),
        }
        None
    }

    fn open(&mut self, now: Time, record: RequestRecord) -> RecordOutput {
        let existing = self.records.get_mut(&record.name).filter(|kept| kept.expires > now);
        if let Some(kept) = existing {
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

/// Returns the hosts that keep the record of a request: the live host with the highest rendezvous
/// score, then the one with the highest score among the hosts in other failure domains, if any.
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
