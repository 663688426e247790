//! One attempt: a request sent to a backend server and the relay of its response.

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use parsley_core::{
    dispatch::DispatchInput,
    fleet::{EngineTag, EngineVerdict},
    quarantine::PartTag,
    time::Time,
    work::WorkNumber,
};

use super::{
    Placement,
    body::{BodyChunk, EventSplitter, RequestBody, ResponseBody, wait_for_room},
    budget::MemoryUse,
    clock::{self, with_timeout},
    exchange::{Exchange, RequestProgress},
    forward::{build_request, strip_hop_by_hop_headers},
    link::{SendError, ServerConnection},
    memory::{self, MemoryReservation},
    pace::StreamPace,
    quarantine::SentProcess,
    receive::{TOO_LONG, receive_body},
    retry::RetryPermit,
};

/// Longest idle time of a pooled connection that carries an at-most-once request. The server may
/// close an older connection while the request is in flight, which leaves the outcome unknown.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest idle time of a pooled connection that carries a repeatable request.
const REPEATABLE_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// One gap between events in this many is sampled: each sample runs a dispatcher step over all
/// work.
const GAP_SAMPLE_INTERVAL: u32 = 4;
/// Shortest gap that is sampled: events received together have none.
const MIN_SAMPLED_GAP: Duration = Duration::from_millis(1);
/// Result of one attempt.
pub enum AttemptEnd {
    /// The caller got the whole response.
    Answered(StatusCode),
    /// The server ran the request and answered with an error; nothing was sent to the caller.
    ServerError(Response<ResponseBody>),
    /// The request was not run and will not be. Holds the cause.
    NotRun(Arc<str>),
    /// Nothing was sent because a server of the placement takes no more work. Holds the cause.
    HeldBack(Arc<str>),
    /// The request may have run. Holds the cause.
    Unknown(Arc<str>),
    /// The connection ended before the response began. The request may have run, and the server's
    /// process may have ended. Holds the cause.
    ConnectionLost(Arc<str>),
    /// The response broke off. The server's process may have ended. Holds the cause.
    BrokenOff(Arc<str>),
}

impl AttemptEnd {
    /// Returns what the server may have crashed on, if its process ended.
    pub fn suspects<'a>(&self, exchange: &'a Exchange) -> &'a [PartTag] {
        let suspects = &exchange.suspects[..];
        match self {
            AttemptEnd::ConnectionLost(_) => suspects,
            // The parts of the prompt were processed before the response began.
            AttemptEnd::BrokenOff(_) => &suspects[suspects.len().saturating_sub(1)..],
            _ => &[],
        }
    }
}

/// Streamed response to a caller, continued across attempts.
pub struct CallerStream {
    chunks: Option<Sender<BodyChunk>>,
    last_event: Option<u64>,
    /// Events sent to the caller.
    pub events: u32,
}

impl CallerStream {
    /// Creates a stream that resumes after `last_event`, which the caller already has.
    pub fn new(last_event: Option<u64>) -> CallerStream {
        CallerStream { chunks: None, last_event, events: 0 }
    }

    /// Whether the response headers were sent to the caller.
    pub fn has_started(&self) -> bool {
        self.chunks.is_some()
    }
}

/// One copy of a request, to be sent to the server of its placement.
pub struct Attempt<'a> {
    /// Request to send.
    pub exchange: &'a Exchange,
    /// Number of the copy's work: the request's own, or that of a hedge.
    pub number: WorkNumber,
    /// Server that gets the copy.
    pub placement: &'a Placement,
    /// Progress of the request, shared by its copies.
    pub progress: &'a RequestProgress,
    /// Whether the caller is still connected.
    pub alive: &'a async_channel::WeakSender<()>,
    /// Decides when the server is given up.
    pub permit: &'a RetryPermit<'a>,
}

