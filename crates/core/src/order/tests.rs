//! Runs order keepers against a simulated key-value service and engines, in virtual time with
//! injected faults.

use super::*;
use crate::{fixed_cases, resource::ResourceKind};

fn names(list: &[&str]) -> BTreeSet<Arc<str>> {
    list.iter().map(|name| Arc::from(*name)).collect()
}

fn desired(models: &[&str], checks_fencing: bool) -> DesiredEngine {
    DesiredEngine { models: names(models), unmanaged: BTreeSet::new(), checks_fencing }
}

/// Name of the engine with this index among those of shard 0.
fn engine(index: usize) -> Arc<str> {
    let all = (0..).map(|number| format!("engine-{number}"));
    all.filter(|name| shard_of(name) == ShardKey(0)).nth(index).expect("endless").into()
}

fn seconds(count: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(count)
}

fn keeper(engines: &[(Arc<str>, DesiredEngine)]) -> OrderKeeper {
    let mut keeper = OrderKeeper::default();
    keeper.step(Time::ZERO, OrderInput::ShardsAssigned([ShardKey(0)].into()));
    keeper.step(Time::ZERO, OrderInput::Desired(engines.iter().cloned().collect()));
    keeper.step(Time::ZERO, OrderInput::LoadRate(800.0));
    keeper
}

fn lease(keeper: &mut OrderKeeper, fencing: u64, sent: Time) {
    grant(keeper, sent, OrderInput::Leased { shard: ShardKey(0), fencing, sent });
}

/// Passes in the answer to a lease request, and confirms the configuration read if one is
/// requested.
fn grant(keeper: &mut OrderKeeper, now: Time, answer: OrderInput) {
    for output in keeper.step(now, answer) {
        if let OrderOutput::ReadConfig { shard, fencing } = output {
            keeper.step(now, OrderInput::ConfigRead { shard, fencing });
        }
    }
}

fn observe(keeper: &mut OrderKeeper, now: Time, index: usize, models: &[&str]) {
    keeper.step(now, OrderInput::Observed { engine: engine(index), models: names(models) });
}

fn sends(keeper: &mut OrderKeeper, now: Time) -> Vec<RoleOrder> {
    let outputs = keeper.step(now, OrderInput::Tick);
    let send = |output| match output {
        OrderOutput::Send { order, .. } => Some(order),
        _ => None,
    };
    outputs.into_iter().filter_map(send).collect()
}

/// Guards against a new lease holder that has an older configuration and undoes what the last
/// holder ordered by a newer one.
#[test]
fn no_order_before_the_configuration_was_read_under_the_lease() {
    let mut keeper = keeper(&[(engine(0), desired(&["m"], true))]);
    let (shard, fencing) = (ShardKey(0), 7);
    let outputs = keeper.step(Time::ZERO, OrderInput::Leased { shard, fencing, sent: Time::ZERO });
    assert!(outputs.contains(&OrderOutput::ReadConfig { shard, fencing }));
    observe(&mut keeper, Time::ZERO, 0, &[]);
    assert_eq!(sends(&mut keeper, seconds(0.5)), []);
    // A read under an earlier lease must not count for this one.
    keeper.step(seconds(0.6), OrderInput::ConfigRead { shard, fencing: 6 });
    assert_eq!(sends(&mut keeper, seconds(1.0)), []);
    keeper.step(seconds(1.1), OrderInput::ConfigRead { shard, fencing });
    assert_eq!(sends(&mut keeper, seconds(1.5)).len(), 1);
}

/// Guards against an order that arrives after the end of its lease's term, and against an order to
/// an engine that ignores fencing numbers and may still get one from the last holder.
#[test]
fn orders_wait_out_the_last_holder_and_stop_before_the_term_ends() {
    for (checks_fencing, first) in [(true, 0.5), (false, 12.0)] {
        let mut keeper = keeper(&[(engine(0), desired(&["m"], checks_fencing))]);
        lease(&mut keeper, 7, Time::ZERO);
        observe(&mut keeper, Time::ZERO, 0, &[]);
        for tick in 1..60 {
            let now = seconds(f64::from(tick) * 0.5);
            if tick % 6 == 0 {
                lease(&mut keeper, 7, now);
            }
            let sent = !sends(&mut keeper, now).is_empty();
            assert_eq!(sent, now == seconds(first), "{checks_fencing} {now:?}");
            if sent {
                break;
            }
        }
    }
    let mut keeper = keeper(&[(engine(0), desired(&["m"], true))]);
    lease(&mut keeper, 7, Time::ZERO);
    sends(&mut keeper, seconds(8.0));
    observe(&mut keeper, seconds(8.0), 0, &[]);
    assert_eq!(sends(&mut keeper, seconds(8.1)), vec![], "less than the order timeout is left");
}

