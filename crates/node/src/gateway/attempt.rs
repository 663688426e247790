//! One send to a backend server, and its answer.

use std::{cell::Cell, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use async_channel::Sender;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};
use parsley_core::{
    dispatch::DispatchInput,
    fleet::{EngineTag, EngineVerdict, ServerNotice},
    time::Time,
};

use super::{
    Placement,
    body::{AnswerBody, BodyPiece, EventSplitter},
    clock,
    edge::SendFacts,
    exchange::{Exchange, Progress},
    link::{SendFault, ServerLink},
    listener::within,
    memory::{self, HeldMemory},
    receive::receive_whole,
};

/// Idle time up to which a kept connection carries a request that may run only once: a server
/// that closes at that moment would leave its fate open.
const FRESH_LINK: Duration = Duration::from_millis(1_500);
/// Idle time up to which a kept connection carries a request that may be repeated.
const KEPT_LINK: Duration = Duration::from_secs(60);
/// One gap of so many is measured: each costs a look at all work.
const GAP_SAMPLE: u32 = 4;
/// Ranks that an engine's own queue tells apart, per rank of ours.
const URGENCY_STEP: u8 = 3;
/// Lowest rank of an engine's own queue.
const LAST_URGENCY: u8 = 9;
/// Heads of one connection; they are not handed on.
const HOP_HEADS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How an attempt ended.
pub enum AttemptEnd {
    /// The caller has the whole answer.
    Answered(StatusCode),
    /// The server ran the request and answered with a failure; nothing was given to the caller.
    Failure(Response<AnswerBody>),
    /// The server did not run the request and will not.
    NotRun(Arc<str>),
    /// The request may have run.
    Unknown(Arc<str>),
}

/// The streamed answer to a caller, over all attempts.
pub struct CallerStream {
    pieces: Option<Sender<BodyPiece>>,
    last_event: Option<u64>,
    /// Events given to the caller.
    pub events: u32,
}

impl CallerStream {
    /// A stream that goes on after an event that the caller has.
    pub fn new(last_event: Option<u64>) -> CallerStream {
        CallerStream { pieces: None, last_event, events: 0 }
    }

    /// Whether the caller has the head of the answer.
    pub fn is_begun(&self) -> bool {
        self.pieces.is_some()
    }
}

/// Whether a request may be sent once more when its server is silent. A silent server is left only
/// once that is granted: it may still answer.
pub struct RepeatPermit<'a> {
    /// The request.
    pub exchange: &'a Exchange,
    /// Servers that had it, with the present one.
    pub tried: &'a [EngineTag],
    /// Whether the kind of request and its route allow another send.
    pub is_possible: Cell<bool>,
    /// Whether one was granted, which the budget has paid for.
    pub is_granted: Cell<bool>,
}

impl RepeatPermit<'_> {
    /// Asks for another send. Once refused, the present server is waited for.
    fn ask(&self) -> bool {
        let exchange = self.exchange;
        let is_granted = self.is_possible.get()
            && exchange.has_other_server(self.tried)
            && exchange.gateway.spend_retry(&exchange.service);
        self.is_possible.set(is_granted);
        self.is_granted.set(is_granted);
        is_granted
    }
}

