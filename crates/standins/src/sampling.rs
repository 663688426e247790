//! Measurements of placement: cost of a decision, bytes of load reports, and a comparison of ways
//! to draw candidates over a plain array of engine backlogs.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use parsley_core::{
    config::{ConfigDelta, ConfigInput, ConfigItem, ConfigStore, Revision, resource_key},
    member::{MemberRecord, MemberState, MemberTable},
    placement::{
        EngineLoad, EnginePicker, LoadPush, MAX_SAMPLED_OWNERS, PickQuery, PlacementInput,
        engine_id,
    },
    resource::{BackendRole, BackendServer, ResourceKind, ResourceSet},
    time::Time,
};
use parsley_node::peer::{
    datagram::{DatagramSealer, PeerDatagram},
    frame::PeerFrame,
};

use crate::scale_world::{UDP_HEADER_BYTES, record, view};

const MODELS: usize = 8;
const ENGINES_PER_HOST: usize = 5;

/// A backend server at the place of a host.
pub fn server(index: usize) -> BackendServer {
    let MemberRecord { region, failure_domain, .. } = record(index, 0);
    BackendServer {
        address: format!("10.{}.{}.{}:9000", index % 9, index / 250, index % 250).into(),
        region,
        failure_domain,
        role: BackendRole::Engine { models: vec![model(index)], memory_tokens: 600_000, batch: 64 },
        checks_fencing: true,
        leaving: false,
    }
}

fn model(index: usize) -> Arc<str> {
    format!("model-{}", index / 9 % MODELS).into()
}

/// Resources with some engines.
pub fn engines(count: usize) -> ResourceSet {
    let mut set = ResourceSet::default();
    for index in 0..count {
        set.servers.insert(format!("engine-{index:05}").into(), server(index));
    }
    set
}

/// A member table of a host that knows all others. Records are decoded, as from datagrams, so that
/// tables share no text.
pub fn table(me: usize, hosts: usize) -> MemberTable {
    let records: Vec<MemberRecord> = (0..hosts).map(|index| record(index, 0)).collect();
    let mut table =
        MemberTable::new(records[me].clone(), Vec::new(), fastrand::Rng::with_seed(me as u64));
    table.step(Time::ZERO, view(&records, me));
    table
}

/// A picker of a host with loads of its whole sample.
pub fn loaded_picker(table: &MemberTable, set: &ResourceSet, seed: u64) -> EnginePicker {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut picker = EnginePicker::new(table.local(), rng.fork());
    picker.update_servers(set);
    picker.update_hosts(table);
    picker.step(Time::ZERO, PlacementInput::Tick);
    let owners: Vec<_> = picker.sampled_owners().cloned().collect();
    for owner in owners {
        let push = push_of(&picker, owner, |_| rng.u64(..100_000));
        picker.step(Time::ZERO, PlacementInput::Load(push));
    }
    picker
}

fn push_of(
    picker: &EnginePicker,
    owner: Arc<str>,
    mut tokens: impl FnMut(&Arc<str>) -> u64,
) -> LoadPush {
    let load = |name: &Arc<str>| EngineLoad {
        engine: engine_id(name),
        backlog_tokens: tokens(name),
        tokens_per_second: 12_000,
        is_usable: true,
    };
    let engines = picker.owners().owned_by(&owner).map(load).collect();
    LoadPush { owner, engines }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.trim().parse().ok());
    pages.unwrap_or(0u64) * 4096
}

