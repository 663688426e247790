//! Link of a host to the store: passes bytes on, those from the store at a limited rate.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Bytes in one step.
const STEP: usize = 8 << 10;

/// Starts a proxy before `target`; returns its address. All its connections share the rate.
pub fn start(target: SocketAddr, mbps: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
                continue;
            };
            thread::spawn(move || pass(from_client, to_server, |_| ()));
            let free_at = free_at.clone();
            thread::spawn(move || {
                pass(server, client, |bytes| {
                    let taken = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
                    let end = {
                        let mut free_at = free_at.lock().expect("link");
                        *free_at = (*free_at).max(Instant::now()) + taken;
                        *free_at
                    };
                    thread::sleep(end.saturating_duration_since(Instant::now()));
                });
            });
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, pace: impl Fn(usize)) {
    let mut buffer = vec![0; STEP];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        pace(count);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}
