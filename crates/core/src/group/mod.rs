//! Plans groups of engines for prompts that no single engine can hold. Members are reserved one at
//! a time in ascending order of engine name, and a group keeps either all of its reservations or
//! none.
//!
//! Owns the reservations in progress. When an engine does not answer, the group releases its
//! reservations and retries after a backoff. On an engine that cannot be reached to release it, a
//! reservation expires after its term.

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

/// Term of a reservation, after which the engine drops it. The planner renews it at a third of the
/// term.
pub const RESERVATION_TERM: Duration = Duration::from_secs(10);
/// Maximum number of engines in one group.
pub const MAX_GROUP_MEMBERS: usize = 8;
/// First backoff of a group after a refused reservation. It doubles up to [`MAX_RETRY_DELAY`], with
/// a jitter of 25 %.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest backoff without jitter, and the time for which an engine that refused is avoided.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time after submission from which engines are drained for a group.
const DRAIN_WAIT: Duration = Duration::from_secs(2);

/// An engine that can be a member of a group.
#[value]
pub struct GroupEngine {
    /// Name of the engine; members are reserved in the order of names.
    pub engine: Arc<str>,
    /// Region of the engine. All members of a group are in one region.
    pub region: Arc<str>,
    /// Failure domain of the engine. Members of one domain are preferred.
    pub failure_domain: Arc<str>,
    /// KV cache memory, in tokens.
    pub memory_tokens: u64,
}

/// A member of a group and the memory reserved on it.
#[value]
pub struct GroupMember {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Reserved memory, in tokens.
    pub tokens: u64,
}

/// Input of [`GroupPlanner::step`].
#[value]
pub enum GroupInput {
    /// Submits a request that no single engine can hold, with the engines that may serve it.
    Submit {
        /// The request.
        group: WorkKey,
        /// Memory that the request needs, in tokens.
        memory_tokens: u64,
        /// Name of the model. Engines are drained for one group of a model at a time.
        model: Arc<str>,
        /// Engines that serve the model and are not leaving.
        engines: Vec<GroupEngine>,
        /// Time by which the request must have its final answer. A group that is not ready by then
        /// is refused.
        deadline: Time,
    },
    /// An engine granted or renewed a reservation.
    Reserved {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// An engine refused a reservation or did not answer.
    Refused {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// The request ended for any reason; its reservations are released.
    Ended(WorkKey),
    /// Time passed: starts retries, renews reservations and expires deadlines.
    Tick,
}

/// Output of [`GroupPlanner::step`].
#[value]
pub enum GroupOutput {
    /// Request a reservation from an engine, or renew it.
    Reserve {
        /// The request.
        group: WorkKey,
        /// Engine and memory to reserve.
        member: GroupMember,
    },
    /// Release a reservation, also if it is uncertain whether the engine granted it.
    Release {
        /// The request.
        group: WorkKey,
        /// The engine.
        engine: Arc<str>,
    },
    /// Run the request, as every member is reserved. The members are in the order of the prompt's
    /// segments.
    Ready {
        /// The request.
        group: WorkKey,
        /// Members in ascending order of name.
        members: Vec<GroupMember>,
    },
    /// Keep new work off the engine for one [`RESERVATION_TERM`].
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
        /// The refusal to send.
        refusal: Refusal,
    },
}

enum Stage {
    /// Holds no reservation until the next attempt at this time.
    BackingOff(Time),
    /// The members before this index are reserved, and the reservation of the one at it is pending.
    Reserving(usize),
    /// All members are reserved; the next renewal is due at this time.
    Ready(Time),
}

struct Group {
    needed_tokens: u64,
    model: Arc<str>,
    engines: Vec<GroupEngine>,
    members: Vec<GroupMember>,
    stage: Stage,
    submitted_at: Time,
    deadline: Time,
    retry_delay: Duration,
    /// Engines that recently refused, with the time of the refusal.
    refused_at: BTreeMap<Arc<str>, Time>,
}

/// Chooses the members of groups and reserves them.
pub struct GroupPlanner {
    groups: BTreeMap<WorkKey, Group>,
    /// The group, by model, that engines are drained for.
    draining: BTreeMap<Arc<str>, WorkKey>,
    rng: fastrand::Rng,
}

impl GroupPlanner {
    /// Creates a planner without groups. `rng` supplies the jitter of retries.
    pub fn new(rng: fastrand::Rng) -> GroupPlanner {
        GroupPlanner { groups: BTreeMap::new(), draining: BTreeMap::new(), rng }
    }

    /// Applies an input at time `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Time, input: GroupInput) -> Vec<GroupOutput> {
        let mut outputs = Vec::new();
        match input {
            GroupInput::Submit { group, memory_tokens, model, engines, deadline } => {
                if choose_members(memory_tokens, &engines, &BTreeSet::new()).is_none() {
                    let text = "no group of engines can hold the prompt";
                    let refusal = Refusal::not_run(Reason::PromptExceedsFleet, text);
                    return vec![GroupOutput::Refuse { group, refusal }];
                }
                let entry = Group {
                    needed_tokens: memory_tokens,
                    model,
                    engines,
                    members: Vec::new(),
                    stage: Stage::BackingOff(now),
                    submitted_at: now,
                    deadline,
                    retry_delay: INITIAL_RETRY_DELAY,
                    refused_at: BTreeMap::new(),
                };
                self.groups.insert(group, entry);
                self.advance(now, group, &mut outputs);
            }
            GroupInput::Reserved { group, engine } => {
                self.handle_reserved(now, group, &engine, &mut outputs);
            }
            GroupInput::Refused { group, engine } => {
                self.handle_refused(now, group, engine, &mut outputs);
            }
            GroupInput::Ended(group) => self.end_group(group, &mut outputs),
            GroupInput::Tick => {
                let groups: Vec<_> = self.groups.keys().copied().collect();
                groups.into_iter().for_each(|group| self.advance(now, group, &mut outputs));
            }
        }
        outputs
    }

