use super::*;

fn at(millis: u64) -> Time {
    Time(10_000_000 + millis * 1_000)
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// Era 1 of the store, which was restored at `at(0)`.
fn restored() -> EraKeeper {
    let mut era = EraKeeper::default();
    era.observe(at(0), 0, None);
    era.observe(at(0), 1, Some(Duration::ZERO));
    era
}

fn view(revision: StoreRevision, domains: &[&str]) -> EvacuationView {
    let domains = domains.iter().map(|domain| (format!("k/{domain}").into(), (*domain).into()));
    EvacuationView { revision, domains: domains.collect() }
}

fn names(keeper: &EvacuationKeeper, now: Time, era: &EraKeeper) -> Vec<Arc<str>> {
    keeper.domains(now, era).into_iter().collect()
}

/// The history of a store: the views of each revision, of era 0 and of era 1, which began with a
/// copy of an earlier revision.
fn history(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<(EvacuationView, EvacuationChange)>> {
    let mut steps: Vec<(EvacuationView, EvacuationChange)> = Vec::new();
    for era in 0..=1 {
        let mut start = EvacuationView { revision: revision(era, 1), ..EvacuationView::default() };
        if era == 1 {
            let (copy, _) = u.choose(&steps)?;
            start = EvacuationView { revision: revision(1, copy.revision.number), ..copy.clone() };
        }
        for _ in 0..u.int_in_range(1..=6)? {
            let domain: Arc<str> = (*u.choose(&["a", "b", "c"])?).into();
            let key: Arc<str> = format!("k/{domain}").into();
            start.revision.number += u.int_in_range(1..=3)?;
            let domain = start.domains.remove(&key).is_none().then_some(domain);
            domain
                .iter()
                .for_each(|domain| drop(start.domains.insert(key.clone(), domain.clone())));
            let number = start.revision.number;
            steps.push((start.clone(), EvacuationChange { key, domain, number }));
        }
    }
    Ok(steps)
}

/// Guards against hosts that disagree for good, or go back to an older view, because of the order in
/// which views of the store and of peers arrive, are repeated or are lost, also across a restore.
#[test]
fn any_order_of_views_and_changes_converges_and_never_goes_back() {
    crate::fixed_cases(400, |u| {
        let steps = history(u)?;
        let (era, last) = (restored(), steps.last().unwrap().0.clone());
        let mut hosts = [EvacuationKeeper::default(), EvacuationKeeper::default()];
        for host in &mut hosts {
            for _ in 0..u.int_in_range(0..=20)? {
                let place = u.choose_index(steps.len())?;
                let (shown, change) = &steps[place];
                let before = host.revision();
                let previous = place.checked_sub(1).map(|place| &steps[place].0.revision);
                // A watch returns only the change if the host has the view before it, or a later one.
                let known = host.views.get(&shown.revision.era).map(|view| view.revision);
                let same_era = previous.filter(|at| at.era == shown.revision.era);
                if known.is_some()
                    && same_era.is_some_and(|at| known >= Some(*at))
                    && u.arbitrary()?
                {
                    host.apply_changes(at(1), &era, vec![change.clone()], shown.revision);
                } else {
                    host.merge(at(1), &era, shown.clone());
                }
                assert!(host.revision() >= before.max(shown.revision));
                let own = steps.iter().find(|(view, _)| view.revision == host.revision()).unwrap();
                assert_eq!(host.latest(), Some(&own.0), "no view that the store never had");
            }
        }
        let [one, other] = &mut hosts;
        one.merge(at(2), &era, last.clone());
        // Views are exchanged in both directions, those of earlier eras included.
        for view in one.reports(at(2), true) {
            other.merge(at(2), &era, view);
        }
        for view in other.reports(at(2), true) {
            one.merge(at(2), &era, view);
        }
        assert_eq!(one.views, other.views);
        assert_eq!(one.digest(), other.digest());
        let (settled, expected) = (at(2_200), last.domains.values().cloned().collect());
        for host in [one, other] {
            let unsettled = host.domains(at(3), &era);
            assert!(last.domains.values().all(|domain| unsettled.contains(domain)));
            host.expire(settled, &era);
            assert_eq!(host.domains(settled, &era), expected);
        }
        Ok(())
    });
}

/// Guards against requests to a domain whose evacuation a restore of the store lost, before the
/// operator can have written it again, also at a host that learns of the new era from a peer's view.
#[test]
fn evacuation_that_a_copy_lacks_holds_until_the_era_is_settled() {
    let mut old_era = EraKeeper::default();
    old_era.observe(at(0), 0, None);
    for era in [restored(), old_era] {
        let mut keeper = EvacuationKeeper::default();
        keeper.merge(at(0), &old_era, view(revision(0, 9), &["a"]));
        keeper.merge(at(10), &era, view(revision(1, 5), &["b"]));
        assert_eq!(names(&keeper, at(2_100), &era), ["a".into(), "b".into()]);
        let era = restored();
        assert_eq!(names(&keeper, at(2_200), &era), ["b".into()]);
        keeper.expire(at(2_200), &era);
        assert!(!keeper.merge(at(2_300), &era, view(revision(0, 99), &["c"])), "an earlier era");
        assert_eq!(names(&keeper, at(2_300), &era), ["b".into()]);
    }
}

/// Guards against a view that foreign keys make too large for a datagram.
#[test]
fn view_fits_into_a_datagram_whatever_the_store_holds() {
    let keys = (0..5_000).map(|number| {
        let key: Arc<str> = format!("{number:0>LONGEST_KEY$}").into();
        (key.clone(), key)
    });
    let mut keeper = EvacuationKeeper::default();
    let view = EvacuationView { revision: 1.into(), domains: keys.collect() };
    keeper.merge(at(0), &EraKeeper::default(), view);
    let [view] = &keeper.reports(at(0), true)[..] else { panic!("one view") };
    assert!(postcard::to_stdvec(view).unwrap().len() < 32 << 10);
}
