//! Transport of a caller's or operator's connection. It limits the time and memory that a slow or
//! hostile peer can occupy.

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

/// Time for which a write may be blocked before the connection fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of the body that the HTTP library may read together with a request's head.
const READ_AHEAD_BYTES: u64 = 8 << 10;

/// A plain or encrypted connection.
pub enum Transport {
    /// Unencrypted TCP.
    Plain(TcpStream),
    /// TLS over TCP.
    Tls(Box<TlsStream<TcpStream>>),
}

/// Byte counters of the transport, without TLS overhead.
#[derive(Clone)]
pub struct ByteCounters {
    /// Bytes read from callers and operators.
    pub received: IntCounter,
    /// Bytes written to callers and operators.
    pub sent: IntCounter,
}

struct StreamState {
    transport: Transport,
    counters: ByteCounters,
    /// Maximum of `head_bytes`.
    head_limit: u64,
    /// Bytes read while waiting for a request's head; none while a request is handled.
    head_bytes: Option<u64>,
    /// Whether reads report the end of the stream. The connection then ends after the current
    /// response.
    stop_reading: bool,
    /// Runs while a write is blocked.
    write_timer: Option<Timer>,
    head_timeout: Duration,
    /// Runs while a read waits for a request's head.
    head_timer: Option<Timer>,
}

/// A connection whose clones share one transport, which the HTTP library requires.
#[derive(Clone)]
pub struct CallerStream {
    state: Arc<Mutex<StreamState>>,
}

impl CallerStream {
    /// Wraps a transport. The head of a request must arrive within `head_timeout` and may have at
    /// most `head_bytes` bytes, plus [`READ_AHEAD_BYTES`] for a body read along with it.
    pub fn new(
        transport: Transport,
        head_bytes: u64,
        head_timeout: Duration,
        counters: ByteCounters,
    ) -> CallerStream {
        let state = StreamState {
            transport,
            counters,
            head_limit: head_bytes + READ_AHEAD_BYTES,
            head_bytes: Some(0),
            stop_reading: false,
            write_timer: None,
            head_timeout,
            head_timer: None,
        };
        CallerStream { state: Arc::new(Mutex::new(state)) }
    }

    /// Stops the limits on the head. Called when the head has arrived and handling begins.
    pub fn begin_request(&self) {
        let mut state = self.lock();
        state.head_bytes = None;
        state.head_timer = None;
    }

    /// Applies the size limit to the head of the next request. Called after a request is handled.
    pub fn finish_request(&self) {
        self.lock().head_bytes = Some(0);
    }

    /// Makes further reads report the end of the stream, so that the HTTP library does not wait for
    /// the rest of an unwanted body.
    pub fn close_after_answer(&self) {
        self.lock().stop_reading = true;
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        // A panic while polling is handled like any other transport error, so poisoning is ignored.
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
        if state.stop_reading {
            return Poll::Ready(Ok(0));
        }
        let result = match &mut state.transport {
            Transport::Plain(stream) => Pin::new(stream).poll_read(cx, buffer),
            Transport::Tls(stream) => Pin::new(stream).poll_read(cx, buffer),
        };
        if result.is_pending() && state.head_bytes.is_some() {
            let time = state.head_timeout;
            let timer = state.head_timer.get_or_insert_with(|| Timer::after(time));
            return match Pin::new(timer).poll(cx) {
                Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                Poll::Pending => Poll::Pending,
            };
        }
        let Poll::Ready(Ok(count)) = result else { return result };
        let bytes = u64::try_from(count).unwrap_or(u64::MAX);
        state.counters.received.inc_by(bytes);
        let limit = state.head_limit;
        if let Some(head_bytes) = &mut state.head_bytes {
            *head_bytes = head_bytes.saturating_add(bytes);
            if *head_bytes > limit {
                return Poll::Ready(Err(io::Error::other("the request's head is too large")));
            }
        }
        Poll::Ready(Ok(count))
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
                state.write_timer = None;
                let count = result?;
                state.counters.sent.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
                Poll::Ready(Ok(count))
            }
            Poll::Pending => {
                let timer = state.write_timer.get_or_insert_with(|| Timer::after(WRITE_TIMEOUT));
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
