//! Engines that crash, freeze, refuse or go silent while streams run.

use parsley_standins::tally::PromptLoad;

mod fixture;

/// Guards against lost text at the change to another engine, and against memory that a frozen
/// engine keeps for streams which were since continued elsewhere.
#[test]
fn frozen_engine_returns_its_memory() {
    let fleet = fixture::fleet().start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("frozen", 30, 2000), 30);
    fixture::pause(1500);
    fleet.engine_faults(0).freeze(true);
    fixture::pause(6000);
    fleet.engine_faults(0).freeze(false);
    // Long before the streams would end by themselves.
    fixture::pause(4000);
    let streams = fleet.open_streams();
    assert_eq!(streams, 30, "streams that were continued elsewhere still run");
    let tally = load.finish();
    fixture::assert_all_complete(&tally, 30);
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against answers lost with an engine, and against a second loss that hits the streams
/// which were just moved.
#[test]
fn crashed_engines_lose_no_answer() {
    let mut fleet = fixture::fleet().start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("crashed", 30, 400), 30);
    for index in [0, 1] {
        fixture::pause(1200);
        fleet.kill_engine(index);
        fixture::pause(1200);
        fleet.restart_engine(index).unwrap();
    }
    fixture::pause(1200);
    fleet.kill_engine(2);
    fixture::assert_all_complete(&load.finish(), 30);
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against streams that wait for good on connections gone silent inside the engine.
#[test]
fn silent_streams_are_followed_again() {
    let fleet = fixture::fleet().start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("silent", 30, 400), 30);
    fixture::pause(1500);
    (0..3).for_each(|index| fleet.engine_faults(index).silence_streams());
    fixture::pause(3000);
    (0..3).for_each(|index| fleet.engine_faults(index).silence_streams());
    fixture::assert_all_complete(&load.finish(), 30);
    assert_eq!(fleet.runs().len(), 30, "a stream was run again although its engine had it");
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against failing a request for an engine that refuses it while others have room, and
/// against telling `not-run` for one that ran before.
#[test]
fn refusing_engine_is_passed_over() {
    let fleet = fixture::fleet().start().unwrap();
    fleet.engine_faults(0).refuse(true);
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("refused", 30, 50), 10);
    fixture::assert_all_complete(&load.finish(), 30);
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against requests to an engine during a pause that it asked for.
#[test]
fn engine_that_asked_for_a_pause_gets_no_request_in_it() {
    let pause = std::time::Duration::from_secs(4);
    let fleet = fixture::fleet().start().unwrap();
    fleet.engine_faults(0).refuse_with_pause(pause);
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("paused", 60, 50), 10);
    let refusals = || fleet.engine_faults(0).refusals();
    while refusals() == 0 {
        fixture::pause(10);
    }
    // Requests may be under way when the first refusal arrives.
    fixture::pause(500);
    let before = refusals();
    fixture::pause(3_000);
    assert!(refusals() - before <= 2, "{} requests within one pause", refusals() - before);
    fleet.engine_faults(0).refuse(false);
    fixture::assert_all_complete(&load.finish(), 60);
    fixture::assert_quiet(&fleet);
    fleet.close();
}
