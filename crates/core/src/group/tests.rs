//! Tests of group planning against simulated engines.

use super::*;

fn engines(count: u32) -> Vec<GroupEngine> {
    let engine = |number: u32| GroupEngine {
        engine: format!("engine-{number}").into(),
        region: "region".into(),
        failure_domain: format!("domain-{}", number % 2).into(),
        memory_tokens: 100,
    };
    (0..count).map(engine).collect()
}

fn submit(group: u64, need: u64, count: u32) -> GroupInput {
    GroupInput::Submit {
        group: WorkKey(group),
        memory_tokens: need,
        model: "model".into(),
        engines: engines(count),
        deadline: Time(60_000_000),
    }
}

/// Simulated engines of 100 tokens each that grant a reservation while they have enough free
/// memory.
#[derive(Default)]
struct FakeEngines {
    held: BTreeMap<(Arc<str>, WorkKey), u64>,
    ready: BTreeSet<WorkKey>,
    refused: BTreeSet<WorkKey>,
}

impl FakeEngines {
    fn run(&mut self, planner: &mut GroupPlanner, now: Time, input: GroupInput) {
        for output in planner.step(now, input) {
            let answer = match output {
                GroupOutput::Reserve { group, member } => {
                    let others = self
                        .held
                        .iter()
                        .filter(|((engine, of), _)| *engine == member.engine && *of != group);
                    let free = 100 - others.map(|(_, tokens)| tokens).sum::<u64>();
                    if member.tokens <= free {
                        self.held.insert((member.engine.clone(), group), member.tokens);
                        GroupInput::Reserved { group, engine: member.engine }
                    } else {
                        GroupInput::Refused { group, engine: member.engine }
                    }
                }
                GroupOutput::Release { group, engine } => {
                    self.held.remove(&(engine, group));
                    continue;
                }
                GroupOutput::Ready { group, .. } => {
                    assert!(self.ready.insert(group));
                    continue;
                }
                GroupOutput::Refuse { group, .. } => {
                    assert!(self.refused.insert(group));
                    continue;
                }
                GroupOutput::Drain { .. } => continue,
            };
            self.run(planner, now, answer);
        }
    }
}

/// Guards against a group that spans two failure domains when one domain suffices, and against
/// members that cannot hold the prompt together.
#[test]
fn members_are_few_in_one_domain_and_ordered_by_name() {
    let chosen = choose_members(250, &engines(8), &BTreeSet::new()).unwrap();
    let names: Vec<_> = chosen.iter().map(|member| &*member.engine).collect();
    assert_eq!(names, ["engine-0", "engine-2", "engine-4"]);
    assert_eq!(chosen.iter().map(|member| member.tokens).sum::<u64>(), 250);
    assert!(chosen.iter().all(|member| member.tokens <= 100));
    assert_eq!(choose_members(701, &engines(8), &BTreeSet::new()).unwrap().len(), 8);
    assert_eq!(choose_members(801, &engines(20), &BTreeSet::new()), None);
}

/// Guards against a group that keeps some reservations while it waits for others, a group that is
/// never served, and memory that is still reserved after every group has ended.
#[test]
fn groups_hold_all_or_nothing_and_release_everything() {
    arbtest::arbtest(|data| {
        let seed = data.arbitrary()?;
        let mut planner = GroupPlanner::new(fastrand::Rng::with_seed(seed));
        let mut engines = FakeEngines::default();
        let mut now = Time::ZERO;
        for group in 0..6 {
            let need = data.int_in_range(150..=450)?;
            engines.run(&mut planner, now, submit(group, need, 5));
            now = now + Duration::from_millis(data.int_in_range(0..=500)?);
        }
        for _ in 0..200 {
            now = now + Duration::from_millis(50);
            engines.run(&mut planner, now, GroupInput::Tick);
            let holders: BTreeSet<_> = engines.held.keys().map(|(_, group)| *group).collect();
            assert!(holders.is_subset(&engines.ready), "a group that is not ready holds memory");
            if let Some(group) = engines.ready.pop_first() {
                engines.run(&mut planner, now, GroupInput::Ended(group));
            }
        }
        assert!(planner.is_empty(), "{} groups were not served", planner.len());
        assert!(engines.held.is_empty(), "{:?}", engines.held);
        Ok(())
    });
}

/// Guards against a prompt that waits for its deadline although no group can ever hold it, and
/// against a group that keeps waiting after its deadline.
#[test]
fn impossible_and_late_groups_are_refused() {
    let mut planner = GroupPlanner::new(fastrand::Rng::with_seed(1));
    let outputs = planner.step(Time::ZERO, submit(1, 900, 20));
    let [GroupOutput::Refuse { refusal, .. }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(refusal.reason, Reason::PromptExceedsFleet);
    planner.step(Time::ZERO, submit(2, 150, 2));
    let refuse = GroupInput::Refused { group: WorkKey(2), engine: "engine-0".into() };
    planner.step(Time(1), refuse);
    let outputs = planner.step(Time(60_000_000), GroupInput::Tick);
    assert!(matches!(outputs[..], [GroupOutput::Refuse { .. }]), "{outputs:?}");
    assert!(planner.is_empty());
}
