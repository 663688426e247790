//! The platform's key-value service over HTTP: revisions over the whole store, compare-and-swap,
//! leases and watches.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /kv/<key>` | value and revision; 404 if absent |
//! | `PUT /kv/<key>` `{"value","expect","lease"}` | write if the key's revision is `expect` (0: absent); 409 with the current revision otherwise |
//! | `DELETE /kv/<key>?expect=N` | delete likewise |
//! | `GET /range/<prefix>?after=N` | every change after a revision, deletions as null values |
//! | `GET /watch/<prefix>?after=N&wait_ms=M` | the same, answered when there is one or at the end of the wait |
//! | `POST /leases` `{"ttl_ms"}`, `POST /leases/<id>`, `DELETE /leases/<id>` | grant, renew, give up |

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::server::{self, AnswerFuture, ServerHandle};

/// Time between two looks of a waiting watch.
const WATCH_PERIOD: Duration = Duration::from_millis(10);

struct Entry {
    revision: u64,
    value: Option<String>,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Faults of the store, switched while it runs.
#[derive(Default)]
pub struct StoreFaults {
    out: AtomicBool,
    slow_ms: AtomicU64,
    lost_percent: AtomicU64,
    expire_leases: AtomicBool,
}

impl StoreFaults {
    /// Leaves every call without effect and without an answer.
    pub fn out(&self, on: bool) {
        self.out.store(on, Ordering::Relaxed);
    }