/// Prints the memory of one host's tables. Memory freed by earlier parts would be used again unseen,
/// so this is to run alone with one size.
pub fn memory(sizes: &[usize]) {
    println!("\n### Memory of one host's state, mean of 8 copies");
    println!("| hosts | engines | member table KB | placement KB | configuration KB |");
    println!("|---|---|---|---|---|");
    for hosts in sizes {
        let engine_count = hosts * ENGINES_PER_HOST;
        let set = engines(engine_count);
        let copies = 8;
        let before = resident_bytes();
        let tables: Vec<_> = (0..copies).map(|me| table(me, *hosts)).collect();
        let with_tables = resident_bytes();
        let pickers: Vec<_> = tables.iter().map(|table| loaded_picker(table, &set, 1)).collect();
        let with_pickers = resident_bytes();
        let stores: Vec<_> = (0..copies).map(|_| full_store(engine_count, 1_500)).collect();
        let with_stores = resident_bytes();
        let each = |bytes: u64| bytes / copies as u64 / 1024;
        println!(
            "| {hosts} | {engine_count} | {} | {} | {} |",
            each(with_tables - before),
            each(with_pickers - with_tables),
            each(with_stores - with_pickers)
        );
        drop((tables, pickers, stores));
    }
}

fn full_store(engine_count: usize, accounts: usize) -> ConfigStore {
    let mut revision = 0;
    let mut item = |kind, name: String, spec: serde_json::Value| {
        revision += 1;
        ConfigItem {
            key: resource_key(kind, &name),
            revision: Revision(revision),
            value: Some(spec.to_string().into()),
        }
    };
    let mut items = Vec::new();
    for index in 0..accounts {
        let spec = serde_json::json!({
            "credential_digests": [format!("{index:064x}")], "ranks": ["urgent", "standard"],
            "weight": 3, "tokens_per_second": 50_000, "memory_tokens": 2_000_000,
        });
        items.push(item(ResourceKind::ClientAccount, format!("account-{index:04}"), spec));
    }
    for index in 0..engine_count {
        let spec = serde_json::json!(server(index));
        items.push(item(ResourceKind::BackendServer, format!("engine-{index:05}"), spec));
    }
    let mut store = ConfigStore::default();
    let complete = Revision(items.len() as u64);
    store.step(Time::ZERO, ConfigInput::Delta(ConfigDelta { after: Revision(0), complete, items }));
    store
}

/// Prints what a whole configuration costs.
pub fn config_size() {
    println!("\n### Whole configuration");
    println!("| engines | accounts | snapshot bytes | snapshot in force ms | one change us |");
    println!("|---|---|---|---|---|");
    for (engine_count, accounts) in [(100, 15), (1_000, 150), (3_000, 500), (10_000, 1_500)] {
        let store = full_store(engine_count, accounts);
        let delta = store.delta(Revision(0));
        let frame = PeerFrame::ConfigDelta(delta.clone());
        let bytes = postcard::to_stdvec(&frame).map_or(0, |bytes| bytes.len());
        let start = Instant::now();
        let mut other = ConfigStore::default();
        other.step(Time::ZERO, ConfigInput::Delta(delta));
        let snapshot = start.elapsed();
        let rounds = 1_000;
        let base = store.delta(Revision(0)).items[0].clone();
        let changes: Vec<_> = (1..=rounds)
            .map(|round| {
                let after = Revision(other.complete_revision().0 + round - 1);
                let complete = Revision(after.0 + 1);
                let items = vec![ConfigItem { revision: complete, ..base.clone() }];
                ConfigInput::Delta(ConfigDelta { after, complete, items })
            })
            .collect();
        let start = Instant::now();
        for change in changes {
            other.step(Time::ZERO, change);
        }
        let change = start.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        let snapshot = snapshot.as_secs_f64() * 1e3;
        println!("| {engine_count} | {accounts} | {bytes} | {snapshot:.1} | {change:.1} |");
    }
}

