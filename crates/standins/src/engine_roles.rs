//! What an engine stand-in has loaded, the orders it takes, and the cache events it publishes.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Delay after which a cache event is listed.
const EVENT_LAG: Duration = Duration::from_millis(1500);
/// Of this many events one is never listed, as when an engine's event buffer overflows.
const EVENT_GAP: u64 = 10;
/// Events listed at most.
const MAX_EVENTS: usize = 100;

/// Roles and cache events of one engine.
pub struct EngineRoles {
    models: BTreeSet<String>,
    checks_fencing: bool,
    fencing: u64,
    /// Orders that took effect, with their fencing numbers.
    taken: Vec<Value>,
    refused: u64,
    events: VecDeque<(Instant, Value)>,
    next_event: u64,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

impl EngineRoles {
    /// An engine with models loaded from the start.
    pub fn new(models: Vec<String>, checks_fencing: bool) -> EngineRoles {
        EngineRoles {
            models: models.into_iter().collect(),
            checks_fencing,
            fencing: 0,
            taken: Vec::new(),
            refused: 0,
            events: VecDeque::new(),
            next_event: 1,
            leaving: false,
        }
    }

    /// The models loaded.
    pub fn models(&self) -> &BTreeSet<String> {
        &self.models
    }

    /// Orders that took effect and how many were refused.
    pub fn history(&self) -> Value {
        json!({"taken": self.taken, "refused": self.refused})
    }

    /// Takes an order, or refuses it for its fencing number. Returns the model to load, if any.
    pub fn order(&mut self, body: &Value) -> Result<Option<String>, u16> {
        let (Some(fencing), Some(model)) = (body["fencing"].as_u64(), body["model"].as_str())
        else {
            return Err(400);
        };
        if self.checks_fencing && fencing < self.fencing {
            self.refused += 1;
            return Err(412);
        }
        self.fencing = self.fencing.max(fencing);
        self.taken.push(body.clone());
        match body["action"].as_str() {
            Some("load") => Ok(Some(model.to_owned())),
            Some("unload") => {
                self.models.remove(model);
                Ok(None)
            }
            _ => Err(400),
        }
    }

    /// The weights of a model arrived.
    pub fn loaded(&mut self, model: String) {
        self.models.insert(model);
    }

    /// Publishes a change of the prefix cache.
    pub fn publish(&mut self, added: &[u64], removed: &[u64]) {
        let sequence = self.next_event;
        self.next_event += 1;
        if sequence.is_multiple_of(EVENT_GAP) {
            return;
        }
        let event = json!({"sequence": sequence, "added": added, "removed": removed});
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a number that are old enough to be listed.
    pub fn events(&self, after: u64) -> Value {
        let is_listed = |at: &Instant, event: &Value| {
            at.elapsed() >= EVENT_LAG && event["sequence"].as_u64().is_some_and(|it| it > after)
        };
        let listed = self.events.iter().filter(|(at, event)| is_listed(at, event));
        listed.map(|(_, event)| event.clone()).collect()
    }
}
