//! The queue of one rank: start-time fair queueing between accounts, with one lane for each model
//! and size class to avoid head-of-line blocking of short prompts by a long one without room.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    WorkItem,
    cost::{CLASS_COUNT, DecayingSum, size_class},
};
use crate::{
    key::{AccountKey, ModelKey, WorkKey},
    time::Time,
};

/// Decay span of the recent service that is compared with an account's share.
const RECENT_SPAN: Duration = Duration::from_secs(15);
/// Decay span of bursts, in which an account may receive [`BURST_FACTOR`] times its share. It
/// bounds the service of an account that was idle until the longer span shows the overload.
const BURST_SPAN: Duration = Duration::from_secs(1);
const BURST_FACTOR: f64 = 2.0;
/// Resolution of start tags: tag units for one unit of cost at weight 1.
const TAG_UNITS: f64 = 1_000.0;

/// Delay by which a prompt of each size class is ordered behind shorter prompts of its account. It
/// is finite, so that a steady stream of short prompts does not starve the long ones.
const CLASS_DELAY: [Duration; CLASS_COUNT] =
    [Duration::ZERO, Duration::from_millis(500), Duration::from_secs(2), Duration::from_secs(8)];

/// Key of a lane: model and size class.
pub(super) type LaneKey = (ModelKey, usize);

/// A queued request.
pub(super) struct QueuedWork {
    pub item: WorkItem,
    /// Estimated cost, charged when the request is sent.
    pub cost: u64,
    pub queued_at: Time,
    order: i64,
}

/// The next request of a lane. The field order is the order of service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneHead {
    pub service_order: ServiceOrder,
    /// Orders the heads of one account in different lanes: queueing time plus the class delay.
    pub due: Time,
    pub class: usize,
    pub account: AccountKey,
    pub work: WorkKey,
}

/// Order of service between accounts, as (is over its share, start tag): accounts within their
/// share come first.
type ServiceOrder = (bool, u64);

#[derive(Default)]
struct Lane {
    heads: BTreeSet<(ServiceOrder, AccountKey)>,
    works: BTreeMap<AccountKey, BTreeMap<i64, WorkKey>>,
}

#[derive(Default)]
struct AccountQueue {
    start_tag: u64,
    /// Whether the account recently received more than its share.
    is_over_share: bool,
    weight: u32,
    /// Number of requests queued or running.
    open_requests: u32,
    queued_requests: u32,
    /// Estimated cost of the queued requests, by size class.
    queued_cost: [u64; CLASS_COUNT],
    recent: DecayingSum,
    burst: DecayingSum,
    lanes: BTreeSet<LaneKey>,
}

impl AccountQueue {
    fn service_order(&self) -> ServiceOrder {
        (self.is_over_share, self.start_tag)
    }
}

/// The queue of one rank.
#[derive(Default)]
pub(super) struct RankQueue {
    virtual_time: u64,
    accounts: BTreeMap<AccountKey, AccountQueue>,
    lanes: BTreeMap<LaneKey, Lane>,
    queued: BTreeMap<WorkKey, QueuedWork>,
    cost: [u64; CLASS_COUNT],
    active_weight: u64,
    last_order: i64,
    first_order: i64,
}

impl RankQueue {
    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the estimated cost of the requests queued up to a size class. Longer prompts do not
    /// count, because shorter ones overtake them when they find no room.
    pub fn cost_up_to(&self, class: usize) -> u64 {
        self.cost[..=class].iter().sum()
    }

    /// Returns the estimated cost of the requests queued in a size class.
    pub fn class_cost(&self, class: usize) -> u64 {
        self.cost[class]
    }

    /// Returns the estimated cost of an account's queued requests, by size class.
    pub fn account_cost(&self, account: AccountKey) -> [u64; CLASS_COUNT] {
        self.accounts.get(&account).map_or([0; CLASS_COUNT], |queue| queue.queued_cost)
    }

    /// Returns a queued request.
    pub fn get(&self, work: WorkKey) -> Option<&QueuedWork> {
        self.queued.get(&work)
    }

    /// Queues a request behind the requests of its account in the same lane, or at their front.
    pub fn push(&mut self, now: Time, item: WorkItem, weight: u32, cost: u64, at_front: bool) {
        let order = if at_front {
            self.first_order -= 1;
            self.first_order
        } else {
            self.last_order += 1;
            self.last_order
        };
        let (work, account) = (item.work, item.account);
        let lane = (item.model, size_class(item.prompt_tokens));
        self.open_request(account, weight);
        let account_queue = self.accounts.get_mut(&account).expect("opened above");
        // Time in which an account had nothing queued earns it no credit.
        if account_queue.queued_requests == 0 {
            account_queue.start_tag = account_queue.start_tag.max(self.virtual_time);
        }
        account_queue.queued_requests += 1;
        account_queue.queued_cost[lane.1] += cost;
        account_queue.lanes.insert(lane);
        self.cost[lane.1] += cost;
        let service_order = account_queue.service_order();
        let lane = self.lanes.entry(lane).or_default();
        lane.heads.insert((service_order, account));
        lane.works.entry(account).or_default().insert(order, work);
        self.queued.insert(work, QueuedWork { item, cost, queued_at: now, order });
    }

