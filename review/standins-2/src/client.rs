//! Requests of clients.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::config::KEY;

/// Head of a request with a body of `length` bytes.
pub fn request_head(path: &str, id: &str, deadline_ms: u32, length: usize, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nParsleystage-Attempt-Id: {id}\r\nParsleystage-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{more}Content-Length: {length}\r\n\r\n"
    )
}

/// Connects as clients do, which allow a second for it.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Writes a request.
pub fn send(stream: &mut TcpStream, head: &str, body: &[u8]) -> bool {
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Small generator of numbers that repeat with their seed.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 33) as usize % bound
    }
}
