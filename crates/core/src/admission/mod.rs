//! Decides whether a request is admitted, or refused at once with the reason and the time after
//! which a retry can succeed.
//!
//! Owns token buckets and memory held per account and per rank, and the retry budgets. When usage
//! of other hosts stops coming, limits apply to what this host knows.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use parsley_macros::{key, value};

use crate::{
    key::{AccountKey, RankKey, WorkKey},
    refusal::{Reason, Refusal},
    time::Time,
};

#[cfg(test)]
mod tests;

/// Time over which an account may spend its rate at once.
const BURST: Duration = Duration::from_secs(10);
/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed without any first attempt in the window.
const RETRY_FLOOR: u64 = 3;
/// First attempts in the window that allow one more retry.
const FIRST_PER_RETRY: u64 = 10;
/// Shortest `Retry-After`; less would repeat the request before anything changed.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` when memory is held by requests whose end cannot be predicted.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// To whom a limit applies.
#[key]
pub enum LimitKey {
    /// One account.
    Account(AccountKey),
    /// All requests of a rank.
    Rank(RankKey),
}

/// Limits of an account or rank.
#[value]
#[derive(Copy, Default)]
pub struct Limit {
    /// Prompt and generated tokens a second.
    pub tokens_per_second: Option<u64>,
    /// Engine memory of admitted requests, in tokens.
    pub memory_tokens: Option<u64>,
}

/// What the scheduler expects of a request.
#[value]
#[derive(Copy, Default)]
pub struct Forecast {
    /// Time in the queue.
    pub queue_wait: Duration,
    /// Time from dispatch to the first token at the present load.
    pub prefill: Duration,
    /// The same on an idle engine.
    pub idle_prefill: Duration,
    /// Time from the first token to the end.
    pub decode: Duration,
}

/// A request that asks for admission.
#[value]
#[derive(Copy)]
pub struct AdmissionRequest {
    /// The request.
    pub work: WorkKey,
    /// Account.
    pub account: AccountKey,
    /// Rank.
    pub rank: RankKey,
    /// Prompt tokens and the most tokens to generate; also the engine memory it needs.
    pub tokens: u64,
    /// The part of `tokens` that is still to be generated.
    pub max_tokens: u64,
    /// What to expect.
    pub forecast: Forecast,
    /// First token target of the rank.
    pub first_token_target: Duration,
    /// Time until the final answer is due.
    pub time_left: Duration,
}

/// Input of [`AdmissionController::step`].
#[value]
pub enum AdmissionInput {
    /// The limits in force; others are removed.
    Limits(Vec<(LimitKey, Limit)>),
    /// A new request.
    Request(AdmissionRequest),
    /// A request that another host admitted; it counts, whatever the limits.
    Adopt(AdmissionRequest),
    /// A request that failed on its engine and would be sent again.
    Retry(WorkKey),
    /// A request ended.
    Finished {
        /// The request.
        work: WorkKey,
        /// Tokens that were generated.
        produced_tokens: u64,
    },
    /// Use on other hosts.
    RemoteUsage {
        /// Account.
        account: AccountKey,
        /// Rank.
        rank: RankKey,
        /// Tokens since the last input.
        tokens: u64,
        /// Engine memory held now, in tokens.
        held_tokens: u64,
    },
}

/// Output of [`AdmissionController::step`].
#[value]
pub enum AdmissionOutput {
    /// The request may be queued.
    Admitted(WorkKey),
    /// The request gets this answer.
    Refused(WorkKey, Refusal),
}

struct Bucket {
    limit: Limit,
    balance: f64,
    filled: Time,
    held: u64,
    remote: BTreeMap<(AccountKey, RankKey), u64>,
}

impl Bucket {
    fn new(now: Time, limit: Limit, held: u64) -> Bucket {
        let balance = limit.tokens_per_second.unwrap_or(0) as f64 * BURST.as_secs_f64();
        Bucket { limit, balance, filled: now, held, remote: BTreeMap::new() }
    }

