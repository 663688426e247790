//! Maps names to small keys and keys to values.

use std::{collections::BTreeMap, sync::Arc};

/// Issues dense keys for names. A name keeps its key for the life of the process.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    keys: BTreeMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    /// Returns the key of `name`, issuing one if the name is new.
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

    /// Returns the key of `name` if it was issued.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.keys.get(name).copied()
    }

    /// Returns the name behind `key`.
    pub fn name(&self, key: u32) -> Option<&Arc<str>> {
        self.names.get(key as usize)
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name was issued.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
