//! Decides which configuration is in force on this host.
//!
//! Owns one item per resource key with its revision. The node and peers only read it. When neither
//! the key-value service nor a peer sends anything, the last configuration stays in force.

use std::{collections::BTreeMap, sync::Arc};

use parsley_macros::{key, message};

use crate::resource::{ResourceKind, ResourceSet};

#[cfg(test)]
mod tests;

/// Prefix of all configuration keys in the key-value service.
pub const CONFIG_PREFIX: &str = "config/";

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
    /// The delta holds every change with a revision above this one.
    pub after: Revision,
    /// The sender has everything up to this revision.
    pub complete: Revision,
    /// Changed items.
    pub items: Vec<ConfigItem>,
}

/// The configuration of a host.
#[derive(Debug, Default)]
pub struct ConfigStore {
    items: BTreeMap<Arc<str>, ConfigItem>,
    complete: Revision,
    set: ResourceSet,
}

impl ConfigStore {
    /// The revision up to which this host has every change.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// The resources in force.
    pub fn resources(&self) -> &ResourceSet {
        &self.set
    }

    /// The item of a key, tombstones included.
    pub fn item(&self, key: &str) -> Option<&ConfigItem> {
        self.items.get(key)
    }

    /// Every item in the order of keys, tombstones included.
    pub fn items(&self) -> impl Iterator<Item = &ConfigItem> {
        self.items.values()
    }

    /// Every change after a revision.
    pub fn delta(&self, after: Revision) -> ConfigDelta {
        let items = self.items.values().filter(|item| item.revision > after).cloned().collect();
        ConfigDelta { after, complete: self.complete, items }
    }

    /// Applies a delta from the key-value service or a peer. Returns whether anything changed.
    ///
    /// An item is replaced only by a higher revision. The complete revision moves only if the delta
    /// starts at or below it, since otherwise changes in between may be missing.
    pub fn apply(&mut self, delta: ConfigDelta) -> bool {
        let mut changed = false;
        for item in delta.items {
            let known = self.items.get(&item.key).map(|known| known.revision);
            if known.is_some_and(|known| known >= item.revision) {
                continue;
            }
            self.put_in_force(&item);
            self.items.insert(item.key.clone(), item);
            changed = true;
        }
        if delta.after <= self.complete && delta.complete > self.complete {
            self.complete = delta.complete;
        }
        changed
    }

    fn put_in_force(&mut self, item: &ConfigItem) {
        let Some((kind, name)) = split_key(&item.key) else { return };
        match &item.value {
            // A value that does not parse was written past the administration API; the last
            // valid one stays in force.
            Some(value) => drop(self.set.put(kind, name, value)),
            None => self.set.remove(kind, name),
        }
    }
}

/// The key of a resource.
pub fn resource_key(kind: ResourceKind, name: &str) -> Arc<str> {
    format!("{CONFIG_PREFIX}{}/{name}", kind.segment()).into()
}

/// The kind and name in a configuration key.
pub fn split_key(key: &str) -> Option<(ResourceKind, &str)> {
    let (segment, name) = key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    Some((ResourceKind::from_segment(segment)?, name))
}
