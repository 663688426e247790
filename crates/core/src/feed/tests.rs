use super::*;

const WATCH_WAIT: Duration = Duration::from_millis(700);
const STANDBY: FeedContext = FeedContext {
    is_lead: false,
    watch_wait: WATCH_WAIT,
    needs_proof: false,
    is_behind: false,
    allows_stale: false,
};
const LEAD: FeedContext = FeedContext { is_lead: true, ..STANDBY };
const WATCH: FeedAction =
    FeedAction::Watch { after: StoreRevision { era: 0, number: 40 }, wait: WATCH_WAIT };
const EXACT: FeedAction = FeedAction::Read { is_stale: false };
const STALE: FeedAction = FeedAction::Read { is_stale: true };

fn at(millis: u64) -> Time {
    Time(1_000_000 + millis * 1_000)
}

fn follower() -> FeedFollower {
    let mut follower = FeedFollower::default();
    assert_eq!(follower.next_action(at(0), &STANDBY), (Duration::ZERO, EXACT));
    follower.step(at(0), FeedResult::Read { revision: 40.into(), is_stale: false });
    follower
}

#[test]
fn lead_watches_from_the_first_page() {
    assert_eq!(follower().next_action(at(1), &LEAD), (Duration::ZERO, WATCH));
}

/// Guards against missed changes: a call whose answer was lost may have returned some, so the next
/// watch continues after the same revision.
#[test]
fn failed_watch_continues_after_the_same_revision() {
    let mut follower = follower();
    assert_eq!(follower.step(at(2), FeedResult::Failed), Some(true));
    assert_eq!(follower.step(at(3), FeedResult::Failed), None);
    let (pause, action) = follower.next_action(at(3), &LEAD);
    assert!(pause >= FIRST_PAUSE && pause <= LONGEST_PAUSE);
    let again = FeedAction::Watch { after: 40.into(), wait: URGENT_WAIT };
    assert_eq!(action, again, "a short wait, whose end shows that the store is back");
    assert_eq!(
        follower.step(at(4), FeedResult::Watched { revision: 41.into(), has_changes: false }),
        Some(false)
    );
}

#[test]
fn lost_history_is_read_again() {
    let mut follower = follower();
    follower.step(at(2), FeedResult::Compacted);
    assert_eq!(follower.next_action(at(3), &LEAD).1, EXACT);
}

/// Guards against a load on the store that grows with the number of hosts.
#[test]
fn hosts_that_are_not_leads_stay_idle_without_changes() {
    assert_eq!(follower().next_action(at(60_000), &STANDBY).1, FeedAction::Idle);
}

/// Guards against a change that comes into force late because the leads are silent or this host
/// receives nothing from its peers.
#[test]
fn host_without_proof_calls_the_store_itself() {
    let needs = FeedContext { needs_proof: true, ..STANDBY };
    let (_, action) = follower().next_action(at(1), &needs);
    assert_eq!(action, FeedAction::Watch { after: 40.into(), wait: URGENT_WAIT });
    for is_member in [true, false] {
        for apply in [2_000, 3_000, 4_000].map(Duration::from_millis) {
            let timing = FeedTiming::for_limit(apply);
            assert!(
                timing.proof_age >= timing.watch_wait * 2 + HEARTBEAT_PERIOD,
                "no call is due while proofs arrive"
            );
            assert!(timing.proof_age + IDLE_TIME + CALL_LIMIT + FIRST_PAUSE < apply);
            for is_config in [true, false] {
                let mut facts = FeedFacts {
                    limit: apply,
                    is_member,
                    is_config,
                    is_known: true,
                    proof_age: Some(timing.proof_age),
                    ..FeedFacts::default()
                };
                let needs_proof = |facts: &FeedFacts| FeedContext::from_facts(facts).needs_proof;
                assert!(needs_proof(&facts), "for members and standby hosts");
                facts.proof_age = Some(timing.proof_age - Duration::from_millis(1));
                assert!(!needs_proof(&facts));
            }
        }
    }
}

/// Guards against overload of the store by retries in an outage: only the leads may retry often.
#[test]
fn outage_costs_few_calls() {
    let needs = FeedContext { needs_proof: true, ..STANDBY };
    let mut follower = follower();
    (0..10).for_each(|step| _ = follower.step(at(step), FeedResult::Failed));
    assert_eq!(follower.next_action(at(20), &LEAD).0, LONGEST_PAUSE);
    assert_eq!(follower.next_action(at(20), &needs).0, NON_LEAD_PAUSE);
    // After a failed call, a host retries until the store answers, whatever the leads report.
    assert_ne!(follower.next_action(at(20), &STANDBY).1, FeedAction::Idle);
}

#[test]
fn proofs_are_requested_with_a_pause_between_them() {
    let needs = FeedContext { needs_proof: true, ..STANDBY };
    let mut follower = follower();
    follower.step(at(10), FeedResult::Watched { revision: 40.into(), has_changes: false });
    assert_eq!(follower.next_action(at(20), &needs).1, FeedAction::Idle);
    assert_ne!(follower.next_action(at(300), &needs).1, FeedAction::Idle);
}

#[test]
fn burst_of_changes_costs_few_reads() {
    let behind = FeedContext { is_behind: true, ..STANDBY };
    let mut follower = follower();
    let mut reads = 0;
    for millis in (700..4_700).step_by(10) {
        if let FeedAction::Read { is_stale } = follower.next_action(at(millis), &behind).1 {
            reads += 1;
            follower
                .step(at(millis), FeedResult::Read { revision: (40 + millis).into(), is_stale });
        }
    }
    assert!((5..=7).contains(&reads), "{reads}");
}

