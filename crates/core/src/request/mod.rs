//! Decides the life of a request: legs, attempts, offsets, and one final answer.
//!
//! [`RequestTable`] is the entry host's part and owns the requests open to callers;
//! [`StreamTable`] is the owner's part. When legs break, requests go on at their offset until the
//! deadline, and then get their final answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

mod message;
mod orphan;
mod stream;

pub use message::{
    EngineReply, EventReceiver, LegKey, PlacedStream, RequestInput, RequestKey, RequestOutput,
    StreamEvent, StreamInput, StreamOutput,
};
pub use orphan::{ListedStream, ORPHAN_TIMEOUT, OrphanInput, OrphanOutput, OrphanTracker};
pub use stream::StreamTable;

#[cfg(test)]
mod tests;

/// Delay before a request goes on after a leg broke.
const LEG_DELAY: Duration = Duration::from_millis(100);
/// Time for which hosts may hand a request on before it is refused. A dead owner's engines have a
/// new owner after the suspicion, which lasts 3 s at up to 32 hosts.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
/// Most delays in a row before an attempt.
const LEG_DELAYS: u32 = 10;

struct OpenRequest {
    deadline: Time,
    offset: u64,
    attempt: u32,
    placed: Option<PlacedStream>,
    avoid: Option<Arc<str>>,
    /// Whether any attempt reached an engine.
    outcome: Outcome,
    /// Since when owners hand the request back without a stream.
    moving: Option<Time>,
    leg: LegKey,
    is_leg_open: bool,
    /// When the next leg starts, or the deadline.
    due: Time,
}

impl OpenRequest {
    fn refusal(&self, reason: Reason, detail: &str) -> Refusal {
        Refusal { outcome: self.outcome, ..Refusal::not_run(reason, detail) }
    }
}

/// The requests open to callers at this host.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestKey, OpenRequest>,
    timers: BTreeSet<(Time, RequestKey)>,
}

impl RequestTable {
    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Advances the table.
    pub fn step(&mut self, now: Time, input: RequestInput) -> Vec<RequestOutput> {
        let mut outputs = Vec::new();
        match input {
            RequestInput::Open { request, deadline, offset, attempt, placed } => {
                let entry = OpenRequest {
                    deadline,
                    offset,
                    attempt,
                    outcome: if placed.is_some() { Outcome::Ran } else { Outcome::NotRun },
                    placed,
                    avoid: None,
                    moving: None,
                    leg: LegKey(0),
                    is_leg_open: false,
                    due: now,
                };
                self.timers.insert((now, request));
                self.requests.insert(request, entry);
                self.expire(now, &mut outputs);
            }
            RequestInput::Event { request, leg, event } => {
                self.event(now, request, leg, event, &mut outputs);
            }
            RequestInput::LegFailed { request, leg } => {
                // The news that an engine took the request may be lost with the connection.
                let entry = self.requests.get_mut(&request);
                if let Some(entry) = entry.filter(|entry| entry.leg == leg && entry.is_leg_open)
                    && entry.outcome == Outcome::NotRun
                {
                    entry.outcome = Outcome::Unknown;
                }
                self.next_leg(now, request, leg, LEG_DELAY, &mut outputs);
            }
            RequestInput::NoEngine { request, leg } => {
                self.no_engine(now, request, leg, &mut outputs);
            }
            RequestInput::Cancel(request) => {
                let Some(entry) = self.requests.get(&request) else { return outputs };
                let refusal = entry.refusal(Reason::Cancelled, "cancelled by the caller");
                self.close(request, Some(StreamEvent::Refused(refusal)), true, &mut outputs);
            }
            RequestInput::Disconnected(request) => self.close(request, None, false, &mut outputs),
            RequestInput::Tick => self.expire(now, &mut outputs),
        }
        outputs
    }

