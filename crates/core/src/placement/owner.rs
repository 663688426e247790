//! The host that owns each engine, by weighted rendezvous hashing. Owners are cached and updated
//! incrementally instead of hashing every host for every request.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    member::{MemberRecord, MemberTable},
    resource::BackendServer,
};

/// Region and failure domain.
type DomainKey = (Arc<str>, Arc<str>);

struct OwnerHost {
    hash: u64,
    capacity: u32,
    domain: DomainKey,
}

struct OwnedEngine {
    hash: u64,
    domain: DomainKey,
    /// Highest score and the name of its host.
    owner: Option<(f64, Arc<str>)>,
}

/// Cached owner of each engine.
#[derive(Default)]
pub struct OwnerMap {
    /// Version of the member table at the last update.
    version: Option<u64>,
    hosts: BTreeMap<Arc<str>, OwnerHost>,
    hosts_by_domain: BTreeMap<DomainKey, BTreeSet<Arc<str>>>,
    engines: BTreeMap<Arc<str>, OwnedEngine>,
    engines_by_domain: BTreeMap<DomainKey, BTreeSet<Arc<str>>>,
    /// Engines by owner; hosts that own none are left out.
    owned: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    score_count: u64,
}

impl OwnerMap {
    /// Returns the name of the host that owns an engine, or `None` if the engine is unknown or its
    /// region has no serving host.
    pub fn owner(&self, engine: &str) -> Option<&Arc<str>> {
        self.engines.get(engine)?.owner.as_ref().map(|(_, name)| name)
    }

    /// Returns the names of the engines that a host owns.
    pub fn owned_by(&self, host: &str) -> impl Iterator<Item = &Arc<str>> {
        self.owned.get(host).into_iter().flatten()
    }

    /// Returns the names of the hosts that own at least one engine.
    pub fn owners(&self) -> impl Iterator<Item = &Arc<str>> {
        self.owned.keys()
    }

    /// Returns the number of scores computed so far. Tests and measurements use it as the amount of
    /// work.
    pub fn score_count(&self) -> u64 {
        self.score_count
    }

    /// Adds an engine, or moves it if its region or failure domain changed.
    pub fn put_engine(&mut self, name: &Arc<str>, server: &BackendServer) {
        let domain = (server.region.clone(), server.failure_domain.clone());
        if self.engines.get(name).is_some_and(|engine| engine.domain == domain) {
            return;
        }
        self.remove_engine(name);
        self.engines_by_domain.entry(domain.clone()).or_default().insert(name.clone());
        let engine = OwnedEngine { hash: name_hash(name), domain, owner: None };
        self.engines.insert(name.clone(), engine);
        self.assign_owner(name);
    }

    /// Removes an engine; unknown names are ignored.
    pub fn remove_engine(&mut self, name: &Arc<str>) {
        self.set_owner(name, None);
        if let Some(engine) = self.engines.remove(name) {
            remove_from(&mut self.engines_by_domain, &engine.domain, name);
        }
    }