/// Sends a request to its place.
pub async fn run(
    exchange: &Exchange,
    placement: &Placement,
    stream: &mut CallerStream,
    progress: &Progress,
    alive: &async_channel::WeakSender<()>,
    permit: &RepeatPermit<'_>,
) -> AttemptEnd {
    let gateway = &exchange.gateway;
    let engine = placement.engine;
    let held_back = || {
        gateway.metrics.held_back.inc();
        AttemptEnd::NotRun("the server is gone or wants nothing".into())
    };
    let Some((address, instance)) = target(exchange, engine) else { return held_back() };
    let held = match memory::hold(exchange, placement).await {
        Ok(held) => held,
        Err(fault) => return AttemptEnd::NotRun(fault),
    };
    let mut link = match open(exchange, engine, address).await {
        Ok(link) => link,
        Err(fault) => {
            gateway.judge(engine, EngineVerdict::Unreachable, &exchange.id);
            return AttemptEnd::NotRun(fault);
        }
    };
    // The server may have said meanwhile that it leaves or wants a pause.
    if target(exchange, engine).is_none() {
        held.close();
        return held_back();
    }
    let request = build(exchange, &instance, placement, &held, stream.last_event);
    progress.attempts.set(progress.attempts.get() + 1);
    let sent = clock::now();
    let is_possible = permit.is_possible.get();
    let first_limit = if is_possible { placement.first_limit } else { exchange.time_left() };
    let limit = first_limit.min(exchange.time_left());
    let answer = {
        let mut sending = pin!(link.send(request));
        match within(limit, sending.as_mut()).await {
            None if !permit.ask() => within(exchange.time_left(), sending).await,
            answer => answer,
        }
    };
    let (verdict, end) = match answer {
        None => {
            let spent = clock::now().since(sent);
            let verdict = EngineVerdict::of_silence(spent, placement.first_limit);
            (verdict, AttemptEnd::Unknown("no answer in time".into()))
        }
        Some(Err(SendFault::NotSent(err))) => {
            progress.attempts.set(progress.attempts.get() - 1);
            (EngineVerdict::Failed, AttemptEnd::NotRun(err.to_string().into()))
        }
        Some(Err(SendFault::Unknown(err))) => {
            (EngineVerdict::Failed, AttemptEnd::Unknown(err.to_string().into()))
        }
        Some(Ok(response)) => {
            let mut relay = Relay { exchange, placement, stream, progress, alive, permit, sent };
            relay.take(link, response).await
        }
    };
    gateway.metrics.sends.with_label_values(&[verdict_name(verdict)]).inc();
    gateway.judge(engine, verdict, &exchange.id);
    held.close();
    end
}

fn verdict_name(verdict: EngineVerdict) -> &'static str {
    match verdict {
        EngineVerdict::Good => "good",
        EngineVerdict::Failed => "failed",
        EngineVerdict::Silent => "silent",
        EngineVerdict::Undecided => "undecided",
        EngineVerdict::Unreachable => "unreachable",
        EngineVerdict::Full => "full",
        EngineVerdict::Replaced => "replaced",
    }
}

/// Where to send to, if the server still wants work.
fn target(exchange: &Exchange, engine: EngineTag) -> Option<(SocketAddr, Arc<str>)> {
    let fleet = &exchange.gateway.state.borrow().dispatcher.fleet;
    let entry = &fleet.get(engine)?.entry;
    fleet.is_usable(clock::now(), engine).then(|| (entry.address, entry.id.clone()))
}

async fn open(
    exchange: &Exchange,
    engine: EngineTag,
    address: SocketAddr,
) -> Result<ServerLink, Arc<str>> {
    let gateway = &exchange.gateway;
    let limit = if exchange.is_repeatable() { KEPT_LINK } else { FRESH_LINK };
    if let Some(link) = gateway.links.take(engine, limit) {
        return Ok(link);
    }
    gateway.metrics.connects.inc();
    ServerLink::open(&gateway.executor, address).await.map_err(|err| err.to_string().into())
}

fn build(
    exchange: &Exchange,
    instance: &Arc<str>,
    placement: &Placement,
    held: &HeldMemory,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = exchange.uri.clone();
    let mut head = exchange.head.clone();
    strip_hops(&mut head);
    let is_model = exchange.facts.prompt > 0;
    let facts = SendFacts {
        instance: instance.clone(),
        account: exchange.account.clone(),
        time_left: exchange.time_left(),
        urgency: is_model.then(|| exchange.priority.saturating_mul(URGENCY_STEP).min(LAST_URGENCY)),
        last_event,
        helpers: helper_addresses(exchange, placement, held),
    };
    (exchange.gateway.edge.write_send)(&mut head, &facts);
    *request.headers_mut() = head;
    request
}

fn helper_addresses(
    exchange: &Exchange,
    placement: &Placement,
    held: &HeldMemory,
) -> Vec<(SocketAddr, Option<Arc<str>>)> {
    let state = exchange.gateway.state.borrow();
    let helpers = placement.helpers.iter().filter_map(|helper| {
        let record = state.dispatcher.fleet.get(helper.engine)?;
        let name = helper.tokens.is_some().then(|| held.name.clone());
        Some((record.entry.address, name))
    });
    helpers.collect()
}

