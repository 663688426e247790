//! Decides which addresses a caller is told to use.
//!
//! Owns no state; it reads the member table. Draining and suspected hosts are never told. When
//! membership news stops coming, the last known live hosts are told.

use std::{sync::Arc, time::Duration};

use parsley_macros::message;

use crate::member::MemberTable;

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

/// Picks addresses for a caller: hosts of its failure domain first, each group in random order so
/// that callers spread.
pub fn pick_entries(
    table: &MemberTable,
    domain: Option<&str>,
    rng: &mut fastrand::Rng,
) -> EntryAnswer {
    let mut hosts: Vec<_> = table.serving().collect();
    rng.shuffle(&mut hosts);
    hosts.sort_by_key(|host| Some(&*host.failure_domain) != domain);
    let addresses = hosts.iter().take(MAX_ADDRESSES).map(|host| host.address.clone()).collect();
    EntryAnswer { addresses, lifetime_seconds: ENTRY_LIFETIME.as_secs() }
}
