//! Stand-in of the platform's metadata store, as in PROTOCOL.md.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, query_value, read_message},
    json::{self, Json, decode_base64, encode_base64, quote},
};

/// `history_s`.
const HISTORY: Duration = Duration::from_secs(20);

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Instant)>,
    /// Revision up to which the history was dropped.
    dropped: u64,
    /// End of each lease.
    leases: BTreeMap<u64, Instant>,
    granted: u64,
    calls: BTreeMap<String, u64>,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        self.history.push((revision, key.to_owned(), Instant::now()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), Instant::now()));
        }
    }

    /// Drops old history, and ends leases whose time is over, with their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let old = self.history.iter().take_while(|(_, _, at)| now - *at > HISTORY).count();
        if let Some((revision, ..)) = self.history.drain(..old).next_back() {
            self.dropped = revision;
        }
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let held: Vec<_> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            held.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
        quote(key),
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Store that keeps everything in memory.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
    page: usize,
    /// Number of times that the watches waiting then were cut.
    cuts: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store whose pages hold at most `page` items.
    pub fn start(page: usize) -> std::io::Result<Store> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let store = Store { address, data: Arc::default(), page, cuts: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let cuts = self.cuts.load(Ordering::SeqCst);
            let (status, body) = self.respond(&request);
            if request.target().starts_with("/kv-watch") && self.cuts.load(Ordering::SeqCst) != cuts
            {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or_default();
        let mut data = self.data.0.lock().unwrap();
        data.expire();
        *data.calls.entry(path.to_owned()).or_default() += 1;
        let number = |name: &str| query_value(target, name).and_then(|text| text.parse().ok());
        match path {
            "/kv-key" => {
                let key = query_value(target, "key").unwrap_or_default();
                match data.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/kv-range" => {
                let prefix = query_value(target, "prefix").unwrap_or_default();
                let after = query_value(target, "after").unwrap_or_default();
                let listed =
                    data.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut items: Vec<_> =
                    listed.take(self.page + 1).map(|(key, item)| item_json(key, item)).collect();
                let has_more = items.len() > self.page;
                items.truncate(self.page);
                let items = items.join(",");
                let revision = data.revision;
                (
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":{has_more},\"as_of\":{revision}}}"),
                )
            }
            "/kv-watch" => {
                let prefix = query_value(target, "prefix").unwrap_or_default();
                let after: u64 = number("after").unwrap_or(0);
                if after < data.dropped {
                    return (410, "{}".to_owned());
                }
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let cuts = self.cuts.load(Ordering::SeqCst);
                let is_quiet = |data: &mut Data| {
                    self.cuts.load(Ordering::SeqCst) == cuts
                        && !data
                            .history
                            .iter()
                            .any(|(at, key, _)| *at > after && key.starts_with(&prefix))
                };
                let (data, _) = self.data.1.wait_timeout_while(data, wait, is_quiet).unwrap();
                let changed = data
                    .history
                    .iter()
                    .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                let events: Vec<_> = changed
                    .map(|(at, key, _)| match data.items.get(key) {
                        Some(item) => item_json(key, item),
                        None => {
                            format!("{{\"key\":{},\"revision\":{at},\"removed\":true}}", quote(key))
                        }
                    })
                    .collect();
                (200, format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), data.revision))
            }
            "/kv-lease" => {
                let term =
                    json::parse(&request.text()).map_or(0, |body| body.get("ttl_ms").number());
                data.granted += 1;
                let id = data.granted;
                data.leases.insert(id, Instant::now() + Duration::from_millis(term));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{term}}}"))
            }
            "/kv-txn" => {
                self.commit(&mut data, &json::parse(&request.text()).unwrap_or(Json::Null))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                if !data.leases.contains_key(&id) {
                    return (404, "{}".to_owned());
                }
                if path.starts_with("/kv-lease-end/") {
                    data.leases.insert(id, Instant::now());
                    data.expire();
                    self.data.1.notify_all();
                } else {
                    // The project's leases last 30 s.
                    data.leases.insert(id, Instant::now() + Duration::from_secs(30));
                }
                (200, "{\"ttl_ms\":30000}".to_owned())
            }
        }
    }

    fn commit(&self, data: &mut Data, body: &Json) -> (u16, String) {
        let held = body.get("precondition").list().iter().all(|row| {
            let revision = data.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        });
        if !held {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        if puts.iter().any(|put| {
            let lease = put.get("lease").number();
            lease != 0 && !data.leases.contains_key(&lease)
        }) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = decode_base64(put.get("value").text());
            data.put(put.get("key").text(), value, put.get("lease").number());
        }
        body.get("deletes").list().iter().for_each(|key| data.remove(key.text()));
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }

    /// Writes a key for the operator or another writer. Returns when the store has it.
    pub fn put(&self, key: &str, value: &str) {
        self.data.0.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.data.1.notify_all();
    }

    /// Writes several keys in one transaction.
    pub fn put_all(&self, entries: &[(String, String)]) {
        let mut data = self.data.0.lock().unwrap();
        entries.iter().for_each(|(key, value)| data.put(key, value.as_bytes().to_vec(), 0));
        self.data.1.notify_all();
    }

    /// Removes a key for its writer. Returns when the store has done it.
    pub fn remove(&self, key: &str) {
        self.data.0.lock().unwrap().remove(key);
        self.data.1.notify_all();
    }

    /// Cuts the watches that wait now: their connections end without an answer.
    pub fn cut_watches(&self) {
        let _data = self.data.0.lock().unwrap();
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.data.1.notify_all();
    }

    /// Writes the entry of a backend server.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, slots: u32) {
        self.register_as("ready", id, service, address, slots);
    }

    /// Writes the entry of a backend server with a state.
    pub fn register_as(
        &self,
        state: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        slots: u32,
    ) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":1,\"born\":1796000000000}}"
        );
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Calls answered so far, by path.
    pub fn calls(&self, path: &str) -> u64 {
        self.data.0.lock().unwrap().calls.get(path).copied().unwrap_or(0)
    }
}
