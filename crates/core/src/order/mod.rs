//! Decides which orders engines get: which models to load and to give up.
//!
//! Reconciles what the configuration wants with what engines report. Engines are split into shards,
//! each with a lease in the key-value service whose creation revision is the fencing number. Owns
//! the leases of this host and what is known of its shards' engines. When the service stops
//! answering, no orders are sent and engines keep what they have.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    config::watchers,
    member::{MemberRecord, MemberTable},
    placement::{engine_id, rendezvous_score},
    resource::{BackendRole, ResourceSet},
    time::Time,
};

mod message;
#[cfg(test)]
mod tests;

pub use message::{
    DesiredEngine, OrderAction, OrderInput, OrderOutput, OrderResult, RoleOrder, ShardKey,
};

/// Number of shards, and so of lease holders, at any number of hosts.
pub const SHARD_COUNT: u8 = 8;
/// Term of a shard's lease.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// Time between renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);
/// Time within which an order arrives or is given up.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a wish to unload must hold.
const HOLD_TIME: Duration = Duration::from_secs(60);
/// Time after which an order that did not show in a report is sent again. A load takes minutes, and
/// engines take a repeated order as the same one.
const REPEAT_AFTER: Duration = Duration::from_secs(30);
/// Loads that may start at once after a quiet time.
const MAX_SAVED_LOADS: f64 = 2.0;

struct ShardLease {
    fencing: u64,
    /// End of the term, counted from before the last call was sent.
    valid_until: Time,
    /// From then on, orders of earlier holders have arrived or were given up.
    settled: Time,
    next_renewal: Time,
    saved_loads: f64,
    /// Whether the configuration was read after the lease was granted.
    is_current: bool,
}

#[derive(Default)]
struct EngineView {
    observed: Option<BTreeSet<Arc<str>>>,
    /// Models that it has and should not have, since when.
    unwanted: BTreeMap<Arc<str>, Time>,
    open: Option<(Time, OrderAction)>,
}

/// Sends orders for the shards that this host holds.
#[derive(Default)]
pub struct OrderKeeper {
    duty: BTreeSet<ShardKey>,
    leases: BTreeMap<ShardKey, ShardLease>,
    next_try: BTreeMap<ShardKey, Time>,
    desired: BTreeMap<Arc<str>, DesiredEngine>,
    views: BTreeMap<Arc<str>, EngineView>,
    store_rate: f64,
    last_tick: Time,
}

impl OrderKeeper {
    /// Whether this host holds a shard's lease at a time.
    pub fn holds(&self, now: Time, shard: ShardKey) -> bool {
        self.leases.get(&shard).is_some_and(|lease| now < lease.valid_until)
    }

    /// Engines whose reports are needed: those of the shards that this host holds.
    pub fn watched_engines(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        self.desired.keys().filter(move |engine| self.holds(now, shard_of(engine)))
    }

    /// Advances the keeper.
    pub fn step(&mut self, now: Time, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        match input {
            OrderInput::Tick => self.tick(now, &mut outputs),
            OrderInput::ShardsAssigned(duty) => self.duty = duty,
            OrderInput::Leased { shard, fencing, sent } => {
                self.leased(shard, fencing, sent);
                outputs.extend(self.read_config(shard));
            }
            OrderInput::ConfigRead { shard, fencing } => {
                let lease = self.leases.get_mut(&shard);
                if let Some(lease) = lease.filter(|lease| lease.fencing == fencing) {
                    lease.is_current = true;
                }
            }
            OrderInput::LeaseLost(shard) => drop(self.leases.remove(&shard)),
            OrderInput::Desired(desired) => {
                self.views.retain(|engine, _| desired.contains_key(engine));
                self.desired = desired;
            }
            OrderInput::Observed { engine, models } => self.observe(now, engine, models),
            OrderInput::Answered { engine, fencing, result } => {
                self.answered(&engine, fencing, result);
            }
            OrderInput::LoadRate(rate) => self.store_rate = rate,
        }
        outputs
    }

