//! Plans groups of engines for prompts beyond one engine: all members are reserved, in ascending
//! order of engine name, or none.
//!
//! Owns the reservations in progress. When an engine does not answer, the group gives back what it
//! has and tries again; the term of a reservation ends it on an engine that was not reached.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::value;

use crate::{
    key::WorkKey,
    refusal::{Reason, Refusal},
    time::Time,
};

#[cfg(test)]
mod tests;

/// Term of a reservation; the owner renews it at a third of the term.
pub const RESERVATION_TERM: Duration = Duration::from_secs(10);
/// Most engines in one group.
pub const MAX_GROUP_MEMBERS: usize = 8;
/// Delay before a refused group tries again, doubled each time up to the limit.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const DELAY_LIMIT: Duration = Duration::from_secs(2);
/// Wait after which engines are drained for a group.
const DRAIN_AFTER: Duration = Duration::from_secs(2);

/// An engine that can be a member.
#[value]
pub struct GroupEngine {
    /// Name; members are reserved in the order of names.
    pub engine: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Memory for KV cache, in tokens.
    pub memory_tokens: u64,
}

/// A member of a group and the memory reserved on it.
#[value]
pub struct GroupMember {
    /// Engine.
    pub engine: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// Input of [`GroupPlanner::step`].
#[value]
pub enum GroupInput {
    /// A prompt that no engine can hold, and the engines that serve its model and answer.
    Submit {
        /// The request.
        group: WorkKey,
        /// Memory it needs, in tokens.
        memory_tokens: u64,
        /// Model by name; engines are drained for one group of a model at a time.
        model: Arc<str>,
        /// Engines.
        engines: Vec<GroupEngine>,
        /// When the request must have its final answer.
        deadline: Time,
    },
    /// An engine granted the reservation.
    Reserved {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// An engine refused the reservation or did not answer.
    Refused {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// The request ended, whatever the reason.
    Ended(WorkKey),
    /// Time passed.
    Tick,
}

/// Output of [`GroupPlanner::step`].
#[value]
pub enum GroupOutput {
    /// Ask an engine for a reservation, or renew it.
    Reserve {
        /// The request.
        group: WorkKey,
        /// Engine and memory.
        member: GroupMember,
    },
    /// Give a reservation back.
    Release {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// Every member is reserved; the members are in the order of the prompt's segments.
    Ready {
        /// The request.
        group: WorkKey,
        /// Members.
        members: Vec<GroupMember>,
    },
    /// Keep new work from the engine for one reservation term.
    Drain {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// Answer the request with a refusal.
    Refuse {
        /// The request.
        group: WorkKey,
        /// The answer.
        refusal: Refusal,
    },
}

enum Stage {
    /// Waits until the time to try again.
    Waiting(Time),
    /// The members before this index are reserved, the one at it was asked.
    Reserving(usize),
    /// All are reserved; the time of the next renewal.
    Ready(Time),
}

struct Group {
    need: u64,
    model: Arc<str>,
    engines: Vec<GroupEngine>,
    members: Vec<GroupMember>,
    stage: Stage,
    since: Time,
    deadline: Time,
    delay: Duration,
    /// Engines that refused lately, with the time.
    refused: BTreeMap<Arc<str>, Time>,
}

/// Plans groups.
pub struct GroupPlanner {
    groups: BTreeMap<WorkKey, Group>,
    /// The group that engines of a model are drained for.
    draining: BTreeMap<Arc<str>, WorkKey>,
    rng: fastrand::Rng,
}

impl GroupPlanner {
    /// A planner without groups.
    pub fn new(rng: fastrand::Rng) -> GroupPlanner {
        GroupPlanner { groups: BTreeMap::new(), draining: BTreeMap::new(), rng }
    }

    /// Advances the planner.
    pub fn step(&mut self, now: Time, input: GroupInput) -> Vec<GroupOutput> {
        let mut outputs = Vec::new();
        match input {
            GroupInput::Submit { group, memory_tokens, model, engines, deadline } => {
                if choose(memory_tokens, &engines, &BTreeSet::new()).is_none() {
                    let refusal =
                        Refusal::not_run(Reason::PromptExceedsFleet, "no group can hold it");
                    return vec![GroupOutput::Refuse { group, refusal }];
                }
                let entry = Group {
                    need: memory_tokens,
                    model,
                    engines,
                    members: Vec::new(),
                    stage: Stage::Waiting(now),
                    since: now,
                    deadline,
                    delay: FIRST_DELAY,
                    refused: BTreeMap::new(),
                };
                self.groups.insert(group, entry);
                self.advance(now, group, &mut outputs);
            }
            GroupInput::Reserved { group, engine } => {
                self.reserved(now, group, &engine, &mut outputs);
            }
            GroupInput::Refused { group, engine } => {
                self.refused(now, group, engine, &mut outputs);
            }
            GroupInput::Ended(group) => self.end(group, &mut outputs),
            GroupInput::Tick => {
                let groups: Vec<_> = self.groups.keys().copied().collect();
                groups.into_iter().for_each(|group| self.advance(now, group, &mut outputs));
            }
        }
        outputs
    }

    /// The requests that have a group.
    pub fn work_keys(&self) -> impl Iterator<Item = WorkKey> {
        self.groups.keys().copied()
    }

    /// Number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether there is no group.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    fn advance(&mut self, now: Time, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if group.deadline <= now && !matches!(group.stage, Stage::Ready(_)) {
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, "no group within the time");
            outputs.push(GroupOutput::Refuse { group: key, refusal });
            return self.end(key, outputs);
        }
        match group.stage {
            Stage::Waiting(until) if until <= now => {
                let recent = |at: &Time| now.since(*at) < DELAY_LIMIT;
                group.refused.retain(|_, at| recent(at));
                // The engines that are drained for the group are the ones to ask.
                if self.draining.get(&group.model) != Some(&key) {
                    let avoid = group.refused.keys().cloned().collect();
                    let members = choose(group.need, &group.engines, &avoid)
                        .or_else(|| choose(group.need, &group.engines, &BTreeSet::new()));
                    group.members = members.expect("checked at submission");
                }
                group.stage = Stage::Reserving(0);
                let member = group.members[0].clone();
                outputs.push(GroupOutput::Reserve { group: key, member });
                self.drain(now, key, outputs);
            }
            Stage::Ready(renewal) if renewal <= now => {
                group.stage = Stage::Ready(now + RESERVATION_TERM / 3);
                let members = group.members.iter().cloned();
                outputs.extend(members.map(|member| GroupOutput::Reserve { group: key, member }));
            }
            _ => {}
        }
    }

    /// Drains engines for a group that has waited long, for one group of a model at a time.
    fn drain(&mut self, now: Time, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        let group = &self.groups[&key];
        if now.since(group.since) < DRAIN_AFTER {
            return;
        }
        if *self.draining.entry(group.model.clone()).or_insert(key) == key {
            let engines = group.members.iter().map(|member| member.engine.clone());
            outputs.extend(engines.map(|engine| GroupOutput::Drain { group: key, engine }));
        }
    }

    fn reserved(
        &mut self,
        now: Time,
        key: WorkKey,
        engine: &Arc<str>,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let Some(group) = self.groups.get_mut(&key) else {
            // The group ended while the engine was asked.
            return outputs.push(GroupOutput::Release { group: key, engine: engine.clone() });
        };
        let position = group.members.iter().position(|member| member.engine == *engine);
        match group.stage {
            Stage::Reserving(index) if position == Some(index) => {
                if let Some(member) = group.members.get(index + 1).cloned() {
                    group.stage = Stage::Reserving(index + 1);
                    return outputs.push(GroupOutput::Reserve { group: key, member });
                }
                group.stage = Stage::Ready(now + RESERVATION_TERM / 3);
                let members = group.members.clone();
                outputs.push(GroupOutput::Ready { group: key, members });
                self.stop_drain(key);
            }
            Stage::Waiting(_) => {
                outputs.push(GroupOutput::Release { group: key, engine: engine.clone() });
            }
            _ => {}
        }
    }

    fn refused(
        &mut self,
        now: Time,
        key: WorkKey,
        engine: Arc<str>,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        let Stage::Reserving(index) = group.stage else { return };
        if group.members[index].engine != engine {
            return;
        }
        // The member that refused is released too: its answer may have been lost.
        for member in &group.members[..=index] {
            outputs.push(GroupOutput::Release { group: key, engine: member.engine.clone() });
        }
        group.refused.insert(engine, now);
        let jitter = self.rng.f64() * 0.5 + 0.75;
        group.stage = Stage::Waiting(now + group.delay.mul_f64(jitter));
        group.delay = (group.delay * 2).min(DELAY_LIMIT);
    }

    fn end(&mut self, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        self.stop_drain(key);
        let Some(group) = self.groups.remove(&key) else { return };
        let held = match group.stage {
            Stage::Waiting(_) => 0,
            Stage::Reserving(index) => index + 1,
            Stage::Ready(_) => group.members.len(),
        };
        for member in &group.members[..held] {
            outputs.push(GroupOutput::Release { group: key, engine: member.engine.clone() });
        }
    }

    fn stop_drain(&mut self, key: WorkKey) {
        self.draining.retain(|_, group| *group != key);
    }
}

/// The fewest engines that hold the need together, in ascending order of name: of one failure
/// domain if possible, else of one region. `None` if no region can hold it.
fn choose(
    need: u64,
    engines: &[GroupEngine],
    avoid: &BTreeSet<Arc<str>>,
) -> Option<Vec<GroupMember>> {
    let mut domains: BTreeMap<_, Vec<&GroupEngine>> = BTreeMap::new();
    let mut regions: BTreeMap<_, Vec<&GroupEngine>> = BTreeMap::new();
    for engine in engines.iter().filter(|engine| !avoid.contains(&engine.engine)) {
        domains.entry((&engine.region, &engine.failure_domain)).or_default().push(engine);
        regions.entry(&engine.region).or_default().push(engine);
    }
    let fewest = |pools: Vec<Vec<&GroupEngine>>| {
        let fitting = pools.into_iter().filter_map(|pool| fill(need, pool));
        fitting.min_by_key(Vec::len)
    };
    fewest(domains.into_values().collect()).or_else(|| fewest(regions.into_values().collect()))
}

fn fill(need: u64, mut pool: Vec<&GroupEngine>) -> Option<Vec<GroupMember>> {
    pool.sort_by_key(|engine| (std::cmp::Reverse(engine.memory_tokens), engine.engine.clone()));
    let mut sum = 0;
    let enough = |engine: &&GroupEngine| {
        sum += engine.memory_tokens;
        sum >= need
    };
    let count = pool.iter().position(enough)? + 1;
    if count > MAX_GROUP_MEMBERS {
        return None;
    }
    pool.truncate(count);
    pool.sort_by(|left, right| left.engine.cmp(&right.engine));
    let total: u64 = pool.iter().map(|engine| engine.memory_tokens).sum();
    let mut left = need;
    let mut members = Vec::new();
    for (index, engine) in pool.iter().enumerate() {
        // Shares follow the memory; the last member takes the rounding rest.
        let share = (u128::from(need) * u128::from(engine.memory_tokens)).div_ceil(total.into());
        let is_last = index + 1 == pool.len();
        let tokens = if is_last { left } else { (share as u64).min(left) };
        members.push(GroupMember { engine: engine.engine.clone(), tokens });
        left -= tokens;
    }
    Some(members)
}