    /// Removes a queued request, whether it is sent to an engine or dropped.
    pub fn remove(&mut self, work: WorkKey) -> Option<QueuedWork> {
        let queued_work = self.queued.remove(&work)?;
        let account = queued_work.item.account;
        let key = (queued_work.item.model, size_class(queued_work.item.prompt_tokens));
        self.cost[key.1] -= queued_work.cost;
        let account_queue = self.accounts.get_mut(&account).expect("has queued work");
        account_queue.queued_requests -= 1;
        account_queue.queued_cost[key.1] -= queued_work.cost;
        let lane = self.lanes.get_mut(&key).expect("holds the work");
        let works = lane.works.get_mut(&account).expect("holds the work");
        works.remove(&queued_work.order);
        if works.is_empty() {
            lane.works.remove(&account);
            lane.heads.remove(&(account_queue.service_order(), account));
            account_queue.lanes.remove(&key);
        }
        if lane.works.is_empty() {
            self.lanes.remove(&key);
        }
        self.close_request(account);
        Some(queued_work)
    }

    /// Returns the heads of all lanes in the order of service.
    pub fn heads(&self) -> Vec<LaneHead> {
        let mut heads: Vec<_> = self.lanes.keys().filter_map(|lane| self.head(*lane)).collect();
        heads.sort_unstable();
        heads
    }

    /// Returns the head of a lane, or `None` if the lane is empty.
    pub fn head(&self, key: LaneKey) -> Option<LaneHead> {
        let lane = self.lanes.get(&key)?;
        let (service_order, account) = *lane.heads.first()?;
        let (_, work) = lane.works[&account].first_key_value()?;
        let due = self.queued[work].queued_at + CLASS_DELAY[key.1];
        Some(LaneHead { service_order, due, class: key.1, account, work: *work })
    }

    /// Counts an open request of the account. The weight applies if no other one is open.
    pub fn open_request(&mut self, account: AccountKey, weight: u32) {
        let account_queue = self.accounts.entry(account).or_default();
        if account_queue.open_requests == 0 {
            account_queue.weight = weight.max(1);
            self.active_weight += u64::from(account_queue.weight);
        }
        account_queue.open_requests += 1;
    }

    /// Uncounts an open request of the account, see [`RankQueue::open_request`].
    pub fn close_request(&mut self, account: AccountKey) {
        let Some(account_queue) = self.accounts.get_mut(&account) else { return };
        account_queue.open_requests -= 1;
        if account_queue.open_requests == 0 {
            self.active_weight -= u64::from(account_queue.weight);
        }
    }

    /// Advances the virtual time to the account's start tag, before the account is charged for the
    /// request that is served.
    pub fn advance_virtual_time(&mut self, account: AccountKey) {
        let tag = self.accounts.get(&account).map_or(0, |queue| queue.start_tag);
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Advances an account's start tag by a cost, or moves it back by a negative one to correct an
    /// estimate.
    pub fn charge(&mut self, account: AccountKey, cost: i64) {
        let Some(account_queue) = self.accounts.get_mut(&account) else { return };
        let units = (cost as f64 * TAG_UNITS / f64::from(account_queue.weight.max(1))) as i64;
        let tag = account_queue.start_tag.saturating_add_signed(units);
        self.reorder(account, |queue| queue.start_tag = tag);
    }

    /// Sets whether an account recently received more than its share.
    pub fn set_over_share(&mut self, account: AccountKey, is_over_share: bool) {
        if self.accounts.get(&account).is_some_and(|queue| queue.is_over_share != is_over_share) {
            self.reorder(account, |queue| queue.is_over_share = is_over_share);
        }
    }

    fn reorder(&mut self, account: AccountKey, change: impl FnOnce(&mut AccountQueue)) {
        let Some(account_queue) = self.accounts.get_mut(&account) else { return };
        let old_order = account_queue.service_order();
        change(account_queue);
        let new_order = account_queue.service_order();
        for key in &account_queue.lanes {
            let heads = &mut self.lanes.get_mut(key).expect("the account is queued there").heads;
            heads.remove(&(old_order, account));
            heads.insert((new_order, account));
        }
    }

    /// Adds cost actually spent to the account's recent service.
    pub fn record_use(&mut self, now: Time, account: AccountKey, cost: u64) {
        let account_queue = self.accounts.entry(account).or_default();
        account_queue.recent.add(now, RECENT_SPAN, cost as f64);
        account_queue.burst.add(now, BURST_SPAN, cost as f64);
    }

    /// Returns the account's weighted share among the accounts with open requests, 0 to 1.
    pub fn share_of(&self, account: AccountKey, weight: u32) -> f64 {
        let own = f64::from(weight.max(1));
        let is_open = self.accounts.get(&account).is_some_and(|queue| queue.open_requests > 0);
        let others = self.active_weight as f64 - if is_open { own } else { 0.0 };
        own / (own + others.max(0.0))
    }

    /// Whether the account's recent service is below a rate, in cost per second, and its burst is
    /// within the allowed factor.
    pub fn is_below_rate(&self, now: Time, account: AccountKey, rate: f64) -> bool {
        let Some(account_queue) = self.accounts.get(&account) else { return true };
        let recent = account_queue.recent.get(now, RECENT_SPAN) / RECENT_SPAN.as_secs_f64();
        let burst = account_queue.burst.get(now, BURST_SPAN) / BURST_SPAN.as_secs_f64();
        recent < rate && burst < rate * BURST_FACTOR
    }

    /// Removes accounts without open requests whose start tag and recent service no longer matter.
    pub fn remove_idle_accounts(&mut self, now: Time) {
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, queue| {
            queue.open_requests > 0
                || queue.start_tag > virtual_time
                || queue.recent.get(now, RECENT_SPAN) > 1.0
        });
    }
}
