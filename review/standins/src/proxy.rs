//! Proxy that stands for a host's link: what the host receives passes it at a limited rate, with small
//! windows. What the host sends passes at once.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Receive window towards the sender, in bytes.
const WINDOW_BYTES: i32 = 64 << 10;
/// Bytes passed on at a time.
const PART_BYTES: usize = 8 << 10;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

fn limit_window(stream: &TcpStream) {
    let value = WINDOW_BYTES;
    // SAFETY: the pointer is valid for the length given, and the socket is open.
    let result =
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const value, 4) };
    assert_eq!(result, 0, "the window is limited");
}

/// Time at which the link is free again, shared by all connections.
struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// Waits until `count` bytes have passed.
    fn pass(&self, count: usize) {
        let time = Duration::from_secs_f64(count as f64 / self.bytes_per_second);
        let end = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

/// Starts a link of `megabits` a second. Returns the address at which the host reaches `target`.
pub fn start(target: SocketAddr, megabits: f64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let link = Arc::new(Link {
        bytes_per_second: megabits * 1e6 / 8.0,
        free_at: Mutex::new(Instant::now()),
    });
    thread::spawn(move || {
        for host in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || carry(host, target, &link));
        }
    });
    Ok(address)
}

fn carry(host: TcpStream, target: SocketAddr, link: &Link) {
    let Ok(store) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
    limit_window(&store);
    let (Ok(mut from_host), Ok(mut to_store)) = (host.try_clone(), store.try_clone()) else {
        return;
    };
    thread::spawn(move || {
        // Ends when either side closes.
        let _ = std::io::copy(&mut from_host, &mut to_store);
        let _ = to_store.shutdown(Shutdown::Both);
    });
    let (mut store, mut host) = (store, host);
    let mut part = [0; PART_BYTES];
    while let Ok(count) = store.read(&mut part) {
        if count == 0 {
            break;
        }
        link.pass(count);
        if host.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = host.shutdown(Shutdown::Both);
    let _ = store.shutdown(Shutdown::Both);
}
