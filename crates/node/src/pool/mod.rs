//! Requests on the engines that this host owns: queues them, drives the engines and tells the
//! entry hosts what happens.
//!
//! [`assign`] decides which engines those are, [`stream`] drives the streams on them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_channel::Sender;
use async_io::Timer;
use parsley_core::{
    group::GroupPlanner,
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    scheduler::{PoolScheduler, SchedulerInput, SchedulerOutput, WorkItem, cost::PREFIX_TOKENS},
    time::Time,
};

use crate::{
    host::{HostRef, HostState},
    peer::frame::{PeerFrame, RequestOrder, StreamEvent},
};

pub mod assign;
pub mod group;
pub mod report;
pub mod stream;

/// Bytes of a prompt counted as one token.
const BYTES_PER_TOKEN: usize = 4;
const TICK: Duration = Duration::from_millis(50);
/// Time for which a stream without a caller is kept for resumption.
const DETACHED_LIMIT: Duration = Duration::from_secs(10);

/// Where the events of a request go.
#[derive(Clone)]
pub enum EventSink {
    /// A task of this host.
    Local(Sender<StreamEvent>),
    /// Another host.
    Peer {
        /// Channel on the connection.
        channel: u64,
        /// Connection.
        frames: Sender<PeerFrame>,
    },
}

impl EventSink {
    /// Sends an event. Returns whether the receiver is still there.
    pub fn send(&self, event: StreamEvent) -> bool {
        match self {
            EventSink::Local(events) => events.try_send(event).is_ok(),
            EventSink::Peer { channel, frames } => {
                frames.try_send(PeerFrame::Event { channel: *channel, event }).is_ok()
            }
        }
    }
}

struct PoolWork {
    order: RequestOrder,
    sink: EventSink,
    deadline: Time,
    /// Position after the last token sent to the sink.
    produced: u64,
    placed: Option<(EngineKey, Arc<str>)>,
    /// Grows when another task takes over the stream; the earlier task then stops.
    reader: u64,
    detached: Option<Time>,
    /// Hashes of the prompt's leading parts.
    prefixes: Vec<u64>,
}

/// The requests of the engines that this host owns.
pub struct EnginePool {
    scheduler: PoolScheduler,
    works: BTreeMap<WorkKey, PoolWork>,
    owned: BTreeMap<EngineKey, Arc<str>>,
    groups: GroupPlanner,
    /// Memory reserved for groups of this host.
    reserved: BTreeMap<(EngineKey, WorkKey), u64>,
    next_work: u64,
}

impl Default for EnginePool {
    fn default() -> EnginePool {
        EnginePool {
            scheduler: PoolScheduler::default(),
            works: BTreeMap::new(),
            owned: BTreeMap::new(),
            groups: GroupPlanner::new(fastrand::Rng::new()),
            reserved: BTreeMap::new(),
            next_work: 0,
        }
    }
}

impl EnginePool {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// Whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    fn insert(&mut self, order: RequestOrder, sink: EventSink, deadline: Time) -> WorkKey {
        self.next_work += 1;
        let work = WorkKey(self.next_work);
        let produced = order.offset;
        let prefixes = prefix_hashes(&order.prompt);
        let (placed, reader, detached) = (None, 0, None);
        let entry =
            PoolWork { order, sink, deadline, produced, placed, reader, detached, prefixes };
        self.works.insert(work, entry);
        work
    }

    fn find(&self, stream: &str) -> Option<WorkKey> {
        let is_same =
            |entry: &PoolWork| entry.placed.as_ref().is_some_and(|(_, placed)| **placed == *stream);
        self.works.iter().find(|(_, entry)| is_same(entry)).map(|(work, _)| *work)
    }
}

/// Starts the timers of the pool.
pub fn start(host: &HostRef) {
    host.spawn(tick_loop(host.clone()));
    assign::start(host);
    host.spawn(report::usage_loop(host.clone()));
}

async fn tick_loop(host: HostRef) {
    loop {
        Timer::after(TICK).await;
        cancel_detached(&host);
        step(&host, SchedulerInput::Tick);
        group::tick(&host);
    }
}

/// Queues a request.
pub fn submit(host: &HostRef, order: RequestOrder, engine: &str, sink: EventSink) -> WorkKey {
    sink.send(StreamEvent::Accepted);
    let deadline = host.now() + order.time_left;
    let (work, item) = {
        let mut state = host.state.borrow_mut();
        let work = state.pool.insert(order, sink, deadline);
        let preferred = state.engines.get(engine).map(EngineKey);
        (work, work_item(&mut state, work, preferred))
    };
    step(host, SchedulerInput::Submit(item));
    work
}

