//! Start-time fair queueing among the client accounts of a service.
//!
//! Owns the virtual time of each service and the finish tag of each account, in engine time. A
//! request's start tag is the virtual time at which it would start if all accounts with waiting
//! work had equal shares; requests of a rank are served in order of their start tags. Sent work
//! carries its start tag, from which every host, even one that just started, learns the tags of all
//! accounts. All hosts therefore use the same order, and no state is lost when a host fails. Idle
//! time earns no credit, and refused requests are not charged.
//!
//! Protects most accounts from a few that demand far more than their fair share.

use std::collections::BTreeMap;

use crate::work::AccountTag;

#[cfg(test)]
mod tests;

/// Virtual time and account tags of one service.
#[derive(Debug, Default)]
struct ServiceClock {
    /// Virtual time: the largest start tag of any request sent, in microseconds of engine time.
    virtual_time: u64,
    /// Finish tag of each account's last request, if later than `virtual_time`.
    finish_tags: BTreeMap<AccountTag, u64>,
}

/// Start tags of all services, by the hash of their names.
#[derive(Debug, Default)]
pub struct StartTagLedger {
    services: BTreeMap<u64, ServiceClock>,
}

impl StartTagLedger {
    /// Start tag of the next request of an account, in microseconds; 0 for a service without
    /// requests.
    pub fn next_start_tag(&self, service: u64, account: AccountTag) -> u64 {
        let Some(clock) = self.services.get(&service) else { return 0 };
        clock.finish_tags.get(&account).copied().unwrap_or_default().max(clock.virtual_time)
    }

    /// Charges an account for a request that was sent, by its start tag and cost in microseconds of
    /// engine time. Idempotent, because hosts learn of the same request several times.
    pub fn record_sent(&mut self, service: u64, account: AccountTag, start_tag: u64, cost_us: u64) {
        let clock = self.services.entry(service).or_default();
        let end = start_tag.saturating_add(cost_us);
        if start_tag > clock.virtual_time {
            clock.virtual_time = start_tag;
            clock.finish_tags.retain(|_, tag| *tag > start_tag);
        }
        if end > clock.virtual_time {
            let finish_tag = clock.finish_tags.entry(account).or_default();
            *finish_tag = end.max(*finish_tag);
        }
    }
}
