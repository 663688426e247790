//! Runs prompts that exceed the memory of one engine: reserves a group of engines, processes the
//! prompt in segments, one per member, and decodes on the last member.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    group::{GroupEngine, GroupInput, GroupMember, GroupOutput, RESERVATION_TERM},
    key::{EngineKey, WorkKey},
    placement::{engine_owner, serves},
    refusal::{Reason, Refusal},
    request::{EngineReply, StreamEvent, StreamInput},
    resource::{BackendRole, BackendServer},
    scheduler::SchedulerInput,
};

use super::{end as end_request, step, stream};
use crate::{
    adapter::engine::{self, EngineAnswer, EngineEvent, EngineOrder, EngineStream, PromptSegment},
    error::NodeError,
    event,
    host::{HostRef, HostState},
    peer::{self, datagram::PeerDatagram},
};

/// Attempts to release a reservation; if all fail, it expires at the end of its term.
const RELEASE_ATTEMPTS: u32 = 3;
const RELEASE_DELAY: Duration = Duration::from_millis(200);
/// Engine priority of prompt segments. Zero, the most urgent, because memory stays reserved on
/// several engines until the last segment ends.
const SEGMENT_PRIORITY: u8 = 0;
/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = super::BYTES_PER_TOKEN;

/// Starts reserving a group of engines for a request.
pub(super) fn start(host: &HostRef, work: WorkKey) {
    let input = {
        let state = host.state.borrow();
        let Some(entry) = state.pool.works.get(&work) else { return };
        let tokens = super::prompt_tokens(&entry.order.prompt) + entry.order.max_tokens;
        GroupInput::Submit {
            group: work,
            memory_tokens: tokens,
            model: entry.order.model.clone(),
            engines: engines(&state, &entry.order.model),
            deadline: entry.deadline,
        }
    };
    host.spawn(submit(host.clone(), work, input));
}

async fn submit(host: HostRef, work: WorkKey, input: GroupInput) {
    // An earlier attempt used the same group id on its engines, so its reservations are released
    // before new ones are requested.
    let earlier = host.state.borrow_mut().pool.groups.step(host.now(), GroupInput::Ended(work));
    for output in earlier {
        if let GroupOutput::Release { group, engine } = output {
            record_reserved(&host, group, &engine, 0);
            release(host.clone(), group, engine).await;
        }
    }
    if host.state.borrow().pool.works.contains_key(&work) {
        group_step(&host, input);
    }
}

/// Ends the groups of requests that have ended, then advances the planner's timers.
pub(super) fn tick(host: &HostRef) {
    let ended: Vec<_> = {
        let pool = &host.state.borrow().pool;
        pool.groups.work_keys().filter(|work| !pool.works.contains_key(work)).collect()
    };
    ended.into_iter().for_each(|work| group_step(host, GroupInput::Ended(work)));
    group_step(host, GroupInput::Tick);
}

/// Ends a request's group and refuses the request because its deadline has passed.
pub(super) fn abort(host: &HostRef, work: WorkKey) {
    let refusal = Refusal::ran(Reason::DeadlineExceeded, "not finished within the rank's time");
    end(host, work, StreamEvent::Refused(refusal));
}

fn end(host: &HostRef, work: WorkKey, event: StreamEvent) {
    group_step(host, GroupInput::Ended(work));
    end_request(host, work, event);
    step(host, SchedulerInput::Finished(work));
}

fn engines(state: &HostState, model: &str) -> Vec<GroupEngine> {
    let servers = state.config.resources().servers.iter();
    let usable = servers.filter(|(_, server)| !server.leaving && serves(server, model));
    let engine = |(name, server): (&Arc<str>, &BackendServer)| {
        let BackendRole::Engine { memory_tokens, .. } = &server.role else { return None };
        Some(GroupEngine {
            engine: name.clone(),
            region: server.region.clone(),
            failure_domain: server.failure_domain.clone(),
            memory_tokens: *memory_tokens,
        })
    };
    usable.filter_map(engine).collect()
}

