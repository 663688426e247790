//! Carries a request from its caller to an engine and its tokens back, with exactly one final
//! answer.
//!
//! [`RequestTable`] holds the requests of callers at their entry host; [`StreamTable`] holds the
//! same requests at the host that owns the engine. They are joined by a leg, one submission or
//! attachment to an owner. When a leg fails, the request is resumed at its offset on another one,
//! until the deadline forces the final answer.

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

/// Delay before the next leg after one has failed.
const LEG_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a request may be answered with `Moved` before it is refused. The engines of a dead
/// owner get a new one when its suspicion times out, which takes 3 s at up to 32 hosts.
const MOVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most multiples of the leg delay before an attempt; the backoff grows linearly up to here.
const MAX_DELAY_STEPS: u32 = 10;

struct OpenRequest {
    deadline: Time,
    offset: u64,
    attempt: u32,
    placed: Option<PlacedStream>,
    avoid: Option<Arc<str>>,
    /// Whether any attempt may have reached an engine.
    outcome: Outcome,
    /// When the first `Moved` arrived since the request last started on an engine.
    moved_since: Option<Time>,
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

/// The open requests of this host as an entry host.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestKey, OpenRequest>,
    timers: BTreeSet<(Time, RequestKey)>,
}

impl RequestTable {
    /// Number of requests that have no final answer yet.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Applies one input and returns the resulting outputs.
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
                    moved_since: None,
                    leg: LegKey(0),
                    is_leg_open: false,
                    due: now,
                };
                self.timers.insert((now, request));
                self.requests.insert(request, entry);
                self.expire(now, &mut outputs);
            }
            RequestInput::Event { request, leg, event } => {
                self.handle_event(now, request, leg, event, &mut outputs);
            }
            RequestInput::LegFailed { request, leg } => {
                // The `Started` event may have been lost with the connection.
                let entry = self.requests.get_mut(&request);
                if let Some(entry) = entry.filter(|entry| entry.leg == leg && entry.is_leg_open)
                    && entry.outcome == Outcome::NotRun
                {
                    entry.outcome = Outcome::Unknown;
                }
                self.next_leg(now, request, leg, LEG_RETRY_DELAY, &mut outputs);
            }
            RequestInput::NoEngine { request, leg } => {
                self.handle_no_engine(now, request, leg, &mut outputs);
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

    fn handle_event(
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
                let since = *entry.moved_since.get_or_insert(now);
                if now.since(since) >= MOVE_TIMEOUT {
                    return self.refuse_no_engine(request, outputs);
                }
                return self.next_leg(now, request, leg, LEG_RETRY_DELAY, outputs);
            }
            StreamEvent::Started { attempt, .. } if attempt < entry.attempt => return,
            StreamEvent::Started { ref engine, ref stream, attempt } => {
                let (engine, stream) = (engine.clone(), stream.clone());
                entry.placed = Some(PlacedStream { engine, stream });
                entry.attempt = attempt;
                entry.outcome = Outcome::Ran;
                entry.moved_since = None;
            }
            StreamEvent::Chunk { offset, tokens, .. } => {
                // The caller already has this chunk: it was sent before the stream was reattached.
                if offset + tokens <= entry.offset {
                    return;
                }
                // A gap before this chunk means that an earlier one was lost.
                if offset != entry.offset {
                    return self.next_leg(now, request, leg, Duration::ZERO, outputs);
                }
                entry.offset += tokens;
            }
            StreamEvent::Finished { end } if end != entry.offset => {
                return self.next_leg(now, request, leg, LEG_RETRY_DELAY, outputs);
            }
            StreamEvent::Finished { .. } => {
                return self.close(request, Some(event), false, outputs);
            }
            StreamEvent::Refused(mut refusal) => {
                // The owner may only know of the last attempt.
                if refusal.outcome == Outcome::NotRun {
                    refusal.outcome = entry.outcome;
                }
                return self.close(request, Some(StreamEvent::Refused(refusal)), false, outputs);
            }
            StreamEvent::Retry { attempt } => {
                entry.avoid = entry.placed.take().map(|placed| placed.engine);
                let failed = entry.attempt;
                entry.attempt = attempt.max(entry.attempt + 1);
                let delay = LEG_RETRY_DELAY * failed.min(MAX_DELAY_STEPS);
                return self.next_leg(now, request, leg, delay, outputs);
            }
            StreamEvent::Accepted => {}
        }
        outputs.push(RequestOutput::Deliver { request, event });
    }

    /// Ends a leg and schedules the next one after a delay.
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

    fn handle_no_engine(
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
        // The engine of the stream was removed from the configuration: another one does the rest.
        if entry.placed.take().is_some() {
            entry.attempt += 1;
            return self.next_leg(now, request, leg, Duration::ZERO, outputs);
        }
        self.refuse_no_engine(request, outputs);
    }

    fn refuse_no_engine(&mut self, request: RequestKey, outputs: &mut Vec<RequestOutput>) {
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

    /// Starts the legs that are due and refuses requests that are past their deadline.
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

    /// Removes a request and delivers its final event, if there is one.
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
