use super::*;

const BAD: PartTag = PartTag(0xbad);
const SHARED: PartTag = PartTag(0x5a);

fn at(millis: u64) -> Time {
    Time(10_000_000_000 + millis * 1_000)
}

fn process(number: u64) -> ProcessTag {
    ProcessTag::new(EngineTag(number), 1)
}

/// Lets `count` processes end under the parts, one each half second.
fn crash(quarantine: &mut PartQuarantine, count: u64, parts: &[PartTag]) {
    for number in 0..count {
        quarantine.record_crash(at(number * 500), process(number), parts);
    }
}

fn is_quarantined(quarantine: &PartQuarantine, part: PartTag) -> bool {
    quarantine.find_quarantined(at(5_000), &[part]).is_some()
}

#[test]
fn ids_are_read_as_numbers_or_hashed() {
    assert_eq!(PartTag::from_id("5c1e07a2").to_string(), "5c1e07a2");
    assert_eq!(PartTag::from_id("0A"), PartTag(10));
    for hostile in ["", "+1", "zz", "11111111111111111", &"f".repeat(60_000)] {
        assert_eq!(PartTag::from_id(hostile), PartTag(hash_name(hostile)));
    }
}

/// Guards against two requests that are taken for the same one.
#[test]
fn request_tags_differ_with_each_field() {
    let tag = |fields: &[&str]| {
        PartTag::of_request(&fields.iter().map(|field| field.as_bytes()).collect::<Vec<_>>())
    };
    assert_eq!(tag(&["a", "/x", ""]), tag(&["a", "/x", ""]));
    for other in
        [["b", "/x", ""], ["a", "/y", ""], ["a", "/x", "z"], ["a/", "x", ""], ["", "a", "/x"]]
    {
        assert_ne!(tag(&["a", "/x", ""]), tag(&other), "{other:?}");
    }
}

#[test]
fn part_that_ends_process_after_process_is_quarantined() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, INCIDENT_LIMIT as u64 - 1, &[BAD]);
    assert!(!is_quarantined(&quarantine, BAD));
    assert!(quarantine.is_suspect(&[BAD]));
    let outputs = quarantine.record_crash(at(4_000), process(9), &[BAD]);
    let crashes = INCIDENT_LIMIT;
    assert!(outputs.contains(&QuarantineOutput::Quarantined { part: BAD, crashes }), "{outputs:?}");
    let (part, left) = quarantine.find_quarantined(at(5_000), &[SHARED, BAD]).unwrap();
    assert_eq!((part, left), (BAD, RETENTION - Duration::from_secs(1)));
    assert_eq!(quarantine.quarantined(at(5_000)).len(), 1);
}

/// Guards against blame for a part whose requests are answered: one that every request has, or one
/// whose requests were in flight on engines that ended for other reasons.
#[test]
fn answered_part_is_not_blamed() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..40 {
        let now = at(number * 400);
        quarantine.record_answer(now, &[SHARED]);
        quarantine.record_crash(now + Duration::from_millis(200), process(number), &[SHARED, BAD]);
    }
    assert!(is_quarantined(&quarantine, BAD) && !is_quarantined(&quarantine, SHARED));
    let mut quarantine = PartQuarantine::default();
    for number in 0..40 {
        quarantine.record_crash(at(number * 400), process(number), &[SHARED]);
        quarantine.record_crash(at(number * 400 + 300), process(100 + number), &[SHARED]);
        quarantine.record_answer(at(number * 400 + 350), &[SHARED]);
    }
    assert!(!is_quarantined(&quarantine, SHARED));
}

/// Guards against blame for the parts of all requests in flight when a failure domain goes down, or
/// when one engine resets connections.
#[test]
fn processes_that_end_together_count_once() {
    let mut quarantine = PartQuarantine::default();
    (0..16)
        .for_each(|number| _ = quarantine.record_crash(at(number * 10), process(number), &[BAD]));
    (0..16).for_each(|number| _ = quarantine.record_crash(at(number * 900), process(1), &[SHARED]));
    assert!(!is_quarantined(&quarantine, BAD) && !is_quarantined(&quarantine, SHARED));
}

/// Guards against a part whose first processes end so fast that they fill the record without
/// counting as enough incidents, as under a flood of requests with the part.
#[test]
fn crashes_in_quick_succession_are_counted() {
    let mut quarantine = PartQuarantine::default();
    (0..40)
        .for_each(|number| _ = quarantine.record_crash(at(number * 30), process(number), &[BAD]));
    assert!(is_quarantined(&quarantine, BAD));
    assert!(quarantine.records[&BAD].crashes.len() <= CRASH_LIMIT);
}

/// Guards against blame for a sound part that so far came only together with a bad one.
#[test]
fn crashes_that_one_part_explains_speak_against_no_other() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, 4, &[SHARED, BAD, PartTag(7)]);
    assert!(!is_quarantined(&quarantine, SHARED) && !is_quarantined(&quarantine, BAD));
    assert!(is_quarantined(&quarantine, PartTag(7)), "of parts that always come together the last");
    quarantine.record_crash(at(2_500), process(20), &[SHARED, BAD]);
    assert!(is_quarantined(&quarantine, BAD), "the part of all crashes");
    assert!(!is_quarantined(&quarantine, PartTag(7)) && !is_quarantined(&quarantine, SHARED));
}

