//! A plain service: runs each call it gets and remembers how often it ran each key.
//!
//! `POST /<path>` runs a call, `GET /runs` lists the number of runs by idempotency key. Calls
//! without a key count under the path.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use http_types::{Method, Request, Response};
use serde_json::json;

use crate::server::{self, AnswerFuture, ServerHandle};

/// What the service ran, and the faults that it shows.
#[derive(Default)]
pub struct ServiceLog {
    runs: Mutex<BTreeMap<String, u64>>,
    lose: AtomicU64,
}

impl ServiceLog {
    /// Number of runs of each key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Makes the next calls run without an answer: their connections stay silent.
    pub fn lose_answers(&self, calls: u64) {
        self.lose.store(calls, Ordering::Relaxed);
    }

    fn run(&self, key: &str) -> u64 {
        let mut runs = self.runs.lock().expect("no holder panics");
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn loses(&self) -> bool {
        let less = |left: u64| left.checked_sub(1);
        self.lose.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }
}

/// Starts a service on a loopback port, 0 for any. Each call takes `delay` after it ran.
pub fn start(port: u16, delay: Duration, log: Arc<ServiceLog>) -> std::io::Result<ServerHandle> {
    server::start(port, move |_| {
        move |request| -> AnswerFuture { Box::pin(answer(log.clone(), delay, request)) }
    })
}

async fn answer(log: Arc<ServiceLog>, delay: Duration, request: Request) -> Response {
    let (path, _) = server::route(&request);
    if request.method() == Method::Get && path == ["runs"] {
        return server::json(200, &json!(log.runs()));
    }
    let path = path.join("/");
    let key = request.header("idempotency-key").map_or(path.as_str(), |values| values.as_str());
    let count = log.run(key);
    if log.loses() {
        return futures_lite::future::pending().await;
    }
    Timer::after(delay).await;
    server::json(200, &json!({"key": key, "path": path, "run": count}))
}