    /// Delays every call before it takes effect.
    pub fn slow(&self, delay: Duration) {
        self.slow_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Gives no answer to a share of the writes, in hundredths, after they took effect.
    pub fn lose_answers(&self, percent: u64) {
        self.lost_percent.store(percent, Ordering::Relaxed);
    }

    /// Lets every lease that is granted now expire at once.
    pub fn expire_leases(&self) {
        self.expire_leases.store(true, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct Store {
    faults: Arc<StoreFaults>,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    calls: BTreeMap<&'static str, u64>,
}

type StoreRef = Rc<RefCell<Store>>;

/// Starts a store on a loopback port, 0 for any.
pub fn start(port: u16, faults: Arc<StoreFaults>) -> std::io::Result<ServerHandle> {
    server::start(port, move |executor| {
        let store = Rc::new(RefCell::new(Store { faults, ..Store::default() }));
        executor.spawn(expire_leases(store.clone())).detach();
        move |request| -> AnswerFuture { Box::pin(answer(store.clone(), request)) }
    })
}

async fn expire_leases(store: StoreRef) {
    loop {
        Timer::after(Duration::from_millis(50)).await;
        let mut store = store.borrow_mut();
        let early = store.faults.expire_leases.swap(false, Ordering::Relaxed);
        let now = Instant::now();
        let all = store.leases.values().map(|lease| lease.expires).max();
        store.expire(if early { all.unwrap_or(now) } else { now });
    }
}

async fn answer(store: StoreRef, request: Request) -> Response {
    let faults = store.borrow().faults.clone();
    if faults.out.load(Ordering::Relaxed) {
        return futures_lite::future::pending().await;
    }
    let slow = faults.slow_ms.load(Ordering::Relaxed);
    if slow > 0 {
        Timer::after(Duration::from_millis(slow)).await;
    }
    let is_write = matches!(request.method(), Method::Put | Method::Delete);
    let response = serve(store, request).await;
    let lost = faults.lost_percent.load(Ordering::Relaxed);
    if is_write && fastrand::u64(0..100) < lost {
        return futures_lite::future::pending().await;
    }
    response
}

async fn serve(store: StoreRef, mut request: Request) -> Response {
    let (path, query) = server::route(&request);
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let Some((first, rest)) = path.split_first() else { return server::json(404, &json!({})) };
    let mut key = rest.join("/");
    if request.url().path().ends_with('/') {
        key.push('/');
    }
    let body: Value = match request.method() {
        Method::Put | Method::Post => request.body_json().await.unwrap_or_default(),
        _ => Value::Null,
    };
    let method = request.method();
    match (method, first.as_str()) {
        (Method::Get, "kv") => store.borrow_mut().read(&key),
        (Method::Put, "kv") => store.borrow_mut().write(&key, &body),
        (Method::Delete, "kv") => store.borrow_mut().swap(&key, number("expect"), None, None),
        (Method::Get, "range") => {
            server::json(200, &store.borrow_mut().range(&key, number("after")))
        }
        (Method::Get, "watch") => watch(&store, &key, number("after"), number("wait_ms")).await,
        (Method::Post, "leases") if rest.is_empty() => store.borrow_mut().grant(&body),
        (Method::Post, "leases") => store.borrow_mut().renew(&key),
        (Method::Delete, "leases") => store.borrow_mut().revoke(&key),
        (Method::Get, "calls") => server::json(200, &json!(store.borrow().calls)),
        _ => server::json(404, &json!({})),
    }
}

async fn watch(store: &StoreRef, prefix: &str, after: u64, wait_ms: u64) -> Response {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    store.borrow_mut().count("watch");
    loop {
        let changed = store.borrow().changed(prefix, after);
        if changed || Instant::now() >= end {
            return server::json(200, &store.borrow().changes(prefix, after));
        }
        Timer::after(WATCH_PERIOD).await;
    }
}

impl Store {
    fn count(&mut self, kind: &'static str) {
        *self.calls.entry(kind).or_default() += 1;
    }

    fn read(&mut self, key: &str) -> Response {
        self.count("read");
        match self.entries.get(key) {
            Some(Entry { revision, value: Some(value), .. }) => {
                server::json(200, &json!({"revision": revision, "value": value}))
            }
            _ => server::json(404, &json!({"revision": self.revision})),
        }
    }

    fn write(&mut self, key: &str, body: &Value) -> Response {
        let Some(value) = body["value"].as_str() else { return server::json(400, &json!({})) };
        let lease = body["lease"].as_u64();
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return server::json(410, &json!({"reason": "lease-expired"}));
        }
        self.swap(key, body["expect"].as_u64().unwrap_or(0), Some(value.to_owned()), lease)
    }

    fn swap(
        &mut self,
        key: &str,
        expect: u64,
        value: Option<String>,
        lease: Option<u64>,
    ) -> Response {
        self.count("write");
        let entry = self.entries.get(key);
        let current = entry.filter(|entry| entry.value.is_some()).map_or(0, |entry| entry.revision);
        if current != expect {
            return server::json(409, &json!({"revision": current}));
        }
        self.revision += 1;
        let revision = self.revision;
        self.entries.insert(key.to_owned(), Entry { revision, value, lease });
        server::json(200, &json!({"revision": revision}))
    }

    fn range(&mut self, prefix: &str, after: u64) -> Value {
        self.count("range");
        self.changes(prefix, after)
    }

    fn changed(&self, prefix: &str, after: u64) -> bool {
        self.under(prefix).any(|(_, entry)| entry.revision > after)
    }

    fn changes(&self, prefix: &str, after: u64) -> Value {
        let items: Vec<_> = self
            .under(prefix)
            .filter(|(_, entry)| entry.revision > after)
            .map(|(key, entry)| json!({"key": key, "revision": entry.revision, "value": entry.value}))
            .collect();
        json!({"revision": self.revision, "items": items})
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn grant(&mut self, body: &Value) -> Response {
        self.count("lease");
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(10_000));
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, expires: Instant::now() + ttl });
        server::json(200, &json!({"lease": self.next_lease}))
    }

    fn renew(&mut self, id: &str) -> Response {
        self.count("lease");
        let lease = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
        let Some(lease) = lease else {
            return server::json(410, &json!({"reason": "lease-expired"}));
        };
        lease.expires = Instant::now() + lease.ttl;
        server::json(200, &json!({}))
    }

    fn revoke(&mut self, id: &str) -> Response {
        self.count("lease");
        if let Ok(id) = id.parse() {
            self.end(id);
        }
        server::json(200, &json!({}))
    }

    fn expire(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        for entry in self.entries.values_mut() {
            if entry.lease == Some(id) && entry.value.is_some() {
                self.revision += 1;
                entry.revision = self.revision;
                entry.value = None;
            }
        }
    }
}
