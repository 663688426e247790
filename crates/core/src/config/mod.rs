//! Replicates the configuration from the key-value service to this host.
//!
//! Owns one item per resource key, with the revision of its last write. The node and peers only
//! read it. A few hosts in each region watch the key-value service and announce new revisions.
//! Peers that are behind pull the changes and announce them in turn. As anti-entropy every host
//! also reads the service about once a minute. When neither the service nor a peer answers, the
//! last configuration stays in force.

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
/// Interval between [`ConfigInput::Tick`] inputs.
pub const CONFIG_TICK: Duration = Duration::from_millis(500);
/// Number of random peers to which a host announces a new complete revision.
pub const PUSH_FANOUT: usize = 4;
/// Number of hosts in each region that watch the key-value service.
const WATCHERS_PER_REGION: usize = 3;
/// Mean interval between reads of the service by a host, before jitter.
const READ_PERIOD: Duration = Duration::from_secs(60);
/// How long a pull may stay unanswered before another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long tombstones are kept.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3_600);

/// The highest revision that a peer has announced.
struct Announcement {
    host: Arc<str>,
    revision: Revision,
}

/// The configuration items of a host and the resources that result from them.
pub struct ConfigStore {
    items: BTreeMap<Arc<str>, ConfigItem>,
    /// Tombstones in the order of arrival, with the time of arrival.
    tombstones: VecDeque<(Time, Arc<str>, Revision)>,
    /// Highest revision of a tombstone that may have been dropped. A delta after a lower revision
    /// would lack it, so a snapshot is sent instead.
    tombstone_horizon: Revision,
    /// Revision up to which this host has every change.
    complete: Revision,
    set: ResourceSet,
    rng: fastrand::Rng,
    next_read: Option<Time>,
    /// When the pull in flight was sent.
    pull_sent: Option<Time>,
    newest_peer: Option<Announcement>,
    version: u64,
}

impl Default for ConfigStore {
    fn default() -> ConfigStore {
        ConfigStore::new(fastrand::Rng::with_seed(0))
    }
}

impl ConfigStore {
    /// Creates an empty configuration. `rng` is used for jitter only.
    pub fn new(rng: fastrand::Rng) -> ConfigStore {
        ConfigStore {
            items: BTreeMap::new(),
            tombstones: VecDeque::new(),
            tombstone_horizon: Revision(0),
            complete: Revision(0),
            set: ResourceSet::default(),
            rng,
            next_read: None,
            pull_sent: None,
            newest_peer: None,
            version: 0,
        }
    }

    /// Increases whenever items change, so that caches can detect staleness.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The revision up to which this host has every change, or zero before the first snapshot.
    pub fn complete_revision(&self) -> Revision {
        self.complete
    }

    /// The resources in force, with the last valid spec of each.
    pub fn resources(&self) -> &ResourceSet {
        &self.set
    }

    /// The item of a key, which may be a tombstone.
    pub fn item(&self, key: &str) -> Option<&ConfigItem> {
        self.items.get(key)
    }

    /// Every item in the order of keys, tombstones included.
    pub fn items(&self) -> impl Iterator<Item = &ConfigItem> {
        self.items.values()
    }

    /// Every change after a revision, or a snapshot if tombstones after it may have been dropped.
    pub fn delta(&self, after: Revision) -> ConfigDelta {
        let after = if after < self.tombstone_horizon { Revision(0) } else { after };
        let items = self.items.values().filter(|item| item.revision > after).cloned().collect();
        ConfigDelta { after, complete: self.complete, items }
    }

