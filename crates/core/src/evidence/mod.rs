//! Bounds the staleness of the configuration and decides what the host may still do with it.
//!
//! [`EvidenceKeeper`] records the latest time at which the configuration in force was known to be
//! the newest. The store confirms this directly; a peer that has been confirmed passes its
//! confirmation on. When confirmations stop, the host admits nothing that a newer version could
//! forbid. While the store answers, it admits no requests until the version is confirmed again.
//! While the store does not answer, it goes on by the known version, and after the revocation limit
//! it admits only requests without a key.

use std::time::Duration;

use parsley_macros::{key, message, value};

use crate::{
    era::{EraKeeper, REWRITE_TIME, StoreRevision},
    time::Time,
};

#[cfg(test)]
mod tests;

/// Fraction of the revocation limit kept in reserve for clock drift and for the time between a
/// decision and the send.
const RESERVE_SHARE: f64 = 0.1;

/// Part of the apply limit kept in reserve for the time between a decision and the send.
const APPLY_RESERVE: Duration = Duration::from_millis(100);

/// Greatest permitted staleness of the configuration.
#[value]
#[derive(Copy)]
pub struct EvidenceLimits {
    /// Time after which a revoked key must not be served, whatever fails.
    pub revocation_limit: Duration,
    /// Time within which a change must be in force while the store answers.
    pub apply_limit: Duration,
}

/// What a call to the store showed of the configuration.
#[value]
#[derive(Copy)]
pub struct StoreSighting {
    /// Version that the store returned; `None` if a watch ended without a change.
    pub version: Option<u64>,
    /// Revision of the store at which the version was written, or up to which nothing changed.
    pub revision: StoreRevision,
    /// When the call was sent.
    pub call_start: Time,
}

/// What showed that the version in force was the newest.
#[key]
pub enum ProofSource {
    /// The store returned the version.
    Store,
    /// A watch of the store ended without a change.
    Watch,
    /// A peer has proof of the same version.
    Peer,
}

impl ProofSource {
    /// Returns the value of the log field.
    pub fn name(self) -> &'static str {
        match self {
            ProofSource::Store => "store",
            ProofSource::Watch => "watch",
            ProofSource::Peer => "peer",
        }
    }
}

/// Decisions that the host may base on the configuration in force.
#[key]
pub enum ConfigTrust {
    /// All decisions. If there is a newer version, its time to be in force is not over yet.
    Full,
    /// Admitting what the configuration allows. A newer version is known, or may exist because the
    /// store does not answer: a request that is not allowed has to be retried later.
    Allowed,
    /// Admitting what the configuration allows without a key.
    Keyless,
    /// None. The store answers, so the newest version will be known soon.
    Nothing,
}

/// A peer's statement about its configuration, sent in reply to a datagram of this host.
#[message]
pub struct PeerEvidence {
    /// Version in force at the peer.
    pub version: u64,
    /// Newest version that the peer knows to exist; at least `version`.
    pub newest: u64,
    /// Milliseconds since the version in force was known to be the newest, when the peer sent this.
    /// `None` if that was never confirmed.
    pub age_ms: Option<u32>,
    /// Incarnation of this host whose datagram the peer received last.
    pub incarnation: u64,
    /// Clock reading of that incarnation in the datagram, in microseconds; 0 if there was none.
    pub echo: u64,
    /// Milliseconds between the receipt of that datagram and the sending of this statement.
    pub held_ms: u32,
    /// Newest era of the store that the peer knows; `None` if it knows none.
    pub era: Option<u64>,
    /// Milliseconds since a recent restore of the store; `None` if the era is settled.
    pub era_age_ms: Option<u32>,
}

