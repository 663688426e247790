//! Interning of names as small integer keys.

use std::{collections::BTreeMap, sync::Arc};

/// Assigns consecutive keys to names, starting at 0. A name keeps its key for the life of the
/// table.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    keys: BTreeMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    /// Returns the key of `name`, and assigns the next one if the name is new.
    ///
    /// # Panics
    ///
    /// Panics if the table already has 2^32 names.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = u32::try_from(self.names.len()).expect("fewer than 2^32 names");
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.keys.insert(name, key);
        key
    }

    /// Returns the key of `name`, or `None` if the name is not in the table.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.keys.get(name).copied()
    }

    /// Returns the name with the key `key`, or `None` if no name has it.
    pub fn name(&self, key: u32) -> Option<&Arc<str>> {
        self.names.get(key as usize)
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
