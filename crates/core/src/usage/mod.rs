//! Adds up what each account spends over all hosts.
//!
//! Owns what this host has not reported yet and the two levels of sums. Reports of active accounts
//! go to a first-level host chosen by account and bucket of the reporter, from there to the
//! account's home host, and the sum returns the same way. Reports carry differences, so a lost
//! datagram leaves a little use uncharged and a change of membership charges nothing twice.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Time between two rounds of reports.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Silence after which a reporter's held memory no longer counts and it gets no sums.
const REPORTER_LIMIT: Duration = Duration::from_secs(3);
/// Silence after which a sum or an account is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Items in one datagram, so that it stays below 1,400 bytes with names of up to 40 bytes.
const MAX_ITEMS: usize = 14;

/// Account and rank, by name.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct UsageKey {
    /// Client account.
    pub account: Arc<str>,
    /// Rank.
    pub rank: Arc<str>,
}

/// Spending in a period, or since a start, and what is held now.
#[message]
#[derive(Copy, Default)]
pub struct UsageAmount {
    /// Cost units.
    pub cost: u64,
    /// Prompt and generated tokens.
    pub tokens: u64,
    /// Engine memory held, in tokens.
    pub held_tokens: u64,
}

/// Which sum a message belongs to.
#[key]
pub enum UsageLevel {
    /// The sum of the hosts of a bucket, at the bucket's first-level host.
    Bucket(u32),
    /// The sum of all buckets at the account's home host, as reported for one bucket.
    Home(u32),
}

type UsageItems = Vec<(UsageKey, UsageAmount)>;

/// A datagram of this slice.
#[message]
pub struct UsageMessage {
    /// Host that sends it.
    pub from: Arc<str>,
    /// What it carries.
    pub body: UsageBody,
}

/// What a usage datagram carries.
#[message]
pub enum UsageBody {
    /// Spending since the sender's last report, upwards.
    Report(UsageLevel, UsageItems),
    /// Spending of all hosts since the home host began to sum, downwards.
    Sum(UsageLevel, UsageItems),
}

/// Input of [`UsageLedger::step`].
#[value]
pub enum UsageInput {
    /// The live hosts, this one included.
    Hosts(Vec<Arc<str>>),
    /// What an account spent on this host since the last input, and what it holds now.
    Spent(UsageKey, UsageAmount),
    /// A datagram arrived.
    Received(UsageMessage),
    /// Time passed; sent every [`REPORT_PERIOD`].
    Tick,
}

/// Output of [`UsageLedger::step`].
#[value]
pub enum UsageOutput {
    /// Send a datagram.
    Send {
        /// Name of the host.
        to: Arc<str>,
        /// Content.
        message: UsageMessage,
    },
    /// What the account spent on other hosts since the last output, and what it holds there.
    Remote(UsageKey, UsageAmount),
}

/// Memory held as each reporter said last.
#[derive(Default)]
struct HeldReports<K> {
    reports: BTreeMap<K, (Time, u64)>,
}

impl<K: Ord> HeldReports<K> {
    fn sum(&self, now: Time) -> u64 {
        self.fresh(now).map(|(_, held)| held).sum()
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&K, u64)> {
        let is_fresh = move |at: Time| now.since(at) <= REPORTER_LIMIT;
        self.reports.iter().filter(move |(_, (at, _))| is_fresh(*at)).map(|(key, (_, h))| (key, *h))
    }

    fn last(&self) -> Time {
        self.reports.values().map(|(at, _)| *at).max().unwrap_or(Time::ZERO)
    }
}

/// First-level sum.
#[derive(Default)]
struct BucketSum {
    /// Spending not yet passed on to the home host.
    cost: u64,
    tokens: u64,
    held: HeldReports<Arc<str>>,
}

/// Sum at the home host.
#[derive(Default)]
struct HomeSum {
    cost: u64,
    tokens: u64,
    held: HeldReports<u32>,
}

/// This host's own spending.
#[derive(Default)]
struct Own {
    /// Not yet reported.
    pending: UsageAmount,
    /// Reported since this host saw the account.
    reported: UsageAmount,
    changed: Time,
    /// The last sum received.
    sum: UsageAmount,
    /// Spending of other hosts that was passed on, relative to the home host's start.
    applied: Option<(i64, i64)>,
}

