//! Carries a request from the entry host to the owner of an engine, and on to the next owner when
//! a connection breaks or the engine moves.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use parsley_core::{
    member::MemberRecord,
    placement::{PickQuery, PickedEngine, prefix_hashes},
    refusal::{Reason, Refusal},
    time::Time,
};

use crate::{
    host::HostRef,
    peer::{
        frame::{PeerFrame, RequestOrder, StreamEvent},
        link,
    },
    pool::{self, EventSink},
};

/// Delay before a request is submitted again after a connection broke.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A stream that may run on an engine.
#[derive(Clone)]
pub struct PlacedStream {
    /// Engine.
    pub engine: Arc<str>,
    /// Stream id on the engine.
    pub stream: Arc<str>,
}

/// A request on its way.
struct Carrier {
    host: HostRef,
    order: RequestOrder,
    deadline: Time,
    placed: Option<PlacedStream>,
    events: Sender<StreamEvent>,
}

/// Starts to carry a request; its events arrive on the receiver. Dropping the receiver cancels
/// nothing: the stream stays resumable for a while.
pub fn start(
    host: &HostRef,
    order: RequestOrder,
    placed: Option<PlacedStream>,
) -> Receiver<StreamEvent> {
    let (events, receiver) = async_channel::unbounded();
    let deadline = host.now() + order.time_left;
    let carrier = Carrier { host: host.clone(), order, deadline, placed, events };
    host.spawn(carrier.run());
    receiver
}

struct ChosenEngine {
    engine: Arc<str>,
    owner: MemberRecord,
}

enum LegEnd {
    /// The final event was passed on, or the caller is gone.
    Done,
    /// The request must go to another owner.
    Again,
}

impl Carrier {
    async fn run(mut self) {
        loop {
            let now = self.host.now();
            if self.deadline <= now {
                let ran = self.placed.is_some();
                let refuse = if ran { Refusal::ran } else { Refusal::not_run };
                let refusal = refuse(Reason::DeadlineExceeded, "no engine within the rank's time");
                let _ = self.events.send(StreamEvent::Refused(refusal)).await;
                return;
            }
            self.order.time_left = self.deadline.since(now);
            match self.leg().await {
                LegEnd::Done => return,
                LegEnd::Again => drop(Timer::after(RETRY_DELAY).await),
            }
        }
    }

    async fn leg(&mut self) -> LegEnd {
        let Some(ChosenEngine { engine, owner }) = self.choose() else {
            let refusal = Refusal::not_run(Reason::NoEngine, "no engine serves the model now")
                .retry_after(Duration::from_secs(1));
            let _ = self.events.send(StreamEvent::Refused(refusal)).await;
            return LegEnd::Done;
        };
        if owner.name == self.host.settings.name {
            let (sender, events) = async_channel::unbounded();
            let sink = EventSink::Local(sender);
            let order = self.order.clone();
            let work = match &self.placed {
                None => pool::submit(&self.host, order, &engine, sink),
                Some(placed) => pool::attach(&self.host, order, &engine, &placed.stream, sink),
            };
            let end = self.pass_on(&events).await;
            pool::detach(&self.host, work);
            return end;
        }
        let link = link::get(&self.host, &owner.name, &owner.peer_address);
        let channel = self.host.state.borrow_mut().rng.u64(..);
        let events = link.open(channel);
        let order = self.order.clone();
        link.send(match &self.placed {
            None => PeerFrame::Submit { channel, order, engine },
            Some(placed) => {
                PeerFrame::Attach { channel, order, engine, stream: placed.stream.clone() }
            }
        });
        let end = self.pass_on(&events).await;
        link.close_channel(channel);
        end
    }

    fn choose(&self) -> Option<ChosenEngine> {
        let now = self.host.now();
        let mut state = self.host.state.borrow_mut();
        let PickedEngine { engine, owner } = match &self.placed {
            Some(placed) => PickedEngine {
                engine: placed.engine.clone(),
                owner: state.picker.owners().owner(&placed.engine)?.clone(),
            },
            None => {
                let query = PickQuery {
                    model: &self.order.model,
                    prompt_tokens: pool::prompt_tokens(&self.order.prompt),
                    max_tokens: self.order.max_tokens,
                    prefixes: &prefix_hashes(&self.order.prompt),
                };
                state.picker.pick(now, &query)?
            }
        };
        let owner = state.members.get(&owner)?.clone();
        Some(ChosenEngine { engine, owner })
    }

    async fn pass_on(&mut self, events: &Receiver<StreamEvent>) -> LegEnd {
        loop {
            let Ok(event) = events.recv().await else { return LegEnd::Again };
            match &event {
                StreamEvent::Moved => return LegEnd::Again,
                StreamEvent::Started { engine, stream, attempt } => {
                    let placed = PlacedStream { engine: engine.clone(), stream: stream.clone() };
                    self.placed = Some(placed);
                    self.order.attempt = *attempt;
                }
                StreamEvent::Chunk { offset, tokens, .. } => {
                    // A chunk at another position was sent before the stream was attached again.
                    if *offset != self.order.offset {
                        continue;
                    }
                    self.order.offset += tokens;
                }
                _ => {}
            }
            let is_final = matches!(event, StreamEvent::Finished | StreamEvent::Refused(_));
            if self.events.send(event).await.is_err() || is_final {
                return LegEnd::Done;
            }
        }
    }
}
