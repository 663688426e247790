use super::{tests::*, *};
use crate::{fleet::ServerNotice, refusal::Reason};

fn evacuate(dispatcher: &mut Dispatcher, domains: &[&str]) {
    dispatcher.fleet.set_evacuated(domains.iter().map(|domain| (*domain).into()).collect());
}

fn is_evacuated(outputs: &[DispatchOutput]) -> bool {
    let [DispatchOutput::Refuse { reason, retry_after, .. }] = outputs else { return false };
    *reason == Reason::Evacuated && *retry_after >= Duration::from_secs(1)
}

/// Guards against work for an evacuated domain, as first engine or as one that prefills a part of a
/// split prompt.
#[test]
fn evacuated_domain_gets_no_work() {
    for evacuated in ["a", "b"] {
        let mut dispatcher = dispatcher(8, 4);
        evacuate(&mut dispatcher, &[evacuated]);
        for (number, work) in
            [long(60_000), short(), demand(PLAIN, 0, 0, 300, 0, 0)].iter().enumerate()
        {
            let outputs = submit(&mut dispatcher, at(0), number as u32, work.clone(), 60_000);
            let [DispatchOutput::Assign { engine, helpers, .. }] = &outputs[..] else {
                panic!("{outputs:?}")
            };
            let mut engines = helpers.iter().map(|helper| &helper.engine).chain([engine]);
            let domain = |tag| &*dispatcher.fleet.get(tag).unwrap().entry.failure_domain;
            assert!(engines.all(|tag| domain(*tag) != evacuated));
        }
    }
}

/// Guards against requests that wait although every domain with servers of their service is
/// evacuated, or for the end of a pause in an evacuated domain.
#[test]
fn requests_are_refused_at_once_while_all_domains_are_evacuated() {
    let mut dispatcher = dispatcher(2, 2);
    let tags: Vec<_> = dispatcher.fleet.iter().map(|(tag, _)| tag).collect();
    evacuate(&mut dispatcher, &["a", "b"]);
    assert!(is_evacuated(&submit(&mut dispatcher, at(0), 1, short(), 60_000)));
    for engine in tags {
        let domain = &dispatcher.fleet.get(engine).unwrap().entry.failure_domain;
        let pause = Some(Duration::from_secs(if &**domain == "a" { 1 } else { 30 }));
        let notice = ServerNotice { pause, ..ServerNotice::default() };
        dispatcher.step(at(1), DispatchInput::NoticeReceived { engine, sent: at(1), notice });
    }
    assert!(is_evacuated(&submit(&mut dispatcher, at(2), 2, short(), 60_000)));
    evacuate(&mut dispatcher, &["a"]);
    let outputs = submit(&mut dispatcher, at(3), 3, short(), 10_000);
    assert!(matches!(outputs[..], [DispatchOutput::Refuse { .. }]), "paused: {outputs:?}");
    assert!(submit(&mut dispatcher, at(4), 4, short(), 60_000).is_empty(), "waits for domain b");
    evacuate(&mut dispatcher, &["a", "b"]);
    assert!(is_evacuated(&dispatcher.step(at(100), DispatchInput::Tick)), "waits already");
    evacuate(&mut dispatcher, &[]);
    let outputs = submit(&mut dispatcher, at(40_000), 5, short(), 60_000);
    assert!(matches!(outputs[..], [DispatchOutput::Assign { .. }]), "{outputs:?}");
}