    fn leased(&mut self, shard: ShardKey, fencing: u64, sent: Time) {
        let valid_until = sent + LEASE_TERM;
        match self.leases.get_mut(&shard) {
            Some(lease) if lease.fencing == fencing => {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
            _ => {
                let lease = ShardLease {
                    fencing,
                    valid_until,
                    settled: sent + LEASE_TERM + ORDER_TIMEOUT,
                    next_renewal: sent + RENEW_PERIOD,
                    saved_loads: 0.0,
                    is_current: false,
                };
                self.leases.insert(shard, lease);
                // What an earlier term saw or sent may have been changed by another holder.
                self.views.retain(|engine, _| shard_of(engine) != shard);
            }
        }
    }

    /// Asks for the configuration until it was read once in the lease's term.
    fn read_config(&self, shard: ShardKey) -> Option<OrderOutput> {
        let lease = self.leases.get(&shard).filter(|lease| !lease.is_current)?;
        Some(OrderOutput::ReadConfig { shard, fencing: lease.fencing })
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<OrderOutput>) {
        let passed = now.since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        self.leases.retain(|_, lease| now < lease.valid_until);
        for shard in (0..SHARD_COUNT).map(ShardKey) {
            let is_duty = self.duty.contains(&shard);
            let Some(lease) = self.leases.get_mut(&shard) else {
                let next = self.next_try.entry(shard).or_default();
                if is_duty && *next <= now {
                    *next = now + RENEW_PERIOD;
                    outputs.push(OrderOutput::Acquire(shard));
                }
                continue;
            };
            if !is_duty {
                self.leases.remove(&shard);
                outputs.push(OrderOutput::Release(shard));
                continue;
            }
            let share = self.store_rate / f64::from(SHARD_COUNT) * passed;
            lease.saved_loads = (lease.saved_loads + share).min(MAX_SAVED_LOADS);
            if lease.next_renewal <= now {
                lease.next_renewal = now + RENEW_PERIOD;
                outputs.push(OrderOutput::Renew(shard));
            }
        }
        self.reconcile(now, outputs);
    }

    fn observe(&mut self, now: Time, engine: Arc<str>, models: BTreeSet<Arc<str>>) {
        let Some(desired) = self.desired.get(&engine) else { return };
        let view = self.views.entry(engine).or_default();
        let is_unwanted = |model: &&Arc<str>| {
            !desired.models.contains(*model) && !desired.unmanaged.contains(*model)
        };
        let unwanted: BTreeSet<_> = models.iter().filter(is_unwanted).cloned().collect();
        view.unwanted.retain(|model, _| unwanted.contains(model));
        for model in unwanted {
            view.unwanted.entry(model).or_insert(now);
        }
        let is_done = view.open.as_ref().is_some_and(|(_, action)| match action {
            OrderAction::Load(model) => models.contains(model),
            OrderAction::Unload(model) => !models.contains(model),
        });
        if is_done {
            view.open = None;
        }
        view.observed = Some(models);
    }

    fn answered(&mut self, engine: &Arc<str>, fencing: u64, result: OrderResult) {
        let shard = shard_of(engine);
        if self.leases.get(&shard).is_none_or(|lease| lease.fencing != fencing) {
            return;
        }
        match result {
            OrderResult::Taken => {}
            // Another host holds the lease, whatever this host's clock says.
            OrderResult::Fenced => drop(self.leases.remove(&shard)),
            OrderResult::Failed => {
                if let Some(view) = self.views.get_mut(engine) {
                    view.open = None;
                }
            }
        }
    }

    fn reconcile(&mut self, now: Time, outputs: &mut Vec<OrderOutput>) {
        let mut unloading = self.unloading(now);
        for (engine, desired) in &self.desired {
            let shard = shard_of(engine);
            let Some(lease) = self.leases.get_mut(&shard) else { continue };
            let Some(latest) = lease.latest_send(now, desired.checks_fencing) else { continue };
            let Some(view) = self.views.get_mut(engine) else { continue };
            let Some(observed) = &view.observed else { continue };
            if view.open.as_ref().is_some_and(|(sent, _)| now.since(*sent) < REPEAT_AFTER) {
                continue;
            }
            let missing = desired.models.iter().find(|model| !observed.contains(*model));
            let action = match missing {
                Some(model) if lease.saved_loads >= 1.0 => {
                    lease.saved_loads -= 1.0;
                    OrderAction::Load(model.clone())
                }
                Some(_) => continue,
                None => {
                    let is_due = |(model, since): &(&Arc<str>, &Time)| {
                        now.since(**since) >= HOLD_TIME && !unloading.contains(*model)
                    };
                    let Some((model, _)) = view.unwanted.iter().find(is_due) else { continue };
                    unloading.insert(model.clone());
                    OrderAction::Unload(model.clone())
                }
            };
            view.open = Some((now, action.clone()));
            let order = RoleOrder { engine: engine.clone(), fencing: lease.fencing, action };
            outputs.push(OrderOutput::Send { order, latest, timeout: ORDER_TIMEOUT });
        }
    }

    /// Models that must not be unloaded now: an engine is giving them up already, or an engine that
    /// should have them does not report them yet.
    fn unloading(&self, now: Time) -> BTreeSet<Arc<str>> {
        let mut models = BTreeSet::new();
        for (engine, desired) in &self.desired {
            let view = self.views.get(engine);
            if let Some((sent, OrderAction::Unload(model))) =
                view.and_then(|view| view.open.as_ref())
                && now.since(*sent) < REPEAT_AFTER
            {
                models.insert(model.clone());
            }
            let Some(observed) = view.and_then(|view| view.observed.as_ref()) else { continue };
            models.extend(desired.models.difference(observed).cloned());
        }
        models
    }
}

impl ShardLease {
    /// The latest time at which an order may go out, or none if none may now.
    fn latest_send(&self, now: Time, checks_fencing: bool) -> Option<Time> {
        let latest = self.valid_until - ORDER_TIMEOUT;
        let is_settled = checks_fencing || self.settled <= now;
        (is_settled && self.is_current && now <= latest).then_some(latest)
    }
}

/// The shard of an engine.
pub fn shard_of(engine: &str) -> ShardKey {
    ShardKey((engine_id(engine) % u32::from(SHARD_COUNT)) as u8)
}

/// The key of a shard's lease in the key-value service.
pub fn shard_lease_key(shard: ShardKey) -> String {
    format!("order/{}", shard.0)
}

/// The shards for which this host comes first in rendezvous order among hosts that do not watch the
/// key-value service, as both duties together take more than 17 KB/s. Where all hosts watch, among
/// all.
pub fn assigned_shards(table: &MemberTable) -> BTreeSet<ShardKey> {
    let watchers = watchers(table);
    let all: Vec<_> = table.serving().collect();
    let mut hosts = all.clone();
    hosts.retain(|host| !watchers.contains(&host.name));
    if hosts.is_empty() {
        hosts = all;
    }
    let is_first = |shard: &ShardKey| {
        let name = shard_lease_key(*shard);
        let score = |host: &MemberRecord| rendezvous_score(&name, host);
        let first = hosts.iter().max_by(|left, right| score(left).total_cmp(&score(right)));
        first.is_some_and(|host| host.name == table.local().name)
    };
    (0..SHARD_COUNT).map(ShardKey).filter(is_first).collect()
}

/// What the configuration wants of each engine. A model with a number of replicas goes to that many
/// of the engines that can serve it, by a hash, so that a change of one engine moves little.
pub fn desired_engines(set: &ResourceSet) -> BTreeMap<Arc<str>, DesiredEngine> {
    let mut engines = BTreeMap::new();
    let mut able: BTreeMap<&Arc<str>, Vec<(u64, &Arc<str>)>> = BTreeMap::new();
    for (name, server) in &set.servers {
        let BackendRole::Engine { models, .. } = &server.role else { continue };
        let mut unmanaged = BTreeSet::new();
        for model in models {
            let replicas = set.models.get(model).and_then(|model| model.replicas);
            if replicas.is_none() {
                unmanaged.insert(model.clone());
            } else if !server.leaving {
                let mix = u64::from(engine_id(name)) << 32 | u64::from(engine_id(model));
                let rank = fastrand::Rng::with_seed(mix).u64(..);
                able.entry(model).or_default().push((rank, name));
            }
        }
        let desired = DesiredEngine {
            models: BTreeSet::new(),
            unmanaged,
            checks_fencing: server.checks_fencing,
        };
        engines.insert(name.clone(), desired);
    }
    for (model, mut names) in able {
        let replicas = set.models[model].replicas.unwrap_or(0) as usize;
        names.sort();
        for (_, name) in names.into_iter().take(replicas) {
            engines.get_mut(name).expect("inserted above").models.insert(model.clone());
        }
    }
    engines
}
