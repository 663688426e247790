//! Orders to engines, inputs and outputs of the order keeper.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

/// A part of the engines; its orders come from one host at a time.
#[key]
pub struct ShardKey(pub u8);

/// What an engine is told to do.
#[message]
pub enum OrderAction {
    /// Load a model, adapter or version from the weight store.
    Load(Arc<str>),
    /// Give up a model.
    Unload(Arc<str>),
}

/// An order to an engine.
#[message]
pub struct RoleOrder {
    /// Engine.
    pub engine: Arc<str>,
    /// Creation revision of the holder's lease.
    pub fencing: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What the configuration wants of one engine.
#[value]
pub struct DesiredEngine {
    /// Models it should have loaded.
    pub models: BTreeSet<Arc<str>>,
    /// Models that are no business of orders and stay as they are.
    pub unmanaged: BTreeSet<Arc<str>>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// What became of an order.
#[key]
pub enum OrderResult {
    /// The engine took it.
    Taken,
    /// The engine knows a higher fencing number.
    Fenced,
    /// No answer, or the engine could not.
    Failed,
}

/// Input of [`super::OrderKeeper::step`].
#[value]
pub enum OrderInput {
    /// Time passed.
    Tick,
    /// The shards that fall to this host by membership.
    ShardsAssigned(BTreeSet<ShardKey>),
    /// The key-value service granted or renewed the lease of a shard.
    Leased {
        /// Shard.
        shard: ShardKey,
        /// Creation revision of the lease's key.
        fencing: u64,
        /// When the call was sent, on this host's clock.
        sent: Time,
    },
    /// The configuration in force includes everything that the key-value service held after the
    /// lease was granted.
    ConfigRead {
        /// Shard.
        shard: ShardKey,
        /// Fencing number of the lease.
        fencing: u64,
    },
    /// The lease is not held: another host has it, it expired, or the service does not answer.
    LeaseLost(ShardKey),
    /// What the configuration wants, by engine.
    Desired(std::collections::BTreeMap<Arc<str>, DesiredEngine>),
    /// An engine reported which models it has loaded.
    Observed {
        /// Engine.
        engine: Arc<str>,
        /// Models.
        models: BTreeSet<Arc<str>>,
    },
    /// An order was answered.
    Answered {
        /// Engine.
        engine: Arc<str>,
        /// Fencing number of the order.
        fencing: u64,
        /// Result.
        result: OrderResult,
    },
    /// Loads that the weight store allows in a second, over all hosts.
    LoadRate(f64),
}

/// Output of [`super::OrderKeeper::step`].
#[value]
pub enum OrderOutput {
    /// Create the shard's key with a new lease of [`super::LEASE_TERM`], if it is absent.
    Acquire(ShardKey),
    /// Renew the lease of the shard.
    Renew(ShardKey),
    /// Read the configuration from the key-value service. No order is sent before: the last holder
    /// may have known a newer one.
    ReadConfig {
        /// Shard.
        shard: ShardKey,
        /// Fencing number of the lease.
        fencing: u64,
    },
    /// Give the lease up, as the shard fell to another host.
    Release(ShardKey),
    /// Send an order if it goes out before `latest`.
    Send {
        /// Order.
        order: RoleOrder,
        /// After this time the lease may be over before the order arrives.
        latest: Time,
        /// Time after which the order is given up.
        timeout: Duration,
    },
}
