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

/// TCP stream whose reads yield regularly.
pub struct YieldingStream {
    stream: TcpStream,
    reads: u32,
    received: Rc<Cell<u64>>,
}

impl YieldingStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> YieldingStream {
        YieldingStream { stream, reads: 0, received: Rc::default() }
    }

    /// Counter of the bytes received.
    pub fn received_bytes(&self) -> Rc<Cell<u64>> {
        self.received.clone()
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
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.reads = if result.is_ready() { self.reads + 1 } else { 0 };
        if let Poll::Ready(Ok(length)) = &result {
            self.received.set(self.received.get() + *length as u64);
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
