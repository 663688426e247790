//! Decides the steps of calls that must not be repeated.
//!
//! Owns the calls in progress on this host. A call is sent only after its intent is known to be in
//! the key-value service, and only once. When that service is out, callers are told `not-run`, and
//! an intent that may have been left behind is voided when the service answers again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    config::Revision,
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

mod budget;
mod message;

pub use budget::RetryBudget;
pub use message::{
    CallAnswer, CallInput, CallKey, CallOutput, CallRecord, CallResult, CallState, ServiceAnswer,
    StoreAnswer,
};

#[cfg(test)]
mod tests;

/// Term of the retention lease. An hour longer than a record is kept at least, because one lease
/// serves the records of an hour.
pub const RETENTION_LEASE_TERM: Duration = Duration::from_secs(25 * 3600);
/// Largest answer that is kept, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// Time for which a lease is attached to new records.
const LEASE_USE: Duration = Duration::from_secs(3600);
/// Time within which it must be learned whether an intent was written.
const RESOLVE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the caller waits until the outcome is recorded.
const RECORD_WAIT: Duration = Duration::from_secs(2);
/// Time between two tries at the key-value service.
const RETRY_PERIOD: Duration = Duration::from_millis(200);
/// Time for which an outcome or a deletion is tried again in the background.
const BACKGROUND_LIMIT: Duration = Duration::from_secs(600);
/// Time after which a write that was not answered is taken for lost in the network.
const WRITE_SETTLE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Waits for the retention lease.
    Leasing,
    /// The intent is being written or looked for.
    Creating,
    /// The call is with the service.
    Sending,
    /// The outcome is being written.
    Recording,
    /// The call was never sent; an intent that may be there is being deleted.
    Voiding,
}

struct OpenCall {
    key: Arc<str>,
    record: CallRecord,
    phase: Phase,
    /// When the phase began.
    since: Time,
    deadline: Time,
    lease: u64,
    /// When the key-value service is asked again, if no answer is awaited.
    retry: Option<Time>,
    /// Number of the last question to the key-value service; answers to earlier ones are stale.
    sequence: u32,
    /// Whether an intent was written that was not answered.
    may_be_written: bool,
    is_retry: bool,
    is_answered: bool,
}

/// The calls in progress on this host.
pub struct CallKeeper {
    host: Arc<str>,
    incarnation: u64,
    calls: BTreeMap<CallKey, OpenCall>,
    lease: Option<(u64, Time)>,
    lease_asked: Option<Time>,
    rng: fastrand::Rng,
}

impl CallKeeper {
    /// A keeper for a host, with the incarnation with which it started.
    pub fn new(host: Arc<str>, incarnation: u64, rng: fastrand::Rng) -> CallKeeper {
        let (calls, lease, lease_asked) = (BTreeMap::new(), None, None);
        CallKeeper { host, incarnation, calls, lease, lease_asked, rng }
    }