/// Sends a request to the server of its placement and relays the response. Dropping the future
/// closes the connection.
pub async fn run(attempt: &Attempt<'_>, stream: &mut CallerStream) -> AttemptEnd {
    let Attempt { exchange, number, placement, progress, .. } = *attempt;
    let gateway = &exchange.gateway;
    let engine = placement.engine;
    let not_sent = || {
        gateway.metrics.held_back.inc();
        AttemptEnd::HeldBack("the server is gone or wants nothing".into())
    };
    let Some((address, instance)) = server_target(exchange, engine) else { return not_sent() };
    let reservation = match memory::reserve(exchange, number, placement).await {
        Ok(reservation) => reservation,
        Err(fault) => return AttemptEnd::NotRun(fault),
    };
    let connection = match open_connection(exchange, engine, address).await {
        Ok(connection) => connection,
        Err(fault) => {
            // A host without links knows nothing of the server.
            let verdict = match gateway.has_cut_links() {
                true => EngineVerdict::Undecided,
                false => EngineVerdict::Unreachable,
            };
            gateway.report_verdict(engine, verdict, &exchange.id);
            return AttemptEnd::NotRun(fault);
        }
    };
    // The server may have announced a shutdown or a pause in the meantime, and engines may have
    // crashed under the prompt.
    let is_quarantined = gateway.quarantine_refusal(exchange).is_some();
    if server_target(exchange, engine).is_none()
        || !has_all_helpers(exchange, placement)
        || is_quarantined
    {
        reservation.release();
        return not_sent();
    }
    let sent_process = SentProcess::find(&gateway.state.borrow(), engine);
    let request = build_request(exchange, &instance, placement, &reservation, stream.last_event);
    progress.attempts.set(progress.attempts.get() + 1);
    progress.may_have_run.set(true);
    let sent = clock::now();
    let exchanged = send_request(attempt, connection, request, (&reservation, sent), stream);
    let given_up = async {
        reservation.wait_until_given_up().await;
        let verdict =
            EngineVerdict::for_timeout(clock::now().since(sent), placement.first_event_timeout);
        (verdict, AttemptEnd::Unknown("its engines did not use the reserved memory".into()))
    };
    let (verdict, end) = exchanged.or(given_up).await;
    gateway.metrics.sends.with_label_values(&[verdict_name(verdict)]).inc();
    gateway.report_verdict(engine, verdict, &exchange.id);
    reservation.release();
    if verdict == EngineVerdict::Silent {
        gateway.check_link(engine, address);
    }
    if let Some(process) = sent_process {
        process.report_end(exchange, end.suspects(exchange));
    }
    if matches!(end, AttemptEnd::Answered(_)) {
        gateway.record_completion(exchange);
    }
    end
}

/// Sends the request at `sent` and relays the response.
async fn send_request(
    attempt: &Attempt<'_>,
    mut connection: ServerConnection,
    request: Request<RequestBody>,
    (reservation, sent): (&MemoryReservation, Time),
    stream: &mut CallerStream,
) -> (EngineVerdict, AttemptEnd) {
    let Attempt { exchange, placement, progress, alive, permit, .. } = *attempt;
    let may_retry = permit.may_retry.get();
    let first_event_timeout =
        if may_retry { placement.first_event_timeout } else { exchange.time_left() };
    let limit = first_event_timeout.min(exchange.time_left());
    let response = {
        let sending = pin!(connection.send(request));
        permit.wait(limit, sending).await
    };
    match response {
        None => {
            let waited = clock::now().since(sent);
            let verdict = EngineVerdict::for_timeout(waited, placement.first_event_timeout);
            (verdict, AttemptEnd::Unknown("no answer in time".into()))
        }
        Some(Err(SendError::NotSent(err))) => {
            progress.attempts.set(progress.attempts.get() - 1);
            (EngineVerdict::Failed, AttemptEnd::NotRun(err.to_string().into()))
        }
        Some(Err(SendError::Invalid(err))) => {
            if connection.has_endless_head() {
                exchange.gateway.metrics.endless.with_label_values(&["interim"]).inc();
            }
            (EngineVerdict::Failed, AttemptEnd::Unknown(err.to_string().into()))
        }
        Some(Err(SendError::Unknown(err))) => {
            (EngineVerdict::Failed, AttemptEnd::ConnectionLost(err.to_string().into()))
        }
        Some(Ok(response)) => {
            let mut relay = ResponseRelay {
                exchange,
                placement,
                reservation,
                stream,
                progress,
                alive,
                permit,
                sent,
            };
            relay.relay(connection, response).await
        }
    }
}

