//! Simulates hosts that see crashes and exchange reports, without a network: members tell one
//! another, standby hosts tell the members and poll one of them.

use super::*;

/// Time between two polls of a standby host.
const POLL_PERIOD: Duration = Duration::from_millis(700);
/// Time between two heartbeats of a member.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(800);
/// Members of a large fleet.
const MEMBERS: usize = 32;
/// Reports in one exchange.
const REPORTS: usize = 24;
const BAD: PartTag = PartTag(0xbad);
const SHARED: PartTag = PartTag(0x5a);

struct QuarantineFleet {
    now: Time,
    hosts: Vec<PartQuarantine>,
    /// Hosts that neither send nor receive.
    cut: Vec<usize>,
    loss_percent: u8,
    rng: fastrand::Rng,
}

impl QuarantineFleet {
    fn new(count: usize, loss_percent: u8, seed: u64) -> QuarantineFleet {
        let hosts = (0..count).map(|_| PartQuarantine::default()).collect();
        let now = Time(1_000_000_000_000);
        let rng = fastrand::Rng::with_seed(seed);
        QuarantineFleet { now, hosts, cut: Vec::new(), loss_percent, rng }
    }

    fn members(&self) -> usize {
        self.hosts.len().min(MEMBERS)
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
        is_cut || self.rng.u8(0..100) < self.loss_percent
    }

    fn execute(&mut self, from: usize, sender: Option<usize>, outputs: Vec<QuarantineOutput>) {
        for output in outputs {
            let (report, targets) = match output {
                QuarantineOutput::Broadcast(report) => (report, 0..self.members()),
                QuarantineOutput::Reply(report) => {
                    let Some(sender) = sender else { continue };
                    (report, sender..sender + 1)
                }
                _ => continue,
            };
            for target in targets.filter(|target| *target != from) {
                self.send(from, target, &report);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, report: &PartReport) {
        if !self.is_lost(from, to) {
            let outputs = self.hosts[to].merge(self.now, report);
            self.execute(to, Some(from), outputs);
        }
    }

    fn crash(&mut self, host: usize, number: u64, parts: &[PartTag]) {
        let process = ProcessTag::new(EngineTag(number), 1);
        let outputs = self.hosts[host].record_crash(self.now, process, parts);
        self.execute(host, None, outputs);
    }

    fn answer(&mut self, host: usize, parts: &[PartTag]) {
        let outputs = self.hosts[host].record_answer(self.now, parts);
        self.execute(host, None, outputs);
    }

    /// Exchanges what differs between two hosts, from the first to the second.
    fn sync(&mut self, from: usize, to: usize) {
        if self.hosts[from].digest() != self.hosts[to].digest() {
            for report in self.hosts[from].reports(self.now, REPORTS) {
                self.send(from, to, &report);
            }
        }
    }

    /// Runs heartbeats and polls for a while.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let step = Duration::from_millis(100);
        while self.now < end {
            self.now = self.now + step;
            let (members, now) = (self.members(), self.now);
            let is_due = |host: usize, period: Duration| {
                let steps = (period.as_micros() / step.as_micros()) as u64;
                (now.0 / step.as_micros() as u64 + host as u64).is_multiple_of(steps)
            };
            for host in 0..self.hosts.len() {
                if host < members && is_due(host, HEARTBEAT_PERIOD) {
                    (0..members)
                        .filter(|peer| *peer != host)
                        .for_each(|peer| self.sync(host, peer));
                } else if host >= members && is_due(host, POLL_PERIOD) {
                    let member = self.rng.usize(0..members);
                    self.sync(host, member);
                    self.sync(member, host);
                }
            }
        }
    }

    /// Hosts that are not cut off and would send a request with these parts.
    fn sending(&self, parts: &[PartTag]) -> usize {
        let sends = |(place, host): &(usize, &PartQuarantine)| {
            !self.cut.contains(place) && host.find_quarantined(self.now, parts).is_none()
        };
        self.hosts.iter().enumerate().filter(sends).count()
    }
}

/// Guards against hosts that know only the crashes that they saw themselves: each of five hosts
/// sees one, and all must refuse the part in time, with and without lost datagrams.
#[test]
fn crashes_seen_by_five_hosts_bind_all() {
    for (count, limit) in [(9, 3_000), (69, 4_000), (295, 5_000), (2_000, 5_000)] {
        for (seed, loss_percent) in [(1, 0), (2, 0), (3, 10), (4, 30)] {
            let mut fleet = QuarantineFleet::new(count, loss_percent, seed);
            for number in 0..5 {
                let host = fleet.rng.usize(0..count);
                fleet.crash(host, number, &[SHARED, BAD]);
                fleet.run(Duration::from_millis(400));
                let host = fleet.rng.usize(0..count);
                fleet.answer(host, &[SHARED]);
            }
            fleet.run(Duration::from_millis(limit));
            assert_eq!(fleet.sending(&[SHARED, BAD]), 0, "{count} hosts, {loss_percent}% lost");
            assert_eq!(fleet.sending(&[SHARED]), count, "the shared part is sent on");
        }
    }
}

/// Guards against a host that comes back, restarted or from a partition, and sends what the others
/// refuse.
#[test]
fn returning_host_learns_of_the_quarantine() {
    for count in [9, 295] {
        let mut fleet = QuarantineFleet::new(count, 0, 5);
        let (member, standby) = (3, count - 1);
        fleet.cut = vec![member, standby];
        for number in 0..5 {
            fleet.crash(number as usize * 2, number, &[BAD]);
            fleet.run(Duration::from_millis(400));
        }
        fleet.run(Duration::from_secs(60));
        assert_eq!(fleet.sending(&[BAD]), 0);
        fleet.cut.clear();
        fleet.hosts[0] = PartQuarantine::default();
        fleet.run(Duration::from_millis(1_500));
        assert_eq!(fleet.sending(&[BAD]), 0, "{count} hosts");
    }
}

/// Guards against blame by one host for a part that another one serves well: few requests have the
/// part, and those of one host meet engines that end for other reasons.
#[test]
fn answer_at_one_host_speaks_for_the_part_at_all() {
    let mut fleet = QuarantineFleet::new(9, 0, 6);
    fleet.answer(7, &[SHARED]);
    fleet.run(Duration::from_secs(30));
    for number in 0..4 {
        fleet.crash(2, number, &[SHARED]);
        fleet.run(Duration::from_millis(500));
    }
    assert_eq!(fleet.sending(&[SHARED]), 9);
}

/// Reports cost nothing while nothing is suspect, and few datagrams after a crash.
#[test]
fn hosts_agree_soon_and_then_exchange_nothing() {
    let mut fleet = QuarantineFleet::new(64, 0, 7);
    for number in 0..6 {
        fleet.crash(number as usize, number, &[SHARED, BAD]);
        fleet.run(Duration::from_millis(300));
    }
    fleet.run(Duration::from_secs(3));
    let digests: std::collections::BTreeSet<_> =
        fleet.hosts.iter().map(PartQuarantine::digest).collect();
    assert_eq!(digests.len(), 1);
}
