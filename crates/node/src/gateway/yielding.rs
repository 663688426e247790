//! Stream wrapper that yields to other tasks while bytes keep arriving.
//!
//! hyper reads until a message is complete or no byte is ready. A peer that sends without end, such
//! as a chunk size that never ends, would block the only thread of the process for ever.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

/// Reads between two yields.
const READS_PER_TURN: u32 = 2;

/// Most bytes of one read while a response head is awaited. A head is parsed without a yield, and a
/// short read bounds the interim responses that are parsed in one turn.
const HEAD_READ_BYTES: usize = 4 << 10;

/// TCP stream whose reads yield regularly.
pub struct YieldingStream {
    stream: TcpStream,
    reads: u32,
    received: Rc<Cell<u64>>,
    head_limit: Rc<HeadLimit>,
}

/// Limit on what may be received before a response head is complete, interim responses included.
#[derive(Default)]
pub struct HeadLimit {
    /// Bytes that may still be received; `None` while no head is awaited.
    bytes_left: Cell<Option<usize>>,
    /// Whether the limit was exceeded.
    is_exceeded: Cell<bool>,
}

impl HeadLimit {
    /// Allows this many bytes until [`HeadLimit::clear`].
    pub fn set(&self, bytes: usize) {
        self.bytes_left.set(Some(bytes));
    }

    /// Removes the limit, as the head has arrived.
    pub fn clear(&self) {
        self.bytes_left.set(None);
    }

    /// Whether the limit was exceeded.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    /// Length of the next read of at most `length` bytes. Errs if no byte may be read.
    fn read_length(&self, length: usize) -> io::Result<usize> {
        match self.bytes_left.get() {
            None => Ok(length),
            Some(0) => {
                self.is_exceeded.set(true);
                Err(io::Error::new(io::ErrorKind::InvalidData, "interim responses without end"))
            }
            Some(left) => Ok(length.min(left).min(HEAD_READ_BYTES)),
        }
    }

    fn record_read(&self, length: usize) {
        self.bytes_left.set(self.bytes_left.get().map(|left| left.saturating_sub(length)));
    }
}

impl YieldingStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> YieldingStream {
        YieldingStream { stream, reads: 0, received: Rc::default(), head_limit: Rc::default() }
    }

    /// Counter of the bytes received.
    pub fn received_bytes(&self) -> Rc<Cell<u64>> {
        self.received.clone()
    }

    /// Limit on the bytes before a response head.
    pub fn head_limit(&self) -> Rc<HeadLimit> {
        self.head_limit.clone()
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = self.head_limit.read_length(buffer.len())?;
        let result = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        self.reads = if result.is_ready() { self.reads + 1 } else { 0 };
        if let Poll::Ready(Ok(length)) = &result {
            self.received.set(self.received.get() + *length as u64);
            self.head_limit.record_read(*length);
        }
        result
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
