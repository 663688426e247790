//! Which engines probably hold which prompt prefixes.

use std::collections::{BTreeMap, VecDeque};

use super::CacheEvent;

/// Prompt lengths, in tokens, whose hashes form the prefix chain.
pub const PREFIX_TOKENS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];
/// Bytes of a prompt counted as one token.
const TOKEN_BYTES: u64 = 4;
/// Prefixes remembered; about 3 MB.
const MAX_PREFIXES: usize = 32_768;
/// Engines remembered for one prefix.
const MAX_HOLDERS: usize = 4;

#[derive(Default)]
struct EngineCache {
    sequence: u64,
    /// Grows with each gap in the events; what was learned before no longer counts.
    epoch: u32,
}

/// Prefixes and the engines that hold them, as far as answers and cache events tell.
#[derive(Default)]
pub(super) struct PrefixMap {
    holders: BTreeMap<u64, Vec<(u32, u32)>>,
    order: VecDeque<u64>,
    engines: BTreeMap<u32, EngineCache>,
}

impl PrefixMap {
    /// An engine holds these prefixes.
    pub(super) fn learn(&mut self, engine: u32, prefixes: &[u64]) {
        let epoch = self.engines.entry(engine).or_default().epoch;
        for prefix in prefixes {
            let holders = self.holders.entry(*prefix).or_insert_with(|| {
                self.order.push_back(*prefix);
                Vec::new()
            });
            holders.retain(|(known, _)| *known != engine);
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

    /// Takes an event over. After a gap nothing learned earlier about the engine counts, as a
    /// removal may have been missed.
    pub(super) fn apply(&mut self, engine: u32, event: &CacheEvent) {
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
                holders.retain(|(known, _)| *known != engine);
            }
        }
        self.learn(engine, &event.added);
    }

    /// Tokens of a prompt that an engine probably holds.
    pub(super) fn hit(&self, engine: u32, prefixes: &[u64]) -> u64 {
        let epoch = self.engines.get(&engine).map_or(0, |cache| cache.epoch);
        let holds = |prefix: &u64| {
            self.holders.get(prefix).is_some_and(|holders| holders.contains(&(engine, epoch)))
        };
        prefixes.iter().rposition(holds).map_or(0, |at| PREFIX_TOKENS[at.min(3)])
    }

    /// Engines that probably hold a part of the prompt.
    pub(super) fn holders<'a>(&'a self, prefixes: &'a [u64]) -> impl Iterator<Item = u32> + 'a {
        let longest = prefixes.iter().rev().find_map(|prefix| self.holders.get(prefix));
        longest.into_iter().flatten().map(|(engine, _)| *engine)
    }
}

/// Hashes of the prompt's first 1k, 4k, 16k and 64k tokens, as far as it reaches.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let mut hasher = blake3::Hasher::new();
    let mut at = 0;
    let mut hashes = Vec::new();
    for tokens in PREFIX_TOKENS {
        let Some(part) = bytes.get(at..(tokens * TOKEN_BYTES) as usize) else { break };
        at += part.len();
        hasher.update(part);
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        hashes.push(u64::from_le_bytes(head));
    }
    hashes
}
