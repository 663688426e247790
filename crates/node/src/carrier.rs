//! Forwards requests of callers to the hosts that own the engines, as the request table decides.
//!
//! A leg is one attachment of a request to a stream on an engine. If a leg fails, the request table
//! starts another one.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use parsley_core::{
    member::MemberRecord,
    placement::{PickQuery, PickedEngine, prefix_hashes, serves},
    request::{
        LegKey, PlacedStream, RequestInput, RequestKey, RequestOutput, RequestTable, StreamEvent,
    },
};

use crate::{
    host::HostRef,
    peer::{
        frame::{PeerFrame, RequestOrder},
        link::{self, PeerLink},
    },
    pool::{self, Attachment, EventSink},
    records,
};

/// Interval of the request table's timer input.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The requests that this host received from callers and forwards.
#[derive(Default)]
pub struct CarrierTable {
    table: RequestTable,
    carriers: BTreeMap<RequestKey, Carrier>,
    /// Key of the request opened last.
    last_request: u64,
}

/// State of one forwarded request.
struct Carrier {
    order: RequestOrder,
    /// Engine with which the request was recorded. Taken by the first leg.
    engine: Option<Arc<str>>,
    /// Stream that the record hosts were last told about.
    recorded: PlacedStream,
    events: Sender<StreamEvent>,
    leg: Option<OpenLeg>,
}

/// The current leg of a request.
struct OpenLeg {
    leg: LegKey,
    path: LegPath,
    events: Receiver<StreamEvent>,
}

/// How a leg reaches its engine: through the pool of this host or through another host.
enum LegPath {
    Local(Attachment),
    Remote { link: PeerLink, channel: u64 },
}

/// Handle of a forwarded request, from which its events are received.
///
/// Dropping the handle disconnects the caller from the request. The request's stream stays
/// resumable for a limited time.
pub struct CarriedRequest {
    host: HostRef,
    request: RequestKey,
    events: Receiver<StreamEvent>,
}

impl CarriedRequest {
    /// Returns the next event, or `None` after the final one.
    pub async fn next(&self) -> Option<StreamEvent> {
        self.events.recv().await.ok()
    }
}

impl Drop for CarriedRequest {
    fn drop(&mut self) {
        step(&self.host, RequestInput::Disconnected(self.request));
    }
}

/// Starts the task that drives the timers of forwarded requests.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK_INTERVAL).await;
            step(&host, RequestInput::Tick);
        }
    });
}

/// Starts to forward a request to the engine with which it was recorded.
///
/// If `is_running`, the request may already be running on the recorded stream, and its first leg
/// attaches to that stream instead of submitting the request.
pub fn carry(
    host: &HostRef,
    mut order: RequestOrder,
    recorded: PlacedStream,
    is_running: bool,
) -> CarriedRequest {
    let (sender, events) = async_channel::unbounded();
    let deadline = host.now() + order.time_left;
    let (offset, attempt) = (order.offset, order.attempt);
    let placed = is_running.then(|| recorded.clone());
    let request = {
        let carriers = &mut host.state.borrow_mut().carriers;
        carriers.last_request += 1;
        let request = RequestKey(carriers.last_request);
        order.entry = format!("{}/{}/{}", host.settings.name, host.incarnation, request.0).into();
        let engine = Some(recorded.engine.clone());
        let carrier = Carrier { order, engine, recorded, events: sender, leg: None };
        carriers.carriers.insert(request, carrier);
        request
    };
    step(host, RequestInput::Open { request, deadline, offset, attempt, placed });
    CarriedRequest { host: host.clone(), request, events }
}

/// Passes an input to the request table and executes its outputs, with their follow-up inputs.
fn step(host: &HostRef, input: RequestInput) {
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        let now = host.now();
        let outputs = host.state.borrow_mut().carriers.table.step(now, input);
        for output in outputs {
            match output {
                RequestOutput::StartLeg {
                    request,
                    leg,
                    offset,
                    attempt,
                    placed,
                    avoid,
                    time_left,
                } => {
                    let update = |order: &mut RequestOrder| {
                        order.offset = offset;
                        order.attempt = attempt;
                        order.time_left = time_left;
                    };
                    inputs.extend(start_leg(host, request, leg, placed, avoid, update));
                }
                RequestOutput::EndLeg { request, leg, cancel } => {
                    end_leg(host, request, leg, cancel);
                }
                RequestOutput::Deliver { request, event } => {
                    inputs.extend(deliver(host, request, event));
                }
                RequestOutput::Closed(request) => {
                    host.state.borrow_mut().carriers.carriers.remove(&request);
                }
            }
        }
    }
}

/// Starts a leg of a request and forwards its events to the request table.
///
/// Attaches to the stream `placed` if there is one. Otherwise the request is submitted, on its
/// first leg to the recorded engine and on later ones preferably to an engine other than `avoid`.
fn start_leg(
    host: &HostRef,
    request: RequestKey,
    leg: LegKey,
    placed: Option<PlacedStream>,
    avoid: Option<Arc<str>>,
    update: impl FnOnce(&mut RequestOrder),
) -> Option<RequestInput> {
    let (order, recorded_engine) = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request)?;
        update(&mut carrier.order);
        (carrier.order.clone(), carrier.engine.take())
    };
    let preferred = placed.as_ref().map(|placed| placed.engine.clone()).or(recorded_engine);
    let preferred = preferred.or_else(|| avoid.and_then(|avoid| pick_other(host, &order, &avoid)));
    let Some(target) = resolve_target(host, &order, preferred) else {
        return Some(RequestInput::NoEngine { request, leg });
    };
    let stream = placed.map(|placed| placed.stream);
    let (path, events) = connect_leg(host, order, target, stream);
    let open = OpenLeg { leg, path, events: events.clone() };
    host.state.borrow_mut().carriers.carriers.get_mut(&request)?.leg = Some(open);
    let host = host.clone();
    host.clone().spawn(async move {
        while let Ok(event) = events.recv().await {
            step(&host, RequestInput::Event { request, leg, event });
        }
        step(&host, RequestInput::LegFailed { request, leg });
    });
    None
}

