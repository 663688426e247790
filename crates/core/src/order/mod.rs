//! Decides which models engines are ordered to load and unload.
//!
//! Reconciles the desired state in the configuration with the state that engines report. Engines
//! are split into shards. The host that holds a shard's lease in the key-value service sends its
//! orders, with the creation revision of the lease's key as fencing number. Owns the leases of this
//! host and the last reports of the engines in its shards. When the key-value service stops
//! answering, no orders are sent and engines keep their models.

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

/// Number of shards, and so the most hosts that hold a lease, however many hosts there are.
pub const SHARD_COUNT: u8 = 8;
/// Term of a shard's lease, counted from the request that granted or renewed it.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// Interval between renewals of a lease, and between attempts to acquire one.
pub const RENEW_PERIOD: Duration = Duration::from_secs(3);
/// Timeout of an order. After it, an order has reached its engine or never will.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a model must be unwanted on an engine before it is unloaded.
const UNLOAD_DELAY: Duration = Duration::from_secs(60);
/// How long an order may be without effect in reports before it is sent again. A load takes
/// minutes, but repeating the order is harmless, as orders are idempotent.
const RESEND_AFTER: Duration = Duration::from_secs(30);
/// Capacity of a shard's token bucket: the most loads that may start at once.
const LOAD_BURST: f64 = 2.0;

struct ShardLease {
    /// Creation revision of the lease's key.
    fencing: u64,
    /// End of the term, counted from when the last successful request was sent.
    valid_until: Time,
    /// When all orders of earlier holders have arrived or timed out.
    settled_at: Time,
    next_renewal: Time,
    /// Token bucket that limits loads; a load takes one token.
    load_tokens: f64,
    /// Whether the configuration was read since the lease was granted.
    is_current: bool,
}

/// State of an engine as seen by the holder of its shard.
#[derive(Default)]
struct EngineView {
    /// Models in the last report, or none before the first one.
    observed: Option<BTreeSet<Arc<str>>>,
    /// Loaded models that the configuration does not want there, and since when.
    unwanted: BTreeMap<Arc<str>, Time>,
    /// Last order and when it was sent, until a report shows its effect.
    pending: Option<(Time, OrderAction)>,
}

/// Reconciles the engines of the shards whose leases this host holds.
#[derive(Default)]
pub struct OrderKeeper {
    /// Shards assigned to this host, whether or not it holds their leases yet.
    assigned: BTreeSet<ShardKey>,
    leases: BTreeMap<ShardKey, ShardLease>,
    /// When to try again to acquire a lease.
    next_acquire: BTreeMap<ShardKey, Time>,
    desired: BTreeMap<Arc<str>, DesiredEngine>,
    views: BTreeMap<Arc<str>, EngineView>,
    /// Loads per second that the weight store allows, over all shards.
    load_rate: f64,
    last_tick: Time,
}

impl OrderKeeper {
    /// Whether this host holds a shard's lease.
    pub fn holds(&self, now: Time, shard: ShardKey) -> bool {
        self.leases.get(&shard).is_some_and(|lease| now < lease.valid_until)
    }

    /// Engines whose reports are needed: those in the shards whose leases this host holds.
    pub fn watched_engines(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        self.desired.keys().filter(move |engine| self.holds(now, shard_of(engine)))
    }

    /// Applies one input and returns the resulting outputs.
    pub fn step(&mut self, now: Time, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        match input {
            OrderInput::Tick => self.tick(now, &mut outputs),
            OrderInput::ShardsAssigned(shards) => self.assigned = shards,
            OrderInput::Leased { shard, fencing, sent } => {
                self.lease_granted(shard, fencing, sent);
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
                self.order_answered(&engine, fencing, result);
            }
            OrderInput::LoadRate(rate) => self.load_rate = rate,
        }
        outputs
    }

