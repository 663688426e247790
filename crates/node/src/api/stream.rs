//! The connection of a caller or operator, with bounds on what a slow or hostile one can hold.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::server::TlsStream;
use prometheus::IntCounter;

/// Time for which a write may be blocked.
const WRITE_LIMIT: Duration = Duration::from_secs(30);
/// What the HTTP library may read ahead of a request's head.
const READ_AHEAD_BYTES: u64 = 8 << 10;

/// A plain or encrypted connection.
pub enum Transport {
    /// TCP.
    Plain(TcpStream),
    /// TLS over TCP.
    Tls(Box<TlsStream<TcpStream>>),
}

/// Counters of bytes received and sent.
#[derive(Clone)]
pub struct ByteCounters {
    /// Received.
    pub received: IntCounter,
    /// Sent.
    pub sent: IntCounter,
}

struct StreamState {
    transport: Transport,
    counters: ByteCounters,
    head_limit: u64,
    /// Bytes read while the head of a request was awaited; none while a request is handled.
    head_bytes: Option<u64>,
    /// Whether nothing more is read; the connection then ends after the current answer.
    closing: bool,
    blocked: Option<Timer>,
    /// Runs while a head is awaited.
    head_time: Duration,
    awaited: Option<Timer>,
}

/// A connection whose clones share one transport, as the HTTP library needs it.
#[derive(Clone)]
pub struct CallerStream {
    state: Arc<Mutex<StreamState>>,
}

impl CallerStream {
    /// Wraps a connection. A request's head may have at most `head_bytes` bytes and must arrive
    /// within `head_time`.
    pub fn new(
        transport: Transport,
        head_bytes: u64,
        head_time: Duration,
        counters: ByteCounters,
    ) -> CallerStream {
        let state = StreamState {
            transport,
            counters,
            head_limit: head_bytes + READ_AHEAD_BYTES,
            head_bytes: Some(0),
            closing: false,
            blocked: None,
            head_time,
            awaited: None,
        };
        CallerStream { state: Arc::new(Mutex::new(state)) }
    }

    /// Notes that the head arrived and the request is being handled.
    pub fn enter_request(&self) {
        let mut state = self.lock();
        state.head_bytes = None;
        state.awaited = None;
    }

    /// Notes that the request was handled and the head of the next one is awaited.
    pub fn leave_request(&self) {
        self.lock().head_bytes = Some(0);
    }

    /// Reads nothing more, so that the rest of an unwanted body is not awaited.
    pub fn close_after_answer(&self) {
        self.lock().closing = true;
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        // A panic while polling leaves the connection as broken as any other error.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.closing {
            return Poll::Ready(Ok(0));
        }
        let result = match &mut state.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_read(cx, buffer),
            Transport::Tls(stream) => Pin::new(stream).poll_read(cx, buffer),
        };
        if result.is_pending() && state.head_bytes.is_some() {
            let time = state.head_time;
            let timer = state.awaited.get_or_insert_with(|| Timer::after(time));
            return match Pin::new(timer).poll(cx) {
                Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                Poll::Pending => Poll::Pending,
            };
        }
        let Poll::Ready(Ok(amount)) = result else { return result };
        let bytes = u64::try_from(amount).unwrap_or(u64::MAX);
        state.counters.received.inc_by(bytes);
        let limit = state.head_limit;
        if let Some(head_bytes) = &mut state.head_bytes {
            *head_bytes = head_bytes.saturating_add(bytes);
            if *head_bytes > limit {
                return Poll::Ready(Err(io::Error::other("the request's head is too large")));
            }
        }
        Poll::Ready(Ok(amount))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        let result = match &mut state.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_write(cx, bytes),
            Transport::Tls(stream) => Pin::new(stream).poll_write(cx, bytes),
        };
        match result {
            Poll::Ready(result) => {
                state.blocked = None;
                let amount = result?;
                state.counters.sent.inc_by(u64::try_from(amount).unwrap_or(u64::MAX));
                Poll::Ready(Ok(amount))
            }
            Poll::Pending => {
                let timer = state.blocked.get_or_insert_with(|| Timer::after(WRITE_LIMIT));
                match Pin::new(timer).poll(cx) {
                    Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                    Poll::Pending => Poll::Pending,
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.lock().transport {
            Transport::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Transport::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.lock().transport {
            Transport::Plain(stream) => Pin::new(stream).poll_close(cx),
            Transport::Tls(stream) => Pin::new(stream).poll_close(cx),
        }
    }
}
