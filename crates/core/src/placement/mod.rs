//! Decides which engine serves a request and which host owns that engine.
//!
//! Owns the loads heard from a bounded sample of owners, a map of prompt prefixes, and the owner of
//! each engine. When load reports stop coming, the last ones are used with this host's own work
//! added, and after a while engines are chosen without them.

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

/// Age at which a load no longer counts; its owner is gone or the link is.
const LOAD_LIMIT: Duration = Duration::from_secs(3);
/// Work sent this long before a report arrives may be missing from it.
const REPORT_LAG: Duration = Duration::from_millis(50);
/// Rate of an engine that was never measured, in tokens a second.
const DEFAULT_RATE: u32 = 10_000;
/// Two crossings to another failure domain of the region, in microseconds.
const DOMAIN_COST_US: u64 = 2_500;
/// Two crossings to another region, in microseconds.
const REGION_COST_US: u64 = 120_000;
/// Affinity counts while an engine has at most this many hundredths of the mean load.
const AFFINITY_PERCENT: u64 = 125;
/// Engines drawn when no load is known.
const BLIND_DRAWS: usize = 2;

struct EngineSlot {
    name: Arc<str>,
    server: BackendServer,
    distance_us: u64,
    load: Option<(Time, EngineLoad)>,
    /// Tokens of work that this host sent lately and that the load may not include.
    sent: VecDeque<(Time, u64)>,
    sent_tokens: u64,
}

impl EngineSlot {
    /// Drops own work that was sent longer ago than `age`.
    fn forget_sent(&mut self, now: Time, age: Duration) {
        while let Some((since, tokens)) = self.sent.front()
            && now.since(*since) > age
        {
            self.sent_tokens -= tokens;
            self.sent.pop_front();
        }
    }
}

/// Engines of one model: in this host's region, and elsewhere.
#[derive(Default)]
struct ModelIndex {
    near: Vec<u32>,
    far: Vec<u32>,
    /// Engines of subscribed owners.
    candidates: Vec<u32>,
}

/// The choice for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PickedEngine {
    /// Engine.
    pub engine: Arc<str>,
    /// Host that owns it.
    pub owner: Arc<str>,
}

/// Chooses engines.
pub struct EnginePicker {
    region: Arc<str>,
    domain: Arc<str>,
    slots: Vec<Option<EngineSlot>>,
    by_name: BTreeMap<Arc<str>, u32>,
    by_id: BTreeMap<u32, u32>,
    models: BTreeMap<Arc<str>, ModelIndex>,
    owners: OwnerMap,
    prefixes: PrefixMap,
    sample: LoadSample,
    rng: fastrand::Rng,
}

impl EnginePicker {
    /// A picker for a host at a place.
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

    /// Who owns which engine.
    pub fn owners(&self) -> &OwnerMap {
        &self.owners
    }

