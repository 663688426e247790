//! Simulates how an evacuation spreads through fleets of different sizes, without a network.

use std::time::Duration;

use crate::feed::spread_tests::{SpreadFleet, SpreadPart};

/// Time from the store's response to an operator's write until every host must know it.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Part of the limit that is left for the time between a decision and the arrival at an engine.
const RESERVE: Duration = Duration::from_millis(500);

fn started(count: u16, apply_ms: u64, seed: u64) -> SpreadFleet {
    let mut fleet = SpreadFleet::start(count, Duration::from_millis(apply_ms), seed);
    (fleet.part, fleet.loss_percent) = (SpreadPart::Evacuations, 3);
    fleet.run(Duration::from_secs(8));
    fleet
}

/// Guards against hosts that go on sending to an evacuated domain, or do not come back to it, because
/// both leads are dead when the key is written and datagrams are lost.
#[test]
fn evacuation_is_in_force_in_time_without_leads_and_with_lost_datagrams() {
    let mut late = Vec::new();
    for (count, apply_ms) in [(9, 2_000), (84, 3_000), (295, 4_000), (1_000, 4_000)] {
        let seeds = if count < 1_000 { 1..=4 } else { 1..=2 };
        for seed in seeds {
            let mut fleet = started(count, apply_ms, seed);
            for place in 0..fleet.hosts.len() {
                let is_lead = fleet.facts(place).is_lead;
                fleet.hosts[place].is_frozen = is_lead && seed % 3 > 0;
            }
            let since_frozen = Duration::from_millis(fleet.rng.u64(0..800));
            fleet.run(since_frozen);
            for version in [2, 3] {
                fleet.version = version;
                fleet.run(EVACUATION_LIMIT - RESERVE);
                if fleet.behind() > 0 {
                    late.push((count, seed, version, fleet.behind()));
                }
            }
        }
    }
    assert!(late.is_empty(), "hosts, seed, version, hosts behind: {late:?}");
}

/// Guards against evacuations that cost calls to the store, or calls that grow with the number of
/// hosts, while the leads are alive.
#[test]
fn calls_to_the_store_do_not_grow_with_the_hosts_or_evacuations() {
    let calls = |count, is_evacuated: bool| {
        let mut fleet = started(count, 4_000, 1);
        let before = fleet.calls;
        fleet.version += u64::from(is_evacuated);
        fleet.run(EVACUATION_LIMIT);
        assert_eq!(fleet.behind(), 0);
        fleet.calls - before
    };
    let (small, large) = (calls(84, true), calls(1_000, true));
    assert!(large <= small + 4, "{small} calls with 84 hosts, {large} with 1,000");
    let quiet = calls(84, false);
    assert!(small <= quiet + 4, "{quiet} calls without an evacuation, {small} with one");
}
