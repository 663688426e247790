//! Tests of the scheduler in virtual time.

use std::collections::BTreeSet;

use super::*;

const TOP: RankKey = RankKey(0);
const LOW: RankKey = RankKey(2);
const MODEL: ModelKey = ModelKey(0);

fn spec(engine: u32, batch: u32) -> EngineSpec {
    let memory_tokens = 100_000;
    EngineSpec { engine: EngineKey(engine), models: vec![MODEL], memory_tokens, batch }
}

fn rank(level: u8, first_token_ms: u64, guaranteed: f64) -> RankSpec {
    RankSpec {
        first_token_target: Duration::from_millis(first_token_ms),
        finish_limit: Duration::from_secs(60),
        guaranteed_share: guaranteed,
        ..unconfigured_rank(RankKey(level))
    }
}

fn account(number: u32, memory_tokens: Option<u64>) -> AccountSpec {
    AccountSpec { account: AccountKey(number), weight: 1, tokens_per_second: None, memory_tokens }
}

fn item(work: u64, account: u32, rank: RankKey, prompt_tokens: u64) -> WorkItem {
    WorkItem {
        work: WorkKey(work),
        account: AccountKey(account),
        rank,
        model: MODEL,
        prompt_tokens,
        max_tokens: 100,
        prefixes: Vec::new(),
        preferred: None,
        deadline: Time(60_000_000),
    }
}

fn pool(engines: u32, batch: u32) -> PoolScheduler {
    let mut pool = PoolScheduler::default();
    let ranks = vec![rank(0, 1_000, 0.3), rank(1, 5_000, 0.4), rank(2, 60_000, 0.1)];
    pool.step(Time::ZERO, SchedulerInput::Ranks(ranks));
    let accounts = (0..20).map(|number| account(number, None)).collect();
    pool.step(Time::ZERO, SchedulerInput::Accounts(accounts));
    for engine in 0..engines {
        pool.step(Time::ZERO, SchedulerInput::EngineAdded(spec(engine, batch)));
    }
    pool
}

fn submit(pool: &mut PoolScheduler, now: Time, item: WorkItem) -> Vec<SchedulerOutput> {
    pool.step(now, SchedulerInput::Submit(item))
}

fn dispatched(outputs: &[SchedulerOutput]) -> Vec<u64> {
    let work = |output: &SchedulerOutput| match output {
        SchedulerOutput::Dispatch { work, .. } => Some(work.0),
        _ => None,
    };
    outputs.iter().filter_map(work).collect()
}

/// Confirms every preemption in `outputs` and in the outputs that follow. Returns the requests that
/// were sent and not preempted again.
fn confirm_preemptions(
    pool: &mut PoolScheduler,
    now: Time,
    mut outputs: Vec<SchedulerOutput>,
) -> Vec<u64> {
    let mut sent = Vec::new();
    while let Some(output) = outputs.pop() {
        match output {
            SchedulerOutput::Dispatch { work, .. } => sent.push(work.0),
            SchedulerOutput::Preempt { work, .. } => {
                sent.retain(|sent| *sent != work.0);
                let item = pool.running[&work].item.clone();
                outputs.extend(pool.step(now, SchedulerInput::Requeue(item)));
            }
            _ => {}
        }
    }
    sent
}

/// Reports the first tokens and the end of a request.
fn finish(pool: &mut PoolScheduler, now: Time, work: u64) -> Vec<SchedulerOutput> {
    let work = WorkKey(work);
    let mut outputs = pool.step(now, SchedulerInput::Progress { work, tokens: 100 });
    outputs.extend(pool.step(now, SchedulerInput::Finished(work)));
    outputs
}

/// Guards against an overload of the lowest rank that fills every batch slot, so that urgent work
/// has to wait.
#[test]
fn low_rank_leaves_headroom() {
    let mut pool = pool(1, 8);
    for work in 0..20 {
        submit(&mut pool, Time(work), item(work, 1, LOW, 500));
    }
    assert_eq!(pool.running_count(), 7);
    let outputs = submit(&mut pool, Time(30), item(30, 2, TOP, 500));
    assert_eq!(dispatched(&outputs), [30]);
}

