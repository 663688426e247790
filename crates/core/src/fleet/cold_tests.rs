use super::{limit_tests::at, tests::entry, *};

const START_TIME: Duration = Duration::from_secs(20);

/// A table that has listed one engine, started at 1 ms and written at revision 5.
fn listed_table(is_enabled: bool) -> (FleetTable, EngineTag) {
    let mut table = FleetTable::default();
    table.enable_cold(is_enabled);
    let first = entry("a", false, 1);
    let (tag, service) = (first.tag(), first.service.clone());
    let rate = RequestRate::from_per_second(26.0).unwrap();
    table.set_cold_services(BTreeMap::from([(service, ColdStart { time: START_TIME, rate })]));
    table.apply_snapshot(at(0), vec![first], 5.into());
    table.confirm_list(at(0), 5.into());
    (table, tag)
}

fn restart(table: &mut FleetTable, millis: u64, started_ms: u64) {
    let revision = (millis + 10).into();
    table.upsert(at(millis), EngineEntry { revision, ..entry("a", false, started_ms) });
}

/// Time in milliseconds after `from` at which the engine is warm.
fn warm_at(table: &mut FleetTable, from: u64, tag: EngineTag) -> u64 {
    let is_warm = |millis: &u64| {
        table.refresh_cold(at(*millis));
        table.limit(tag).is_none()
    };
    (from..).step_by(10).find(is_warm).unwrap()
}

/// Guards against a deployment without cold engines whose engines are limited, and against one whose
/// hosts exchange reports that mean nothing to them.
#[test]
fn nothing_is_recorded_without_cold_engines() {
    let (mut table, tag) = listed_table(false);
    restart(&mut table, 100, 2);
    let (_, left) = (table.warm_up_domain(at(100), "a"), Duration::from_secs(5));
    table.record_cold_entry(at(100), tag, 2, left, 200.into());
    table.record_cold_response(at(100), tag, left);
    let stated_us = Some((5_000_000, 0));
    let (seen_us, readmitted_us) = (Some(0), Some(0));
    let report = ColdReport { engine: tag, started_ms: 2, stated_us, seen_us, readmitted_us };
    table.merge_cold(at(100), &report);
    assert!(table.refresh_cold(at(110)).is_empty());
    assert_eq!((table.limit(tag), table.cold_digest()), (None, 0));
    assert!(table.cold_reports(at(110), 8, true).is_empty());
}

/// Guards against a deployment that starts with limits, and against a new process that is flooded or
/// limited although its entry says that it is warm.
#[test]
fn new_process_is_cold_unless_its_entry_says_otherwise() {
    let (mut table, tag) = listed_table(true);
    assert_eq!(warm_at(&mut table, 0, tag), 0, "the first list");
    restart(&mut table, 1_000, 2);
    assert_eq!(warm_at(&mut table, 1_000, tag), 21_000);
    restart(&mut table, 30_000, 3);
    table.record_cold_entry(at(30_100), tag, 3, Duration::ZERO, 30_200.into());
    assert_eq!(warm_at(&mut table, 30_100, tag), 30_100, "its entry says that it is warm");
    // A process whose entry expired and returned is not new.
    table.remove_reported(tag, 40_000.into());
    table.upsert(at(41_000), EngineEntry { revision: 41_000.into(), ..entry("a", false, 3) });
    assert_eq!(warm_at(&mut table, 41_000, tag), 41_000);
}

/// Guards against a cold time that a list read again prolongs, that an earlier statement ends, or
/// that cannot begin again.
#[test]
fn latest_end_of_the_cold_time_counts() {
    let (mut table, tag) = listed_table(true);
    let seconds = Duration::from_secs;
    table.record_cold_entry(at(0), tag, 1, seconds(5), 6.into());
    table.record_cold_entry(at(2_000), tag, 1, seconds(5), 6.into());
    table.record_cold_response(at(2_000), tag, seconds(1));
    assert_eq!(warm_at(&mut table, 2_000, tag), 5_000);
    table.record_cold_response(at(6_000), tag, seconds(9));
    assert_eq!(warm_at(&mut table, 6_000, tag), 15_000, "cold again");
    table.record_cold_response(at(16_000), tag, seconds(3_000));
    assert_eq!(warm_at(&mut table, 16_000, tag), 616_000, "longer than ten minutes");
}

/// Guards against a readmitted failure domain that is flooded, and against one that stays limited
/// although its engines say that they are warm.
#[test]
fn readmitted_domain_is_cold_until_a_later_statement() {
    let (mut table, tag) = listed_table(true);
    let domain = table.get(tag).unwrap().entry.failure_domain.clone();
    table.record_cold_response(at(900), tag, Duration::ZERO);
    assert_eq!(table.warm_up_domain(at(1_000), "elsewhere"), 0);
    assert_eq!(table.warm_up_domain(at(1_000), &domain), 1);
    assert_eq!(warm_at(&mut table, 1_000, tag), 21_000);
    table.warm_up_domain(at(30_000), &domain);
    table.record_cold_response(at(31_000), tag, Duration::ZERO);
    assert_eq!(warm_at(&mut table, 31_000, tag), 31_000);
}

/// Guards against hosts that disagree about a cold engine, and against a cold time that grows as
/// hosts exchange it: after any statements and lost reports all hosts end it within a second.
#[test]
fn hosts_agree_on_the_end() {
    crate::fixed_cases(200, |input| {
        let mut tables: Vec<_> = (0..4).map(|_| listed_table(true).0).collect();
        let tag = listed_table(true).1;
        let (mut expected, mut revision) = (0, 100);
        for step in 0..200_u64 {
            let now = step * 100;
            if step < 50 && input.ratio(1, 10)? {
                let left = input.int_in_range(600..=30_000)?;
                let host = input.choose_index(tables.len())?;
                revision += 1;
                let (time, left_time) = (at(now), Duration::from_millis(left));
                tables[host].record_cold_entry(time, tag, 1, left_time, revision.into());
                expected = expected.max(now + left);
            }
            let from = input.choose_index(tables.len())?;
            let is_full = tables.iter().any(|table| table.cold_digest() != tables[0].cold_digest());
            let reports = tables[from].cold_reports(at(now), 8, is_full);
            for table in &mut tables {
                if step >= 50 || input.ratio(4, 5)? {
                    reports.iter().for_each(|report| table.merge_cold(at(now + 20), report));
                }
                table.refresh_cold(at(now + 20));
            }
        }
        for table in &mut tables {
            let end = warm_at(table, 0, tag);
            assert!(end.abs_diff(expected) <= 1_000, "{end} for {expected}");
        }
        Ok(())
    });
}
