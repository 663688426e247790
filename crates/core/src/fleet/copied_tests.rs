use super::{tests::entry, *};

const LIFETIME: Duration = Duration::from_millis(3_600);

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

fn written(id: &str, is_leaving: bool, started_ms: u64, revision: StoreRevision) -> EngineEntry {
    EngineEntry { revision, ..entry(id, is_leaving, started_ms) }
}

/// A table that knows "a" and "b" of the first era up to revision 120.
fn table() -> FleetTable {
    let mut table = FleetTable::default();
    table.set_entry_lifetime(LIFETIME);
    let mut era = EraKeeper::default();
    era.observe(at(0), 1, None);
    table.set_era(at(0), era);
    let entries = ["a", "b"].map(|id| written(id, false, 4, revision(1, 80)));
    table.apply_snapshot(at(0), entries.into(), revision(1, 120));
    table.confirm_list(at(0), revision(1, 120));
    table
}

/// Begins the second era at `at(10_000)`, in which this host reads the store first at revision 90.
fn restore(table: &mut FleetTable) {
    let mut era = table.era;
    era.observe(at(10_000), 2, None);
    era.record_number(90);
    table.set_era(at(10_000), era);
}

fn is_usable(table: &FleetTable, now: Time, id: &str) -> bool {
    table.is_usable(now, EngineTag::from_id(id))
}

/// Guards against a server that leaves and is taken for ready because the copy shows it as such,
/// however often it is read.
#[test]
fn copy_does_not_cancel_that_a_server_leaves() {
    let mut table = table();
    table.upsert(at(9_000), written("a", true, 4, revision(1, 119)));
    restore(&mut table);
    for now in [at(10_010), at(10_500), at(20_000)] {
        let entries = ["a", "b"].map(|id| written(id, false, 4, revision(2, 80)));
        table.apply_snapshot(now, entries.into(), revision(2, 95));
        assert!(!is_usable(&table, now, "a") && is_usable(&table, now, "b"));
    }
    assert!(
        table.upsert(at(20_001), written("a", false, 4, revision(2, 96))),
        "it stays after all"
    );
    let mut next_process = self::table();
    next_process.upsert(at(9_000), written("a", true, 4, revision(1, 119)));
    restore(&mut next_process);
    next_process.upsert(at(10_010), written("a", false, 5, revision(2, 80)));
    assert!(is_usable(&next_process, at(10_020), "a"), "the next process of the server");
}

/// Guards against a server that was removed and comes back with the copy. If its entry outlasts a
/// silent server's, it is in use again.
#[test]
fn copy_does_not_bring_back_a_removed_server_before_its_entry_would_expire() {
    let mut table = table();
    table.remove(at(9_000), EngineTag::from_id("a"), revision(1, 119));
    restore(&mut table);
    let entries = || ["a", "b"].map(|id| written(id, false, 4, revision(2, 80))).to_vec();
    table.apply_snapshot(at(10_010), entries(), revision(2, 95));
    assert!(!is_usable(&table, at(10_010), "a"));
    assert!(!table.must_read_again(at(13_599)) && table.must_read_again(at(13_600)));
    table.apply_snapshot(at(13_600), entries(), revision(2, 97));
    assert!(is_usable(&table, at(13_600), "a") && !table.must_read_again(at(13_601)));
}

/// Guards against a server that registers again after the restore and is taken for the copy.
#[test]
fn entry_written_after_the_restore_counts_at_once() {
    let mut table = table();
    table.remove(at(9_000), EngineTag::from_id("a"), revision(1, 119));
    restore(&mut table);
    assert!(table.upsert(at(10_020), written("a", false, 4, revision(2, 91))));
    assert!(is_usable(&table, at(10_020), "a"));
}

/// Guards against the process before the present one, which the copy may show.
#[test]
fn copy_does_not_bring_back_an_earlier_process() {
    let mut table = table();
    table.upsert(at(9_000), written("a", false, 7, revision(1, 119)));
    restore(&mut table);
    assert!(!table.upsert(at(10_010), written("a", false, 4, revision(2, 80))));
    let record = table.get(EngineTag::from_id("a")).unwrap();
    assert_eq!(record.entry.started_ms, 7);
}