    fn lease_granted(&mut self, shard: ShardKey, fencing: u64, sent: Time) {
        let valid_until = sent + LEASE_TERM;
        match self.leases.get_mut(&shard) {
            Some(lease) if lease.fencing == fencing => {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
            _ => {
                let lease = ShardLease {
                    fencing,
                    valid_until,
                    settled_at: sent + LEASE_TERM + ORDER_TIMEOUT,
                    next_renewal: sent + RENEW_PERIOD,
                    load_tokens: 0.0,
                    is_current: false,
                };
                self.leases.insert(shard, lease);
                // Another holder may have changed the engines since an earlier term.
                self.views.retain(|engine, _| shard_of(engine) != shard);
            }
        }
    }

    /// Requests the configuration unless it was read since the lease was granted.
    fn read_config(&self, shard: ShardKey) -> Option<OrderOutput> {
        let lease = self.leases.get(&shard).filter(|lease| !lease.is_current)?;
        Some(OrderOutput::ReadConfig { shard, fencing: lease.fencing })
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<OrderOutput>) {
        let elapsed = now.since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        self.leases.retain(|_, lease| now < lease.valid_until);
        for shard in (0..SHARD_COUNT).map(ShardKey) {
            let is_assigned = self.assigned.contains(&shard);
            let Some(lease) = self.leases.get_mut(&shard) else {
                let next = self.next_acquire.entry(shard).or_default();
                if is_assigned && *next <= now {
                    *next = now + RENEW_PERIOD;
                    outputs.push(OrderOutput::Acquire(shard));
                }
                continue;
            };
            if !is_assigned {
                self.leases.remove(&shard);
                outputs.push(OrderOutput::Release(shard));
                continue;
            }
            let refill = self.load_rate / f64::from(SHARD_COUNT) * elapsed;
            lease.load_tokens = (lease.load_tokens + refill).min(LOAD_BURST);
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
        let is_effective = view.pending.as_ref().is_some_and(|(_, action)| match action {
            OrderAction::Load(model) => models.contains(model),
            OrderAction::Unload(model) => !models.contains(model),
        });
        if is_effective {
            view.pending = None;
        }
        view.observed = Some(models);
    }

    fn order_answered(&mut self, engine: &Arc<str>, fencing: u64, result: OrderResult) {
        let shard = shard_of(engine);
        if self.leases.get(&shard).is_none_or(|lease| lease.fencing != fencing) {
            return;
        }
        match result {
            OrderResult::Taken => {}
            // Another host has got the lease, even if the term has not ended by this host's clock.
            OrderResult::Fenced => drop(self.leases.remove(&shard)),
            OrderResult::Failed => {
                if let Some(view) = self.views.get_mut(engine) {
                    view.pending = None;
                }
            }
        }
    }

    fn reconcile(&mut self, now: Time, outputs: &mut Vec<OrderOutput>) {
        let mut kept = self.models_to_keep(now);
        for (engine, desired) in &self.desired {
            let shard = shard_of(engine);
            let Some(lease) = self.leases.get_mut(&shard) else { continue };
            let Some(latest) = lease.send_deadline(now, desired.checks_fencing) else { continue };
            let Some(view) = self.views.get_mut(engine) else { continue };
            let Some(observed) = &view.observed else { continue };
            if view.pending.as_ref().is_some_and(|(sent, _)| now.since(*sent) < RESEND_AFTER) {
                continue;
            }
            let missing = desired.models.iter().find(|model| !observed.contains(*model));
            let action = match missing {
                Some(model) if lease.load_tokens >= 1.0 => {
                    lease.load_tokens -= 1.0;
                    OrderAction::Load(model.clone())
                }
                Some(_) => continue,
                None => {
                    let is_due = |(model, since): &(&Arc<str>, &Time)| {
                        now.since(**since) >= UNLOAD_DELAY && !kept.contains(*model)
                    };
                    let Some((model, _)) = view.unwanted.iter().find(is_due) else { continue };
                    kept.insert(model.clone());
                    OrderAction::Unload(model.clone())
                }
            };
            view.pending = Some((now, action.clone()));
            let order = RoleOrder { engine: engine.clone(), fencing: lease.fencing, action };
            outputs.push(OrderOutput::Send { order, latest, timeout: ORDER_TIMEOUT });
        }
    }

    /// Models that must not be unloaded now, because another engine is unloading them or an engine
    /// that should have them does not report them yet.
    fn models_to_keep(&self, now: Time) -> BTreeSet<Arc<str>> {
        let mut models = BTreeSet::new();
        for (engine, desired) in &self.desired {
            let view = self.views.get(engine);
            if let Some((sent, OrderAction::Unload(model))) =
                view.and_then(|view| view.pending.as_ref())
                && now.since(*sent) < RESEND_AFTER
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
    /// The latest time at which an order may be sent, so that it arrives within the lease's term.
    /// None if no order may be sent now.
    fn send_deadline(&self, now: Time, checks_fencing: bool) -> Option<Time> {
        let latest = self.valid_until - ORDER_TIMEOUT;
        let is_settled = checks_fencing || self.settled_at <= now;
        (is_settled && self.is_current && now <= latest).then_some(latest)
    }
}

/// The shard to which an engine belongs, by the hash of its name.
pub fn shard_of(engine: &str) -> ShardKey {
    ShardKey((engine_id(engine) % u32::from(SHARD_COUNT)) as u8)
}

/// The key of a shard's lease in the key-value service.
pub fn shard_lease_key(shard: ShardKey) -> String {
    format!("order/{}", shard.0)
}

/// The shards for which this host has the highest rendezvous score. Hosts that watch the key-value
/// service are left out, unless all serving hosts do, since both duties together take more than
/// 17 KB/s.
pub fn assigned_shards(table: &MemberTable) -> BTreeSet<ShardKey> {
    let watchers = watchers(table);
    let all: Vec<_> = table.serving().collect();
    let mut hosts = all.clone();
    hosts.retain(|host| !watchers.contains(&host.name));
    if hosts.is_empty() {
        hosts = all;
    }
    let is_own = |shard: &ShardKey| {
        let name = shard_lease_key(*shard);
        let score = |host: &MemberRecord| rendezvous_score(&name, host);
        let first = hosts.iter().max_by(|left, right| score(left).total_cmp(&score(right)));
        first.is_some_and(|host| host.name == table.local().name)
    };
    (0..SHARD_COUNT).map(ShardKey).filter(is_own).collect()
}

/// The desired state of each engine. A model with a replica count is assigned by hash to that many
/// of the engines that can serve it, so that adding or removing an engine moves few models.
pub fn desired_engines(set: &ResourceSet) -> BTreeMap<Arc<str>, DesiredEngine> {
    let mut engines = BTreeMap::new();
    let mut candidates: BTreeMap<&Arc<str>, Vec<(u64, &Arc<str>)>> = BTreeMap::new();
    for (name, server) in &set.servers {
        let BackendRole::Engine { models, .. } = &server.role else { continue };
        let mut unmanaged = BTreeSet::new();
        for model in models {
            let replicas = set.models.get(model).and_then(|model| model.replicas);
            if replicas.is_none() {
                unmanaged.insert(model.clone());
            } else if !server.leaving {
                let seed = u64::from(engine_id(name)) << 32 | u64::from(engine_id(model));
                let score = fastrand::Rng::with_seed(seed).u64(..);
                candidates.entry(model).or_default().push((score, name));
            }
        }
        let desired = DesiredEngine {
            models: BTreeSet::new(),
            unmanaged,
            checks_fencing: server.checks_fencing,
        };
        engines.insert(name.clone(), desired);
    }
    for (model, mut names) in candidates {
        let replicas = set.models[model].replicas.unwrap_or(0) as usize;
        names.sort();
        for (_, name) in names.into_iter().take(replicas) {
            engines.get_mut(name).expect("inserted above").models.insert(model.clone());
        }
    }
    engines
}
