//! Hosts that crash or are paused while streams run.

use async_io::block_on;
use parsley_standins::{caller, tally::PromptLoad};

mod fixture;

/// Guards against lost, doubled or crossed answers and leaked memory when hosts are killed one
/// after the other, each both entry host and owner, and come back empty.
#[test]
fn killed_hosts_lose_no_answer() {
    let mut fleet = fixture::fleet().start().unwrap();
    let prompts = fixture::prompts("killed", 60, 300);
    let load = PromptLoad::start(&fixture::addresses(&fleet), prompts, 30);
    for index in [0, 1] {
        fixture::pause(1500);
        fleet.kill_host(index);
        fixture::pause(5000);
        fleet.start_host(index).unwrap();
    }
    let tally = load.finish();
    fixture::assert_all_complete(&tally, 60);
    assert!(tally.reconnects > 0, "the hosts were killed too late");
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against stale data, cancelled streams and lost answers when a host is paused for longer
/// than others wait for it, and then goes on with what it believed before.
#[test]
fn paused_host_relays_nothing_stale() {
    let fleet = fixture::fleet().start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("paused", 45, 1500), 45);
    fixture::pause(1500);
    fleet.signal_host(2, "STOP").unwrap();
    fixture::pause(8000);
    fleet.signal_host(2, "CONT").unwrap();
    let tally = load.finish();
    fixture::assert_all_complete(&tally, 45);
    assert!(tally.reconnects > 0, "the host was paused too late");
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against faults that only two pauses show: the first one's clean-up meets the second.
#[test]
fn host_paused_twice_and_another_killed() {
    let mut fleet = fixture::fleet().start().unwrap();
    let load =
        PromptLoad::start(&fixture::addresses(&fleet), fixture::prompts("twice", 45, 1500), 45);
    fixture::pause(1000);
    for _ in 0..2 {
        fleet.signal_host(1, "STOP").unwrap();
        fixture::pause(3000);
        fleet.signal_host(1, "CONT").unwrap();
        fixture::pause(500);
    }
    fleet.kill_host(0);
    let tally = load.finish();
    fixture::assert_all_complete(&tally, 45);
    fixture::assert_quiet(&fleet);
    fleet.close();
}

/// Guards against memory that engines keep for streams of a dead host whose callers are gone too:
/// nobody asks for them again, and by themselves they would run for minutes.
#[test]
fn orphans_of_a_dead_host_are_cancelled() {
    let mut fleet = fixture::fleet().start().unwrap();
    let hosts = fixture::addresses(&fleet);
    let prompts = fixture::prompts("orphan", 12, 20_000);
    let open = |(index, prompt): (usize, &caller::Prompt)| {
        let address = hosts[index % hosts.len()].to_string();
        block_on(caller::send(&address, caller::completion_request(&address, prompt))).unwrap()
    };
    let responses: Vec<_> = prompts.iter().enumerate().map(open).collect();
    fixture::pause(500);
    assert_eq!(fleet.open_streams(), 12);
    fleet.kill_host(0);
    drop(responses);
    fixture::assert_quiet(&fleet);
    fleet.close();
}
