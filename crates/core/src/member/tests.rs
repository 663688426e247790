//! Runs the member tables of several hosts in virtual time over a network with injected faults.

use super::*;
use crate::fixed_cases;

/// The tables of all hosts and the datagrams in flight between them.
struct TestNetwork {
    now: Time,
    tables: Vec<MemberTable>,
    is_up: Vec<bool>,
    queue: BTreeMap<(Time, u64), (usize, MemberMessage)>,
    sent: u64,
    sent_by: Vec<u64>,
    rng: fastrand::Rng,
    /// Percentage of datagrams lost, percentage duplicated, and maximum delay in milliseconds.
    faults: (u8, u8, u64),
    /// Whether datagrams get through from one host to another.
    link: fn(usize, usize) -> bool,
    declared_dead: u64,
}

fn record(index: usize, regions: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: format!("host-{index}").into(),
        region: format!("region-{}", index % regions).into(),
        failure_domain: format!("domain-{}", index % 9).into(),
        address: format!("10.0.0.1:{index}").into(),
        peer_address: format!("{index}").into(),
        capacity: 1,
        incarnation,
        state: MemberState::Alive,
    }
}

impl TestNetwork {
    fn new(hosts: usize, regions: usize, seed: u64) -> TestNetwork {
        let seeds: Vec<Arc<str>> = (0..3).map(|index| format!("{index}").into()).collect();
        let table = |index| {
            let rng = fastrand::Rng::with_seed(seed ^ ((index as u64 + 1) << 32));
            MemberTable::new(record(index, regions, 1), seeds.clone(), rng)
        };
        TestNetwork {
            now: Time::ZERO,
            tables: (0..hosts).map(table).collect(),
            is_up: vec![true; hosts],
            queue: BTreeMap::new(),
            sent: 0,
            sent_by: vec![0; hosts],
            rng: fastrand::Rng::with_seed(seed),
            faults: (0, 0, 5),
            link: |_, _| true,
            declared_dead: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + MEMBER_TICK;
            while let Some(((at, _), _)) = self.queue.first_key_value()
                && *at <= self.now
            {
                let ((at, _), (to, message)) = self.queue.pop_first().expect("seen above");
                if self.is_up[to] {
                    self.step(at, to, MemberInput::Received(message));
                }
            }
            for index in 0..self.tables.len() {
                if self.is_up[index] {
                    self.step(self.now, index, MemberInput::Tick);
                }
            }
        }
    }

    fn step(&mut self, at: Time, index: usize, input: MemberInput) {
        for output in self.tables[index].step(at, input) {
            match output {
                MemberOutput::Send { to, message } => {
                    let to = to.parse().expect("test addresses are numbers");
                    self.post(at, index, to, message);
                }
                MemberOutput::DeclaredDead => self.declared_dead += 1,
                _ => {}
            }
        }
    }

    fn post(&mut self, at: Time, from: usize, to: usize, message: MemberMessage) {
        let (lost, doubled, delay) = self.faults;
        self.sent_by[from] += 1;
        let copies = 1 + u32::from(self.rng.u8(..100) < doubled);
        for _ in 0..copies {
            if self.rng.u8(..100) < lost || !(self.link)(from, to) {
                continue;
            }
            self.sent += 1;
            let at = at + Duration::from_micros(self.rng.u64(500..=delay.max(1) * 1000));
            self.queue.insert((at, self.sent), (to, message.clone()));
        }
    }

    fn restart(&mut self, index: usize, regions: usize, incarnation: u64) {
        let seeds = vec!["0".into(), "1".into(), "2".into()];
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        self.tables[index] = MemberTable::new(record(index, regions, incarnation), seeds, rng);
        self.is_up[index] = true;
    }

