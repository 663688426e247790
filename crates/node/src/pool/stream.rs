//! Streams on engines: submits, follows, attaches again, and goes on with the next attempt.

use std::{sync::Arc, time::Duration};

use super::{assign::eject, finish, step, work_item};
use crate::{
    adapter::engine::{self, EngineAnswer, EngineEvent, EngineOrder, EngineStream},
    event,
    host::HostRef,
    peer::frame::{RequestOrder, StreamEvent},
};
use async_io::Timer;
use parsley_core::{
    key::{EngineKey, WorkKey},
    refusal::{Reason, Refusal},
    scheduler::SchedulerInput,
};

/// Delay before work that an engine refused for lack of memory is offered again.
const REJECTED_DELAY: Duration = Duration::from_millis(50);
/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// How a task gets to a stream.
pub(super) enum StartKind {
    Submit { priority: u8 },
    Attach,
}

pub(super) fn dispatch(host: &HostRef, work: WorkKey, engine: EngineKey, priority: u8) {
    let reader = {
        let mut state = host.state.borrow_mut();
        let Some(name) = state.engines.name(engine.0).cloned() else { return };
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        let stream = stream_id(&entry.order);
        entry.placed = Some((engine, stream.clone()));
        entry.reader += 1;
        let attempt = entry.order.attempt;
        entry.sink.send(StreamEvent::Started { engine: name, stream, attempt });
        entry.reader
    };
    host.spawn(run(host.clone(), work, reader, StartKind::Submit { priority }));
}

/// The stream id of a request's attempt. Two hosts that submit the same attempt get one stream.
pub fn stream_id(order: &RequestOrder) -> Arc<str> {
    let mut hasher = blake3::Hasher::new();
    for part in [&order.account, &order.request] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&order.attempt.to_le_bytes());
    hasher.finalize().to_hex()[..32].into()
}

pub(super) async fn run(host: HostRef, work: WorkKey, reader: u64, kind: StartKind) {
    let Some((address, order)) = engine_order(&host, work, &kind) else { return };
    let answer = match kind {
        StartKind::Submit { .. } => engine::submit(&address, &order).await,
        StartKind::Attach => engine::attach(&address, &order.stream, order.offset).await,
    };
    match answer {
        Ok(EngineAnswer::Stream(stream)) => relay(&host, work, reader, &address, stream).await,
        Ok(EngineAnswer::NoMemory) => {
            Timer::after(REJECTED_DELAY).await;
            if is_current(&host, work, reader) {
                unplace(&host, work);
                step(&host, SchedulerInput::Rejected(work));
            }
        }
        Ok(EngineAnswer::Refused) | Err(_) => next_attempt(&host, work, reader),
    }
}

fn engine_order(
    host: &HostRef,
    work: WorkKey,
    kind: &StartKind,
) -> Option<(Arc<str>, EngineOrder)> {
    let state = host.state.borrow();
    let entry = state.pool.works.get(&work)?;
    let (engine, stream) = entry.placed.clone()?;
    let name = state.engines.name(engine.0)?;
    let address = state.config.resources().servers.get(name)?.address.clone();
    let priority = match kind {
        StartKind::Submit { priority } => *priority,
        StartKind::Attach => 0,
    };
    let order = EngineOrder {
        stream,
        model: entry.order.model.clone(),
        prompt: entry.order.prompt.clone(),
        offset: entry.produced,
        max_tokens: entry.order.max_tokens,
        priority,
    };
    Some((address, order))
}

pub(super) async fn relay(
    host: &HostRef,
    work: WorkKey,
    reader: u64,
    address: &str,
    mut stream: Box<EngineStream>,
) {
    loop {
        let event = stream.next().await;
        if !is_current(host, work, reader) {
            return;
        }
        match event {
            Ok(EngineEvent::KeepAlive) => {}
            Ok(EngineEvent::Chunk { offset, tokens, text }) => {
                pass_on(host, work, offset, tokens, text);
            }
            Ok(EngineEvent::End { complete: true }) => {
                super::assign::succeeded(host, work);
                finish(host, work, StreamEvent::Finished);
                step(host, SchedulerInput::Finished(work));
                return;
            }
            Ok(EngineEvent::End { complete: false }) => return next_attempt(host, work, reader),
            Err(_) => match reattach(host, work, address).await {
                Some(again) => stream = again,
                None => return next_attempt(host, work, reader),
            },
        }
    }
}

