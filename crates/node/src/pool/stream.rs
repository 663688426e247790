//! Engine streams: submits, follows and cancels them as directed by the stream table.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    key::{EngineKey, WorkKey},
    refusal::{Reason, Refusal},
    request::{EngineReply, StreamEvent, StreamInput, StreamOutput},
    scheduler::SchedulerInput,
};

use super::{EventSink, assign::record_failure, detect_pause, end, work_item};
use crate::{
    adapter::engine::{self, EngineAnswer, EngineEvent, EngineNotice, EngineOrder, EngineStream},
    error::NodeError,
    event,
    host::HostRef,
};

/// Delay before the scheduler learns that an engine rejected work for lack of memory, and queues
/// the work again.
const REJECTION_DELAY: Duration = Duration::from_millis(50);

pub(super) fn dispatch(host: &HostRef, work: WorkKey, engine: EngineKey, priority: u8) {
    let stream = {
        let state = host.state.borrow();
        let Some(entry) = state.pool.works.get(&work) else { return };
        let attempt = state.pool.streams.attempt(work);
        stream_id(&entry.order.account, &entry.order.request, attempt)
    };
    place(host, work, engine, stream, true, priority);
}

/// Places a request on an engine. With `submit` the stream is submitted there with `priority`;
/// otherwise it is expected to exist already and is followed.
pub(super) fn place(
    host: &HostRef,
    work: WorkKey,
    engine: EngineKey,
    stream: Arc<str>,
    submit: bool,
    priority: u8,
) {
    let now = host.now();
    let input = StreamInput::Place { work, engine, stream, submit };
    let outputs = host.state.borrow_mut().pool.streams.step(now, input);
    if submit {
        send_started(host, work);
    }
    for output in outputs {
        match output {
            StreamOutput::Submit { work, reader } => {
                host.spawn(submit_stream(host.clone(), work, reader, priority));
            }
            other => carry_out(host, other, &mut None, &mut None),
        }
    }
}

/// Places a request on the last engine of its group without submitting it, because the group runner
/// does. Returns the reader number.
pub(super) fn place_group(
    host: &HostRef,
    work: WorkKey,
    engine: EngineKey,
    stream: Arc<str>,
) -> u64 {
    let now = host.now();
    let input = StreamInput::Place { work, engine, stream, submit: true };
    host.state.borrow_mut().pool.streams.step(now, input);
    send_started(host, work);
    host.state.borrow().pool.streams.current_reader(work)
}

/// Passes an input to the stream table and executes its outputs. `sink` is the new receiver if the
/// input is an attachment.
pub(super) fn step(host: &HostRef, input: StreamInput, sink: Option<EventSink>) {
    let now = host.now();
    let mut new_receiver = sink.map(|sink| (sink, attachment_of(&input)));
    let outputs = host.state.borrow_mut().pool.streams.step(now, input);
    let mut chunk = None;
    for output in outputs {
        carry_out(host, output, &mut chunk, &mut new_receiver);
    }
}

fn attachment_of(input: &StreamInput) -> u64 {
    match input {
        StreamInput::Attach { receiver, .. } => receiver.attachment,
        _ => 0,
    }
}

