//! The HTTP server under every stand-in.

use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    thread,
};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, io};
use http_types::{Body, Request, Response, StatusCode};

/// The future of one answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Everything a handler needs to serve and to start tasks.
pub type ServerExecutor = Rc<LocalExecutor<'static>>;

/// A running stand-in.
pub struct ServerHandle {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl ServerHandle {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in at once, with every connection open to it.
    pub fn close(self) {
        self.stop.close();
        // A panic of the thread was already printed by its own hook.
        drop(self.thread.join());
    }
}

/// Starts a server on a loopback port; port 0 picks a free one. `build` runs on the server's
/// thread and returns the handler.
pub fn start<B, H>(port: u16, build: B) -> std::io::Result<ServerHandle>
where
    B: FnOnce(ServerExecutor) -> H + Send + 'static,
    H: Fn(Request) -> AnswerFuture + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let thread = thread::spawn(move || {
        let executor: ServerExecutor = Rc::new(LocalExecutor::new());
        let handler = Rc::new(build(executor.clone()));
        let accept = accept_loop(executor.clone(), listener, handler);
        let stop = async move {
            let _ = stopped.recv().await;
        };
        async_io::block_on(executor.run(accept.or(stop)));
    });
    Ok(ServerHandle { address, stop, thread })
}

async fn accept_loop<H>(executor: ServerExecutor, listener: TcpListener, handler: Rc<H>)
where
    H: Fn(Request) -> AnswerFuture + 'static,
{
    let Ok(listener) = Async::<TcpListener>::try_from(listener) else { return };
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.get_ref().set_nodelay(true);
        let stream = async_net::TcpStream::from(stream);
        let handler = handler.clone();
        let serve = async move {
            let answer = |request| {
                let handler = handler.clone();
                async move { Ok(handler(request).await) }
            };
            // A broken connection concerns only its client.
            let _ = async_h1::accept(stream, answer).await;
        };
        executor.spawn(serve).detach();
    }
}

/// A JSON answer.
pub fn json(status: u16, value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).expect("known status"));
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// An answer whose body is what arrives on the channel, until the channel is closed.
pub fn streamed(lines: Receiver<Vec<u8>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "application/x-ndjson");
    response.set_body(Body::from_reader(
        ChannelReader { lines: Box::pin(lines), rest: Vec::new(), at: 0 },
        None,
    ));
    response
}

struct ChannelReader {
    lines: Pin<Box<Receiver<Vec<u8>>>>,
    rest: Vec<u8>,
    at: usize,
}

impl AsyncBufRead for ChannelReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        use futures_lite::Stream;
        let this = self.get_mut();
        while this.at == this.rest.len() {
            match this.lines.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(line)) => (this.rest, this.at) = (line, 0),
            }
        }
        Poll::Ready(Ok(&this.rest[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().at += amount;
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

/// The path of a request, split at slashes, and its query pairs.
pub fn route(request: &Request) -> (Vec<String>, std::collections::BTreeMap<String, String>) {
    let url = request.url();
    let path = url.path().split('/').filter(|part| !part.is_empty()).map(str::to_owned).collect();
    let query = url.query_pairs().map(|(key, value)| (key.into_owned(), value.into_owned()));
    (path, query.collect())
}
