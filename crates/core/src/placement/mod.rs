//! Decides which engine serves a request and which host owns that engine.
//!
//! Owns the loads received from a bounded sample of owners, a map of prompt prefixes to engines,
//! and the owner of each engine. When load reports stop, the last ones are used with the work that
//! this host sent since, until they are stale. Then engines are chosen at random.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    member::{MemberRecord, MemberTable},
    resource::{BackendRole, BackendServer, ResourceSet},
    time::Time,
};

mod message;
mod owner;
mod prefix;
mod sample;
#[cfg(test)]
mod tests;

pub use message::{CacheEvent, EngineLoad, LoadPush, PickQuery, PlacementInput, PlacementOutput};
pub use owner::{OwnerMap, engine_owner, rendezvous_score};
pub use prefix::{PREFIX_TOKENS, prefix_hashes};
pub use sample::{MAX_SAMPLED_OWNERS, SAMPLE_TICK_PERIOD, SUBSCRIPTION_TERM};

use prefix::PrefixMap;
use sample::LoadSample;

/// Age beyond which a load is stale, because its owner or the network path to it has failed.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);
/// Lag of load reports: work sent within this time before a report arrives may be missing from it.
const REPORT_LAG: Duration = Duration::from_millis(50);
/// Rate assumed for an engine that was never measured.
const DEFAULT_TOKENS_PER_SECOND: u32 = 10_000;
/// Round trip to another failure domain of the region, in microseconds.
const DOMAIN_COST_US: u64 = 2_500;
/// Round trip to another region, in microseconds.
const REGION_COST_US: u64 = 120_000;
/// Load of an engine, in percent of the mean load, up to which prefix affinity counts. The prompt
/// itself is added to the limit.
const AFFINITY_PERCENT: u64 = 125;
/// Random engines that are compared when no load is known.
const RANDOM_DRAWS: usize = 2;

struct EngineSlot {
    name: Arc<str>,
    server: BackendServer,
    /// Round trip between this host and the engine, in microseconds.
    distance_us: u64,
    /// The last load with the time of its arrival.
    load: Option<(Time, EngineLoad)>,
    /// Times and tokens of the work that this host sent recently and that the load may not include.
    sent: VecDeque<(Time, u64)>,
    /// Sum of the tokens in `sent`.
    sent_tokens: u64,
}

impl EngineSlot {
    /// Drops sent work that is older than `age`.
    fn expire_sent(&mut self, now: Time, age: Duration) {
        while let Some((since, tokens)) = self.sent.front()
            && now.since(*since) > age
        {
            self.sent_tokens -= tokens;
            self.sent.pop_front();
        }
    }
}

/// Slot indexes of the engines that serve one model.
#[derive(Default)]
struct ModelIndex {
    same_region: Vec<u32>,
    other_regions: Vec<u32>,
    /// Engines whose owners are in the load sample.
    candidates: Vec<u32>,
}

/// The engine chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PickedEngine {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Name of the host that owns the engine.
    pub owner: Arc<str>,
}

/// Chooses an engine for each request by load, prefix affinity and distance.
pub struct EnginePicker {
    region: Arc<str>,
    domain: Arc<str>,
    slots: Vec<Option<EngineSlot>>,
    /// Slot index of each engine, by name.
    by_name: BTreeMap<Arc<str>, u32>,
    /// Slot index of each engine, by [`engine_id`].
    by_id: BTreeMap<u32, u32>,
    models: BTreeMap<Arc<str>, ModelIndex>,
    owners: OwnerMap,
    prefixes: PrefixMap,
    sample: LoadSample,
    rng: fastrand::Rng,
}

impl EnginePicker {
    /// Creates a picker for the host `me`, whose region and failure domain determine distances.
    pub fn new(me: &MemberRecord, rng: fastrand::Rng) -> EnginePicker {
        EnginePicker {
            region: me.region.clone(),
            domain: me.failure_domain.clone(),
            slots: Vec::new(),
            by_name: BTreeMap::new(),
            by_id: BTreeMap::new(),
            models: BTreeMap::new(),
            owners: OwnerMap::default(),
            prefixes: PrefixMap::default(),
            sample: LoadSample::default(),
            rng,
        }
    }

    /// Returns the map of engine owners.
    pub fn owners(&self) -> &OwnerMap {
        &self.owners
    }

