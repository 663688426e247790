//! Decides which configuration is in force on this host.
//!
//! Owns one item per resource key with its revision. The node and peers only read it. Changes come
//! from the hosts that watch the key-value service, by announcement and pull, and once a minute
//! from the service itself. When neither it nor a peer sends anything, the last configuration
//! stays in force.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    member::{MemberRecord, MemberTable},
    placement::rendezvous_score,
    resource::{ResourceKind, ResourceSet},
    time::Time,
};

mod message;
#[cfg(test)]
mod tests;

pub use message::{ConfigDelta, ConfigInput, ConfigItem, ConfigOutput, Revision};

/// Prefix of all configuration keys in the key-value service.
pub const CONFIG_PREFIX: &str = "config/";
/// Time between two [`ConfigInput::Tick`].
pub const CONFIG_TICK: Duration = Duration::from_millis(500);
/// Peers to which a new revision is announced.
pub const PUSH_FANOUT: usize = 4;
/// Hosts in each region that watch the key-value service.
const WATCHERS: usize = 3;
/// Time between two reads of the service by a host that does not watch it.
const READ_PERIOD: Duration = Duration::from_secs(60);
/// Time after which a pull without an answer is given up.
const PULL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which deletions are remembered.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3_600);

struct Announcement {
    host: Arc<str>,
    revision: Revision,
}

/// The configuration of a host.
pub struct ConfigStore {
    items: BTreeMap<Arc<str>, ConfigItem>,
    /// Tombstones in the order in which they arrived.
    tombstones: VecDeque<(Time, Arc<str>, Revision)>,
    /// Highest revision of a forgotten tombstone. A delta after a lower one would lack it.
    horizon: Revision,
    complete: Revision,
    set: ResourceSet,
    rng: fastrand::Rng,
    next_read: Option<Time>,
    pulling: Option<Time>,
    ahead: Option<Announcement>,
    version: u64,
}

impl Default for ConfigStore {
    fn default() -> ConfigStore {
        ConfigStore::new(fastrand::Rng::with_seed(0))
    }
}

impl ConfigStore {
    /// An empty configuration.
    pub fn new(rng: fastrand::Rng) -> ConfigStore {
        ConfigStore {
            items: BTreeMap::new(),
            tombstones: VecDeque::new(),
            horizon: Revision(0),
            complete: Revision(0),
            set: ResourceSet::default(),
            rng,
            next_read: None,
            pulling: None,
            ahead: None,
            version: 0,
        }
    }

