//! The queue of one rank: start-time fair queueing between accounts, one lane for each model and
//! size class so that a long prompt without room blocks no short one.

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

/// Span over which an account's recent service is compared with its share.
const RECENT_SPAN: Duration = Duration::from_secs(15);
/// A shorter span, in which an account may receive [`BURST_FACTOR`] times its share. It bounds what
/// an account that was idle gets before the longer span shows that it floods.
const BURST_SPAN: Duration = Duration::from_secs(1);
const BURST_FACTOR: f64 = 2.0;
/// Resolution of tags: tag units for one unit of cost at weight 1.
const TAG_UNITS: f64 = 1_000.0;

/// Time by which a longer prompt of an account is put behind its shorter ones. It is finite, so that
/// long prompts age and short ones that keep coming do not hold them back for good.
const CLASS_DELAY: [Duration; CLASS_COUNT] =
    [Duration::ZERO, Duration::from_millis(500), Duration::from_secs(2), Duration::from_secs(8)];

/// A lane: model and size class.
pub(super) type LaneKey = (ModelKey, usize);

/// A queued request.
pub(super) struct Waiting {
    pub item: WorkItem,
    /// Estimated cost.
    pub cost: u64,
    pub since: Time,
    order: i64,
}

/// The request that a lane would serve next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Head {
    pub place: Place,
    /// Orders the requests of one account: when it came, and later the longer it is.
    pub due: Time,
    pub class: usize,
    pub account: AccountKey,
    pub work: WorkKey,
}

/// Place of an account in the order of service: accounts within their share first, then by tag.
type Place = (bool, u64);

#[derive(Default)]
struct Lane {
    heads: BTreeSet<(Place, AccountKey)>,
    works: BTreeMap<AccountKey, BTreeMap<i64, WorkKey>>,
}

#[derive(Default)]
struct Client {
    tag: u64,
    /// Whether the account got more than its share lately.
    is_over: bool,
    weight: u32,
    /// Requests queued and running.
    open: u32,
    queued: u32,
    /// Estimated cost queued, by size class.
    queued_cost: [u64; CLASS_COUNT],
    recent: DecayingSum,
    burst: DecayingSum,
    lanes: BTreeSet<LaneKey>,
}

impl Client {
    fn place(&self) -> Place {
        (self.is_over, self.tag)
    }
}

/// The queue of one rank.
#[derive(Default)]
pub(super) struct RankQueue {
    virtual_time: u64,
    clients: BTreeMap<AccountKey, Client>,
    lanes: BTreeMap<LaneKey, Lane>,
    waiting: BTreeMap<WorkKey, Waiting>,
    cost: [u64; CLASS_COUNT],
    active_weight: u64,
    last_order: i64,
    first_order: i64,
}

impl RankQueue {
    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Estimated cost of what is queued up to a size class. Longer prompts that find no room are
    /// passed by shorter ones, so they are not ahead of them.
    pub fn cost_up_to(&self, class: usize) -> u64 {
        self.cost[..=class].iter().sum()
    }

    /// Estimated cost of what is queued in a size class.
    pub fn class_cost(&self, class: usize) -> u64 {
        self.cost[class]
    }

    /// Estimated cost of what an account has queued, by size class.
    pub fn client_cost(&self, account: AccountKey) -> [u64; CLASS_COUNT] {
        self.clients.get(&account).map_or([0; CLASS_COUNT], |client| client.queued_cost)
    }

    /// The queued request.
    pub fn get(&self, work: WorkKey) -> Option<&Waiting> {
        self.waiting.get(&work)
    }

    /// Queues a request behind those of its account, or ahead of them.
    pub fn push(&mut self, now: Time, item: WorkItem, weight: u32, cost: u64, ahead: bool) {
        let order = if ahead {
            self.first_order -= 1;
            self.first_order
        } else {
            self.last_order += 1;
            self.last_order
        };
        let (work, account) = (item.work, item.account);
        let lane = (item.model, size_class(item.prompt_tokens));
        self.open(account, weight);
        let client = self.clients.get_mut(&account).expect("opened above");
        // Idle time earns no credit.
        if client.queued == 0 {
            client.tag = client.tag.max(self.virtual_time);
        }
        client.queued += 1;
        client.queued_cost[lane.1] += cost;
        client.lanes.insert(lane);
        self.cost[lane.1] += cost;
        let place = client.place();
        let lane = self.lanes.entry(lane).or_default();
        lane.heads.insert((place, account));
        lane.works.entry(account).or_default().insert(order, work);
        self.waiting.insert(work, Waiting { item, cost, since: now, order });
    }

