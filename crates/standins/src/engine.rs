//! A model engine over HTTP.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /streams` | submit a stream, or attach to it if the id is known; lines of JSON follow |
//! | `GET /streams/<id>?offset=N&owner=H` | attach to a stream at a position, for an owner; 416 before its start |
//! | `DELETE /streams/<id>?owner=H` | cancel a stream and return its memory; 409 if it has another owner |
//! | `GET /streams` | list streams with owner, and whether they are overdue or followed; `open=1` leaves out finished ones |
//! | `GET /held` | memory held now, for tests |
//! | `GET /streams/<id>/state` | export the KV state of a stream |
//! | `POST /reservations` | reserve memory for a group for a term, or renew the reservation |
//! | `DELETE /reservations/<group>` | give a reservation back and cancel its streams |
//! | `GET /load` | load report, as it was one lag ago |
//! | `GET /cache?after=N` | cache events after a number, late and with gaps |
//! | `POST /orders` `{"fencing","action","model"}` | load or unload a model; 412 for an old number |
//! | `GET /orders` | orders that took effect, for tests |
//! | `PUT /leaving` | says that it is leaving, for tests |
//! | `GET /runs` | every stream id that was ever taken, for tests |
//!
//! A stream with `group` uses the memory of that group's reservation; `import` is the exported KV
//! state of the part before its prompt. The state of the stand-in is the text it stands for.
//!
//! A line is `{"o":offset,"t":text,"n":tokens}`, `{}` as keep-alive, or `{"end":"stop"}`.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use http_types::{Method, Request, Response};
use serde_json::json;

use crate::{
    caller,
    engine_model::{self, EngineModel, EngineShape, StreamOrder, StreamRefusal, StreamState},
    engine_roles::EngineRoles,
    server::{self, AnswerFuture, ServerHandle},
};

/// Time between two keep-alive lines.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Lag of the load report.
const LOAD_LAG: Duration = Duration::from_millis(300);
/// Time between two looks of a request at a frozen engine.
const FROZEN_PERIOD: Duration = Duration::from_millis(20);
/// Prompt lengths, in tokens, whose hashes form the prefix chain.
const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Port, 0 for any.
    pub port: u16,
    /// Size and pace.
    pub shape: EngineShape,
    /// Time of one step.
    pub step: Duration,
    /// Models loaded from the start.
    pub models: Vec<String>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Address of the weight store; without one, loads are done at once.
    pub weights: Option<String>,
    /// Faults that the engine shows.
    pub faults: Arc<EngineFaults>,
}

/// Faults of an engine, switched while it runs.
#[derive(Debug, Default)]
pub struct EngineFaults {
    frozen: AtomicBool,
    refusing: AtomicBool,
    pause_ms: AtomicU64,
    refusals: AtomicU64,
    silent_streams: AtomicU64,
    runs: Mutex<Vec<String>>,
}

impl EngineFaults {
    /// Stops or resumes the engine as if its process were paused.
    pub fn freeze(&self, on: bool) {
        self.frozen.store(on, Ordering::Relaxed);
    }

    /// Every stream id that the engine ever took, restarts included.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Refuses new streams without running them.
    pub fn refuse(&self, on: bool) {
        self.refusing.store(on, Ordering::Relaxed);
    }

    /// Refuses new streams and names a pause for which it wants none.
    pub fn refuse_with_pause(&self, pause: Duration) {
        self.pause_ms.store(pause.as_millis() as u64, Ordering::Relaxed);
        self.refuse(true);
    }

    /// Number of streams that it refused.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }

    /// Makes every open connection to a stream silent; streams go on and new connections work.
    pub fn silence_streams(&self) {
        self.silent_streams.fetch_add(1, Ordering::Relaxed);
    }

    fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }
}

struct Claim {
    owner: String,
    deadline: Instant,
}

struct Engine {
    faults: Arc<EngineFaults>,
    silenced: u64,
    /// Connections that went silent; they stay open.
    silent: Vec<Sender<Vec<u8>>>,
    claims: BTreeMap<String, Claim>,
    model: EngineModel,
    listeners: BTreeMap<String, Vec<Sender<Vec<u8>>>>,
    reports: VecDeque<serde_json::Value>,
    roles: EngineRoles,
    weights: Option<String>,
    /// End of each reservation's term.
    terms: BTreeMap<String, Instant>,
    /// Prompts of streams of groups with everything before them, for export.
    states: BTreeMap<String, String>,
}

type EngineRef = Rc<RefCell<Engine>>;

