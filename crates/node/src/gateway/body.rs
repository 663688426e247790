//! Bodies of answers, and the split of an event stream into whole events.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use async_channel::{Receiver, Sender};
use futures_lite::Stream;
use hyper::body::{Body, Bytes, Frame, SizeHint};

use crate::error::NodeError;

/// Events that wait for a caller who reads slowly; with more, its engine is not read.
const MAX_BUFFERED_EVENTS: usize = 8;
/// Bytes of an event; a longer one is taken for a broken stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A piece of a streamed body. A channel that closes without `End` is an answer that broke off.
pub enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// The body of an answer to a caller.
pub enum ResponseBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come. The sender learns from `_alive` that the caller left.
    Stream {
        /// The pieces.
        chunks: Pin<Box<Receiver<BodyChunk>>>,
        /// Closed with the body.
        _alive: Sender<()>,
        /// Whether the end came.
        is_done: bool,
    },
}

impl ResponseBody {
    /// A body of pieces and the channel that feeds it.
    pub fn stream(alive: Sender<()>) -> (Sender<BodyChunk>, ResponseBody) {
        let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_EVENTS);
        let chunks = Box::pin(receiver);
        (sender, ResponseBody::Stream { chunks, _alive: alive, is_done: false })
    }
}

/// The body of an answer on a caller's connection, which is busy until the body ends.
pub struct TrackedBody {
    /// The body.
    pub body: ResponseBody,
    /// Told when the body ends.
    pub _on_end: DropHook,
}

/// Runs a function when it is dropped.
pub struct DropHook(pub Option<Box<dyn FnOnce()>>);

impl Drop for DropHook {
    fn drop(&mut self) {
        if let Some(end) = self.0.take() {
            end();
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = NodeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NodeError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = NodeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NodeError>>> {
        match &mut *self {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|one| Ok(Frame::data(one)))),
            ResponseBody::Stream { is_done: true, .. } => Poll::Ready(None),
            ResponseBody::Stream { chunks, is_done, .. } => {
                match chunks.as_mut().poll_next(context) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(Some(BodyChunk::Data(bytes))) => {
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Poll::Ready(Some(BodyChunk::End)) => {
                        *is_done = true;
                        Poll::Ready(None)
                    }
                    Poll::Ready(None) => {
                        *is_done = true;
                        Poll::Ready(Some(Err(NodeError::Protocol("the answer broke off"))))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Stream { is_done, .. } => *is_done,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |one| one.len() as u64))
            }
            ResponseBody::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Cuts a stream of bytes into whole events.
#[derive(Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

/// One whole event.
#[derive(Debug, PartialEq)]
pub struct StreamEvent {
    /// Its bytes, with the blank line.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, NodeError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.pending) {
            let rest = self.pending.split_off(end);
            let event = std::mem::replace(&mut self.pending, rest);
            let id = event_id(&event);
            events.push(StreamEvent { bytes: event.into(), id });
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(NodeError::Protocol("an event is too long"));
        }
        Ok(events)
    }

    /// Whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