/// Guards against urgent work that waits for lower-ranked work to finish, and against work that is
/// lost or counted twice when it is preempted.
#[test]
fn urgent_work_preempts_and_the_rest_is_resumed() {
    let mut pool = pool(1, 8);
    submit(&mut pool, Time(1), item(1, 1, LOW, 60_000));
    let outputs = submit(&mut pool, Time(2), item(2, 2, TOP, 70_000));
    let engine = EngineKey(0);
    assert_eq!(outputs, [SchedulerOutput::Preempt { work: WorkKey(1), engine }]);
    let again = pool.step(Time(3), SchedulerInput::Requeue(item(1, 1, LOW, 60_000)));
    assert_eq!(dispatched(&again), [2]);
    assert_eq!(dispatched(&finish(&mut pool, Time(4), 2)), [1]);
    finish(&mut pool, Time(5), 1);
    assert_eq!((pool.held_tokens(engine), pool.running_count(), pool.queued_count()), (0, 0, 0));
}

/// Guards against repeated preemption for an urgent prompt that cannot start anyway, because
/// another prompt of the longest class is in prefill.
#[test]
fn nothing_is_preempted_for_a_prompt_that_cannot_start() {
    let mut pool = pool(1, 32);
    let memory_tokens = 600_000;
    let spec = EngineSpec { memory_tokens, ..spec(0, 32) };
    pool.step(Time(1), SchedulerInput::EngineAdded(spec));
    for work in 2..=4 {
        submit(&mut pool, Time(1), item(work, 2, LOW, 90_000));
        pool.step(Time(1), SchedulerInput::Progress { work: WorkKey(work), tokens: 1 });
    }
    submit(&mut pool, Time(1), item(1, 1, TOP, 200_000));
    let running = pool.running_count();
    let outputs = submit(&mut pool, Time(2), item(5, 3, TOP, 200_000));
    assert_eq!((outputs, running), (Vec::new(), 4));
}

/// Guards against head-of-line blocking of a short prompt by a long one that has no room.
#[test]
fn long_prompt_without_room_blocks_no_short_one() {
    let mut pool = pool(1, 8);
    submit(&mut pool, Time(1), item(1, 1, RankKey(1), 90_000));
    submit(&mut pool, Time(2), item(2, 1, RankKey(1), 50_000));
    let outputs = submit(&mut pool, Time(3), item(3, 1, RankKey(1), 300));
    assert_eq!(dispatched(&outputs), [3]);
    assert_eq!(pool.queued_count(), 1);
}

/// Guards against starvation of a long prompt because short ones take all memory that becomes free.
#[test]
fn engine_is_drained_for_a_waiting_long_prompt() {
    let mut pool = pool(1, 64);
    let mut now = Time(1);
    (0..40).for_each(|work| drop(submit(&mut pool, now, item(work, 1, RankKey(1), 1_900))));
    submit(&mut pool, now, item(100, 2, RankKey(1), 60_000));
    let mut order = Vec::new();
    for work in 0..40 {
        now = now + Duration::from_millis(100);
        submit(&mut pool, now, item(200 + work, 3, RankKey(1), 1_900));
        order.extend(dispatched(&finish(&mut pool, now, work)));
    }
    assert!(order.contains(&100), "{order:?}");
}

/// Guards against starvation of a longer prompt for as long as its account has shorter ones queued.
#[test]
fn longer_prompt_is_not_starved_by_shorter_ones() {
    let mut pool = pool(1, 4);
    let mut now = Time(1);
    (0..30).for_each(|work| drop(submit(&mut pool, now, item(work, 1, LOW, 500))));
    submit(&mut pool, now, item(100, 1, LOW, 5_000));
    let mut order = Vec::new();
    for work in 0..30 {
        now = now + Duration::from_millis(200);
        submit(&mut pool, now, item(200 + work, 1, LOW, 500));
        order.extend(dispatched(&finish(&mut pool, now, work)));
    }
    assert!(order.contains(&100), "{order:?}");
}

/// Guards against an account that gets more service the more requests it queues.
#[test]
fn backlogged_accounts_get_equal_service() {
    let mut pool = pool(1, 4);
    let mut next = 0;
    let mut served = [0u32; 3];
    let mut running = Vec::new();
    let mut owner = BTreeMap::new();
    // Account 0 queues ten times what the others do.
    for (number, count) in [(0, 1000), (1, 100), (2, 100)] {
        for _ in 0..count {
            next += 1;
            owner.insert(next, number);
            let outputs = submit(&mut pool, Time(1), item(next, number as u32, LOW, 500));
            running.extend(dispatched(&outputs));
        }
    }
    let mut now = Time(1_000);
    for _ in 0..150 {
        now = now + Duration::from_millis(10);
        let work = running.remove(0);
        served[owner[&work] as usize] += 1;
        running.extend(dispatched(&finish(&mut pool, now, work)));
    }
    let (least, most) = (served.iter().min().unwrap(), served.iter().max().unwrap());
    assert!(most - least <= 4, "{served:?}");
}

