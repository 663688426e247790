//! Replaces the processes of all hosts at once. The new processes know the others only from the
//! host list of the store.

use super::*;

const TICK: Duration = Duration::from_millis(50);
/// Time after the restart within which all hosts know the members.
const REUNION_LIMIT: Duration = Duration::from_secs(5);

impl HostFleet {
    /// Starts new processes, which read the host list and send their first polls at different times.
    fn restart_all(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut() {
            host.info.incarnation += 1_000;
            host.roster = PeerRoster::new(now);
            let others = self.listed.iter().filter(|info| info.name != host.info.name);
            others.for_each(|info| host.roster.add_candidate(info.clone()));
            host.next_send = now + STANDBY_POLL_PERIOD.mul_f64(self.rng.f64());
        }
    }

    /// Runs until `end`; each listed host renews its entry after its registration delay.
    fn run_registering(&mut self, restarted: Time, end: Time) {
        while self.now < end {
            self.run_staggered(self.now + TICK);
            for listed in &self.listed {
                let Some(host) = self.hosts.get_mut(&listed.tag()) else { continue };
                if self.now >= restarted + registration_delay(&host.info) {
                    host.roster.set_listed();
                }
            }
        }
    }
}

/// Guards against hosts that stand by for one another after all processes were replaced at once:
/// each saw one to three peers for good.
#[test]
fn hosts_that_restart_together_find_one_another() {
    for (count, seed) in [(2, 1), (3, 1), (9, 1), (9, 2), (71, 1), (295, 1)] {
        let mut fleet = HostFleet::start(count);
        fleet.run(LISTING_ROUNDS + 5);
        fleet.rng = fastrand::Rng::with_seed(seed);
        fleet.restart_all();
        let restarted = fleet.now;
        fleet.run_registering(restarted, restarted + REUNION_LIMIT);
        let expected = usize::from(count).min(MEMBER_LIMIT);
        let seen: Vec<_> =
            fleet.hosts.values().map(|host| host.roster.alive(fleet.now).count() + 1).collect();
        assert!(seen.iter().all(|seen| *seen >= expected), "{count} hosts, seed {seed}: {seen:?}");
        let members = fleet.members().len();
        assert!(members.abs_diff(expected) <= 2, "{count} hosts, seed {seed}: {members} members");
    }
}