/// Prints the cost of one decision and of following changes.
pub fn placement_cost(seed: u64) {
    println!("\n### Cost of placement (median of 9 repetitions, least to most)");
    println!(
        "| engines | hosts | one pick us | one host gone and back us | owner scores for that | one server changed us |"
    );
    println!("|---|---|---|---|---|---|");
    for engine_count in [100, 1_000, 3_000, 10_000] {
        let hosts = engine_count / ENGINES_PER_HOST;
        let mut set = engines(engine_count);
        let mut table = table(0, hosts);
        let mut picker = loaded_picker(&table, &set, seed);
        let prefixes = [1, 2, 3];
        let (mut picks, mut moves, mut changes) = (Vec::new(), Vec::new(), Vec::new());
        let mut scores = 0;
        for round in 0..9 {
            let start = Instant::now();
            for number in 0..2_000 {
                let model = format!("model-{}", number % MODELS);
                let query = PickQuery {
                    model: &model,
                    prompt_tokens: 1_000,
                    max_tokens: 200,
                    prefixes: &prefixes,
                };
                let picked = picker.pick(Time(number as u64), &query);
                assert!(picked.is_some(), "every model has engines");
            }
            picks.push(start.elapsed().as_secs_f64() * 1e6 / 2_000.0);
            let before = picker.owners().score_count();
            let mut gone = record(hosts / 2, 2 * round);
            let start = Instant::now();
            for state in [MemberState::Suspected, MemberState::Alive] {
                gone.incarnation += 1;
                gone.state = state;
                let mut records = vec![gone.clone(); 2];
                records.rotate_left(1);
                table.step(Time::ZERO, view(&records, 0));
                picker.update_hosts(&table);
            }
            moves.push(start.elapsed().as_secs_f64() * 1e6);
            scores = picker.owners().score_count() - before;
            let spec = set.servers.values_mut().nth(engine_count / 2).expect("many engines");
            spec.leaving = !spec.leaving;
            let start = Instant::now();
            picker.update_servers(&set);
            changes.push(start.elapsed().as_secs_f64() * 1e6);
        }
        println!(
            "| {engine_count} | {hosts} | {} | {} | {scores} | {} |",
            spread(&mut picks),
            spread(&mut moves),
            spread(&mut changes)
        );
    }
}

fn spread(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!("{:.1} ({:.1} to {:.1})", values[last / 2], values[0], values[last])
}

/// Prints the bytes of load reports.
pub fn load_bytes() {
    println!("\n### Load reports of an owner of 5 engines to {MAX_SAMPLED_OWNERS} subscribers");
    println!("| message | bytes with headers | a second, sent | a second, in and out |");
    println!("|---|---|---|---|");
    let set = engines(10_000);
    let table = table(0, 2_000);
    let picker = loaded_picker(&table, &set, 1);
    let owners = picker.sampled_owners().cloned().collect::<Vec<_>>();
    let mut sealer = DatagramSealer::new("scale");
    let me = table.local().clone();
    let mut size = |datagram| {
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], 8081));
        let bytes = sealer.seal(address, &me.name, me.incarnation, datagram);
        bytes.len() as f64 + UDP_HEADER_BYTES as f64
    };
    let pushes = owners.iter().map(|owner| {
        let mut push = push_of(&picker, owner.clone(), |_| 50_000);
        push.engines.truncate(ENGINES_PER_HOST);
        size(PeerDatagram::Load(push))
    });
    let push = pushes.sum::<f64>() / owners.len() as f64;
    let subscribe = size(PeerDatagram::LoadSubscribe);
    for (name, bytes, rate) in [
        ("LoadPush every 200 ms", push, 5.0 * MAX_SAMPLED_OWNERS as f64),
        ("LoadPush every 400 ms", push, 2.5 * MAX_SAMPLED_OWNERS as f64),
        ("LoadPush every 600 ms", push, MAX_SAMPLED_OWNERS as f64 / 0.6),
        ("LoadSubscribe every 5 s", subscribe, 0.2 * MAX_SAMPLED_OWNERS as f64),
    ] {
        println!("| {name} | {bytes:.0} | {:.0} | {:.0} |", bytes * rate, bytes * rate * 2.0);
    }
}

/// How candidates are drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sampling {
    /// One engine of the known list.
    Uniform,
    /// The better of two, asked at the time.
    TwoChoices,
    /// The node's picker, with loads pushed at this period.
    Subscribed(u64),
    /// The end of a random walk on an overlay whose degrees follow capacity.
    Walk,
    /// The better of the ends of two such walks, asked at the time.
    TwoWalks,
}

