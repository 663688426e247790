use super::*;
use crate::{
    config::Revision,
    fixed_cases,
    member::{MemberInput, MemberKind, MemberMessage, MemberState},
};

fn host(index: usize, incarnation: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        name: format!("host-{index}").into(),
        region: format!("region-{}", index % 9 / 3).into(),
        failure_domain: format!("domain-{}", index % 9).into(),
        address: "".into(),
        peer_address: "".into(),
        capacity: 1 + (index % 3) as u32,
        incarnation,
        state,
    }
}

fn server(index: usize, models: &[&str]) -> BackendServer {
    BackendServer {
        address: "".into(),
        region: format!("region-{}", index % 9 / 3).into(),
        failure_domain: format!("domain-{}", index % 9).into(),
        role: BackendRole::Engine {
            models: models.iter().map(|model| Arc::from(*model)).collect(),
            memory_tokens: 1,
            batch: 1,
        },
        checks_fencing: false,
        leaving: false,
    }
}

fn receive_gossip(table: &mut MemberTable, from: MemberRecord) {
    let message = MemberMessage {
        from,
        revision: Revision(0),
        kind: MemberKind::Gossip,
        records: vec![],
        updates: vec![],
    };
    table.step(Time::ZERO, MemberInput::Received(message));
}

fn table(hosts: usize) -> MemberTable {
    let rng = fastrand::Rng::with_seed(1);
    let mut table = MemberTable::new(host(0, 1, MemberState::Alive), vec![], rng);
    (1..hosts).for_each(|index| receive_gossip(&mut table, host(index, 1, MemberState::Alive)));
    table
}

fn set(engines: usize) -> ResourceSet {
    let mut set = ResourceSet::default();
    for index in 0..engines {
        set.servers.insert(format!("engine-{index}").into(), server(index, &["m"]));
    }
    set
}

fn picker(table: &MemberTable, set: &ResourceSet) -> EnginePicker {
    let mut picker = EnginePicker::new(table.local(), fastrand::Rng::with_seed(2));
    picker.update_servers(set);
    picker.update_hosts(table);
    picker.step(Time::ZERO, PlacementInput::Tick);
    picker
}

fn query(prefixes: &[u64]) -> PickQuery<'_> {
    PickQuery { model: "m", prompt_tokens: 5_000, max_tokens: 100, prefixes }
}

fn report(picker: &mut EnginePicker, now: Time, tokens: impl Fn(&str) -> u64) {
    let owners: Vec<_> = picker.owners().owners().cloned().collect();
    for owner in owners {
        let load = |name: &Arc<str>| EngineLoad {
            engine: engine_id(name),
            backlog_tokens: tokens(name),
            tokens_per_second: 10_000,
            is_usable: true,
        };
        let engines = picker.owners().owned_by(&owner).map(load).collect();
        picker.step(now, PlacementInput::Load(LoadPush { owner, engines }));
    }
}

/// Guards against a cached owner that differs from the rendezvous choice after hosts or engines
/// joined, left, moved or were suspected.
#[test]
fn cached_owner_is_the_rendezvous_choice() {
    fixed_cases(100, |u| {
        let mut table = table(1);
        let mut map = OwnerMap::default();
        let mut servers = BTreeMap::new();
        for incarnation in 2..u.int_in_range(3..=60)? {
            let index = u.int_in_range(1..=30)?;
            let name: Arc<str> = format!("engine-{index}").into();
            match u.int_in_range(0..=4)? {
                0 | 1 => receive_gossip(&mut table, host(index, incarnation, MemberState::Alive)),
                2 => receive_gossip(&mut table, host(index, incarnation, MemberState::Suspected)),
                3 => drop(servers.insert(name, server(u.int_in_range(0..=8)?, &[]))),
                _ => {
                    servers.remove(&name);
                    map.remove_engine(&name);
                }
            }
            servers.iter().for_each(|(name, server)| map.put_engine(name, server));
            map.update_hosts(&table);
            for (name, server) in &servers {
                let expected = engine_owner(&table, name, server).map(|host| &host.name);
                assert_eq!(map.owner(name), expected);
            }
        }
        Ok(())
    });
}

/// Guards against hashing every host for every engine when one host leaves or joins.
#[test]
fn one_change_among_many_hosts_costs_few_scores() {
    let mut table = table(2_000);
    let mut map = OwnerMap::default();
    map.update_hosts(&table);
    set(10_000).servers.iter().for_each(|(name, server)| map.put_engine(name, server));
    let before = map.score_count();
    for (incarnation, state) in [(1, MemberState::Suspected), (2, MemberState::Alive)] {
        receive_gossip(&mut table, host(77, incarnation, state));
        map.update_hosts(&table);
    }
    // Its few engines are scored against 223 hosts, then the host is scored for 1,112 engines.
    assert!(map.score_count() - before < 10_000, "{} scores", map.score_count() - before);
}

