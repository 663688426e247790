//! The rate-limited store of model weights: `GET /rate`, `GET /weights/<model>` (429 over the rate),
//! and `GET /loads` with counts for tests.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Instant};

use http_types::{Method, Request, Response};
use serde_json::json;

use crate::server::{self, AnswerFuture, ServerHandle};

struct WeightStore {
    loads_per_second: f64,
    saved: f64,
    last: Instant,
    served: u64,
    refused: u64,
    models: BTreeMap<String, u64>,
}

/// Starts a weight store on a loopback port, 0 for any.
pub fn start(port: u16, loads_per_second: f64) -> std::io::Result<ServerHandle> {
    server::start(port, move |_| {
        let store = Rc::new(RefCell::new(WeightStore {
            loads_per_second,
            saved: loads_per_second.max(1.0),
            last: Instant::now(),
            served: 0,
            refused: 0,
            models: BTreeMap::new(),
        }));
        move |request| -> AnswerFuture {
            let response = answer(&mut store.borrow_mut(), &request);
            Box::pin(async move { response })
        }
    })
}

fn answer(store: &mut WeightStore, request: &Request) -> Response {
    let (path, _) = server::route(request);
    let path: Vec<_> = path.iter().map(String::as_str).collect();
    match (request.method(), path.as_slice()) {
        (Method::Get, ["rate"]) => {
            server::json(200, &json!({"loads_per_second": store.loads_per_second}))
        }
        (Method::Get, ["weights", model]) => {
            let passed = store.last.elapsed().as_secs_f64();
            store.last = Instant::now();
            let most = store.loads_per_second.max(1.0);
            store.saved = (store.saved + passed * store.loads_per_second).min(most);
            if store.saved < 1.0 {
                store.refused += 1;
                return server::json(429, &json!({"reason": "rate"}));
            }
            store.saved -= 1.0;
            store.served += 1;
            *store.models.entry((*model).to_owned()).or_default() += 1;
            server::json(200, &json!({"model": model}))
        }
        (Method::Get, ["loads"]) => server::json(
            200,
            &json!({"served": store.served, "refused": store.refused, "models": store.models}),
        ),
        _ => server::json(404, &json!({})),
    }
}