/// Attaches to a stream that may be running on an engine, whoever started it.
pub fn attach(
    host: &HostRef,
    order: RequestOrder,
    engine: &str,
    stream: &Arc<str>,
    sink: EventSink,
) -> WorkKey {
    sink.send(StreamEvent::Accepted);
    let deadline = host.now() + order.time_left;
    let (work, reader, engine) = {
        let mut state = host.state.borrow_mut();
        let engine = EngineKey(state.engines.intern(engine));
        let work = match state.pool.find(stream) {
            Some(work) => {
                let entry = state.pool.works.get_mut(&work).expect("found above");
                entry.sink = sink;
                entry.detached = None;
                entry.produced = order.offset;
                work
            }
            None => state.pool.insert(order, sink, deadline),
        };
        let entry = state.pool.works.get_mut(&work).expect("inserted above");
        entry.placed = Some((engine, stream.clone()));
        entry.reader += 1;
        (work, entry.reader, engine)
    };
    let item = work_item(&mut host.state.borrow_mut(), work, Some(engine));
    step(host, SchedulerInput::Adopt { item, engine });
    host.spawn(stream::run(host.clone(), work, reader, stream::StartKind::Attach));
    work
}

/// Cancels a request for its caller.
pub fn cancel(host: &HostRef, work: WorkKey) {
    step(host, SchedulerInput::Cancel(work));
    host.state.borrow_mut().pool.works.retain(|key, entry| *key != work || entry.placed.is_some());
}

/// Notes that the receiver of a request's events is gone.
pub fn detach(host: &HostRef, work: WorkKey) {
    let now = host.now();
    let queued = {
        let mut state = host.state.borrow_mut();
        let Some(entry) = state.pool.works.get_mut(&work) else { return };
        entry.detached.get_or_insert(now);
        entry.placed.is_none()
    };
    // The entry host or the caller submits queued work again; it must not stay here as well.
    if queued {
        cancel(host, work);
    }
}

fn cancel_detached(host: &HostRef) {
    let now = host.now();
    let expired: Vec<_> = {
        let state = host.state.borrow();
        let is_expired = |entry: &PoolWork| {
            entry.detached.is_some_and(|since| now.since(since) >= DETACHED_LIMIT)
        };
        let works = state.pool.works.iter();
        works.filter(|(_, entry)| is_expired(entry)).map(|(work, _)| *work).collect()
    };
    for work in expired {
        cancel(host, work);
    }
}

fn work_item(state: &mut HostState, work: WorkKey, preferred: Option<EngineKey>) -> WorkItem {
    let entry = &state.pool.works[&work];
    let order = &entry.order;
    let prefixes = entry.prefixes.clone();
    let rank = state.config.resources().ranks.get(&order.rank).map_or(u8::MAX, |rank| rank.level);
    WorkItem {
        work,
        account: AccountKey(state.accounts.intern(&order.account)),
        rank: RankKey(rank),
        model: ModelKey(state.models.intern(&order.model) as u16),
        prompt_tokens: prompt_tokens(&order.prompt) + entry.produced,
        max_tokens: order.max_tokens.saturating_sub(entry.produced),
        prefixes,
        preferred,
        deadline: entry.deadline,
    }
}

/// Tokens of a prompt: four bytes a token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of the prompt's first 1k, 4k, 16k and 64k tokens, as far as it reaches.
fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut hashes = Vec::new();
    let mut done = 0;
    for tokens in PREFIX_TOKENS {
        let end = tokens as usize * BYTES_PER_TOKEN;
        let Some(part) = prompt.as_bytes().get(done..end) else { break };
        hasher.update(part);
        done = end;
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        hashes.push(u64::from_le_bytes(head));
    }
    hashes
}

/// Advances the scheduler and carries out what it asks for.
pub fn step(host: &HostRef, input: SchedulerInput) {
    let outputs = host.state.borrow_mut().pool.scheduler.step(host.now(), input);
    for output in outputs {
        match output {
            SchedulerOutput::Dispatch { work, engine, priority } => {
                stream::dispatch(host, work, engine, priority);
            }
            SchedulerOutput::Preempt { work, engine } => stream::preempt(host, work, engine),
            SchedulerOutput::Abort { work, engine } => stream::abort(host, work, engine),
            SchedulerOutput::Refuse { work, refusal } => {
                finish(host, work, StreamEvent::Refused(refusal));
            }
            SchedulerOutput::Group(work) => group::start(host, work),
            SchedulerOutput::AbortGroup(work) => group::abort(host, work),
            SchedulerOutput::Move(work) => finish(host, work, StreamEvent::Moved),
        }
    }
}

fn finish(host: &HostRef, work: WorkKey, event: StreamEvent) {
    if let Some(entry) = host.state.borrow_mut().pool.works.remove(&work) {
        entry.sink.send(event);
    }
}
