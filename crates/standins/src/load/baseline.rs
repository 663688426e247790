//! Baseline routers: first in, first out for each engine, without ranks, shares or admission.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use futures_lite::AsyncBufReadExt;
use http_types::{Method, Response};
use serde_json::{Value, json};

use super::pause;
use crate::caller::{self, Answer, Prompt};

/// Time between two offers to an engine whose memory is short.
const OFFER_PERIOD: Duration = Duration::from_millis(10);
/// Time between two reads of the engines' load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineChoice {
    /// Any engine with equal probability.
    Random,
    /// The engine with the least memory in use by its last report.
    LeastReported,
}

struct EngineQueue {
    address: String,
    reported: AtomicU64,
    // A place in the channel is the head of the queue; waiting senders get it in their order.
    head: (Sender<()>, Receiver<()>),
}

/// A router without any decision of parsleystage.
pub struct BaselineRouter {
    choice: EngineChoice,
    queues: Vec<EngineQueue>,
    rng: Mutex<fastrand::Rng>,
    next: AtomicU64,
}

impl BaselineRouter {
    /// A router before the given engines.
    pub fn new(choice: EngineChoice, engines: &[SocketAddr], seed: u64) -> BaselineRouter {
        let queue = |address: &SocketAddr| EngineQueue {
            address: address.to_string(),
            reported: AtomicU64::new(0),
            head: async_channel::bounded(1),
        };
        BaselineRouter {
            choice,
            queues: engines.iter().map(queue).collect(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            next: AtomicU64::new(0),
        }
    }

    /// Reads load reports until the time is over.
    pub async fn follow_reports(&self, length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            for queue in &self.queues {
                let request = caller::request(Method::Get, &queue.address, "/load");
                let Ok(mut response) = caller::send(&queue.address, request).await else {
                    continue;
                };
                let report: Value = response.body_json().await.unwrap_or_default();
                let held = report["held_tokens"].as_u64().unwrap_or(0);
                queue.reported.store(held, Ordering::Relaxed);
            }
            pause(REPORT_PERIOD).await;
        }
    }

    /// Sends a prompt to an engine and waits for the whole answer.
    pub async fn ask(&self, prompt: &Prompt) -> Answer {
        let started = Instant::now();
        let queue = self.choose();
        let mut answer = Answer { connections: 1, ..Answer::default() };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "stream": format!("baseline-{:?}-{number}", self.choice), "model": prompt.model,
            "prompt": prompt.rendered(), "offset": 0, "max_tokens": prompt.max_tokens,
            "priority": 0,
        });
        let Some(mut response) = offer(queue, &body.to_string()).await else { return answer };
        read_lines(&mut response, &mut answer, started).await;
        answer
    }

    fn choose(&self) -> &EngineQueue {
        let index = self.rng.lock().expect("no panic under the lock").usize(..self.queues.len());
        match self.choice {
            EngineChoice::Random => &self.queues[index],
            EngineChoice::LeastReported => {
                let load = |queue: &&EngineQueue| queue.reported.load(Ordering::Relaxed);
                let rotated = self.queues[index..].iter().chain(&self.queues[..index]);
                rotated.min_by_key(load).expect("there are engines")
            }
        }
    }
}

/// Offers a request until the engine takes it, ahead of all later requests to that engine.
async fn offer(queue: &EngineQueue, body: &str) -> Option<Response> {
    queue.head.0.send(()).await.ok()?;
    let taken = loop {
        let mut request = caller::request(Method::Post, &queue.address, "/streams");
        request.set_body(body);
        let response = caller::send(&queue.address, request).await.ok();
        if response.as_ref().is_none_or(|response| response.status() != 409) {
            break response;
        }
        pause(OFFER_PERIOD).await;
    };
    let _ = queue.head.1.try_recv();
    taken
}

async fn read_lines(response: &mut Response, answer: &mut Answer, started: Instant) {
    let mut line = String::new();
    loop {
        line.clear();
        if response.read_line(&mut line).await.unwrap_or(0) == 0 {
            return;
        }
        let part: Value = serde_json::from_str(&line).unwrap_or_default();
        if let Some(text) = part["t"].as_str() {
            answer.first_token.get_or_insert_with(|| started.elapsed());
            answer.text.push_str(text);
        }
        if part["end"].is_string() {
            answer.complete = part["end"] == "stop";
            return;
        }
    }
}