/// Guards against models that are unloaded and loaded again as the configuration changes back and
/// forth, and against a model that is unloaded from all its engines at once.
#[test]
fn unloading_waits_and_goes_one_engine_at_a_time() {
    let engines = [(engine(0), desired(&[], true)), (engine(1), desired(&[], true))];
    let mut keeper = keeper(&engines);
    let mut unloads = Vec::new();
    for tick in 0..400 {
        let now = seconds(f64::from(tick));
        lease(&mut keeper, 7, now);
        let wanted = if tick == 30 { &["m"][..] } else { &[] };
        let engines = [(engine(0), desired(wanted, true)), (engine(1), desired(wanted, true))];
        keeper.step(now, OrderInput::Desired(engines.into()));
        observe(&mut keeper, now, 0, &["m"]);
        observe(&mut keeper, now, 1, &["m"]);
        let orders = sends(&mut keeper, now);
        assert!(orders.len() <= 1, "{orders:?}");
        unloads.extend(orders.into_iter().map(|order| (tick, order.engine)));
    }
    assert_eq!(unloads[0], (91, engine(0).min(engine(1))));
}

/// Guards against a model that one engine unloads before the engine that is to replace it reports
/// the model as loaded.
#[test]
fn model_is_not_unloaded_before_its_new_engine_has_it() {
    let mut keeper = keeper(&[(engine(0), desired(&[], true)), (engine(1), desired(&["m"], true))]);
    keeper.step(Time::ZERO, OrderInput::LoadRate(0.0));
    for tick in 0..100 {
        let now = seconds(f64::from(tick));
        lease(&mut keeper, 7, now);
        observe(&mut keeper, now, 0, &["m"]);
        observe(&mut keeper, now, 1, if tick < 90 { &[] } else { &["m"] });
        let orders = sends(&mut keeper, now);
        assert_eq!(orders.is_empty(), tick != 90, "{tick}: {orders:?}");
    }
}

/// Guards against a start of the fleet whose loads exceed the rate of the weight store.
#[test]
fn loads_respect_the_weight_store() {
    let engines: Vec<_> = (0..50).map(|index| (engine(index), desired(&["m"], true))).collect();
    let mut keeper = keeper(&engines);
    keeper.step(Time::ZERO, OrderInput::LoadRate(4.0));
    let mut loads = 0;
    for tick in 0..20 {
        let now = seconds(f64::from(tick));
        lease(&mut keeper, 7, now);
        (0..50).for_each(|index| observe(&mut keeper, now, index, &[]));
        loads += sends(&mut keeper, now).len();
    }
    assert_eq!(loads, 9, "half a load a second for 19 s");
}

/// Guards against a shard assigned to no host or to two, and against a host that watches the
/// key-value service and has a shard as well.
#[test]
fn each_shard_is_assigned_to_one_host_that_does_not_watch() {
    use crate::{
        config::{Revision, is_watcher},
        member::{MemberInput, MemberKind, MemberMessage, MemberRecord, MemberState},
    };
    let record = |index: usize| MemberRecord {
        name: format!("host-{index}").into(),
        region: format!("region-{}", index % 3).into(),
        failure_domain: "d".into(),
        address: "".into(),
        peer_address: "".into(),
        capacity: 1,
        incarnation: 1,
        state: MemberState::Alive,
    };
    for hosts in [1, 3, 8, 60] {
        let mut shards = Vec::new();
        for me in 0..hosts {
            let rng = fastrand::Rng::with_seed(1);
            let mut table = MemberTable::new(record(me), vec![], rng);
            for other in (0..hosts).filter(|other| *other != me) {
                let (from, kind) = (record(other), MemberKind::Gossip);
                let (records, updates) = (vec![], vec![]);
                let revision = Revision(0);
                let message = MemberMessage { from, revision, kind, records, updates };
                table.step(Time::ZERO, MemberInput::Received(message));
            }
            let mine = assigned_shards(&table);
            assert!(hosts < 60 || mine.is_empty() || !is_watcher(&table), "host {me}");
            shards.extend(mine);
        }
        shards.sort();
        assert_eq!(shards, (0..SHARD_COUNT).map(ShardKey).collect::<Vec<_>>(), "{hosts} hosts");
    }
}

