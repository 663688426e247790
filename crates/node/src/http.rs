//! HTTP client and response body helpers shared by the API and the adapters.

use std::{
    future::Future,
    net::TcpListener,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use async_channel::Receiver;
use async_io::{Async, Timer};
use async_net::TcpStream;
use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, FutureExt, Stream, io};
use http_types::{Method, Request, Response, Url};
use serde::de::DeserializeOwned;

use crate::{error::NodeError, host::RequestGuard};

/// Longest body of an answer that is kept whole, in bytes: a list of ten thousand entries, or some values of the
/// key-value service, which are up to a megabyte each.
const MAX_TEXT_BYTES: u64 = 16 << 20;

/// Listens on an address. The error contains the address.
pub fn listen(address: &Arc<str>) -> Result<Async<TcpListener>, NodeError> {
    let listener = TcpListener::bind(&**address).and_then(Async::try_from);
    listener.map_err(|err| NodeError::Listen(address.clone(), err))
}

/// Runs a future and returns [`NodeError::Timeout`] if it does not complete within `timeout`.
pub async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = Result<T, NodeError>>,
) -> Result<T, NodeError> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(NodeError::Timeout)
    };
    future.or(timed_out).await
}

/// Sends a request on a new connection and returns the response head; the body is read by the
/// caller.
///
/// A body is sent as JSON. `timeout` covers the connection, the request and the response head, but
/// not the response body.
pub async fn send(
    address: &str,
    method: Method,
    path: &str,
    body: Option<String>,
    timeout: Duration,
) -> Result<Response, NodeError> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|err| NodeError::Http(err.to_string().into()))?;
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.set_body(body);
        request.insert_header("content-type", "application/json");
    }
    with_timeout(timeout, exchange(address, request)).await
}

/// Sends a request on a new connection and returns the response head, without a timeout.
pub async fn exchange(address: &str, request: Request) -> Result<Response, NodeError> {
    let stream = TcpStream::connect(address).await.map_err(NodeError::Connect)?;
    stream.set_nodelay(true)?;
    Ok(async_h1::connect(stream, request).await?)
}

/// Reads a JSON body. Fails if it is longer than `MAX_TEXT_BYTES` or not complete within `timeout`.
pub async fn read_json<T: DeserializeOwned>(
    response: Response,
    timeout: Duration,
) -> Result<T, NodeError> {
    let text = read_text(response, timeout).await?;
    serde_json::from_str(&text).map_err(|err| NodeError::Http(err.to_string().into()))
}

/// Reads a text body, with the same limits as [`read_json`].
pub async fn read_text(response: Response, timeout: Duration) -> Result<String, NodeError> {
    let mut body = Vec::new();
    let read = async { Ok(response.take(MAX_TEXT_BYTES + 1).read_to_end(&mut body).await?) };
    with_timeout(timeout, read).await?;
    if body.len() as u64 > MAX_TEXT_BYTES {
        return Err(NodeError::Protocol("the answer is longer than allowed"));
    }
    String::from_utf8(body).map_err(|_| NodeError::Protocol("the answer is not text"))
}

/// A response body that consists of the byte blocks received from a channel until it is closed.
pub struct ChannelReader {
    blocks: Pin<Box<Receiver<Vec<u8>>>>,
    block: Vec<u8>,
    position: usize,
    /// Dropped with the body, which the HTTP server does after writing all of it.
    _guard: Option<RequestGuard>,
}

impl ChannelReader {
    /// Creates a body from a channel. The request of `guard` counts as open until the body is
    /// dropped.
    pub fn new(blocks: Receiver<Vec<u8>>, guard: Option<RequestGuard>) -> ChannelReader {
        ChannelReader { blocks: Box::pin(blocks), block: Vec::new(), position: 0, _guard: guard }
    }

    /// Creates a body from bytes that are already complete. The request of `guard` counts as open
    /// until the body is dropped.
    pub fn whole(bytes: Vec<u8>, guard: RequestGuard) -> ChannelReader {
        let (_, blocks) = async_channel::bounded(1);
        ChannelReader { blocks: Box::pin(blocks), block: bytes, position: 0, _guard: Some(guard) }
    }
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.block.len() {
            match this.blocks.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(block)) => (this.block, this.position) = (block, 0),
            }
        }
        Poll::Ready(Ok(&this.block[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(available)) => available,
            Poll::Ready(Err(err)) => return Poll::Ready(Err(err)),
            Poll::Pending => return Poll::Pending,
        };
        let amount = available.len().min(buffer.len());
        buffer[..amount].copy_from_slice(&available[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