/// Guards against hosts that own engines of another region, which they may be unable to reach.
#[test]
fn engines_stay_in_their_region() {
    let table = table(3);
    let set = set(9);
    let picker = picker(&table, &set);
    assert_eq!(picker.owners().owner("engine-8"), None);
    assert!(picker.owners().owner("engine-0").is_some());
}

/// Guards against sending every request between two reports to the engine that was idle in the last
/// one.
#[test]
fn own_work_counts_until_the_next_report() {
    let (table, set) = (table(3), set(3));
    let mut picker = picker(&table, &set);
    report(&mut picker, Time::ZERO, |_| 0);
    let mut picked: Vec<_> =
        (0..3).map(|_| picker.pick(Time(1), &query(&[])).unwrap().engine).collect();
    picked.sort();
    picked.dedup();
    assert_eq!(picked.len(), 3);
}

/// Guards against sending a prompt to an engine that has to process its prefix again, and against
/// prefix affinity that overloads one engine.
#[test]
fn prefix_affinity_holds_until_the_engine_is_overloaded() {
    let (table, set) = (table(3), set(3));
    let mut picker = picker(&table, &set);
    let engine: Arc<str> = "engine-2".into();
    let prefixes = [1, 2];
    picker.step(
        Time::ZERO,
        PlacementInput::Served { engine: engine.clone(), prefixes: prefixes.into() },
    );
    report(&mut picker, Time::ZERO, |_| 20_000);
    assert_eq!(picker.pick(Time(1), &query(&prefixes)).unwrap().engine, engine);
    let later = Time::ZERO + Duration::from_secs(1);
    report(&mut picker, later, |name| if name == &*engine { 40_000 } else { 20_000 });
    assert_ne!(picker.pick(later, &query(&prefixes)).unwrap().engine, engine);
}

/// Guards against trusting a cache entry whose removal was lost in a gap of the events.
#[test]
fn gap_in_cache_events_discards_known_prefixes() {
    let mut map = PrefixMap::default();
    let event = |sequence, added: &[u64], removed: &[u64]| CacheEvent {
        sequence,
        added: added.into(),
        removed: removed.into(),
    };
    map.apply_event(7, &event(1, &[10, 11], &[]));
    assert_eq!(map.cached_tokens(7, &[10, 11, 12]), 4_000);
    map.apply_event(7, &event(2, &[], &[11]));
    assert_eq!(map.cached_tokens(7, &[10, 11, 12]), 1_000);
    map.apply_event(7, &event(4, &[12], &[]));
    assert_eq!(map.cached_tokens(7, &[10]), 0);
    assert_eq!(map.cached_tokens(7, &[10, 11, 12]), 16_000);
    map.apply_event(7, &event(3, &[10], &[]));
    assert_eq!(map.cached_tokens(7, &[10]), 0, "a late event was applied");
}

/// Guards against using stale loads, and against placement that fails or overloads one engine when
/// no fresh load is known.
#[test]
fn requests_are_placed_without_loads() {
    let (table, set) = (table(9), set(9));
    let mut picker = picker(&table, &set);
    let late = Time::ZERO + MAX_LOAD_AGE + Duration::from_secs(1);
    report(&mut picker, Time::ZERO, |name| if name == "engine-0" { 0 } else { 9_000 });
    let picked: BTreeSet<_> =
        (0..50).map(|_| picker.pick(late, &query(&[])).unwrap().engine).collect();
    assert_eq!(picked.len(), 3, "the three engines of the region share the work: {picked:?}");
}

/// Guards against a number of subscriptions that grows with the fleet, and against a sample that
/// never changes.
#[test]
fn sample_is_bounded_and_changes() {
    let (table, set) = (table(400), set(2_000));
    let mut picker = picker(&table, &set);
    let mut seen = BTreeSet::new();
    let mut subscribed = 0;
    for tick in 0..240 {
        let outputs = picker.step(Time::ZERO + SAMPLE_TICK_PERIOD * tick, PlacementInput::Tick);
        subscribed += outputs.len();
        assert!(picker.sampled_owners().count() <= MAX_SAMPLED_OWNERS);
        seen.extend(picker.sampled_owners().cloned());
    }
    assert!(seen.len() >= 30, "{}", seen.len());
    assert!(subscribed <= 25 * (MAX_SAMPLED_OWNERS + 2), "{subscribed}");
}
