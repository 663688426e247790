//! Selects the addresses of hosts that a caller is given.
//!
//! The selection has no state of its own; it reads the member table. Draining, suspected and dead
//! hosts are left out. If membership updates stop, the hosts that were live last are returned.

use std::{sync::Arc, time::Duration};

use parsley_macros::message;

use crate::member::{MemberRecord, MemberTable};

#[cfg(test)]
mod tests;

/// Time for which a caller may cache an answer. A draining host accepts requests for this long, so
/// that callers with a cached answer are not refused.
pub const ENTRY_LIFETIME: Duration = Duration::from_secs(10);

/// Answer to a caller that asks for the addresses of hosts.
#[message]
pub struct EntryAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<Arc<str>>,
    /// Time for which the caller may cache the answer, in seconds.
    pub lifetime_seconds: u64,
}

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 8;
/// Addresses outside the caller's failure domain in a full answer, for the case that the domain
/// fails.
const OTHER_DOMAIN_ADDRESSES: usize = 2;

/// Selects addresses for a caller in the failure domain `domain`.
///
/// Hosts of that failure domain come first, then hosts of the answering host's region, then all
/// others. Within each group the order is random and weighted by capacity, which spreads the
/// callers.
pub fn select_addresses(
    table: &MemberTable,
    domain: Option<&str>,
    rng: &mut fastrand::Rng,
) -> EntryAnswer {
    let region = &table.local().region;
    let distance = |host: &MemberRecord| match domain {
        Some(domain) if *host.failure_domain == *domain => 0,
        _ if host.region == *region => 1,
        _ => 2,
    };
    // Weighted random order: each host gets an exponentially distributed number with its capacity
    // as the rate, and the smallest number comes first.
    let mut key = |host: &MemberRecord| {
        let unit = rng.f64().max(f64::MIN_POSITIVE);
        (distance(host), -unit.ln() / f64::from(host.capacity.max(1)))
    };
    let mut hosts: Vec<_> = table.serving().map(|host| (key(host), host)).collect();
    hosts.sort_unstable_by(|left, right| {
        left.0.0.cmp(&right.0.0).then(left.0.1.total_cmp(&right.0.1))
    });
    let (mut chosen, others): (Vec<_>, Vec<_>) =
        hosts.into_iter().partition(|((distance, _), _)| *distance == 0);
    let reserved = others.len().min(OTHER_DOMAIN_ADDRESSES);
    chosen.truncate(MAX_ADDRESSES - reserved);
    let room = MAX_ADDRESSES - chosen.len();
    chosen.extend(others.into_iter().take(room));
    let addresses = chosen.into_iter().map(|(_, host)| host.address.clone()).collect();
    EntryAnswer { addresses, lifetime_seconds: ENTRY_LIFETIME.as_secs() }
}
