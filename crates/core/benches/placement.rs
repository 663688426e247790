//! Benchmarks one placement decision at four fleet sizes.

use std::{hint::black_box, sync::Arc};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use parsley_core::{
    config::Revision,
    member::{MemberInput, MemberKind, MemberMessage, MemberRecord, MemberState, MemberTable},
    placement::{EngineLoad, EnginePicker, LoadPush, PickQuery, PlacementInput, engine_id},
    resource::{BackendRole, BackendServer, ResourceSet},
    time::Time,
};

const MODELS: usize = 8;
const DOMAINS: usize = 9;
const ENGINES_PER_HOST: usize = 5;

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        name: format!("entry-host-{index:04}").into(),
        region: format!("region-{}", index % DOMAINS / 3).into(),
        failure_domain: format!("domain-{}", index % DOMAINS).into(),
        address: "10.0.0.1:8080".into(),
        peer_address: "10.0.0.1:8081".into(),
        capacity: 100,
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn server(index: usize) -> BackendServer {
    let MemberRecord { region, failure_domain, .. } = record(index);
    let models = vec![format!("model-{}", index / DOMAINS % MODELS).into()];
    BackendServer {
        address: "10.0.0.1:9000".into(),
        region,
        failure_domain,
        role: BackendRole::Engine { models, memory_tokens: 600_000, batch: 64 },
        checks_fencing: true,
        leaving: false,
    }
}

fn picker(engines: usize) -> EnginePicker {
    let hosts = engines / ENGINES_PER_HOST;
    let records: Vec<_> = (0..hosts).map(record).collect();
    let mut table = MemberTable::new(record(0), Vec::new(), fastrand::Rng::with_seed(1));
    let message = MemberMessage {
        from: record(1),
        revision: Revision(0),
        kind: MemberKind::View,
        records,
        updates: vec![],
    };
    table.step(Time::ZERO, MemberInput::Received(message));
    let mut set = ResourceSet::default();
    for index in 0..engines {
        set.servers.insert(format!("engine-{index:05}").into(), server(index));
    }
    let mut picker = EnginePicker::new(table.local(), fastrand::Rng::with_seed(2));
    picker.update_servers(&set);
    picker.update_hosts(&table);
    picker.step(Time::ZERO, PlacementInput::Tick);
    let owners: Vec<_> = picker.sampled_owners().cloned().collect();
    for owner in owners {
        let load = |name: &Arc<str>| EngineLoad {
            engine: engine_id(name),
            backlog_tokens: u64::from(engine_id(name) % 100_000),
            tokens_per_second: 12_000,
            is_usable: true,
        };
        let engines = picker.owners().owned_by(&owner).map(load).collect();
        picker.step(Time::ZERO, PlacementInput::Load(LoadPush { owner, engines }));
    }
    picker
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for engines in [100, 1_000, 3_000, 10_000] {
        let mut picker = picker(engines);
        let models: Vec<_> = (0..MODELS).map(|model| format!("model-{model}")).collect();
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                number += 1;
                let query = PickQuery {
                    model: &models[number % MODELS],
                    prompt_tokens: 1_000,
                    max_tokens: 200,
                    prefixes: &[1, 2, 3],
                };
                // Decisions are one microsecond apart and time restarts after two million of them,
                // so the loads stay fresh.
                black_box(picker.pick(Time((number % 2_000_000) as u64), &query))
            });
        });
    }
    group.finish();
}

criterion_group!(placement, pick);
criterion_main!(placement);