    /// Removes a queued request.
    pub fn remove(&mut self, work: WorkKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&work)?;
        let account = waiting.item.account;
        let key = (waiting.item.model, size_class(waiting.item.prompt_tokens));
        self.cost[key.1] -= waiting.cost;
        let client = self.clients.get_mut(&account).expect("has queued work");
        client.queued -= 1;
        client.queued_cost[key.1] -= waiting.cost;
        let lane = self.lanes.get_mut(&key).expect("holds the work");
        let works = lane.works.get_mut(&account).expect("holds the work");
        works.remove(&waiting.order);
        if works.is_empty() {
            lane.works.remove(&account);
            lane.heads.remove(&(client.place(), account));
            client.lanes.remove(&key);
        }
        if lane.works.is_empty() {
            self.lanes.remove(&key);
        }
        self.close(account);
        Some(waiting)
    }

    /// The heads of all lanes, fairest first.
    pub fn heads(&self) -> Vec<Head> {
        let mut heads: Vec<_> = self.lanes.keys().filter_map(|lane| self.head(*lane)).collect();
        heads.sort_unstable();
        heads
    }

    /// The head of a lane.
    pub fn head(&self, key: LaneKey) -> Option<Head> {
        let lane = self.lanes.get(&key)?;
        let (place, account) = *lane.heads.first()?;
        let (_, work) = lane.works[&account].first_key_value()?;
        let due = self.waiting[work].since + CLASS_DELAY[key.1];
        Some(Head { place, due, class: key.1, account, work: *work })
    }

    /// Counts a request of the account that was not queued as open.
    pub fn open(&mut self, account: AccountKey, weight: u32) {
        let client = self.clients.entry(account).or_default();
        if client.open == 0 {
            client.weight = weight.max(1);
            self.active_weight += u64::from(client.weight);
        }
        client.open += 1;
    }

    /// Ends what [`RankQueue::open`] began.
    pub fn close(&mut self, account: AccountKey) {
        let Some(client) = self.clients.get_mut(&account) else { return };
        client.open -= 1;
        if client.open == 0 {
            self.active_weight -= u64::from(client.weight);
        }
    }

    /// Notes that the account is served next: the virtual time reaches its tag.
    pub fn serve(&mut self, account: AccountKey) {
        let tag = self.clients.get(&account).map_or(0, |client| client.tag);
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Charges an account, or gives back what was charged too much.
    pub fn charge(&mut self, account: AccountKey, cost: i64) {
        let Some(client) = self.clients.get_mut(&account) else { return };
        let units = (cost as f64 * TAG_UNITS / f64::from(client.weight.max(1))) as i64;
        let tag = client.tag.saturating_add_signed(units);
        self.move_to(account, |client| client.tag = tag);
    }

    /// Notes whether an account got more than its share lately.
    pub fn set_over(&mut self, account: AccountKey, is_over: bool) {
        if self.clients.get(&account).is_some_and(|client| client.is_over != is_over) {
            self.move_to(account, |client| client.is_over = is_over);
        }
    }

    fn move_to(&mut self, account: AccountKey, change: impl FnOnce(&mut Client)) {
        let Some(client) = self.clients.get_mut(&account) else { return };
        let before = client.place();
        change(client);
        let after = client.place();
        for key in &client.lanes {
            let heads = &mut self.lanes.get_mut(key).expect("client is queued there").heads;
            heads.remove(&(before, account));
            heads.insert((after, account));
        }
    }

    /// Adds actual service to the account's recent use.
    pub fn note_use(&mut self, now: Time, account: AccountKey, cost: u64) {
        let client = self.clients.entry(account).or_default();
        client.recent.add(now, RECENT_SPAN, cost as f64);
        client.burst.add(now, BURST_SPAN, cost as f64);
    }

    /// The account's share among the accounts with open requests, 0 to 1.
    pub fn share(&self, account: AccountKey, weight: u32) -> f64 {
        let own = f64::from(weight.max(1));
        let is_open = self.clients.get(&account).is_some_and(|client| client.open > 0);
        let others = self.active_weight as f64 - if is_open { own } else { 0.0 };
        own / (own + others.max(0.0))
    }

    /// Whether the account received less than a rate lately, in cost a second.
    pub fn is_below(&self, now: Time, account: AccountKey, rate: f64) -> bool {
        let Some(client) = self.clients.get(&account) else { return true };
        let recent = client.recent.get(now, RECENT_SPAN) / RECENT_SPAN.as_secs_f64();
        let burst = client.burst.get(now, BURST_SPAN) / BURST_SPAN.as_secs_f64();
        recent < rate && burst < rate * BURST_FACTOR
    }

    /// Forgets accounts that have nothing open and are not ahead of the virtual time.
    pub fn forget_idle(&mut self, now: Time) {
        let virtual_time = self.virtual_time;
        self.clients.retain(|_, client| {
            client.open > 0
                || client.tag > virtual_time
                || client.recent.get(now, RECENT_SPAN) > 1.0
        });
    }
}