impl PeerEvidence {
    /// Returns the time on the receiver's clock of something that the peer knew to hold `age_ms`
    /// before it sent this. `None` if that cannot be derived.
    ///
    /// `incarnation` is the receiver's. The peer received the receiver's datagram after `echo`, so
    /// the time is no earlier than the one returned, however long the reply was in flight.
    pub fn confirmed_at(&self, now: Time, incarnation: u64, age_ms: Option<u32>) -> Option<Time> {
        let sent = Time(self.echo) + Duration::from_millis(self.held_ms.into());
        let confirmed = sent - Duration::from_millis(age_ms?.into());
        let is_own = self.incarnation == incarnation && self.echo > 0;
        (is_own && sent <= now && confirmed > Time::ZERO).then_some(confirmed)
    }
}

/// Effect of a peer's evidence on this host.
#[key]
pub enum EvidenceEffect {
    /// The peer knows of a version newer than the one in force here.
    Newer,
    /// The version in force is now confirmed up to a later time.
    Extended,
    /// None: the peer has another version that is not newer, or no later confirmation.
    Unchanged,
}

impl EvidenceEffect {
    /// Returns the label value used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            EvidenceEffect::Newer => "newer",
            EvidenceEffect::Extended => "proof",
            EvidenceEffect::Unchanged => "nothing",
        }
    }
}

/// Tracks until when the configuration in force is confirmed to be the newest.
#[value]
pub struct EvidenceKeeper {
    version: u64,
    /// Newest version that a peer reported, and when it was first reported.
    newest: (u64, Time),
    /// Newest version that a peer reported to have in force, and when one last did.
    held: (u64, Time),
    /// Era in which the version in force is known to have been written or settled.
    written_era: Option<u64>,
    /// Whether the store holds a version that this host cannot read.
    is_unreadable: bool,
    /// Latest time at which `version` is known to have been the newest.
    confirmed: Option<Time>,
    /// What `confirmed` stands on.
    source: Option<ProofSource>,
    limits: EvidenceLimits,
    incarnation: u64,
}

