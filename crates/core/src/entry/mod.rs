//! Decides which addresses a caller is told to use.
//!
//! Owns no state; it reads the member table. Draining, suspected and gone hosts are never told.
//! When membership news stops coming, the last known live hosts are told.

use std::{sync::Arc, time::Duration};

use parsley_macros::message;

use crate::member::{MemberRecord, MemberTable};

#[cfg(test)]
mod tests;

/// How long a caller may keep an answer. A draining host keeps accepting for this long.
pub const ENTRY_LIFETIME: Duration = Duration::from_secs(10);

/// The answer to a caller that asks which addresses to use.
#[message]
pub struct EntryAnswer {
    /// Addresses, best first.
    pub addresses: Vec<Arc<str>>,
    /// Lifetime of the answer in seconds.
    pub lifetime_seconds: u64,
}

/// Largest number of addresses in one answer.
const MAX_ADDRESSES: usize = 8;
/// Addresses outside the caller's failure domain in a full answer, for the loss of that domain.
const OTHER_DOMAIN_ADDRESSES: usize = 2;

/// Picks addresses for a caller: hosts of its failure domain first, then of the answering host's
/// region, each in random order weighted by capacity, so that callers spread.
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
    // The smallest of exponentially distributed numbers with the capacities as rates is a choice
    // weighted by capacity.
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
