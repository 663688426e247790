//! Output to a caller: counts what its connection buffers, and ends the connection of a caller that
//! reads nothing.
//!
//! The kernel measures the time for which a caller takes nothing, byte by byte, where writes show
//! only that a part of a socket's buffer is free again. It ends the connection after the limit that
//! the core crate decides.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use parsley_core::{reader::ReaderWatch, time::Time};
use rustix::net::sockopt;

use super::{
    Gateway,
    budget::{HeldMemory, MemoryUse},
    clock,
    yielding::YieldingStream,
};

/// Memory of a caller's connection besides its output: the buffer of the request head, the first
/// buffer of the response head (8 kB each) and the state of its tasks.
const CONNECTION_BYTES: usize = 24 << 10;
/// Share of a process's memory that the kernel may buffer for one caller, before it doubles it for
/// its own data. A hundred callers that read nothing take a tenth of a host, and 56 kB on 112 MB
/// carry 22 Mbit/s over a link of 20 ms.
const SEND_BUFFER_SHARE: u64 = 2_048;

/// Output side of a caller's connection.
pub struct CallerOutput {
    socket: TcpStream,
    watch: Cell<ReaderWatch>,
    /// Memory of the connection; empty if the budget had no room.
    held: RefCell<HeldMemory>,
    /// Memory of output that the socket does not take yet.
    unsent: RefCell<HeldMemory>,
    /// Whether the kernel ended the connection because nothing was read.
    is_unread: Cell<bool>,
}

impl CallerOutput {
    /// Creates the output side of a connection and takes its memory, if there is room.
    pub fn new(gateway: &Gateway, socket: TcpStream) -> Rc<CallerOutput> {
        let send_buffer = (gateway.settings.memory_limit / SEND_BUFFER_SHARE) as usize;
        // Fails only on a closed connection, whose first read fails as well.
        let _ = sockopt::set_socket_send_buffer_size(&socket, send_buffer);
        let output = CallerOutput {
            socket,
            watch: Cell::new(ReaderWatch::new(clock::now(), Duration::ZERO)),
            held: RefCell::new(gateway.budget.holder(MemoryUse::Connection)),
            unsent: RefCell::new(gateway.budget.holder(MemoryUse::Output)),
            is_unread: Cell::new(false),
        };
        output.take_room();
        Rc::new(output)
    }

    /// Whether the budget has room for the connection; takes it if so.
    pub fn take_room(&self) -> bool {
        self.has_room() || self.held.borrow_mut().try_take(CONNECTION_BYTES)
    }

    /// Whether the budget had room for the connection.
    pub fn has_room(&self) -> bool {
        self.held.borrow().length() > 0
    }

    /// Begins a response that is due at `deadline`.
    pub fn begin_response(&self, deadline: Time, idle_limit: Duration) {
        self.watch.set(ReaderWatch::new(deadline, idle_limit));
        self.apply_limit();
    }

    /// Whether the connection was ended because its caller read nothing.
    pub fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    fn apply_limit(&self) {
        let limit = self.watch.get().unread_limit(clock::now());
        let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
        // Fails only on a closed connection.
        let _ = sockopt::set_tcp_user_timeout(&self.socket, millis);
    }

    fn record_error(&self, err: &io::Error) {
        if err.kind() == io::ErrorKind::TimedOut {
            self.is_unread.set(true);
        }
    }

    fn record_write(&self, offered: usize, result: &Poll<io::Result<usize>>) {
        let (now, mut watch) = (clock::now(), self.watch.get());
        let mut has_new_limit = false;
        let unsent = match result {
            Poll::Pending => {
                has_new_limit = watch.record_blocked(now);
                offered
            }
            Poll::Ready(Ok(written)) => {
                has_new_limit = watch.record_written(now);
                offered - written
            }
            Poll::Ready(Err(err)) => {
                self.record_error(err);
                0
            }
        };
        self.watch.set(watch);
        if has_new_limit {
            self.apply_limit();
        }
        self.unsent.borrow_mut().count(unsent);
    }
}

/// Stream of a caller's connection, whose writes are recorded.
pub struct CallerStream {
    stream: YieldingStream,
    output: Rc<CallerOutput>,
}

impl CallerStream {
    /// Wraps the stream of a connection with this output side.
    pub fn new(stream: YieldingStream, output: Rc<CallerOutput>) -> CallerStream {
        CallerStream { stream, output }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Err(err)) = &result {
            self.output.record_error(err);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.output.record_write(bytes.len(), &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
