//! Open connections that go silent for good while new ones work.

use std::thread;

use parsley_standins::{fleet::RelayRoute, tally::PromptLoad};

mod fixture;

/// Guards against requests that hang or run again after the connections between hosts and engines,
/// and between hosts, went silent, twice in a row.
#[test]
fn silent_engine_and_peer_connections_are_replaced() {
    let fleet = fixture::fleet().relayed(true).start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("silence", 30, 900), 30);
    for _ in 0..2 {
        fixture::pause(1200);
        (0..3).for_each(|index| fleet.silence(RelayRoute::Engine(index)));
        fixture::pause(300);
        (0..3).for_each(|index| fleet.silence(RelayRoute::Peer(index)));
        fixture::pause(2500);
    }
    fixture::assert_all_complete(&load.finish(), 30);
    assert_eq!(fleet.runs().len(), 30, "a stream was run again although its engine had it");
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against a caller that waits for good on its silent connection, and against the host
/// behind that connection cancelling the stream after the caller resumed it elsewhere.
#[test]
fn silent_caller_connections_are_resumed() {
    let fleet = fixture::fleet().relayed(true).start().unwrap();
    let addresses: Vec<_> =
        (0..3).map(|index| fleet.relay(RelayRoute::Caller(index)).unwrap()).collect();
    let load = PromptLoad::start(&addresses, fixture::prompts("caller", 12, 1500), 12);
    fixture::pause(1000);
    (0..3).for_each(|index| fleet.silence(RelayRoute::Caller(index)));
    let tally = load.finish();
    fixture::assert_all_complete(&tally, 12);
    assert_eq!(tally.reconnects, 12);
    assert_eq!(fleet.runs().len(), 12, "a resumed stream was cancelled and run again");
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against calls that are run twice or wait for good when the connections to the key-value
/// service go silent.
#[test]
fn silent_store_connections_are_replaced() {
    let fleet = fixture::fleet().relayed(true).start().unwrap();
    let addresses = fixture::addresses(&fleet);
    let calls = thread::spawn(move || {
        let make = |index: usize| {
            let call = fixture::service_call(&format!("silent-{index}"));
            fixture::call(addresses[index % 3], &call).problem("outcome").map(str::to_owned)
        };
        (0..60).map(make).collect::<Vec<_>>()
    });
    for _ in 0..5 {
        fixture::pause(400);
        fleet.silence(RelayRoute::Store);
    }
    let problems: Vec<_> = calls.join().unwrap().into_iter().flatten().collect();
    assert!(problems.is_empty(), "{problems:?}");
    let runs = fleet.service_log().runs();
    assert_eq!((runs.len(), runs.values().max()), (60, Some(&1)));
    fleet.close();
}