fn carry_out(
    host: &HostRef,
    output: StreamOutput,
    chunk: &mut Option<(u64, u64, String)>,
    new_receiver: &mut Option<(EventSink, u64)>,
) {
    match output {
        StreamOutput::Attached(work) => {
            if let Some((sink, id)) = new_receiver.take() {
                replace_receiver(host, work, sink, id);
            }
        }
        StreamOutput::Denied(_) => {
            if let Some((sink, _)) = new_receiver.take() {
                sink.send(StreamEvent::Refused(resumed_elsewhere()));
            }
        }
        // `place` handles submissions itself, because it knows their priority.
        StreamOutput::Submit { work, reader } => {
            host.spawn(submit_stream(host.clone(), work, reader, 0));
        }
        StreamOutput::Follow { work, reader } => {
            host.spawn(follow_stream(host.clone(), work, reader));
        }
        StreamOutput::Relay(work) => {
            if let Some((offset, tokens, text)) = chunk.take() {
                relay(host, work, offset, tokens, text);
            }
        }
        StreamOutput::Finish { work, end: position } => {
            end(host, work, StreamEvent::Finished { end: position });
            super::step(host, SchedulerInput::Finished(work));
        }
        StreamOutput::Fail { work, refusal } => {
            end(host, work, StreamEvent::Refused(refusal));
            super::step(host, SchedulerInput::Finished(work));
        }
        StreamOutput::Requeue(work) => requeue(host, work),
        StreamOutput::Retry { work, attempt } => {
            end(host, work, StreamEvent::Retry { attempt });
            super::step(host, SchedulerInput::Finished(work));
        }
        StreamOutput::Rejected(work) => {
            let host = host.clone();
            host.clone().spawn(async move {
                Timer::after(REJECTION_DELAY).await;
                super::step(&host, SchedulerInput::Rejected(work));
            });
        }
        StreamOutput::EngineFailed(engine) => record_failure(host, engine),
        StreamOutput::Cancel { engine, stream } => {
            host.spawn(cancel_stream(host.clone(), engine, stream));
        }
        StreamOutput::Expired(work) => {
            let refusal = Refusal::ran(Reason::Cancelled, "the caller did not reconnect in time");
            end(host, work, StreamEvent::Refused(refusal));
            super::step(host, SchedulerInput::Cancel(work));
        }
    }
}

fn resumed_elsewhere() -> Refusal {
    Refusal::ran(Reason::Conflict, "the request was resumed on another connection")
}

/// Replaces a request's receiver and refuses the old one.
fn replace_receiver(host: &HostRef, work: WorkKey, sink: EventSink, id: u64) {
    let old = {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        entry.attachment = id;
        std::mem::replace(&mut entry.sink, sink)
    };
    old.send(StreamEvent::Refused(resumed_elsewhere()));
    send_started(host, work);
}

fn send_started(host: &HostRef, work: WorkKey) {
    let state = host.state.borrow();
    let pool = &state.pool;
    let Some((engine, stream)) = pool.streams.placed(work).cloned() else { return };
    let Some(name) = state.engines.name(engine.0).cloned() else { return };
    let Some(entry) = pool.works.get(&work) else { return };
    let attempt = pool.streams.attempt(work);
    entry.sink.send(StreamEvent::Started { engine: name, stream, attempt });
}

/// The stream id of a request's attempt. It is derived from the account, request id and attempt, so
/// two hosts that submit the same attempt share one stream.
pub fn stream_id(account: &str, request: &str, attempt: u32) -> Arc<str> {
    let mut hasher = blake3::Hasher::new();
    for part in [account, request] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&attempt.to_le_bytes());
    hasher.finalize().to_hex()[..32].into()
}

async fn submit_stream(host: HostRef, work: WorkKey, reader: u64, priority: u8) {
    let Some((address, order)) = engine_order(&host, work, priority) else {
        return step(
            &host,
            StreamInput::Reply { work, reader, reply: EngineReply::StreamRejected },
            None,
        );
    };
    let answer = engine::submit(&address, &order).await;
    handle_answer(&host, work, reader, answer).await;
}

async fn follow_stream(host: HostRef, work: WorkKey, reader: u64) {
    let Some((address, order)) = engine_order(&host, work, 0) else {
        return step(
            &host,
            StreamInput::Reply { work, reader, reply: EngineReply::StreamRejected },
            None,
        );
    };
    let answer = engine::attach(&address, &order.stream, order.offset, &order.owner).await;
    handle_answer(&host, work, reader, answer).await;
}

fn engine_order(host: &HostRef, work: WorkKey, priority: u8) -> Option<(Arc<str>, EngineOrder)> {
    let state = host.state.borrow();
    let entry = state.pool.works.get(&work)?;
    let (engine, stream) = state.pool.streams.placed(work)?.clone();
    let name = state.engines.name(engine.0)?;
    let address = state.config.resources().servers.get(name)?.address.clone();
    let order = EngineOrder {
        stream,
        model: entry.order.model.clone(),
        prompt: entry.order.prompt.clone(),
        offset: state.pool.streams.next_offset(work),
        max_tokens: entry.order.max_tokens,
        priority,
        owner: host.settings.name.clone(),
        time_left: entry.deadline.since(host.now()),
    };
    Some((address, order))
}

