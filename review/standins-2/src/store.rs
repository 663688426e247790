//! Stand-in of the platform's store, as far as hosts use it.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_message, Message};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let is_used = index <= chunk.len();
            let digit = ALPHABET[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if is_used { digit as char } else { '=' });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter(|digit| *digit != b'=') {
        let Some(value) = ALPHABET.iter().position(|one| *one == digit) else { continue };
        (word, bits) = (word << 6 | value as u32, bits + 6);
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Value of a field in a flat piece of JSON, without quotes.
fn json_field<'a>(text: &'a str, name: &str) -> &'a str {
    let mark = format!("\"{name}\":");
    let Some(at) = text.find(&mark) else { return "" };
    let rest = text[at + mark.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or(""),
        None => rest.split([',', '}', ']']).next().unwrap_or("").trim(),
    }
}

/// Bounds of a page: "at most about 500 items or 1 MB".
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Data {
    revision: u64,
    /// Value, revision and lease of each key.
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    history: Vec<(u64, String)>,
    leases: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (value, self.revision, lease));
        self.history.push((self.revision, key.to_owned()));
    }

    fn item(&self, key: &str) -> String {
        match self.items.get(key) {
            Some((value, revision, lease)) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created_rev\":{revision},\"lease\":{lease}}}",
                encode_base64(value)
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{},\"removed\":true}}", self.revision),
        }
    }
}

/// Stand-in of the store. Its leases do not expire in the time of a case.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let data = Data { revision: 7, ..Data::default() };
        let store = Store { address, state: Arc::new((Mutex::new(data), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().expect("state").put(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
    }

    /// Writes several items in one transaction.
    pub fn put_all(&self, items: &[(String, Vec<u8>)]) {
        let mut data = self.state.0.lock().expect("state");
        let revision = data.revision + 1;
        for (key, value) in items {
            data.items.insert(key.clone(), (value.clone(), revision, 0));
            data.history.push((revision, key.clone()));
        }
        data.revision = revision;
        drop(data);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(copy), stream);
        while let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) {
            let (status, body) = self.response(&request);
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn response(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.second().split_once('?').unwrap_or((request.second(), ""));
        let query: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_query(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let mut data = self.state.0.lock().expect("state");
        match path {
            "/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let is_found = |key: &&String| key.starts_with(&prefix) && **key > after;
                let mut found = data.items.keys().filter(is_found).peekable();
                let (mut items, mut bytes) = (Vec::new(), 0);
                while let Some(key) = found.peek() {
                    bytes += data.items[*key].0.len();
                    if items.len() >= PAGE_ITEMS || (bytes > PAGE_BYTES && !items.is_empty()) {
                        break;
                    }
                    items.push(data.item(key));
                    found.next();
                }
                let (has_more, as_of) = (found.peek().is_some(), data.revision);
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"as_of\":{as_of}}}"))
            }
            "/kv-watch" => {
                let (prefix, after) = (text("prefix"), number("after"));
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                let changed = |data: &Data| -> Vec<String> {
                    let history = data.history.iter();
                    let new = history.filter(|(at, key)| *at > after && key.starts_with(&prefix));
                    new.map(|(_, key)| key.clone()).collect()
                };
                while changed(&data).is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    data = self.state.1.wait_timeout(data, left).expect("state").0;
                }
                let mut keys = changed(&data);
                keys.sort();
                keys.dedup();
                let events: Vec<_> = keys.iter().map(|key| data.item(key)).collect();
                (200, format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), data.revision))
            }
            "/kv-lease" => {
                data.leases += 1;
                (200, format!("{{\"lease\":{},\"ttl_ms\":30000}}", data.leases))
            }
            "/kv-txn" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let puts = body.split("\"puts\":").nth(1).unwrap_or("");
                for put in puts.split('{').skip(1) {
                    let lease = json_field(put, "lease").parse().unwrap_or(0);
                    data.put(
                        json_field(put, "key"),
                        decode_base64(json_field(put, "value")),
                        lease,
                    );
                }
                self.state.1.notify_all();
                (200, format!("{{\"revision\":{}}}", data.revision))
            }
            _ if path.starts_with("/kv-keep/") => (200, "{\"ttl_ms\":30000}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }
}