/// Guards against servers that are dropped because they registered after the copy was made.
#[test]
fn server_that_the_copy_lacks_may_register_again() {
    let mut table = table();
    restore(&mut table);
    let kept = vec![written("b", false, 4, revision(2, 80))];
    assert!(table.apply_snapshot(at(10_010), kept, revision(2, 90)).is_empty());
    assert!(is_usable(&table, at(12_000), "a"));
    assert_eq!(table.expire(at(12_300)), [EngineTag::from_id("a")]);
}

/// Guards against a delayed update of a peer that has not noticed the restore.
#[test]
fn update_of_an_earlier_era_adds_no_server() {
    let mut table = table();
    restore(&mut table);
    let listed = vec![written("a", false, 4, revision(2, 80))];
    table.apply_snapshot(at(10_010), listed, revision(2, 90));
    table.confirm_list(at(10_010), revision(2, 90));
    table.expire(at(12_300));
    table.confirm_list(at(12_310), revision(2, 95));
    assert!(!table.upsert(at(12_320), written("c", false, 4, revision(1, 125))));
    assert!(table.upsert(at(12_330), written("c", false, 4, revision(2, 96))));
}

/// Brings `table` up to date from `peer`, as a host does that requests what its list lacks.
fn sync(now: Time, table: &mut FleetTable, peer: &FleetTable) -> ListEffect {
    for change in peer.changes_after(table.list_revision()) {
        match change {
            FleetChange::Entry(entry) => _ = table.upsert(now, entry),
            FleetChange::Removed { tag, revision } => _ = table.remove_reported(tag, revision),
        }
    }
    table.merge_list(now, &peer.attest_list(now), Some(now))
}

/// Guards against hosts of different eras that do not agree: changes at lower revisions of the later
/// era reach a host that has not noticed the restore, and nothing goes the other way.
#[test]
fn peers_of_different_eras_agree_on_the_later_one() {
    let (mut ahead, mut behind) = (table(), table());
    restore(&mut ahead);
    let entries = ["a", "b"].map(|id| written(id, false, 4, revision(2, 80)));
    ahead.apply_snapshot(at(10_010), entries.into(), revision(2, 90));
    ahead.upsert(at(10_020), written("a", true, 4, revision(2, 91)));
    ahead.upsert(at(10_030), written("c", false, 4, revision(2, 92)));
    assert!(ahead.remove_reported(EngineTag::from_id("b"), revision(2, 93)));
    ahead.confirm_list(at(10_040), revision(2, 93));
    assert_eq!(sync(at(10_050), &mut ahead, &behind), ListEffect::Behind);
    ahead.confirm_list(at(10_060), revision(2, 93));
    assert!(!is_usable(&ahead, at(10_060), "a") && !is_usable(&ahead, at(10_060), "b"));
    assert_eq!(sync(at(12_300), &mut behind, &ahead), ListEffect::Extended);
    assert_eq!((behind.digest(), behind.list_revision()), (ahead.digest(), revision(2, 93)));
    assert!(is_usable(&behind, at(12_300), "c") && !is_usable(&behind, at(12_300), "b"));
}

/// Guards against a table whose sums drift, or that uses a removed server, in any order of reads and
/// updates around a restore.
#[test]
fn no_order_of_updates_around_a_restore_uses_a_server_that_left() {
    crate::fixed_cases(200, |u| {
        let mut table = table();
        table.upsert(at(9_000), written("a", true, 4, revision(1, 119)));
        table.remove(at(9_100), EngineTag::from_id("b"), revision(1, 120));
        restore(&mut table);
        for step in 0..u.int_in_range(1..=30)? {
            let now = at(10_010 + step * 50);
            let id = ["a", "b"][u.int_in_range(0..=1)?];
            let number = u.int_in_range(60..=118)?;
            match u.int_in_range(0..=2)? {
                // The copy holds each entry at one revision.
                0 => _ = table.upsert(now, written(id, false, 4, revision(2, 70))),
                1 => _ = table.upsert(now, written(id, false, 4, revision(1, number))),
                _ => {
                    let entries = ["a", "b"].map(|id| written(id, false, 4, revision(2, 70)));
                    table.apply_snapshot(now, entries.into(), revision(2, 90));
                }
            }
            assert!(!is_usable(&table, now, "a") && !is_usable(&table, now, "b"));
            let digests = table.engines.values().map(|record| record.entry.digest());
            assert_eq!(table.digest(), digests.fold(0, u64::wrapping_add));
        }
        Ok(())
    });
}
