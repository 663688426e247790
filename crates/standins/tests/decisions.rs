//! Guards the decisions with the measures of the design page in virtual time. Verdicts are medians
//! over fixed seeds, so they depend neither on the machine nor on its load.

use std::collections::BTreeMap;

use parsley_standins::decision::{
    measure::{Bound, Scenario, quantile},
    run::Policy,
};

/// The seeds of `decisions --seed 1 --repetitions 5`.
const SEEDS: std::ops::Range<u64> = 1_000..1_005;

/// Median of each measure of a scenario with its bound.
fn medians(scenario: Scenario) -> BTreeMap<&'static str, (f64, Bound)> {
    let mut values: BTreeMap<&'static str, (Vec<f64>, Bound)> = BTreeMap::new();
    for seed in SEEDS {
        for sample in scenario.samples(Policy::Core, seed) {
            let entry = values.entry(sample.name).or_insert((Vec::new(), sample.bound));
            entry.0.push(sample.value);
        }
    }
    let median = |(name, (values, bound))| (name, (quantile(values, 0.5), bound));
    values.into_iter().map(median).collect()
}

fn assert_holds(medians: &BTreeMap<&str, (f64, Bound)>, names: &[&str]) {
    for name in names {
        let (value, bound) = medians[name];
        assert_eq!(bound.holds(value), Some(true), "{name}: {value} against {bound:?}");
    }
}

/// Guards against urgent or standard work that suffers when the lowest rank floods.
#[test]
fn flood_of_the_lowest_rank_harms_no_other() {
    let medians = medians(Scenario::LowFlood);
    let names = [
        "low flood: urgent p99 first token / idle",
        "low flood: admitted urgent within target",
        "low flood: standard keeps of its share",
        "low flood: urgent keeps of its share",
    ];
    assert_holds(&medians, &names);
    // Refusing urgent work would keep the other bounds, too.
    assert!(medians["low flood: urgent admitted"].0 >= 0.99);
}

/// Guards against accounts within their share that wait behind accounts that flood their rank, and
/// against a lowest rank that gets nothing.
#[test]
fn flood_of_the_urgent_rank_spares_accounts_within_their_share() {
    let medians = medians(Scenario::UrgentFlood);
    let names = [
        "urgent flood: p99 within share / idle",
        "urgent flood: admitted within share within target",
        "urgent flood: batch keeps of its share",
    ];
    assert_holds(&medians, &names);
    assert!(medians["urgent flood: admitted within share"].0 >= 0.99);
}

/// Guards against a rank between the others that loses its guaranteed share to an urgent flood.
#[test]
fn standard_rank_keeps_its_share_in_an_urgent_flood() {
    let medians = medians(Scenario::UrgentFlood);
    assert_holds(&medians, &["urgent flood: standard keeps of its share"]);
}

/// Guards against short prompts that wait behind long ones, and long ones that are never served.
#[test]
fn long_prompts_do_not_block_short_ones() {
    let medians = medians(Scenario::LongPrompts);
    assert_holds(&medians, &["long prompts: short p99 / without"]);
    assert!(medians["long prompts: short admitted"].0 >= 0.99);
    assert!(medians["long prompts: long ones with a first token"].0 >= 0.9);
}

/// Guards against small callers that wait behind large ones.
#[test]
fn large_callers_do_not_slow_small_ones() {
    let medians = medians(Scenario::LargeCallers);
    assert_holds(&medians, &["large callers: small p99 / alone"]);
    assert!(medians["large callers: small admitted"].0 >= 0.99);
}

/// Guards against backlogged accounts of equal weight that get unequal service.
#[test]
fn backlogged_accounts_are_served_evenly_over_10_s() {
    let medians = medians(Scenario::Backlog);
    assert_holds(&medians, &["backlog: deviation of an account over 10 s"]);
}