impl EvidenceKeeper {
    /// Creates a keeper without a version for the process `incarnation` of this host.
    pub fn new(limits: EvidenceLimits, incarnation: u64) -> EvidenceKeeper {
        EvidenceKeeper {
            version: 0,
            newest: (0, Time::ZERO),
            held: (0, Time::ZERO),
            written_era: None,
            is_unreadable: false,
            confirmed: None,
            source: None,
            limits,
            incarnation,
        }
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the newest version that a peer reported, and when it was first reported.
    pub fn newest_known(&self) -> (u64, Time) {
        self.newest
    }

    /// Returns what the latest proof stands on; `None` without one.
    pub fn source(&self) -> Option<ProofSource> {
        self.source
    }

    /// Records what a call to the store showed.
    ///
    /// However long the answer took, the version was the newest at some time after the call was
    /// sent. A version older than the one in force never replaces it. A watch that ended empty
    /// proves nothing while a newer version is known: the store may have failed to notify it.
    ///
    /// Soon after a restore of the store only a version that was written since proves anything,
    /// because the copy may lack a newer one. Once the era is settled, nothing newer than the
    /// version in force exists if the store shows an older one.
    pub fn confirm(&mut self, sighting: &StoreSighting, era: &EraKeeper) {
        let &StoreSighting { version, revision, call_start } = sighting;
        let is_settled = era.is_settled(call_start);
        let Some(version) = version else {
            let is_written = self.written_era == era.known();
            if !self.is_outdated() && (is_settled || is_written) {
                self.extend_to(call_start, ProofSource::Watch);
            }
            return;
        };
        self.is_unreadable = false;
        let is_written = era.is_rewritten(revision);
        if version > self.version || (version == self.version && is_written) {
            self.written_era = (is_settled || is_written).then_some(revision.era);
        }
        self.version = self.version.max(version);
        if !is_settled && !is_written {
            return;
        }
        if call_start >= self.newest.1 {
            self.newest.0 = self.newest.0.min(version);
        }
        if call_start.since(self.held.1) >= REWRITE_TIME {
            self.held.0 = 0;
        }
        if version >= self.version || is_settled {
            self.extend_to(call_start, ProofSource::Store);
        }
    }

    /// Extends the proof to `at` unless a newer version is in force at a peer.
    fn extend_to(&mut self, at: Time, source: ProofSource) {
        let is_later = self.confirmed.is_none_or(|before| at > before);
        if is_later && self.held.0 <= self.version {
            (self.confirmed, self.source) = (Some(at), Some(source));
        }
    }

    /// Records that the store holds a version that this host cannot read. It may be newer than the
    /// one in force.
    pub fn mark_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Returns whether the version in force is known to be replaced, or may be.
    fn is_outdated(&self) -> bool {
        self.is_unreadable || self.newest.0.max(self.held.0) > self.version
    }

    /// Puts a version in force that may not be the newest. One older than that in force is ignored.
    ///
    /// The time of the last confirmation stays: every change up to that time is part of this
    /// version as well.
    pub fn adopt(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Returns this host's evidence for a peer.
    ///
    /// `incarnation` and `echo` come from the last datagram of the peer, which arrived `held` ago.
    pub fn attest(
        &self,
        now: Time,
        era: &EraKeeper,
        (incarnation, echo, held): (u64, u64, Duration),
    ) -> PeerEvidence {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        PeerEvidence {
            version: self.version,
            newest: self.newest.0.max(self.version),
            // Rounded up, so that the evidence never seems fresher than it is.
            age_ms: self.age(now).map(|age| millis(age).saturating_add(1)),
            incarnation,
            echo,
            held_ms: millis(held),
            era: era.known(),
            era_age_ms: era.unsettled_age(now).map(millis),
        }
    }

    /// Merges the evidence of a peer and returns its effect.
    ///
    /// The peer received this host's datagram after `echo`, so its confirmation is no older than
    /// `echo + held - age` on this host's clock, however long the reply was in flight. The echo of
    /// an earlier process proves nothing, because the clock starts over when a machine loses power.
    pub fn merge(&mut self, now: Time, evidence: &PeerEvidence) -> EvidenceEffect {
        let newest = evidence.newest.max(evidence.version);
        if newest > self.newest.0 {
            self.newest = (newest, now);
        }
        if evidence.version >= self.held.0 {
            self.held = (evidence.version, now);
        }
        let is_later = evidence.version == self.version && self.extend(now, evidence);
        match () {
            () if newest > self.version => EvidenceEffect::Newer,
            () if is_later => EvidenceEffect::Extended,
            () => EvidenceEffect::Unchanged,
        }
    }

    /// Adopts the confirmation of a peer with the same version if it is later than the known one.
    /// Returns whether it was adopted.
    fn extend(&mut self, now: Time, evidence: &PeerEvidence) -> bool {
        let confirmed = evidence.confirmed_at(now, self.incarnation, evidence.age_ms);
        let later = confirmed.filter(|at| self.confirmed.is_none_or(|before| *at > before));
        if later.is_some() {
            (self.confirmed, self.source) = (later, Some(ProofSource::Peer));
        }
        later.is_some()
    }

    /// Returns the time since the version in force was last known to be the newest; `None` if that
    /// was never confirmed.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns the decisions that are permitted at `now`. `is_lost` says that the store does not
    /// answer this host, or only with a copy.
    pub fn trust(&self, now: Time, is_lost: bool) -> ConfigTrust {
        let Some(age) = self.age(now) else { return ConfigTrust::Nothing };
        let revocation_limit = self.limits.revocation_limit.mul_f64(1.0 - RESERVE_SHARE);
        let apply_limit = self.limits.apply_limit.saturating_sub(APPLY_RESERVE);
        match () {
            () if age <= apply_limit.min(revocation_limit) => match self.is_outdated() {
                true => ConfigTrust::Allowed,
                false => ConfigTrust::Full,
            },
            () if !is_lost => ConfigTrust::Nothing,
            () if age <= revocation_limit => ConfigTrust::Allowed,
            () => ConfigTrust::Keyless,
        }
    }
}