/// Guards against a model with fewer replicas than configured, in particular after one of its
/// engines starts to leave, and against other replicas moving with it.
#[test]
fn replicas_are_spread_over_able_engines() {
    let mut set = ResourceSet::default();
    let model = r#"{"context_tokens":1,"replicas":3}"#;
    set.put(ResourceKind::Model, "m", model).unwrap();
    for index in 0..6 {
        let spec = r#"{"address":"127.0.0.1:1","region":"r","failure_domain":"d",
            "role":{"type":"engine","models":["m"],"memory_tokens":1,"batch":1}}"#;
        set.put(ResourceKind::BackendServer, &format!("e{index}"), spec).unwrap();
    }
    let replicas = |set: &ResourceSet| -> BTreeSet<Arc<str>> {
        let engines = desired_engines(set).into_iter();
        engines.filter(|(_, engine)| !engine.models.is_empty()).map(|(name, _)| name).collect()
    };
    let before = replicas(&set);
    assert_eq!(before.len(), 3);
    let leaving = before.first().unwrap();
    set.servers.get_mut(leaving).unwrap().leaving = true;
    let after = replicas(&set);
    assert_eq!((after.len(), after.intersection(&before).count()), (3, 2));
}

/// An order in flight and its time of arrival.
type InFlightOrder = (Time, RoleOrder);

/// Keepers, the key-value service with one lease, and the engines.
struct TestWorld {
    now: Time,
    keepers: Vec<OrderKeeper>,
    paused: Vec<Time>,
    holder: Option<(usize, u64, Time)>,
    revision: u64,
    in_flight: Vec<InFlightOrder>,
    loaded: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    highest: BTreeMap<Arc<str>, u64>,
    checks: BTreeMap<Arc<str>, bool>,
    is_store_up: bool,
}

impl TestWorld {
    fn new() -> TestWorld {
        let engines = [(engine(0), desired(&["a"], true)), (engine(1), desired(&["a"], false))];
        TestWorld {
            now: Time::ZERO,
            keepers: (0..3).map(|_| keeper(&engines)).collect(),
            paused: vec![Time::ZERO; 3],
            holder: None,
            revision: 0,
            in_flight: Vec::new(),
            loaded: engines.iter().map(|(name, _)| (name.clone(), BTreeSet::new())).collect(),
            highest: BTreeMap::new(),
            checks: engines.iter().map(|(name, d)| (name.clone(), d.checks_fencing)).collect(),
            is_store_up: true,
        }
    }

    /// Advances by a tenth of a second. `delay` returns the transit time of an order to an engine
    /// that checks fencing numbers or not. If `is_lost`, the service acts on a request but its
    /// answer is dropped.
    fn tick(
        &mut self,
        delay: &mut impl FnMut(bool) -> Duration,
        mut is_lost: impl FnMut() -> bool,
    ) {
        self.now = self.now + Duration::from_millis(100);
        self.holder.take_if(|(_, _, until)| *until <= self.now);
        self.arrive();
        for index in 0..self.keepers.len() {
            if self.paused[index] > self.now {
                continue;
            }
            for (name, models) in &self.loaded {
                let input = OrderInput::Observed { engine: name.clone(), models: models.clone() };
                self.keepers[index].step(self.now, input);
            }
            for output in self.keepers[index].step(self.now, OrderInput::Tick) {
                match output {
                    OrderOutput::Send { order, .. } => {
                        let at = self.now + delay(self.checks[&order.engine]);
                        self.in_flight.push((at, order));
                    }
                    OrderOutput::Release(_) => {
                        self.holder.take_if(|(holder, _, _)| *holder == index);
                    }
                    OrderOutput::Acquire(shard) | OrderOutput::Renew(shard) => {
                        let is_answered = self.call_store(index) && !is_lost();
                        let held = self.holder.filter(|(holder, _, _)| *holder == index);
                        let input = match held {
                            Some((_, fencing, _)) if is_answered => {
                                OrderInput::Leased { shard, fencing, sent: self.now }
                            }
                            _ if is_answered => OrderInput::LeaseLost(shard),
                            _ => continue,
                        };
                        grant(&mut self.keepers[index], self.now, input);
                    }
                    OrderOutput::ReadConfig { shard, fencing } => {
                        let input = OrderInput::ConfigRead { shard, fencing };
                        self.keepers[index].step(self.now, input);
                    }
                }
            }
        }
    }

