//! Tests of this slice.

use super::*;

fn ask(work: u64, tokens: u64) -> AdmissionRequest {
    AdmissionRequest {
        work: WorkKey(work),
        account: AccountKey(1),
        rank: RankKey(1),
        tokens,
        max_tokens: tokens / 2,
        forecast: Forecast::default(),
        first_token_target: Duration::from_secs(5),
        time_left: Duration::from_secs(60),
    }
}

fn gate(tokens_per_second: Option<u64>, memory_tokens: Option<u64>) -> AdmissionController {
    let mut gate = AdmissionController::default();
    let limit = Limit { tokens_per_second, memory_tokens };
    let limits = vec![(LimitKey::Account(AccountKey(1)), limit)];
    gate.step(Time::ZERO, AdmissionInput::Limits(limits));
    gate
}

fn refusal(gate: &mut AdmissionController, now: Time, ask: AdmissionRequest) -> Option<Refusal> {
    match gate.step(now, AdmissionInput::Request(ask)).remove(0) {
        AdmissionOutput::Admitted(_) => None,
        AdmissionOutput::Refused(_, refusal) => Some(refusal),
    }
}

/// Guards against a rate limit that counts requests, and against a `Retry-After` that is too early.
#[test]
fn retry_after_of_a_rate_limit_is_honest() {
    let mut gate = gate(Some(100), None);
    assert_eq!(refusal(&mut gate, Time(0), ask(1, 1_500)), None);
    let refused = refusal(&mut gate, Time(0), ask(2, 10)).unwrap();
    assert_eq!(refused.reason, Reason::AccountLimit);
    let wait = refused.retry_after.unwrap();
    assert!(refusal(&mut gate, Time(0) + wait / 2, ask(3, 10)).is_some());
    assert_eq!(refusal(&mut gate, Time(0) + wait, ask(4, 10)), None);
}

/// Guards against a memory limit that forgets use on other hosts or never gives memory back.
#[test]
fn memory_limit_counts_all_hosts() {
    let mut gate = gate(None, Some(1_000));
    let (account, rank) = (AccountKey(1), RankKey(1));
    let remote =
        |held_tokens| AdmissionInput::RemoteUsage { account, rank, tokens: 0, held_tokens };
    assert_eq!(refusal(&mut gate, Time(0), ask(1, 600)), None);
    gate.step(Time(1), remote(300));
    assert!(refusal(&mut gate, Time(2), ask(2, 200)).is_some());
    gate.step(Time(3), AdmissionInput::Finished { work: WorkKey(1), produced_tokens: 10 });
    assert_eq!(refusal(&mut gate, Time(4), ask(3, 700)), None);
}

/// Guards against retries that multiply the load when an engine fails.
#[test]
fn retries_stay_within_the_budget() {
    let mut gate = gate(None, None);
    (0..100).for_each(|work| assert_eq!(refusal(&mut gate, Time(work), ask(work, 1)), None));
    let mut allowed = 0;
    for work in 0..100 {
        let outputs = gate.step(Time(200), AdmissionInput::Retry(WorkKey(work)));
        allowed += usize::from(matches!(outputs[0], AdmissionOutput::Admitted(_)));
    }
    assert_eq!(allowed, 13);
}

/// Guards against a long prompt that no load is low enough for, and a request that waits although
/// it cannot be answered in time.
#[test]
fn forecast_is_compared_with_target_and_time() {
    let mut gate = gate(None, None);
    let mut late = ask(1, 10);
    late.forecast.queue_wait = Duration::from_secs(6);
    let refused = refusal(&mut gate, Time(0), late).unwrap();
    assert_eq!(refused.retry_after, Some(Duration::from_secs(1)));
    let mut long = ask(2, 10);
    long.forecast.prefill = Duration::from_secs(12);
    long.forecast.idle_prefill = Duration::from_secs(10);
    assert_eq!(refusal(&mut gate, Time(0), long), None);
    long.work = WorkKey(3);
    long.time_left = Duration::from_secs(9);
    let refused = refusal(&mut gate, Time(0), long).unwrap();
    assert_eq!((refused.reason, refused.retry_after), (Reason::DeadlineExceeded, None));
}
