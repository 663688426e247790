//! Which host owns each engine, kept up to date by change instead of hashing every host for every
//! request.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    member::{MemberRecord, MemberTable},
    resource::BackendServer,
};

type Place = (Arc<str>, Arc<str>);

struct OwnerHost {
    hash: u64,
    capacity: u32,
    place: Place,
}

struct OwnedEngine {
    hash: u64,
    place: Place,
    owner: Option<(f64, Arc<str>)>,
}

/// The owner of each engine.
#[derive(Default)]
pub struct OwnerMap {
    version: Option<u64>,
    hosts: BTreeMap<Arc<str>, OwnerHost>,
    by_place: BTreeMap<Place, BTreeSet<Arc<str>>>,
    engines: BTreeMap<Arc<str>, OwnedEngine>,
    engines_at: BTreeMap<Place, BTreeSet<Arc<str>>>,
    owned: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    scores: u64,
}

impl OwnerMap {
    /// The name of the host that owns an engine.
    pub fn owner(&self, engine: &str) -> Option<&Arc<str>> {
        self.engines.get(engine)?.owner.as_ref().map(|(_, name)| name)
    }

    /// The engines that a host owns.
    pub fn owned_by(&self, host: &str) -> impl Iterator<Item = &Arc<str>> {
        self.owned.get(host).into_iter().flatten()
    }

    /// Hosts that own an engine.
    pub fn owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.owned.keys()
    }

    /// Scores computed so far, as a measure of work.
    pub fn score_count(&self) -> u64 {
        self.scores
    }

    /// Adds an engine or moves it to another place.
    pub fn put_engine(&mut self, name: &Arc<str>, server: &BackendServer) {
        let place = (server.region.clone(), server.failure_domain.clone());
        if self.engines.get(name).is_some_and(|engine| engine.place == place) {
            return;
        }
        self.remove_engine(name);
        self.engines_at.entry(place.clone()).or_default().insert(name.clone());
        let engine = OwnedEngine { hash: name_hash(name), place, owner: None };
        self.engines.insert(name.clone(), engine);
        self.choose(name);
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, name: &Arc<str>) {
        self.set_owner(name, None);
        if let Some(engine) = self.engines.remove(name) {
            remove_from(&mut self.engines_at, &engine.place, name);
        }
    }

    /// Follows membership. Only engines of hosts that went and of places where hosts came are
    /// looked at.
    pub fn update_hosts(&mut self, table: &MemberTable) {
        if self.version == Some(table.version()) {
            return;
        }
        self.version = Some(table.version());
        let serving: BTreeMap<_, _> =
            table.serving().map(|host| (host.name.clone(), host)).collect();
        let is_same = |known: &OwnerHost, host: &MemberRecord| {
            known.capacity == host.capacity && known.place == place_of(host)
        };
        let is_gone = |(name, known): &(&Arc<str>, &OwnerHost)| {
            serving.get(*name).is_none_or(|host| !is_same(known, host))
        };
        let gone: Vec<_> =
            self.hosts.iter().filter(is_gone).map(|(name, _)| name.clone()).collect();
        for name in gone {
            self.remove_host(&name);
        }
        for (name, host) in serving {
            if !self.hosts.contains_key(&name) {
                self.add_host(name, host);
            }
        }
    }

    fn remove_host(&mut self, name: &Arc<str>) {
        let Some(host) = self.hosts.remove(name) else { return };
        remove_from(&mut self.by_place, &host.place, name);
        for engine in self.owned.remove(name).unwrap_or_default() {
            self.choose(&engine);
        }
    }

    fn add_host(&mut self, name: Arc<str>, host: &MemberRecord) {
        let place = place_of(host);
        let is_first = !self.by_place.contains_key(&place);
        let entry =
            OwnerHost { hash: name_hash(&name), capacity: host.capacity, place: place.clone() };
        let (hash, capacity) = (entry.hash, entry.capacity);
        self.hosts.insert(name.clone(), entry);
        self.by_place.entry(place.clone()).or_default().insert(name.clone());
        let mut engines = Vec::new();
        for (other, names) in region_of(&self.engines_at, &place.0) {
            if *other == place || !self.by_place.contains_key(other) {
                engines.extend(names.iter().cloned());
            }
        }
        for engine in engines {
            if is_first && self.engines[&engine].place == place {
                self.choose(&engine);
                continue;
            }
            let known = &self.engines[&engine];
            let score = weighted_score(known.hash, hash, capacity);
            self.scores += 1;
            if known.owner.as_ref().is_none_or(|(best, owner)| (score, &name) > (*best, owner)) {
                self.set_owner(&engine, Some((score, name.clone())));
            }
        }
    }

    /// Chooses among all hosts of the engine's failure domain, or of its region.
    fn choose(&mut self, engine: &Arc<str>) {
        let known = &self.engines[engine];
        let mut scores = 0;
        let mut score = |name: &Arc<str>| {
            scores += 1;
            let host = &self.hosts[name];
            (weighted_score(known.hash, host.hash, host.capacity), name.clone())
        };
        let best = |scored: &(f64, Arc<str>), other: &(f64, Arc<str>)| {
            scored.0.total_cmp(&other.0).then_with(|| scored.1.cmp(&other.1))
        };
        let near = self.by_place.get(&known.place);
        let owner = match near {
            Some(names) => names.iter().map(&mut score).max_by(best),
            None => region_of(&self.by_place, &known.place.0)
                .flat_map(|(_, names)| names)
                .map(&mut score)
                .max_by(best),
        };
        self.scores += scores;
        self.set_owner(engine, owner);
    }

    fn set_owner(&mut self, engine: &Arc<str>, owner: Option<(f64, Arc<str>)>) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        if let Some((_, before)) = known.owner.take() {
            remove_from(&mut self.owned, &before, engine);
        }
        if let Some((_, name)) = &owner {
            self.owned.entry(name.clone()).or_default().insert(engine.clone());
        }
        known.owner = owner;
    }
}

