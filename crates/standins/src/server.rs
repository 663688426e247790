//! The HTTP server under every stand-in.

use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    pin::Pin,
    rc::Rc,
    thread,
};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use http_types::{Body, Request, Response, StatusCode};
use parsley_node::http::ChannelReader;

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
    response.set_body(Body::from_reader(ChannelReader::new(lines, None), None));
    response
}

/// The path of a request, split at slashes, and its query pairs.
pub fn route(request: &Request) -> (Vec<String>, std::collections::BTreeMap<String, String>) {
    let url = request.url();
    let path = url.path().split('/').filter(|part| !part.is_empty()).map(str::to_owned).collect();
    let query = url.query_pairs().map(|(key, value)| (key.into_owned(), value.into_owned()));
    (path, query.collect())
}
