//! Load messages, inputs and outputs of placement.

use std::sync::Arc;

use parsley_macros::{message, value};

/// The load of one engine as its owner reports it.
#[message]
pub struct EngineLoad {
    /// Low half of the hash of the engine's name, see [`super::engine_id`]. Among the engines of
    /// one owner it is unique in practice; a collision only makes a load wrong.
    pub engine: u32,
    /// Tokens of work queued and running.
    pub backlog_tokens: u64,
    /// Tokens of work that the engine gets through in a second, as measured by the owner.
    pub tokens_per_second: u32,
    /// Whether the engine gets new work.
    pub is_usable: bool,
}

/// The loads of all engines of one owner.
#[message]
pub struct LoadPush {
    /// Name of the owner.
    pub owner: Arc<str>,
    /// Loads.
    pub engines: Vec<EngineLoad>,
}

/// What an engine publishes about its prefix cache, late and with gaps.
#[message]
pub struct CacheEvent {
    /// Number of the event, counted by the engine without gaps.
    pub sequence: u64,
    /// Hashes of prefixes now cached.
    pub added: Vec<u64>,
    /// Hashes of prefixes no longer cached.
    pub removed: Vec<u64>,
}

/// A request to place.
#[value]
pub struct PickQuery<'a> {
    /// Model.
    pub model: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Hashes from [`super::prefix_hashes`].
    pub prefixes: &'a [u64],
}

/// Input of [`super::EnginePicker::step`].
#[value]
pub enum PlacementInput {
    /// Time passed; sent every [`super::SAMPLE_TICK_PERIOD`].
    Tick,
    /// An owner reported.
    Load(LoadPush),
    /// An engine took a prompt with these prefixes.
    Served {
        /// Engine.
        engine: Arc<str>,
        /// Hashes of the prompt's prefixes.
        prefixes: Vec<u64>,
    },
    /// An engine published a cache event.
    Cache {
        /// Engine.
        engine: Arc<str>,
        /// Event.
        event: CacheEvent,
    },
}

/// Output of [`super::EnginePicker::step`].
#[value]
pub enum PlacementOutput {
    /// Ask an owner to push its load for [`super::SUBSCRIPTION_TERM`].
    Subscribe {
        /// Name of the owner.
        owner: Arc<str>,
    },
}
