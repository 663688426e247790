//! Admission control: admits a request, or refuses it at once with a reason and a `Retry-After`.
//!
//! Owns the token bucket and the held memory of each account and rank, and the retry budgets of
//! accounts. While reports of usage on other hosts are missing, limits apply to the usage known
//! here.

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

/// Capacity of a token bucket, as the time in which it fills at the configured rate.
const BURST: Duration = Duration::from_secs(10);
/// Sliding window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed in a window without any first attempt.
const RETRY_FLOOR: u64 = 3;
/// First attempts in the window per additional retry.
const FIRST_PER_RETRY: u64 = 10;
/// Shortest `Retry-After`. An earlier retry would find the same state.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` at the memory limit, because the end of the requests that hold memory is unknown.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Account or rank that a limit applies to.
#[key]
pub enum LimitKey {
    /// All requests of an account.
    Account(AccountKey),
    /// All requests of a rank.
    Rank(RankKey),
}

/// Limits of an account or rank; `None` is unlimited.
#[value]
#[derive(Copy, Default)]
pub struct Limit {
    /// Prompt and generated tokens per second, averaged over the bucket's capacity.
    pub tokens_per_second: Option<u64>,
    /// Engine memory held by admitted requests, in tokens.
    pub memory_tokens: Option<u64>,
}

/// The scheduler's forecast for a request.
#[value]
#[derive(Copy, Default)]
pub struct Forecast {
    /// Time from admission to dispatch.
    pub queue_wait: Duration,
    /// Time from dispatch to the first token at the current load.
    pub prefill: Duration,
    /// Time from dispatch to the first token on an idle engine.
    pub idle_prefill: Duration,
    /// Time from the first token to the end of the answer.
    pub decode: Duration,
}

/// A request to be admitted.
#[value]
#[derive(Copy)]
pub struct AdmissionRequest {
    /// Key of the request.
    pub work: WorkKey,
    /// Account that is charged.
    pub account: AccountKey,
    /// Rank that is charged.
    pub rank: RankKey,
    /// Prompt tokens plus the most tokens to generate; also the engine memory reserved for it.
    pub tokens: u64,
    /// Most tokens that are still to be generated; those not generated are credited back.
    pub max_tokens: u64,
    /// Forecast of its queueing, prefill and decode time.
    pub forecast: Forecast,
    /// Target time to the first token, set by its rank.
    pub first_token_target: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Input of [`AdmissionController::step`].
#[value]
pub enum AdmissionInput {
    /// All limits in force. Limits that are not listed are removed; the others keep their balance.
    Limits(Vec<(LimitKey, Limit)>),
    /// A new request to admit or refuse.
    Request(AdmissionRequest),
    /// A request that another host admitted. Its memory counts here without a check of the limits;
    /// its tokens are not charged again.
    Adopt(AdmissionRequest),
    /// An admitted request failed on its engine and would be retried.
    Retry(WorkKey),
    /// An admitted request ended.
    Finished {
        /// Key of the request.
        work: WorkKey,
        /// Tokens that were generated for it.
        produced_tokens: u64,
    },
    /// Usage of an account and rank on other hosts.
    RemoteUsage {
        /// Account that used the tokens.
        account: AccountKey,
        /// Rank of the requests.
        rank: RankKey,
        /// Tokens used since the last such input.
        tokens: u64,
        /// Engine memory held there now, in tokens.
        held_tokens: u64,
    },
}

/// Output of [`AdmissionController::step`].
#[value]
pub enum AdmissionOutput {
    /// The request may be queued, or retried.
    Admitted(WorkKey),
    /// The request is refused with this response.
    Refused(WorkKey, Refusal),
}

/// Token bucket and held memory of one account or rank.
struct Bucket {
    limit: Limit,
    /// Tokens available; negative after an overdraft.
    balance: f64,
    last_refill: Time,
    /// Memory held by requests on this host, in tokens.
    held: u64,
    /// Memory held on other hosts, in tokens.
    remote: BTreeMap<(AccountKey, RankKey), u64>,
}

impl Bucket {
    fn new(now: Time, limit: Limit, held: u64) -> Bucket {
        let balance = limit.tokens_per_second.unwrap_or(0) as f64 * BURST.as_secs_f64();
        Bucket { limit, balance, last_refill: now, held, remote: BTreeMap::new() }
    }

    fn refill(&mut self, now: Time) {
        let Some(rate) = self.limit.tokens_per_second else { return };
        let earned = rate as f64 * now.since(self.last_refill).as_secs_f64();
        self.balance = (self.balance + earned).min(rate as f64 * BURST.as_secs_f64());
        self.last_refill = self.last_refill.max(now);
    }

