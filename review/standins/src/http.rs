//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, Write};

/// Message read from a socket. Names of fields are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// Whether the body is as long as the head says.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<String> {
        let field = self.fields.iter().find(|(own, _)| own == name);
        field.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    /// Status of a response; 0 if the line is not one.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(line)
}

/// Reads a message. Errs if the connection ends before the head does.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: String::from_utf8_lossy(&read_line(reader)?).into_owned(),
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { break };
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        message.fields.push((name, line[colon + 1..].trim_ascii().to_vec()));
    }
    message.is_complete = read_body(reader, &mut message).is_ok();
    Ok(message)
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.field("transfer-encoding").as_deref() == Some("chunked") {
        loop {
            let line = read_line(reader)?;
            let text = String::from_utf8_lossy(&line);
            let length = usize::from_str_radix(text.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            read_exactly(reader, length, &mut message.body)?;
            read_line(reader)?;
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    read_exactly(reader, length, &mut message.body)
}

/// Appends `length` bytes; what was read stays if the connection ends before.
fn read_exactly(reader: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let end = body.len() + length;
    while body.len() < end {
        let available = reader.fill_buf()?;
        if available.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let count = available.len().min(end - body.len());
        body.extend_from_slice(&available[..count]);
        reader.consume(count);
    }
    Ok(())
}

/// Writes a message with a length.
pub fn write_message(
    writer: &mut impl Write,
    start: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)
}

/// Value of one name in a query, with escapes decoded.
pub fn query_value(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let (_, value) = pairs.into_iter().find(|(own, _)| *own == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escaped = (*first == b'%' && after.len() >= 2)
            .then(|| std::str::from_utf8(&after[..2]).ok())
            .flatten()
            .and_then(|text| u8::from_str_radix(text, 16).ok());
        match escaped {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