/// Passes an input to the group planner and executes its outputs.
pub(super) fn group_step(host: &HostRef, input: GroupInput) {
    let outputs = host.state.borrow_mut().pool.groups.step(host.now(), input);
    for output in outputs {
        match output {
            GroupOutput::Reserve { group, member } => {
                host.spawn(reserve(host.clone(), group, member));
            }
            GroupOutput::Release { group, engine } => {
                record_reserved(host, group, &engine, 0);
                host.spawn(release(host.clone(), group, engine));
            }
            GroupOutput::Ready { group, members } => {
                host.spawn(run(host.clone(), group, members));
            }
            GroupOutput::Drain { engine, .. } => drain(host, &engine),
            GroupOutput::Refuse { group, refusal } => {
                end(host, group, StreamEvent::Refused(refusal));
            }
        }
    }
}

/// The group id sent to engines. It contains the host name and incarnation, so ids of different
/// hosts, or of one host before and after a restart, never collide.
fn group_id(host: &HostRef, group: WorkKey) -> String {
    let incarnation = host.state.borrow().members.local().incarnation;
    format!("{}-{incarnation}-{}", host.settings.name, group.0)
}

fn address(host: &HostRef, engine: &str) -> Option<Arc<str>> {
    let state = host.state.borrow();
    state.config.resources().servers.get(engine).map(|server| server.address.clone())
}

async fn reserve(host: HostRef, group: WorkKey, member: GroupMember) {
    let GroupMember { engine, tokens } = member;
    let id = group_id(&host, group);
    let granted = match address(&host, &engine) {
        Some(address) => engine::reserve(&address, &id, tokens, RESERVATION_TERM).await,
        None => Ok(false),
    };
    if matches!(granted, Ok(true)) {
        record_reserved(&host, group, &engine, tokens);
        return group_step(&host, GroupInput::Reserved { group, engine });
    }
    group_step(&host, GroupInput::Refused { group, engine });
}

async fn release(host: HostRef, group: WorkKey, engine: Arc<str>) {
    let id = group_id(&host, group);
    for _ in 0..RELEASE_ATTEMPTS {
        let Some(address) = address(&host, &engine) else { return };
        match engine::release(&address, &id).await {
            Ok(()) => return,
            Err(err) => {
                event!(host.log, RELEASE_FAILED, "group" => &id, "error" => %err);
            }
        }
        Timer::after(RELEASE_DELAY).await;
    }
}

/// Records the tokens that a group has reserved on an engine (zero: released) and reports the
/// engine's total over all groups to the scheduler.
fn record_reserved(host: &HostRef, group: WorkKey, engine: &Arc<str>, tokens: u64) {
    let input = {
        let mut state = host.state.borrow_mut();
        let key = EngineKey(state.engines.intern(engine));
        let reserved = &mut state.pool.reserved;
        if tokens == 0 {
            reserved.remove(&(key, group));
        } else {
            reserved.insert((key, group), tokens);
        }
        let on_engine = reserved.iter().filter(|((reserved_on, _), _)| *reserved_on == key);
        let tokens = on_engine.map(|(_, tokens)| tokens).sum();
        SchedulerInput::ReservedMemory { engine: key, tokens }
    };
    step(host, input);
}

/// Stops new work on an engine by asking its owner, which may be this host, to drain it.
fn drain(host: &HostRef, engine: &Arc<str>) {
    let owner = {
        let state = host.state.borrow();
        let server = state.config.resources().servers.get(engine);
        server.and_then(|server| engine_owner(&state.members, engine, server)).cloned()
    };
    match owner {
        Some(owner) if owner.name == host.settings.name => drain_owned(host, engine),
        Some(owner) => peer::send(host, &owner.peer_address, PeerDatagram::Drain(engine.clone())),
        None => {}
    }
}

/// Stops the scheduler from dispatching new work to an owned engine for one reservation term.
pub fn drain_owned(host: &HostRef, engine: &str) {
    let until = host.now() + RESERVATION_TERM;
    let engine = EngineKey(host.state.borrow_mut().engines.intern(engine));
    step(host, SchedulerInput::Drain { engine, until });
}

/// Runs a prompt on the reserved members and relays the generated stream of the last one.
async fn run(host: HostRef, work: WorkKey, members: Vec<GroupMember>) {
    match run_segments(&host, work, &members).await {
        Ok(Some((stream, reader))) => stream::read(&host, work, reader, stream).await,
        Ok(None) => {}
        Err(err) => {
            event!(host.log, GROUP_FAILED, "work" => work.0, "error" => %err);
            let reader = host.state.borrow().pool.streams.current_reader(work);
            let reply = EngineReply::Failed;
            stream::step(&host, StreamInput::Reply { work, reader, reply }, None);
        }
    }
    // If the request has ended, the next tick ends its group.
}

