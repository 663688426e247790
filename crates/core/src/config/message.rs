//! Items and deltas of the configuration, and the inputs and outputs of the store.

use std::sync::Arc;

use parsley_macros::{key, message, value};

/// A revision of the key-value service, which increases with every write to any of its keys.
#[key]
#[derive(Default)]
pub struct Revision(pub u64);

/// A configuration key with its last known value.
#[message]
pub struct ConfigItem {
    /// Key of the form `config/<kind>/<name>`.
    pub key: Arc<str>,
    /// Revision of the last write to the key.
    pub revision: Revision,
    /// Spec of the resource as JSON, or none for a tombstone.
    pub value: Option<Arc<str>>,
}

/// The changes after one revision, up to and including another.
#[message]
pub struct ConfigDelta {
    /// Exclusive lower bound of the revisions. A delta after zero is a snapshot: it contains every
    /// key that exists.
    pub after: Revision,
    /// Inclusive upper bound up to which the delta is complete. It may also contain later items.
    pub complete: Revision,
    /// Items changed after the lower bound, in no particular order.
    pub items: Vec<ConfigItem>,
}

/// Input of [`super::ConfigStore::step`].
#[value]
pub enum ConfigInput {
    /// Time has passed; expected every [`super::CONFIG_TICK`].
    Tick,
    /// Changes arrived from the key-value service or a peer.
    Delta(ConfigDelta),
    /// A peer announced its complete revision.
    PeerRevision {
        /// Name of the peer.
        host: Arc<str>,
        /// Its complete revision.
        revision: Revision,
    },
}

/// Output of [`super::ConfigStore::step`].
#[value]
pub enum ConfigOutput {
    /// Request a delta from a peer.
    Pull {
        /// Name of the peer.
        host: Arc<str>,
        /// Exclusive lower bound of the delta.
        after: Revision,
    },
    /// Announce the complete revision to [`super::PUSH_FANOUT`] random peers.
    Push(Revision),
    /// Read changes from the key-value service.
    Read {
        /// Exclusive lower bound of the changes.
        after: Revision,
    },
    /// The complete revision advanced; membership datagrams must carry it.
    CompleteRevision(Revision),
    /// Items changed, and with them possibly the resources in force.
    Changed,
}
