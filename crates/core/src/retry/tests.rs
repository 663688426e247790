use super::*;

fn limit() -> RetryLimit {
    RetryLimit { ratio: 0.2, window: Duration::from_secs(10), allowance: 100.0 }
}

fn at(millis: u64) -> Time {
    Time(60_000_000 + millis * 1_000)
}

/// Guards against exceeding the limit over all hosts, for fleets of different sizes.
#[test]
fn hosts_together_stay_below_the_limit() {
    for hosts in [1, 3, 9, 84] {
        let mut spent = 0;
        for _ in 0..hosts {
            let mut budget = RetryBudget::new(limit(), Time::ZERO);
            (0..50).for_each(|step| budget.record_request(at(step)));
            spent += (0..1_000).filter(|step| budget.try_spend(at(100 + step), hosts)).count();
        }
        let allowed = 100.0 + 0.2 * 50.0 * hosts as f64;
        assert!(spent as f64 <= allowed, "{hosts} hosts spent {spent} of {allowed}");
    }
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut budget = RetryBudget::new(limit(), Time::ZERO);
    while budget.try_spend(at(0), 9) {}
    assert!(!budget.try_spend(at(9_000), 9));
    assert!(budget.try_spend(at(10_100), 9));
}

/// Guards against a window in which a process and its predecessor both spend the whole share of
/// their host.
#[test]
fn restarted_host_does_not_spend_its_share_again() {
    // The last second of the first process, and the first one of the second.
    let spent: usize = [(0, 19_000), (20_000, 20_000)]
        .into_iter()
        .map(|(started, begin)| {
            let mut budget = RetryBudget::new(limit(), at(started));
            (0..1_000).filter(|step| budget.try_spend(at(begin + step), 1)).count()
        })
        .sum();
    assert!(spent <= 100 / MIN_HOSTS, "{spent} retries without a request");
}
