//! `POST /v1/services/<service>/<path>`: calls to plain services, executed at most
//! once unless the service is marked as repeatable.

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

/// Interval of the call keeper's timer input and delay between attempts of a repeatable call.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call whose caller sets no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum timeout; longer deadlines of callers are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after its deadline for which a call of a live host still counts as in progress.
const IN_PROGRESS_GRACE: Duration = Duration::from_secs(10);

/// The calls to plain services in progress on a host.
pub struct CallTable {
    keeper: CallKeeper,
    tasks: BTreeMap<CallKey, CallTask>,
    budget: RetryBudget,
    /// Key of the call started last.
    last_call: u64,
}

/// What this host needs to send a call and to answer its caller.
struct CallTask {
    service: Arc<str>,
    order: ServiceOrder,
    deadline: Time,
    answer: Sender<CallResult>,
}

impl CallTable {
    /// Creates an empty table whose at-most-once calls are decided by `keeper`.
    pub fn new(keeper: CallKeeper) -> CallTable {
        let (tasks, budget) = (BTreeMap::new(), RetryBudget::default());
        CallTable { keeper, tasks, budget, last_call: 0 }
    }

    /// Returns the number of at-most-once calls in progress, including answered ones whose outcome
    /// is not recorded yet.
    pub fn len(&self) -> usize {
        self.keeper.len()
    }

    /// Returns the number of at-most-once calls whose caller has not been answered.
    pub fn unanswered(&self) -> usize {
        self.keeper.unanswered()
    }

    /// Returns whether no at-most-once call is in progress or waits for its outcome to be recorded.
    pub fn is_empty(&self) -> bool {
        self.keeper.is_empty()
    }
}

/// Starts the task that drives the timers of at-most-once calls.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK_INTERVAL).await;
            step(&host, CallInput::Tick);
        }
    });
}

/// Handles a request that calls a service.
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
    let timeout = parse_timeout(header("parsley-deadline-ms"))?;
    let content_type = header("content-type").unwrap_or("application/octet-stream").into();
    let order = ServiceOrder { path: path.into(), key, content_type, body: body.into() };
    let Some((_, is_repeatable)) = resolve_service(host, service) else {
        return Err(Refusal::not_run(Reason::NotFound, "no such service"));
    };
    let deadline = host.now() + timeout;
    let answer = match (&order.key, is_repeatable) {
        (_, true) => call_with_retries(host, service, &order, deadline).await?,
        (Some(key), false) => {
            let key = call_key(&account, key);
            call_at_most_once(host, service, key, order, is_retry, deadline).await?
        }
        (None, false) => return Err(bad_request("the service needs an Idempotency-Key")),
    };
    Ok(build_response(answer, guard))
}

/// Returns the timeout of a call from its deadline header.
fn parse_timeout(header: Option<&str>) -> Result<Duration, Refusal> {
    let Some(text) = header else { return Ok(DEFAULT_TIMEOUT) };
    let millis = text.parse().map_err(|_| bad_request("Parsley-Deadline-Ms: not a number"))?;
    Ok(Duration::from_millis(millis).min(MAX_TIMEOUT))
}

fn build_response(answer: CallAnswer, guard: RequestGuard) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    let bytes = answer.body.unwrap_or_default();
    let length = bytes.len();
    response.set_body(Body::from_reader(ChannelReader::whole(bytes, guard), Some(length)));
    response.insert_header("content-type", &*answer.content_type);
    response
}

/// Returns the addresses of a service's servers in random order, without leaving ones, and whether
/// its calls may be repeated. Calls are repeatable only if all of its servers are marked so.
fn resolve_service(host: &HostRef, name: &str) -> Option<(Vec<Arc<str>>, bool)> {
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

/// Calls a repeatable service. Calls without an answer are retried within the retry budget and the
/// deadline.
async fn call_with_retries(
    host: &HostRef,
    service: &str,
    order: &ServiceOrder,
    deadline: Time,
) -> Result<CallAnswer, Refusal> {
    let now = host.now();
    host.state.borrow_mut().calls.budget.record_first_attempt(now);
    let mut was_sent = false;
    loop {
        let addresses = resolve_service(host, service).map_or_else(Vec::new, |found| found.0);
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
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Calls a service that must not execute two calls with the same idempotency key.
async fn call_at_most_once(
    host: &HostRef,
    service: &str,
    key: Arc<str>,
    order: ServiceOrder,
    is_retry: bool,
    deadline: Time,
) -> Result<CallAnswer, Refusal> {
    let (answer, receiver) = async_channel::bounded(1);
    let digest = records::body_hash(&[service, &order.path]);
    let body_hash = blake3::Hasher::new().update(&digest).update(&order.body).finalize().to_hex();
    let left = u64::try_from(deadline.since(host.now()).as_millis()).unwrap_or(u64::MAX);
    let call = {
        let calls = &mut host.state.borrow_mut().calls;
        calls.last_call += 1;
        let call = CallKey(calls.last_call);
        let task = CallTask { service: service.into(), order, deadline, answer };
        calls.tasks.insert(call, task);
        call
    };
    let body_hash = body_hash.as_str().into();
    let deadline_ms = unix_ms().saturating_add(left);
    step(host, CallInput::Begin { call, key, body_hash, deadline, deadline_ms, is_retry });
    match receiver.recv().await {
        Ok(CallResult::Answer(answer)) => Ok(answer),
        Ok(CallResult::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::ran(Reason::OutcomeUnknown, "the call was dropped")),
    }
}

/// Passes an input to the call keeper and executes its outputs, with their follow-up inputs.
fn step(host: &HostRef, input: CallInput) {
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        let now = host.now();
        let outputs = host.state.borrow_mut().calls.keeper.step(now, input);
        for output in outputs {
            inputs.extend(execute(host, output));
        }
    }
}

/// Executes an output of the call keeper. Returns an input that results at once; tasks report later
/// results.
fn execute(host: &HostRef, output: CallOutput) -> Option<CallInput> {
    match output {
        CallOutput::Answer { call, result } => {
            let task = host.state.borrow_mut().calls.tasks.remove(&call)?;
            // If the caller has disconnected, it can fetch the result by a retry with the same key.
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
                let addresses =
                    resolve_service(&host, &service).map_or_else(Vec::new, |found| found.0);
                let left = deadline.since(host.now());
                let answer = service::call(&addresses, &order, left).await;
                step(&host, CallInput::Service { call, answer });
            });
        }
        output => {
            let host = host.clone();
            host.clone().spawn(async move { call_store(&host, output).await });
        }
    }
    None
}

/// Runs an operation on the key-value service and passes its result to the call keeper.
async fn call_store(host: &HostRef, output: CallOutput) {
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

/// Returns whether the host that wrote an intent record may still be executing the call: it is a
/// live member and the call's deadline plus [`IN_PROGRESS_GRACE`] has not passed.
fn is_holder_alive(host: &HostRef, record: &CallRecord) -> bool {
    let grace = IN_PROGRESS_GRACE.as_millis() as u64;
    let may_be_running = unix_ms() < record.deadline_ms.saturating_add(grace);
    let state = host.state.borrow();
    let is_live = state.members.live().any(|member| member.name == record.host);
    may_be_running && is_live
}
