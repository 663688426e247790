//! The platform's lagging list of live and leaving hosts: `GET /hosts`, `GET /hosts?leaving=true`
//! for the leaving ones, and `PUT /hosts` for tests.

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
            let listed = &history[0].1;
            if !request.url().query_pairs().any(|pair| pair == ("leaving".into(), "true".into())) {
                return server::json(200, listed);
            }
            let is_leaving = |host: &&Value| host["leaving"] == true;
            let leaving = listed.as_array().into_iter().flatten().filter(is_leaving);
            server::json(200, &leaving.cloned().collect())
        }
        Method::Put => {
            let Ok(hosts) = request.body_json().await else { return server::json(400, &json!({})) };
            history.borrow_mut().push_back((Instant::now(), hosts));
            server::json(200, &json!({}))
        }
        _ => server::json(404, &json!({})),
    }
}
