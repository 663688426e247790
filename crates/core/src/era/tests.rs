use super::*;

fn at(millis: u64) -> Time {
    Time(1_000_000_000 + millis * 1_000)
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

#[test]
fn revisions_of_a_later_era_are_later() {
    assert!(revision(2, 30) > revision(1, 31));
    assert!(revision(2, 31) > revision(2, 30));
    assert_eq!(revision(2, 31).to_string(), "2/31");
}

/// Guards against an answer from before a restore that arrives after it.
#[test]
fn outdated_era_changes_nothing() {
    let mut keeper = EraKeeper::default();
    assert_eq!(keeper.observe(at(0), 4, None), EraEffect::Current);
    assert!(keeper.is_settled(at(0)), "the first era that a process hears of is no restore");
    assert_eq!(keeper.observe(at(10), 5, None), EraEffect::Restored);
    let restored = keeper;
    assert_eq!(keeper.observe(at(20), 4, Some(Duration::ZERO)), EraEffect::Outdated);
    assert_eq!(keeper, restored);
}

#[test]
fn era_is_settled_once_the_lost_writes_are_back() {
    let mut keeper = EraKeeper::default();
    keeper.observe(at(0), 1, None);
    keeper.observe(at(10), 3, None);
    assert_eq!(keeper.unsettled_age(at(2_209)), Some(Duration::from_millis(2_199)));
    assert!(keeper.is_settled(at(2_210)));
    // A peer that noticed the restore earlier ends the time earlier.
    keeper.observe(at(500), 3, Some(Duration::from_millis(700)));
    assert!(keeper.is_settled(at(2_000)));
}

/// Guards against a process that starts while the store shows the copy and knows of no restore.
#[test]
fn peers_tell_a_new_process_of_a_recent_restore() {
    let mut keeper = EraKeeper::default();
    keeper.observe(at(0), 2, None);
    let effect = keeper.observe(at(5), 2, Some(Duration::from_millis(400)));
    assert_eq!(effect, EraEffect::Restored);
    assert_eq!(keeper.time_to_settle(at(5)), Duration::from_millis(1_800));
    assert!(!keeper.is_settled(at(5)));
    assert!(keeper.is_settled(at(1_805)));
}

#[test]
fn only_later_numbers_of_the_era_are_rewritten() {
    let mut keeper = EraKeeper::default();
    keeper.observe(at(0), 2, None);
    assert!(!keeper.is_rewritten(revision(2, 50)));
    keeper.record_number(30);
    keeper.record_number(34);
    assert!(!keeper.is_rewritten(revision(2, 30)) && keeper.is_rewritten(revision(2, 31)));
    assert!(!keeper.is_rewritten(revision(1, 31)));
    keeper.observe(at(1), 3, None);
    assert!(!keeper.is_rewritten(revision(3, 50)), "not known before the first answer");
}
