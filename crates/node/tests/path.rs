//! The whole path of a request through real processes.

use std::{thread, time::Duration};

mod fixture;

/// Guards against a host that cannot reach an engine owned by another host.
#[test]
fn every_host_serves_every_request() {
    let fleet = fixture::fleet().start().unwrap();
    for (index, host) in fleet.hosts().iter().enumerate() {
        for round in 0..4 {
            let prompt = fixture::prompt(&format!("r-{index}-{round}"), 10);
            let answer = fixture::ask(&[host.address], &prompt);
            assert!(answer.complete, "{answer:?}");
            assert_eq!(answer.text, prompt.expected());
        }
    }
    fleet.close();
}

/// Guards against a lost or doubled part of an answer when the entry host dies in a stream.
#[test]
fn killed_entry_host_leaves_the_whole_answer() {
    let mut fleet = fixture::fleet().start().unwrap();
    let addresses: Vec<_> = fleet.hosts().iter().map(|host| host.address).collect();
    let prompt = fixture::prompt("killed-entry", 150);
    let asked = prompt.clone();
    let caller = thread::spawn(move || fixture::ask(&addresses, &asked));
    thread::sleep(Duration::from_millis(500));
    fleet.kill_host(0);
    let answer = caller.join().unwrap();
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, prompt.expected());
    assert!(answer.connections > 1, "the host was killed too late");
    fleet.close();
}
