//! Aggregates the usage of each account over all hosts in a two-level tree.
//!
//! Owns this host's unreported usage and the partial sums it aggregates for others. A host reports
//! the usage of active accounts to a first-level host, chosen by account and the reporter's bucket.
//! That host reports its sums to the account's home host, and the total returns along the same
//! path. Reports carry increments, so a lost datagram leaves a little usage uncharged, and a
//! membership change charges nothing twice.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{key, message, value};

use crate::time::Time;

#[cfg(test)]
mod tests;

/// Interval between two rounds of reports.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Silence after which a reporter's held memory no longer counts and it receives no totals.
const REPORTER_LIMIT: Duration = Duration::from_secs(3);
/// Inactivity after which a sum or an account's usage is dropped.
const RETENTION: Duration = Duration::from_secs(60);
/// Most items in one datagram, which keeps it below 1,400 bytes with names of up to 40 bytes.
const MAX_ITEMS: usize = 14;

/// Account and rank that usage is counted for, by name.
#[message]
#[derive(Eq, PartialOrd, Ord)]
pub struct UsageKey {
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the rank.
    pub rank: Arc<str>,
}

/// Usage as an increment or a total, and the memory held now.
#[message]
#[derive(Copy, Default)]
pub struct UsageAmount {
    /// Usage in cost units.
    pub cost: u64,
    /// Prompt and generated tokens together.
    pub tokens: u64,
    /// Engine memory held now, in tokens.
    pub held_tokens: u64,
}

/// Level of the aggregation tree that a message belongs to.
#[key]
pub enum UsageLevel {
    /// Between a host and the first-level host of its bucket.
    Bucket(u32),
    /// Between the first-level host of a bucket and the account's home host.
    Home(u32),
}

type UsageItems = Vec<(UsageKey, UsageAmount)>;

/// A usage datagram between hosts.
#[message]
pub struct UsageMessage {
    /// Name of the host that sends it.
    pub from: Arc<str>,
    /// Report or total that it carries.
    pub body: UsageBody,
}

/// Content of a usage datagram.
#[message]
pub enum UsageBody {
    /// Usage since the sender's last report, sent up the tree.
    Report(UsageLevel, UsageItems),
    /// Usage of all hosts since the home host began to aggregate, sent down the tree.
    Sum(UsageLevel, UsageItems),
}

/// Input of [`UsageLedger::step`].
#[value]
pub enum UsageInput {
    /// The live hosts, this one included.
    Hosts(Vec<Arc<str>>),
    /// Usage of an account on this host since the last input, and the memory it holds now.
    Spent(UsageKey, UsageAmount),
    /// A datagram arrived.
    Received(UsageMessage),
    /// A timer fired; expected every [`REPORT_PERIOD`].
    Tick,
}

/// Output of [`UsageLedger::step`].
#[value]
pub enum UsageOutput {
    /// Send a datagram.
    Send {
        /// Name of the receiving host.
        to: Arc<str>,
        /// Datagram to send.
        message: UsageMessage,
    },
    /// Usage of an account on other hosts since the last output, and the memory it holds there.
    Remote(UsageKey, UsageAmount),
}

/// Memory held according to the last report of each reporter, with its time.
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
        self.reports
            .iter()
            .filter(move |(_, (at, _))| is_fresh(*at))
            .map(|(key, (_, held))| (key, *held))
    }

    fn last(&self) -> Time {
        self.reports.values().map(|(at, _)| *at).max().unwrap_or(Time::ZERO)
    }
}

/// Sum at a first-level host.
#[derive(Default)]
struct BucketSum {
    /// Usage not yet reported to the home host.
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

/// Usage of an account on this host.
#[derive(Default)]
struct LocalUsage {
    /// Usage not yet reported.
    pending: UsageAmount,
    /// Usage reported since this host first saw the account.
    reported: UsageAmount,
    changed: Time,
    /// Last total received.
    sum: UsageAmount,
    /// Cost and tokens of other hosts that were output so far: totals less the usage reported here.
    /// Negative if the home host began to aggregate after this host's first reports.
    applied: Option<(i64, i64)>,
}

/// Usage of this host and the sums that it aggregates for others.
pub struct UsageLedger {
    me: Arc<str>,
    hosts: Vec<Arc<str>>,
    local: BTreeMap<UsageKey, LocalUsage>,
    buckets: BTreeMap<(UsageKey, u32), BucketSum>,
    homes: BTreeMap<UsageKey, HomeSum>,
}

type Batches = BTreeMap<(Arc<str>, UsageLevel), UsageItems>;

impl UsageLedger {
    /// Creates a ledger that knows only this host.
    pub fn new(me: Arc<str>) -> UsageLedger {
        UsageLedger {
            hosts: vec![me.clone()],
            me,
            local: BTreeMap::new(),
            buckets: BTreeMap::new(),
            homes: BTreeMap::new(),
        }
    }

