//! Requests for the engines that this host owns: queues and dispatches them, and sends their events
//! to the entry hosts.
//!
//! [`assign`] determines which engines this host owns, [`stream`] manages the streams on them,
//! [`group`] runs prompts that need several engines, [`orphan`] cancels streams that no host
//! claims, and [`report`] exchanges account usage with other hosts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_channel::Sender;
use async_io::Timer;
use parsley_core::{
    group::GroupPlanner,
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    record::RequestName,
    refusal::{Reason, Refusal},
    request::{EventReceiver, OrphanTracker, StreamEvent, StreamInput, StreamTable},
    scheduler::{PoolScheduler, SchedulerInput, SchedulerOutput, WorkItem, cost::PREFIX_TOKENS},
    time::Time,
};

use crate::{
    host::{HostRef, HostState},
    peer::frame::{PeerFrame, RequestOrder},
};

pub mod assign;
pub mod group;
pub mod orphan;
pub mod report;
pub mod stream;

/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time without a tick or other call of [`detect_pause`] after which the process is assumed to have
/// been paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// The destination of a request's events.
#[derive(Clone)]
pub enum EventSink {
    /// A task of this host.
    Local(Sender<StreamEvent>),
    /// A connection from another host.
    Peer {
        /// Channel that the peer chose for the request.
        channel: u64,
        /// Frames to be written to the connection.
        frames: Sender<PeerFrame>,
    },
}

impl EventSink {
    /// Queues an event without waiting. Returns false if the receiver is gone or its channel full.
    pub fn send(&self, event: StreamEvent) -> bool {
        match self {
            EventSink::Local(events) => events.try_send(event).is_ok(),
            EventSink::Peer { channel, frames } => {
                frames.try_send(PeerFrame::Event { channel: *channel, event }).is_ok()
            }
        }
    }
}

/// A receiver's attachment to a request. A later attachment to the same request supersedes it.
#[derive(Clone, Copy)]
pub struct Attachment {
    /// The attached request.
    pub work: WorkKey,
    /// Number of the attachment, unique on this host.
    pub id: u64,
}

struct PoolWork {
    order: RequestOrder,
    sink: EventSink,
    attachment: u64,
    deadline: Time,
    /// Hashes of the prompt's prefixes; see [`prefix_hashes`].
    prefixes: Vec<u64>,
}

/// The requests queued for or running on the engines that this host owns.
pub struct EnginePool {
    scheduler: PoolScheduler,
    streams: StreamTable,
    orphans: OrphanTracker,
    works: BTreeMap<WorkKey, PoolWork>,
    names: BTreeMap<RequestName, WorkKey>,
    owned: BTreeMap<EngineKey, Arc<str>>,
    groups: GroupPlanner,
    /// Tokens reserved on each engine for groups that this host runs.
    reserved: BTreeMap<(EngineKey, WorkKey), u64>,
    next_work: u64,
    next_attachment: u64,
    last_tick: Time,
    /// Number of pauses detected.
    epoch: u64,
}

impl Default for EnginePool {
    fn default() -> EnginePool {
        EnginePool {
            scheduler: PoolScheduler::default(),
            streams: StreamTable::default(),
            orphans: OrphanTracker::default(),
            works: BTreeMap::new(),
            names: BTreeMap::new(),
            owned: BTreeMap::new(),
            groups: GroupPlanner::new(fastrand::Rng::new()),
            reserved: BTreeMap::new(),
            next_work: 0,
            next_attachment: 0,
            last_tick: Time::ZERO,
            epoch: 0,
        }
    }
}

impl EnginePool {
    /// Number of requests, queued or running.
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// Whether the pool holds no request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove(&mut self, work: WorkKey) -> Option<PoolWork> {
        let entry = self.works.remove(&work)?;
        self.names.remove(&request_name(&entry.order));
        Some(entry)
    }
}