/// Submits a request to the owner of an engine, or attaches to a stream, locally or by a peer
/// connection.
fn connect_leg(
    host: &HostRef,
    order: RequestOrder,
    target: EngineTarget,
    stream: Option<Arc<str>>,
) -> (LegPath, Receiver<StreamEvent>) {
    let EngineTarget { engine, owner } = target;
    if owner.name == host.settings.name {
        let (sender, events) = async_channel::unbounded();
        let sink = EventSink::Local(sender);
        let attachment = pool::receive(host, order, &engine, stream, sink);
        return (LegPath::Local(attachment), events);
    }
    let link = link::get(host, &owner.name, &owner.peer_address);
    let channel = host.state.borrow_mut().rng.u64(..);
    let events = link.open(channel);
    link.send(match stream {
        None => PeerFrame::Submit { channel, order, engine },
        Some(stream) => PeerFrame::Attach { channel, order, engine, stream },
    });
    (LegPath::Remote { link, channel }, events)
}

/// Detaches from the stream of a leg, or cancels the stream if `cancel`.
fn end_leg(host: &HostRef, request: RequestKey, leg: LegKey, cancel: bool) {
    let open = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request);
        carrier.and_then(|carrier| carrier.leg.take_if(|open| open.leg == leg))
    };
    let Some(open) = open else { return };
    open.events.close();
    match open.path {
        LegPath::Local(attachment) if cancel => pool::cancel_attached(host, attachment),
        LegPath::Local(attachment) => pool::detach(host, attachment),
        LegPath::Remote { link, channel } => {
            link.close_channel(channel);
            link.send(match cancel {
                true => PeerFrame::Cancel { channel },
                false => PeerFrame::Detach { channel },
            });
        }
    }
}

/// Passes an event to the caller and updates the request's records.
///
/// Returns an input if the caller is disconnected.
fn deliver(host: &HostRef, request: RequestKey, event: StreamEvent) -> Option<RequestInput> {
    let (name, new_placement, is_final, is_disconnected) = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request)?;
        let name = records::name(&carrier.order.account, &carrier.order.request);
        let new_placement = carrier.update_placement(&event);
        let is_final = event.is_final();
        (name, new_placement, is_final, carrier.events.try_send(event).is_err())
    };
    if let Some((placed, attempt)) = new_placement {
        records::report_placement(host, &name, &placed, attempt);
    }
    if is_final {
        records::report_end(host, &name);
    }
    is_disconnected.then_some(RequestInput::Disconnected(request))
}

impl Carrier {
    /// Returns the stream and attempt of a start event if they differ from the recorded stream, and
    /// stores the stream as recorded.
    fn update_placement(&mut self, event: &StreamEvent) -> Option<(PlacedStream, u32)> {
        let StreamEvent::Started { engine, stream, attempt } = event else { return None };
        let placed = PlacedStream { engine: engine.clone(), stream: stream.clone() };
        if self.recorded == placed {
            return None;
        }
        self.recorded = placed.clone();
        Some((placed, *attempt))
    }
}

/// An engine and the host that owns it.
struct EngineTarget {
    engine: Arc<str>,
    owner: MemberRecord,
}

/// Picks an engine for a request by its model, size and prompt prefixes. Returns `None` if no
/// engine can take it.
pub fn pick_engine(host: &HostRef, order: &RequestOrder) -> Option<Arc<str>> {
    let query = PickQuery {
        model: &order.model,
        prompt_tokens: pool::prompt_tokens(&order.prompt),
        max_tokens: order.max_tokens,
        prefixes: &prefix_hashes(&order.prompt),
    };
    let now = host.now();
    let PickedEngine { engine, .. } = host.state.borrow_mut().picker.pick(now, &query)?;
    Some(engine)
}

/// Returns a random engine that serves the model, is not leaving and is not the failed one.
fn pick_other(host: &HostRef, order: &RequestOrder, avoid: &str) -> Option<Arc<str>> {
    let mut state = host.state.borrow_mut();
    let state = &mut *state;
    let servers = state.config.resources().servers.iter();
    let others: Vec<_> = servers
        .filter(|(name, server)| {
            !server.leaving && ***name != *avoid && serves(server, &order.model)
        })
        .map(|(name, _)| name.clone())
        .collect();
    state.rng.choice(others)
}

/// Returns the preferred engine, or a picked one without a preference, with its owner. Returns
/// `None` if there is no engine or its owner is not a known host.
fn resolve_target(
    host: &HostRef,
    order: &RequestOrder,
    preferred: Option<Arc<str>>,
) -> Option<EngineTarget> {
    let engine = preferred.or_else(|| pick_engine(host, order))?;
    let state = host.state.borrow();
    let owner = state.picker.owners().owner(&engine)?.clone();
    let owner = state.members.get(&owner)?.clone();
    Some(EngineTarget { engine, owner })
}
