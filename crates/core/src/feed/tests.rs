use super::*;

#[test]
fn reads_then_watches_from_the_first_page() {
    let mut follower = FeedFollower::default();
    assert_eq!(follower.next(false), (Duration::ZERO, FeedAction::Read));
    follower.step(Time(1), FeedResult::Read { revision: 40 });
    let watch = FeedAction::Watch { after: 40, wait: WATCH_WAIT };
    assert_eq!(follower.next(false), (Duration::ZERO, watch));
}

/// A call whose answer was lost may have brought changes, so the same revision is asked again.
#[test]
fn failed_watch_continues_after_the_same_revision() {
    let mut follower = FeedFollower::default();
    follower.step(Time(1), FeedResult::Read { revision: 40 });
    assert_eq!(follower.step(Time(2), FeedResult::Failed), Some(true));
    assert_eq!(follower.step(Time(3), FeedResult::Failed), None);
    let (pause, action) = follower.next(false);
    assert!(pause >= FIRST_PAUSE && pause <= LONGEST_PAUSE);
    assert_eq!(action, FeedAction::Watch { after: 40, wait: WATCH_WAIT });
    assert_eq!(follower.step(Time(4), FeedResult::Watched { revision: 41 }), Some(false));
}

#[test]
fn lost_history_is_read_again() {
    let mut follower = FeedFollower::default();
    follower.step(Time(1), FeedResult::Read { revision: 40 });
    follower.step(Time(2), FeedResult::Compacted);
    assert_eq!(follower.next(false).1, FeedAction::Read);
}

#[test]
fn urgent_proof_shortens_the_wait() {
    let mut follower = FeedFollower::default();
    follower.step(Time(1), FeedResult::Read { revision: 40 });
    let FeedAction::Watch { wait, .. } = follower.next(true).1 else { panic!("no watch") };
    assert!(wait < WATCH_WAIT);
}

/// Found on acie trouble-1: peers' beats ended each read before its answer came, so a host that
/// the store had turned away never learned the configuration.
#[test]
fn read_does_not_yield_to_news() {
    assert!(!FeedAction::Read.yields_to_news());
    assert!(FeedAction::Watch { after: 1, wait: WATCH_WAIT }.yields_to_news());
}