/// Result of an attempt whose stream broke off.
fn broken_off(has_event: bool, fault: &str) -> (EngineVerdict, AttemptEnd) {
    let end = match has_event {
        true => AttemptEnd::BrokenOff(fault.into()),
        false => AttemptEnd::ConnectionLost(fault.into()),
    };
    (EngineVerdict::Failed, end)
}

/// Name of a verdict in the metrics.
pub fn verdict_name(verdict: EngineVerdict) -> &'static str {
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

/// Whether a status ends an exchange. HTTP defines no classes above 5xx, and 1xx are interim; the
/// gateway asks for no other protocol, so 101 answers nothing.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Address and instance id of the server, if it still accepts work.
fn server_target(exchange: &Exchange, engine: EngineTag) -> Option<(SocketAddr, Arc<str>)> {
    let fleet = &exchange.gateway.state.borrow().dispatcher.fleet;
    let entry = &fleet.get(engine)?.entry;
    fleet.is_usable(clock::now(), engine).then(|| (entry.address, entry.id.clone()))
}

/// Whether all engines that share the prompt still accept work.
fn has_all_helpers(exchange: &Exchange, placement: &Placement) -> bool {
    let fleet = &exchange.gateway.state.borrow().dispatcher.fleet;
    placement.helpers.iter().all(|helper| fleet.is_usable(clock::now(), helper.engine))
}

async fn open_connection(
    exchange: &Exchange,
    engine: EngineTag,
    address: SocketAddr,
) -> Result<ServerConnection, Arc<str>> {
    let gateway = &exchange.gateway;
    let limit = if exchange.is_repeatable() { REPEATABLE_IDLE_LIMIT } else { ONCE_IDLE_LIMIT };
    if let Some(connection) = gateway.connections.take(engine, limit) {
        return Ok(connection);
    }
    ServerConnection::open_to(gateway, engine, address).await.map_err(|err| err.to_string().into())
}

/// Relays one response to the caller.
struct ResponseRelay<'a> {
    exchange: &'a Exchange,
    placement: &'a Placement,
    reservation: &'a MemoryReservation,
    stream: &'a mut CallerStream,
    progress: &'a RequestProgress,
    alive: &'a async_channel::WeakSender<()>,
    permit: &'a RetryPermit<'a>,
    sent: Time,
}

