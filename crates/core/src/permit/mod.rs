//! Shares the request limit of a backend server among all hosts.
//!
//! One member, drawn by the server's tag, issues the permits of a server. Every other host requests
//! a permit before it sends the server a request. [`PermitIssuer`] owns one token bucket for each
//! server that this host issues permits for; [`PermitHolder`] owns the permits of this host for one
//! server. Unused permits expire. When an issuer stops replying, hosts request permits from its
//! substitute, the next member in the drawn order. Hosts may ask both at the same time, because
//! datagrams get lost, so a substitute issues at a lower rate until the members agree that it is the
//! issuer.

use std::{collections::BTreeMap, time::Duration};

use parsley_macros::{message, value};

use crate::{
    fleet::{EngineTag, RequestRate},
    time::Time,
};

mod cold;
#[cfg(test)]
mod cold_tests;
mod holder;
#[cfg(test)]
mod tests;

pub(crate) use cold::COLD_PERMIT_TERM;
use cold::ViewHistory;
pub use cold::{ColdBound, MemberView};
pub(crate) use holder::REPLY_TIMEOUT;
pub use holder::{PermitHolder, PermitState};

/// Time over which a bucket fills up: the longest burst of a server's limit.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Longest initial delay of a new bucket. An earlier issuer may have issued permits up to now.
const MAX_START_DELAY: Duration = Duration::from_secs(1);
/// Longest delay for which a turn is promised to a host that got no permit. Later hosts compete.
const MAX_TURN_DELAY: Duration = Duration::from_millis(500);
/// Fraction of the limit that a substitute issues in addition to the issuer.
const SUBSTITUTE_SHARE: f64 = 0.3;
/// Time without requests after which a bucket is dropped.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Most buckets that are kept.
const BUCKET_LIMIT: usize = 20_000;

/// Request of a host for permits.
#[message]
pub struct PermitRequest {
    /// Server that the permits are for.
    pub server: EngineTag,
    /// Start of the server's process in Unix milliseconds by its own clock.
    pub started_ms: u64,
    /// Number of this request, which the reply repeats.
    pub number: u32,
    /// Whether the request goes to the issuer's substitute.
    pub to_substitute: bool,
    /// Most permits that the host can use now.
    pub wanted: u8,
    /// Limit of the server as the host knows it.
    pub rate: RequestRate,
    /// Age of that knowledge in microseconds.
    pub rate_age_us: u64,
}

/// Reply to a [`PermitRequest`].
#[message]
pub struct PermitReply {
    /// Server that the permits are for.
    pub server: EngineTag,
    /// Number of the request.
    pub number: u32,
    /// Permits issued. Each allows one request to be sent.
    pub issued: u8,
    /// Time until the host should request the next permit, in microseconds.
    pub next_us: u64,
}

/// Token bucket of one server's process, in the form of the generic cell rate algorithm.
#[value]
struct PermitBucket {
    rate: RequestRate,
    /// When the server was last known to name this rate.
    rate_as_of: Time,
    /// When the bucket will be full.
    full_at: Time,
    /// End of the turns promised to hosts that got no permit.
    turns_end: Time,
    last_request: Time,
    /// Since when this host has regarded itself as the issuer; used for cold engines only.
    issuer_since: Option<Time>,
}

impl PermitBucket {
    /// Issues the wanted permits that are available, one every `interval` and up to `burst` ahead.
    fn issue(
        &mut self,
        now: Time,
        request: &PermitRequest,
        interval: Duration,
        burst: Duration,
    ) -> PermitReply {
        let mut issued = 0;
        while issued < request.wanted && self.full_at <= now + burst {
            self.full_at = self.full_at.max(now) + interval;
            issued += 1;
        }
        let next = if issued == request.wanted {
            now
        } else {
            let opening = (self.full_at - burst).max(now);
            let turn = opening.max(self.turns_end.min(now + MAX_TURN_DELAY));
            self.turns_end = turn + interval;
            turn
        };
        let next_us = next.since(now).as_micros() as u64;
        PermitReply { server: request.server, number: request.number, issued, next_us }
    }
}

/// Issues the permits of the servers for which this host is the issuer.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<(EngineTag, u64), PermitBucket>,
    views: ViewHistory,
}

impl PermitIssuer {
    /// Issues the permits that the server's limit allows now. `share` is the fraction of the limit
    /// that this side of a partition may use.
    pub fn issue(&mut self, now: Time, request: &PermitRequest, share: f64) -> PermitReply {
        let key = (request.server, request.started_ms);
        if !self.buckets.contains_key(&key) {
            self.purge(now);
        }
        let rate_as_of = Time(now.0.saturating_sub(request.rate_age_us));
        let share = if request.to_substitute { share * SUBSTITUTE_SHARE } else { share };
        let interval = |rate: RequestRate| {
            Duration::from_secs_f64(1.0 / (rate.per_second() * share.clamp(1e-3, 1.0)))
        };
        // A full bucket holds one permit, or as many as its rate yields in the burst time.
        let burst = |interval: Duration| BURST_TIME.saturating_sub(interval);
        let first_interval = interval(request.rate);
        let full_at = now + burst(first_interval) + first_interval.min(MAX_START_DELAY);
        let bucket = self.buckets.entry(key).or_insert_with(|| PermitBucket {
            rate: request.rate,
            rate_as_of,
            full_at,
            turns_end: now,
            last_request: now,
            issuer_since: None,
        });
        bucket.last_request = now;
        if rate_as_of > bucket.rate_as_of {
            (bucket.rate, bucket.rate_as_of) = (request.rate, rate_as_of);
        }
        let interval = interval(bucket.rate);
        bucket.issue(now, request, interval, burst(interval))
    }

    /// Drops buckets that are not used any more, and any one above [`BUCKET_LIMIT`].
    fn purge(&mut self, now: Time) {
        self.buckets.retain(|_, bucket| now.since(bucket.last_request) < BUCKET_RETENTION);
        if self.buckets.len() >= BUCKET_LIMIT {
            self.buckets.pop_first();
        }
    }
}
