//! HTTP/1.1 messages on blocking sockets.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header fields by lower-case name.
    pub head: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.head.get(name).map_or("", String::as_str)
    }

    /// Second word of the first line: the path of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads a message head; `None` if the connection ends first.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut head = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        head.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let start = start.trim_end().to_owned();
    Some(Message { start, head, body: Vec::new(), is_whole: false })
}

/// Reads a message; `None` if the connection ends before its head does.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.field("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Some(message);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Some(message) };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(message);
            }
            if length == 0 {
                message.is_whole = true;
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) | Err(_) => break,
            Ok(count) => filled += count,
        }
    }
    body.truncate(filled);
    message.is_whole = filled == length;
    message.body = body;
    Some(message)
}

/// One GET request on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}