impl ResponseRelay<'_> {
    async fn relay(
        &mut self,
        mut connection: ServerConnection,
        response: Response<Incoming>,
    ) -> (EngineVerdict, AttemptEnd) {
        if !is_final(response.status()) {
            let fault = format!("{} is no final status", response.status().as_u16());
            return (EngineVerdict::Failed, AttemptEnd::Unknown(fault.into()));
        }
        let info = (self.exchange.gateway.codec.read_response_headers)(
            response.status(),
            response.headers(),
        );
        let own_id = self.exchange.info.id.as_ref();
        let is_refused = info.is_replaced || info.is_not_executed;
        let is_other_attempt = match &info.id {
            Some(_) => info.id.as_ref() != own_id,
            // A refusal without an id may be a copy of the one to the connection's last request.
            None => is_refused && connection.is_reused && own_id.is_some(),
        };
        if !info.is_replaced {
            self.exchange.gateway.apply_notice(self.placement.engine, self.sent, &info, own_id);
        }
        if is_other_attempt {
            return (
                EngineVerdict::Failed,
                AttemptEnd::Unknown("an answer to another request".into()),
            );
        }
        let may_keep = connection.update_idle_limit(response.headers());
        if info.is_replaced {
            return (EngineVerdict::Replaced, AttemptEnd::NotRun("another server is there".into()));
        }
        if info.is_not_executed {
            let at_fault = info.at_fault.map(|address| address.to_string()).unwrap_or_default();
            let fault = format!("the server did not run it ({}) {at_fault}", response.status());
            return (EngineVerdict::Full, AttemptEnd::NotRun(fault.trim().into()));
        }
        if response.status().is_success() && !info.is_sealed {
            return (EngineVerdict::Failed, AttemptEnd::Unknown("an answer without a seal".into()));
        }
        if self.stream.has_started()
            && response.status().is_success()
            && response.status() != StatusCode::OK
        {
            // Such an answer has no events, so its end is not the end of the stream.
            let fault = format!("a continuation was answered {}", response.status());
            return (EngineVerdict::Failed, AttemptEnd::Unknown(fault.into()));
        }
        if response.status().is_success() && self.exchange.route.is_stream {
            return self.relay_events(connection, response, may_keep).await;
        }
        self.relay_body(connection, response, may_keep).await
    }

    /// Sends a response that is not a stream to the caller once it is complete.
    async fn relay_body(
        &mut self,
        connection: ServerConnection,
        response: Response<Incoming>,
        may_keep: bool,
    ) -> (EngineVerdict, AttemptEnd) {
        let (parts, body) = response.into_parts();
        let received_bytes = connection.received_bytes();
        let received = {
            let gateway = &self.exchange.gateway;
            let receiving = pin!(receive_body(gateway, body, &received_bytes));
            self.permit.wait(self.next_timeout(None), receiving).await
        };
        let (bytes, held) = match received {
            Some(Ok(received)) => received,
            Some(Err(fault)) => return (EngineVerdict::Failed, AttemptEnd::BrokenOff(fault)),
            None => {
                let waited = clock::now().since(self.sent);
                let verdict =
                    EngineVerdict::for_timeout(waited, self.placement.first_event_timeout);
                return (verdict, AttemptEnd::Unknown("the answer stopped".into()));
            }
        };
        if may_keep {
            self.exchange.gateway.connections.put(self.placement.engine, connection);
        }
        let status = parts.status;
        let mut headers = parts.headers;
        strip_hop_by_hop_headers(&mut headers);
        let mut response = Response::new(ResponseBody::whole(bytes, Some(held)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if status.is_server_error() {
            return (EngineVerdict::Failed, AttemptEnd::ServerError(response));
        }
        if status.is_success() {
            self.exchange.gateway.record_answer(self.exchange);
        }
        self.exchange.answer(self.progress, response);
        (EngineVerdict::Good, AttemptEnd::Answered(status))
    }

    /// Forwards each event to the caller as soon as it is complete.
    async fn relay_events(
        &mut self,
        connection: ServerConnection,
        response: Response<Incoming>,
        may_keep: bool,
    ) -> (EngineVerdict, AttemptEnd) {
        let (parts, mut body) = response.into_parts();
        let status = parts.status;
        if !self.start_response(parts) {
            return (EngineVerdict::Good, AttemptEnd::Unknown("the caller left".into()));
        }
        let mut splitter = EventSplitter::default();
        let mut held = self.exchange.gateway.budget.holder(MemoryUse::Response);
        let mut pace = StreamPace::new(clock::now());
        let mut has_event = false;
        let mut last_event = clock::now();
        loop {
            let limit = self.next_timeout(has_event.then_some(last_event));
            let frame = match with_timeout(limit, body.frame()).await {
                None if !self.exchange.time_left().is_zero() && !self.permit.acquire() => continue,
                None => {
                    let (since, allowed, fault) = match has_event {
                        true => (last_event, self.placement.gap_timeout, "the stream stopped"),
                        false => {
                            (self.sent, self.placement.first_event_timeout, "no event in time")
                        }
                    };
                    let verdict = EngineVerdict::for_timeout(clock::now().since(since), allowed);
                    return (verdict, AttemptEnd::Unknown(fault.into()));
                }
                Some(None) if splitter.has_partial_event() => {
                    return broken_off(has_event, "an event broke off");
                }
                Some(None) if !has_event && self.stream.last_event.is_none() => {
                    return broken_off(false, "the stream has no event");
                }
                Some(None) => break,
                Some(Some(Err(err))) => return broken_off(has_event, &err.to_string()),
                Some(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else { continue };
            let events = match splitter.push(bytes) {
                Ok(events) => events,
                Err(err) => {
                    return (EngineVerdict::Failed, AttemptEnd::Unknown(err.to_string().into()));
                }
            };
            if !held.try_resize(splitter.buffered()) {
                return (EngineVerdict::Undecided, AttemptEnd::Unknown(TOO_LONG.into()));
            }
            let cost = StreamPace::cost(bytes.len(), events.len());
            let mut accepted = Vec::new();
            for event in events {
                if !event.is_comment {
                    if !has_event {
                        has_event = true;
                        self.record_first_event();
                    } else {
                        self.sample_gap(last_event);
                    }
                    last_event = clock::now();
                }
                if let (Some(id), Some(last)) = (event.id, self.stream.last_event)
                    && id <= last
                {
                    continue;
                }
                self.stream.last_event = event.id.or(self.stream.last_event);
                self.stream.events += u32::from(!event.is_comment);
                accepted.extend_from_slice(&event.bytes);
            }
            if !self.send_chunk(accepted).await {
                let fault = "the caller took the answer too slowly";
                return (EngineVerdict::Undecided, AttemptEnd::Unknown(fault.into()));
            }
            let open = self.exchange.gateway.open_requests.get();
            let pause = pace.record(clock::now(), cost, open);
            if !pause.is_zero() {
                self.exchange.gateway.metrics.endless.with_label_values(&["stream"]).inc();
                Timer::after(pause.min(self.exchange.time_left())).await;
            }
        }
        if may_keep {
            self.exchange.gateway.connections.put(self.placement.engine, connection);
        }
        if let Some(chunks) = &self.stream.chunks {
            let _ = chunks.send(BodyChunk::End).await;
        }
        (EngineVerdict::Good, AttemptEnd::Answered(status))
    }

    /// Sends whole events to the caller. Returns `false` if it did not take them by the deadline.
    async fn send_chunk(&self, events: Vec<u8>) -> bool {
        let Some(chunks) = self.stream.chunks.as_ref().filter(|_| !events.is_empty()) else {
            return true;
        };
        // A send fails only if the caller left; the request's task is cancelled then.
        let held = self.exchange.gateway.budget.holder(MemoryUse::Output);
        let sent = async {
            let held = wait_for_room(held, chunks, events.capacity()).await;
            chunks.send(BodyChunk::Data(events.into(), held)).await
        };
        with_timeout(self.exchange.time_left(), sent).await.is_some()
    }

    /// Sends the first attempt's response headers to the caller. Returns whether the caller is
    /// still connected.
    fn start_response(&mut self, parts: hyper::http::response::Parts) -> bool {
        if self.stream.has_started() {
            return true;
        }
        let Some(alive) = self.alive.upgrade() else { return false };
        let (chunks, body) = ResponseBody::stream(alive);
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop_headers(response.headers_mut());
        self.stream.chunks = Some(chunks);
        self.progress.has_started.set(true);
        self.exchange.reply.try_send(response).is_ok()
    }

    fn record_first_event(&self) {
        self.reservation.note_use();
        if self.progress.first_part.get().is_none() {
            self.progress.first_part.set(Some(clock::now()));
        }
        self.exchange.gateway.dispatch(DispatchInput::ResponseStarted(self.exchange.number));
        self.exchange.gateway.record_answer(self.exchange);
    }

    /// Reports a sample of the gaps between events as a measure of the engine's pace.
    fn sample_gap(&self, last_event: Time) {
        let gap = clock::now().since(last_event);
        if gap >= MIN_SAMPLED_GAP && self.stream.events.is_multiple_of(GAP_SAMPLE_INTERVAL) {
            let engine = self.placement.engine;
            self.exchange.gateway.dispatch(DispatchInput::EventGap { engine, gap });
        }
    }

    /// Time left until the server counts as silent, or until the deadline if no retry is allowed.
    /// Bytes that complete no event do not extend it.
    fn next_timeout(&self, last_event: Option<Time>) -> Duration {
        let left = self.exchange.time_left();
        if !self.permit.may_retry.get() {
            return left;
        }
        let (since, limit) = match last_event {
            Some(at) => (at, self.placement.gap_timeout),
            None => (self.sent, self.placement.first_event_timeout),
        };
        let now = clock::now();
        let limit = limit.saturating_sub(now.since(since));
        limit.max(self.permit.next_check.get().since(now)).min(left)
    }
}