/// Guards against an overload of the urgent rank that takes the guaranteed share of the others.
#[test]
fn lower_rank_keeps_its_floor() {
    let mut pool = pool(1, 4);
    let mut running = Vec::new();
    for work in 0..600 {
        let rank = if work % 2 == 0 { TOP } else { RankKey(1) };
        let outputs = submit(&mut pool, Time(1), item(work, 1, rank, 500));
        running.extend(confirm_preemptions(&mut pool, Time(1), outputs));
        running.retain(|work| pool.running.contains_key(&WorkKey(*work)));
    }
    let mut now = Time(1_000);
    let mut served = [0u32; 2];
    for _ in 0..300 {
        now = now + Duration::from_millis(20);
        let outputs = pool.step(now, SchedulerInput::Tick);
        running.extend(confirm_preemptions(&mut pool, now, outputs));
        let work = running.remove(0);
        served[(work % 2) as usize] += 1;
        let outputs = finish(&mut pool, now, work);
        running.extend(confirm_preemptions(&mut pool, now, outputs));
        running.retain(|work| pool.running.contains_key(&WorkKey(*work)));
    }
    let share = f64::from(served[1]) / 300.0;
    assert!((0.36..0.7).contains(&share), "{served:?}");
}

/// Guards against queueing a request that cannot be served in time, and against a `Retry-After`
/// that is longer than the target.
#[test]
fn late_work_is_refused_at_once_with_the_time_to_wait() {
    let mut pool = pool(1, 2);
    let mut next = 0;
    let mut now = Time(1_000);
    let mut running = Vec::new();
    let mut waits = Vec::new();
    for _ in 0..400 {
        next += 1;
        let outputs = submit(&mut pool, now, item(next, 1, RankKey(1), 500));
        running.extend(dispatched(&outputs));
        if let Some(SchedulerOutput::Refuse { refusal, .. }) = outputs.first() {
            assert_eq!(refusal.reason, Reason::Overloaded);
            waits.push(refusal.retry_after.unwrap());
        }
        now = now + Duration::from_millis(50);
        running.extend(dispatched(&pool.step(now, SchedulerInput::Tick)));
        if next % 4 == 0 {
            let outputs = finish(&mut pool, now, running.remove(0));
            running.extend(dispatched(&outputs));
        }
    }
    // One request is served every 200 ms, so about 25 fit into the target of 5 s.
    assert!((15..60).contains(&pool.queued_count()), "{}", pool.queued_count());
    assert!(waits.len() > 200 && waits.iter().all(|wait| *wait < Duration::from_secs(5)));
}

/// Guards against work that stays queued or keeps its memory after its deadline has passed or its
/// caller has cancelled.
#[test]
fn expired_and_cancelled_work_leaves_at_once() {
    let mut pool = pool(1, 2);
    let late = |work| WorkItem { deadline: Time(5_000), ..item(work, 1, LOW, 500) };
    (1..=4).for_each(|work| drop(submit(&mut pool, Time(1), late(work))));
    pool.step(Time(2), SchedulerInput::Cancel(WorkKey(4)));
    assert_eq!(pool.queued_count(), 2);
    let outputs = pool.step(Time(5_000), SchedulerInput::Tick);
    let refused = outputs.iter().filter(|o| matches!(o, SchedulerOutput::Refuse { .. })).count();
    let aborted = outputs.iter().filter(|o| matches!(o, SchedulerOutput::Abort { .. })).count();
    assert_eq!((refused, aborted, pool.queued_count()), (2, 1, 0));
    pool.step(Time(6_000), SchedulerInput::Finished(WorkKey(1)));
    assert_eq!(pool.held_tokens(EngineKey(0)), 0);
}

