//! Decides whose request of a rank goes first: start-time fair queueing among client accounts.
//!
//! Owns one counter of engine time for each account and service. A request's turn is the engine
//! time at which its account would be served if all accounts with waiting work got equal parts. The
//! turn of work that was sent travels with it, and from that each host learns the counters of all
//! accounts, also a host that just started; so all hosts order alike and nothing is lost when one
//! dies. Idle time earns no credit, and what was refused is not charged.
//!
//! The pattern it answers: a few accounts that ask for far more than the rest.

use std::collections::BTreeMap;

use crate::work::AccountTag;

#[cfg(test)]
mod tests;

/// What accounts were served at one service.
#[derive(Debug, Default)]
struct ServiceClock {
    /// Turn of the latest request that was sent, in microseconds of engine time.
    current: u64,
    /// Where the next request of an account begins, if later than `current`.
    accounts: BTreeMap<AccountTag, u64>,
}

/// Turns of all services, by the hash of their names.
#[derive(Debug, Default)]
pub struct StartTagLedger {
    services: BTreeMap<u64, ServiceClock>,
}

impl StartTagLedger {
    /// The turn of the request of an account that is sent next, in microseconds.
    pub fn next_start_tag(&self, service: u64, account: AccountTag) -> u64 {
        let Some(turns) = self.services.get(&service) else { return 0 };
        turns.accounts.get(&account).copied().unwrap_or_default().max(turns.current)
    }

    /// Notes a request that was sent, with the engine time that it takes in microseconds. Noting it
    /// again changes nothing.
    pub fn record_sent(&mut self, service: u64, account: AccountTag, turn: u64, cost_us: u64) {
        let turns = self.services.entry(service).or_default();
        let end = turn.saturating_add(cost_us);
        if turn > turns.current {
            turns.current = turn;
            turns.accounts.retain(|_, begin| *begin > turn);
        }
        if end > turns.current {
            let begin = turns.accounts.entry(account).or_default();
            *begin = end.max(*begin);
        }
    }
}
