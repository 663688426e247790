//! Permits for cold engines, whose bound holds in every second.
//!
//! A request limit may be exceeded for a short time while hosts disagree about its issuer. A cold
//! engine's may not, so the rules differ: permits expire sooner, a bucket saves up less, and whatever
//! would raise a host's part of the rate takes effect only after [`SETTLE_TIME`], when the other
//! hosts have noticed the same change and lowered theirs.

use std::time::Duration;

use parsley_macros::value;

use super::{BUCKET_RETENTION, PermitBucket, PermitIssuer, PermitReply, PermitRequest};
use crate::{fleet::RequestRate, time::Time};

/// Time after a request for permits in which they must be used.
pub(crate) const COLD_PERMIT_TERM: Duration = super::REPLY_TIMEOUT;
/// Time over which a bucket fills up. It makes up for most of the time in which a host waits for a
/// lost reply.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Fraction of the rate that a host issues that is not known to be the issuer for long.
const SUBSTITUTE_SHARE: f64 = 0.05;
/// Longest time until the next permit that a substitute names. Meanwhile the host may reach the
/// issuer again, or this host may become it.
const MAX_SUBSTITUTE_DELAY: Duration = Duration::from_millis(250);
/// Time after which all connected hosts have noticed that a host died or returned. Two hosts notice
/// it at most one heartbeat period of the largest group (800 ms) and the delay of a datagram apart.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Permits that buckets may issue at the beginning of a second beyond what [`BURST_TIME`] yields:
/// two of an issuer and one of its substitute, in a partition by the one and the other side.
const FIRST_PERMITS: f64 = 5.0;

/// Bound on the requests that a cold engine gets in any second.
#[value]
#[derive(Copy)]
pub struct ColdBound {
    /// Factor on the requests per second that the engine takes.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the rate at which permits are issued so that the bound holds for an engine that takes
    /// `per_second`. It is lower than that only if the bound is tight. Requests of one second may
    /// stem from permits of the term before it, from what a bucket saved up, and from a substitute.
    pub fn permit_rate(self, per_second: RequestRate) -> RequestRate {
        let per_second = per_second.per_second();
        let bound = per_second * self.over + self.slack;
        let window = 1.0 + (COLD_PERMIT_TERM + BURST_TIME).as_secs_f64();
        let rate = (bound - FIRST_PERMITS) / (window * (1.0 + SUBSTITUTE_SHARE));
        RequestRate::from_per_second(rate.clamp(0.0, per_second)).expect("clamped to a valid rate")
    }
}

/// What this host knows of the other members when it issues permits.
#[value]
#[derive(Copy)]
pub struct MemberView {
    /// Fraction of the members that this side of a partition has.
    pub live_share: f64,
    /// Digest of the hosts that are alive.
    pub alive_digest: u64,
}

/// The views of the last [`SETTLE_TIME`].
#[derive(Debug, Default)]
pub(super) struct ViewHistory {
    /// Shares in the order of time, each with when it was first seen.
    shares: Vec<(Time, f64)>,
    alive_digest: u64,
    /// When the set of hosts that are alive last changed.
    changed: Time,
}

impl ViewHistory {
    fn observe(&mut self, now: Time, view: MemberView) {
        if self.shares.is_empty() || self.alive_digest != view.alive_digest {
            (self.alive_digest, self.changed) = (view.alive_digest, now);
        }
        if self.shares.last().is_none_or(|(_, share)| *share != view.live_share) {
            self.shares.push((now, view.live_share));
        }
        // A share held until the next one was seen.
        let recent = self.shares.partition_point(|(at, _)| now.since(*at) >= SETTLE_TIME);
        self.shares.drain(..recent.saturating_sub(1));
    }

    /// Returns the lowest share of the last [`SETTLE_TIME`].
    fn share(&self) -> f64 {
        self.shares.iter().map(|(_, share)| *share).fold(1.0, f64::min)
    }
}

impl PermitIssuer {
    /// Records what this host knows of the other members. It is called at least twice a second, so
    /// that the time of a change is known.
    pub fn observe_members(&mut self, now: Time, view: MemberView) {
        self.views.observe(now, view);
    }

    /// Issues the permits that a cold engine's `rate` allows now. `is_issuer` tells whether this
    /// host regards itself as the issuer. Whatever the request says, a host that does not, or not
    /// for long, issues at the rate of a substitute.
    pub fn issue_cold(
        &mut self,
        now: Time,
        request: &PermitRequest,
        rate: RequestRate,
        is_issuer: bool,
    ) -> PermitReply {
        let key = (request.server, request.started_ms);
        if !self.buckets.contains_key(&key) {
            self.purge(now);
        }
        // While the members did not change, this host was the issuer before it was asked.
        let settled = now.since(self.views.changed) >= SETTLE_TIME;
        let since = if settled { self.views.changed } else { now };
        let share = self.views.share();
        let interval = |share: f64| {
            Duration::from_secs_f64(1.0 / (rate.per_second() * share.clamp(1e-3, 1.0)))
        };
        let bucket = self.buckets.entry(key).or_insert_with(|| PermitBucket {
            rate,
            rate_as_of: now,
            full_at: now + BURST_TIME,
            turns_end: now,
            last_request: now,
            issuer_since: None,
        });
        let is_stale = now.since(bucket.last_request) >= BUCKET_RETENTION;
        bucket.issuer_since = match bucket.issuer_since.filter(|_| !is_stale) {
            _ if !is_issuer => None,
            Some(before) => Some(before),
            None => Some(since),
        };
        bucket.last_request = now;
        let is_settled = bucket.issuer_since.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let is_full = is_settled && !request.to_substitute;
        let interval = interval(if is_full { share } else { share * SUBSTITUTE_SHARE });
        // Hosts return late to a bucket that holds a single permit, which would lose a part of the
        // rate. A substitute's holds one, so that it adds little to the issuer's.
        let least = if is_full { interval } else { Duration::ZERO };
        let burst = BURST_TIME.saturating_sub(interval).max(least);
        // Permits of a substitute are seconds apart. The wait for the next one ends with its role.
        bucket.full_at = bucket.full_at.min(now + burst + interval);
        let mut reply = bucket.issue(now, request, interval, burst);
        if !is_full {
            reply.next_us = reply.next_us.min(MAX_SUBSTITUTE_DELAY.as_micros() as u64);
        }
        reply
    }
}
