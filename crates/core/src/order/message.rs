//! Orders to engines, and the inputs and outputs of the order keeper.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

/// Number of a shard: a part of the engines that gets its orders from one host at a time.
#[key]
pub struct ShardKey(pub u8);

/// What an engine is ordered to do.
#[message]
pub enum OrderAction {
    /// Load a model, adapter or version from the weight store.
    Load(Arc<str>),
    /// Unload a model.
    Unload(Arc<str>),
}

/// An order to an engine, which changes the models that it serves.
#[message]
pub struct RoleOrder {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Creation revision of the lease's key. An engine may refuse orders with a lower number than
    /// it has seen.
    pub fencing: u64,
    /// Action that the engine is to take.
    pub action: OrderAction,
}

/// Desired state of one engine.
#[value]
pub struct DesiredEngine {
    /// Models that it should have loaded.
    pub models: BTreeSet<Arc<str>>,
    /// Models without a replica count, which are never ordered to load or unload.
    pub unmanaged: BTreeSet<Arc<str>>,
    /// Whether it refuses orders with a lower fencing number than it has seen. If not, a new holder
    /// must wait until the orders of earlier holders have timed out.
    pub checks_fencing: bool,
}

/// Result of an order.
#[key]
pub enum OrderResult {
    /// The engine accepted the order, or may have done so before a timeout.
    Taken,
    /// The engine refused the order because it has seen a higher fencing number.
    Fenced,
    /// The engine could not be reached or refused the order for another reason.
    Failed,
}

/// Input of [`super::OrderKeeper::step`].
#[value]
pub enum OrderInput {
    /// Time has passed. Drives lease renewals and orders.
    Tick,
    /// The shards that membership assigns to this host; see [`super::assigned_shards`].
    ShardsAssigned(BTreeSet<ShardKey>),
    /// The key-value service granted or renewed the lease of a shard.
    Leased {
        /// Shard whose lease it is.
        shard: ShardKey,
        /// Creation revision of the lease's key.
        fencing: u64,
        /// When the request was sent, on this host's clock. The term counts from then.
        sent: Time,
    },
    /// The configuration in force includes every change up to a read of the key-value service that
    /// was made after the lease was granted.
    ConfigRead {
        /// Shard whose lease it is.
        shard: ShardKey,
        /// Fencing number of the lease; ignored if it is not the current one.
        fencing: u64,
    },
    /// Another host holds the lease, or it has expired.
    LeaseLost(ShardKey),
    /// Desired states by engine name; replaces the earlier ones.
    Desired(std::collections::BTreeMap<Arc<str>, DesiredEngine>),
    /// An engine reported which models it has loaded.
    Observed {
        /// Name of the engine.
        engine: Arc<str>,
        /// Names of the loaded models.
        models: BTreeSet<Arc<str>>,
    },
    /// An order was answered or failed.
    Answered {
        /// Name of the engine.
        engine: Arc<str>,
        /// Fencing number of the order.
        fencing: u64,
        /// Result of the order.
        result: OrderResult,
    },
    /// Loads per second that the weight store allows over all hosts; zero stops all loads.
    LoadRate(f64),
}

/// Output of [`super::OrderKeeper::step`].
#[value]
pub enum OrderOutput {
    /// Create the shard's key, if it is absent, with a new lease of [`super::LEASE_TERM`].
    Acquire(ShardKey),
    /// Renew the lease of a shard that this host holds.
    Renew(ShardKey),
    /// Read the configuration from the key-value service. No order is sent before, because the last
    /// holder may have acted on a newer configuration than this host has.
    ReadConfig {
        /// Shard whose lease was granted.
        shard: ShardKey,
        /// Fencing number of the lease.
        fencing: u64,
    },
    /// Revoke the lease, since the shard is not assigned to this host any more.
    Release(ShardKey),
    /// Send an order, but not after `latest`.
    Send {
        /// Order to send.
        order: RoleOrder,
        /// An order sent later might arrive after the end of the lease's term.
        latest: Time,
        /// Timeout of the order.
        timeout: Duration,
    },
}
