//! A model engine in virtual time: continuous batching with bounded memory, chunked prefill, a
//! prefix cache and priorities. It has no clock; each call of [`EngineModel::advance`] is one step
//! of the batch.

use std::collections::{BTreeMap, VecDeque};

use parsley_macros::value;

/// Size and pace of an engine.
#[value]
pub struct EngineShape {
    /// KV cache memory in tokens.
    pub memory_tokens: u64,
    /// Sequences in one batch.
    pub batch: usize,
    /// Prompt tokens processed in one step, over all sequences.
    pub prefill_tokens: u64,
    /// Entries in the prefix cache.
    pub cached_prefixes: usize,
}

/// A stream as submitted.
#[value]
pub struct StreamOrder {
    /// Model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hash of the prompt; the generated text depends on it and the position alone.
    pub prompt_hash: u64,
    /// Hashes of the prompt's leading parts, shortest first, with their length in tokens.
    pub prefixes: Vec<(u64, u64)>,
    /// Position of the first token to generate.
    pub offset: u64,
    /// Position after the last token to generate.
    pub end: u64,
    /// Lower is more urgent.
    pub priority: u8,
    /// Group whose reservation holds the stream's memory.
    pub group: Option<String>,
}

/// Where a stream stands.
#[value]
#[derive(Copy)]
pub enum StreamState {
    /// Holds memory and waits for a place in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Finished; its memory is returned.
    Finished,
}

/// A stream on the engine.
#[value]
pub struct EngineStream {
    /// The order.
    pub order: StreamOrder,
    /// State.
    pub state: StreamState,
    /// Prompt tokens still to process.
    pub prefill_left: u64,
    /// Position after the last generated token.
    pub produced: u64,
    sequence: u64,
}

/// Why a stream was not taken.
#[value]
#[derive(Copy)]
pub enum StreamRefusal {
    /// Memory is short now.
    Memory,
    /// The prompt can never fit.
    TooLarge,
}

/// The state of one engine.
pub struct EngineModel {
    shape: EngineShape,
    streams: BTreeMap<String, EngineStream>,
    prefixes: VecDeque<u64>,
    reservations: BTreeMap<String, u64>,
    held: u64,
    next_sequence: u64,
    cache_changes: (Vec<u64>, Vec<u64>),
}

impl EngineModel {
    /// An idle engine.
    pub fn new(shape: EngineShape) -> EngineModel {
        EngineModel {
            shape,
            streams: BTreeMap::new(),
            prefixes: VecDeque::new(),
            reservations: BTreeMap::new(),
            held: 0,
            next_sequence: 0,
            cache_changes: (Vec::new(), Vec::new()),
        }
    }