    /// Returns the requests whose group is being reserved or is ready.
    pub fn work_keys(&self) -> impl Iterator<Item = WorkKey> {
        self.groups.keys().copied()
    }

    /// Returns the number of groups that are being reserved or are ready.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether no group is being reserved or ready.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    fn advance(&mut self, now: Time, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if group.deadline <= now && !matches!(group.stage, Stage::Ready(_)) {
            let text = "no group of engines was reserved within the time left";
            let refusal = Refusal::not_run(Reason::DeadlineExceeded, text);
            outputs.push(GroupOutput::Refuse { group: key, refusal });
            return self.end_group(key, outputs);
        }
        match group.stage {
            Stage::BackingOff(until) if until <= now => {
                let recent = |at: &Time| now.since(*at) < MAX_RETRY_DELAY;
                group.refused_at.retain(|_, at| recent(at));
                // A group that engines are drained for keeps its members, as these are the drained
                // engines.
                if self.draining.get(&group.model) != Some(&key) {
                    let avoid = group.refused_at.keys().cloned().collect();
                    let members = choose_members(group.needed_tokens, &group.engines, &avoid)
                        .or_else(|| {
                            choose_members(group.needed_tokens, &group.engines, &BTreeSet::new())
                        });
                    group.members = members.expect("checked at submission");
                }
                group.stage = Stage::Reserving(0);
                let member = group.members[0].clone();
                outputs.push(GroupOutput::Reserve { group: key, member });
                self.drain_members(now, key, outputs);
            }
            Stage::Ready(renewal) if renewal <= now => {
                group.stage = Stage::Ready(now + RESERVATION_TERM / 3);
                let members = group.members.iter().cloned();
                outputs.extend(members.map(|member| GroupOutput::Reserve { group: key, member }));
            }
            _ => {}
        }
    }

    /// Drains the members of a group that has waited for [`DRAIN_WAIT`], for one group of a model
    /// at a time.
    fn drain_members(&mut self, now: Time, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        let group = &self.groups[&key];
        if now.since(group.submitted_at) < DRAIN_WAIT {
            return;
        }
        if *self.draining.entry(group.model.clone()).or_insert(key) == key {
            let engines = group.members.iter().map(|member| member.engine.clone());
            outputs.extend(engines.map(|engine| GroupOutput::Drain { group: key, engine }));
        }
    }

    fn handle_reserved(
        &mut self,
        now: Time,
        key: WorkKey,
        engine: &Arc<str>,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let Some(group) = self.groups.get_mut(&key) else {
            // The group ended while the reservation was pending.
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
            Stage::BackingOff(_) => {
                outputs.push(GroupOutput::Release { group: key, engine: engine.clone() });
            }
            _ => {}
        }
    }

    fn handle_refused(
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
        // The member counted as refusing is released as well: it may have granted the reservation
        // and its answer been lost.
        for member in &group.members[..=index] {
            outputs.push(GroupOutput::Release { group: key, engine: member.engine.clone() });
        }
        group.refused_at.insert(engine, now);
        let jitter = self.rng.f64() * 0.5 + 0.75;
        group.stage = Stage::BackingOff(now + group.retry_delay.mul_f64(jitter));
        group.retry_delay = (group.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    fn end_group(&mut self, key: WorkKey, outputs: &mut Vec<GroupOutput>) {
        self.stop_drain(key);
        let Some(group) = self.groups.remove(&key) else { return };
        let held = match group.stage {
            Stage::BackingOff(_) => 0,
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

/// Chooses the fewest engines that can hold `needed_tokens` together, in ascending order of name.
/// They are in one failure domain if one suffices, else in one region. Returns `None` if no region
/// has a large enough group. Engines in `avoid` are not chosen.
fn choose_members(
    needed_tokens: u64,
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
        let fitting = pools.into_iter().filter_map(|pool| fit_members(needed_tokens, pool));
        fitting.min_by_key(Vec::len)
    };
    fewest(domains.into_values().collect()).or_else(|| fewest(regions.into_values().collect()))
}

/// Fits the needed memory into the fewest engines of a pool and divides it in proportion to their
/// memory. Returns `None` if this takes more than [`MAX_GROUP_MEMBERS`].
fn fit_members(needed_tokens: u64, mut pool: Vec<&GroupEngine>) -> Option<Vec<GroupMember>> {
    pool.sort_by_key(|engine| (std::cmp::Reverse(engine.memory_tokens), engine.engine.clone()));
    let mut sum = 0;
    let enough = |engine: &&GroupEngine| {
        sum += engine.memory_tokens;
        sum >= needed_tokens
    };
    let count = pool.iter().position(enough)? + 1;
    if count > MAX_GROUP_MEMBERS {
        return None;
    }
    pool.truncate(count);
    pool.sort_by(|left, right| left.engine.cmp(&right.engine));
    let total: u64 = pool.iter().map(|engine| engine.memory_tokens).sum();
    let mut left = needed_tokens;
    let mut members = Vec::new();
    for (index, engine) in pool.iter().enumerate() {
        // Shares are proportional to memory; the last member takes the rounding remainder.
        let share =
            (u128::from(needed_tokens) * u128::from(engine.memory_tokens)).div_ceil(total.into());
        let is_last = index + 1 == pool.len();
        let tokens = if is_last { left } else { (share as u64).min(left) };
        members.push(GroupMember { engine: engine.engine.clone(), tokens });
        left -= tokens;
    }
    Some(members)
}