    fn check(&self, tokens: u64) -> Result<(), (&'static str, Duration)> {
        if let Some(rate) = self.limit.tokens_per_second
            && self.balance <= 0.0
        {
            // A positive balance admits a request of any size. Otherwise a prompt larger than the
            // bucket could never pass.
            let wait = (1.0 - self.balance) / rate.max(1) as f64;
            return Err(("the token rate limit is exceeded", seconds(wait)));
        }
        let held = self.held + self.remote.values().sum::<u64>();
        if self.limit.memory_tokens.is_some_and(|limit| held + tokens > limit) {
            return Err(("the engine memory limit is exceeded", MEMORY_RETRY_AFTER));
        }
        Ok(())
    }
}

/// Retry budget of one account, counted in buckets of one second.
#[derive(Default)]
struct RetryBudget {
    /// Start of each second with its first attempts and retries.
    seconds: VecDeque<(Time, u64, u64)>,
}

impl RetryBudget {
    fn record(&mut self, now: Time, first: u64, retry: u64) {
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

/// Applies the limits of accounts and ranks to requests.
#[derive(Default)]
pub struct AdmissionController {
    accounts: BTreeMap<AccountKey, Bucket>,
    ranks: BTreeMap<RankKey, Bucket>,
    budgets: BTreeMap<AccountKey, RetryBudget>,
    admitted: BTreeMap<WorkKey, AdmissionRequest>,
}

impl AdmissionController {
    /// Applies an input. Returns a decision for a request or retry, and nothing for other inputs.
    pub fn step(&mut self, now: Time, input: AdmissionInput) -> Vec<AdmissionOutput> {
        match input {
            AdmissionInput::Limits(limits) => self.set_limits(now, limits),
            AdmissionInput::Request(request) => return vec![self.admit(now, request)],
            AdmissionInput::Adopt(request) => self.track(request, 0),
            AdmissionInput::Retry(work) => return vec![self.retry(now, work)],
            AdmissionInput::Finished { work, produced_tokens } => {
                self.finish(work, produced_tokens)
            }
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

    /// Engine memory held by an account's admitted requests on this host, in tokens.
    pub fn held_tokens(&self, account: AccountKey) -> u64 {
        let own = self.admitted.values().filter(|request| request.account == account);
        own.map(|request| request.tokens).sum()
    }

    /// Limits of all accounts in force.
    pub fn account_limits(&self) -> Vec<(LimitKey, Limit)> {
        let limits = self.accounts.iter();
        limits.map(|(account, bucket)| (LimitKey::Account(*account), bucket.limit)).collect()
    }

    fn set_limits(&mut self, now: Time, limits: Vec<(LimitKey, Limit)>) {
        let mut accounts = std::mem::take(&mut self.accounts);
        let mut ranks = std::mem::take(&mut self.ranks);
        for (key, limit) in limits {
            let previous = match key {
                LimitKey::Account(account) => accounts.remove(&account),
                LimitKey::Rank(rank) => ranks.remove(&rank),
            };
            let held = || {
                self.admitted
                    .values()
                    .filter(|request| applies(key, request))
                    .map(|request| request.tokens)
            };
            let bucket = match previous {
                Some(bucket) => Bucket { limit, ..bucket },
                None => Bucket::new(now, limit, held().sum()),
            };
            match key {
                LimitKey::Account(account) => drop(self.accounts.insert(account, bucket)),
                LimitKey::Rank(rank) => drop(self.ranks.insert(rank, bucket)),
            }
        }
    }

    fn admit(&mut self, now: Time, request: AdmissionRequest) -> AdmissionOutput {
        for bucket in self.buckets_of(request.account, request.rank) {
            bucket.refill(now);
        }
        if let Some(refusal) = self.over_limit(&request).or_else(|| too_late(&request)) {
            return AdmissionOutput::Refused(request.work, refusal);
        }
        self.budgets.entry(request.account).or_default().record(now, 1, 0);
        self.track(request, request.tokens);
        AdmissionOutput::Admitted(request.work)
    }

    fn over_limit(&mut self, request: &AdmissionRequest) -> Option<Refusal> {
        let mut checks = self.buckets_of(request.account, request.rank);
        let (text, wait) = checks.find_map(|bucket| bucket.check(request.tokens).err())?;
        Some(Refusal::not_run(Reason::AccountLimit, text).retry_after(wait.max(MIN_RETRY_AFTER)))
    }

    fn track(&mut self, request: AdmissionRequest, spent: u64) {
        if self.admitted.insert(request.work, request).is_some() {
            return;
        }
        for bucket in self.buckets_of(request.account, request.rank) {
            bucket.held += request.tokens;
            bucket.balance -= spent as f64;
        }
    }

    fn finish(&mut self, work: WorkKey, produced: u64) {
        let Some(request) = self.admitted.remove(&work) else { return };
        let unused = request.max_tokens.saturating_sub(produced);
        for bucket in self.buckets_of(request.account, request.rank) {
            bucket.held -= request.tokens;
            bucket.balance += unused as f64;
        }
    }

    fn retry(&mut self, now: Time, work: WorkKey) -> AdmissionOutput {
        let account = self.admitted.get(&work).map(|request| request.account);
        if let Some(account) = account {
            let budget = self.budgets.entry(account).or_default();
            if budget.allows(now) {
                budget.record(now, 0, 1);
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

fn applies(key: LimitKey, request: &AdmissionRequest) -> bool {
    match key {
        LimitKey::Account(account) => request.account == account,
        LimitKey::Rank(rank) => request.rank == rank,
    }
}

/// Refuses a request that is forecast to miss its first token target or deadline. If the prefill
/// alone takes more than half of the target on an idle engine, it is added to the target, because
/// otherwise such a prompt would be refused at any load.
fn too_late(request: &AdmissionRequest) -> Option<Refusal> {
    let Forecast { queue_wait: wait, prefill, idle_prefill, decode } = request.forecast;
    let total = wait + prefill + decode;
    if idle_prefill + decode > request.time_left {
        // A retry cannot help: the time is too short even without load.
        let text = "the prompt takes longer than the time left even on an idle engine";
        return Some(Refusal::not_run(Reason::DeadlineExceeded, text));
    }
    let is_long = idle_prefill * 2 > request.first_token_target;
    let target = if is_long {
        request.first_token_target + idle_prefill
    } else {
        request.first_token_target
    };
    let excess =
        (wait + prefill).saturating_sub(target).max(total.saturating_sub(request.time_left));
    if excess.is_zero() {
        return None;
    }
    let text = "the rank's target cannot be met at the current load";
    Some(Refusal::not_run(Reason::Overloaded, text).retry_after(excess.max(MIN_RETRY_AFTER)))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