    fn refill(&mut self, now: Time) {
        let Some(rate) = self.limit.tokens_per_second else { return };
        let earned = rate as f64 * now.since(self.filled).as_secs_f64();
        self.balance = (self.balance + earned).min(rate as f64 * BURST.as_secs_f64());
        self.filled = self.filled.max(now);
    }

    fn check(&self, tokens: u64) -> Result<(), (&'static str, Duration)> {
        if let Some(rate) = self.limit.tokens_per_second
            && self.balance <= 0.0
        {
            // A request may overdraw the bucket once, so that a long prompt passes a small rate.
            let wait = (1.0 - self.balance) / rate.max(1) as f64;
            return Err(("limit of tokens a second", seconds(wait)));
        }
        let held = self.held + self.remote.values().sum::<u64>();
        if self.limit.memory_tokens.is_some_and(|limit| held + tokens > limit) {
            return Err(("limit of engine memory", MEMORY_RETRY_AFTER));
        }
        Ok(())
    }
}

#[derive(Default)]
struct RetryBudget {
    /// Start of a second, first attempts, retries.
    seconds: VecDeque<(Time, u64, u64)>,
}

impl RetryBudget {
    fn note(&mut self, now: Time, first: u64, retry: u64) {
        match self.seconds.back_mut() {
            Some(last) if now.since(last.0) < Duration::from_secs(1) => {
                last.1 += first;
                last.2 += retry;
            }
            _ => self.seconds.push_back((now, first, retry)),
        }
    }

    fn allows(&mut self, now: Time) -> bool {
        self.seconds.retain(|second| now.since(second.0) < RETRY_WINDOW);
        let first: u64 = self.seconds.iter().map(|second| second.1).sum();
        let retries: u64 = self.seconds.iter().map(|second| second.2).sum();
        retries < first / FIRST_PER_RETRY + RETRY_FLOOR
    }
}

/// Admits requests and refuses them.
#[derive(Default)]
pub struct AdmissionController {
    accounts: BTreeMap<AccountKey, Bucket>,
    ranks: BTreeMap<RankKey, Bucket>,
    budgets: BTreeMap<AccountKey, RetryBudget>,
    open: BTreeMap<WorkKey, AdmissionRequest>,
}

impl AdmissionController {
    /// Advances the gate.
    pub fn step(&mut self, now: Time, input: AdmissionInput) -> Vec<AdmissionOutput> {
        match input {
            AdmissionInput::Limits(limits) => self.set_limits(now, limits),
            AdmissionInput::Request(ask) => return vec![self.ask(now, ask)],
            AdmissionInput::Adopt(ask) => self.open(ask, 0),
            AdmissionInput::Retry(work) => return vec![self.retry(now, work)],
            AdmissionInput::Finished { work, produced_tokens } => self.close(work, produced_tokens),
            AdmissionInput::RemoteUsage { account, rank, tokens, held_tokens } => {
                for bucket in self.buckets_of(account, rank) {
                    bucket.refill(now);
                    bucket.balance -= tokens as f64;
                    bucket.remote.insert((account, rank), held_tokens);
                }
            }
        }
        Vec::new()
    }

    /// Engine memory of the admitted requests of an account, in tokens.
    pub fn held_tokens(&self, account: AccountKey) -> u64 {
        let own = self.open.values().filter(|ask| ask.account == account);
        own.map(|ask| ask.tokens).sum()
    }

    /// Limits of the accounts in force.
    pub fn account_limits(&self) -> Vec<(LimitKey, Limit)> {
        let limits = self.accounts.iter();
        limits.map(|(account, bucket)| (LimitKey::Account(*account), bucket.limit)).collect()
    }

    fn set_limits(&mut self, now: Time, limits: Vec<(LimitKey, Limit)>) {
        let mut accounts = std::mem::take(&mut self.accounts);
        let mut ranks = std::mem::take(&mut self.ranks);
        for (key, limit) in limits {
            let earlier = match key {
                LimitKey::Account(account) => accounts.remove(&account),
                LimitKey::Rank(rank) => ranks.remove(&rank),
            };
            let held = || self.open.values().filter(|ask| applies(key, ask)).map(|ask| ask.tokens);
            let bucket = match earlier {
                Some(bucket) => Bucket { limit, ..bucket },
                None => Bucket::new(now, limit, held().sum()),
            };
            match key {
                LimitKey::Account(account) => drop(self.accounts.insert(account, bucket)),
                LimitKey::Rank(rank) => drop(self.ranks.insert(rank, bucket)),
            }
        }
    }