    /// Number of calls in progress, those in the background included.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls whose caller waits for an answer.
    pub fn unanswered(&self) -> usize {
        self.calls.values().filter(|open| !open.is_answered).count()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Advances the keeper.
    pub fn step(&mut self, now: Time, input: CallInput) -> Vec<CallOutput> {
        let mut outputs = Vec::new();
        match input {
            CallInput::Begin { call, key, body_hash, deadline, deadline_ms, is_retry } => {
                let record = CallRecord {
                    write: format!("{:016x}{:016x}", self.rng.u64(..), self.rng.u64(..)).into(),
                    host: self.host.clone(),
                    incarnation: self.incarnation,
                    body_hash,
                    deadline_ms,
                    state: CallState::Intent,
                };
                let open = OpenCall {
                    key,
                    record,
                    phase: Phase::Leasing,
                    since: now,
                    deadline,
                    lease: 0,
                    retry: None,
                    sequence: 0,
                    may_be_written: false,
                    is_retry,
                    is_answered: false,
                };
                self.calls.insert(call, open);
                self.create(now, call, &mut outputs);
            }
            CallInput::Lease(lease) => self.lease(now, lease, &mut outputs),
            CallInput::Store { call, sequence, answer } => {
                let is_stale = self.calls.get(&call).is_none_or(|open| open.sequence != sequence);
                if !is_stale {
                    self.store(now, call, answer, &mut outputs);
                }
            }
            CallInput::Service { call, answer } => self.service(now, call, answer, &mut outputs),
            CallInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Writes the intent, or waits for a lease to attach it to.
    fn create(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        let usable = self.lease.filter(|(_, granted)| now.since(*granted) < LEASE_USE);
        let Some((lease, _)) = usable else {
            open.phase = Phase::Leasing;
            if self.lease_asked.is_none() {
                self.lease_asked = Some(now);
                outputs.push(CallOutput::GrantLease);
            }
            return;
        };
        open.phase = Phase::Creating;
        open.lease = lease;
        let (sequence, key, record) = (open.next_sequence(), open.key.clone(), open.record.clone());
        outputs.push(CallOutput::Create { call, sequence, key, record, lease });
    }

    fn lease(&mut self, now: Time, lease: Option<u64>, outputs: &mut Vec<CallOutput>) {
        // The term counts from before the grant was asked for.
        let asked = self.lease_asked.take().unwrap_or(now);
        self.lease = lease.map(|lease| (lease, asked));
        let waiting = self.calls.iter().filter(|(_, open)| open.phase == Phase::Leasing);
        let waiting: Vec<_> = waiting.map(|(call, _)| *call).collect();
        for call in waiting {
            if lease.is_some() {
                self.create(now, call, outputs);
            } else {
                self.give_up(now, call, outputs);
            }
        }
    }

    /// The key-value service cannot be reached before the call was sent.
    fn give_up(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get(&call) else { return };
        if open.may_be_written {
            return self.void(now, call, Reason::StoreUnavailable, outputs);
        }
        self.refuse(call, store_unavailable(), outputs);
        self.calls.remove(&call);
    }

    fn store(
        &mut self,
        now: Time,
        call: CallKey,
        answer: StoreAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        open.retry = None;
        match open.phase {
            Phase::Creating => self.creating(now, call, answer, outputs),
            Phase::Recording => self.recording(now, call, answer, outputs),
            Phase::Voiding => self.voiding(now, call, answer, outputs),
            // An answer to an earlier question says nothing new.
            Phase::Leasing | Phase::Sending => {}
        }
    }

    fn creating(
        &mut self,
        now: Time,
        call: CallKey,
        answer: StoreAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let open = self.calls.get_mut(&call).expect("checked by the caller");
        match answer {
            StoreAnswer::Written(_) => self.send(now, call, outputs),
            StoreAnswer::Found { ref record, .. } if record.write == open.record.write => {
                self.send(now, call, outputs);
            }
            StoreAnswer::Found { record, is_holder_alive, .. } => {
                let result = self.earlier_call(call, record, is_holder_alive);
                outputs.push(CallOutput::Answer { call, result });
                self.calls.remove(&call);
            }
            StoreAnswer::RevisionConflict => {
                outputs.push(open.read(call));
            }
            StoreAnswer::UnknownLease => {
                self.lease = None;
                self.create(now, call, outputs);
            }
            // An unanswered write may still arrive, but a second one with the same write id
            // changes nothing then.
            StoreAnswer::Absent if now < open.resolve_end() => self.create(now, call, outputs),
            StoreAnswer::NotSent if !open.may_be_written => self.give_up(now, call, outputs),
            StoreAnswer::NoAnswer => {
                open.may_be_written = true;
                open.retry = Some(now + RETRY_PERIOD);
            }
            StoreAnswer::Absent | StoreAnswer::NotSent => open.retry = Some(now + RETRY_PERIOD),
        }
    }

    /// What a caller is told whose key was used before.
    fn earlier_call(&self, call: CallKey, record: CallRecord, is_holder_alive: bool) -> CallResult {
        let open = &self.calls[&call];
        if record.body_hash != open.record.body_hash {
            let detail = "the idempotency key was used with another body";
            return CallResult::Refused(Refusal::not_run(Reason::Conflict, detail));
        }
        let is_own = record.host == self.host;
        let is_held = |other: &OpenCall| other.record.write == record.write;
        let is_in_progress = match is_own {
            true => self.calls.values().any(is_held),
            false => is_holder_alive,
        };
        match record.state {
            CallState::Done(answer) if answer.body.is_some() => CallResult::Answer(answer),
            CallState::Done(_) => {
                let detail = "the call ran; its answer was too large to keep";
                CallResult::Refused(Refusal::ran(Reason::Conflict, detail))
            }
            CallState::Intent if is_in_progress => CallResult::Refused(Refusal {
                outcome: Outcome::Unknown,
                ..Refusal::not_run(Reason::InProgress, "a call with this key is in progress")
                    .retry_after(Duration::from_secs(1))
            }),
            CallState::Intent | CallState::Unknown => CallResult::Refused(outcome_unknown()),
        }
    }

    /// The intent is known to be written by this call: sends it, unless it is too late for that.
    fn send(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if open.deadline <= now {
            return self.void(now, call, Reason::DeadlineExceeded, outputs);
        }
        open.enter(Phase::Sending, now);
        outputs.push(CallOutput::Send(call));
    }

    fn service(
        &mut self,
        now: Time,
        call: CallKey,
        answer: ServiceAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if open.phase != Phase::Sending {
            return;
        }
        open.record.state = match answer {
            ServiceAnswer::NotSent => {
                return self.void(now, call, Reason::ServiceUnavailable, outputs);
            }
            ServiceAnswer::Answered(answer) => CallState::Done(answer),
            ServiceAnswer::NoAnswer => {
                open.is_answered = true;
                let result = CallResult::Refused(outcome_unknown());
                outputs.push(CallOutput::Answer { call, result });
                CallState::Unknown
            }
        };
        open.enter(Phase::Recording, now);
        // The revision of the intent is not kept: it may have come from a lost answer.
        outputs.push(open.read(call));
    }

    fn recording(
        &mut self,
        now: Time,
        call: CallKey,
        answer: StoreAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let open = self.calls.get_mut(&call).expect("checked by the caller");
        match answer {
            StoreAnswer::Found { revision, record, .. } if record.write == open.record.write => {
                if record.state != CallState::Intent {
                    return self.recorded(call, outputs);
                }
                let (key, record, lease) = (open.key.clone(), open.kept_record(), open.lease);
                let (sequence, expect) = (open.next_sequence(), revision);
                outputs.push(CallOutput::Replace { call, sequence, key, expect, record, lease });
            }
            // Without its intent the record's term is over, or it is another call's.
            StoreAnswer::Written(_)
            | StoreAnswer::UnknownLease
            | StoreAnswer::Absent
            | StoreAnswer::Found { .. } => self.recorded(call, outputs),
            StoreAnswer::RevisionConflict | StoreAnswer::NotSent | StoreAnswer::NoAnswer => {
                open.retry = Some(now + RETRY_PERIOD);
            }
        }
    }

    fn recorded(&mut self, call: CallKey, outputs: &mut Vec<CallOutput>) {
        self.answer_outcome(call, outputs);
        self.calls.remove(&call);
    }

    fn answer_outcome(&mut self, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if let CallState::Done(answer) = &open.record.state
            && !open.is_answered
        {
            let result = CallResult::Answer(answer.clone());
            outputs.push(CallOutput::Answer { call, result });
            open.is_answered = true;
        }
    }

    /// Tells the caller that the call was not run, and deletes what may be left of its intent.
    fn void(&mut self, now: Time, call: CallKey, reason: Reason, outputs: &mut Vec<CallOutput>) {
        let refusal = match reason {
            Reason::StoreUnavailable => store_unavailable(),
            Reason::ServiceUnavailable => Refusal::not_run(reason, "the service does not answer")
                .retry_after(Duration::from_secs(1)),
            _ => Refusal::not_run(reason, "the deadline passed before the call was sent"),
        };
        self.refuse(call, refusal, outputs);
        let Some(open) = self.calls.get_mut(&call) else { return };
        open.enter(Phase::Voiding, now);
        outputs.push(open.read(call));
    }

    fn voiding(
        &mut self,
        now: Time,
        call: CallKey,
        answer: StoreAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let open = self.calls.get_mut(&call).expect("checked by the caller");
        match answer {
            StoreAnswer::Found { revision, record, .. } if record.write == open.record.write => {
                let (sequence, key, expect) = (open.next_sequence(), open.key.clone(), revision);
                outputs.push(CallOutput::Delete { call, sequence, key, expect });
            }
            StoreAnswer::Written(_) | StoreAnswer::Found { .. } => drop(self.calls.remove(&call)),
            StoreAnswer::Absent if now.since(open.since) >= WRITE_SETTLE => {
                self.calls.remove(&call);
            }
            _ => open.retry = Some(now + RETRY_PERIOD),
        }
    }

    fn refuse(&mut self, call: CallKey, mut refusal: Refusal, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if !open.is_answered {
            open.is_answered = true;
            // An earlier call with the key may have run, or may still do so at another host.
            if open.is_retry {
                refusal.outcome = Outcome::Unknown;
            }
            outputs.push(CallOutput::Answer { call, result: CallResult::Refused(refusal) });
        }
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<CallOutput>) {
        let calls: Vec<_> = self.calls.keys().copied().collect();
        for call in calls {
            let Some(open) = self.calls.get_mut(&call) else { continue };
            match open.phase {
                Phase::Leasing | Phase::Creating if open.resolve_end() <= now => {
                    // A write that is on its way may still take effect.
                    open.may_be_written |= open.sequence > 0;
                    self.give_up(now, call, outputs);
                    continue;
                }
                Phase::Recording if now.since(open.since) >= BACKGROUND_LIMIT => {
                    self.recorded(call, outputs);
                    continue;
                }
                Phase::Voiding if now.since(open.since) >= BACKGROUND_LIMIT => {
                    self.calls.remove(&call);
                    continue;
                }
                Phase::Recording if now.since(open.since) >= RECORD_WAIT => {
                    self.answer_outcome(call, outputs);
                }
                _ => {}
            }
            let Some(open) = self.calls.get_mut(&call) else { continue };
            if open.retry.is_some_and(|retry| retry <= now) {
                open.retry = None;
                outputs.push(open.read(call));
            }
        }
    }
}

impl OpenCall {
    fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.since = now;
        self.retry = None;
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence += 1;
        self.sequence
    }

    fn read(&mut self, call: CallKey) -> CallOutput {
        CallOutput::Read { call, sequence: self.next_sequence(), key: self.key.clone() }
    }

    fn resolve_end(&self) -> Time {
        self.deadline.min(self.since + RESOLVE_LIMIT)
    }

    fn kept_record(&self) -> CallRecord {
        let mut record = self.record.clone();
        if let CallState::Done(answer) = &mut record.state {
            answer.body = answer.body.take().filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
        }
        record
    }
}

fn store_unavailable() -> Refusal {
    Refusal::not_run(Reason::StoreUnavailable, "the key-value service does not answer")
        .retry_after(Duration::from_secs(1))
}

fn outcome_unknown() -> Refusal {
    Refusal {
        outcome: Outcome::Unknown,
        ..Refusal::not_run(Reason::OutcomeUnknown, "whether the call ran cannot be determined")
    }
}

/// The key of a call in the key-value service.
pub fn call_key(account: &str, idempotency_key: &str) -> Arc<str> {
    format!("call/{account}/{idempotency_key}").into()
}

/// Whether a text can be an idempotency key: 1 to 128 letters, digits, `.`, `_`, `-` or `:`.
pub fn is_idempotency_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
    // Two dots are a step upwards in a path.
    (1..=128).contains(&text.len()) && text.bytes().all(is_allowed) && !matches!(text, "." | "..")
}

/// The expected revision of an absent key.
pub const ABSENT_REVISION: Revision = Revision(0);
