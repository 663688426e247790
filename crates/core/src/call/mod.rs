//! Runs calls to non-idempotent services at most once per idempotency key.
//!
//! Owns the calls in progress on this host. Before a call is sent, its intent must be stored in the
//! key-value service under the idempotency key, and it is sent only once. During an outage of that
//! service, calls are refused without being sent, and an intent that may have been written is
//! deleted when the service answers again.

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

/// Term of the retention lease, which bounds how long a record is kept. A record must be kept for
/// 24 hours; the extra hour is there because one lease serves the records of an hour.
pub const RETENTION_LEASE_TERM: Duration = Duration::from_secs(25 * 3600);
/// Largest body of an answer that is stored with the outcome, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;
/// How long a lease is attached to new records before another one is granted.
const LEASE_USE_TIME: Duration = Duration::from_secs(3600);
/// Timeout for finding out whether an intent was written.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller waits for its outcome to be recorded before it gets the answer regardless.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the key-value service is asked again after it gave no answer.
const RETRY_PERIOD: Duration = Duration::from_millis(200);
/// How long the recording of an outcome or the deletion of an intent is retried.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(600);
/// How long an unanswered write may still take effect. After that, an absent intent stays absent.
const WRITE_SETTLE_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The call needs a retention lease, which has not been granted yet.
    AwaitingLease,
    /// The intent is being written, or read back after an unanswered write.
    WritingIntent,
    /// The call was sent to the service, which has not answered yet.
    AwaitingService,
    /// The outcome is being written.
    RecordingOutcome,
    /// The call was not sent; an intent that may have been written is being deleted.
    DeletingIntent,
}

struct OpenCall {
    key: Arc<str>,
    record: CallRecord,
    phase: Phase,
    /// When the phase began; for the first two, when the call did.
    since: Time,
    deadline: Time,
    lease: u64,
    /// When to read the key again, after the key-value service gave no usable answer.
    retry: Option<Time>,
    /// Sequence number of the last operation on the key-value service; answers to earlier ones are
    /// stale.
    sequence: u32,
    /// Whether a write of the intent was not answered, so that it may have taken effect.
    may_be_written: bool,
    /// Whether the caller has sent the idempotency key before.
    is_retry: bool,
    /// Whether the caller got its final answer.
    is_answered: bool,
}

/// State machine of the calls in progress on this host.
pub struct CallKeeper {
    host: Arc<str>,
    incarnation: u64,
    calls: BTreeMap<CallKey, OpenCall>,
    /// The retention lease for new records and when it was requested.
    lease: Option<(u64, Time)>,
    /// When a lease was requested, while the request is in flight.
    lease_requested: Option<Time>,
    rng: fastrand::Rng,
}

impl CallKeeper {
    /// Creates a keeper without calls. `host` and `incarnation` identify this process in its
    /// records.
    pub fn new(host: Arc<str>, incarnation: u64, rng: fastrand::Rng) -> CallKeeper {
        let (calls, lease, lease_requested) = (BTreeMap::new(), None, None);
        CallKeeper { host, incarnation, calls, lease, lease_requested, rng }
    }

    /// Number of calls in progress, including answered ones whose record is not settled yet.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls whose caller has no answer yet.
    pub fn unanswered(&self) -> usize {
        self.calls.values().filter(|open| !open.is_answered).count()
    }

