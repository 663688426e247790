//! Tracks which engines probably have which prompt prefixes in their cache.

use std::collections::{BTreeMap, VecDeque};

use super::CacheEvent;

/// Lengths of the prompt prefixes that are hashed, in tokens.
pub const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];
/// Bytes of a prompt counted as one token.
const TOKEN_BYTES: u64 = 4;
/// Maximum number of prefixes kept, about 3 MB. The oldest are evicted first.
const MAX_PREFIXES: usize = 32_768;
/// Maximum number of engines kept for one prefix. The one confirmed longest ago is evicted first.
const MAX_HOLDERS: usize = 4;

#[derive(Default)]
struct EngineCache {
    /// Sequence number of the last applied event; 0 before the first.
    sequence: u64,
    /// Incremented with each gap in the events. Entries of an earlier epoch do not count.
    epoch: u32,
}

/// Maps prompt prefixes to the engines that probably cache them, as learned from served requests
/// and from cache events.
#[derive(Default)]
pub(super) struct PrefixMap {
    /// Engines and their epochs, by prefix hash.
    holders: BTreeMap<u64, Vec<(u32, u32)>>,
    /// Prefix hashes in the order of insertion.
    order: VecDeque<u64>,
    engines: BTreeMap<u32, EngineCache>,
}

impl PrefixMap {
    /// Records that an engine caches these prefixes.
    pub(super) fn insert(&mut self, engine: u32, prefixes: &[u64]) {
        let epoch = self.engines.entry(engine).or_default().epoch;
        for prefix in prefixes {
            let holders = self.holders.entry(*prefix).or_insert_with(|| {
                self.order.push_back(*prefix);
                Vec::new()
            });
            holders.retain(|(holder, _)| *holder != engine);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push((engine, epoch));
        }
        while self.order.len() > MAX_PREFIXES {
            let oldest = self.order.pop_front().expect("not empty");
            self.holders.remove(&oldest);
        }
    }

    /// Applies a cache event; events that arrive late are ignored. After a gap in the sequence,
    /// earlier entries of the engine no longer count, as a removal may have been missed.
    pub(super) fn apply_event(&mut self, engine: u32, event: &CacheEvent) {
        let cache = self.engines.entry(engine).or_default();
        if event.sequence <= cache.sequence {
            return;
        }
        if event.sequence != cache.sequence + 1 {
            cache.epoch += 1;
        }
        cache.sequence = event.sequence;
        for prefix in &event.removed {
            if let Some(holders) = self.holders.get_mut(prefix) {
                holders.retain(|(holder, _)| *holder != engine);
            }
        }
        self.insert(engine, &event.added);
    }

    /// Returns the number of prompt tokens that an engine probably caches.
    pub(super) fn cached_tokens(&self, engine: u32, prefixes: &[u64]) -> u64 {
        let epoch = self.engines.get(&engine).map_or(0, |cache| cache.epoch);
        let holds = |prefix: &u64| {
            self.holders.get(prefix).is_some_and(|holders| holders.contains(&(engine, epoch)))
        };
        prefixes.iter().rposition(holds).map_or(0, |at| PREFIX_TOKENS[at.min(3)])
    }

    /// Returns the engines that may cache the longest known prefix of the prompt. Entries of
    /// earlier epochs are included; [`PrefixMap::cached_tokens`] is 0 for them.
    pub(super) fn holders<'a>(&'a self, prefixes: &'a [u64]) -> impl Iterator<Item = u32> + 'a {
        let longest = prefixes.iter().rev().find_map(|prefix| self.holders.get(prefix));
        longest.into_iter().flatten().map(|(engine, _)| *engine)
    }
}

/// Returns the hashes of the prompt's first 1k, 4k, 16k and 64k tokens, as far as the prompt
/// reaches.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let mut hasher = blake3::Hasher::new();
    let mut hashed = 0;
    let mut hashes = Vec::new();
    for tokens in PREFIX_TOKENS {
        let Some(part) = bytes.get(hashed..(tokens * TOKEN_BYTES) as usize) else { break };
        hashed += part.len();
        hasher.update(part);
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        hashes.push(u64::from_le_bytes(first_bytes));
    }
    hashes
}