    /// Returns the owners that this host subscribes to for loads.
    pub fn sampled_owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.sample.owners()
    }

    /// Returns the engines of subscribed owners, by name, with their loads that are not stale. An
    /// engine appears once for each model that it serves.
    pub fn fresh_loads(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &EngineLoad)> {
        let candidates = self.models.values().flat_map(|index| &index.candidates);
        candidates.filter_map(move |slot_index| {
            let slot = self.slots[*slot_index as usize].as_ref()?;
            let (received, load) = slot.load.as_ref()?;
            (now.since(*received) <= MAX_LOAD_AGE).then_some((&slot.name, load))
        })
    }

    /// Updates engine owners and the load sample after membership changed.
    pub fn update_hosts(&mut self, table: &MemberTable) {
        self.owners.update_hosts(table);
        self.sample.retain(|owner| self.owners.owned_by(owner).next().is_some());
        self.index_candidates();
    }

    /// Updates the engines after the configuration of backend servers changed.
    pub fn update_servers(&mut self, set: &ResourceSet) {
        let mut is_changed = false;
        let gone: Vec<_> = self
            .by_name
            .keys()
            .filter(|name| set.servers.get(*name).is_none_or(|server| !is_engine(server)))
            .cloned()
            .collect();
        for name in gone {
            is_changed = true;
            self.remove_engine(&name);
        }
        for (name, server) in set.servers.iter().filter(|(_, server)| is_engine(server)) {
            let slot = self
                .by_name
                .get(name)
                .and_then(|slot_index| self.slots[*slot_index as usize].as_ref());
            if slot.is_some_and(|slot| slot.server == *server) {
                continue;
            }
            is_changed = true;
            self.put_engine(name, server);
        }
        if is_changed {
            self.index_models();
            self.index_candidates();
        }
    }

    fn put_engine(&mut self, name: &Arc<str>, server: &BackendServer) {
        self.owners.put_engine(name, server);
        let distance_us = match server {
            _ if server.region != self.region => REGION_COST_US,
            _ if server.failure_domain != self.domain => DOMAIN_COST_US,
            _ => 0,
        };
        if let Some(slot_index) = self.by_name.get(name) {
            let slot = self.slots[*slot_index as usize].as_mut().expect("named slots are taken");
            (slot.server, slot.distance_us) = (server.clone(), distance_us);
            return;
        }
        let slot_index = u32::try_from(self.slots.len()).expect("fewer than 2^32 engines");
        self.by_name.insert(name.clone(), slot_index);
        self.by_id.insert(engine_id(name), slot_index);
        self.slots.push(Some(EngineSlot {
            name: name.clone(),
            server: server.clone(),
            distance_us,
            load: None,
            sent: VecDeque::new(),
            sent_tokens: 0,
        }));
    }

    fn remove_engine(&mut self, name: &Arc<str>) {
        self.owners.remove_engine(name);
        if let Some(slot_index) = self.by_name.remove(name) {
            self.by_id.remove(&engine_id(name));
            self.slots[slot_index as usize] = None;
        }
    }

    fn index_models(&mut self) {
        self.models.clear();
        for (slot_index, slot) in self.slots.iter().enumerate() {
            let Some(slot) = slot else { continue };
            let BackendRole::Engine { models, .. } = &slot.server.role else { continue };
            if slot.server.leaving {
                continue;
            }
            for model in models {
                if !self.models.contains_key(model) {
                    self.models.insert(model.clone(), ModelIndex::default());
                }
                let index = self.models.get_mut(model).expect("inserted above");
                let is_same_region = slot.server.region == self.region;
                if is_same_region { &mut index.same_region } else { &mut index.other_regions }
                    .push(slot_index as u32);
            }
        }
    }

    fn index_candidates(&mut self) {
        for index in self.models.values_mut() {
            index.candidates.clear();
        }
        let engines = self.sample.owners().flat_map(|owner| self.owners.owned_by(owner));
        for name in engines {
            let Some(slot_index) = self.by_name.get(name) else { continue };
            let Some(slot) = &self.slots[*slot_index as usize] else { continue };
            let BackendRole::Engine { models, .. } = &slot.server.role else { continue };
            if slot.server.leaving {
                continue;
            }
            for model in models {
                if let Some(index) = self.models.get_mut(model) {
                    index.candidates.push(*slot_index);
                }
            }
        }
    }

    /// Applies an input at time `now` and returns the subscriptions to send.
    pub fn step(&mut self, now: Time, input: PlacementInput) -> Vec<PlacementOutput> {
        match input {
            PlacementInput::Tick => return self.tick(now),
            PlacementInput::Load(push) => self.record_loads(now, push),
            PlacementInput::Served { engine, prefixes } => {
                if let Some(slot_index) = self.by_name.get(&engine) {
                    self.prefixes.insert(*slot_index, &prefixes);
                }
            }
            PlacementInput::Cache { engine, event } => {
                if let Some(slot_index) = self.by_name.get(&engine) {
                    self.prefixes.apply_event(*slot_index, &event);
                }
            }
        }
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<PlacementOutput> {
        if self.sample.tick(now, &self.models, &mut self.rng, |slot_index| {
            let slot = self.slots[slot_index as usize].as_ref()?;
            self.owners.owner(&slot.name).cloned()
        }) {
            self.index_candidates();
        }
        let due = self.sample.take_due(now);
        due.into_iter().map(|owner| PlacementOutput::Subscribe { owner }).collect()
    }

    fn record_loads(&mut self, now: Time, push: LoadPush) {
        for load in push.engines {
            let Some(slot_index) = self.by_id.get(&load.engine) else { continue };
            let slot = self.slots[*slot_index as usize].as_mut().expect("named slots are taken");
            // A former owner may still send loads; only those of the current owner count.
            if self.owners.owner(&slot.name) != Some(&push.owner) {
                continue;
            }
            slot.expire_sent(now, REPORT_LAG);
            slot.load = Some((now, load));
        }
    }

    /// Chooses an engine for a request and counts the request as sent to it. Returns `None` if no
    /// usable engine of the model that has an owner is found.
    pub fn pick(&mut self, now: Time, query: &PickQuery<'_>) -> Option<PickedEngine> {
        let slot_index =
            self.pick_by_load(now, query).or_else(|| self.pick_without_loads(query.model))?;
        let slot = self.slots[slot_index as usize].as_mut().expect("indexed slots are taken");
        let tokens = query.prompt_tokens + query.max_tokens;
        slot.expire_sent(now, MAX_LOAD_AGE);
        slot.sent.push_back((now, tokens));
        slot.sent_tokens += tokens;
        let owner = self.owners.owner(&slot.name)?.clone();
        Some(PickedEngine { engine: slot.name.clone(), owner })
    }

    /// Returns the engine with the lowest predicted time for the work ahead and the uncached part
    /// of the prompt, plus the distance. Only engines with a fresh load are considered.
    fn pick_by_load(&self, now: Time, query: &PickQuery<'_>) -> Option<u32> {
        let index = self.models.get(query.model)?;
        let fresh = |slot_index: &u32| {
            let slot = self.slots[*slot_index as usize].as_ref()?;
            let (received, load) = slot.load.as_ref()?;
            let is_fresh = now.since(*received) <= MAX_LOAD_AGE && load.is_usable;
            is_fresh.then(|| {
                (*slot_index, slot, load.backlog_tokens + slot.sent_tokens, load.tokens_per_second)
            })
        };
        let fresh: Vec<_> = index.candidates.iter().filter_map(fresh).collect();
        let count = fresh.len() as u64;
        let mean = fresh.iter().map(|(_, _, tokens, _)| tokens).sum::<u64>() / count.max(1);
        let bound = mean * AFFINITY_PERCENT / 100 + query.prompt_tokens;
        let holders: BTreeSet<u32> = self.prefixes.holders(query.prefixes).collect();
        let score = |slot_index: u32, slot: &EngineSlot, tokens: u64, rate: u32| {
            let has_affinity = holders.contains(&slot_index) && tokens <= bound;
            let cached = if has_affinity {
                self.prefixes.cached_tokens(slot_index, query.prefixes)
            } else {
                0
            };
            let work = tokens + query.prompt_tokens.saturating_sub(cached);
            let rate = if rate == 0 { DEFAULT_TOKENS_PER_SECOND } else { rate };
            work.saturating_mul(1_000_000) / u64::from(rate) + slot.distance_us
        };
        fresh
            .into_iter()
            .map(|(slot_index, slot, tokens, rate)| {
                (score(slot_index, slot, tokens, rate), slot_index)
            })
            .min()
            .map(|(_, slot_index)| slot_index)
    }

    /// Chooses between two random engines the one that this host recently sent less work. Engines
    /// of other regions are used only if none was found in this host's region.
    fn pick_without_loads(&mut self, model: &str) -> Option<u32> {
        let index = self.models.get(model)?;
        let is_available = |slot_index: &u32| {
            let Some(slot) = &self.slots[*slot_index as usize] else { return false };
            let is_usable = slot.load.as_ref().is_none_or(|(_, load)| load.is_usable);
            is_usable && self.owners.owner(&slot.name).is_some()
        };
        for list in [&index.same_region, &index.other_regions] {
            let drawn = (0..RANDOM_DRAWS * 4)
                .filter_map(|_| self.rng.choice(list.iter()))
                .filter(|slot_index| is_available(slot_index))
                .take(RANDOM_DRAWS);
            let sent = |slot_index: &u32| {
                self.slots[*slot_index as usize].as_ref().map(|slot| slot.sent_tokens)
            };
            if let Some(slot_index) = drawn.copied().min_by_key(sent) {
                return Some(slot_index);
            }
        }
        None
    }
}

/// Returns the short id of an engine in load messages: the low half of the hash of its name.
pub fn engine_id(name: &str) -> u32 {
    owner::name_hash(name) as u32
}

fn is_engine(server: &BackendServer) -> bool {
    matches!(server.role, BackendRole::Engine { .. })
}

/// Whether a backend server is configured as an engine that serves the model.
pub fn serves(server: &BackendServer, model: &str) -> bool {
    let BackendRole::Engine { models, .. } = &server.role else { return false };
    models.iter().any(|name| **name == *model)
}
