//! A plain service: runs each call it gets and remembers how often it ran each key.
//!
//! `POST /<path>` runs a call, `GET /runs` lists the number of runs by idempotency key.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use async_io::Timer;
use http_types::{Method, Request, Response};
use serde_json::json;

use crate::server::{self, AnswerFuture, ServerHandle};

type Runs = Rc<RefCell<BTreeMap<String, u64>>>;

/// Starts a service on a loopback port, 0 for any. Each call takes `delay` after it ran.
pub fn start(port: u16, delay: Duration) -> std::io::Result<ServerHandle> {
    server::start(port, move |_| {
        let runs = Runs::default();
        move |request| -> AnswerFuture { Box::pin(answer(runs.clone(), delay, request)) }
    })
}

async fn answer(runs: Runs, delay: Duration, request: Request) -> Response {
    let (path, _) = server::route(&request);
    if request.method() == Method::Get && path == ["runs"] {
        return server::json(200, &json!(*runs.borrow()));
    }
    let key = request.header("idempotency-key").map_or("", |values| values.as_str()).to_owned();
    let count = {
        let mut runs = runs.borrow_mut();
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        *count
    };
    Timer::after(delay).await;
    server::json(200, &json!({"key": key, "path": path.join("/"), "run": count}))
}
