//! Load messages between hosts, and the inputs and outputs of [`super::EnginePicker::step`].

use std::sync::Arc;

use parsley_macros::{message, value};

/// The load of one engine, as reported by its owner.
#[message]
pub struct EngineLoad {
    /// Short id of the engine, see [`super::engine_id`]. It is unique in practice among the engines
    /// of one owner; a collision only makes a load wrong.
    pub engine: u32,
    /// Work queued and running for the engine, in tokens.
    pub backlog_tokens: u64,
    /// Rate at which the engine processes work, as measured by the owner; 0 if unknown.
    pub tokens_per_second: u32,
    /// Whether the engine may get new work.
    pub is_usable: bool,
}

/// The loads of all engines of one owner.
#[message]
pub struct LoadPush {
    /// Name of the owner.
    pub owner: Arc<str>,
    /// Loads of the owner's engines.
    pub engines: Vec<EngineLoad>,
}

/// A change of an engine's prefix cache. Events arrive with a delay, and some may be missing.
#[message]
pub struct CacheEvent {
    /// Sequence number, assigned by the engine without gaps; the first is 1.
    pub sequence: u64,
    /// Hashes of prefixes now cached.
    pub added: Vec<u64>,
    /// Hashes of prefixes no longer cached.
    pub removed: Vec<u64>,
}

/// The properties of a request that determine its engine.
#[value]
pub struct PickQuery<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes from [`super::prefix_hashes`].
    pub prefixes: &'a [u64],
}

/// Input of [`super::EnginePicker::step`].
#[value]
pub enum PlacementInput {
    /// Time passed; sent every [`super::SAMPLE_TICK_PERIOD`]. Updates the load sample.
    Tick,
    /// An owner reported the loads of its engines.
    Load(LoadPush),
    /// An engine served a prompt and probably caches its prefixes now.
    Served {
        /// Name of the engine.
        engine: Arc<str>,
        /// Hashes of the prompt's prefixes.
        prefixes: Vec<u64>,
    },
    /// An engine published a change of its prefix cache.
    Cache {
        /// Name of the engine.
        engine: Arc<str>,
        /// The change.
        event: CacheEvent,
    },
}

/// Output of [`super::EnginePicker::step`].
#[value]
pub enum PlacementOutput {
    /// Ask an owner to push the loads of its engines for [`super::SUBSCRIPTION_TERM`].
    Subscribe {
        /// Name of the owner.
        owner: Arc<str>,
    },
}