/// The stream of the last member and its reader number.
type LastStream = (Box<EngineStream>, u64);

/// Processes the segments in order and hands the state of each to the next member. Returns `None`
/// if the request ended meanwhile.
async fn run_segments(
    host: &HostRef,
    work: WorkKey,
    members: &[GroupMember],
) -> Result<Option<LastStream>, NodeError> {
    let group = group_id(host, work);
    let mut import: Option<String> = None;
    let mut start = 0;
    for (index, member) in members.iter().enumerate() {
        let is_last = index + 1 == members.len();
        let address = address(host, &member.engine)
            .ok_or(NodeError::Protocol("engine was removed from the configuration"))?;
        let Some((order, end)) = segment_order(host, work, member, index, start, is_last) else {
            return Ok(None);
        };
        start = end;
        let reader = if is_last { place_last_member(host, work, member, &order) } else { 0 };
        let part = PromptSegment { group: &group, import: import.as_deref() };
        let (answer, notice) = engine::submit_segment(&address, &order, &part).await?;
        let engine = host.state.borrow().engines.get(&member.engine).map(EngineKey);
        engine.iter().for_each(|engine| super::assign::apply_notice(host, *engine, notice));
        let EngineAnswer::Stream(mut stream) = answer else {
            return Err(NodeError::Protocol(
                "engine refused a prompt segment despite its reservation",
            ));
        };
        if is_last {
            return Ok(Some((stream, reader)));
        }
        loop {
            match stream.next().await? {
                EngineEvent::End { complete: true } => break,
                EngineEvent::End { .. } => {
                    return Err(NodeError::Protocol("engine cancelled a prompt segment"));
                }
                _ => {}
            }
        }
        import = Some(engine::export_state(&address, &order.stream).await?);
    }
    Ok(None)
}

/// The order for a member's segment of the prompt, and the byte offset at which the segment ends.
/// Returns `None` if the request has ended.
fn segment_order(
    host: &HostRef,
    work: WorkKey,
    member: &GroupMember,
    index: usize,
    start: usize,
    is_last: bool,
) -> Option<(EngineOrder, usize)> {
    let state = host.state.borrow();
    let entry = state.pool.works.get(&work)?;
    let prompt = &entry.order.prompt;
    let target_end = start + member.tokens as usize * BYTES_PER_TOKEN;
    let end = if is_last { prompt.len() } else { prompt.floor_char_boundary(target_end) };
    let streams = &state.pool.streams;
    let (account, request) = (&entry.order.account, &entry.order.request);
    let stream = stream::stream_id(account, request, streams.attempt(work));
    let order = EngineOrder {
        stream: if is_last { stream } else { format!("{stream}-{index}").into() },
        model: entry.order.model.clone(),
        prompt: prompt[start..end].into(),
        offset: if is_last { streams.next_offset(work) } else { 0 },
        max_tokens: if is_last { entry.order.max_tokens } else { 0 },
        priority: SEGMENT_PRIORITY,
        owner: host.settings.name.clone(),
        time_left: entry.deadline.since(host.now()),
    };
    Some((order, end))
}

/// Registers the last member's engine as the source of the answer. Returns the reader number.
fn place_last_member(
    host: &HostRef,
    work: WorkKey,
    member: &GroupMember,
    order: &EngineOrder,
) -> u64 {
    let engine = EngineKey(host.state.borrow_mut().engines.intern(&member.engine));
    stream::place_group(host, work, engine, order.stream.clone())
}

/// Stream ids of requests that run in groups. The streams of earlier segments append `-` and the
/// segment's index to them.
pub(super) fn stream_ids(state: &HostState) -> BTreeSet<Arc<str>> {
    let id = |work: WorkKey| {
        let order = &state.pool.works.get(&work)?.order;
        let attempt = state.pool.streams.attempt(work);
        Some(stream::stream_id(&order.account, &order.request, attempt))
    };
    state.pool.groups.work_keys().filter_map(id).collect()
}