    fn state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        self.tables[viewer].get(&format!("host-{subject}")).map(|record| record.state)
    }

    /// Number of pairs of a running host and another host whose state it sees differently than
    /// `expected`.
    fn wrong(&self, expected: impl Fn(usize) -> MemberState) -> usize {
        let hosts = self.tables.len();
        let pairs = (0..hosts).filter(|viewer| self.is_up[*viewer]).flat_map(|viewer| {
            (0..hosts).filter(move |subject| *subject != viewer).map(move |s| (viewer, s))
        });
        pairs.filter(|(viewer, s)| self.state(*viewer, *s) != Some(expected(*s))).count()
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a new host that only ever knows its seeds.
#[test]
fn views_fill_from_seeds() {
    let mut network = TestNetwork::new(60, 3, 1);
    network.run(seconds(20));
    assert_eq!(network.wrong(|_| MemberState::Alive), 0);
}

/// Guards against a restarted host that gossips every record of the view that it has just received.
#[test]
fn received_view_is_not_gossiped() {
    let mut network = TestNetwork::new(60, 1, 8);
    network.run(seconds(60));
    network.restart(9, 1, 50);
    network.run(seconds(8));
    assert!(network.tables[9].all().count() == 60);
    let sent = network.sent_by[9];
    network.run(seconds(10));
    let sent = network.sent_by[9] - sent;
    assert!(sent < 40, "{sent} datagrams in 10 s");
}

/// Guards against a dead host that some hosts still see as alive, and against live hosts declared
/// dead along with it.
#[test]
fn dead_host_is_detected_by_all_hosts() {
    let mut network = TestNetwork::new(32, 1, 2);
    network.run(seconds(20));
    network.is_up[7] = false;
    network.run(seconds(12));
    let expected = |s| if s == 7 { MemberState::Dead } else { MemberState::Alive };
    assert_eq!(network.wrong(expected), 0);
}

/// Guards against suspicion of a host that only one other host cannot reach.
#[test]
fn indirect_probe_saves_host_behind_one_broken_link() {
    let mut network = TestNetwork::new(12, 1, 3);
    network.run(seconds(10));
    network.link = |from, to| (from, to) != (0, 1) && (from, to) != (1, 0);
    for _ in 0..60 {
        network.run(seconds(1));
        assert_eq!(network.wrong(|_| MemberState::Alive), 0);
    }
}

/// Guards against a paused host that stays dead after it resumes, never learns that it was declared
/// dead, or itself suspects the other hosts.
#[test]
fn paused_host_returns_with_higher_incarnation() {
    let mut network = TestNetwork::new(20, 1, 4);
    network.run(seconds(10));
    network.is_up[5] = false;
    network.run(seconds(30));
    assert_eq!(network.state(0, 5), Some(MemberState::Dead));
    network.is_up[5] = true;
    network.run(seconds(30));
    assert_eq!(network.wrong(|_| MemberState::Alive), 0);
    assert!(network.declared_dead >= 1);
    let refuted = |table: &&MemberTable| table.local().incarnation > 1;
    let refuted: Vec<_> = network.tables.iter().filter(refuted).map(MemberTable::local).collect();
    assert_eq!(refuted, [network.tables[5].local()], "the paused host suspected others");
}

/// Guards against a host that loses its link and, once it is back, gossips that all others are
/// dead.
#[test]
fn isolated_host_does_not_spread_its_suspicions() {
    let mut network = TestNetwork::new(20, 1, 5);
    network.run(seconds(10));
    network.link = |from, to| from != 5 && to != 5;
    network.run(seconds(60));
    network.link = |_, _| true;
    let incarnations = |network: &TestNetwork| -> Vec<u64> {
        network.tables.iter().map(|table| table.local().incarnation).collect()
    };
    network.run(seconds(40));
    assert_eq!(network.wrong(|_| MemberState::Alive), 0);
    let refuted = incarnations(&network).iter().filter(|incarnation| **incarnation > 1).count();
    // The isolated host itself, and those it suspected before it noticed its isolation.
    assert!(refuted <= 1 + 3, "{refuted} hosts had to refute");
}

/// Guards against a region whose hosts are declared dead when only the links to it are down: each
/// would have to refute, and their calls would be treated as those of dead hosts.
#[test]
fn lost_region_is_unreachable_and_comes_back() {
    for (hosts, seed) in [(30, 6), (90, 7), (150, 8)] {
        let mut network = TestNetwork::new(hosts, 3, seed);
        network.run(seconds(30));
        network.link = |from, to| (from % 3 == 2) == (to % 3 == 2);
        for _ in 0..12 {
            network.run(seconds(5));
            let pairs = (0..hosts).flat_map(|viewer| (0..hosts).map(move |it| (viewer, it)));
            let dead = pairs.filter(|(v, s)| network.state(*v, *s) == Some(MemberState::Dead));
            assert_eq!(dead.count(), 0, "{hosts} hosts at {:?}", network.now);
        }
        let other_side = (0..hosts).filter(|s| s % 3 != 2);
        let states: BTreeSet<_> = other_side.map(|s| network.state(2, s)).collect();
        assert_eq!(states, [Some(MemberState::Unreachable)].into());
        network.link = |_, _| true;
        network.run(seconds(90));
        assert_eq!(network.wrong(|_| MemberState::Alive), 0);
        assert_eq!(network.declared_dead, 0);
    }
}

/// Guards against hosts declared dead or unreachable by a region that has lost its link to them,
/// although a third region reaches both.
#[test]
fn broken_link_between_two_regions_is_bridged_by_the_third() {
    let mut network = TestNetwork::new(60, 3, 9);
    network.run(seconds(30));
    network.link = |from, to| !matches!((from % 3, to % 3), (0, 1) | (1, 0));
    for _ in 0..30 {
        network.run(seconds(4));
        let gone = (0..60).flat_map(|viewer| (0..60).map(move |it| (viewer, it)));
        let gone = gone.filter(|(v, s)| network.state(*v, *s) >= Some(MemberState::Unreachable));
        assert_eq!(gone.count(), 0, "at {:?}", network.now);
    }
}

/// Guards against a draining host that still gets work because other hosts learn of it too late.
#[test]
fn draining_is_known_within_five_seconds() {
    let mut network = TestNetwork::new(40, 1, 7);
    network.run(seconds(15));
    network.step(network.now, 3, MemberInput::Drain);
    network.run(seconds(5));
    let expected = |s| if s == 3 { MemberState::Draining } else { MemberState::Alive };
    assert_eq!(network.wrong(expected), 0);
}

/// Guards against a live host that stays dead in some view, and against views that don't converge
/// after loss, duplication, reordering, delay, pauses and restarts.
#[test]
fn views_converge_after_any_faults() {
    fixed_cases(60, |u| {
        let mut network = TestNetwork::new(u.int_in_range(3..=14)?, 2, u.arbitrary()?);
        let hosts = network.tables.len();
        network.run(seconds(8));
        let mut incarnation = 1;
        for _ in 0..u.int_in_range(1..=6)? {
            let host = u.choose_index(hosts)?;
            network.faults =
                (u.int_in_range(0..=40)?, u.int_in_range(0..=20)?, u.int_in_range(1..=900)?);
            match u.int_in_range(0..=2)? {
                0 => network.is_up[host] = false,
                1 => {
                    incarnation += 100;
                    network.restart(host, 2, incarnation);
                }
                _ => network.is_up[host] = true,
            }
            network.run(seconds(u.int_in_range(1..=20)?));
        }
        network.faults = (0, 0, 5);
        network.is_up.fill(true);
        network.run(seconds(90));
        assert_eq!(network.wrong(|_| MemberState::Alive), 0);
        Ok(())
    });
}

/// Guards against an old or repeated datagram that is accepted, and against reordered ones that are
/// dropped.
#[test]
fn replayed_datagrams_are_rejected() {
    fixed_cases(500, |u| {
        let mut filter = ReplayFilter::default();
        let sender: Arc<str> = "a".into();
        let mut accepted = BTreeSet::new();
        let mut newest = 0;
        for _ in 0..100 {
            let (incarnation, sequence) = (u.int_in_range(1..=3)?, u.int_in_range(0..=600)?);
            let is_new = accepted.insert((incarnation, sequence));
            let is_accepted = filter.accept(&sender, incarnation, sequence);
            assert!(!is_accepted || (is_new && incarnation >= newest));
            if !is_accepted {
                accepted.remove(&(incarnation, sequence));
                accepted.extend((!is_new).then_some((incarnation, sequence)));
            }
            newest = newest.max(incarnation);
        }
        assert!(filter.accept(&sender, 4, 100));
        assert!(filter.accept(&sender, 4, 90), "a reordered datagram was dropped");
        assert!(!filter.accept(&sender, 4, 90));
        Ok(())
    });
}
