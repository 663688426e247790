use super::*;
use crate::fixed_cases;

const POOL: ModelKey = ModelKey(0);

fn tracker(engines: u32) -> HealthTracker {
    let mut tracker = HealthTracker::default();
    for engine in 0..engines {
        tracker.step(
            Time::ZERO,
            HealthInput::OwnershipGained { engine: EngineKey(engine), pool: POOL },
        );
    }
    tracker
}

fn fail(tracker: &mut HealthTracker, now: Time, engine: u32) -> Vec<HealthOutput> {
    let input = HealthInput::RequestOutcome { engine: EngineKey(engine), is_success: false };
    (0..3).flat_map(|_| tracker.step(now, input.clone())).collect()
}

fn usable(engine: u32, is_usable: bool) -> HealthOutput {
    HealthOutput::UsabilityChanged { engine: EngineKey(engine), is_usable }
}

/// Guards against an engine that fails every request and still gets work, against one that returns
/// without a successful probe, and against ejections that do not grow.
#[test]
fn failing_engine_is_ejected_longer_each_time() {
    let mut tracker = tracker(3);
    let mut now = Time::ZERO;
    for seconds in [5, 10, 20, 40, 60, 60] {
        let expected = if seconds == 5 { vec![usable(1, false)] } else { vec![] };
        if seconds == 5 {
            assert_eq!(fail(&mut tracker, now, 1), expected);
        }
        now = now + Duration::from_secs(seconds - 1);
        assert_eq!(tracker.step(now, HealthInput::Tick), vec![], "{seconds} s");
        now = now + Duration::from_secs(1);
        let outputs = tracker.step(now, HealthInput::Tick);
        assert_eq!(outputs, vec![HealthOutput::Probe(EngineKey(1))]);
        let failed = HealthInput::ProbeResult { engine: EngineKey(1), is_success: false };
        assert_eq!(tracker.step(now, failed), vec![]);
    }
    now = now + MAX_EJECTION;
    tracker.step(now, HealthInput::Tick);
    let passed = HealthInput::ProbeResult { engine: EngineKey(1), is_success: true };
    assert_eq!(tracker.step(now, passed), vec![usable(1, true)]);
}

/// Guards against a lost probe result that keeps the engine ejected forever.
#[test]
fn lost_probe_counts_as_failed() {
    let mut tracker = tracker(3);
    fail(&mut tracker, Time::ZERO, 1);
    let probed = Time::ZERO + MIN_EJECTION;
    tracker.step(probed, HealthInput::Tick);
    tracker.step(probed + PROBE_TIMEOUT, HealthInput::Tick);
    let again = tracker.step(probed + PROBE_TIMEOUT + MIN_EJECTION * 2, HealthInput::Tick);
    assert_eq!(again, vec![HealthOutput::Probe(EngineKey(1))]);
}

/// Guards against ejecting an engine that is only somewhat below the median, and against a slow
/// engine that still gets work.
#[test]
fn engine_under_a_third_of_the_median_is_ejected() {
    let mut tracker = tracker(4);
    let mut ejected = Vec::new();
    for _ in 0..10 {
        for (engine, rate) in [(0, 1000.0), (1, 900.0), (2, 400.0), (3, 250.0)] {
            let input = HealthInput::RateSample { engine: EngineKey(engine), rate };
            ejected.extend(tracker.step(Time::ZERO, input));
        }
    }
    assert_eq!(ejected, vec![usable(3, false)]);
}

/// Guards against ejecting most of a pool, and against the limit on ejections keeping work on
/// engines that do not answer at all.
#[test]
fn at_most_half_of_the_answering_engines_are_ejected() {
    fixed_cases(200, |u| {
        let engines = u.int_in_range(1..=9)?;
        let mut tracker = tracker(engines);
        let mut unreachable = std::collections::BTreeSet::new();
        for _ in 0..u.int_in_range(1..=30)? {
            let engine = u.int_in_range(0..=engines - 1)?;
            if u.ratio(1, 4)? {
                unreachable.insert(engine);
                let engine = EngineKey(engine);
                tracker.step(Time::ZERO, HealthInput::Answering { engine, is_answering: false });
            } else if unreachable.is_empty() {
                fail(&mut tracker, Time::ZERO, engine);
            }
        }
        let unusable = (0..engines).filter(|engine| !tracker.is_usable(EngineKey(*engine)));
        let ejected = unusable.filter(|engine| !unreachable.contains(engine)).count();
        assert!(ejected * 2 <= engines as usize);
        assert!(unreachable.iter().all(|engine| !tracker.is_usable(EngineKey(*engine))));
        Ok(())
    });
}

/// Guards against new work on a server that any of the three sources says is leaving, and against
/// one that stays unusable after every source has withdrawn.
#[test]
fn server_is_unusable_while_any_source_says_it_is_leaving() {
    let mut tracker = tracker(1);
    let set_leaving = |tracker: &mut HealthTracker, source, is_leaving| {
        let engine = EngineKey(0);
        tracker.step(Time::ZERO, HealthInput::Leaving { engine, source, is_leaving })
    };
    for source in [LeavingSource::HostList, LeavingSource::Report, LeavingSource::Spec] {
        assert_eq!(set_leaving(&mut tracker, source, true), vec![usable(0, false)]);
        assert_eq!(set_leaving(&mut tracker, source, false), vec![usable(0, true)]);
    }
    set_leaving(&mut tracker, LeavingSource::Spec, true);
    set_leaving(&mut tracker, LeavingSource::HostList, true);
    assert_eq!(set_leaving(&mut tracker, LeavingSource::HostList, false), vec![]);
}

/// Guards against work for an engine that asked for a pause or said in an answer that it leaves,
/// and against either lasting for good.
#[test]
fn engine_gets_no_work_while_its_own_notices_hold() {
    let mut tracker = tracker(2);
    let at = |millis| Time::ZERO + Duration::from_millis(millis);
    let engine = EngineKey(1);
    let pause = |millis| HealthInput::Paused { engine, pause: Duration::from_millis(millis) };
    assert_eq!(tracker.step(at(0), pause(2_000)), vec![usable(1, false)]);
    assert_eq!(tracker.step(at(10), pause(100)), vec![], "a shorter one");
    assert_eq!(tracker.step(at(1_999), HealthInput::Tick), vec![]);
    assert_eq!(tracker.step(at(2_000), HealthInput::Tick), vec![usable(1, true)]);
    let source = LeavingSource::Answer;
    let leaving = HealthInput::Leaving { engine, source, is_leaving: true };
    assert_eq!(tracker.step(at(3_000), leaving), vec![usable(1, false)]);
    let answering = |is_answering| HealthInput::Answering { engine, is_answering };
    assert_eq!(tracker.step(at(60_000), answering(true)), vec![], "it still runs");
    assert_eq!(tracker.step(at(61_000), answering(false)), vec![]);
    assert_eq!(tracker.step(at(62_000), answering(true)), vec![usable(1, true)], "a new process");
}
