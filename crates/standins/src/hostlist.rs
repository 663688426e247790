//! The platform's lagging list of live and leaving hosts: `GET /hosts`, and `PUT /hosts` for tests.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Instant};

use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::server::{self, AnswerFuture, ServerHandle};

/// Lag of the list.
const LAG: std::time::Duration = std::time::Duration::from_millis(500);

type History = Rc<RefCell<VecDeque<(Instant, Value)>>>;

/// Starts a host list on a loopback port, 0 for any, with its first content.
pub fn start(port: u16, hosts: Value) -> std::io::Result<ServerHandle> {
    server::start(port, move |_| {
        let history: History =
            Rc::new(RefCell::new(VecDeque::from([(Instant::now() - LAG, hosts)])));
        move |request| -> AnswerFuture { Box::pin(answer(history.clone(), request)) }
    })
}

async fn answer(history: History, mut request: Request) -> Response {
    match request.method() {
        Method::Get => {
            let mut history = history.borrow_mut();
            while history.len() > 1 && history[1].0.elapsed() >= LAG {
                history.pop_front();
            }
            server::json(200, &history[0].1)
        }
        Method::Put => {
            let Ok(hosts) = request.body_json().await else { return server::json(400, &json!({})) };
            history.borrow_mut().push_back((Instant::now(), hosts));
            server::json(200, &json!({}))
        }
        _ => server::json(404, &json!({})),
    }
}
