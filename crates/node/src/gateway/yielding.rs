//! A connection that lets other tasks run while bytes keep coming.
//!
//! hyper reads until a message is whole or no byte is ready. A peer that writes without end, such
//! as a chunk size that never ends, would keep the process's only thread in one read for ever.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

/// Reads after which other tasks get a turn.
const READS_PER_TURN: u32 = 2;

/// A connection whose reads pause now and then.
pub struct YieldingStream {
    stream: TcpStream,
    reads: u32,
    received: Rc<Cell<u64>>,
}

impl YieldingStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> YieldingStream {
        YieldingStream { stream, reads: 0, received: Rc::default() }
    }

    /// Counts the bytes that were received.
    pub fn received(&self) -> Rc<Cell<u64>> {
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