    /// Applies one input and returns the resulting outputs.
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
                self.pull_sent = None;
                self.pull(now, &mut outputs);
            }
            ConfigInput::PeerRevision { host, revision } => {
                if self.newest_peer.as_ref().is_none_or(|newest| newest.revision < revision) {
                    self.newest_peer = Some(Announcement { host, revision });
                }
                self.pull(now, &mut outputs);
            }
        }
        outputs
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<ConfigOutput>) {
        while let Some((since, key, revision)) = self.tombstones.front()
            && now.since(*since) >= TOMBSTONE_RETENTION
            // Until this host is complete up to the deletion, only the tombstone keeps an older
            // value from coming back.
            && *revision <= self.complete
        {
            if self.items.get(key).is_some_and(|item| item.revision == *revision) {
                self.items.remove(key);
            }
            self.tombstone_horizon = self.tombstone_horizon.max(*revision);
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
        if self.pull_sent.is_some_and(|since| now.since(since) >= PULL_TIMEOUT) {
            // The peer may be dead. Membership datagrams of other peers still carry their
            // revisions.
            (self.pull_sent, self.newest_peer) = (None, None);
        }
    }

    /// Pulls from the peer with the highest announced revision, unless a pull is in flight.
    fn pull(&mut self, now: Time, outputs: &mut Vec<ConfigOutput>) {
        self.newest_peer.take_if(|newest| newest.revision <= self.complete);
        let Some(newest) = &self.newest_peer else { return };
        if self.pull_sent.is_none() {
            self.pull_sent = Some(now);
            outputs.push(ConfigOutput::Pull { host: newest.host.clone(), after: self.complete });
        }
    }

    /// Applies a delta and returns whether any item changed.
    ///
    /// Up to the complete revision this host has the last write to every key, so an item at or
    /// below it that this host does not have was deleted later and is ignored. The complete
    /// revision advances only if the delta starts at or below it, as changes in between may be
    /// missing otherwise.
    fn apply(&mut self, now: Time, delta: ConfigDelta) -> bool {
        let mut is_changed = false;
        if delta.after == Revision(0) && delta.complete > self.complete {
            is_changed |= self.remove_absent(&delta);
        }
        for item in delta.items {
            let known = self.items.get(&item.key).map(|known| known.revision);
            if item.revision <= self.complete || known.is_some_and(|known| known >= item.revision) {
                continue;
            }
            if item.value.is_none() {
                self.tombstones.push_back((now, item.key.clone(), item.revision));
            }
            self.update_resources(&item);
            self.items.insert(item.key.clone(), item);
            is_changed = true;
        }
        if delta.after <= self.complete && delta.complete > self.complete {
            self.complete = delta.complete;
        }
        is_changed
    }

    /// Removes keys that are absent from a newer snapshot: they were deleted, even if the sender
    /// has dropped the tombstones.
    fn remove_absent(&mut self, snapshot: &ConfigDelta) -> bool {
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
        // This host has no tombstones of the keys that it removed here.
        self.tombstone_horizon = self.tombstone_horizon.max(snapshot.complete);
        !absent.is_empty()
    }

    /// Updates the resources in force from an item.
    fn update_resources(&mut self, item: &ConfigItem) {
        let Some((kind, name)) = split_key(&item.key) else { return };
        match &item.value {
            // An invalid value was written past the validation of the administration API. The last
            // valid one stays in force.
            Some(value) => drop(self.set.put(kind, name, value)),
            None => self.set.remove(kind, name),
        }
    }
}

/// Whether this host watches the key-value service: whether it is among the `WATCHERS_PER_REGION`
/// live hosts of its region with the highest rendezvous scores.
pub fn is_watcher(table: &MemberTable) -> bool {
    let local = table.local();
    let score = |host: &MemberRecord| rendezvous_score("config-watcher", host);
    let own_score = score(local);
    let higher = table.live().filter(|host| host.region == local.region && score(host) > own_score);
    higher.take(WATCHERS_PER_REGION).count() < WATCHERS_PER_REGION
}

/// Names of the hosts of all regions that watch the key-value service.
pub fn watchers(table: &MemberTable) -> BTreeSet<Arc<str>> {
    let mut regions: BTreeMap<&Arc<str>, Vec<(f64, &Arc<str>)>> = BTreeMap::new();
    for host in table.live() {
        let score = rendezvous_score("config-watcher", host);
        regions.entry(&host.region).or_default().push((score, &host.name));
    }
    for hosts in regions.values_mut() {
        hosts.sort_by(|left, right| right.0.total_cmp(&left.0));
        hosts.truncate(WATCHERS_PER_REGION);
    }
    regions.into_values().flatten().map(|(_, name)| name.clone()).collect()
}

/// The configuration key of a resource, `config/<kind>/<name>`.
pub fn resource_key(kind: ResourceKind, name: &str) -> Arc<str> {
    format!("{CONFIG_PREFIX}{}/{name}", kind.segment()).into()
}

/// The kind and name in a configuration key, or none if the key is malformed or the kind unknown.
pub fn split_key(key: &str) -> Option<(ResourceKind, &str)> {
    let (segment, name) = key.strip_prefix(CONFIG_PREFIX)?.split_once('/')?;
    Some((ResourceKind::from_segment(segment)?, name))
}