/// A new connection to the same stream, which may still run behind a connection gone silent.
async fn reattach(host: &HostRef, work: WorkKey, address: &str) -> Option<Box<EngineStream>> {
    let (stream, offset) = {
        let state = host.state.borrow();
        let entry = state.pool.works.get(&work)?;
        (entry.placed.clone()?.1, entry.produced)
    };
    match engine::attach(address, &stream, offset).await {
        Ok(EngineAnswer::Stream(stream)) => Some(stream),
        _ => None,
    }
}

fn pass_on(host: &HostRef, work: WorkKey, offset: u64, tokens: u64, text: String) {
    let now = host.now();
    {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        // A chunk at another position belongs to an earlier connection.
        if offset != entry.produced {
            return;
        }
        entry.produced += tokens;
        if !entry.sink.send(StreamEvent::Chunk { offset, tokens, text }) {
            entry.detached.get_or_insert(now);
        }
    }
    step(host, SchedulerInput::Progress { work, tokens });
}

/// The engine failed: queues the rest of the request for another engine, or fails it.
pub(super) fn next_attempt(host: &HostRef, work: WorkKey, reader: u64) {
    if !is_current(host, work, reader) {
        return;
    }
    let (engine, attempt) = {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        entry.reader += 1;
        entry.order.attempt += 1;
        (entry.placed.take().map(|placed| placed.0), entry.order.attempt)
    };
    if let Some(engine) = engine {
        eject(host, engine);
    }
    if attempt > MAX_ATTEMPTS {
        let refusal = Refusal::ran(Reason::EngineFailed, "the engine failed on every attempt");
        finish(host, work, StreamEvent::Refused(refusal));
        return step(host, SchedulerInput::Finished(work));
    }
    let item = work_item(&mut host.state.borrow_mut(), work, None);
    step(host, SchedulerInput::Retry(item));
}

pub(super) fn preempt(host: &HostRef, work: WorkKey, engine: EngineKey) {
    let stream = {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        entry.reader += 1;
        entry.order.attempt += 1;
        entry.placed.take().map(|placed| placed.1)
    };
    let Some(stream) = stream else { return };
    let host = host.clone();
    host.clone().spawn(async move {
        cancel_stream(&host, engine, &stream).await;
        if !host.state.borrow().pool.works.contains_key(&work) {
            return step(&host, SchedulerInput::Finished(work));
        }
        let item = work_item(&mut host.state.borrow_mut(), work, None);
        step(&host, SchedulerInput::Requeue(item));
    });
}

pub(super) fn abort(host: &HostRef, work: WorkKey, engine: EngineKey) {
    let stream = {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        entry.reader += 1;
        entry.placed.take().map(|placed| placed.1)
    };
    let Some(stream) = stream else { return };
    let refusal = Refusal::ran(Reason::DeadlineExceeded, "not finished within the rank's time");
    finish(host, work, StreamEvent::Refused(refusal));
    let host = host.clone();
    host.clone().spawn(async move {
        cancel_stream(&host, engine, &stream).await;
        step(&host, SchedulerInput::Finished(work));
    });
}

async fn cancel_stream(host: &HostRef, engine: EngineKey, stream: &str) {
    let address = {
        let state = host.state.borrow();
        let name = state.engines.name(engine.0);
        name.and_then(|name| state.config.resources().servers.get(name))
            .map(|server| server.address.clone())
    };
    let Some(address) = address else { return };
    if let Err(err) = engine::cancel(&address, stream).await {
        event!(host.log, CANCEL_FAILED, "stream" => stream, "error" => %err);
    }
}

fn unplace(host: &HostRef, work: WorkKey) {
    if let Some(entry) = host.state.borrow_mut().pool.works.get_mut(&work) {
        entry.placed = None;
    }
}

fn is_current(host: &HostRef, work: WorkKey, reader: u64) -> bool {
    host.state.borrow().pool.works.get(&work).is_some_and(|entry| entry.reader == reader)
}
