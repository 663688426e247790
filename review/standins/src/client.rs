//! Stand-in of a client that keeps to PROTOCOL.md: one request on one connection, no retry.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http::read_message, record::Record};

/// Request of a client.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub method: &'static str,
    pub path: &'static str,
    /// API key; empty if the route needs none.
    pub key: String,
    pub deadline: Duration,
    /// Further header lines, each with its end.
    pub fields: String,
    pub body_bytes: usize,
    /// Whether the connection carries a small request before this one.
    pub is_kept: bool,
}

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// Status of a whole answer, and its length.
    Answer(u16, usize),
    /// An answer began and did not end; its status, and the bytes of its body.
    Cut(u16, usize),
    /// The connection ended without an answer.
    Closed,
    /// No connection, or the request could not be sent whole.
    NotSent,
    /// No answer by the deadline.
    GaveUp,
}

/// Result of a request.
#[derive(Clone)]
pub struct Result {
    pub id: String,
    pub got: Got,
    /// When the last byte was sent.
    pub sent: Option<Instant>,
    pub ended: Instant,
}

/// Sends a request and waits for its answer until its deadline.
pub fn ask(front: SocketAddr, ask: &Ask, record: &Record) -> Result {
    let start = Instant::now();
    let mut sent = None;
    let got = exchange(front, ask, start, &mut sent, record);
    record.line(&format!("client of request {} got {got:?}", ask.id));
    Result { id: ask.id.clone(), got, sent, ended: Instant::now() }
}

fn exchange(
    front: SocketAddr,
    ask: &Ask,
    start: Instant,
    sent: &mut Option<Instant>,
    record: &Record,
) -> Got {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return Got::NotSent;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(ask.deadline));
    let Ok(mut writer) = stream.try_clone() else { return Got::NotSent };
    let mut reader = BufReader::new(Until { stream, end: start + ask.deadline });
    if ask.is_kept {
        let small = Ask { id: format!("{}-first", ask.id), body_bytes: 100, ..ask.clone() };
        let is_served = writer.write_all(&request_bytes(&small)).is_ok()
            && read_message(&mut reader).is_ok_and(|answer| answer.status() == 200);
        if !is_served {
            return Got::NotSent;
        }
    }
    let bytes = request_bytes(ask);
    let written = writer.write_all(&bytes);
    drop(bytes);
    if written.is_ok() {
        *sent = Some(Instant::now());
        record.line(&format!("client sent request {} to {front}", ask.id));
    }
    match read_message(&mut reader) {
        Ok(answer) if answer.is_complete => Got::Answer(answer.status(), answer.body.len()),
        Ok(_) if Instant::now() >= start + ask.deadline => Got::GaveUp,
        Ok(answer) => Got::Cut(answer.status(), answer.body.len()),
        Err(_) if Instant::now() >= start + ask.deadline => Got::GaveUp,
        Err(_) if sent.is_none() => Got::NotSent,
        Err(_) => Got::Closed,
    }
}

fn request_bytes(ask: &Ask) -> Vec<u8> {
    let length = match ask.body_bytes {
        0 if ask.method == "GET" => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let key = match ask.key.as_str() {
        "" => String::new(),
        key => format!("Authorization: Token {key}\r\n"),
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: a.example\r\nParsleystage-Attempt-Id: {}\r\nParsleystage-Deadline-Ms: {}\r\n{key}{}{length}\r\n",
        ask.method,
        ask.path,
        ask.id,
        ask.deadline.as_millis(),
        ask.fields,
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + ask.body_bytes, b'p');
    bytes
}

/// Reader that ends at a time.
struct Until {
    stream: TcpStream,
    end: Instant,
}

impl io::Read for Until {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