    fn ask(&mut self, now: Time, ask: AdmissionRequest) -> AdmissionOutput {
        for bucket in self.buckets_of(ask.account, ask.rank) {
            bucket.refill(now);
        }
        if let Some(refusal) = self.over_limit(&ask).or_else(|| too_late(&ask)) {
            return AdmissionOutput::Refused(ask.work, refusal);
        }
        self.budgets.entry(ask.account).or_default().note(now, 1, 0);
        self.open(ask, ask.tokens);
        AdmissionOutput::Admitted(ask.work)
    }

    fn over_limit(&mut self, ask: &AdmissionRequest) -> Option<Refusal> {
        let mut checks = self.buckets_of(ask.account, ask.rank);
        let (text, wait) = checks.find_map(|bucket| bucket.check(ask.tokens).err())?;
        Some(Refusal::not_run(Reason::AccountLimit, text).retry_after(wait.max(MIN_RETRY_AFTER)))
    }

    fn open(&mut self, ask: AdmissionRequest, spent: u64) {
        if self.open.insert(ask.work, ask).is_some() {
            return;
        }
        for bucket in self.buckets_of(ask.account, ask.rank) {
            bucket.held += ask.tokens;
            bucket.balance -= spent as f64;
        }
    }

    fn close(&mut self, work: WorkKey, produced: u64) {
        let Some(ask) = self.open.remove(&work) else { return };
        let unused = ask.max_tokens.saturating_sub(produced);
        for bucket in self.buckets_of(ask.account, ask.rank) {
            bucket.held -= ask.tokens;
            bucket.balance += unused as f64;
        }
    }

    fn retry(&mut self, now: Time, work: WorkKey) -> AdmissionOutput {
        let account = self.open.get(&work).map(|ask| ask.account);
        if let Some(account) = account {
            let budget = self.budgets.entry(account).or_default();
            if budget.allows(now) {
                budget.note(now, 0, 1);
                return AdmissionOutput::Admitted(work);
            }
        }
        let text = "the engine failed and the retry budget is spent";
        let refusal = Refusal::ran(Reason::EngineFailed, text).retry_after(RETRY_WINDOW);
        AdmissionOutput::Refused(work, refusal)
    }

    fn buckets_of(
        &mut self,
        account: AccountKey,
        rank: RankKey,
    ) -> impl Iterator<Item = &mut Bucket> {
        let account = self.accounts.get_mut(&account);
        account.into_iter().chain(self.ranks.get_mut(&rank))
    }
}

fn applies(key: LimitKey, ask: &AdmissionRequest) -> bool {
    match key {
        LimitKey::Account(account) => ask.account == account,
        LimitKey::Rank(rank) => ask.rank == rank,
    }
}

/// The refusal of a request that cannot be served in time. The own prefill of a prompt so long that
/// it takes most of the first token target even on an idle engine extends the target, as no load
/// would ever be low enough otherwise.
fn too_late(ask: &AdmissionRequest) -> Option<Refusal> {
    let Forecast { queue_wait: wait, prefill, idle_prefill, decode } = ask.forecast;
    let total = wait + prefill + decode;
    if idle_prefill + decode > ask.time_left {
        // No lower load helps: the rank's time is too short for this prompt.
        let text = "the prompt takes longer than the time left even on an idle engine";
        return Some(Refusal::not_run(Reason::DeadlineExceeded, text));
    }
    let is_long = idle_prefill * 2 > ask.first_token_target;
    let target =
        if is_long { ask.first_token_target + idle_prefill } else { ask.first_token_target };
    let excess = (wait + prefill).saturating_sub(target).max(total.saturating_sub(ask.time_left));
    if excess.is_zero() {
        return None;
    }
    let text = "the rank's target cannot be met at the current load";
    Some(Refusal::not_run(Reason::Overloaded, text).retry_after(excess.max(MIN_RETRY_AFTER)))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