/// The sums of this host.
pub struct UsageLedger {
    me: Arc<str>,
    hosts: Vec<Arc<str>>,
    own: BTreeMap<UsageKey, Own>,
    buckets: BTreeMap<(UsageKey, u32), BucketSum>,
    homes: BTreeMap<UsageKey, HomeSum>,
}

type Batches = BTreeMap<(Arc<str>, UsageLevel), UsageItems>;

impl UsageLedger {
    /// A ledger that knows this host only.
    pub fn new(me: Arc<str>) -> UsageLedger {
        UsageLedger {
            hosts: vec![me.clone()],
            me,
            own: BTreeMap::new(),
            buckets: BTreeMap::new(),
            homes: BTreeMap::new(),
        }
    }

    /// Advances the ledger.
    pub fn step(&mut self, now: Time, input: UsageInput) -> Vec<UsageOutput> {
        let mut outputs = Vec::new();
        match input {
            UsageInput::Hosts(hosts) => self.hosts = hosts,
            UsageInput::Spent(key, spent) => {
                let own = self.own.entry(key).or_default();
                own.pending.cost += spent.cost;
                own.pending.tokens += spent.tokens;
                own.pending.held_tokens = spent.held_tokens;
                own.changed = now;
            }
            UsageInput::Received(message) => self.receive(now, message, &mut outputs),
            UsageInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<UsageOutput>) {
        let own = self.own_reports(now);
        self.send(now, own, UsageBody::Report, outputs);
        let sums = self.bucket_reports(now);
        self.send(now, sums, UsageBody::Report, outputs);
        self.own.retain(|_, own| now.since(own.changed) < FORGET_AFTER);
        self.buckets.retain(|_, sum| now.since(sum.held.last()) < FORGET_AFTER);
        self.homes.retain(|_, sum| now.since(sum.held.last()) < FORGET_AFTER);
    }

    fn own_reports(&mut self, now: Time) -> Batches {
        let mut batches = Batches::new();
        let bucket = (hash(&[&self.me]) % u64::from(self.bucket_count())) as u32;
        let mut own = std::mem::take(&mut self.own);
        for (key, own) in &mut own {
            // One report follows the last change, so that the sum without it comes back.
            let is_active = now.since(own.changed) <= REPORT_PERIOD * 2;
            if is_active || own.pending.held_tokens > 0 {
                let to = self.highest(&[&key.account, &bucket.to_string()]);
                let batch = batches.entry((to, UsageLevel::Bucket(bucket))).or_default();
                batch.push((key.clone(), own.pending));
                own.reported.cost += own.pending.cost;
                own.reported.tokens += own.pending.tokens;
                own.reported.held_tokens = own.pending.held_tokens;
                (own.pending.cost, own.pending.tokens) = (0, 0);
            }
        }
        self.own = own;
        batches
    }

    fn bucket_reports(&mut self, now: Time) -> Batches {
        let mut batches = Batches::new();
        let mut sums = std::mem::take(&mut self.buckets);
        for ((key, bucket), sum) in &mut sums {
            if now.since(sum.held.last()) > REPORT_PERIOD * 2 && sum.cost + sum.tokens == 0 {
                continue;
            }
            let amount = UsageAmount {
                cost: std::mem::take(&mut sum.cost),
                tokens: std::mem::take(&mut sum.tokens),
                held_tokens: sum.held.sum(now),
            };
            let home = self.highest(&[&key.account, "home"]);
            let batch = batches.entry((home, UsageLevel::Home(*bucket))).or_default();
            batch.push((key.clone(), amount));
        }
        self.buckets = sums;
        batches
    }

    fn receive(&mut self, now: Time, message: UsageMessage, outputs: &mut Vec<UsageOutput>) {
        let UsageMessage { from, body } = message;
        match body {
            UsageBody::Report(UsageLevel::Bucket(bucket), items) => {
                for (key, amount) in items {
                    let sum = self.buckets.entry((key, bucket)).or_default();
                    sum.cost += amount.cost;
                    sum.tokens += amount.tokens;
                    sum.held.reports.insert(from.clone(), (now, amount.held_tokens));
                }
            }
            UsageBody::Report(UsageLevel::Home(bucket), items) => {
                let sums = items.into_iter().map(|(key, amount)| {
                    let sum = self.homes.entry(key.clone()).or_default();
                    sum.cost += amount.cost;
                    sum.tokens += amount.tokens;
                    sum.held.reports.insert(bucket, (now, amount.held_tokens));
                    let (cost, tokens) = (sum.cost, sum.tokens);
                    (key, UsageAmount { cost, tokens, held_tokens: sum.held.sum(now) })
                });
                let batch = Batches::from([((from, UsageLevel::Home(bucket)), sums.collect())]);
                self.send(now, batch, UsageBody::Sum, outputs);
            }
            UsageBody::Sum(UsageLevel::Home(bucket), items) => {
                let batches = self.spread(now, bucket, &items);
                self.send(now, batches, UsageBody::Sum, outputs);
            }
            UsageBody::Sum(UsageLevel::Bucket(_), items) => {
                outputs.extend(items.into_iter().filter_map(|(key, sum)| self.apply(key, sum)));
            }
        }
    }

    /// Passes sums on to the hosts of the bucket that report the account.
    fn spread(&self, now: Time, bucket: u32, items: &UsageItems) -> Batches {
        let mut batches = Batches::new();
        for (key, amount) in items {
            let Some(sum) = self.buckets.get(&(key.clone(), bucket)) else { continue };
            for (host, _) in sum.held.fresh(now) {
                let level = UsageLevel::Bucket(bucket);
                let batch = batches.entry((host.clone(), level)).or_default();
                batch.push((key.clone(), *amount));
            }
        }
        batches
    }

    /// Sends batches in datagrams; what goes to this host is taken at once.
    fn send(
        &mut self,
        now: Time,
        batches: Batches,
        wrap: fn(UsageLevel, UsageItems) -> UsageBody,
        outputs: &mut Vec<UsageOutput>,
    ) {
        for ((to, level), items) in batches {
            for part in items.chunks(MAX_ITEMS) {
                let body = wrap(level, part.to_vec());
                let message = UsageMessage { from: self.me.clone(), body };
                if to == self.me {
                    self.receive(now, message, outputs);
                } else {
                    outputs.push(UsageOutput::Send { to: to.clone(), message });
                }
            }
        }
    }

    /// What other hosts added since the last sum.
    fn apply(&mut self, key: UsageKey, sum: UsageAmount) -> Option<UsageOutput> {
        let own = self.own.get_mut(&key)?;
        let others = (
            sum.cost as i64 - own.reported.cost as i64,
            sum.tokens as i64 - own.reported.tokens as i64,
        );
        // A sum that shrank comes from a new home host. What others spent before this host saw the
        // account is not held against it.
        let is_rebased = sum.cost < own.sum.cost || sum.tokens < own.sum.tokens;
        let known = own.applied.filter(|_| !is_rebased).unwrap_or(others);
        let latest = (known.0.max(others.0), known.1.max(others.1));
        let held_tokens = sum.held_tokens.saturating_sub(own.reported.held_tokens);
        let held_changed = sum.held_tokens != own.sum.held_tokens;
        own.applied = Some(latest);
        own.sum = sum;
        let cost = (latest.0 - known.0) as u64;
        let tokens = (latest.1 - known.1) as u64;
        let spent = UsageAmount { cost, tokens, held_tokens };
        (cost > 0 || tokens > 0 || held_changed).then_some(UsageOutput::Remote(key, spent))
    }

    /// Number of buckets: the square root of the number of hosts.
    fn bucket_count(&self) -> u32 {
        (self.hosts.len() as f64).sqrt().ceil().max(1.0) as u32
    }

    fn highest(&self, name: &[&str]) -> Arc<str> {
        let score = |host: &&Arc<str>| hash(&[name, &[host]].concat());
        self.hosts.iter().max_by_key(score).unwrap_or(&self.me).clone()
    }
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}