struct Engines {
    /// Seconds of work per unit of work; a larger engine is faster.
    capacity: Vec<f64>,
    backlog: Vec<f64>,
    overlay: Vec<Vec<usize>>,
}

const HOSTS: usize = 200;
const STEP: Duration = Duration::from_millis(5);
const WALK_HOPS: usize = 8;
/// Units of work that an engine of capacity 1 does in a second.
const UNIT_RATE: f64 = 12_000.0;

impl Engines {
    fn new(count: usize, rng: &mut fastrand::Rng) -> Engines {
        let capacity: Vec<f64> = (0..count)
            .map(|_| [1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 4.0, 4.0][rng.usize(..10)])
            .collect();
        // Random pairing of stubs, four for each unit of capacity, among engines of one model.
        let mut overlay = vec![Vec::new(); count];
        for model in 0..MODELS {
            let members = (0..count).filter(|index| index / 9 % MODELS == model);
            let mut stubs: Vec<usize> = members
                .flat_map(|index| std::iter::repeat_n(index, capacity[index] as usize * 4))
                .collect();
            rng.shuffle(&mut stubs);
            for pair in stubs.chunks_exact(2) {
                overlay[pair[0]].push(pair[1]);
                overlay[pair[1]].push(pair[0]);
            }
        }
        Engines { backlog: vec![0.0; count], capacity, overlay }
    }

    /// Time until new work on an engine starts, in seconds.
    fn wait(&self, engine: usize) -> f64 {
        self.backlog[engine] / self.capacity[engine] / UNIT_RATE
    }

    fn walk(&self, from: usize, rng: &mut fastrand::Rng) -> usize {
        (0..WALK_HOPS)
            .fold(from, |at, _| rng.choice(self.overlay[at].iter()).copied().unwrap_or(at))
    }
}

/// Prints waits under each way to draw candidates, at three loads of the fleet.
pub fn compare(seed: u64) {
    println!(
        "\n### Ways to draw candidates: wait before service, {HOSTS} hosts, 1,000 engines of capacity 1, 2 and 4, 8 models, 30 s, one request in fifty 60 times as large"
    );
    println!(
        "| candidates | load | wait p50 ms | p99 ms | mean ms | extra delay a request ms | extra messages a request |"
    );
    println!("|---|---|---|---|---|---|---|");
    for load in [0.6, 0.8, 0.9] {
        for sampling in [
            Sampling::Uniform,
            Sampling::TwoChoices,
            Sampling::Subscribed(200),
            Sampling::Subscribed(400),
            Sampling::Subscribed(600),
            Sampling::Subscribed(1_000),
            Sampling::Walk,
            Sampling::TwoWalks,
        ] {
            let mut waits: Vec<f64> =
                (0..3).flat_map(|run| run_one(sampling, load, seed + run)).collect();
            waits.sort_by(f64::total_cmp);
            let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize] * 1e3;
            let mean = waits.iter().sum::<f64>() / waits.len() as f64 * 1e3;
            let (delay, messages) = match sampling {
                Sampling::Uniform | Sampling::Subscribed(_) => (0.0, 0),
                Sampling::TwoChoices => (2.2, 4),
                Sampling::Walk => (1.1 * WALK_HOPS as f64, WALK_HOPS),
                Sampling::TwoWalks => (1.1 * WALK_HOPS as f64 + 2.2, WALK_HOPS * 2 + 4),
            };
            println!(
                "| {sampling:?} | {load} | {:.1} | {:.0} | {mean:.0} | {delay:.1} | {messages} |",
                at(0.5),
                at(0.99)
            );
        }
    }
}