    fn call_store(&mut self, index: usize) -> bool {
        if !self.is_store_up {
            return false;
        }
        match &mut self.holder {
            Some((holder, _, until)) if *holder == index => *until = self.now + LEASE_TERM,
            Some(_) => {}
            None => {
                self.revision += 1;
                self.holder = Some((index, self.revision, self.now + LEASE_TERM));
            }
        }
        true
    }

    fn arrive(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        let due: Vec<InFlightOrder> = due;
        for (_, order) in due {
            let highest = self.highest.entry(order.engine.clone()).or_default();
            if self.checks[&order.engine] && order.fencing < *highest {
                continue;
            }
            assert!(order.fencing >= *highest, "an order of an old holder won: {order:?}");
            *highest = order.fencing;
            let models = self.loaded.get_mut(&order.engine).expect("known engine");
            match order.action {
                OrderAction::Load(model) => models.insert(model),
                OrderAction::Unload(model) => models.remove(&model),
            };
        }
    }
}

/// Guards against an order with a lower fencing number that takes effect after one with a higher
/// number, under pauses, outages and lost answers of the service and reassigned shards; and against
/// engines that never reach the desired state.
#[test]
fn old_order_never_wins_and_engines_converge() {
    fixed_cases(40, |u| {
        let mut world = TestWorld::new();
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        let mut faults = rng.fork();
        // An engine that ignores fencing numbers is only safe if orders arrive within their
        // timeout.
        let mut delay = |checks_fencing: bool| {
            let most = if checks_fencing { 60_000 } else { 1_900 };
            Duration::from_millis(rng.u64(0..=most))
        };
        for _ in 0..u.int_in_range(5..=30)? {
            let host = u.choose_index(3)?;
            match u.int_in_range(0..=4)? {
                0 => world.paused[host] = world.now + Duration::from_secs(u.int_in_range(1..=40)?),
                1 => world.is_store_up = !world.is_store_up,
                2 => {
                    let shards = if u.arbitrary()? { [ShardKey(0)].into() } else { [].into() };
                    world.keepers[host].step(world.now, OrderInput::ShardsAssigned(shards));
                }
                _ => {
                    let wanted: &[&str] =
                        [&["a"][..], &["b"], &["a", "b"], &[]][u.choose_index(4)?];
                    for keeper in &mut world.keepers {
                        let desired = world
                            .checks
                            .iter()
                            .map(|(name, checks)| (name.clone(), desired(wanted, *checks)));
                        keeper.step(world.now, OrderInput::Desired(desired.collect()));
                    }
                }
            }
            for _ in 0..u.int_in_range(1..=200)? {
                world.tick(&mut delay, || faults.u8(..100) < 20);
            }
        }
        world.is_store_up = true;
        for keeper in &mut world.keepers {
            keeper.step(world.now, OrderInput::ShardsAssigned([ShardKey(0)].into()));
            let desired =
                world.checks.iter().map(|(name, checks)| (name.clone(), desired(&["b"], *checks)));
            keeper.step(world.now, OrderInput::Desired(desired.collect()));
        }
        for _ in 0..4_000 {
            world.tick(&mut delay, || false);
        }
        assert!(world.loaded.values().all(|models| *models == names(&["b"])), "{:?}", world.loaded);
        Ok(())
    });
}
