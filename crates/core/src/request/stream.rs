//! The owner's part of a request: the reader of its stream, the position reached, and the handling
//! of engine failures.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{EngineReply, EventReceiver, StreamInput, StreamOutput};
use crate::{
    key::{EngineKey, WorkKey},
    refusal::{Reason, Refusal},
    time::Time,
};

/// Most attempts per request.
const MAX_ATTEMPTS: u32 = 4;
/// How long a request without a receiver stays resumable before it is cancelled.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between cancellations of a stream on an engine that does not answer.
const CANCEL_PERIOD: Duration = Duration::from_secs(1);
/// How long a cancellation is repeated. If the engine comes back later, its owner cancels the
/// stream as an orphan.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(120);

struct RelayedStream {
    receiver: EventReceiver,
    /// When the receiver was lost, if there is none.
    detached: Option<Time>,
    /// Position after the last token relayed.
    next_offset: u64,
    attempt: u32,
    deadline: Time,
    placed: Option<(EngineKey, Arc<str>)>,
    /// Number of the reader of the stream, or zero. A new reader gets a higher number, and inputs
    /// of earlier ones are ignored.
    reader: u64,
}

struct PendingCancel {
    next: Time,
    until: Time,
}

/// The requests that this host relays as an owner, and its unconfirmed cancellations of streams.
#[derive(Default)]
pub struct StreamTable {
    streams: BTreeMap<WorkKey, RelayedStream>,
    cancels: BTreeMap<(EngineKey, Arc<str>), PendingCancel>,
    next_reader: u64,
}

impl StreamTable {
    /// Position after the last token relayed, or zero for an unknown request.
    pub fn next_offset(&self, work: WorkKey) -> u64 {
        self.streams.get(&work).map_or(0, |entry| entry.next_offset)
    }

    /// Attempt number, from 1; 1 for an unknown request.
    pub fn attempt(&self, work: WorkKey) -> u32 {
        self.streams.get(&work).map_or(1, |entry| entry.attempt)
    }

    /// The engine and stream id of a request, unless it is queued.
    pub fn placed(&self, work: WorkKey) -> Option<&(EngineKey, Arc<str>)> {
        self.streams.get(&work)?.placed.as_ref()
    }

    /// Whether a reader has not been replaced by a later one.
    pub fn is_current_reader(&self, work: WorkKey, reader: u64) -> bool {
        self.streams.get(&work).is_some_and(|entry| entry.reader == reader)
    }

    /// Number of the current reader of a request, or zero if it has none.
    pub fn current_reader(&self, work: WorkKey) -> u64 {
        self.streams.get(&work).map_or(0, |entry| entry.reader)
    }

    /// Ids of the streams that belong to requests in this table.
    pub fn claimed_streams(&self) -> BTreeSet<Arc<str>> {
        let placed = self.streams.values().filter_map(|entry| entry.placed.as_ref());
        placed.map(|(_, stream)| stream.clone()).collect()
    }

    /// Number of cancellations that no engine has confirmed yet.
    pub fn pending_cancels(&self) -> usize {
        self.cancels.len()
    }

