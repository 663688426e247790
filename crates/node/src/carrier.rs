//! Carries the requests of callers to the owners of engines, as the request table decides.

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

/// Time between two looks at the timers of requests.
const TICK: Duration = Duration::from_millis(20);

/// The requests of callers at this host.
#[derive(Default)]
pub struct CarrierTable {
    table: RequestTable,
    carriers: BTreeMap<RequestKey, Carrier>,
    next_request: u64,
}

struct Carrier {
    order: RequestOrder,
    /// Engine chosen before the request was recorded, for the first leg.
    engine: Option<Arc<str>>,
    /// Stream that the record hosts know of.
    recorded: PlacedStream,
    events: Sender<StreamEvent>,
    leg: Option<OpenLeg>,
}

struct OpenLeg {
    leg: LegKey,
    way: LegWay,
    events: Receiver<StreamEvent>,
}

enum LegWay {
    Local(Attachment),
    Remote { link: PeerLink, channel: u64 },
}

/// A request being carried. Dropping it gives the request up; its stream stays resumable for a
/// while.
pub struct CarriedRequest {
    host: HostRef,
    request: RequestKey,
    events: Receiver<StreamEvent>,
}

impl CarriedRequest {
    /// The next event; none after the final one.
    pub async fn next(&self) -> Option<StreamEvent> {
        self.events.recv().await.ok()
    }
}

impl Drop for CarriedRequest {
    fn drop(&mut self) {
        step(&self.host, RequestInput::Disconnected(self.request));
    }
}

/// Starts the timers of carried requests.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK).await;
            step(&host, RequestInput::Tick);
        }
    });
}

/// Starts to carry a request to the engine that it was recorded for, or to the stream on which it
/// may be running there.
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
        carriers.next_request += 1;
        let request = RequestKey(carriers.next_request);
        order.entry = format!("{}/{}/{}", host.settings.name, host.incarnation, request.0).into();
        let engine = Some(recorded.engine.clone());
        let carrier = Carrier { order, engine, recorded, events: sender, leg: None };
        carriers.carriers.insert(request, carrier);
        request
    };
    step(host, RequestInput::Open { request, deadline, offset, attempt, placed });
    CarriedRequest { host: host.clone(), request, events }
}

/// Advances the request table and carries out what it asks for.
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

fn start_leg(
    host: &HostRef,
    request: RequestKey,
    leg: LegKey,
    placed: Option<PlacedStream>,
    avoid: Option<Arc<str>>,
    update: impl FnOnce(&mut RequestOrder),
) -> Option<RequestInput> {
    let (order, planned) = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request)?;
        update(&mut carrier.order);
        (carrier.order.clone(), carrier.engine.take())
    };
    let known = placed.as_ref().map(|placed| placed.engine.clone()).or(planned);
    let known = known.or_else(|| avoid.and_then(|avoid| pick_other(host, &order, &avoid)));
    let Some(chosen) = choose(host, &order, known) else {
        return Some(RequestInput::NoEngine { request, leg });
    };
    let stream = placed.map(|placed| placed.stream);
    let (way, events) = open_leg(host, order, chosen, stream);
    let open = OpenLeg { leg, way, events: events.clone() };
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

fn open_leg(
    host: &HostRef,
    order: RequestOrder,
    chosen: ChosenEngine,
    stream: Option<Arc<str>>,
) -> (LegWay, Receiver<StreamEvent>) {
    let ChosenEngine { engine, owner } = chosen;
    if owner.name == host.settings.name {
        let (sender, events) = async_channel::unbounded();
        let sink = EventSink::Local(sender);
        let attachment = pool::receive(host, order, &engine, stream, sink);
        return (LegWay::Local(attachment), events);
    }
    let link = link::get(host, &owner.name, &owner.peer_address);
    let channel = host.state.borrow_mut().rng.u64(..);
    let events = link.open(channel);
    link.send(match stream {
        None => PeerFrame::Submit { channel, order, engine },
        Some(stream) => PeerFrame::Attach { channel, order, engine, stream },
    });
    (LegWay::Remote { link, channel }, events)
}

fn end_leg(host: &HostRef, request: RequestKey, leg: LegKey, cancel: bool) {
    let open = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request);
        carrier.and_then(|carrier| carrier.leg.take_if(|open| open.leg == leg))
    };
    let Some(open) = open else { return };
    open.events.close();
    match open.way {
        LegWay::Local(attachment) if cancel => pool::cancel_attached(host, attachment),
        LegWay::Local(attachment) => pool::detach(host, attachment),
        LegWay::Remote { link, channel } => {
            link.close_channel(channel);
            link.send(match cancel {
                true => PeerFrame::Cancel { channel },
                false => PeerFrame::Detach { channel },
            });
        }
    }
}

fn deliver(host: &HostRef, request: RequestKey, event: StreamEvent) -> Option<RequestInput> {
    let (name, moved, is_final, is_gone) = {
        let mut state = host.state.borrow_mut();
        let carrier = state.carriers.carriers.get_mut(&request)?;
        let name = records::name(&carrier.order.account, &carrier.order.request);
        let moved = carrier.note(&event);
        let is_final = event.is_final();
        (name, moved, is_final, carrier.events.try_send(event).is_err())
    };
    if let Some((placed, attempt)) = moved {
        records::report_placement(host, &name, &placed, attempt);
    }
    if is_final {
        records::report_end(host, &name);
    }
    is_gone.then_some(RequestInput::Disconnected(request))
}

impl Carrier {
    /// Where the request went, if the record hosts do not know.
    fn note(&mut self, event: &StreamEvent) -> Option<(PlacedStream, u32)> {
        let StreamEvent::Started { engine, stream, attempt } = event else { return None };
        let placed = PlacedStream { engine: engine.clone(), stream: stream.clone() };
        if self.recorded == placed {
            return None;
        }
        self.recorded = placed.clone();
        Some((placed, *attempt))
    }
}

struct ChosenEngine {
    engine: Arc<str>,
    owner: MemberRecord,
}

/// An engine for a new request.
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

/// An engine other than the one that failed, if there is one.
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

fn choose(host: &HostRef, order: &RequestOrder, known: Option<Arc<str>>) -> Option<ChosenEngine> {
    let engine = known.or_else(|| pick_engine(host, order))?;
    let state = host.state.borrow();
    let owner = state.picker.owners().owner(&engine)?.clone();
    let owner = state.members.get(&owner)?.clone();
    Some(ChosenEngine { engine, owner })
}
