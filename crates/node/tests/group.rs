//! Prompts beyond one engine through real processes.

use std::{thread, time::Duration};

use http_types::Method;
use parsley_standins::{
    caller,
    engine_model::EngineShape,
    fleet::{Fleet, FleetBuilder},
};

mod fixture;

/// Memory of one engine, in tokens.
const MEMORY_TOKENS: u64 = 12_000;

fn fleet() -> FleetBuilder {
    let shape = EngineShape {
        memory_tokens: MEMORY_TOKENS,
        batch: 8,
        prefill_tokens: 2_000,
        cached_prefixes: 8,
    };
    fixture::fleet().shape(shape)
}

/// Memory that each engine reports as held, in tokens.
fn held(fleet: &Fleet) -> Vec<u64> {
    let load = |address: std::net::SocketAddr| {
        let address = address.to_string();
        async_io::block_on(async {
            let request = caller::request(Method::Get, &address, "/load");
            let mut response = caller::send(&address, request).await.unwrap();
            let body: serde_json::Value = response.body_json().await.unwrap();
            body["held_tokens"].as_u64().unwrap()
        })
    };
    fleet.engine_addresses().into_iter().map(load).collect()
}

fn long_prompt(request: &str, tokens: u64) -> caller::Prompt {
    let mut prompt = fixture::prompt(request, 40);
    let text = "a line of the dossier. ";
    prompt.text = text.repeat(tokens as usize * 4 / text.len() + 1);
    prompt
}

/// Guards against a prompt beyond one engine that is refused, answered in part, or answered by an
/// engine that did not see the whole prompt, and against reservations that are never given back.
#[test]
fn group_answers_a_prompt_beyond_two_engines() {
    let fleet = fleet().start().unwrap();
    let prompt = long_prompt("dossier", MEMORY_TOKENS * 5 / 2);
    let answer = fixture::ask(&[fleet.hosts()[0].address], &prompt);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, prompt.expected());
    // Load reports lag; a reservation that is kept would never go away while it is renewed.
    for _ in 0..100 {
        if held(&fleet).iter().all(|held| *held == 0) {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(held(&fleet), [0, 0, 0]);
    fleet.close();
}

/// Guards against a prompt that waits until its deadline although the fleet can never hold it.
#[test]
fn prompt_beyond_the_fleet_is_refused() {
    let fleet = fleet().start().unwrap();
    let prompt = long_prompt("too-long", MEMORY_TOKENS * 4);
    let answer = fixture::ask(&[fleet.hosts()[0].address], &prompt);
    let problem = answer.problem.unwrap();
    assert_eq!(problem["reason"], "prompt-exceeds-fleet");
    assert_eq!(problem["outcome"], "not-run");
    fleet.close();
}