    /// Applies an input and returns datagrams to send and usage to charge.
    pub fn step(&mut self, now: Time, input: UsageInput) -> Vec<UsageOutput> {
        let mut outputs = Vec::new();
        match input {
            UsageInput::Hosts(hosts) => self.hosts = hosts,
            UsageInput::Spent(key, spent) => {
                let local = self.local.entry(key).or_default();
                local.pending.cost += spent.cost;
                local.pending.tokens += spent.tokens;
                local.pending.held_tokens = spent.held_tokens;
                local.changed = now;
            }
            UsageInput::Received(message) => self.receive(now, message, &mut outputs),
            UsageInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<UsageOutput>) {
        let reports = self.local_reports(now);
        self.send(now, reports, UsageBody::Report, outputs);
        let reports = self.bucket_reports(now);
        self.send(now, reports, UsageBody::Report, outputs);
        self.local.retain(|_, usage| now.since(usage.changed) < RETENTION);
        self.buckets.retain(|_, sum| now.since(sum.held.last()) < RETENTION);
        self.homes.retain(|_, sum| now.since(sum.held.last()) < RETENTION);
    }

    fn local_reports(&mut self, now: Time) -> Batches {
        let mut batches = Batches::new();
        let bucket = (hash(&[&self.me]) % u64::from(self.bucket_count())) as u32;
        let mut usages = std::mem::take(&mut self.local);
        for (key, usage) in &mut usages {
            // Reports continue briefly after the last change, so that the total that includes it
            // is returned.
            let is_active = now.since(usage.changed) <= REPORT_PERIOD * 2;
            if is_active || usage.pending.held_tokens > 0 {
                let to = self.rendezvous_host(&[&key.account, &bucket.to_string()]);
                let batch = batches.entry((to, UsageLevel::Bucket(bucket))).or_default();
                batch.push((key.clone(), usage.pending));
                usage.reported.cost += usage.pending.cost;
                usage.reported.tokens += usage.pending.tokens;
                usage.reported.held_tokens = usage.pending.held_tokens;
                (usage.pending.cost, usage.pending.tokens) = (0, 0);
            }
        }
        self.local = usages;
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
            let home = self.rendezvous_host(&[&key.account, "home"]);
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
                let batches = self.forward_totals(now, bucket, &items);
                self.send(now, batches, UsageBody::Sum, outputs);
            }
            UsageBody::Sum(UsageLevel::Bucket(_), items) => {
                outputs.extend(items.into_iter().filter_map(|(key, sum)| self.apply(key, sum)));
            }
        }
    }

    /// Forwards totals to the hosts of a bucket that recently reported the account.
    fn forward_totals(&self, now: Time, bucket: u32, items: &UsageItems) -> Batches {
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

    /// Splits batches into datagrams. Those addressed to this host are applied at once.
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

    /// Derives the usage that other hosts added since the last total.
    fn apply(&mut self, key: UsageKey, sum: UsageAmount) -> Option<UsageOutput> {
        let local = self.local.get_mut(&key)?;
        let others = (
            sum.cost as i64 - local.reported.cost as i64,
            sum.tokens as i64 - local.reported.tokens as i64,
        );
        // A smaller total comes from a new home host and restarts the comparison. Usage of other
        // hosts before the first total is not charged either.
        let is_rebased = sum.cost < local.sum.cost || sum.tokens < local.sum.tokens;
        let previous = local.applied.filter(|_| !is_rebased).unwrap_or(others);
        let latest = (previous.0.max(others.0), previous.1.max(others.1));
        let held_tokens = sum.held_tokens.saturating_sub(local.reported.held_tokens);
        let held_changed = sum.held_tokens != local.sum.held_tokens;
        local.applied = Some(latest);
        local.sum = sum;
        let cost = (latest.0 - previous.0) as u64;
        let tokens = (latest.1 - previous.1) as u64;
        let spent = UsageAmount { cost, tokens, held_tokens };
        (cost > 0 || tokens > 0 || held_changed).then_some(UsageOutput::Remote(key, spent))
    }

    /// Number of buckets: the square root of the number of hosts, rounded up, which balances both
    /// levels of the tree.
    fn bucket_count(&self) -> u32 {
        (self.hosts.len() as f64).sqrt().ceil().max(1.0) as u32
    }

    /// Chooses a host for a name by rendezvous hashing.
    fn rendezvous_host(&self, name: &[&str]) -> Arc<str> {
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