/// Guards against a request that never ends or ends twice, memory that is never released, an
/// account over its memory limit, and an engine over its memory, for random orders of inputs.
#[test]
fn every_request_ends_exactly_once() {
    arbtest::arbtest(|data| {
        let mut pool = pool(2, 3);
        let limit = 60_000;
        let accounts = (0..3).map(|number| account(number, Some(limit))).collect();
        pool.step(Time::ZERO, SchedulerInput::Accounts(accounts));
        let mut model = RequestModel::default();
        let mut now = Time(1);
        for step in 0..data.int_in_range(1..=60)? {
            now = now + Duration::from_millis(data.int_in_range(0..=3_000)?);
            let input = model.next_input(data, step, now)?;
            let outputs = pool.step(now, input);
            model.apply_outputs(outputs);
            for number in 0..3 {
                let held = pool.admission.held_tokens(AccountKey(number));
                assert!(held <= limit, "account holds {held}");
            }
            let held: Vec<_> = (0..2).map(|engine| pool.held_tokens(EngineKey(engine))).collect();
            assert!(held.iter().all(|held| *held <= 100_000), "{held:?}");
        }
        while let Some(work) = model.running.first().copied() {
            model.running.remove(&work);
            model.end(work);
            let outputs = pool.step(now, SchedulerInput::Finished(work));
            model.apply_outputs(outputs);
        }
        now = now + Duration::from_secs(120);
        let outputs = pool.step(now, SchedulerInput::Tick);
        model.apply_outputs(outputs);
        assert!(model.open.is_empty(), "without end: {:?}", model.open);
        let held: u64 = (0..2).map(|engine| pool.held_tokens(EngineKey(engine))).sum();
        assert_eq!((pool.queued_count(), pool.running_count(), held), (0, 0, 0));
        assert!(pool.deadlines.is_empty() && pool.open.is_empty() && pool.held_tokens.is_empty());
        Ok(())
    });
}

/// Reference model of the requests that the host must still answer.
#[derive(Default)]
struct RequestModel {
    open: BTreeSet<WorkKey>,
    running: BTreeSet<WorkKey>,
    items: BTreeMap<WorkKey, WorkItem>,
    preempted: Vec<WorkKey>,
}

impl RequestModel {
    fn next_input(
        &mut self,
        data: &mut arbtest::arbitrary::Unstructured<'_>,
        step: u64,
        now: Time,
    ) -> arbtest::arbitrary::Result<SchedulerInput> {
        if let Some(work) = self.preempted.pop() {
            return Ok(SchedulerInput::Requeue(self.items[&work].clone()));
        }
        let some = self.running.iter().nth(data.int_in_range(0..=3)?).copied();
        let choice: u8 = data.int_in_range(0..=7)?;
        let Some(work) = some.filter(|_| choice > 2) else {
            let prompt = data.int_in_range(1..=80_000)?;
            let rank = RankKey(data.int_in_range(0..=2)?);
            let mut item = item(step, data.int_in_range(0..=2)?, rank, prompt);
            item.deadline = now + Duration::from_millis(data.int_in_range(0..=20_000)?);
            self.open.insert(item.work);
            self.items.insert(item.work, item.clone());
            return Ok(SchedulerInput::Submit(item));
        };
        Ok(match choice {
            3 => SchedulerInput::Progress { work, tokens: 3 },
            4 => {
                self.running.remove(&work);
                SchedulerInput::Retry(self.items[&work].clone())
            }
            5 => {
                self.running.remove(&work);
                SchedulerInput::Rejected(work)
            }
            6 => {
                self.running.remove(&work);
                self.end(work);
                SchedulerInput::Finished(work)
            }
            _ => SchedulerInput::Cancel(work),
        })
    }

    fn end(&mut self, work: WorkKey) {
        assert!(self.open.remove(&work), "{work:?} ended twice");
    }

    fn apply_outputs(&mut self, outputs: Vec<SchedulerOutput>) {
        for output in outputs {
            match output {
                SchedulerOutput::Dispatch { work, .. } => assert!(self.running.insert(work)),
                SchedulerOutput::Preempt { work, .. } => {
                    self.running.remove(&work);
                    self.preempted.push(work);
                }
                SchedulerOutput::Refuse { work, .. } | SchedulerOutput::HandBack(work) => {
                    self.end(work);
                }
                _ => {}
            }
        }
    }
}

/// Guards against reporting a request as not run although an engine had accepted it and was told to
/// stop before the first token.
#[test]
fn preempted_request_that_expires_is_reported_as_run() {
    let mut pool = pool(1, 1);
    let first = item(1, 0, LOW, 1_000);
    assert_eq!(dispatched(&submit(&mut pool, Time::ZERO, first.clone())), [1]);
    let outputs = submit(&mut pool, Time(1), item(2, 1, TOP, 100));
    assert_eq!(outputs, [SchedulerOutput::Preempt { work: WorkKey(1), engine: EngineKey(0) }]);
    pool.step(Time(2), SchedulerInput::Requeue(first));
    let outputs = pool.step(Time(60_000_000), SchedulerInput::Tick);
    let outcome = outputs.iter().find_map(|output| match output {
        SchedulerOutput::Refuse { work: WorkKey(1), refusal } => Some(refusal.outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(crate::refusal::Outcome::Ran));
}
