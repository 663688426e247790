//! Measures the time to admit and queue one request behind queues of different lengths.
//!
//! The host schedules one pool of engines. The longest queue corresponds to the work of 10,000
//! engines, spread over 1,500 accounts.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use parsley_core::{
    key::{AccountKey, EngineKey, ModelKey, RankKey, WorkKey},
    scheduler::{
        AccountSpec, EngineSpec, PoolScheduler, RankSpec, SchedulerInput, SchedulerOutput, WorkItem,
    },
    time::Time,
};

const ACCOUNTS: u32 = 1_500;
const ENGINES: u32 = 5;
const MODELS: u16 = 8;
const QUEUED: [usize; 4] = [10, 100, 1_000, 10_000];

fn item(work: u64) -> WorkItem {
    WorkItem {
        work: WorkKey(work),
        account: AccountKey((work % u64::from(ACCOUNTS)) as u32),
        rank: RankKey((work % 3) as u8 + 1),
        model: ModelKey((work % u64::from(MODELS)) as u16),
        prompt_tokens: 100 + work * 37 % 20_000,
        max_tokens: 200,
        prefixes: Vec::new(),
        preferred: None,
        deadline: Time(3_600_000_000),
    }
}

fn pool() -> PoolScheduler {
    let mut pool = PoolScheduler::default();
    let ranks = (0..4).map(|level| RankSpec {
        rank: RankKey(level),
        first_token_target: Duration::from_secs(600),
        finish_limit: Duration::from_secs(3_600),
        guaranteed_share: 0.2,
        tokens_per_second: None,
        memory_tokens: None,
    });
    pool.step(Time::ZERO, SchedulerInput::Ranks(ranks.collect()));
    let accounts = (0..ACCOUNTS).map(|account| AccountSpec {
        account: AccountKey(account),
        weight: 1 + account % 4,
        tokens_per_second: Some(u64::MAX / 1_000),
        memory_tokens: Some(u64::MAX),
    });
    pool.step(Time::ZERO, SchedulerInput::Accounts(accounts.collect()));
    for engine in 0..ENGINES {
        let models = (0..MODELS).map(ModelKey).collect();
        let (engine, memory_tokens) = (EngineKey(engine), 1_200_000);
        let spec = EngineSpec { engine, models, memory_tokens, batch: 48 };
        pool.step(Time::ZERO, SchedulerInput::EngineAdded(spec));
    }
    pool
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for queued in QUEUED {
        let mut pool = pool();
        let mut next = 0;
        while pool.queued_count() < queued {
            next += 1;
            pool.step(Time(next), SchedulerInput::Submit(item(next)));
        }
        group.bench_function(BenchmarkId::from_parameter(queued), |bencher| {
            bencher.iter(|| {
                // The cancellation keeps the queue length constant.
                next += 1;
                let outputs = pool.step(Time(next), SchedulerInput::Submit(item(next)));
                let refused =
                    outputs.iter().any(|output| matches!(output, SchedulerOutput::Refuse { .. }));
                assert!(!refused, "the request was refused instead of queued");
                black_box(outputs);
                pool.step(Time(next), SchedulerInput::Cancel(WorkKey(next)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admission);
criterion_main!(benches);
