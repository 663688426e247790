//! Leases of order shards in the key-value service, and the model load and unload orders sent under
//! them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use parsley_core::{
    order::{
        LEASE_TERM, OrderAction, OrderInput, OrderOutput, OrderResult, RoleOrder, ShardKey,
        assigned_shards, desired_engines, shard_lease_key,
    },
    time::Time,
};

use crate::{
    adapter::{
        engine,
        store::{self, LeaseAnswer},
        weights,
    },
    config_sync,
    error::NodeError,
    event,
    host::HostRef,
    http::with_timeout,
};

/// Interval of the order keeper's timer input.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of ticks between two reads of the weight store's load rate.
const RATE_READ_TICKS: u64 = 20;
/// Maximum number of engine reports read in one tick. A report has about 750 bytes.
const MAX_REPORTS_PER_TICK: usize = 2;
/// Number of engines above which only one report is read per tick, to keep the holder's traffic
/// within the bandwidth budget of a host. Reading a shard of 1,250 engines then takes ten minutes,
/// which is acceptable because orders do not need a recent report.
const SMALL_SHARD_ENGINES: usize = 100;

/// Starts the task that holds the leases of the order shards assigned to this host and sends their
/// orders.
pub fn start(host: &HostRef) {
    host.spawn(tick_loop(host.clone()));
}

/// Passes the engines and models of a changed configuration to the order keeper.
pub fn update_desired_engines(host: &HostRef) {
    let desired = desired_engines(host.state.borrow().config.resources());
    step(host, OrderInput::Desired(desired));
}

async fn tick_loop(host: HostRef) {
    let mut tick = 0;
    let mut version = None;
    let mut has_shards = false;
    loop {
        Timer::after(TICK_INTERVAL).await;
        let members = host.state.borrow().members.version();
        let current = Some((members, host.is_draining()));
        // The assignment computes a score for each pair of host and shard, so it is recomputed only
        // after a change of membership or of the draining state.
        if version != current {
            version = current;
            let shards = match host.is_draining() {
                true => BTreeSet::new(),
                false => assigned_shards(&host.state.borrow().members),
            };
            has_shards = !shards.is_empty();
            step(&host, OrderInput::ShardsAssigned(shards));
        }
        if has_shards && tick % RATE_READ_TICKS == 0 {
            host.spawn(read_rate(host.clone()));
        }
        step(&host, OrderInput::Tick);
        read_reports(&host, tick);
        tick += 1;
    }
}

/// Reads the reports of the next engines of this host's shards, in turn.
fn read_reports(host: &HostRef, tick: u64) {
    let now = host.now();
    let engines: Vec<Arc<str>> = {
        let state = host.state.borrow();
        let watched: Vec<_> = state.orders.watched_engines(now).cloned().collect();
        let count = if watched.len() > SMALL_SHARD_ENGINES { 1 } else { MAX_REPORTS_PER_TICK };
        let count = count.min(watched.len());
        let first = (tick as usize * count) % watched.len().max(1);
        watched.into_iter().cycle().skip(first).take(count).collect()
    };
    for engine in engines {
        let host = host.clone();
        host.clone().spawn(async move {
            let Some(address) = address_of(&host, &engine) else { return };
            let Ok(load) = engine::load(&address).await else { return };
            if let Some(models) = load.models {
                step(&host, OrderInput::Observed { engine, models });
            }
        });
    }
}

/// Reads the load rate of the weight store, if one is configured.
async fn read_rate(host: HostRef) {
    let Some(address) = host.settings.weight_store.clone() else { return };
    // Zero replaces a rate that can no longer be read, so that a stale one is not used.
    let rate = weights::rate(&address).await.unwrap_or(0.0);
    step(&host, OrderInput::LoadRate(rate));
}

/// Returns the address of an engine from the configuration.
fn address_of(host: &HostRef, engine: &str) -> Option<Arc<str>> {
    let state = host.state.borrow();
    state.config.resources().servers.get(engine).map(|server| server.address.clone())
}

/// Passes an input to the order keeper and executes its outputs.
fn step(host: &HostRef, input: OrderInput) {
    let outputs = host.state.borrow_mut().orders.step(host.now(), input);
    for output in outputs {
        match output {
            OrderOutput::Acquire(shard) | OrderOutput::Renew(shard) => {
                host.spawn(acquire_or_renew(host.clone(), shard));
            }
            OrderOutput::ReadConfig { shard, fencing } => {
                host.spawn(read_config(host.clone(), shard, fencing));
            }
            OrderOutput::Release(shard) => host.spawn(release(host.clone(), shard)),
            OrderOutput::Send { order, latest, timeout } => {
                host.spawn(send(host.clone(), order, latest, timeout));
            }
        }
    }
}

/// Acquires or renews the lease of a shard. The key in the key-value service determines the holder,
/// so the result is correct even if the response to an earlier call was lost.
async fn acquire_or_renew(host: HostRef, shard: ShardKey) {
    let sent = host.now();
    let key = shard_lease_key(shard);
    let holder =
        format!("{} {}", host.settings.name, host.state.borrow().members.local().incarnation);
    for address in &host.settings.store {
        let current = host.state.borrow().shard_leases.get(&shard).cloned();
        match store::hold_key(address, &key, &holder, current, LEASE_TERM).await {
            Ok(LeaseAnswer::Held { lease, revision }) => {
                host.state.borrow_mut().shard_leases.insert(shard, lease);
                return step(&host, OrderInput::Leased { shard, fencing: revision.0, sent });
            }
            Ok(LeaseAnswer::NotHeld) => {
                host.state.borrow_mut().shard_leases.remove(&shard);
                return step(&host, OrderInput::LeaseLost(shard));
            }
            // Without a response, the order keeper lets the lease expire by this host's clock.
            Err(err) => {
                event!(host.log, SHARD_LEASE_FAILED, "shard" => shard.0, "error" => %err);
            }
        }
    }
}

/// Refreshes the configuration after a shard was acquired.
async fn read_config(host: HostRef, shard: ShardKey, fencing: u64) {
    // If the service does not answer, the next renewal requests this again.
    if config_sync::refresh(&host).await {
        step(&host, OrderInput::ConfigRead { shard, fencing });
    }
}

/// Revokes the lease of a shard.
async fn release(host: HostRef, shard: ShardKey) {
    let lease = host.state.borrow_mut().shard_leases.remove(&shard);
    let Some(lease) = lease else { return };
    for address in &host.settings.store {
        // A lease that cannot be revoked expires.
        if store::revoke(address, lease).await.is_ok() {
            return;
        }
    }
}

/// Sends an order to its engine and reports the result to the order keeper. An order is dropped
/// after `latest`.
async fn send(host: HostRef, order: RoleOrder, latest: Time, timeout: Duration) {
    let Some(address) = address_of(&host, &order.engine) else { return };
    // The task may be delayed, for example by a pause of the process.
    if host.now() > latest {
        return;
    }
    let result = match with_timeout(timeout, engine::order(&address, &order)).await {
        Ok(result) => result,
        Err(NodeError::Timeout) => OrderResult::Taken,
        Err(_) => OrderResult::Failed,
    };
    let (verb, model) = match &order.action {
        OrderAction::Load(model) => ("load", model),
        OrderAction::Unload(model) => ("unload", model),
    };
    event!(host.log, ORDER_SENT, "engine" => &*order.engine, "action" => verb,
        "model" => &**model, "fencing" => order.fencing, "result" => ?result);
    let RoleOrder { engine, fencing, .. } = order;
    step(&host, OrderInput::Answered { engine, fencing, result });
}
