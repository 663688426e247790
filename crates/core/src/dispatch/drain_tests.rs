use super::{tests::*, *};
use crate::refusal::Reason;

/// Memory of one engine, with room for only a short prompt beside it.
const FILLING_PROMPT: u32 = 400_000;
/// Decode steps of a response that takes several seconds.
const LONG_ANSWER: u32 = 6_000;

/// A dispatcher with one engine whose memory is taken, and a request that waits for it.
fn waiting_dispatcher() -> Dispatcher {
    let mut dispatcher = dispatcher(1, 0);
    let filling = demand(SERVICE, FILLING_PROMPT, LONG_ANSWER, 8_000, 800, 2);
    let placed = submit(&mut dispatcher, at(0), 1, filling, 60_000);
    assert!(matches!(placed[..], [DispatchOutput::Assign { .. }]), "{placed:?}");
    let waits = demand(SERVICE, 60_000, 400, 8_000, 800, 2);
    let outputs = submit(&mut dispatcher, at(10), 2, waits, 60_000);
    assert!(outputs.is_empty(), "{outputs:?}");
    dispatcher
}

/// Runs ticks until the dispatcher decides about a request; returns when, and the decision.
fn first_decision(dispatcher: &mut Dispatcher, from: u64) -> (u64, DispatchOutput) {
    let decided = (from..from + 60_000).step_by(20).find_map(|millis| {
        let outputs = dispatcher.step(at(millis), DispatchInput::Tick);
        outputs.into_iter().next().map(|output| (millis, output))
    });
    decided.expect("a decision")
}

/// Guards against requests that wait for a server until their host has stopped.
#[test]
fn request_that_waits_is_refused_while_it_can_still_be_answered_elsewhere() {
    let mut dispatcher = waiting_dispatcher();
    let outputs = dispatcher.step(at(1_000), DispatchInput::Drain { end: at(3_000) });
    let (_, output) = match outputs.into_iter().next() {
        Some(output) => (1_000, output),
        None => first_decision(&mut dispatcher, 1_000),
    };
    let DispatchOutput::Refuse { number, reason, retry_after, .. } = output else {
        panic!("{output:?}");
    };
    assert_eq!((number, reason), (WorkNumber(2), Reason::Draining));
    assert!(retry_after < Duration::from_millis(500), "{retry_after:?}");
    assert_eq!(dispatcher.waiting_count(), 0);
}

/// A stop must not turn away what can still be finished.
#[test]
fn request_that_ends_before_the_drain_does_is_placed() {
    let mut dispatcher = dispatcher(1, 0);
    dispatcher.step(at(0), DispatchInput::Drain { end: at(7_000) });
    let outputs = submit(&mut dispatcher, at(10), 1, short(), 10_000);
    assert!(matches!(outputs[..], [DispatchOutput::Assign { .. }]), "{outputs:?}");
}

/// Guards against requests that are sent late in the grace time and cut off at its end.
#[test]
fn request_that_would_end_after_the_drain_is_not_placed() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.step(at(0), DispatchInput::Drain { end: at(2_000) });
    let stream = demand(SERVICE, 5_000, LONG_ANSWER, 250, 200, 0);
    let call = demand(PLAIN, 0, 0, 300, 0, 0);
    for (number, millis, demand) in [(1, 10, stream), (2, 1_900, call)] {
        let outputs = submit(&mut dispatcher, at(millis), number, demand, 10_000);
        let is_returned =
            matches!(outputs[..], [DispatchOutput::Refuse { reason: Reason::Draining, .. }]);
        assert!(is_returned, "{outputs:?}");
    }
}

/// A request that no host can serve in time is not sent on to the others.
#[test]
fn hopeless_request_is_not_returned_to_peers() {
    let mut dispatcher = waiting_dispatcher();
    dispatcher.step(at(1_000), DispatchInput::Drain { end: at(7_000) });
    let hopeless = demand(SERVICE, FILLING_PROMPT, 400, 8_000, 800, 2);
    let outputs = submit(&mut dispatcher, at(1_010), 3, hopeless, 500);
    let is_overloaded =
        matches!(outputs[..], [DispatchOutput::Refuse { reason: Reason::Overloaded, .. }]);
    assert!(is_overloaded, "{outputs:?}");
}
