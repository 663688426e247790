//! Items, deltas, inputs and outputs of the configuration.

use std::sync::Arc;

use parsley_macros::{key, message, value};

/// A revision of the key-value service; it grows with each write over the whole store.
#[key]
#[derive(Default)]
pub struct Revision(pub u64);

/// One configuration key with its latest known value.
#[message]
pub struct ConfigItem {
    /// Key, `config/<kind>/<name>`.
    pub key: Arc<str>,
    /// Revision of the last write to the key.
    pub revision: Revision,
    /// Value, or none for a tombstone.
    pub value: Option<Arc<str>>,
}

/// All items above a revision, up to and including another.
#[message]
pub struct ConfigDelta {
    /// The delta holds every change with a revision above this one. A delta after zero is a
    /// snapshot: it holds every key that exists.
    pub after: Revision,
    /// The sender has everything up to this revision.
    pub complete: Revision,
    /// Changed items.
    pub items: Vec<ConfigItem>,
}

/// Input of [`super::ConfigStore::step`].
#[value]
pub enum ConfigInput {
    /// Time passed; sent every [`super::CONFIG_TICK`].
    Tick,
    /// Changes from the key-value service or a peer.
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
    /// Ask a peer for changes.
    Pull {
        /// Name of the peer.
        host: Arc<str>,
        /// Changes after this revision.
        after: Revision,
    },
    /// Announce the complete revision to [`super::PUSH_FANOUT`] random peers.
    Push(Revision),
    /// Read changes from the key-value service.
    Read {
        /// Changes after this revision.
        after: Revision,
    },
    /// The complete revision moved; membership datagrams must carry it.
    CompleteRevision(Revision),
    /// The resources in force changed.
    Changed,
}