/// Starts an engine.
pub fn start(config: EngineConfig) -> std::io::Result<ServerHandle> {
    server::start(config.port, move |executor| {
        let engine = Rc::new(RefCell::new(Engine {
            faults: config.faults.clone(),
            silenced: 0,
            silent: Vec::new(),
            claims: BTreeMap::new(),
            model: EngineModel::new(config.shape.clone()),
            listeners: BTreeMap::new(),
            reports: VecDeque::new(),
            roles: EngineRoles::new(config.models, config.checks_fencing),
            weights: config.weights,
            terms: BTreeMap::new(),
            states: BTreeMap::new(),
        }));
        executor.spawn(run_steps(engine.clone(), config.step)).detach();
        executor.spawn(send_keep_alives(engine.clone())).detach();
        executor.spawn(record_reports(engine.clone())).detach();
        move |request| -> AnswerFuture { Box::pin(answer(engine.clone(), request)) }
    })
}

async fn run_steps(engine: EngineRef, step: Duration) {
    loop {
        Timer::after(step).await;
        let mut engine = engine.borrow_mut();
        if engine.faults.is_frozen() {
            continue;
        }
        engine.silence();
        engine.end_terms();
        for id in engine.model.advance() {
            engine.publish(&id);
        }
        let (added, removed) = engine.model.take_cache_changes();
        if !added.is_empty() || !removed.is_empty() {
            engine.roles.publish(&added, &removed);
        }
    }
}

async fn send_keep_alives(engine: EngineRef) {
    loop {
        Timer::after(KEEP_ALIVE).await;
        if engine.borrow().faults.is_frozen() {
            continue;
        }
        for senders in engine.borrow_mut().listeners.values_mut() {
            senders.retain(|sender| sender.try_send(b"{}\n".to_vec()).is_ok());
        }
    }
}

async fn record_reports(engine: EngineRef) {
    let period = LOAD_LAG / 3;
    loop {
        {
            let mut engine = engine.borrow_mut();
            let report = engine.report();
            engine.reports.push_back(report);
            if engine.reports.len() > 4 {
                engine.reports.pop_front();
            }
        }
        Timer::after(period).await;
    }
}

async fn answer(engine: EngineRef, mut request: Request) -> Response {
    while engine.borrow().faults.is_frozen() {
        Timer::after(FROZEN_PERIOD).await;
    }
    let (path, query) = server::route(&request);
    let path: Vec<_> = path.iter().map(String::as_str).collect();
    match (request.method(), path.as_slice()) {
        (Method::Post, ["streams"]) => {
            let Ok(body) = request.body_json::<serde_json::Value>().await else {
                return server::json(400, &json!({"reason": "bad-json"}));
            };
            submit(&engine, &body)
        }
        (Method::Get, ["streams", id]) => {
            let offset = query.get("offset").and_then(|text| text.parse().ok()).unwrap_or(0);
            let owner = query.get("owner").map(String::as_str);
            engine.borrow_mut().attach_at(id, offset, owner)
        }
        (Method::Get, ["streams", id, "state"]) => match engine.borrow().states.get(*id) {
            Some(state) => server::json(200, &json!(state)),
            None => server::json(404, &json!({"reason": "unknown-stream"})),
        },
        (Method::Post, ["reservations"]) => {
            let Ok(body) = request.body_json::<serde_json::Value>().await else {
                return server::json(400, &json!({"reason": "bad-json"}));
            };
            engine.borrow_mut().reserve(&body)
        }
        (Method::Delete, ["reservations", group]) => {
            engine.borrow_mut().release(group);
            server::json(200, &json!({}))
        }
        (Method::Delete, ["streams", id]) => {
            let owner = query.get("owner").map(String::as_str);
            server::json(engine.borrow_mut().cancel(id, owner), &json!({}))
        }
        (Method::Get, ["streams"]) => {
            server::json(200, &engine.borrow().list(query.contains_key("open")))
        }
        (Method::Get, ["held"]) => {
            server::json(200, &json!({"held": engine.borrow().model.held()}))
        }
        (Method::Get, ["load"]) => {
            let report = engine.borrow().reports.front().cloned().unwrap_or_default();
            server::json(200, &report)
        }
        (Method::Get, ["cache"]) => {
            let after = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
            server::json(200, &engine.borrow().roles.events(after))
        }
        (Method::Post, ["orders"]) => {
            let body = request.body_json::<serde_json::Value>().await.unwrap_or_default();
            take_order(&engine, &body).await
        }
        (Method::Get, ["orders"]) => server::json(200, &engine.borrow().roles.history()),
        (Method::Put, ["leaving"]) => {
            engine.borrow_mut().roles.leaving = true;
            server::json(200, &json!({}))
        }
        (Method::Get, ["runs"]) => server::json(200, &json!(engine.borrow().faults.runs())),
        _ => server::json(404, &json!({"reason": "no-route"})),
    }
}

