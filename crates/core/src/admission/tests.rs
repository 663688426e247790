//! Tests of admission control.

use super::*;

fn request(work: u64, tokens: u64) -> AdmissionRequest {
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

fn controller(tokens_per_second: Option<u64>, memory_tokens: Option<u64>) -> AdmissionController {
    let mut controller = AdmissionController::default();
    let limit = Limit { tokens_per_second, memory_tokens };
    let limits = vec![(LimitKey::Account(AccountKey(1)), limit)];
    controller.step(Time::ZERO, AdmissionInput::Limits(limits));
    controller
}

fn refusal(
    controller: &mut AdmissionController,
    now: Time,
    request: AdmissionRequest,
) -> Option<Refusal> {
    match controller.step(now, AdmissionInput::Request(request)).remove(0) {
        AdmissionOutput::Admitted(_) => None,
        AdmissionOutput::Refused(_, refusal) => Some(refusal),
    }
}

/// Guards against a rate limit that counts requests instead of tokens, and against a `Retry-After`
/// after which a retry is refused again.
#[test]
fn retry_after_of_a_rate_limit_suffices() {
    let mut controller = controller(Some(100), None);
    assert_eq!(refusal(&mut controller, Time(0), request(1, 1_500)), None);
    let refused = refusal(&mut controller, Time(0), request(2, 10)).unwrap();
    assert_eq!(refused.reason, Reason::AccountLimit);
    let wait = refused.retry_after.unwrap();
    assert!(refusal(&mut controller, Time(0) + wait / 2, request(3, 10)).is_some());
    assert_eq!(refusal(&mut controller, Time(0) + wait, request(4, 10)), None);
}

/// Guards against a memory limit that ignores usage on other hosts or never releases memory.
#[test]
fn memory_limit_counts_all_hosts() {
    let mut controller = controller(None, Some(1_000));
    let (account, rank) = (AccountKey(1), RankKey(1));
    let remote =
        |held_tokens| AdmissionInput::RemoteUsage { account, rank, tokens: 0, held_tokens };
    assert_eq!(refusal(&mut controller, Time(0), request(1, 600)), None);
    controller.step(Time(1), remote(300));
    assert!(refusal(&mut controller, Time(2), request(2, 200)).is_some());
    controller.step(Time(3), AdmissionInput::Finished { work: WorkKey(1), produced_tokens: 10 });
    assert_eq!(refusal(&mut controller, Time(4), request(3, 700)), None);
}

/// Guards against retries that multiply the load when an engine fails.
#[test]
fn retries_stay_within_the_budget() {
    let mut controller = controller(None, None);
    (0..100)
        .for_each(|work| assert_eq!(refusal(&mut controller, Time(work), request(work, 1)), None));
    let mut allowed = 0;
    for work in 0..100 {
        let outputs = controller.step(Time(200), AdmissionInput::Retry(WorkKey(work)));
        allowed += usize::from(matches!(outputs[0], AdmissionOutput::Admitted(_)));
    }
    assert_eq!(allowed, 13);
}

/// Guards against refusing a long prompt at any load, and against admitting a request that cannot
/// meet its deadline.
#[test]
fn forecast_is_compared_with_target_and_time() {
    let mut controller = controller(None, None);
    let mut late = request(1, 10);
    late.forecast.queue_wait = Duration::from_secs(6);
    let refused = refusal(&mut controller, Time(0), late).unwrap();
    assert_eq!(refused.retry_after, Some(Duration::from_secs(1)));
    let mut long = request(2, 10);
    long.forecast.prefill = Duration::from_secs(12);
    long.forecast.idle_prefill = Duration::from_secs(10);
    assert_eq!(refusal(&mut controller, Time(0), long), None);
    long.work = WorkKey(3);
    long.time_left = Duration::from_secs(9);
    let refused = refusal(&mut controller, Time(0), long).unwrap();
    assert_eq!((refused.reason, refused.retry_after), (Reason::DeadlineExceeded, None));
}