fn run_one(sampling: Sampling, load: f64, seed: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = HOSTS * ENGINES_PER_HOST;
    let mut fleet = Engines::new(count, &mut rng);
    let set = engines(count);
    let mut pickers: Vec<EnginePicker> = Vec::new();
    if matches!(sampling, Sampling::Subscribed(_)) {
        pickers = (0..HOSTS).map(|me| loaded_picker(&table(me, HOSTS), &set, me as u64)).collect();
    }
    let names: Vec<Arc<str>> = set.servers.keys().cloned().collect();
    let capacity: f64 = fleet.capacity.iter().sum::<f64>() * UNIT_RATE;
    // Mean request: 49 of 50 with 1,000 units, one with 60,000.
    let mean = 1_000.0 * 0.98 + 60_000.0 * 0.02;
    let rate = capacity * load / mean;
    let mut waits = Vec::new();
    let mut due: VecDeque<f64> = VecDeque::new();
    let mut arrival = 0.0;
    for step in 0..6_000u32 {
        let now = Time::ZERO + STEP * step;
        let seconds = STEP.as_secs_f64();
        for (backlog, capacity) in fleet.backlog.iter_mut().zip(&fleet.capacity) {
            *backlog = (*backlog - capacity * UNIT_RATE * seconds).max(0.0);
        }
        if let Sampling::Subscribed(period) = sampling {
            report(&mut pickers, &fleet, now, step, period);
        }
        while arrival < f64::from(step + 1) * seconds {
            due.push_back(arrival);
            arrival += -rng.f64().max(f64::MIN_POSITIVE).ln() / rate;
        }
        while due.pop_front().is_some() {
            let work = if rng.u8(..50) == 0 { 60_000 } else { 1_000 };
            let me = rng.usize(..HOSTS);
            let engine = draw(sampling, &fleet, &mut pickers, now, (me, work), &mut rng);
            // The first third fills the queues.
            if step > 2_000 {
                waits.push(fleet.wait(engine));
            }
            fleet.backlog[engine] += work as f64;
        }
    }
    assert_eq!(names.len(), count);
    waits
}

fn draw(
    sampling: Sampling,
    fleet: &Engines,
    pickers: &mut [EnginePicker],
    now: Time,
    (me, work): (usize, u64),
    rng: &mut fastrand::Rng,
) -> usize {
    let model = rng.usize(..MODELS);
    let count = fleet.capacity.len();
    let any = |rng: &mut fastrand::Rng| loop {
        let engine = rng.usize(..count);
        if engine / 9 % MODELS == model {
            return engine;
        }
    };
    let better = |one: usize, other: usize| {
        if fleet.wait(one) <= fleet.wait(other) { one } else { other }
    };
    match sampling {
        Sampling::Uniform => any(rng),
        Sampling::TwoChoices => better(any(rng), any(rng)),
        Sampling::Walk => fleet.walk(any(rng), rng),
        Sampling::TwoWalks => better(fleet.walk(any(rng), rng), fleet.walk(any(rng), rng)),
        Sampling::Subscribed(_) => {
            let model = format!("model-{model}");
            let query =
                PickQuery { model: &model, prompt_tokens: work, max_tokens: 0, prefixes: &[] };
            let picked = pickers[me].pick(now, &query).expect("every model has engines");
            picked.engine["engine-".len()..].parse().expect("names are numbers")
        }
    }
}

/// Each host hears its sample once in a period, at a time of its own.
fn report(pickers: &mut [EnginePicker], fleet: &Engines, now: Time, step: u32, period: u64) {
    let steps = (period / STEP.as_millis() as u64) as u32;
    for (me, picker) in pickers.iter_mut().enumerate() {
        if !(step + me as u32).is_multiple_of(steps) {
            continue;
        }
        picker.step(now, PlacementInput::Tick);
        let owners: Vec<_> = picker.sampled_owners().cloned().collect();
        for owner in owners {
            let mut push = push_of(picker, owner.clone(), |_| 0);
            let names: Vec<_> = picker.owners().owned_by(&owner).cloned().collect();
            for (load, name) in push.engines.iter_mut().zip(names) {
                let engine: usize = name["engine-".len()..].parse().expect("names are numbers");
                load.backlog_tokens = fleet.backlog[engine] as u64;
                load.tokens_per_second = (fleet.capacity[engine] * UNIT_RATE) as u32;
            }
            picker.step(now, PlacementInput::Load(push));
        }
    }
}
