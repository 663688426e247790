//! Leases of order shards in the key-value service, and the orders sent under them.

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

const TICK: Duration = Duration::from_millis(500);
/// Ticks between two reads of the weight store's rate.
const RATE_TICKS: u64 = 20;
/// Reports of engines read in one tick. Each takes about 750 bytes.
const REPORTS_PER_TICK: usize = 2;
/// Above this number of engines one report is read in a tick, so that a holder stays within the
/// bytes of a host. A shard of 1,250 engines then takes ten minutes; orders need no new report.
const QUICK_ENGINES: usize = 100;

/// Starts to send orders while that is this host's duty.
pub fn start(host: &HostRef) {
    host.spawn(tick_loop(host.clone()));
}

/// The configuration changed.
pub fn update_desired_engines(host: &HostRef) {
    let desired = desired_engines(host.state.borrow().config.resources());
    step(host, OrderInput::Desired(desired));
}

async fn tick_loop(host: HostRef) {
    let mut round = 0;
    let mut version = None;
    let mut has_duty = false;
    loop {
        Timer::after(TICK).await;
        let members = host.state.borrow().members.version();
        let known = Some((members, host.is_draining()));
        // The duty costs a score for each host and shard, so it is computed only after a change.
        if version != known {
            version = known;
            let duty = match host.is_draining() {
                true => BTreeSet::new(),
                false => assigned_shards(&host.state.borrow().members),
            };
            has_duty = !duty.is_empty();
            step(&host, OrderInput::ShardsAssigned(duty));
        }
        if has_duty && round % RATE_TICKS == 0 {
            host.spawn(read_rate(host.clone()));
        }
        step(&host, OrderInput::Tick);
        read_reports(&host, round);
        round += 1;
    }
}

/// Reads the reports of the next engines of this host's shards.
fn read_reports(host: &HostRef, round: u64) {
    let now = host.now();
    let engines: Vec<Arc<str>> = {
        let state = host.state.borrow();
        let watched: Vec<_> = state.orders.watched_engines(now).cloned().collect();
        let count = if watched.len() > QUICK_ENGINES { 1 } else { REPORTS_PER_TICK };
        let count = count.min(watched.len());
        let first = (round as usize * count) % watched.len().max(1);
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

async fn read_rate(host: HostRef) {
    let Some(address) = host.settings.weight_store.clone() else { return };
    // An unknown rate must not stay in use.
    let rate = weights::rate(&address).await.unwrap_or(0.0);
    step(&host, OrderInput::LoadRate(rate));
}

fn address_of(host: &HostRef, engine: &str) -> Option<Arc<str>> {
    let state = host.state.borrow();
    state.config.resources().servers.get(engine).map(|server| server.address.clone())
}

fn step(host: &HostRef, input: OrderInput) {
    let outputs = host.state.borrow_mut().orders.step(host.now(), input);
    for output in outputs {
        match output {
            OrderOutput::Acquire(shard) | OrderOutput::Renew(shard) => {
                host.spawn(lease(host.clone(), shard));
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

/// Acquires or renews a lease. Whatever became of earlier calls, the key tells who holds it.
async fn lease(host: HostRef, shard: ShardKey) {
    let sent = host.now();
    let key = shard_lease_key(shard);
    let holder =
        format!("{} {}", host.settings.name, host.state.borrow().members.local().incarnation);
    for address in &host.settings.store {
        let known = host.state.borrow().shard_leases.get(&shard).cloned();
        match store::hold_key(address, &key, &holder, known, LEASE_TERM).await {
            Ok(LeaseAnswer::Held { lease, revision }) => {
                host.state.borrow_mut().shard_leases.insert(shard, lease);
                return step(&host, OrderInput::Leased { shard, fencing: revision.0, sent });
            }
            Ok(LeaseAnswer::NotHeld) => {
                host.state.borrow_mut().shard_leases.remove(&shard);
                return step(&host, OrderInput::LeaseLost(shard));
            }
            // No answer: the lease runs out by this host's own clock.
            Err(err) => {
                event!(host.log, SHARD_LEASE_FAILED, "shard" => shard.0, "error" => %err);
            }
        }
    }
}

async fn read_config(host: HostRef, shard: ShardKey, fencing: u64) {
    // Without an answer the next renewal asks again.
    if config_sync::refresh(&host).await {
        step(&host, OrderInput::ConfigRead { shard, fencing });
    }
}

async fn release(host: HostRef, shard: ShardKey) {
    let lease = host.state.borrow_mut().shard_leases.remove(&shard);
    let Some(lease) = lease else { return };
    for address in &host.settings.store {
        // A lease that is not given up runs out.
        if store::revoke(address, lease).await.is_ok() {
            return;
        }
    }
}

async fn send(host: HostRef, order: RoleOrder, latest: Time, timeout: Duration) {
    let Some(address) = address_of(&host, &order.engine) else { return };
    // The task may run late, for instance after a pause of the process.
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