    fn event(
        &mut self,
        now: Time,
        request: RequestKey,
        leg: LegKey,
        event: StreamEvent,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.leg != leg || !entry.is_leg_open {
            return;
        }
        match event {
            StreamEvent::Moved => {
                let since = *entry.moving.get_or_insert(now);
                if now.since(since) >= MOVE_LIMIT {
                    return self.refuse_unserved(request, outputs);
                }
                return self.next_leg(now, request, leg, LEG_DELAY, outputs);
            }
            StreamEvent::Started { attempt, .. } if attempt < entry.attempt => return,
            StreamEvent::Started { ref engine, ref stream, attempt } => {
                let (engine, stream) = (engine.clone(), stream.clone());
                entry.placed = Some(PlacedStream { engine, stream });
                entry.attempt = attempt;
                entry.outcome = Outcome::Ran;
                entry.moving = None;
            }
            StreamEvent::Chunk { offset, tokens, .. } => {
                // A chunk that the caller has was sent before the stream was attached again.
                if offset + tokens <= entry.offset {
                    return;
                }
                // A chunk beyond the position means that one in between was lost.
                if offset != entry.offset {
                    return self.next_leg(now, request, leg, Duration::ZERO, outputs);
                }
                entry.offset += tokens;
            }
            StreamEvent::Finished { end } if end != entry.offset => {
                return self.next_leg(now, request, leg, LEG_DELAY, outputs);
            }
            StreamEvent::Finished { .. } => {
                return self.close(request, Some(event), false, outputs);
            }
            StreamEvent::Refused(mut refusal) => {
                // The owner may know only the last attempt.
                if refusal.outcome == Outcome::NotRun {
                    refusal.outcome = entry.outcome;
                }
                return self.close(request, Some(StreamEvent::Refused(refusal)), false, outputs);
            }
            StreamEvent::Retry { attempt } => {
                entry.avoid = entry.placed.take().map(|placed| placed.engine);
                let failed = entry.attempt;
                entry.attempt = attempt.max(entry.attempt + 1);
                let delay = LEG_DELAY * failed.min(LEG_DELAYS);
                return self.next_leg(now, request, leg, delay, outputs);
            }
            StreamEvent::Accepted => {}
        }
        outputs.push(RequestOutput::Deliver { request, event });
    }

    fn next_leg(
        &mut self,
        now: Time,
        request: RequestKey,
        leg: LegKey,
        delay: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.leg != leg || !entry.is_leg_open {
            return;
        }
        entry.is_leg_open = false;
        outputs.push(RequestOutput::EndLeg { request, leg, cancel: false });
        self.set_timer(request, now + delay);
        self.expire(now, outputs);
    }

    fn no_engine(
        &mut self,
        now: Time,
        request: RequestKey,
        leg: LegKey,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.leg != leg || !entry.is_leg_open {
            return;
        }
        // The engine of the stream left the configuration: the rest goes to another one.
        if entry.placed.take().is_some() {
            entry.attempt += 1;
            return self.next_leg(now, request, leg, Duration::ZERO, outputs);
        }
        self.refuse_unserved(request, outputs);
    }

    fn refuse_unserved(&mut self, request: RequestKey, outputs: &mut Vec<RequestOutput>) {
        let Some(entry) = self.requests.get(&request) else { return };
        let refusal = entry
            .refusal(Reason::NoEngine, "no engine serves the model now")
            .retry_after(Duration::from_secs(1));
        self.close(request, Some(StreamEvent::Refused(refusal)), false, outputs);
    }

    fn set_timer(&mut self, request: RequestKey, due: Time) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        self.timers.remove(&(entry.due, request));
        entry.due = due.min(entry.deadline);
        self.timers.insert((entry.due, request));
    }

    fn expire(&mut self, now: Time, outputs: &mut Vec<RequestOutput>) {
        while let Some(&(due, request)) = self.timers.first() {
            if due > now {
                return;
            }
            let Some(entry) = self.requests.get_mut(&request) else {
                self.timers.pop_first();
                continue;
            };
            if entry.deadline <= now {
                let detail = "not finished within the rank's time";
                let refusal = entry.refusal(Reason::DeadlineExceeded, detail);
                self.close(request, Some(StreamEvent::Refused(refusal)), true, outputs);
                continue;
            }
            entry.leg.0 += 1;
            entry.is_leg_open = true;
            outputs.push(RequestOutput::StartLeg {
                request,
                leg: entry.leg,
                offset: entry.offset,
                attempt: entry.attempt,
                placed: entry.placed.clone(),
                avoid: entry.avoid.clone(),
                time_left: entry.deadline.since(now),
            });
            let deadline = entry.deadline;
            self.set_timer(request, deadline);
        }
    }

    fn close(
        &mut self,
        request: RequestKey,
        last: Option<StreamEvent>,
        cancel: bool,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(entry) = self.requests.remove(&request) else { return };
        self.timers.remove(&(entry.due, request));
        if entry.is_leg_open {
            outputs.push(RequestOutput::EndLeg { request, leg: entry.leg, cancel });
        }
        outputs.extend(last.map(|event| RequestOutput::Deliver { request, event }));
        outputs.push(RequestOutput::Closed(request));
    }
}
