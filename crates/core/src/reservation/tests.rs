use super::*;

const LIMITS: ReservationLimits = ReservationLimits {
    release_limit: Duration::from_secs(4),
    longest_term: Duration::from_secs(20),
    idle_limit: Duration::from_secs(9),
};
/// Longest time for which an order may be under way.
const ORDER_DELAY: Duration = Duration::from_millis(400);

fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

/// Drives a lease until it is given up or `end`. Returns when its memory is free at the latest, and
/// the number of inspections.
fn run(end: Time, running_from: Time, is_used: impl Fn(Time) -> Option<bool>) -> (Time, u32) {
    let mut lease = MemoryLease::new(at(0), LIMITS);
    let (mut now, mut free_at, mut inspections) = (at(0), at(0) + LIMITS.term(), 0);
    while now < end {
        if now >= running_from {
            lease.note_running();
        }
        match lease.step(now) {
            LeaseAction::Wait(until) => now = until,
            LeaseAction::Renew => free_at = now + ORDER_DELAY + LIMITS.term(),
            LeaseAction::Inspect => {
                inspections += 1;
                lease.record_inspection(now, is_used(now));
            }
            LeaseAction::GiveUp => return (free_at, inspections),
        }
    }
    (free_at, inspections)
}

const NEVER: Time = Time(u64::MAX);

/// Guards against memory that no request uses for longer than the deployment allows, also if the
/// release is lost.
#[test]
fn unused_memory_is_free_within_the_idle_limit() {
    for answer in [Some(false), None] {
        let (free_at, _) = run(at(60_000), NEVER, |_| answer);
        assert!(free_at <= at(0) + LIMITS.idle_limit, "{free_at:?}");
    }
}

/// Guards against requests that lose their memory while they run or are read for long.
#[test]
fn used_memory_is_kept() {
    for (running_from, is_used) in [(at(3_000), Some(false)), (NEVER, Some(true))] {
        let (free_at, inspections) = run(at(60_000), running_from, |_| is_used);
        assert!(free_at >= at(60_000), "{free_at:?}");
        assert!(inspections <= 15, "{inspections}");
    }
}

/// Guards against memory that is kept for good once a request has used it.
#[test]
fn idle_time_begins_anew_when_use_ends() {
    let used_until = at(20_000);
    let (free_at, _) = run(at(60_000), NEVER, |now| Some(now < used_until));
    assert!(free_at > used_until && free_at <= used_until + LIMITS.idle_limit, "{free_at:?}");
}

/// Guards against reports for requests that begin in time, as these are most.
#[test]
fn request_that_begins_soon_is_not_inspected() {
    assert_eq!(run(at(30_000), at(3_500), |_| None).1, 0);
}

/// Guards against a request that is cut off because its first event comes while the engine is asked.
#[test]
fn request_that_begins_during_an_inspection_keeps_its_memory() {
    let mut lease = MemoryLease::new(at(0), LIMITS);
    let mut now = at(0);
    loop {
        match lease.step(now) {
            LeaseAction::Wait(until) => now = until,
            LeaseAction::Renew => {}
            LeaseAction::Inspect => lease.record_inspection(now, Some(false)),
            LeaseAction::GiveUp => break,
        }
    }
    lease.note_running();
    assert_eq!(lease.step(now), LeaseAction::Renew);
}

/// Guards against memory that an order sets aside after the release.
#[test]
fn releases_are_repeated_while_an_order_may_be_late() {
    let mut lease = MemoryLease::new(at(0), LIMITS);
    lease.note_sent(at(1_000));
    lease.note_answered();
    assert_eq!(lease.clone().close(at(5_000)), [at(5_000)]);
    lease.note_sent(at(2_000));
    lease.note_sent(at(3_000));
    lease.note_answered();
    assert_eq!(lease.clone().close(at(20_000)), [at(20_000)], "no order is late any more");
    let releases = lease.close(at(5_000));
    assert_eq!(releases[0], at(5_000));
    assert!(*releases.last().unwrap() >= at(2_000) + LATE_ORDER_TIME, "{releases:?}");
    assert!(releases.windows(2).all(|pair| pair[1].since(pair[0]) < LIMITS.term()));
}
