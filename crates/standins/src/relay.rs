//! A relay in front of any TCP server, whose open connections can go silent while new ones pass.
//!
//! A silent connection stays open and takes what is sent, but nothing more arrives at either end.
//! Datagrams to the relay's port are passed on as well.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};

/// A running relay.
pub struct RelayHandle {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
    passed: Arc<AtomicU64>,
    stop: Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl RelayHandle {
    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes every open connection silent for good; new ones pass.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Stops the relay with every connection.
    pub fn close(self) {
        self.stop.close();
        // A panic of the thread was already printed by its own hook.
        drop(self.thread.join());
    }
}

/// Starts a relay to a target on a free loopback port.
pub fn start(target: SocketAddr) -> io::Result<RelayHandle> {
    let (listener, socket) = free_port()?;
    let address = listener.local_addr()?;
    let generation = Arc::new(AtomicU64::new(0));
    let passed = Arc::new(AtomicU64::new(0));
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (current, count) = (generation.clone(), passed.clone());
    let thread = thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let accept = accept_loop(executor.clone(), listener, target, current, count);
        let datagrams = datagram_loop(socket, target);
        let stop = async move {
            let _ = stopped.recv().await;
        };
        async_io::block_on(executor.run(accept.or(datagrams).or(stop)));
    });
    Ok(RelayHandle { address, generation, passed, stop, thread })
}

/// A port that is free for both TCP and UDP.
fn free_port() -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
            return Ok((listener, socket));
        }
    }
}

async fn datagram_loop(socket: UdpSocket, target: SocketAddr) {
    let Ok(socket) = Async::<UdpSocket>::try_from(socket) else { return };
    let mut buffer = vec![0; 64 << 10];
    loop {
        if let Ok((size, _)) = socket.recv_from(&mut buffer).await {
            // A lost datagram is one the network may lose.
            let _ = socket.send_to(&buffer[..size], target).await;
        }
    }
}

async fn accept_loop(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    target: SocketAddr,
    generation: Arc<AtomicU64>,
    passed: Arc<AtomicU64>,
) {
    let Ok(listener) = Async::<TcpListener>::try_from(listener) else { return };
    loop {
        let Ok((inner, _)) = listener.accept().await else { continue };
        passed.fetch_add(1, Ordering::Relaxed);
        let _ = inner.get_ref().set_nodelay(true);
        let generation = generation.clone();
        let pass = async move {
            let Ok(outer) = TcpStream::connect(target).await else { return };
            let _ = outer.set_nodelay(true);
            let inner = TcpStream::from(inner);
            let mine = generation.load(Ordering::Relaxed);
            let is_silent = || generation.load(Ordering::Relaxed) != mine;
            let there = copy(inner.clone(), outer.clone(), &is_silent);
            let back = copy(outer, inner, &is_silent);
            there.or(back).await;
        };
        executor.spawn(pass).detach();
    }
}

/// Passes bytes on until an end closes; keeps both ends open once the connection is silent.
async fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &impl Fn() -> bool) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let size = from.read(&mut buffer).await.unwrap_or(0);
        if is_silent() {
            return future::pending().await;
        }
        if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
