use super::{tests::*, *};
use crate::{fleet::ServerNotice, refusal::Reason};

fn evacuate(dispatcher: &mut Dispatcher, domains: &[&str]) {
    let domains = domains.iter().map(|domain| (*domain).into());
    dispatcher.fleet.set_evacuated(domains.collect());
}

fn domains_of(dispatcher: &Dispatcher, outputs: &[DispatchOutput]) -> BTreeSet<Arc<str>> {
    let [DispatchOutput::Assign { engine, helpers, .. }] = outputs else { panic!("{outputs:?}") };
    let engines = std::iter::once(*engine).chain(helpers.iter().map(|helper| helper.engine));
    let records = engines.map(|engine| dispatcher.fleet.get(engine).unwrap());
    records.map(|record| record.entry.failure_domain.clone()).collect()
}

fn refused(outputs: &[DispatchOutput]) -> (Reason, Duration) {
    let [DispatchOutput::Refuse { reason, retry_after, .. }] = outputs else {
        panic!("{outputs:?}")
    };
    (*reason, *retry_after)
}

/// Guards against work for an evacuated domain, as first engine or as one that prefills a part of a
/// split prompt, and against an evacuation that goes on after it was withdrawn.
#[test]
fn evacuated_domain_gets_no_work() {
    for (evacuated, other) in [("a", "b"), ("b", "a")] {
        let mut dispatcher = dispatcher(8, 4);
        evacuate(&mut dispatcher, &[evacuated]);
        for number in 0..8 {
            let work = match number % 3 {
                0 => long(60_000),
                1 => short(),
                _ => demand(PLAIN, 0, 0, 300, 0, 0),
            };
            let now = at(u64::from(number) * 2_000);
            let outputs = submit(&mut dispatcher, now, number, work, 60_000);
            assert_eq!(domains_of(&dispatcher, &outputs), BTreeSet::from([other.into()]));
            dispatcher.step(now, DispatchInput::RequestEnded(WorkNumber(number)));
        }
    }
}

/// Guards against requests that wait for their deadline although every domain with servers of their
/// service is evacuated, leaving servers and paused ones included.
#[test]
fn requests_are_refused_at_once_while_all_domains_are_evacuated() {
    let mut dispatcher = dispatcher(2, 2);
    let tags: Vec<_> = dispatcher.fleet.iter().map(|(tag, _)| tag).collect();
    evacuate(&mut dispatcher, &["a", "b"]);
    let plain = || demand(PLAIN, 0, 0, 300, 0, 0);
    let (reason, retry_after) = refused(&submit(&mut dispatcher, at(0), 1, plain(), 60_000));
    assert_eq!(reason, Reason::Evacuated);
    assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
    for tag in tags {
        let pause = Some(Duration::from_millis(500));
        let notice = ServerNotice { pause, ..ServerNotice::default() };
        dispatcher.step(at(1), DispatchInput::NoticeReceived { engine: tag, sent: at(1), notice });
    }
    assert_eq!(refused(&submit(&mut dispatcher, at(2), 2, short(), 60_000)).0, Reason::Evacuated);
    evacuate(&mut dispatcher, &["a"]);
    let outputs = submit(&mut dispatcher, at(3), 3, plain(), 60_000);
    assert!(outputs.is_empty(), "waits for the end of a pause in the other domain: {outputs:?}");
    evacuate(&mut dispatcher, &["a", "b"]);
    let outputs = dispatcher.step(at(100), DispatchInput::Tick);
    assert_eq!(refused(&outputs).0, Reason::Evacuated, "a request that waits already");
    evacuate(&mut dispatcher, &[]);
    let outputs = submit(&mut dispatcher, at(5_000), 4, plain(), 60_000);
    assert!(matches!(outputs[..], [DispatchOutput::Assign { .. }]), "{outputs:?}");
}