/// Starts the pool's periodic tasks.
pub fn start(host: &HostRef) {
    host.state.borrow_mut().pool.last_tick = host.now();
    host.spawn(tick_loop(host.clone()));
    assign::start(host);
    host.spawn(orphan::list_loop(host.clone()));
    host.spawn(report::usage_loop(host.clone()));
}

async fn tick_loop(host: HostRef) {
    loop {
        Timer::after(TICK_PERIOD).await;
        detect_pause(&host);
        stream::step(&host, StreamInput::Tick, None);
        step(&host, SchedulerInput::Tick);
        group::tick(&host);
    }
}

/// Detects that the process was paused since the last call. Returns the pause epoch, which
/// increments with each detected pause: data received on a connection opened in an earlier epoch
/// may be stale.
pub fn detect_pause(host: &HostRef) -> u64 {
    let now = host.now();
    let (was_paused, epoch) = {
        let pool = &mut host.state.borrow_mut().pool;
        let was_paused = now.since(pool.last_tick) > PAUSE_LIMIT;
        pool.last_tick = now;
        pool.epoch += u64::from(was_paused);
        (was_paused, pool.epoch)
    };
    if was_paused {
        stream::step(host, StreamInput::ProcessResumed, None);
    }
    epoch
}

/// Queues a request, or attaches the sink if this host already has the request. With `stream`, a
/// new request adopts that engine stream, which this or another host may have started, instead of
/// being queued.
pub fn submit_or_attach(
    host: &HostRef,
    order: RequestOrder,
    engine: &str,
    stream: Option<Arc<str>>,
    sink: EventSink,
) -> Attachment {
    sink.send(StreamEvent::Accepted);
    let (existing, id) = {
        let pool = &mut host.state.borrow_mut().pool;
        pool.next_attachment += 1;
        (pool.names.get(&request_name(&order)).copied(), pool.next_attachment)
    };
    match existing {
        Some(work) => attach(host, work, id, order, sink),
        None => open_request(host, id, order, engine, stream, sink),
    }
}

fn attach(
    host: &HostRef,
    work: WorkKey,
    id: u64,
    order: RequestOrder,
    sink: EventSink,
) -> Attachment {
    let receiver = EventReceiver {
        attachment: id,
        entry: order.entry.clone(),
        resume_count: order.resume_count,
    };
    let input = StreamInput::Attach { work, receiver, offset: order.offset };
    stream::step(host, input, Some(sink));
    Attachment { work, id }
}

fn open_request(
    host: &HostRef,
    id: u64,
    order: RequestOrder,
    engine: &str,
    stream: Option<Arc<str>>,
    sink: EventSink,
) -> Attachment {
    let deadline = host.now() + order.time_left;
    let receiver = EventReceiver {
        attachment: id,
        entry: order.entry.clone(),
        resume_count: order.resume_count,
    };
    let (offset, attempt) = (order.offset, order.attempt);
    let (work, key) = {
        let mut state = host.state.borrow_mut();
        let key = EngineKey(state.engines.intern(engine));
        let pool = &mut state.pool;
        pool.next_work += 1;
        let work = WorkKey(pool.next_work);
        pool.names.insert(request_name(&order), work);
        let prefixes = prefix_hashes(&order.prompt);
        pool.works.insert(work, PoolWork { order, sink, attachment: id, deadline, prefixes });
        (work, key)
    };
    stream::step(host, StreamInput::Open { work, receiver, offset, attempt, deadline }, None);
    let item = work_item(&mut host.state.borrow_mut(), work, Some(key));
    match stream {
        None => step(host, SchedulerInput::Submit(item)),
        Some(stream) => {
            step(host, SchedulerInput::Adopt { item, engine: key });
            stream::place(host, work, key, stream, false, 0);
        }
    }
    Attachment { work, id }
}

fn request_name(order: &RequestOrder) -> RequestName {
    RequestName { account: order.account.clone(), request: order.request.clone() }
}

