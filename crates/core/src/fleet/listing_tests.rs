use super::{tests::entry, *};

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

fn named(id: &str, is_leaving: bool, revision: u64) -> EngineEntry {
    EngineEntry { revision: revision.into(), ..entry(id, is_leaving, 1) }
}

/// A table with two servers that the store confirmed long before `at(0)`.
fn table() -> FleetTable {
    let mut table = FleetTable::default();
    table.apply_snapshot(
        Time(1_000_000),
        vec![named("a", false, 1), named("b", false, 2)],
        5.into(),
    );
    table.confirm_list(Time(1_000_000), 5.into());
    table
}

/// Guards against a host that has a later change and never asks for the earlier one that it missed.
#[test]
fn missed_change_is_requested_although_a_later_one_is_known() {
    let (mut table, mut peer) = (table(), table());
    peer.upsert(at(0), named("a", true, 6));
    peer.upsert(at(1), named("b", true, 7));
    peer.confirm_list(at(2), 7.into());
    table.upsert(at(1), named("b", true, 7));
    assert_eq!(table.merge_list(at(3), &peer.attest_list(at(3)), Some(at(2))), ListEffect::Behind);
    for change in peer.changes_after(table.list_revision()) {
        let FleetChange::Entry(entry) = change else { panic!("nothing was removed") };
        table.upsert(at(4), entry);
    }
    let effect = table.merge_list(at(5), &peer.attest_list(at(5)), Some(at(2)));
    assert_eq!((effect, table.list_revision()), (ListEffect::Extended, 7.into()));
    assert_eq!(table.list_divergence(at(6)), None);
}

/// Guards against two hosts that lost the same datagram and take each other's list as a proof.
#[test]
fn peer_proves_no_more_than_was_proved_to_it() {
    let (mut table, peer) = (table(), table());
    let old = Time(2_000_000);
    assert_eq!(table.merge_list(at(0), &peer.attest_list(at(0)), Some(old)), ListEffect::Extended);
    assert_eq!(table.list_age(at(0)), Some(at(0).since(old)));
    assert_eq!(
        table.merge_list(at(9), &peer.attest_list(at(9)), Some(old)),
        ListEffect::Unchanged,
        "the same proof once more"
    );
    assert_eq!(table.merge_list(at(9), &peer.attest_list(at(9)), None), ListEffect::Unchanged);
}

/// Guards against a removal that is taken for an expiry for as long as this host has no access to
/// the store, and against the reverse: a peer that may be wrong in the same way proves nothing.
#[test]
fn removal_that_a_peer_saw_counts_during_an_own_outage() {
    let (mut table, mut peer) = (table(), table());
    let tag = EngineTag::from_id("a");
    table.set_store_lost(at(0), true);
    assert!(!table.remove(at(10), tag, 6.into()), "seen by this host itself, it may have expired");
    assert!(table.has_missing() && table.get(tag).is_some());
    table.confirm_list(at(11), 6.into());
    assert_eq!(table.list_revision(), 5.into(), "a list with such an entry is not confirmed");
    peer.set_store_lost(at(0), true);
    peer.remove(at(10), tag, 6.into());
    peer.set_store_lost(at(20), false);
    let unsettled = peer.attest_list(at(30));
    assert!(!unsettled.is_settled);
    assert!(table.remove_reported(tag, 6.into()));
    assert!(table.get(tag).is_none());
    assert_eq!(table.merge_list(at(31), &unsettled, Some(at(30))), ListEffect::Unchanged);
    let removed = FleetChange::Removed { tag, revision: 6.into() };
    assert_eq!(table.changes_after(5.into()), [removed], "it is passed on");
}

/// Guards against a digest or a count of missing entries that drifts from the entries themselves.
#[test]
fn running_sums_match_the_entries() {
    crate::fixed_cases(64, |u| {
        let mut table = FleetTable::default();
        for step in 0..u.int_in_range(1..=60)? {
            let id = ["a", "b", "c", "d"][u.int_in_range(0..=3)?];
            let (tag, number) = (EngineTag::from_id(id), u.int_in_range(0..=40)?);
            let revision = StoreRevision::from(number);
            match u.int_in_range(0..=5)? {
                0 => table.set_store_lost(at(step * 400), u.arbitrary()?),
                1 => _ = table.remove(at(step * 400), tag, revision),
                2 => _ = table.remove_reported(tag, revision),
                3 => _ = table.expire(at(step * 400)),
                _ => {
                    let started_ms = u.int_in_range(1..=2)?;
                    let entry = named(id, u.arbitrary()?, number);
                    table.upsert(at(step * 400), EngineEntry { started_ms, ..entry });
                }
            }
            let digests = table.engines.values().map(|record| record.entry.digest());
            assert_eq!(table.digest(), digests.fold(0, u64::wrapping_add));
            let missing = table.engines.values().filter(|record| record.missing.is_some()).count();
            assert_eq!(table.missing_count, missing);
        }
        Ok(())
    });
}
