use super::*;

const HOST: HostTag = HostTag(9);

fn entry(now: Time) -> WorkEntry {
    let demand = WorkDemand {
        account: AccountTag(1),
        service: 1,
        prompt_tokens: 100,
        answer_tokens: 10,
        first_event_target_ms: 250,
        gap_target_ms: 200,
        priority: 0,
    };
    WorkEntry {
        demand,
        phase: WorkPhase::Sent,
        start_tag_us: 0,
        engines: vec![EngineTag(4)],
        arrived: now,
        phase_start: now,
    }
}

fn at(millis: u64) -> Time {
    Time(1_000_000_000 + millis * 1_000)
}

#[test]
fn changes_carry_ages_and_only_changed_entries() {
    let mut sender = WorkView::default();
    let mut receiver = WorkView::default();
    sender.insert(WorkNumber(1), entry(at(0)));
    sender.insert(WorkNumber(2), entry(at(0)));
    receiver.apply_update(Time(500_000), HOST, 1, sender.take_changes(at(100)));
    let seen: Vec<_> =
        receiver.all().map(|(_, number, entry)| (number.0, entry.phase_start)).collect();
    assert_eq!(seen, [(1, Time(400_000)), (2, Time(400_000))]);
    sender.remove(WorkNumber(1));
    let changes = sender.take_changes(at(200));
    assert_eq!((changes.entries.len(), changes.ended.len()), (0, 1));
    receiver.apply_update(Time(600_000), HOST, 1, changes);
    assert_eq!(receiver.all().count(), 1);
    assert!(!sender.has_changes());
}

#[test]
fn snapshot_repairs_a_lost_delta() {
    let mut sender = WorkView::default();
    let mut receiver = WorkView::default();
    sender.insert(WorkNumber(1), entry(at(0)));
    receiver.apply_update(at(0), HOST, 1, sender.snapshot(at(0), 16).remove(0));
    sender.remove(WorkNumber(1));
    sender.take_changes(at(1));
    receiver.apply_update(at(2), HOST, 1, sender.snapshot(at(2), 16).remove(0));
    assert_eq!(receiver.all().count(), 0);
}

#[test]
fn work_of_an_earlier_process_is_dropped() {
    let mut sender = WorkView::default();
    let mut receiver = WorkView::default();
    sender.insert(WorkNumber(1), entry(at(0)));
    receiver.apply_update(at(0), HOST, 8, sender.take_changes(at(0)));
    receiver.apply_update(at(1), HOST, 3, WorkView::default().take_changes(at(1)));
    assert_eq!(receiver.all().count(), 0);
}

#[test]
fn work_of_a_silent_peer_counts_for_a_while() {
    let mut sender = WorkView::default();
    let mut receiver = WorkView::default();
    sender.insert(WorkNumber(1), entry(at(0)));
    receiver.apply_update(at(0), HOST, 1, sender.snapshot(at(0), 16).remove(0));
    receiver.expire_peers(at(2_000));
    assert_eq!(receiver.all().count(), 1);
    receiver.expire_peers(at(4_000));
    assert_eq!(receiver.all().count(), 0);
}

/// Guards against a view that lacks most of a busy host's work because one part of its snapshot
/// erased the entries of the others. Parts arrive in any order, some are lost, and newer deltas
/// come between.
#[test]
fn parts_of_a_snapshot_do_not_erase_each_other() {
    crate::fixed_cases(200, |input| {
        let mut sender = WorkView::default();
        let mut receiver = WorkView::default();
        (1..=100).for_each(|number| sender.insert(WorkNumber(number), entry(at(0))));
        receiver.apply_update(at(0), HOST, 1, sender.take_changes(at(0)));
        // The delta that reports this end is lost.
        let ended = input.int_in_range(1..=100)?;
        sender.remove(WorkNumber(ended));
        sender.take_changes(at(1));
        let mut parts = sender.snapshot(at(1), 16);
        sender.insert(WorkNumber(101), entry(at(2)));
        receiver.apply_update(at(2), HOST, 1, sender.take_changes(at(2)));
        let lost = input.int_in_range(0..=parts.len() - 1)?;
        let lost = input.arbitrary::<bool>()?.then_some(lost);
        while !parts.is_empty() {
            let index = input.int_in_range(0..=parts.len() - 1)?;
            let part = parts.remove(index);
            if lost != Some(parts.len()) {
                receiver.apply_update(at(3), HOST, 1, part);
            }
        }
        let known: Vec<_> = receiver.all().map(|(_, number, _)| number.0).collect();
        let expected: Vec<_> = (1..=101).filter(|number| *number != ended).collect();
        let extra = usize::from(lost.is_some() && known.contains(&ended));
        assert!(expected.iter().all(|number| known.contains(number)), "{known:?}");
        assert_eq!(known.len(), expected.len() + extra);
        Ok(())
    });
}
