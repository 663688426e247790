use super::*;

fn at(millis: u64) -> Time {
    Time(10_000_000 + millis * 1_000)
}

/// Era 1 of the store, which was restored at `at(0)`, and era 0.
fn eras() -> (EraKeeper, EraKeeper) {
    let mut before = EraKeeper::default();
    before.observe(at(0), 0, None);
    let mut restored = before;
    restored.observe(at(0), 1, Some(Duration::ZERO));
    (before, restored)
}

fn view(era: u64, number: u64, domain: &str) -> EvacuationView {
    let domains = BTreeMap::from([(domain.into(), domain.into())]);
    EvacuationView { revision: StoreRevision { era, number }, domains }
}

/// Guards against hosts that disagree for good, or go back to an older view, because of the order in
/// which views of the store and of peers arrive, are repeated or are lost, also across a restore.
#[test]
fn any_order_of_views_and_changes_converges_and_never_goes_back() {
    crate::fixed_cases(400, |u| {
        // Views and changes of era 0, then of era 1, which began with a copy of an earlier revision.
        let mut steps: Vec<(EvacuationView, EvacuationChange)> = Vec::new();
        for era in 0..=1 {
            let mut shown = EvacuationView::default();
            if era == 1 {
                shown = u.choose(&steps)?.0.clone();
            }
            shown.revision.era = era;
            for _ in 0..u.int_in_range(1..=6)? {
                let key: Arc<str> = (*u.choose(&["a", "b", "c"])?).into();
                shown.revision.number += u.int_in_range(1..=3)?;
                let domain = shown.domains.remove(&key).is_none().then(|| key.clone());
                shown.domains.extend(domain.clone().map(|domain| (key.clone(), domain)));
                let number = shown.revision.number;
                steps.push((shown.clone(), EvacuationChange { key, domain, number }));
            }
        }
        let (era, last) = (eras().1, steps.last().unwrap().0.clone());
        let mut hosts = [EvacuationKeeper::default(), EvacuationKeeper::default()];
        for host in &mut hosts {
            for _ in 0..u.int_in_range(0..=20)? {
                let place = u.choose_index(steps.len())?;
                let ((shown, change), before) = (&steps[place], host.revision());
                // A watch returns one change if the host has the view before it, or a later one.
                let previous = place.checked_sub(1).map(|place| steps[place].0.revision);
                let known = host.views.get(&shown.revision.era).map(|view| view.revision);
                let is_watch = known >= previous.filter(|at| at.era == shown.revision.era);
                if known.is_some() && previous.is_some() && is_watch && u.arbitrary()? {
                    host.apply_changes(at(1), &era, vec![change.clone()], shown.revision);
                } else {
                    host.merge(at(1), &era, shown.clone());
                }
                assert!(host.revision() >= before.max(shown.revision));
                assert!(steps.iter().any(|(view, _)| host.latest() == Some(view)));
            }
        }
        let [one, other] = &mut hosts;
        one.merge(at(2), &era, last.clone());
        for view in one.reports(at(2), true) {
            other.merge(at(2), &era, view);
        }
        for view in other.reports(at(2), true) {
            one.merge(at(2), &era, view);
        }
        assert_eq!((&one.views, one.digest()), (&other.views, other.digest()));
        let unsettled = one.in_force(at(3), &era);
        assert!(last.domains.keys().all(|key| unsettled.contains_key(key)));
        assert_eq!(one.in_force(at(2_200), &era), last.domains);
        Ok(())
    });
}

/// Guards against requests to a domain whose evacuation a restore of the store lost, before the
/// operator can have written it again, also at a host that learns of the new era from a peer's view.
#[test]
fn evacuation_that_a_copy_lacks_holds_until_the_era_is_settled() {
    let (before, restored) = eras();
    for era in [restored, before] {
        let mut keeper = EvacuationKeeper::default();
        keeper.merge(at(0), &before, view(0, 9, "a"));
        keeper.merge(at(10), &era, view(1, 5, "b"));
        assert_eq!(keeper.domains(at(2_100), &era), BTreeSet::from(["a".into(), "b".into()]));
        keeper.expire(at(2_200), &restored);
        assert!(!keeper.merge(at(2_300), &restored, view(0, 99, "c")), "an earlier era");
        assert_eq!(keeper.domains(at(2_300), &restored), BTreeSet::from(["b".into()]));
    }
}

/// Guards against a view that foreign keys make too large for a datagram.
#[test]
fn view_fits_into_a_datagram_whatever_the_store_holds() {
    let keys = (0..5_000).map(|number| format!("{number:0>LONGEST_KEY$}").into());
    let domains = keys.map(|key: Arc<str>| (key.clone(), key)).collect();
    let mut keeper = EvacuationKeeper::default();
    keeper.merge(at(0), &eras().0, EvacuationView { revision: 1.into(), domains });
    assert!(postcard::to_stdvec(keeper.latest().unwrap()).unwrap().len() < 32 << 10);
}
