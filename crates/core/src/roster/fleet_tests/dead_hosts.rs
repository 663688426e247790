//! Kills hosts of a fleet whose members and standby hosts send at different times, and checks the
//! hosts that the others name to callers.
//!
//! The tests guard against callers that are sent to a host long after it died.

use super::*;

const TICK: Duration = Duration::from_millis(50);
/// Time between two checks of all hosts.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time after the death of a host from which no other host may name it.
const NAMING_LIMIT: Duration = Duration::from_secs(7);
/// Time after the last death for which the fleet is watched.
const WATCHED_TIME: Duration = Duration::from_secs(9);
const LEAD_COUNT: usize = 2;

impl HostFleet {
    /// Lets each host send when its own period has passed, until `end`.
    pub(super) fn run_staggered(&mut self, end: Time) {
        while self.now < end {
            self.now = self.now + TICK;
            let due = self.hosts.iter().filter(|(_, host)| host.next_send <= self.now);
            let due: Vec<_> = due.map(|(tag, _)| *tag).collect();
            for tag in due {
                self.send(tag);
                let now = self.now;
                let Some(host) = self.hosts.get_mut(&tag) else { continue };
                let is_lead = host.roster.is_lead(now, &host.info, LEAD_COUNT);
                host.next_send = now
                    + match host.roster.is_member(now, &host.info) {
                        true => host.roster.heartbeat_period(is_lead),
                        false => STANDBY_POLL_PERIOD,
                    };
            }
        }
    }

    /// Returns `count` hosts to kill: the leads, a larger member, and others drawn at random.
    fn draw_victims(&mut self, count: usize) -> Vec<HostTag> {
        let now = self.now;
        let mut tags: Vec<_> = self.hosts.keys().copied().collect();
        self.rng.shuffle(&mut tags);
        let order = |tag: &HostTag| {
            let host = &self.hosts[tag];
            let is_member = host.roster.is_member(now, &host.info);
            match host.roster.is_lead(now, &host.info, LEAD_COUNT) {
                true => 0,
                false if is_member => 1,
                false => 2,
            }
        };
        let leads = tags.iter().filter(|tag| order(tag) == 0);
        let member = tags.iter().filter(|tag| order(tag) == 1).take(1);
        let first: Vec<_> = leads.chain(member).copied().collect();
        tags.retain(|tag| !first.contains(tag));
        first.into_iter().chain(tags).take(count).collect()
    }

    /// Kills the victims one after another, `spacing` apart. Returns the longest time after its
    /// death at which a dead host was still among the active hosts of a live one, from which every
    /// answer to a caller is drawn.
    fn longest_naming(&mut self, victims: &[HostTag], spacing: Duration) -> Duration {
        let start = self.now;
        let deaths: BTreeMap<_, _> =
            victims.iter().zip(0..).map(|(tag, nth)| (*tag, start + spacing * nth)).collect();
        let end = start + spacing * victims.len() as u32 + WATCHED_TIME;
        let mut longest = Duration::ZERO;
        while self.now < end {
            for (tag, _) in deaths.iter().filter(|(_, death)| **death <= self.now) {
                self.hosts.get_mut(tag).unwrap().is_down = true;
            }
            self.run_staggered(self.now + CHECK_PERIOD);
            let is_checked = |death: &Time| self.now >= *death + NAMING_LIMIT;
            if !deaths.values().any(is_checked) {
                continue;
            }
            for host in self.hosts.values().filter(|host| !host.is_down) {
                let active = host.roster.active_hosts(self.now, &host.info, u32::MAX);
                let dead = active.iter().filter(|tag| self.hosts[tag].is_down);
                longest = dead.map(|tag| self.now.since(deaths[tag])).fold(longest, Duration::max);
            }
        }
        longest
    }
}

fn settled(count: u16, loss: f64, seed: u64) -> HostFleet {
    let mut fleet = HostFleet::start(count);
    // All registered hosts know one another after the second round.
    fleet.rounds = LISTING_ROUNDS - 2;
    fleet.run(5);
    fleet.rng = fastrand::Rng::with_seed(seed);
    fleet.loss = loss;
    let now = fleet.now;
    for host in fleet.hosts.values_mut() {
        host.next_send = now + ROUND.mul_f64(fleet.rng.f64());
    }
    fleet.run_staggered(now + ROUND * 2);
    fleet
}

/// Fails if a live host named a dead one later than [`NAMING_LIMIT`] after its death.
fn check_naming(count: u16, loss: f64, seed: u64, spacing: Duration) {
    let mut fleet = settled(count, loss, seed);
    let victims = match spacing.is_zero() {
        true => usize::from(count / 10).max(3),
        false => usize::from(count / 2).min(20),
    };
    let victims = fleet.draw_victims(victims);
    let longest = fleet.longest_naming(&victims, spacing);
    assert!(longest <= NAMING_LIMIT, "{count} hosts, loss {loss}, seed {seed}: {longest:?}");
}

/// Guards against a host that passes on what it knows only from another host: the dead host stays
/// alive in one list after another. Seed 4 failed with 93 hosts: one was named after 7.25 s.
#[test]
fn hosts_killed_at_once_are_not_named_for_long() {
    for (count, loss, seed) in [(9, 0.0, 1), (9, 0.03, 1), (93, 0.03, 4), (295, 0.03, 1)] {
        check_naming(count, loss, seed, Duration::ZERO);
    }
}

/// Guards against the same in the largest fleet, where most hosts are on standby.
#[test]
fn hosts_of_a_large_fleet_killed_at_once_are_not_named_for_long() {
    check_naming(1_000, 0.03, 1, Duration::ZERO);
}

/// Guards against the same while members are replaced all the time: each substitute was on standby
/// and knows the members from lists. Seed 4 failed with 93 hosts: one was named after 8.25 s.
#[test]
fn hosts_killed_one_after_another_are_not_named_for_long() {
    for (count, loss, seed) in [(9, 0.03, 1), (93, 0.0, 1), (93, 0.03, 4), (295, 0.03, 1)] {
        check_naming(count, loss, seed, Duration::from_millis(500));
    }
}