/// Guards against hundreds of exact reads for each change. A stale read costs the store a tenth and
/// usually has the change already.
#[test]
fn change_is_read_stale_first_and_then_exactly() {
    let behind = FeedContext { is_behind: true, allows_stale: true, ..STANDBY };
    let mut follower = follower();
    assert_eq!(follower.next_action(at(700), &behind).1, STALE);
    follower.step(at(700), FeedResult::Read { revision: 39.into(), is_stale: true });
    assert_eq!(
        follower.next_action(at(1_400), &behind).1,
        EXACT,
        "the stale answer did not have the change"
    );
    follower.step(at(1_400), FeedResult::Read { revision: 45.into(), is_stale: false });
    assert_eq!(follower.next_action(at(2_100), &behind).1, STALE);
}

/// Guards against a first watch after minutes that returns every change since the host's last call,
/// although its peers told it of them.
#[test]
fn watch_continues_after_what_peers_told() {
    let needs = FeedContext { needs_proof: true, ..STANDBY };
    let mut follower = follower();
    follower.advance(90.into());
    let watch = FeedAction::Watch { after: 90.into(), wait: URGENT_WAIT };
    assert_eq!(follower.next_action(at(1), &needs).1, watch);
    follower.advance(50.into());
    assert_eq!(follower.next_action(at(2), &needs).1, watch);
}

/// Guards against a watch that repeats old changes because the revision of a stale answer is lower
/// than the host's own.
#[test]
fn stale_read_does_not_set_the_revision_back() {
    let mut follower = follower();
    follower.step(at(700), FeedResult::Read { revision: 12.into(), is_stale: true });
    assert_eq!(follower.next_action(at(701), &LEAD).1, WATCH);
}

/// Guards against one call for each of the frequent writes of servers to their entries.
#[test]
fn watch_with_changes_is_followed_by_a_pause() {
    let mut follower = follower();
    follower.step(at(10), FeedResult::Watched { revision: 41.into(), has_changes: true });
    let (pause, _) = follower.next_action(at(60), &LEAD);
    assert_eq!(pause, WATCH_SPACING - Duration::from_millis(50));
    assert_eq!(follower.next_action(at(400), &LEAD).0, Duration::ZERO);
}

/// Guards against a lead that only watches: if its watch is not notified, a read has to show what a
/// peer has.
#[test]
fn lead_reads_what_a_peer_has() {
    let mut follower = follower();
    let context = FeedContext { is_lead: true, is_behind: true, ..FeedContext::default() };
    let (_, action) = follower.next_action(at(1_000), &context);
    assert_eq!(action, FeedAction::Read { is_stale: false });
    follower.step(at(1_010), FeedResult::Read { revision: 41.into(), is_stale: false });
    let (_, action) = follower.next_action(at(1_020), &context);
    let wait = context.watch_wait;
    assert_eq!(action, FeedAction::Watch { after: 41.into(), wait }, "reads are spaced");
}

/// Guards against a watch whose answer grows with each repeat: after one that was too long, the
/// newest state is read, without its history.
#[test]
fn overflowed_watch_is_followed_by_a_read() {
    for context in [LEAD, STANDBY] {
        let mut follower = follower();
        assert_eq!(follower.step(at(2), FeedResult::Overflowed), None);
        assert_eq!(follower.next_action(at(2), &context), (Duration::ZERO, EXACT));
        follower.step(at(3), FeedResult::Read { revision: 90.into(), is_stale: false });
        let (_, action) = follower.next_action(at(4), &LEAD);
        assert_eq!(action, FeedAction::Watch { after: 90.into(), wait: WATCH_WAIT });
    }
}

/// Guards against outages that are none: a cut of one waiting watch began the grace period for
/// removed servers anew.
#[test]
fn one_cut_watch_is_no_outage() {
    let mut follower = follower();
    for cut in 0..10 {
        let now = at(2 + 1_500 * cut);
        assert_eq!(follower.step(now, FeedResult::Cut), None);
        let (pause, action) = follower.next_action(now, &LEAD);
        assert_eq!(pause, FIRST_PAUSE);
        assert!(matches!(action, FeedAction::Watch { .. }), "{action:?}");
        let watched = FeedResult::Watched { revision: 40.into(), has_changes: false };
        assert_eq!(follower.step(now + FIRST_PAUSE, watched), None);
    }
    assert_eq!(follower.step(at(20_000), FeedResult::Cut), None);
    assert_eq!(follower.step(at(20_100), FeedResult::Cut), Some(true));
}

/// Guards against an outage that lasts two seconds longer for most hosts than for the first ones
/// that reach the store again: callers then crowd onto these few hosts.
#[test]
fn newer_data_at_a_peer_ends_a_backoff_once() {
    let mut follower = follower();
    for millis in [100, 900] {
        follower.begin_call(at(millis));
        follower.step(at(millis + 700), FeedResult::Failed);
    }
    assert_eq!(follower.next_action(at(1_600), &STANDBY).0, NON_LEAD_PAUSE);
    assert!(!follower.ends_backoff(None));
    assert!(!follower.ends_backoff(Some(at(800))), "the last call was sent later");
    assert!(follower.ends_backoff(Some(at(1_000))), "it came while the last call was pending");
    follower.begin_call(at(1_700));
    follower.step(at(2_400), FeedResult::Failed);
    assert!(!follower.ends_backoff(Some(at(1_000))), "hosts without access do not retry at once");
}