/// Takes an order; a load counts when the weight store gave the weights.
async fn take_order(engine: &EngineRef, body: &serde_json::Value) -> Response {
    let load = engine.borrow_mut().roles.order(body);
    let model = match load {
        Ok(Some(model)) => model,
        Ok(None) => return server::json(200, &json!({})),
        Err(status) => return server::json(status, &json!({})),
    };
    let weights = engine.borrow().weights.clone();
    if let Some(address) = weights {
        let request = caller::request(Method::Get, &address, &format!("/weights/{model}"));
        let served = caller::send(&address, request).await;
        if !served.is_ok_and(|response| response.status().is_success()) {
            return server::json(503, &json!({"reason": "weights"}));
        }
    }
    engine.borrow_mut().roles.loaded(model);
    server::json(202, &json!({}))
}

fn submit(engine: &EngineRef, body: &serde_json::Value) -> Response {
    let Some((id, order)) = parse_order(body) else {
        return server::json(400, &json!({"reason": "bad-order"}));
    };
    let mut engine = engine.borrow_mut();
    if engine.faults.refusing.load(Ordering::Relaxed) {
        engine.faults.refusals.fetch_add(1, Ordering::Relaxed);
        let mut response = server::json(503, &json!({"reason": "refusing"}));
        let pause_ms = engine.faults.pause_ms.load(Ordering::Relaxed);
        if pause_ms > 0 {
            response.insert_header("retry-after", (pause_ms as f64 / 1e3).to_string());
        }
        return response;
    }
    let offset = order.offset;
    if order.group.is_some() {
        engine.states.insert(id.clone(), full_prompt(body).unwrap_or_default());
    }
    let known = engine.model.streams().contains_key(&id);
    match engine.model.submit(&id, order) {
        Ok(()) => {
            if !known {
                engine.faults.runs.lock().expect("no holder panics").push(id.clone());
            }
            let owner = body["owner"].as_str().unwrap_or_default().to_owned();
            let left = body["time_left_ms"].as_u64().unwrap_or(u64::from(u32::MAX));
            let deadline = Instant::now() + Duration::from_millis(left);
            engine.claims.insert(id.clone(), Claim { owner, deadline });
            server::streamed(engine.attach(&id, offset))
        }
        Err(StreamRefusal::Memory) => server::json(409, &json!({"reason": "memory"})),
        Err(StreamRefusal::TooLarge) => server::json(413, &json!({"reason": "too-large"})),
    }
}

fn parse_order(body: &serde_json::Value) -> Option<(String, StreamOrder)> {
    let prompt = body["prompt"].as_str()?;
    let prompt_tokens = prompt_tokens(prompt);
    let offset = body["offset"].as_u64().unwrap_or(0);
    let order = StreamOrder {
        model: body["model"].as_str()?.to_owned(),
        prompt_tokens: prompt_tokens + offset,
        prompt_hash: engine_model::prompt_hash(&full_prompt(body)?),
        prefixes: prefix_chain(prompt),
        offset,
        end: body["max_tokens"].as_u64()?,
        priority: u8::try_from(body["priority"].as_u64()?).ok()?,
        group: body["group"].as_str().map(str::to_owned),
    };
    Some((body["stream"].as_str()?.to_owned(), order))
}

/// The prompt with the part that the imported state stands for.
fn full_prompt(body: &serde_json::Value) -> Option<String> {
    Some(body["import"].as_str().unwrap_or_default().to_owned() + body["prompt"].as_str()?)
}

/// Tokens of a prompt: four bytes a token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4)
}

fn prefix_chain(prompt: &str) -> Vec<(u64, u64)> {
    let bytes = prompt.as_bytes();
    PREFIX_TOKENS
        .into_iter()
        .filter_map(|tokens| {
            let head = bytes.get(..tokens as usize * 4)?;
            let mut hash = [0; 8];
            hash.copy_from_slice(&blake3::hash(head).as_bytes()[..8]);
            Some((u64::from_le_bytes(hash), tokens))
        })
        .collect()
}

impl Engine {
    fn attach_at(&mut self, id: &str, offset: u64, owner: Option<&str>) -> Response {
        let Some(stream) = self.model.streams().get(id) else {
            return server::json(404, &json!({"reason": "unknown-stream"}));
        };
        if offset < stream.order.offset {
            return server::json(416, &json!({"reason": "before-start"}));
        }
        if let (Some(claim), Some(owner)) = (self.claims.get_mut(id), owner) {
            owner.clone_into(&mut claim.owner);
        }
        server::streamed(self.attach(id, offset))
    }

