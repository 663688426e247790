//! Order of what comes from the store, also across a restore of the store from an older copy.
//!
//! A restore begins a new era of the store, in which revisions and lease ids are given out again.
//! So everything that is read from the store is ordered by its [`StoreRevision`]: by era, then by
//! number. [`EraKeeper`] keeps the newest era that the store or a peer named. For [`REWRITE_TIME`]
//! after a restore the store may still show the copy, because the operator and the servers have not
//! yet written again what was lost; the era is not settled until then.

use std::{fmt, time::Duration};

use parsley_macros::{key, value};

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Time within which the operator and the servers write again what a restore of the store lost, and
/// servers register again after an outage.
pub const REWRITE_TIME: Duration = Duration::from_millis(2_200);

/// Revision of the store. Revisions of a later era are later, whatever their number.
#[key]
#[derive(Default)]
pub struct StoreRevision {
    /// Era of the store, which rises with each restore.
    pub era: u64,
    /// Number of the change within the era. A restore sets it back.
    pub number: u64,
}

impl From<u64> for StoreRevision {
    /// Revision of a store that was never restored.
    fn from(number: u64) -> StoreRevision {
        StoreRevision { era: 0, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Effect of an era that the store or a peer named.
#[key]
pub enum EraEffect {
    /// It is the known era, or the first one that this process hears of.
    Current,
    /// The store was restored since the known era, or shortly before this process heard of it.
    Restored,
    /// The store was restored after what was said of this era, which no longer counts.
    Outdated,
}

/// The newest era of the store that is known, and since when.
#[value]
#[derive(Copy, Default)]
pub struct EraKeeper {
    /// Newest known era; `None` before the first answer of the store or a peer.
    era: Option<u64>,
    /// When the store was restored, or later; `None` if that was before this process started.
    began: Option<Time>,
    /// Number of the store's revision when it first answered this host in the era. Items with a
    /// later revision were written after the restore.
    first_number: Option<u64>,
}

impl EraKeeper {
    /// Returns the newest known era; `None` if none is known.
    pub fn known(&self) -> Option<u64> {
        self.era
    }

    /// Returns the newest known era; 0 if none is known.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records that the store, or a peer, named `era`. `age` is the time for which a peer has known
    /// a restore; `None` if it knows of none that is recent.
    pub fn observe(&mut self, now: Time, era: u64, age: Option<Duration>) -> EraEffect {
        let began = age.map(|age| now - age);
        match self.era {
            Some(known) if era < known => EraEffect::Outdated,
            Some(known) if era > known => {
                let began = Some(began.unwrap_or(now));
                *self = EraKeeper { era: Some(era), began, first_number: None };
                EraEffect::Restored
            }
            _ => {
                self.era = Some(era);
                let is_news = self.began.is_none() && began.is_some();
                self.began = match (self.began, began) {
                    (Some(known), Some(named)) => Some(known.min(named)),
                    (known, named) => known.or(named),
                };
                if is_news { EraEffect::Restored } else { EraEffect::Current }
            }
        }
    }

    /// Records the number of the store's revision in an answer of the known era.
    pub fn record_number(&mut self, number: u64) {
        self.first_number.get_or_insert(number);
    }

    /// Returns whether `revision` was certainly written after the restore that began the era.
    pub fn is_rewritten(&self, revision: StoreRevision) -> bool {
        let is_later = self.first_number.is_some_and(|first| revision.number > first);
        revision.era == self.era() && is_later
    }

    /// Returns the time since the store was restored; `None` if that was before this process
    /// started.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.began.map(|began| now.since(began))
    }

    /// Returns the time since a recent restore; `None` if the era is settled.
    pub fn unsettled_age(&self, now: Time) -> Option<Duration> {
        self.age(now).filter(|age| *age < REWRITE_TIME)
    }

    /// Returns the time until the era is settled.
    pub fn time_to_settle(&self, now: Time) -> Duration {
        self.unsettled_age(now).map_or(Duration::ZERO, |age| REWRITE_TIME - age)
    }

    /// Returns whether what a restore lost has been written again by now.
    pub fn is_settled(&self, now: Time) -> bool {
        self.unsettled_age(now).is_none()
    }
}
