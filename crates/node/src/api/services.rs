//! `POST /v1/services/<service>/<path>`: calls to plain services, at most once unless the service
//! is marked as repeatable.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use async_channel::Sender;
use async_io::Timer;
use http_types::{Body, Request, Response, StatusCode};
use parsley_core::{
    call::{
        CallAnswer, CallInput, CallKeeper, CallKey, CallOutput, CallRecord, CallResult,
        RetryBudget, ServiceAnswer, call_key, is_idempotency_key,
    },
    refusal::{Reason, Refusal},
    resource::BackendRole,
    time::Time,
};

use super::{access, chat::bad_request};
use crate::{
    adapter::{
        service::{self, ServiceOrder},
        store,
    },
    host::{HostRef, RequestGuard},
    http::ChannelReader,
    peer::link::unix_ms,
    records,
};

const TICK: Duration = Duration::from_millis(50);
/// Time for a call whose caller sets no deadline.
const DEFAULT_LIMIT: Duration = Duration::from_secs(30);
/// Longest time that a caller may set.
const LONGEST_LIMIT: Duration = Duration::from_secs(300);
/// Time after its deadline for which a call of a live host still counts as in progress.
const HOLDER_GRACE: Duration = Duration::from_secs(10);

/// The calls to plain services on a host.
pub struct CallTable {
    keeper: CallKeeper,
    tasks: BTreeMap<CallKey, CallTask>,
    budget: RetryBudget,
    next_call: u64,
}

struct CallTask {
    service: Arc<str>,
    order: ServiceOrder,
    deadline: Time,
    answer: Sender<CallResult>,
}

impl CallTable {
    /// A table around a keeper.
    pub fn new(keeper: CallKeeper) -> CallTable {
        let (tasks, budget) = (BTreeMap::new(), RetryBudget::default());
        CallTable { keeper, tasks, budget, next_call: 0 }
    }

    /// Number of calls in progress, outcomes still to be recorded included.
    pub fn len(&self) -> usize {
        self.keeper.len()
    }

    /// Number of calls whose caller waits for an answer.
    pub fn unanswered(&self) -> usize {
        self.keeper.unanswered()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.keeper.is_empty()
    }
}

/// Starts the timers of calls.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK).await;
            step(&host, CallInput::Tick);
        }
    });
}

/// Answers a call.
pub async fn call(
    host: &HostRef,
    service: &str,
    path: &str,
    mut request: Request,
) -> Result<Response, Refusal> {
    let account = access::account(host, &request)?;
    let guard = host.open_request();
    let body = request.body_bytes().await.map_err(|err| bad_request(&err.to_string()))?;
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let key: Option<Arc<str>> = header("idempotency-key").map(Arc::from);
    if key.as_ref().is_some_and(|key| !is_idempotency_key(key)) {
        return Err(bad_request("Idempotency-Key: 1 to 128 letters, digits, '.', '_', '-', ':'"));
    }
    let is_retry = header("parsley-retry").is_some();
    let limit = limit(header("parsley-deadline-ms"))?;
    let content_type = header("content-type").unwrap_or("application/octet-stream").into();
    let order = ServiceOrder { path: path.into(), key, content_type, body: body.into() };
    let Some((_, is_repeatable)) = servers(host, service) else {
        return Err(Refusal::not_run(Reason::NotFound, "no such service"));
    };
    let deadline = host.now() + limit;
    let answer = match (&order.key, is_repeatable) {
        (_, true) => repeat(host, service, &order, deadline).await?,
        (Some(key), false) => {
            let key = call_key(&account, key);
            once(host, service, key, order, is_retry, deadline).await?
        }
        (None, false) => return Err(bad_request("the service needs an Idempotency-Key")),
    };
    Ok(respond(answer, guard))
}

fn limit(header: Option<&str>) -> Result<Duration, Refusal> {
    let Some(text) = header else { return Ok(DEFAULT_LIMIT) };
    let wanted = text.parse().map_err(|_| bad_request("Parsley-Deadline-Ms: not a number"))?;
    Ok(Duration::from_millis(wanted).min(LONGEST_LIMIT))
}

fn respond(answer: CallAnswer, guard: RequestGuard) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    let bytes = answer.body.unwrap_or_default();
    let length = bytes.len();
    response.set_body(Body::from_reader(ChannelReader::whole(bytes, guard), Some(length)));
    response.insert_header("content-type", &*answer.content_type);
    response
}

/// Addresses of a service's servers in random order, and whether its calls may be repeated.
fn servers(host: &HostRef, name: &str) -> Option<(Vec<Arc<str>>, bool)> {
    let mut state = host.state.borrow_mut();
    let state = &mut *state;
    let mut addresses = Vec::new();
    let mut is_repeatable = true;
    let mut is_known = false;
    for server in state.config.resources().servers.values() {
        let BackendRole::Service { service, repeatable } = &server.role else { continue };
        if **service == *name {
            is_known = true;
            is_repeatable &= repeatable;
            addresses.extend((!server.leaving).then(|| server.address.clone()));
        }
    }
    state.rng.shuffle(&mut addresses);
    is_known.then_some((addresses, is_repeatable))
}