/// Cancels a request, unless a later attachment has superseded this one.
pub fn cancel_attached(host: &HostRef, attachment: Attachment) {
    let is_current = {
        let works = &host.state.borrow().pool.works;
        works.get(&attachment.work).is_some_and(|entry| entry.attachment == attachment.id)
    };
    if is_current {
        cancel(host, attachment.work);
    }
}

/// Cancels a request by its name. Returns whether this host had the request.
pub fn cancel_by_name(host: &HostRef, name: &RequestName) -> bool {
    let work = host.state.borrow().pool.names.get(name).copied();
    work.map(|work| cancel(host, work)).is_some()
}

/// Cancels a request, queued or running, and notifies its receiver.
fn cancel(host: &HostRef, work: WorkKey) {
    let refusal = Refusal::not_run(Reason::Cancelled, "cancelled by the caller");
    end(host, work, StreamEvent::Refused(refusal));
    step(host, SchedulerInput::Cancel(work));
}

/// Records that a receiver has disconnected. The request stays resumable for a limited time.
pub fn detach(host: &HostRef, attachment: Attachment) {
    let Attachment { work, id } = attachment;
    stream::step(host, StreamInput::Detach { work, attachment: id }, None);
}

fn work_item(state: &mut HostState, work: WorkKey, preferred: Option<EngineKey>) -> WorkItem {
    let produced = state.pool.streams.next_offset(work);
    let entry = &state.pool.works[&work];
    let order = &entry.order;
    let rank = state.config.resources().ranks.get(&order.rank).map_or(u8::MAX, |rank| rank.level);
    WorkItem {
        work,
        account: AccountKey(state.accounts.intern(&order.account)),
        rank: RankKey(rank),
        model: ModelKey(state.models.intern(&order.model) as u16),
        prompt_tokens: prompt_tokens(&order.prompt) + produced,
        max_tokens: order.max_tokens.saturating_sub(produced),
        prefixes: entry.prefixes.clone(),
        preferred,
        deadline: entry.deadline,
    }
}

/// Estimated number of tokens in a prompt: its bytes divided by `BYTES_PER_TOKEN`, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of the prompt's leading [`PREFIX_TOKENS`] tokens, one for each length that the prompt
/// reaches.
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

/// Passes an input to the scheduler and executes its outputs.
pub fn step(host: &HostRef, input: SchedulerInput) {
    let outputs = host.state.borrow_mut().pool.scheduler.step(host.now(), input);
    for output in outputs {
        match output {
            SchedulerOutput::Dispatch { work, engine, priority } => {
                stream::dispatch(host, work, engine, priority);
            }
            SchedulerOutput::Preempt { work, .. } => {
                stream::step(host, StreamInput::Preempt(work), None);
            }
            SchedulerOutput::Abort { work, .. } => {
                let detail = "not finished within the rank's time";
                let refusal = Refusal::ran(Reason::DeadlineExceeded, detail);
                end(host, work, StreamEvent::Refused(refusal));
                // The cancellation of the stream may still be in flight. Until it completes, the
                // engine refuses new work for which it lacks memory.
                step(host, SchedulerInput::Finished(work));
            }
            SchedulerOutput::Refuse { work, refusal } => {
                end(host, work, StreamEvent::Refused(refusal));
            }
            SchedulerOutput::ReserveGroup(work) => group::start(host, work),
            SchedulerOutput::AbortGroup(work) => group::abort(host, work),
            SchedulerOutput::HandBack(work) => end(host, work, StreamEvent::Moved),
        }
    }
}

/// Removes a request, sends its final event and closes its stream, which is cancelled if it may
/// still run.
fn end(host: &HostRef, work: WorkKey, event: StreamEvent) {
    let entry = host.state.borrow_mut().pool.remove(work);
    if let Some(entry) = entry {
        entry.sink.send(event);
    }
    stream::step(host, StreamInput::Close(work), None);
}