    /// Owners whose load this host asks for.
    pub fn sampled_owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.sample.owners()
    }

    /// Fresh loads of the engines of subscribed owners.
    pub fn fresh_loads(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &EngineLoad)> {
        let candidates = self.models.values().flat_map(|index| &index.candidates);
        candidates.filter_map(move |at| {
            let slot = self.slots[*at as usize].as_ref()?;
            let (heard, load) = slot.load.as_ref()?;
            (now.since(*heard) <= LOAD_LIMIT).then_some((&slot.name, load))
        })
    }

    /// Follows membership.
    pub fn update_hosts(&mut self, table: &MemberTable) {
        self.owners.update_hosts(table);
        self.sample.retain(|owner| self.owners.owned_by(owner).next().is_some());
        self.index_candidates();
    }

    /// Follows the configuration.
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
            self.remove(&name);
        }
        for (name, server) in set.servers.iter().filter(|(_, server)| is_engine(server)) {
            let slot = self.by_name.get(name).and_then(|at| self.slots[*at as usize].as_ref());
            if slot.is_some_and(|slot| slot.server == *server) {
                continue;
            }
            is_changed = true;
            self.put(name, server);
        }
        if is_changed {
            self.index_models();
            self.index_candidates();
        }
    }

    fn put(&mut self, name: &Arc<str>, server: &BackendServer) {
        self.owners.put_engine(name, server);
        let distance_us = match server {
            _ if server.region != self.region => REGION_COST_US,
            _ if server.failure_domain != self.domain => DOMAIN_COST_US,
            _ => 0,
        };
        if let Some(at) = self.by_name.get(name) {
            let slot = self.slots[*at as usize].as_mut().expect("named slots are taken");
            (slot.server, slot.distance_us) = (server.clone(), distance_us);
            return;
        }
        let at = u32::try_from(self.slots.len()).expect("fewer than 2^32 engines");
        self.by_name.insert(name.clone(), at);
        self.by_id.insert(engine_id(name), at);
        self.slots.push(Some(EngineSlot {
            name: name.clone(),
            server: server.clone(),
            distance_us,
            load: None,
            sent: VecDeque::new(),
            sent_tokens: 0,
        }));
    }

    fn remove(&mut self, name: &Arc<str>) {
        self.owners.remove_engine(name);
        if let Some(at) = self.by_name.remove(name) {
            self.by_id.remove(&engine_id(name));
            self.slots[at as usize] = None;
        }
    }

    fn index_models(&mut self) {
        self.models.clear();
        for (at, slot) in self.slots.iter().enumerate() {
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
                let is_near = slot.server.region == self.region;
                if is_near { &mut index.near } else { &mut index.far }.push(at as u32);
            }
        }
    }

    fn index_candidates(&mut self) {
        for index in self.models.values_mut() {
            index.candidates.clear();
        }
        let engines = self.sample.owners().flat_map(|owner| self.owners.owned_by(owner));
        for name in engines {
            let Some(at) = self.by_name.get(name) else { continue };
            let Some(slot) = &self.slots[*at as usize] else { continue };
            let BackendRole::Engine { models, .. } = &slot.server.role else { continue };
            if slot.server.leaving {
                continue;
            }
            for model in models {
                if let Some(index) = self.models.get_mut(model) {
                    index.candidates.push(*at);
                }
            }
        }
    }

    /// Advances the picker.
    pub fn step(&mut self, now: Time, input: PlacementInput) -> Vec<PlacementOutput> {
        match input {
            PlacementInput::Tick => return self.tick(now),
            PlacementInput::Load(push) => self.take_load(now, push),
            PlacementInput::Served { engine, prefixes } => {
                if let Some(at) = self.by_name.get(&engine) {
                    self.prefixes.learn(*at, &prefixes);
                }
            }
            PlacementInput::Cache { engine, event } => {
                if let Some(at) = self.by_name.get(&engine) {
                    self.prefixes.apply(*at, &event);
                }
            }
        }
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<PlacementOutput> {
        if self.sample.tick(now, &self.models, &mut self.rng, |at| {
            let slot = self.slots[at as usize].as_ref()?;
            self.owners.owner(&slot.name).cloned()
        }) {
            self.index_candidates();
        }
        let due = self.sample.due(now);
        due.into_iter().map(|owner| PlacementOutput::Subscribe { owner }).collect()
    }

    fn take_load(&mut self, now: Time, push: LoadPush) {
        for load in push.engines {
            let Some(at) = self.by_id.get(&load.engine) else { continue };
            let slot = self.slots[*at as usize].as_mut().expect("named slots are taken");
            // A former owner may still report; only the owner's word counts.
            if self.owners.owner(&slot.name) != Some(&push.owner) {
                continue;
            }
            slot.forget_sent(now, REPORT_LAG);
            slot.load = Some((now, load));
        }
    }

    /// Chooses an engine for a request and counts the request as sent to it.
    pub fn pick(&mut self, now: Time, query: &PickQuery<'_>) -> Option<PickedEngine> {
        let at = self.best(now, query).or_else(|| self.blind(query.model))?;
        let slot = self.slots[at as usize].as_mut().expect("indexed slots are taken");
        let tokens = query.prompt_tokens + query.max_tokens;
        slot.forget_sent(now, LOAD_LIMIT);
        slot.sent.push_back((now, tokens));
        slot.sent_tokens += tokens;
        let owner = self.owners.owner(&slot.name)?.clone();
        Some(PickedEngine { engine: slot.name.clone(), owner })
    }

    fn best(&self, now: Time, query: &PickQuery<'_>) -> Option<u32> {
        let index = self.models.get(query.model)?;
        let known = |at: &u32| {
            let slot = self.slots[*at as usize].as_ref()?;
            let (heard, load) = slot.load.as_ref()?;
            let is_fresh = now.since(*heard) <= LOAD_LIMIT && load.is_usable;
            is_fresh.then(|| {
                (*at, slot, load.backlog_tokens + slot.sent_tokens, load.tokens_per_second)
            })
        };
        let known: Vec<_> = index.candidates.iter().filter_map(known).collect();
        let count = known.len() as u64;
        let mean = known.iter().map(|(_, _, tokens, _)| tokens).sum::<u64>() / count.max(1);
        let bound = mean * AFFINITY_PERCENT / 100 + query.prompt_tokens;
        let holders: BTreeSet<u32> = self.prefixes.holders(query.prefixes).collect();
        let score = |at: u32, slot: &EngineSlot, tokens: u64, rate: u32| {
            let has_affinity = holders.contains(&at) && tokens <= bound;
            let hit = if has_affinity { self.prefixes.hit(at, query.prefixes) } else { 0 };
            let work = tokens + query.prompt_tokens.saturating_sub(hit);
            let rate = if rate == 0 { DEFAULT_RATE } else { rate };
            work.saturating_mul(1_000_000) / u64::from(rate) + slot.distance_us
        };
        known
            .into_iter()
            .map(|(at, slot, tokens, rate)| (score(at, slot, tokens, rate), at))
            .min()
            .map(|(_, at)| at)
    }

    /// Chooses without any load: the less used by this host of two random engines of the region.
    fn blind(&mut self, model: &str) -> Option<u32> {
        let index = self.models.get(model)?;
        let may_serve = |at: &u32| {
            let Some(slot) = &self.slots[*at as usize] else { return false };
            let is_usable = slot.load.as_ref().is_none_or(|(_, load)| load.is_usable);
            is_usable && self.owners.owner(&slot.name).is_some()
        };
        for list in [&index.near, &index.far] {
            let drawn = (0..BLIND_DRAWS * 4)
                .filter_map(|_| self.rng.choice(list.iter()))
                .filter(|at| may_serve(at))
                .take(BLIND_DRAWS);
            let sent = |at: &u32| self.slots[*at as usize].as_ref().map(|slot| slot.sent_tokens);
            if let Some(at) = drawn.copied().min_by_key(sent) {
                return Some(at);
            }
        }
        None
    }
}

/// The short id of an engine in load messages.
pub fn engine_id(name: &str) -> u32 {
    owner::name_hash(name) as u32
}

fn is_engine(server: &BackendServer) -> bool {
    matches!(server.role, BackendRole::Engine { .. })
}

/// Whether a backend server is an engine that serves the model.
pub fn serves(server: &BackendServer, model: &str) -> bool {
    let BackendRole::Engine { models, .. } = &server.role else { return false };
    models.iter().any(|name| **name == *model)
}
