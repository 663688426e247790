//! Bursts of long prompts: how they are split and in which order they are served.

use super::{tests::*, *};

/// A long prompt that needs several engines to meet its target.
fn burst_prompt(tokens: u32) -> WorkDemand {
    demand(SERVICE, tokens, 800, 2_500, 1_000, 1)
}

/// Places one request on each engine and starts its response, so that no engine is idle.
fn occupy(dispatcher: &mut Dispatcher, engines: u32) {
    for number in 0..engines {
        let medium = demand(SERVICE, 45_000, 1_000, 1_500, 600, 1);
        submit(dispatcher, at(0), number, medium, 10_000);
    }
    for number in 0..engines {
        dispatcher.step(at(300), DispatchInput::ResponseStarted(WorkNumber(number)));
    }
}

fn placements(outputs: &[DispatchOutput]) -> Vec<(u32, usize, u32)> {
    let placed = outputs.iter().filter_map(|output| match output {
        DispatchOutput::Assign { number, helpers, reason, .. } => {
            Some((number.0, helpers.len(), reason.first_event_ms))
        }
        _ => None,
    });
    placed.collect()
}

/// Guards against long prompts that wait for idle engines, and are late, while all engines decode
/// requests whose gap targets leave room for a small part of the prompt.
#[test]
fn long_prompt_uses_decoding_engines_in_small_parts() {
    let mut dispatcher = dispatcher(14, 0);
    occupy(&mut dispatcher, 14);
    let outputs = submit(&mut dispatcher, at(400), 50, burst_prompt(210_000), 10_000);
    let placed = placements(&outputs);
    let [(50, helpers, first_event_ms)] = placed[..] else { panic!("{outputs:?}") };
    assert!(helpers >= 4, "{helpers} helpers");
    assert!(first_event_ms < 1_500, "{first_event_ms} ms");
}

/// Guards against a part that makes the requests of a decoding helper miss their gap target.
#[test]
fn part_that_would_delay_a_decoding_helper_is_not_placed() {
    let mut dispatcher = dispatcher(4, 0);
    occupy(&mut dispatcher, 4);
    let outputs = submit(&mut dispatcher, at(400), 50, burst_prompt(210_000), 10_000);
    assert!(placements(&outputs).is_empty(), "{outputs:?}");
}

/// Guards against prompts that no number of parts up to six makes early enough, although the fleet
/// is idle, and against one prompt that takes most engines of a small fleet.
#[test]
fn very_long_prompt_is_split_over_at_most_a_fifth_of_the_engines() {
    for (engines, most) in [(78, 15), (21, 5)] {
        let mut dispatcher = dispatcher(engines, 0);
        let outputs = submit(&mut dispatcher, at(0), 1, burst_prompt(430_000), 10_000);
        let placed = placements(&outputs);
        let [(1, helpers, first_event_ms)] = placed[..] else { panic!("{outputs:?}") };
        assert!(helpers >= 5 && helpers <= most, "{helpers} helpers of {engines}");
        assert!(engines < 78 || first_event_ms < 2_500, "{first_event_ms} ms");
    }
}

/// Guards against a very long prompt that makes several shorter ones late in a burst: of accounts
/// with the same share, the cheaper request goes first.
#[test]
fn cheaper_prompt_goes_first_between_accounts_with_the_same_share() {
    let mut dispatcher = dispatcher(0, 0);
    submit(&mut dispatcher, at(0), 1, of_account(1, long(400_000)), 30_000);
    submit(&mut dispatcher, at(10), 2, of_account(2, long(150_000)), 30_000);
    let queue = dispatcher.queue(at(20));
    let order: Vec<_> = queue.iter().map(|(_, number, _)| number.0).collect();
    assert_eq!(order, [2, 1]);
}

/// Guards against refusals that callers pay for although a server had room in time, and that nobody
/// sees.
#[test]
fn refusal_is_counted_as_needless_if_a_server_gets_room_in_time() {
    for (is_room_in_time, counts) in [(true, (1, 1)), (false, (1, 0))] {
        let mut dispatcher = dispatcher(1, 0);
        for number in 0..6 {
            submit(&mut dispatcher, at(0), number, long(210_000), 60_000);
        }
        let outputs = submit(&mut dispatcher, at(10), 10, long(210_000), 6_000);
        let is_refused = |output: &DispatchOutput| matches!(output, DispatchOutput::Refuse { .. });
        assert!(outputs.iter().any(is_refused), "{outputs:?}");
        if is_room_in_time {
            for number in 0..6 {
                dispatcher.step(at(500), DispatchInput::RequestEnded(WorkNumber(number)));
            }
        }
        for millis in (600..8_000).step_by(100) {
            dispatcher.step(at(millis), DispatchInput::Tick);
        }
        assert_eq!(dispatcher.audit.counts(), counts);
    }
}