async fn handle_answer(
    host: &HostRef,
    work: WorkKey,
    reader: u64,
    answer: Result<(EngineAnswer, EngineNotice), NodeError>,
) {
    detect_pause(host);
    let answer = answer.map(|(answer, notice)| {
        let placed = host.state.borrow().pool.streams.placed(work).map(|(engine, _)| *engine);
        placed.iter().for_each(|engine| super::assign::apply_notice(host, *engine, notice));
        answer
    });
    let reply = match answer {
        Ok(EngineAnswer::Stream(stream)) => return read(host, work, reader, stream).await,
        Ok(EngineAnswer::NoMemory) => EngineReply::NoMemory,
        Ok(EngineAnswer::Refused) => EngineReply::StreamRejected,
        Err(_) => EngineReply::Failed,
    };
    step(host, StreamInput::Reply { work, reader, reply }, None);
}

pub(super) async fn read(
    host: &HostRef,
    work: WorkKey,
    reader: u64,
    mut stream: Box<EngineStream>,
) {
    loop {
        let event = stream.next().await;
        detect_pause(host);
        if !host.state.borrow().pool.streams.is_current_reader(work, reader) {
            return;
        }
        match event {
            Ok(EngineEvent::KeepAlive) => {}
            Ok(EngineEvent::Chunk { offset, tokens, text }) => {
                let input = StreamInput::Chunk { work, reader, offset, tokens };
                let now = host.now();
                let outputs = host.state.borrow_mut().pool.streams.step(now, input);
                let mut chunk = Some((offset, tokens, text));
                for output in outputs {
                    carry_out(host, output, &mut chunk, &mut None);
                }
            }
            Ok(EngineEvent::End { complete }) => {
                if complete {
                    super::assign::record_success(host, work);
                }
                return step(host, StreamInput::Ended { work, reader, complete }, None);
            }
            Err(_) => return step(host, StreamInput::ConnectionLost { work, reader }, None),
        }
    }
}

fn relay(host: &HostRef, work: WorkKey, offset: u64, tokens: u64, text: String) {
    let lost = {
        let state = host.state.borrow();
        let Some(entry) = state.pool.works.get(&work) else { return };
        let is_sent = entry.sink.send(StreamEvent::Chunk { offset, tokens, text });
        (!is_sent).then_some(entry.attachment)
    };
    if let Some(attachment) = lost {
        step(host, StreamInput::Detach { work, attachment }, None);
    }
    super::step(host, SchedulerInput::Progress { work, tokens });
}

fn requeue(host: &HostRef, work: WorkKey) {
    let item = {
        let mut state = host.state.borrow_mut();
        if !state.pool.works.contains_key(&work) {
            return;
        }
        work_item(&mut state, work, None)
    };
    super::step(host, SchedulerInput::Requeue(item));
}

/// Cancels a stream on an engine, which ignores this if another host has taken the stream over.
async fn cancel_stream(host: HostRef, engine: EngineKey, stream: Arc<str>) {
    let Some(address) = address(&host, engine) else {
        // The engine was removed from the configuration.
        return step(&host, StreamInput::CancelConfirmed { engine, stream }, None);
    };
    match engine::cancel(&address, &stream, &host.settings.name).await {
        Ok(()) => step(&host, StreamInput::CancelConfirmed { engine, stream }, None),
        Err(err) => {
            event!(host.log, CANCEL_FAILED, "stream" => &*stream, "error" => %err);
        }
    }
}

/// The address of an engine, if the current configuration contains it.
pub(super) fn address(host: &HostRef, engine: EngineKey) -> Option<Arc<str>> {
    let state = host.state.borrow();
    let name = state.engines.name(engine.0)?;
    Some(state.config.resources().servers.get(name)?.address.clone())
}