/// Calls a repeatable service, again within the retry budget if it gives no answer.
async fn repeat(
    host: &HostRef,
    service: &str,
    order: &ServiceOrder,
    deadline: Time,
) -> Result<CallAnswer, Refusal> {
    let now = host.now();
    host.state.borrow_mut().calls.budget.record_first_attempt(now);
    let mut was_sent = false;
    loop {
        let addresses = servers(host, service).map_or_else(Vec::new, |found| found.0);
        let left = deadline.since(host.now());
        match service::call(&addresses, order, left).await {
            ServiceAnswer::Answered(answer) => return Ok(answer),
            ServiceAnswer::NoAnswer => was_sent = true,
            ServiceAnswer::NotSent => {}
        }
        let now = host.now();
        let is_late = deadline <= now;
        if is_late || !host.state.borrow_mut().calls.budget.try_retry(now) {
            let refuse = if was_sent { Refusal::ran } else { Refusal::not_run };
            let reason = if is_late { Reason::DeadlineExceeded } else { Reason::ServiceFailed };
            return Err(
                refuse(reason, "the service gave no answer").retry_after(Duration::from_secs(1))
            );
        }
        Timer::after(TICK).await;
    }
}

/// Calls a service that must not be called twice with the same key.
async fn once(
    host: &HostRef,
    service: &str,
    key: Arc<str>,
    order: ServiceOrder,
    is_retry: bool,
    deadline: Time,
) -> Result<CallAnswer, Refusal> {
    let (answer, answers) = async_channel::bounded(1);
    let digest = records::body_hash(&[service, &order.path]);
    let body_hash = blake3::Hasher::new().update(&digest).update(&order.body).finalize().to_hex();
    let left = u64::try_from(deadline.since(host.now()).as_millis()).unwrap_or(u64::MAX);
    let call = {
        let calls = &mut host.state.borrow_mut().calls;
        calls.next_call += 1;
        let call = CallKey(calls.next_call);
        let task = CallTask { service: service.into(), order, deadline, answer };
        calls.tasks.insert(call, task);
        call
    };
    let body_hash = body_hash.as_str().into();
    let deadline_ms = unix_ms().saturating_add(left);
    step(host, CallInput::Begin { call, key, body_hash, deadline, deadline_ms, is_retry });
    match answers.recv().await {
        Ok(CallResult::Answer(answer)) => Ok(answer),
        Ok(CallResult::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::ran(Reason::OutcomeUnknown, "the call was dropped")),
    }
}

/// Advances the keeper and carries out what it asks for.
fn step(host: &HostRef, input: CallInput) {
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        let now = host.now();
        let outputs = host.state.borrow_mut().calls.keeper.step(now, input);
        for output in outputs {
            inputs.extend(carry_out(host, output));
        }
    }
}

fn carry_out(host: &HostRef, output: CallOutput) -> Option<CallInput> {
    match output {
        CallOutput::Answer { call, result } => {
            let task = host.state.borrow_mut().calls.tasks.remove(&call)?;
            // A caller that is gone comes back with its key.
            let _ = task.answer.try_send(result);
        }
        CallOutput::Send(call) => {
            let state = host.state.borrow();
            let Some(task) = state.calls.tasks.get(&call) else {
                return Some(CallInput::Service { call, answer: ServiceAnswer::NotSent });
            };
            let (service, order) = (task.service.clone(), task.order.clone());
            let deadline = task.deadline;
            drop(state);
            let host = host.clone();
            host.clone().spawn(async move {
                let addresses = servers(&host, &service).map_or_else(Vec::new, |found| found.0);
                let left = deadline.since(host.now());
                let answer = service::call(&addresses, &order, left).await;
                step(&host, CallInput::Service { call, answer });
            });
        }
        output => {
            let host = host.clone();
            host.clone().spawn(async move { ask_store(&host, output).await });
        }
    }
    None
}

async fn ask_store(host: &HostRef, output: CallOutput) {
    let addresses = &host.settings.store;
    let (call, sequence, answer) = match output {
        CallOutput::GrantLease => {
            let lease = store::grant_retention(addresses).await;
            return step(host, CallInput::Lease(lease));
        }
        CallOutput::Create { call, sequence, key, record, lease } => {
            let expect = parsley_core::call::ABSENT_REVISION;
            (call, sequence, store::write_call(addresses, &key, expect, &record, lease).await)
        }
        CallOutput::Replace { call, sequence, key, expect, record, lease } => {
            (call, sequence, store::write_call(addresses, &key, expect, &record, lease).await)
        }
        CallOutput::Read { call, sequence, key } => {
            let is_holder_alive = |record: &CallRecord| is_holder_alive(host, record);
            (call, sequence, store::read_call(addresses, &key, is_holder_alive).await)
        }
        CallOutput::Delete { call, sequence, key, expect } => {
            (call, sequence, store::delete_call(addresses, &key, expect).await)
        }
        CallOutput::Send(_) | CallOutput::Answer { .. } => return,
    };
    step(host, CallInput::Store { call, sequence, answer });
}

/// Whether the host that wrote an intent may still be making the call.
fn is_holder_alive(host: &HostRef, record: &CallRecord) -> bool {
    let grace = HOLDER_GRACE.as_millis() as u64;
    let is_due = unix_ms() < record.deadline_ms.saturating_add(grace);
    let state = host.state.borrow();
    let is_live = state.members.live().any(|member| member.name == record.host);
    is_due && is_live
}