    /// Moves open connections aside if they are to go silent.
    fn silence(&mut self) {
        let wanted = self.faults.silent_streams.load(Ordering::Relaxed);
        if self.silenced != wanted {
            self.silenced = wanted;
            self.silent.extend(std::mem::take(&mut self.listeners).into_values().flatten());
        }
    }

    /// Subscribes to a stream, starting with everything it produced from `offset` on.
    fn attach(&mut self, id: &str, offset: u64) -> Receiver<Vec<u8>> {
        let (sender, receiver) = async_channel::unbounded();
        let stream = &self.model.streams()[id];
        if stream.produced > offset {
            let hash = stream.order.prompt_hash;
            let text: String =
                (offset..stream.produced).map(|at| engine_model::word(hash, at)).collect();
            send(&sender, &json!({"o": offset, "t": text, "n": stream.produced - offset}));
        }
        if stream.state == StreamState::Finished {
            send(&sender, &json!({"end": "stop"}));
        } else {
            self.listeners.entry(id.to_owned()).or_default().push(sender);
        }
        receiver
    }

    fn publish(&mut self, id: &str) {
        let stream = &self.model.streams()[id];
        let at = stream.produced - 1;
        let finished = stream.state == StreamState::Finished;
        let line = json!({"o": at, "t": engine_model::word(stream.order.prompt_hash, at), "n": 1});
        let Some(senders) = self.listeners.get_mut(id) else { return };
        for sender in senders.iter() {
            send(sender, &line);
            if finished {
                send(sender, &json!({"end": "stop"}));
            }
        }
        if finished {
            self.listeners.remove(id);
        }
    }

    /// Cancels a stream if it has the owner, whatever the owner if none is given. Returns the
    /// status of the answer.
    fn cancel(&mut self, id: &str, owner: Option<&str>) -> u16 {
        let claim = self.claims.get(id);
        if owner.is_some_and(|owner| claim.is_some_and(|claim| claim.owner != owner)) {
            return 409;
        }
        for sender in self.listeners.remove(id).unwrap_or_default() {
            send(&sender, &json!({"end": "cancelled"}));
        }
        self.claims.remove(id);
        if self.model.cancel(id) { 200 } else { 404 }
    }

    fn reserve(&mut self, body: &serde_json::Value) -> Response {
        let fields = (body["group"].as_str(), body["tokens"].as_u64(), body["term_ms"].as_u64());
        let (Some(group), Some(tokens), Some(term)) = fields else {
            return server::json(400, &json!({"reason": "bad-order"}));
        };
        match self.model.reserve(group, tokens) {
            Ok(()) => {
                let end = Instant::now() + Duration::from_millis(term);
                self.terms.insert(group.to_owned(), end);
                server::json(200, &json!({}))
            }
            Err(StreamRefusal::Memory) => server::json(409, &json!({"reason": "memory"})),
            Err(StreamRefusal::TooLarge) => server::json(413, &json!({"reason": "too-large"})),
        }
    }

    fn release(&mut self, group: &str) {
        self.terms.remove(group);
        for id in self.model.release(group) {
            self.states.remove(&id);
            self.cancel(&id, None);
        }
    }

    /// Drops reservations whose term was not renewed.
    fn end_terms(&mut self) {
        let now = Instant::now();
        let ended = self.terms.iter().filter(|(_, end)| **end <= now);
        let ended: Vec<_> = ended.map(|(group, _)| group.clone()).collect();
        ended.iter().for_each(|group| self.release(group));
    }

    fn report(&self) -> serde_json::Value {
        json!({
            "held_tokens": self.model.held(),
            "running": self.model.count(StreamState::Running),
            "waiting": self.model.count(StreamState::Waiting),
            "leaving": self.roles.leaving,
            "models": self.roles.models(),
        })
    }

    fn list(&self, open_only: bool) -> serde_json::Value {
        let streams = self.model.streams().iter().map(|(id, stream)| {
            let claim = self.claims.get(id);
            let listeners = self.listeners.get(id);
            json!({
                "stream": id, "finished": stream.state == StreamState::Finished,
                "produced": stream.produced,
                "owner": claim.map_or("", |claim| claim.owner.as_str()),
                "overdue": claim.is_some_and(|claim| claim.deadline <= Instant::now()),
                "followed": listeners.is_some_and(|all| all.iter().any(|one| !one.is_closed())),
            })
        });
        let wanted = streams.filter(|stream| !open_only || stream["finished"] == false);
        json!({"streams": wanted.collect::<Vec<_>>()})
    }
}

fn send(sender: &Sender<Vec<u8>>, line: &serde_json::Value) {
    // A client that is gone is noticed at the next keep-alive.
    let _ = sender.try_send(format!("{line}\n").into_bytes());
}
