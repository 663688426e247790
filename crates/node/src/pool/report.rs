//! Reports account usage to other hosts and applies their reports to the scheduler.

use std::sync::Arc;

use async_io::Timer;
use parsley_core::{
    key::{AccountKey, RankKey},
    resource::ResourceSet,
    scheduler::{AccountUsage, SchedulerInput},
    usage::{REPORT_PERIOD, UsageAmount, UsageInput, UsageKey, UsageOutput},
};

use super::step;
use crate::{
    host::{HostRef, HostState},
    peer::{self, datagram::PeerDatagram},
};

pub(super) async fn usage_loop(host: HostRef) {
    loop {
        Timer::after(REPORT_PERIOD).await;
        let inputs = usage_inputs(&mut host.state.borrow_mut());
        inputs.into_iter().for_each(|input| usage_step(&host, input));
    }
}

fn usage_inputs(state: &mut HostState) -> Vec<UsageInput> {
    let hosts = state.members.live().map(|host| host.name.clone()).collect();
    let mut inputs = vec![UsageInput::Hosts(hosts)];
    let spent = state.pool.scheduler.take_usage();
    inputs.extend(spent.into_iter().filter_map(|usage| {
        let AccountUsage { account, rank, cost, tokens, held_tokens } = usage;
        let account = state.accounts.name(account.0)?.clone();
        let rank = rank_name(state.config.resources(), rank)?;
        let amount = UsageAmount { cost, tokens, held_tokens };
        Some(UsageInput::Spent(UsageKey { account, rank }, amount))
    }));
    inputs.push(UsageInput::Tick);
    inputs
}

fn rank_name(set: &ResourceSet, rank: RankKey) -> Option<Arc<str>> {
    let entry = set.ranks.iter().find(|(_, spec)| spec.level == rank.0);
    entry.map(|(name, _)| name.clone())
}

/// Passes an input to the usage aggregation and executes its outputs.
pub fn usage_step(host: &HostRef, input: UsageInput) {
    let outputs = host.state.borrow_mut().usage.step(host.now(), input);
    for output in outputs {
        match output {
            UsageOutput::Send { to, message } => {
                let address = {
                    let state = host.state.borrow();
                    state.members.get(&to).map(|member| member.peer_address.clone())
                };
                if let Some(address) = address {
                    peer::send(host, &address, PeerDatagram::Usage(message));
                }
            }
            UsageOutput::Remote(key, amount) => apply_remote_usage(host, &key, amount),
        }
    }
}

fn apply_remote_usage(host: &HostRef, key: &UsageKey, amount: UsageAmount) {
    let input = {
        let mut state = host.state.borrow_mut();
        let Some(rank) = state.config.resources().ranks.get(&key.rank) else { return };
        let rank = RankKey(rank.level);
        let account = AccountKey(state.accounts.intern(&key.account));
        let UsageAmount { cost, tokens, held_tokens } = amount;
        SchedulerInput::RemoteUsage { account, rank, cost, tokens, held_tokens }
    };
    step(host, input);
}