fn place_of(host: &MemberRecord) -> Place {
    (host.region.clone(), host.failure_domain.clone())
}

fn region_of<'a>(
    places: &'a BTreeMap<Place, BTreeSet<Arc<str>>>,
    region: &'a Arc<str>,
) -> impl Iterator<Item = (&'a Place, &'a BTreeSet<Arc<str>>)> {
    let first: Place = (region.clone(), Arc::from(""));
    places.range(first..).take_while(move |((known, _), _)| known == region)
}

fn remove_from<K: Ord>(map: &mut BTreeMap<K, BTreeSet<Arc<str>>>, key: &K, name: &Arc<str>) {
    if let Some(names) = map.get_mut(key) {
        names.remove(name);
        if names.is_empty() {
            map.remove(key);
        }
    }
}

/// The host that owns an engine: the highest capacity-weighted rendezvous score among serving
/// hosts of the engine's failure domain, or of its region if that domain has none. Looks at every
/// host; [`OwnerMap`] gives the same answer from its cache.
pub fn engine_owner<'a>(
    table: &'a MemberTable,
    name: &str,
    server: &BackendServer,
) -> Option<&'a MemberRecord> {
    let in_region = |host: &&MemberRecord| host.region == server.region;
    let in_domain = |host: &&MemberRecord| host.failure_domain == server.failure_domain;
    highest(table.serving().filter(in_region).filter(in_domain), name)
        .or_else(|| highest(table.serving().filter(in_region), name))
}

fn highest<'a>(
    hosts: impl Iterator<Item = &'a MemberRecord>,
    name: &str,
) -> Option<&'a MemberRecord> {
    let hash = name_hash(name);
    hosts
        .map(|host| (weighted_score(hash, name_hash(&host.name), host.capacity), host))
        .max_by(|left, right| {
            left.0.total_cmp(&right.0).then_with(|| left.1.name.cmp(&right.1.name))
        })
        .map(|(_, host)| host)
}

/// Capacity-weighted rendezvous score of a host for a name.
pub fn rendezvous_score(name: &str, host: &MemberRecord) -> f64 {
    weighted_score(name_hash(name), name_hash(&host.name), host.capacity)
}

/// The hash of a name that scores are made of.
pub(super) fn name_hash(name: &str) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// -capacity / ln(u), with u in (0, 1) from both hashes. A seeded generator mixes them, as a
/// cryptographic hash of each pair costs ten times as much.
fn weighted_score(name: u64, host: u64, capacity: u32) -> f64 {
    let mixed = fastrand::Rng::with_seed(name ^ host.rotate_left(32)).u64(..);
    let unit = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(capacity.max(1)) / unit.ln()
}
