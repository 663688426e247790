//! Inputs and outputs of the scheduler.

use std::time::Duration;

use parsley_macros::value;

use crate::{
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    refusal::Refusal,
    time::Time,
};

/// An engine that this host owns.
#[value]
pub struct EngineSpec {
    /// Key of the engine.
    pub engine: EngineKey,
    /// Models it serves.
    pub models: Vec<ModelKey>,
    /// Memory for KV cache, in tokens.
    pub memory_tokens: u64,
    /// Sequences in one batch.
    pub batch: u32,
}

/// A rank as the scheduler needs it.
#[value]
pub struct RankSpec {
    /// Key; its number is the level.
    pub rank: RankKey,
    /// Target for the first token.
    pub first_token_target: Duration,
    /// Time within which a request finishes or fails.
    pub finish_limit: Duration,
    /// Share of service the rank keeps while others flood, 0 to 1.
    pub guaranteed_share: f64,
    /// Limit of prompt and generated tokens a second over all accounts.
    pub tokens_per_second: Option<u64>,
    /// Limit of engine memory held over all accounts, in tokens.
    pub memory_tokens: Option<u64>,
}

/// A client account as the scheduler needs it.
#[value]
pub struct AccountSpec {
    /// Key.
    pub account: AccountKey,
    /// Share relative to others.
    pub weight: u32,
    /// Limit of prompt and generated tokens a second.
    pub tokens_per_second: Option<u64>,
    /// Limit of engine memory held, in tokens.
    pub memory_tokens: Option<u64>,
}

/// One request to be scheduled.
#[value]
pub struct WorkItem {
    /// Key, unique on this host.
    pub work: WorkKey,
    /// Who pays.
    pub account: AccountKey,
    /// Rank.
    pub rank: RankKey,
    /// Model.
    pub model: ModelKey,
    /// Prompt tokens, tokens produced by earlier attempts included.
    pub prompt_tokens: u64,
    /// Most tokens still to be generated.
    pub max_tokens: u64,
    /// Hashes of the prompt's first 1k, 4k, 16k and 64k tokens, as far as it reaches.
    pub prefixes: Vec<u64>,
    /// Engine chosen by the entry host.
    pub preferred: Option<EngineKey>,
    /// When the request must have its final answer.
    pub deadline: Time,
}

/// What an engine reports about itself, late.
#[value]
pub struct EngineReport {
    /// KV cache memory in use, in tokens.
    pub held_tokens: u64,
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

/// What an account spent on this host since the last call of `PoolScheduler::take_usage`.
#[value]
pub struct AccountUsage {
    /// The account.
    pub account: AccountKey,
    /// The rank.
    pub rank: RankKey,
    /// Cost units.
    pub cost: u64,
    /// Prompt and generated tokens.
    pub tokens: u64,
    /// Engine memory held now, in tokens.
    pub held_tokens: u64,
}

/// Input of the scheduler.
#[value]
pub enum SchedulerInput {
    /// Ranks in force.
    Ranks(Vec<RankSpec>),
    /// Client accounts in force.
    Accounts(Vec<AccountSpec>),
    /// This host now owns the engine, or its description changed.
    EngineAdded(EngineSpec),
    /// This host no longer owns the engine or it is leaving; running work goes on.
    EngineRemoved(EngineKey),
    /// The engine must not get new work for now, or may again.
    EngineUsable {
        /// The engine.
        engine: EngineKey,
        /// Whether it may get work.
        usable: bool,
    },
    /// A new request.
    Submit(WorkItem),
    /// A request that was preempted; it is queued again ahead of its equals.
    Requeue(WorkItem),
    /// A request whose engine failed; it is queued again ahead of its equals if the retry budget
    /// of its account allows, and fails otherwise.
    Retry(WorkItem),
    /// A request that already runs on an engine, started by another host.
    Adopt {
        /// The request.
        item: WorkItem,
        /// The engine.
        engine: EngineKey,
    },
    /// The caller is gone or cancelled.
    Cancel(WorkKey),
    /// Tokens arrived from the engine.
    Progress {
        /// The request.
        work: WorkKey,
        /// Tokens since the last input.
        tokens: u64,
    },
    /// The engine finished the request or confirmed that it was cancelled.
    Finished(WorkKey),
    /// The engine refused the request for lack of memory; it was not run.
    Rejected(WorkKey),
    /// A load report.
    Report {
        /// The engine.
        engine: EngineKey,
        /// The report.
        report: EngineReport,
    },
    /// Service that an account received on other hosts since the last input.
    RemoteUsage {
        /// The account.
        account: AccountKey,
        /// The rank.
        rank: RankKey,
        /// Cost units.
        cost: u64,
        /// Prompt and generated tokens.
        tokens: u64,
        /// Engine memory held on other hosts now, in tokens.
        held_tokens: u64,
    },
    /// Keep work off an engine for a time so that a group can reserve it.
    Drain {
        /// The engine.
        engine: EngineKey,
        /// Until when.
        until: Time,
    },
    /// Memory that groups have reserved on an engine now, as far as this host knows.
    ReservedMemory {
        /// The engine.
        engine: EngineKey,
        /// Tokens.
        tokens: u64,
    },
    /// What a group of engines, whoever owns them, can hold for a model.
    GroupCapacity {
        /// The model.
        model: ModelKey,
        /// Memory of the largest possible group, in tokens.
        tokens: u64,
    },
    /// Time passed.
    Tick,
}

/// Output of the scheduler.
#[value]
pub enum SchedulerOutput {
    /// Send the request to the engine.
    Dispatch {
        /// The request.
        work: WorkKey,
        /// The engine.
        engine: EngineKey,
        /// Engine priority; lower is more urgent.
        priority: u8,
    },
    /// Reserve a group of engines for the request, which no single engine can hold.
    ReserveGroup(WorkKey),
    /// Give the group of the request up; its time is over or its caller is gone.
    AbortGroup(WorkKey),
    /// Cancel the request on the engine and submit the rest again with `Requeue`.
    Preempt {
        /// The request.
        work: WorkKey,
        /// The engine.
        engine: EngineKey,
    },
    /// Cancel the request on the engine; its time is over.
    Abort {
        /// The request.
        work: WorkKey,
        /// The engine.
        engine: EngineKey,
    },
    /// Answer the request with a refusal; it is in no queue any more.
    Refuse {
        /// The request.
        work: WorkKey,
        /// The answer.
        refusal: Refusal,
    },
    /// Hand the request back to its entry host, as this host has no engine for it.
    HandBack(WorkKey),
}