    /// Prefixes that entered and left the cache since the last call.
    pub fn take_cache_changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        std::mem::take(&mut self.cache_changes)
    }

    /// Tokens of memory held by streams and reservations.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Size and pace.
    pub fn shape(&self) -> &EngineShape {
        &self.shape
    }

    /// All streams that the engine remembers.
    pub fn streams(&self) -> &BTreeMap<String, EngineStream> {
        &self.streams
    }

    /// Takes a stream, or refuses it. A stream that is already known is left as it is.
    pub fn submit(&mut self, id: &str, order: StreamOrder) -> Result<(), StreamRefusal> {
        if self.streams.contains_key(id) {
            return Ok(());
        }
        let need = memory_of(&order);
        if let Some(group) = &order.group {
            let tokens = order.prompt_tokens + order.end.saturating_sub(order.offset);
            if self.reservations.get(group).is_none_or(|reserved| tokens > *reserved) {
                return Err(StreamRefusal::Memory);
            }
        }
        if need > self.shape.memory_tokens {
            return Err(StreamRefusal::TooLarge);
        }
        if self.held + need > self.shape.memory_tokens {
            return Err(StreamRefusal::Memory);
        }
        self.held += need;
        let cached = self.cached_tokens(&order);
        let stream = EngineStream {
            state: StreamState::Waiting,
            prefill_left: (order.prompt_tokens - cached.min(order.prompt_tokens)).max(1),
            produced: order.offset,
            sequence: self.next_sequence,
            order,
        };
        self.next_sequence += 1;
        self.streams.insert(id.to_owned(), stream);
        Ok(())
    }

    /// Reserves memory for a group, or renews its reservation.
    pub fn reserve(&mut self, group: &str, tokens: u64) -> Result<(), StreamRefusal> {
        if self.reservations.contains_key(group) {
            return Ok(());
        }
        if tokens > self.shape.memory_tokens {
            return Err(StreamRefusal::TooLarge);
        }
        if self.held + tokens > self.shape.memory_tokens {
            return Err(StreamRefusal::Memory);
        }
        self.held += tokens;
        self.reservations.insert(group.to_owned(), tokens);
        Ok(())
    }

    /// Drops a group's reservation. Returns the ids of its streams, which must be cancelled.
    pub fn release(&mut self, group: &str) -> Vec<String> {
        let Some(tokens) = self.reservations.remove(group) else { return Vec::new() };
        self.held -= tokens;
        let of_group = |stream: &EngineStream| stream.order.group.as_deref() == Some(group);
        let streams = self.streams.iter().filter(|(_, stream)| of_group(stream));
        streams.map(|(id, _)| id.clone()).collect()
    }

    /// Drops a stream and returns its memory. Returns whether the stream was known.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(stream) = self.streams.remove(id) else { return false };
        if stream.state != StreamState::Finished {
            self.held -= memory_of(&stream.order);
        }
        true
    }

    /// One step of the batch. Returns the streams that produced a token.
    pub fn advance(&mut self) -> Vec<String> {
        self.fill_batch();
        self.prefill();
        let mut produced = Vec::new();
        let mut finished = Vec::new();
        for (id, stream) in &mut self.streams {
            if stream.state != StreamState::Running || stream.prefill_left > 0 {
                continue;
            }
            stream.produced += 1;
            produced.push(id.clone());
            if stream.produced >= stream.order.end {
                stream.state = StreamState::Finished;
                finished.push(memory_of(&stream.order));
            }
        }
        self.held -= finished.iter().sum::<u64>();
        produced
    }

    /// Whether no stream needs a step.
    pub fn is_idle(&self) -> bool {
        self.streams.values().all(|stream| stream.state == StreamState::Finished)
    }

    /// Number of streams in a state.
    pub fn count(&self, state: StreamState) -> usize {
        self.streams.values().filter(|stream| stream.state == state).count()
    }

    fn fill_batch(&mut self) {
        let mut room = self.shape.batch.saturating_sub(self.count(StreamState::Running));
        for id in self.by_urgency(StreamState::Waiting) {
            if room == 0 {
                return;
            }
            self.streams.get_mut(&id).expect("listed above").state = StreamState::Running;
            room -= 1;
        }
    }

    fn prefill(&mut self) {
        let mut budget = self.shape.prefill_tokens;
        for id in self.by_urgency(StreamState::Running) {
            let stream = self.streams.get_mut(&id).expect("listed above");
            let amount = stream.prefill_left.min(budget);
            if amount == 0 {
                continue;
            }
            stream.prefill_left -= amount;
            budget -= amount;
            if stream.prefill_left == 0 {
                let hashes: Vec<_> = stream.order.prefixes.iter().map(|prefix| prefix.0).collect();
                self.remember(&hashes);
            }
        }
    }

    fn by_urgency(&self, state: StreamState) -> Vec<String> {
        let mut ids: Vec<_> =
            self.streams.iter().filter(|(_, stream)| stream.state == state).collect();
        ids.sort_by_key(|(_, stream)| (stream.order.priority, stream.sequence));
        ids.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn cached_tokens(&self, order: &StreamOrder) -> u64 {
        let hit = |prefix: &&(u64, u64)| self.prefixes.contains(&prefix.0);
        order.prefixes.iter().rev().find(hit).map_or(0, |prefix| prefix.1)
    }

    fn remember(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if !self.prefixes.contains(hash) {
                self.cache_changes.0.push(*hash);
            }
            self.prefixes.retain(|known| known != hash);
            self.prefixes.push_back(*hash);
        }
        while self.prefixes.len() > self.shape.cached_prefixes {
            self.cache_changes.1.extend(self.prefixes.pop_front());
        }
    }
}

/// Memory that an order needs besides reservations, in tokens.
pub fn memory_of(order: &StreamOrder) -> u64 {
    if order.group.is_some() {
        return 0;
    }
    order.prompt_tokens + order.end.saturating_sub(order.offset)
}

/// The word at a position of the answer to a prompt.
pub fn word(prompt_hash: u64, position: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prompt_hash.to_le_bytes());
    hasher.update(&position.to_le_bytes());
    hasher.finalize().to_hex()[..5].to_owned() + " "
}

/// The hash of a prompt's text.
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(prompt.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(head)
}