/// Guards against a request that ends process after process while sound requests with all of its
/// parts are answered, and against blame for one that was answered itself.
#[test]
fn request_is_blamed_unless_its_own_answer_is_complete() {
    let (bad, sound) = (PartTag(1), PartTag(2));
    let mut quarantine = PartQuarantine::default();
    for number in 0..4 {
        let now = at(number * 500);
        quarantine.record_answer(now, &[SHARED]);
        quarantine.record_crash(now, process(number), &[SHARED, bad]);
        quarantine.record_crash(now, process(number), &[sound]);
        quarantine.record_completion(now + Duration::from_millis(100), sound);
    }
    assert!(is_quarantined(&quarantine, bad));
    assert!(!is_quarantined(&quarantine, SHARED) && !is_quarantined(&quarantine, sound));
    assert!(quarantine.record_completion(at(3_000), PartTag(3)).is_empty());
    let outputs = quarantine.record_completion(at(3_000), bad);
    assert!(outputs.contains(&QuarantineOutput::Released(bad)), "{outputs:?}");
}

#[test]
fn several_bad_parts_are_told_apart() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..9 {
        let bad = PartTag(100 + number % 3);
        quarantine.record_crash(at(number * 300), process(number), &[SHARED, bad]);
        quarantine.record_answer(at(number * 300 + 100), &[SHARED]);
    }
    let parts: Vec<_> =
        quarantine.quarantined(at(5_000)).iter().map(|status| status.part).collect();
    assert_eq!(parts, [100, 101, 102].map(PartTag));
}

/// A part that became bad after it had been answered is blamed too, after more incidents.
#[test]
fn part_that_became_bad_is_quarantined() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(at(0) - ANSWER_PROTECTION - Duration::from_secs(1), &[BAD]);
    crash(&mut quarantine, ANSWERED_INCIDENT_LIMIT as u64 - 1, &[BAD]);
    assert!(!is_quarantined(&quarantine, BAD));
    quarantine.record_crash(at(4_000), process(9), &[BAD]);
    assert!(is_quarantined(&quarantine, BAD));
}

#[test]
fn operator_lifts_the_quarantine_for_all_hosts() {
    let (mut quarantine, mut peer) = (PartQuarantine::default(), PartQuarantine::default());
    crash(&mut quarantine, 4, &[SHARED, BAD]);
    quarantine.reports(at(2_000), 9).iter().for_each(|it| _ = peer.merge(at(2_000), it));
    assert!(is_quarantined(&peer, BAD));
    let outputs = quarantine.lift(at(6_000), BAD);
    assert!(outputs.contains(&QuarantineOutput::Released(BAD)));
    for output in &outputs {
        let QuarantineOutput::Broadcast(report) = output else { continue };
        peer.merge(at(6_001), report);
    }
    for quarantine in [&quarantine, &peer] {
        assert!(quarantine.quarantined(at(6_100)).is_empty());
        assert_eq!(quarantine.suspect_count(), 0, "nor are the parts beside it suspect");
    }
    assert!(quarantine.lift(at(7_000), PartTag(1)).is_empty(), "an unknown part");
}

#[test]
fn part_is_forgotten_long_after_its_last_incident() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, 3, &[BAD]);
    let end = at(1_000) + RETENTION;
    assert!(quarantine.expire(end - Duration::from_millis(1)).is_empty());
    assert_eq!(quarantine.expire(end), [QuarantineOutput::Released(BAD)]);
    assert_eq!((quarantine.suspect_count(), quarantine.digest()), (0, 0));
}

/// Guards against a caller that fills the memory of a host with parts of its own.
#[test]
fn hostile_parts_are_bounded_and_evict_no_quarantine() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, 3, &[BAD]);
    for number in 0..400 {
        let parts: Vec<_> = (0..200).map(|index| PartTag(1_000 + number * 200 + index)).collect();
        quarantine.record_answer(at(2_000 + number), &parts);
        let parts: Vec<_> = parts.iter().map(|part| PartTag(part.0 << 32)).collect();
        let outputs = quarantine.record_crash(at(2_000 + number), process(100 + number), &parts);
        assert!(outputs.len() <= PART_LIMIT);
    }
    assert!(is_quarantined(&quarantine, BAD));
    assert!(quarantine.records.len() <= SUSPECT_LIMIT);
    assert!(quarantine.answered.len() <= ANSWERED_LIMIT);
    let report = PartReport {
        part: PartTag(1),
        depth: 0,
        crashes: (0..5_000).map(|number| (process(number), number as u32)).collect(),
        cleared_ms: Some(u32::MAX),
    };
    quarantine.merge(at(3_000), &report);
    assert!(quarantine.records[&PartTag(1)].crashes.len() <= CRASH_LIMIT);
}

/// Reports in any order, some of them several times, give the same result.
#[test]
fn merging_does_not_depend_on_the_order() {
    crate::fixed_cases(64, |u| {
        let mut reports = Vec::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let mut crashes = Vec::new();
            for _ in 0..u.int_in_range(0..=3)? {
                // A process ends once.
                let number = u.int_in_range(0..=6)?;
                crashes.push((process(number), 1_000 * number as u32));
            }
            let cleared_ms = match u.arbitrary()? {
                true => Some(u.int_in_range(0..=9_000)?),
                false => None,
            };
            let part = PartTag(u.int_in_range(0..=2)?);
            reports.push(PartReport { part, depth: 1, crashes, cleared_ms });
        }
        let merge = |reports: &[PartReport]| {
            let mut quarantine = PartQuarantine::default();
            for report in reports {
                quarantine.merge(at(10_000), report);
            }
            let quarantined = quarantine.quarantined(at(10_000));
            (quarantined.iter().map(|status| status.part).collect::<Vec<_>>(), quarantine.digest())
        };
        let expected = merge(&reports);
        reports.reverse();
        reports.push(reports[0].clone());
        assert_eq!(merge(&reports), expected);
        Ok(())
    });
}