    /// Grows with every change of the resources in force; caches compare it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The revision up to which this host has every change.
    pub fn complete_revision(&self) -> Revision {
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

    /// Every change after a revision, or a snapshot if some of them are no longer remembered.
    pub fn delta(&self, after: Revision) -> ConfigDelta {
        let after = if after < self.horizon { Revision(0) } else { after };
        let items = self.items.values().filter(|item| item.revision > after).cloned().collect();
        ConfigDelta { after, complete: self.complete, items }
    }

    /// Advances the store.
    pub fn step(&mut self, now: Time, input: ConfigInput) -> Vec<ConfigOutput> {
        let mut outputs = Vec::new();
        match input {
            ConfigInput::Tick => self.tick(now, &mut outputs),
            ConfigInput::Delta(delta) => {
                let complete = self.complete;
                let is_changed = self.apply(now, delta);
                if self.complete > complete {
                    outputs.push(ConfigOutput::CompleteRevision(self.complete));
                    outputs.push(ConfigOutput::Push(self.complete));
                }
                if is_changed {
                    self.version += 1;
                    outputs.push(ConfigOutput::Changed);
                }
                self.pulling = None;
                self.pull(now, &mut outputs);
            }
            ConfigInput::PeerRevision { host, revision } => {
                if self.ahead.as_ref().is_none_or(|ahead| ahead.revision < revision) {
                    self.ahead = Some(Announcement { host, revision });
                }
                self.pull(now, &mut outputs);
            }
        }
        outputs
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<ConfigOutput>) {
        while let Some((since, key, revision)) = self.tombstones.front()
            && now.since(*since) >= TOMBSTONE_RETENTION
            // Until this host is complete, only the tombstone keeps an older value out.
            && *revision <= self.complete
        {
            if self.items.get(key).is_some_and(|item| item.revision == *revision) {
                self.items.remove(key);
            }
            self.horizon = self.horizon.max(*revision);
            self.tombstones.pop_front();
        }
        let jitter = |rng: &mut fastrand::Rng| READ_PERIOD.mul_f64(0.5 + rng.f64());
        match self.next_read {
            None => self.next_read = Some(now + READ_PERIOD.mul_f64(self.rng.f64())),
            Some(due) if due <= now => {
                self.next_read = Some(now + jitter(&mut self.rng));
                outputs.push(ConfigOutput::Read { after: self.complete });
            }
            Some(_) => {}
        }
        if self.pulling.is_some_and(|since| now.since(since) >= PULL_LIMIT) {
            // The peer may be gone. Datagrams of others still carry their revision.
            (self.pulling, self.ahead) = (None, None);
        }
    }

    /// Asks the peer that is furthest ahead, one at a time.
    fn pull(&mut self, now: Time, outputs: &mut Vec<ConfigOutput>) {
        self.ahead.take_if(|ahead| ahead.revision <= self.complete);
        let Some(ahead) = &self.ahead else { return };
        if self.pulling.is_none() {
            self.pulling = Some(now);
            outputs.push(ConfigOutput::Pull { host: ahead.host.clone(), after: self.complete });
        }
    }

    /// Takes changes over. Returns whether the resources changed.
    ///
    /// Up to the complete revision this host holds the last write to every key, so an item at or
    /// below it that is not held was deleted since. The complete revision moves only if the delta
    /// starts at or below it, since otherwise changes in between may be missing.
    fn apply(&mut self, now: Time, delta: ConfigDelta) -> bool {
        let mut is_changed = false;
        if delta.after == Revision(0) && delta.complete > self.complete {
            is_changed |= self.drop_absent(&delta);
        }
        for item in delta.items {
            let known = self.items.get(&item.key).map(|known| known.revision);
            if item.revision <= self.complete || known.is_some_and(|known| known >= item.revision) {
                continue;
            }
            if item.value.is_none() {
                self.tombstones.push_back((now, item.key.clone(), item.revision));
            }
            self.put_in_force(&item);
            self.items.insert(item.key.clone(), item);
            is_changed = true;
        }
        if delta.after <= self.complete && delta.complete > self.complete {
            self.complete = delta.complete;
        }
        is_changed
    }

    /// Drops keys that a newer snapshot lacks: their deletions are no longer remembered anywhere.
    fn drop_absent(&mut self, snapshot: &ConfigDelta) -> bool {
        let present: BTreeSet<_> = snapshot.items.iter().map(|item| item.key.clone()).collect();
        let is_absent =
            |item: &&ConfigItem| item.revision <= snapshot.complete && !present.contains(&item.key);
        let absent: Vec<_> =
            self.items.values().filter(is_absent).map(|item| item.key.clone()).collect();
        for key in &absent {
            self.items.remove(key);
            if let Some((kind, name)) = split_key(key) {
                self.set.remove(kind, name);
            }
        }
        // What this host can tell of deletions is now incomplete below the snapshot.
        self.horizon = self.horizon.max(snapshot.complete);
        !absent.is_empty()
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

/// Whether this host watches the key-value service: one of the three first hosts of its region in
/// rendezvous order.
pub fn is_watcher(table: &MemberTable) -> bool {
    let me = table.local();
    let score = |host: &MemberRecord| rendezvous_score("config-watcher", host);
    let mine = score(me);
    let ahead = table.live().filter(|host| host.region == me.region && score(host) > mine);
    ahead.take(WATCHERS).count() < WATCHERS
}

/// The hosts of all regions that watch the key-value service.
pub fn watchers(table: &MemberTable) -> BTreeSet<Arc<str>> {
    let mut regions: BTreeMap<&Arc<str>, Vec<(f64, &Arc<str>)>> = BTreeMap::new();
    for host in table.live() {
        let score = rendezvous_score("config-watcher", host);
        regions.entry(&host.region).or_default().push((score, &host.name));
    }
    for hosts in regions.values_mut() {
        hosts.sort_by(|left, right| right.0.total_cmp(&left.0));
        hosts.truncate(WATCHERS);
    }
    regions.into_values().flatten().map(|(_, name)| name.clone()).collect()
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
