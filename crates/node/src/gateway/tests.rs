use std::time::Duration;

use parsley_core::{
    era::StoreRevision,
    fleet::{EngineEntry, FleetTable},
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

use super::{
    body::EventSplitter,
    budget::{MemoryBudget, MemoryUse},
    line_budget::LineBudget,
    listing::ListUpdate,
    refuse::status_of,
};

#[test]
fn events_are_cut_whole_whatever_the_pieces() {
    let text = b"id: 7\ndata: a\n\nparsley-version: 2\nid: 8\ndata: b\r\n\r\n\n\ndata: rest";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let events: Vec<_> =
            text.chunks(size).flat_map(|piece| splitter.push(piece).unwrap()).collect();
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(7), Some(8), None]);
        let bytes: Vec<_> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(bytes, &text[..text.len() - "data: rest".len()]);
        assert!(splitter.has_partial_event());
    }
}

#[test]
fn endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let result = (0..40).try_for_each(|_| splitter.push(&[b'x'; 64 << 10]).map(drop));
    assert!(result.is_err());
}

/// A status that promises "not run" must be used only if the request did not run.
#[test]
fn promise_needs_a_request_that_did_not_run() {
    for reason in Reason::ALL {
        for outcome in [Outcome::Ran, Outcome::Unknown] {
            let refusal = Refusal { outcome, ..Refusal::not_run(reason, "x") };
            let status = status_of(&refusal).as_u16();
            assert!(![408, 421, 429, 503].contains(&status), "{reason:?} {outcome:?}: {status}");
        }
    }
    let late = Refusal::not_run(Reason::DeadlineExceeded, "x");
    assert_eq!(status_of(&late).as_u16(), 503);
}

#[test]
fn failures_are_logged_when_routine_lines_are_not() {
    let budget = LineBudget::default();
    let now = Time(5_000_000);
    let written = (0..1_000).filter(|_| budget.may_write(now, false)).count();
    assert!(written < 1_000 && budget.may_write(now, true));
    assert_eq!(budget.take_dropped(), 1_000 - written as u64);
    assert!(budget.may_write(now + Duration::from_secs(1), false));
}

/// Guards against a search that starts anew with each piece of an event, which took seconds for an
/// event without end.
#[test]
fn bytes_of_an_event_are_searched_once() {
    let mut splitter = EventSplitter::default();
    for length in 1..=10_000 {
        assert!(splitter.push(b"y").unwrap().is_empty());
        assert!(splitter.searched() + 4 > length, "{} of {length}", splitter.searched());
    }
    assert_eq!(splitter.push(b"\r\n\r").unwrap(), []);
    let events = splitter.push(b"\nid: 7\n\nid").unwrap();
    assert_eq!(events.len(), 2);
    assert_eq!((events[0].bytes.len(), events[1].id), (10_004, Some(7)));
    assert_eq!(splitter.push(b": 8\n").unwrap(), []);
    assert_eq!(splitter.push(b"\n").unwrap()[0].id, Some(8));
}

/// Guards against removals that a host never hears of: a list that is read anew removes many
/// servers at one revision, and an update ended between them.
#[test]
fn changes_of_one_revision_come_in_one_update() {
    let now = Time(1_000_000);
    let entry = |number: u64| EngineEntry {
        id: format!("e{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        slots: 8,
        is_leaving: false,
        started_ms: 1,
        revision: number.into(),
    };
    let mut fleet = FleetTable::default();
    fleet.apply_snapshot(now, (1..=40).map(entry).collect(), 40.into());
    fleet.apply_snapshot(now, (1..=10).map(entry).collect(), 50.into());
    fleet.confirm_list(now, 50.into());
    let (mut known, mut count) = (StoreRevision::default(), 0);
    while known < 50.into() {
        let update = ListUpdate::after(now, &fleet, known);
        assert!(update.known_revision > known, "after {known}");
        (known, count) = (update.known_revision, count + update.changes.len());
    }
    assert_eq!(count, 10 + 30, "entries that are left, and removals");
    // A peer that may lack earlier changes says so.
    (60..80).for_each(|number| _ = fleet.upsert(now, entry(number)));
    assert_eq!(ListUpdate::after(now, &fleet, 50.into()).known_revision, 50.into());
}

/// Guards against bodies that nobody reads and that keep out small requests, and against charges
/// that are lost or counted twice.
#[test]
fn fixed_charges_have_a_reserve_beside_bodies() {
    const CHARGE: usize = 8 << 10;
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let budget = MemoryBudget::for_process(16 << 20);
        let of_budget = |share: f64| (budget.total() as f64 * share) as usize;
        let (mut bodies, mut works, mut work_bytes) = (Vec::new(), Vec::new(), 0);
        for _ in 0..600 {
            match rng.u32(0..4) {
                0 => {
                    let mut body = budget.holder(MemoryUse::Response);
                    let length = rng.usize(0..1 << 20);
                    let fits = budget.held() + length <= of_budget(0.85);
                    assert_eq!(body.try_resize(length), length <= 64 << 10 || fits);
                    bodies.push(body);
                }
                1 if !bodies.is_empty() => bodies.swap_remove(rng.usize(..bodies.len())).release(),
                2 => {
                    let mut output = budget.holder(MemoryUse::Output);
                    output.count(rng.usize(0..128 << 10));
                    bodies.push(output);
                }
                _ => {
                    let mut work = budget.holder(MemoryUse::for_work(1));
                    let fits = budget.held() + CHARGE <= of_budget(0.95)
                        || work_bytes + CHARGE <= of_budget(0.13);
                    assert_eq!(work.try_take(CHARGE), fits);
                    work_bytes += work.length();
                    works.push(work);
                }
            }
            let held: usize = bodies.iter().chain(&works).map(|one| one.length()).sum();
            assert_eq!(budget.held(), held);
        }
        drop((bodies, works));
        assert_eq!(budget.held(), 0);
    }
}