    /// Whether no call is in progress, not even in the background.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Applies one input and returns the resulting outputs.
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
                    phase: Phase::AwaitingLease,
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
                self.write_intent(now, call, &mut outputs);
            }
            CallInput::Lease(lease) => self.lease_granted(now, lease, &mut outputs),
            CallInput::Store { call, sequence, answer } => {
                let is_stale = self.calls.get(&call).is_none_or(|open| open.sequence != sequence);
                if !is_stale {
                    self.store_answered(now, call, answer, &mut outputs);
                }
            }
            CallInput::Service { call, answer } => {
                self.service_answered(now, call, answer, &mut outputs)
            }
            CallInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Writes the intent. Without a current lease, requests one first.
    fn write_intent(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        let usable = self.lease.filter(|(_, granted)| now.since(*granted) < LEASE_USE_TIME);
        let Some((lease, _)) = usable else {
            open.phase = Phase::AwaitingLease;
            if self.lease_requested.is_none() {
                self.lease_requested = Some(now);
                outputs.push(CallOutput::GrantLease);
            }
            return;
        };
        open.phase = Phase::WritingIntent;
        open.lease = lease;
        let (sequence, key, record) = (open.next_sequence(), open.key.clone(), open.record.clone());
        outputs.push(CallOutput::Create { call, sequence, key, record, lease });
    }

    fn lease_granted(&mut self, now: Time, lease: Option<u64>, outputs: &mut Vec<CallOutput>) {
        // The request time is a lower bound for the start of the lease's term.
        let requested = self.lease_requested.take().unwrap_or(now);
        self.lease = lease.map(|lease| (lease, requested));
        let waiting = self.calls.iter().filter(|(_, open)| open.phase == Phase::AwaitingLease);
        let waiting: Vec<_> = waiting.map(|(call, _)| *call).collect();
        for call in waiting {
            if lease.is_some() {
                self.write_intent(now, call, outputs);
            } else {
                self.abort_before_send(now, call, outputs);
            }
        }
    }

    /// Refuses a call whose intent could not be written, and deletes the intent if it may have
    /// been.
    fn abort_before_send(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get(&call) else { return };
        if open.may_be_written {
            return self.refuse_unsent(now, call, Reason::StoreUnavailable, outputs);
        }
        self.refuse(call, store_unavailable(), outputs);
        self.calls.remove(&call);
    }

    fn store_answered(
        &mut self,
        now: Time,
        call: CallKey,
        answer: StoreAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        open.retry = None;
        match open.phase {
            Phase::WritingIntent => self.intent_answered(now, call, answer, outputs),
            Phase::RecordingOutcome => self.outcome_answered(now, call, answer, outputs),
            Phase::DeletingIntent => self.deletion_answered(now, call, answer, outputs),
            // No operation is in flight in these phases.
            Phase::AwaitingLease | Phase::AwaitingService => {}
        }
    }

    fn intent_answered(
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
                let result = self.replay_result(call, record, is_holder_alive);
                outputs.push(CallOutput::Answer { call, result });
                self.calls.remove(&call);
            }
            StoreAnswer::RevisionConflict => {
                outputs.push(open.read(call));
            }
            StoreAnswer::UnknownLease => {
                self.lease = None;
                self.write_intent(now, call, outputs);
            }
            // An unanswered write may still take effect. That is harmless after a second one, as
            // both have the same write id.
            StoreAnswer::Absent if now < open.resolve_deadline() => {
                self.write_intent(now, call, outputs)
            }
            StoreAnswer::NotSent if !open.may_be_written => {
                self.abort_before_send(now, call, outputs)
            }
            StoreAnswer::NoAnswer => {
                open.may_be_written = true;
                open.retry = Some(now + RETRY_PERIOD);
            }
            StoreAnswer::Absent | StoreAnswer::NotSent => open.retry = Some(now + RETRY_PERIOD),
        }
    }

    /// The answer to a call whose idempotency key has a record of another call.
    fn replay_result(
        &self,
        call: CallKey,
        record: CallRecord,
        is_holder_alive: bool,
    ) -> CallResult {
        let open = &self.calls[&call];
        if record.body_hash != open.record.body_hash {
            let detail = "the idempotency key was used with another body";
            return CallResult::Refused(Refusal::not_run(Reason::Conflict, detail));
        }
        let is_own = record.host == self.host;
        let is_same = |other: &OpenCall| other.record.write == record.write;
        let is_in_progress = match is_own {
            true => self.calls.values().any(is_same),
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

    /// Sends a call whose intent is stored, unless its deadline has passed.
    fn send(&mut self, now: Time, call: CallKey, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if open.deadline <= now {
            return self.refuse_unsent(now, call, Reason::DeadlineExceeded, outputs);
        }
        open.enter(Phase::AwaitingService, now);
        outputs.push(CallOutput::Send(call));
    }

    fn service_answered(
        &mut self,
        now: Time,
        call: CallKey,
        answer: ServiceAnswer,
        outputs: &mut Vec<CallOutput>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if open.phase != Phase::AwaitingService {
            return;
        }
        open.record.state = match answer {
            ServiceAnswer::NotSent => {
                return self.refuse_unsent(now, call, Reason::ServiceUnavailable, outputs);
            }
            ServiceAnswer::Answered(answer) => CallState::Done(answer),
            ServiceAnswer::NoAnswer => {
                open.is_answered = true;
                let result = CallResult::Refused(outcome_unknown());
                outputs.push(CallOutput::Answer { call, result });
                CallState::Unknown
            }
        };
        open.enter(Phase::RecordingOutcome, now);
        // Reads the revision to replace first: the answer that carried it may have been lost.
        outputs.push(open.read(call));
    }

    fn outcome_answered(
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
                    return self.finish(call, outputs);
                }
                let (key, record, lease) = (open.key.clone(), open.stored_record(), open.lease);
                let (sequence, expect) = (open.next_sequence(), revision);
                outputs.push(CallOutput::Replace { call, sequence, key, expect, record, lease });
            }
            // The outcome is stored, or the intent is gone: expired, or replaced by another call's.
            StoreAnswer::Written(_)
            | StoreAnswer::UnknownLease
            | StoreAnswer::Absent
            | StoreAnswer::Found { .. } => self.finish(call, outputs),
            StoreAnswer::RevisionConflict | StoreAnswer::NotSent | StoreAnswer::NoAnswer => {
                open.retry = Some(now + RETRY_PERIOD);
            }
        }
    }

    /// Removes a call and gives its caller the outcome if it has none yet.
    fn finish(&mut self, call: CallKey, outputs: &mut Vec<CallOutput>) {
        self.answer_outcome(call, outputs);
        self.calls.remove(&call);
    }

    /// Gives the caller the answer of the service unless it was answered before.
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

    /// Refuses a call that was not sent, and deletes its intent if there is one.
    fn refuse_unsent(
        &mut self,
        now: Time,
        call: CallKey,
        reason: Reason,
        outputs: &mut Vec<CallOutput>,
    ) {
        let refusal = match reason {
            Reason::StoreUnavailable => store_unavailable(),
            Reason::ServiceUnavailable => Refusal::not_run(reason, "the service does not answer")
                .retry_after(Duration::from_secs(1)),
            _ => Refusal::not_run(reason, "the deadline passed before the call was sent"),
        };
        self.refuse(call, refusal, outputs);
        let Some(open) = self.calls.get_mut(&call) else { return };
        open.enter(Phase::DeletingIntent, now);
        outputs.push(open.read(call));
    }

    fn deletion_answered(
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
            StoreAnswer::Absent if now.since(open.since) >= WRITE_SETTLE_TIME => {
                self.calls.remove(&call);
            }
            _ => open.retry = Some(now + RETRY_PERIOD),
        }
    }

    fn refuse(&mut self, call: CallKey, mut refusal: Refusal, outputs: &mut Vec<CallOutput>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        if !open.is_answered {
            open.is_answered = true;
            // An earlier call with the same key may have run, or may still run at another host.
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
                Phase::AwaitingLease | Phase::WritingIntent if open.resolve_deadline() <= now => {
                    // A write in flight may still take effect.
                    open.may_be_written |= open.sequence > 0;
                    self.abort_before_send(now, call, outputs);
                    continue;
                }
                Phase::RecordingOutcome if now.since(open.since) >= BACKGROUND_TIMEOUT => {
                    self.finish(call, outputs);
                    continue;
                }
                Phase::DeletingIntent if now.since(open.since) >= BACKGROUND_TIMEOUT => {
                    self.calls.remove(&call);
                    continue;
                }
                Phase::RecordingOutcome if now.since(open.since) >= RECORD_TIMEOUT => {
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

    fn resolve_deadline(&self) -> Time {
        self.deadline.min(self.since + RESOLVE_TIMEOUT)
    }

    /// The record to store, without a body above [`MAX_STORED_BODY_BYTES`].
    fn stored_record(&self) -> CallRecord {
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

/// The key of a call's record in the key-value service.
pub fn call_key(account: &str, idempotency_key: &str) -> Arc<str> {
    format!("call/{account}/{idempotency_key}").into()
}

/// Whether a text can be an idempotency key: 1 to 128 letters, digits, `.`, `_`, `-` or `:`.
pub fn is_idempotency_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
    // These would be resolved as path segments in the URL of the key-value service.
    (1..=128).contains(&text.len()) && text.bytes().all(is_allowed) && !matches!(text, "." | "..")
}

/// Expected revision that matches only an absent key.
pub const ABSENT_REVISION: Revision = Revision(0);