/// Removes what concerns one connection only.
fn strip_hops(head: &mut HeaderMap) {
    let listed: Vec<String> = head
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in HOP_HEADS {
        head.remove(name);
    }
    for name in listed {
        head.remove(name.as_str());
    }
    head.remove(CONTENT_LENGTH);
    head.remove(TRANSFER_ENCODING);
}

/// Hands one answer on.
struct Relay<'a> {
    exchange: &'a Exchange,
    placement: &'a Placement,
    stream: &'a mut CallerStream,
    progress: &'a Progress,
    alive: &'a async_channel::WeakSender<()>,
    permit: &'a RepeatPermit<'a>,
    sent: Time,
}

impl Relay<'_> {
    async fn take(
        &mut self,
        mut link: ServerLink,
        response: Response<Incoming>,
    ) -> (EngineVerdict, AttemptEnd) {
        let facts = (self.exchange.gateway.edge.read_answer)(response.status(), response.headers());
        let own = self.exchange.facts.id.as_ref();
        let is_other = facts.id.is_some() && facts.id.as_ref() != own;
        if !facts.is_replaced {
            // The pause of a late copy counts from an earlier moment.
            let pause = facts.notice.pause.filter(|_| !is_other);
            let notice = ServerNotice { pause, ..facts.notice };
            self.exchange.gateway.note_server(self.placement.engine, notice);
        }
        if is_other {
            return (
                EngineVerdict::Failed,
                AttemptEnd::Unknown("an answer to another request".into()),
            );
        }
        let may_keep = link.note_answer(response.headers());
        if facts.is_replaced {
            return (EngineVerdict::Replaced, AttemptEnd::NotRun("another server is there".into()));
        }
        if facts.is_not_run {
            let at_fault = facts.at_fault.map(|address| address.to_string()).unwrap_or_default();
            let fault = format!("the server did not run it ({}) {at_fault}", response.status());
            return (EngineVerdict::Full, AttemptEnd::NotRun(fault.trim().into()));
        }
        if response.status().is_success() && !facts.is_sealed {
            return (EngineVerdict::Failed, AttemptEnd::Unknown("an answer without a seal".into()));
        }
        if response.status().is_success() && self.exchange.route.is_stream {
            return self.relay_events(link, response, may_keep).await;
        }
        self.relay_whole(link, response, may_keep).await
    }

    /// An answer that is no stream is given to the caller once it is whole.
    async fn relay_whole(
        &mut self,
        link: ServerLink,
        response: Response<Incoming>,
        may_keep: bool,
    ) -> (EngineVerdict, AttemptEnd) {
        let (parts, body) = response.into_parts();
        let received = {
            let mut receiving = pin!(receive_whole(&self.exchange.gateway, body));
            match within(self.next_limit(None), receiving.as_mut()).await {
                None if !self.permit.ask() => within(self.exchange.time_left(), receiving).await,
                received => received,
            }
        };
        let bytes = match received {
            Some(Ok(bytes)) => bytes,
            Some(Err(fault)) => return (EngineVerdict::Failed, AttemptEnd::Unknown(fault)),
            None => {
                let spent = clock::now().since(self.sent);
                let verdict = EngineVerdict::of_silence(spent, self.placement.first_limit);
                return (verdict, AttemptEnd::Unknown("the answer stopped".into()));
            }
        };
        if may_keep {
            self.exchange.gateway.links.keep(self.placement.engine, link);
        }
        let status = parts.status;
        let mut head = parts.headers;
        strip_hops(&mut head);
        let mut answer = Response::new(AnswerBody::Whole(Some(bytes)));
        *answer.status_mut() = status;
        *answer.headers_mut() = head;
        if status.is_server_error() && self.permit.is_possible.get() {
            return (EngineVerdict::Failed, AttemptEnd::Failure(answer));
        }
        self.progress.first.set(Some(clock::now()));
        // A caller that left meanwhile needs no answer.
        let _ = self.exchange.reply.try_send(answer);
        let verdict =
            if status.is_server_error() { EngineVerdict::Failed } else { EngineVerdict::Good };
        (verdict, AttemptEnd::Answered(status))
    }

    /// Events are given to the caller as they come, each whole.
    async fn relay_events(
        &mut self,
        link: ServerLink,
        response: Response<Incoming>,
        may_keep: bool,
    ) -> (EngineVerdict, AttemptEnd) {
        let (parts, mut body) = response.into_parts();
        let status = parts.status;
        if !self.begin(parts) {
            return (EngineVerdict::Good, AttemptEnd::Unknown("the caller left".into()));
        }
        let mut splitter = EventSplitter::default();
        let mut has_event = false;
        let mut last_event = clock::now();
        loop {
            let limit = self.next_limit(has_event.then_some(last_event));
            let frame = match within(limit, body.frame()).await {
                None if !self.exchange.time_left().is_zero() && !self.permit.ask() => continue,
                None => {
                    let (since, allowed, fault) = match has_event {
                        true => (last_event, self.placement.gap_limit, "the stream stopped"),
                        false => (self.sent, self.placement.first_limit, "no event in time"),
                    };
                    let verdict = EngineVerdict::of_silence(clock::now().since(since), allowed);
                    return (verdict, AttemptEnd::Unknown(fault.into()));
                }
                Some(None) if splitter.has_rest() => {
                    return (
                        EngineVerdict::Failed,
                        AttemptEnd::Unknown("an event broke off".into()),
                    );
                }
                Some(None) => break,
                Some(Some(Err(err))) => {
                    return (EngineVerdict::Failed, AttemptEnd::Unknown(err.to_string().into()));
                }
                Some(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else { continue };
            let events = match splitter.push(bytes) {
                Ok(events) => events,
                Err(err) => {
                    return (EngineVerdict::Failed, AttemptEnd::Unknown(err.to_string().into()));
                }
            };
            for event in events {
                if !has_event {
                    has_event = true;
                    self.begin_writing();
                } else {
                    self.note_gap(last_event);
                }
                last_event = clock::now();
                if let (Some(id), Some(last)) = (event.id, self.stream.last_event)
                    && id <= last
                {
                    continue;
                }
                self.stream.last_event = event.id.or(self.stream.last_event);
                self.stream.events += 1;
                let Some(pieces) = &self.stream.pieces else { continue };
                // The caller's end is noticed by the request's task.
                let _ = pieces.send(BodyPiece::Data(event.bytes)).await;
            }
        }
        if may_keep {
            self.exchange.gateway.links.keep(self.placement.engine, link);
        }
        if let Some(pieces) = &self.stream.pieces {
            let _ = pieces.send(BodyPiece::End).await;
        }
        (EngineVerdict::Good, AttemptEnd::Answered(status))
    }

    /// Gives the caller the head of the first answer. Returns whether the caller is still there.
    fn begin(&mut self, parts: hyper::http::response::Parts) -> bool {
        if self.stream.is_begun() {
            return true;
        }
        let Some(alive) = self.alive.upgrade() else { return false };
        let (pieces, body) = AnswerBody::pieces(alive);
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = parts.headers;
        strip_hops(answer.headers_mut());
        self.stream.pieces = Some(pieces);
        self.exchange.reply.try_send(answer).is_ok()
    }

    fn begin_writing(&self) {
        if self.progress.first.get().is_none() {
            self.progress.first.set(Some(clock::now()));
        }
        self.exchange.gateway.dispatch(DispatchInput::ResponseStarted(self.exchange.number));
    }

    /// Measures the engine by some of the gaps between events.
    fn note_gap(&self, last_event: Time) {
        if self.stream.events.is_multiple_of(GAP_SAMPLE) {
            let gap = clock::now().since(last_event);
            let engine = self.placement.engine;
            self.exchange.gateway.dispatch(DispatchInput::EventGap { engine, gap });
        }
    }

    /// Time for the next event before another server is asked, or before the end. Bytes that make
    /// no event do not prolong it.
    fn next_limit(&self, last_event: Option<Time>) -> Duration {
        let left = self.exchange.time_left();
        if !self.permit.is_possible.get() {
            return left;
        }
        let (since, limit) = match last_event {
            Some(at) => (at, self.placement.gap_limit),
            None => (self.sent, self.placement.first_limit),
        };
        let limit = limit.saturating_sub(clock::now().since(since));
        limit.min(left)
    }
}
