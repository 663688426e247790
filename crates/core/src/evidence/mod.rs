//! Decides what this host may still do by its configuration.
//!
//! Owns the moment at which the configuration in force was last known to be the newest. The store
//! confirms it, or a peer that was confirmed itself hands its confirmation on. When confirmations
//! stop, the host decides nothing that a newer version could forbid: at first nothing at all, as the
//! store would tell, then, if the store does not answer, no request with a key.

use std::time::Duration;

use parsley_macros::{key, message, value};

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Part of the revocation time that is kept as reserve for clocks that run at unlike rates and for
/// the time between the decision and the send.
const RESERVE_SHARE: f64 = 0.1;

/// Part of the time in which a change must be in force that lies between a decision and the send.
const APPLY_RESERVE: Duration = Duration::from_millis(100);

/// How old the evidence may be.
#[value]
#[derive(Copy)]
pub struct EvidenceLimits {
    /// Time after which a key that was taken away must not be served, whatever fails.
    pub revocation_limit: Duration,
    /// Time within which a change must be in force while the store answers.
    pub apply_limit: Duration,
}

/// What may be decided by the configuration in force.
#[key]
pub enum ConfigTrust {
    /// Everything: a newer version would have to be in force only later.
    Full,
    /// What it allows. The store does not answer, so it may be old; a request that it does not
    /// allow must come back.
    Allowed,
    /// What it allows without a key.
    Keyless,
    /// Nothing: the store answers and will tell the newest version.
    Nothing,
}

/// What a peer says about its own configuration, as an answer to a datagram of this host.
#[message]
pub struct PeerEvidence {
    /// Version in force at the peer.
    pub version: u64,
    /// Newest version that the peer has heard of.
    pub newest: u64,
    /// Milliseconds since the version in force was known to be the newest, at the peer's send.
    pub age_ms: Option<u32>,
    /// Process of this host whose datagram the peer received last.
    pub incarnation: u64,
    /// That process's clock in the datagram, in microseconds.
    pub echo: u64,
    /// Milliseconds from that receipt to the peer's send.
    pub held_ms: u32,
}

/// What a peer's evidence is worth to this host.
#[key]
pub enum EvidenceEffect {
    /// There is a newer version.
    Newer,
    /// The configuration in force was the newest at a later moment than was known.
    Extended,
    /// Nothing: the peer has an older version, or no later proof.
    Unchanged,
}

impl EvidenceEffect {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            EvidenceEffect::Newer => "newer",
            EvidenceEffect::Extended => "proof",
            EvidenceEffect::Unchanged => "nothing",
        }
    }
}

/// Evidence that the configuration is the newest.
#[value]
pub struct EvidenceKeeper {
    version: u64,
    /// Newest version that a peer named, and when it was first named.
    newest: (u64, Time),
    confirmed: Option<Time>,
    limits: EvidenceLimits,
    incarnation: u64,
}

impl EvidenceKeeper {
    /// A keeper without a version.
    pub fn new(limits: EvidenceLimits, incarnation: u64) -> EvidenceKeeper {
        EvidenceKeeper { version: 0, newest: (0, Time::ZERO), confirmed: None, limits, incarnation }
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest version that a peer named, and when it was first named.
    pub fn newest_known(&self) -> (u64, Time) {
        self.newest
    }

    /// The store showed `version` in a call that was sent at `asked`. Whatever the answer's delay,
    /// the version was the newest at some moment after that. What peers named before and the store
    /// does not have is wrong.
    pub fn confirm(&mut self, version: u64, asked: Time) {
        if asked >= self.newest.1 {
            self.newest.0 = self.newest.0.min(version);
        }
        if version < self.version {
            return;
        }
        self.version = version;
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// A version is in force of which it is not known whether it is the newest. What was known
    /// of an earlier one holds on, as this one takes away at least as much.
    pub fn adopt(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// What this host can vouch for to a process of a peer whose clock `echo` it was told and held
    /// for some time.
    pub fn attest(&self, now: Time, incarnation: u64, echo: u64, held: Duration) -> PeerEvidence {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        PeerEvidence {
            version: self.version,
            newest: self.newest.0.max(self.version),
            // Rounded against the evidence.
            age_ms: self.age(now).map(|age| millis(age).saturating_add(1)),
            incarnation,
            echo,
            held_ms: millis(held),
        }
    }

    /// Takes over what a peer says. Returns what it is worth.
    ///
    /// The peer received this host's datagram after `echo`, so its confirmation is no older than
    /// `echo + held - age` on this host's clock, however long the answer was under way. An echo of
    /// an earlier process proves nothing: the clock starts anew when a machine loses power.
    pub fn merge(&mut self, now: Time, evidence: &PeerEvidence) -> EvidenceEffect {
        let newest = evidence.newest.max(evidence.version);
        if newest > self.newest.0 {
            self.newest = (newest, now);
        }
        let is_later = evidence.version == self.version && self.extend(now, evidence);
        match () {
            () if newest > self.version => EvidenceEffect::Newer,
            () if is_later => EvidenceEffect::Extended,
            () => EvidenceEffect::Unchanged,
        }
    }

    /// Takes over the proof of a peer with the same version. Returns whether it is later.
    fn extend(&mut self, now: Time, evidence: &PeerEvidence) -> bool {
        let Some(age) = evidence.age_ms else { return false };
        let heard = Time(evidence.echo) + Duration::from_millis(evidence.held_ms.into());
        let proved = heard - Duration::from_millis(age.into());
        let is_own = evidence.incarnation == self.incarnation && evidence.echo > 0;
        let is_later = self.confirmed.is_none_or(|confirmed| proved > confirmed);
        let is_valid = is_own && heard <= now && proved > Time::ZERO && is_later;
        if is_valid {
            self.confirmed = Some(proved);
        }
        is_valid
    }

    /// Time since the version was known to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// What may be decided now, where the store does not answer this host if `is_lost`.
    pub fn trust(&self, now: Time, is_lost: bool) -> ConfigTrust {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let revoke = self.limits.revocation_limit.mul_f64(1.0 - RESERVE_SHARE);
        let apply = self.limits.apply_limit.saturating_sub(APPLY_RESERVE);
        match () {
            () if age <= apply.min(revoke) => ConfigTrust::Full,
            () if !is_lost => ConfigTrust::Nothing,
            () if age <= revoke => ConfigTrust::Allowed,
            () => ConfigTrust::Keyless,
        }
    }
}