    /// Updates the owners after membership changed. Only engines of hosts that left and of regions
    /// that hosts joined are examined.
    pub fn update_hosts(&mut self, table: &MemberTable) {
        if self.version == Some(table.version()) {
            return;
        }
        self.version = Some(table.version());
        let serving: BTreeMap<_, _> =
            table.serving().map(|host| (host.name.clone(), host)).collect();
        let is_same = |current: &OwnerHost, host: &MemberRecord| {
            current.capacity == host.capacity && current.domain == domain_of(host)
        };
        let is_gone = |(name, current): &(&Arc<str>, &OwnerHost)| {
            serving.get(*name).is_none_or(|host| !is_same(current, host))
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
        remove_from(&mut self.hosts_by_domain, &host.domain, name);
        for engine in self.owned.remove(name).unwrap_or_default() {
            self.assign_owner(&engine);
        }
    }

    fn add_host(&mut self, name: Arc<str>, host: &MemberRecord) {
        let domain = domain_of(host);
        let is_first_host = !self.hosts_by_domain.contains_key(&domain);
        let owner_host =
            OwnerHost { hash: name_hash(&name), capacity: host.capacity, domain: domain.clone() };
        let (hash, capacity) = (owner_host.hash, owner_host.capacity);
        self.hosts.insert(name.clone(), owner_host);
        self.hosts_by_domain.entry(domain.clone()).or_default().insert(name.clone());
        let mut engines = Vec::new();
        for (other, names) in domains_in_region(&self.engines_by_domain, &domain.0) {
            if *other == domain || !self.hosts_by_domain.contains_key(other) {
                engines.extend(names.iter().cloned());
            }
        }
        for engine in engines {
            if is_first_host && self.engines[&engine].domain == domain {
                self.assign_owner(&engine);
                continue;
            }
            let owned = &self.engines[&engine];
            let score = weighted_score(owned.hash, hash, capacity);
            self.score_count += 1;
            if owned.owner.as_ref().is_none_or(|(best, owner)| (score, &name) > (*best, owner)) {
                self.set_owner(&engine, Some((score, name.clone())));
            }
        }
    }

    /// Assigns an engine to the highest-scoring host of its failure domain, or of its region if the
    /// domain has no host.
    fn assign_owner(&mut self, engine: &Arc<str>) {
        let owned = &self.engines[engine];
        let mut score_count = 0;
        let mut score = |name: &Arc<str>| {
            score_count += 1;
            let host = &self.hosts[name];
            (weighted_score(owned.hash, host.hash, host.capacity), name.clone())
        };
        let best = |scored: &(f64, Arc<str>), other: &(f64, Arc<str>)| {
            scored.0.total_cmp(&other.0).then_with(|| scored.1.cmp(&other.1))
        };
        let same_domain = self.hosts_by_domain.get(&owned.domain);
        let owner = match same_domain {
            Some(names) => names.iter().map(&mut score).max_by(best),
            None => domains_in_region(&self.hosts_by_domain, &owned.domain.0)
                .flat_map(|(_, names)| names)
                .map(&mut score)
                .max_by(best),
        };
        self.score_count += score_count;
        self.set_owner(engine, owner);
    }

    fn set_owner(&mut self, engine: &Arc<str>, owner: Option<(f64, Arc<str>)>) {
        let Some(owned) = self.engines.get_mut(engine) else { return };
        if let Some((_, former)) = owned.owner.take() {
            remove_from(&mut self.owned, &former, engine);
        }
        if let Some((_, name)) = &owner {
            self.owned.entry(name.clone()).or_default().insert(engine.clone());
        }
        owned.owner = owner;
    }
}

fn domain_of(host: &MemberRecord) -> DomainKey {
    (host.region.clone(), host.failure_domain.clone())
}

fn domains_in_region<'a>(
    domains: &'a BTreeMap<DomainKey, BTreeSet<Arc<str>>>,
    region: &'a Arc<str>,
) -> impl Iterator<Item = (&'a DomainKey, &'a BTreeSet<Arc<str>>)> {
    let first: DomainKey = (region.clone(), Arc::from(""));
    domains.range(first..).take_while(move |((domain_region, _), _)| domain_region == region)
}

fn remove_from<K: Ord>(map: &mut BTreeMap<K, BTreeSet<Arc<str>>>, key: &K, name: &Arc<str>) {
    if let Some(names) = map.get_mut(key) {
        names.remove(name);
        if names.is_empty() {
            map.remove(key);
        }
    }
}

/// Returns the host that owns an engine: the one with the highest capacity-weighted rendezvous
/// score among serving hosts of the engine's failure domain, or of its region if that domain has
/// none. Scans every host; [`OwnerMap`] returns the same host from its cache.
pub fn engine_owner<'a>(
    table: &'a MemberTable,
    name: &str,
    server: &BackendServer,
) -> Option<&'a MemberRecord> {
    let in_region = |host: &&MemberRecord| host.region == server.region;
    let in_domain = |host: &&MemberRecord| host.failure_domain == server.failure_domain;
    highest_scoring(table.serving().filter(in_region).filter(in_domain), name)
        .or_else(|| highest_scoring(table.serving().filter(in_region), name))
}

fn highest_scoring<'a>(
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

/// Returns the capacity-weighted rendezvous score of a host for a name. The host with the highest
/// score wins.
pub fn rendezvous_score(name: &str, host: &MemberRecord) -> f64 {
    weighted_score(name_hash(name), name_hash(&host.name), host.capacity)
}

/// Returns the hash of an engine or host name that scores are computed from: the first 8 bytes of
/// its BLAKE3 hash, little endian.
pub(super) fn name_hash(name: &str) -> u64 {
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first_bytes)
}

/// Returns `-capacity / ln(u)`, where `u` in (0, 1) is derived from both hashes. A seeded generator
/// mixes them, because a cryptographic hash of each pair costs ten times as much.
fn weighted_score(name: u64, host: u64, capacity: u32) -> f64 {
    let mixed = fastrand::Rng::with_seed(name ^ host.rotate_left(32)).u64(..);
    let unit = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(capacity.max(1)) / unit.ln()
}
