//! Response bodies, and the splitter that cuts an event stream into whole events.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use bytes::BytesMut;
use futures_lite::Stream;
use hyper::body::{Body, Bytes, Frame, SizeHint};

use super::budget::HeldMemory;
use crate::error::NodeError;

/// Events buffered for a slow caller; when the buffer is full, its engine is not read.
const MAX_BUFFERED_EVENTS: usize = 8;
/// Longest event, in bytes; a longer one is treated as a broken stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Chunk of a streamed body. A channel that closes without `End` marks a truncated response.
pub enum BodyChunk {
    /// Body bytes and their memory.
    Data(Bytes, HeldMemory),
    /// End of a complete response.
    End,
}

/// Interval at which a chunk that found no room looks for it.
const ROOM_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Waits until the budget has room for a chunk. A caller that has taken all before it always gets
/// it, because the memory of its stream covers one chunk.
pub async fn wait_for_room(
    mut held: HeldMemory,
    chunks: &Sender<BodyChunk>,
    length: usize,
) -> HeldMemory {
    while !held.try_take(length) && !chunks.is_empty() {
        Timer::after(ROOM_CHECK_PERIOD).await;
    }
    held
}

/// Longest piece in which a whole body is handed to the connection, which copies it before it is
/// written.
const SLICE_BYTES: usize = 64 << 10;

/// Splits the next piece off a whole body.
fn next_slice(bytes: &mut Bytes) -> Poll<Option<Result<Frame<Bytes>, NodeError>>> {
    if bytes.is_empty() {
        return Poll::Ready(None);
    }
    Poll::Ready(Some(Ok(Frame::data(bytes.split_to(bytes.len().min(SLICE_BYTES))))))
}

/// Whole body of a request.
pub struct RequestBody(Bytes);

impl RequestBody {
    /// Creates the body of these bytes.
    pub fn new(bytes: Bytes) -> RequestBody {
        RequestBody(bytes)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = NodeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NodeError>>> {
        next_slice(&mut self.0)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Body of a response to a caller.
pub enum ResponseBody {
    /// Complete body.
    Whole {
        /// Bytes that are not sent yet.
        rest: Bytes,
        /// Memory of the body.
        _held: Option<HeldMemory>,
    },
    /// Body received in chunks.
    Stream {
        /// Receiver of the chunks.
        chunks: Pin<Box<Receiver<BodyChunk>>>,
        /// Closes its channel when the body is dropped, which signals that the caller left.
        _alive: Sender<()>,
        /// Whether the stream has ended.
        is_done: bool,
    },
}

impl ResponseBody {
    /// Creates a complete body and keeps its memory until it is sent or dropped.
    pub fn whole(bytes: Bytes, held: Option<HeldMemory>) -> ResponseBody {
        ResponseBody::Whole { rest: bytes, _held: held }
    }

    /// Creates a streamed body and the sender of its chunks.
    pub fn stream(alive: Sender<()>) -> (Sender<BodyChunk>, ResponseBody) {
        let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_EVENTS);
        let chunks = Box::pin(receiver);
        (sender, ResponseBody::Stream { chunks, _alive: alive, is_done: false })
    }
}

/// Body on a caller's connection that reports when the response ends.
pub struct TrackedBody {
    /// Response body.
    pub body: ResponseBody,
    /// Runs when the body is sent or dropped.
    pub _on_end: DropHook,
}

/// Runs a function when dropped.
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
            ResponseBody::Whole { rest, .. } => next_slice(rest),
            ResponseBody::Stream { is_done: true, .. } => Poll::Ready(None),
            ResponseBody::Stream { chunks, is_done, .. } => {
                match chunks.as_mut().poll_next(context) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(Some(BodyChunk::Data(bytes, held))) => {
                        // The connection counts what it buffers itself.
                        held.release();
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Poll::Ready(Some(BodyChunk::End)) => {
                        *is_done = true;
                        Poll::Ready(None)
                    }
                    Poll::Ready(None) => {
                        *is_done = true;
                        Poll::Ready(Some(Err(NodeError::Protocol(
                            "the response ended before it was complete",
                        ))))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole { rest, .. } => rest.is_empty(),
            ResponseBody::Stream { is_done, .. } => *is_done,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole { rest, .. } => SizeHint::with_exact(rest.len() as u64),
            ResponseBody::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Splits a byte stream into whole server-sent events.
#[derive(Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` in which no event ends.
    searched: usize,
}

/// Complete server-sent event.
#[derive(Debug, PartialEq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is present and a number.
    pub id: Option<u64>,
    /// Whether it consists only of comments, which are no progress.
    pub is_comment: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete. Errs if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, NodeError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.pending[self.searched..]) {
            let event = self.pending.split_to(self.searched + end).freeze();
            self.searched = 0;
            let is_comment = event.starts_with(b":") && event_is_comment(&event);
            let id = if is_comment { None } else { event_id(&event) };
            events.push(StreamEvent { bytes: event, id, is_comment });
        }
        // The last three bytes may begin the longest line ending, which has four.
        self.searched = self.pending.len().saturating_sub(3);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(NodeError::Protocol("an event is too long"));
        }
        Ok(events)
    }

    /// Length of the buffered prefix that is not searched again.
    #[cfg(test)]
    pub fn searched(&self) -> usize {
        self.searched
    }

    /// Bytes of an incomplete event that are buffered.
    pub fn buffered(&self) -> usize {
        self.pending.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Index after the first blank line, with either kind of line ending.
fn event_end(bytes: &[u8]) -> Option<usize> {
    memchr::memchr_iter(b'\n', bytes).find_map(|at| {
        let before = &bytes[..at];
        (before.ends_with(b"\n") || before.ends_with(b"\r\n\r")).then_some(at + 1)
    })
}

/// Whether every line of an event is a comment or blank.
fn event_is_comment(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
