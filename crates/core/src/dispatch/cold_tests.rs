use super::{tests::*, *};
use crate::{
    fleet::{ColdStart, RequestRate},
    permit::ColdBound,
};

/// A dispatcher with two plain servers whose service has cold engines, and the entry of the first
/// one's next process.
fn cold_dispatcher(bound: Option<ColdBound>) -> (Dispatcher, EngineEntry) {
    let mut dispatcher = dispatcher(0, 2);
    dispatcher.set_cold_bound(bound);
    let mut services = dispatcher.services.clone();
    let rate = RequestRate::from_per_second(26.0).unwrap();
    let start = ColdStart { time: Duration::from_secs(10), rate };
    services.get_mut(PLAIN).unwrap().cold_start = Some(start);
    let urgent_targets = BTreeMap::new();
    dispatcher.step(at(0), DispatchInput::Services { services, urgent_targets });
    let first = dispatcher.fleet.iter().next().unwrap().1.entry.clone();
    (dispatcher, EngineEntry { started_ms: 2, revision: 9.into(), ..first })
}

/// Guards against a restarted engine that gets requests without permits while it is cold, that needs
/// them for ever, and that needs them in a deployment without cold engines.
#[test]
fn restarted_engine_needs_permits_while_it_is_cold() {
    for bound in [Some(ColdBound { over: 1.5, slack: 5.0 }), None] {
        let (mut dispatcher, entry) = cold_dispatcher(bound);
        let engine = entry.tag();
        let outputs = dispatcher.step(at(1_000), DispatchInput::ServerChanged(entry));
        let is_cold = |output: &DispatchOutput| {
            matches!(output, DispatchOutput::ColdChanged { change, is_stated: false }
                if change.engine == engine && change.limit.is_some())
        };
        assert_eq!(outputs.iter().any(is_cold), bound.is_some(), "{outputs:?}");
        let state = |dispatcher: &mut Dispatcher, millis: u64| {
            dispatcher.step(at(millis), DispatchInput::Tick);
            dispatcher.permit_state(at(millis), engine).is_some()
        };
        assert_eq!(state(&mut dispatcher, 10_900), bound.is_some());
        assert!(!state(&mut dispatcher, 11_100), "warm");
    }
}