    /// Applies one input and returns the resulting outputs.
    pub fn step(&mut self, now: Time, input: StreamInput) -> Vec<StreamOutput> {
        let mut outputs = Vec::new();
        match input {
            StreamInput::Open { work, receiver, offset, attempt, deadline } => {
                let entry = RelayedStream {
                    receiver,
                    detached: None,
                    next_offset: offset,
                    attempt,
                    deadline,
                    placed: None,
                    reader: 0,
                };
                self.streams.insert(work, entry);
            }
            StreamInput::Attach { work, receiver, offset } => {
                self.attach(work, receiver, offset, &mut outputs);
            }
            StreamInput::Detach { work, attachment } => {
                self.detach(now, work, attachment, &mut outputs);
            }
            StreamInput::Place { work, engine, stream, submit } => {
                outputs.extend(self.place(work, engine, stream, submit));
            }
            StreamInput::Reply { work, reader, reply } => {
                self.handle_failed_reply(now, work, reader, reply, &mut outputs);
            }
            StreamInput::Chunk { work, reader, offset, tokens } => {
                let Some(entry) = self.current(work, reader) else { return outputs };
                if offset == entry.next_offset {
                    entry.next_offset += tokens;
                    outputs.push(StreamOutput::Relay(work));
                } else if offset > entry.next_offset {
                    outputs.push(self.follow(work));
                }
            }
            StreamInput::Ended { work, reader, complete } => {
                let Some(entry) = self.current(work, reader) else { return outputs };
                let end = entry.next_offset;
                if complete {
                    self.streams.remove(&work);
                    outputs.push(StreamOutput::Finish { work, end });
                } else {
                    entry.placed = None;
                    self.next_attempt(work, &mut outputs);
                }
            }
            StreamInput::ConnectionLost { work, reader } => {
                if self.current(work, reader).is_some() {
                    outputs.push(self.follow(work));
                }
            }
            StreamInput::Preempt(work) => {
                self.cancel_placed(now, work, &mut outputs);
                if let Some(entry) = self.streams.get_mut(&work) {
                    entry.attempt += 1;
                    outputs.push(StreamOutput::Requeue(work));
                }
            }
            StreamInput::Close(work) => {
                self.cancel_placed(now, work, &mut outputs);
                self.streams.remove(&work);
            }
            StreamInput::CancelConfirmed { engine, stream } => {
                self.cancels.remove(&(engine, stream));
            }
            StreamInput::ProcessResumed => {
                let followed = self.streams.iter().filter(|(_, entry)| entry.reader > 0);
                let followed: Vec<_> = followed.map(|(work, _)| *work).collect();
                outputs.extend(followed.into_iter().map(|work| self.follow(work)));
            }
            StreamInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// The entry of a request, if `reader` is its current reader.
    fn current(&mut self, work: WorkKey, reader: u64) -> Option<&mut RelayedStream> {
        self.streams.get_mut(&work).filter(|entry| entry.reader == reader)
    }

    fn new_reader(&mut self, work: WorkKey) -> u64 {
        self.next_reader += 1;
        if let Some(entry) = self.streams.get_mut(&work) {
            entry.reader = self.next_reader;
        }
        self.next_reader
    }

    /// Replaces the reader of a request by one that attaches to its stream.
    fn follow(&mut self, work: WorkKey) -> StreamOutput {
        StreamOutput::Follow { work, reader: self.new_reader(work) }
    }

    fn place(
        &mut self,
        work: WorkKey,
        engine: EngineKey,
        stream: Arc<str>,
        submit: bool,
    ) -> Option<StreamOutput> {
        // The same attempt may return to an engine on which its cancellation is still repeated.
        self.cancels.remove(&(engine, stream.clone()));
        self.streams.get_mut(&work)?.placed = Some((engine, stream));
        let reader = self.new_reader(work);
        Some(match submit {
            true => StreamOutput::Submit { work, reader },
            false => StreamOutput::Follow { work, reader },
        })
    }

    fn attach(
        &mut self,
        work: WorkKey,
        receiver: EventReceiver,
        offset: u64,
        outputs: &mut Vec<StreamOutput>,
    ) {
        let Some(entry) = self.streams.get_mut(&work) else { return };
        let current = &entry.receiver;
        // An entry host that was paused may want a request that its caller has since resumed at
        // another one. The later resumption keeps the request.
        let may_take = match receiver.resume_count.cmp(&current.resume_count) {
            Ordering::Less => false,
            Ordering::Greater => true,
            Ordering::Equal => receiver.entry == current.entry || entry.detached.is_some(),
        };
        if !may_take {
            return outputs.push(StreamOutput::Denied(work));
        }
        entry.receiver = receiver;
        entry.detached = None;
        entry.next_offset = offset;
        outputs.push(StreamOutput::Attached(work));
        if entry.placed.is_some() {
            outputs.push(self.follow(work));
        }
    }

    fn detach(
        &mut self,
        now: Time,
        work: WorkKey,
        attachment: u64,
        outputs: &mut Vec<StreamOutput>,
    ) {
        let Some(entry) = self.streams.get_mut(&work) else { return };
        // A receiver that was replaced must not detach its successor.
        if entry.receiver.attachment != attachment {
            return;
        }
        entry.detached.get_or_insert(now);
        // The entry host submits a queued request again, so it must not stay queued here as well.
        if entry.placed.is_none() {
            outputs.push(StreamOutput::Expired(work));
        }
    }

    fn handle_failed_reply(
        &mut self,
        now: Time,
        work: WorkKey,
        reader: u64,
        reply: EngineReply,
        outputs: &mut Vec<StreamOutput>,
    ) {
        let Some(entry) = self.current(work, reader) else { return };
        match reply {
            EngineReply::NoMemory => {
                entry.placed = None;
                entry.reader = 0;
                outputs.push(StreamOutput::Rejected(work));
            }
            EngineReply::StreamRejected => {
                // The stream may exist but no longer hold the wanted position, which makes it
                // useless.
                self.cancel_placed(now, work, outputs);
                self.next_attempt(work, outputs);
            }
            EngineReply::Failed => {
                let engine = entry.placed.as_ref().map(|placed| placed.0);
                // The stream may still run and hold memory.
                self.cancel_placed(now, work, outputs);
                outputs.extend(engine.map(StreamOutput::EngineFailed));
                self.next_attempt(work, outputs);
            }
        }
    }

    /// Removes a request and returns it for the next attempt, or fails it after the last one.
    fn next_attempt(&mut self, work: WorkKey, outputs: &mut Vec<StreamOutput>) {
        let Some(entry) = self.streams.remove(&work) else { return };
        let attempt = entry.attempt + 1;
        if attempt <= MAX_ATTEMPTS {
            return outputs.push(StreamOutput::Retry { work, attempt });
        }
        let refusal = Refusal::ran(Reason::EngineFailed, "the engine failed on every attempt");
        outputs.push(StreamOutput::Fail { work, refusal });
    }

    /// Cancels the stream of a request, if it has one, until the engine confirms.
    fn cancel_placed(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<StreamOutput>) {
        let Some(entry) = self.streams.get_mut(&work) else { return };
        entry.reader = 0;
        let Some((engine, stream)) = entry.placed.take() else { return };
        let pending = PendingCancel { next: now + CANCEL_PERIOD, until: now + CANCEL_TIMEOUT };
        self.cancels.insert((engine, stream.clone()), pending);
        outputs.push(StreamOutput::Cancel { engine, stream });
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<StreamOutput>) {
        self.cancels.retain(|_, pending| pending.until > now);
        for ((engine, stream), pending) in &mut self.cancels {
            if pending.next <= now {
                pending.next = now + CANCEL_PERIOD;
                outputs.push(StreamOutput::Cancel { engine: *engine, stream: stream.clone() });
            }
        }
        for (work, entry) in &self.streams {
            let is_abandoned =
                entry.detached.is_some_and(|since| now.since(since) >= DETACHED_TIMEOUT);
            if is_abandoned || entry.deadline + DETACHED_TIMEOUT <= now {
                outputs.push(StreamOutput::Expired(*work));
            }
        }
    }
}
