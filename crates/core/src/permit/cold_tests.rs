//! A simulated group of members that share a cold engine, while hosts die, restart and are cut off
//! from one another. The engine stays reachable for all of them.

use arbtest::arbitrary::{Result, Unstructured};

use super::{
    tests::{SERVER, at},
    *,
};
use crate::roster::{HEARTBEAT_PERIOD, HostInfo, PeerRoster, tests::info};

/// Time from the start of the hosts, after which they know one another, to that of the cold time.
const COLD_START_MS: u64 = 4_000;
/// Times between which hosts die and are cut off.
const DISTURBED_MS: (u64, u64) = (7_000, 11_000);
/// Time by which the last host is back and permits are issued in full again.
const RECOVERED_MS: u64 = 15_000;
const END_MS: u64 = 18_000;
const TICK: Duration = Duration::from_millis(20);
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);

enum SimEvent {
    Heartbeat(usize),
    Tick(usize),
    Heard {
        host: usize,
        info: HostInfo,
    },
    Request {
        host: usize,
        issuer: usize,
        request: PermitRequest,
    },
    Reply {
        host: usize,
        reply: PermitReply,
    },
    /// From now on a host is down, or up and cut off from all but those of its side.
    Fault {
        host: usize,
        is_down: bool,
        side: usize,
    },
}

struct SimHost {
    info: HostInfo,
    roster: PeerRoster,
    issuer: PermitIssuer,
    holder: PermitHolder,
    /// Most permits that are wanted at once; 0 without callers.
    wanted: u8,
    is_down: bool,
    side: usize,
}

struct SimGroup {
    now: Time,
    hosts: Vec<SimHost>,
    events: BTreeMap<(Time, u64), SimEvent>,
    event_count: u64,
    rng: fastrand::Rng,
    rate: RequestRate,
    /// Probability that a datagram is lost.
    loss: f64,
    /// Longest time for which a host keeps a permit until its request arrives, in milliseconds.
    latency_ms: u64,
    arrivals: Vec<Time>,
}

impl SimGroup {
    fn new(seed: u64, count: u16, rate: RequestRate) -> SimGroup {
        let host = |port: u16| SimHost {
            info: info(&format!("h{port}"), port, 1, true),
            roster: PeerRoster::new(at(0)),
            issuer: PermitIssuer::default(),
            holder: PermitHolder::default(),
            wanted: 0,
            is_down: false,
            side: 0,
        };
        let mut group = SimGroup {
            now: at(0),
            hosts: (1..=count).map(host).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            rate,
            loss: 0.0,
            latency_ms: 0,
            arrivals: Vec::new(),
        };
        for host in 0..group.hosts.len() {
            let phase = group.rng.f64();
            group.schedule(HEARTBEAT_PERIOD.mul_f64(phase), SimEvent::Heartbeat(host));
            let first = Duration::from_millis(COLD_START_MS) + TICK.mul_f64(phase);
            group.schedule(first, SimEvent::Tick(host));
        }
        group
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn send(&mut self, from: usize, to: usize, event: SimEvent) {
        let is_passed = self.hosts[from].side == self.hosts[to].side && self.rng.f64() >= self.loss;
        if is_passed {
            let delay = DATAGRAM_DELAY.mul_f64(self.rng.f64() + 0.5);
            self.schedule(delay, event);
        }
    }

    fn run(&mut self) {
        while let Some(((now, _), event)) =
            self.events.pop_first().filter(|one| one.0.0 < at(END_MS))
        {
            self.now = now;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Heartbeat(host) => {
                self.schedule(HEARTBEAT_PERIOD, SimEvent::Heartbeat(host));
                if self.hosts[host].is_down {
                    return;
                }
                self.observe(host);
                let info = self.hosts[host].info.clone();
                for to in (0..self.hosts.len()).filter(|to| *to != host) {
                    self.send(host, to, SimEvent::Heard { host: to, info: info.clone() });
                }
            }
            SimEvent::Tick(host) => {
                self.schedule(TICK, SimEvent::Tick(host));
                self.use_permits(host);
            }
            SimEvent::Heard { host, info } if !self.hosts[host].is_down => {
                self.hosts[host].roster.record_heartbeat(now, info);
                self.hosts[host].roster.confirm_member(now);
            }
            SimEvent::Request { host, issuer, request } if !self.hosts[issuer].is_down => {
                let reply = self.issue(issuer, &request);
                self.send(issuer, host, SimEvent::Reply { host, reply });
            }
            SimEvent::Reply { host, reply } if !self.hosts[host].is_down => {
                self.hosts[host].holder.record_reply(now, &reply, true);
                self.use_permits(host);
            }
            SimEvent::Fault { host, is_down, side } => {
                let host = &mut self.hosts[host];
                if host.is_down && !is_down {
                    // A new process, which knows nothing.
                    host.roster = PeerRoster::new(now);
                    (host.issuer, host.holder) = Default::default();
                    host.info.incarnation += 1;
                }
                (host.is_down, host.side) = (is_down, side);
            }
            _ => {}
        }
    }

    fn observe(&mut self, host: usize) {
        let SimHost { roster, issuer, .. } = &mut self.hosts[host];
        issuer.observe_members(self.now, roster.member_view(self.now));
    }

    fn issue(&mut self, host: usize, request: &PermitRequest) -> PermitReply {
        self.observe(host);
        let SimHost { info, roster, issuer, .. } = &mut self.hosts[host];
        let first = roster.permit_issuer(self.now, info, SERVER, false);
        let is_issuer = first.is_some_and(|(tag, _)| tag == info.tag());
        issuer.issue_cold(self.now, request, self.rate, is_issuer)
    }

    /// Sends the requests that a host has permits for, and requests more permits.
    fn use_permits(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.is_down || host.wanted == 0 {
            return;
        }
        while host.holder.state(now) == PermitState::Held {
            host.holder.take();
            self.arrivals.push(now + Duration::from_millis(self.rng.u64(0..=self.latency_ms)));
        }
        if host.holder.state(now) != PermitState::Missing {
            return;
        }
        let (number, to_substitute) = host.holder.begin_request(now);
        let (wanted, rate) = (host.wanted, self.rate);
        let (server, started_ms, rate_age_us) = (SERVER, 1, 0);
        let request =
            PermitRequest { server, started_ms, number, to_substitute, wanted, rate, rate_age_us };
        let issuer = host.roster.permit_issuer(now, &host.info, SERVER, to_substitute);
        let Some((tag, _)) = issuer else { return };
        let issuer = self.hosts.iter().position(|host| host.info.tag() == tag).unwrap();
        if issuer == index {
            let reply = self.issue(index, &request);
            self.hosts[index].holder.record_reply(now, &reply, true);
            if reply.issued > 0 {
                self.use_permits(index);
            }
            return;
        }
        self.send(index, issuer, SimEvent::Request { host: index, issuer, request });
    }

    /// Most requests that arrive in any second.
    fn peak(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let arrivals = &self.arrivals;
        let count = |from: &Time| {
            let until = *from + Duration::from_secs(1);
            arrivals.partition_point(|at| *at < until) - arrivals.partition_point(|at| at < from)
        };
        arrivals.iter().map(count).max().unwrap_or_default()
    }

    /// Requests per second between two times.
    fn used(&self, from: u64, until: u64) -> f64 {
        let is_counted = |time: &&Time| **time >= at(from) && **time < at(until);
        self.arrivals.iter().filter(is_counted).count() as f64 * 1e3 / (until - from) as f64
    }
}

/// Adds up to four faults: hosts that die and restart, hosts that are cut off alone, and groups that
/// are cut off together.
fn disturb(group: &mut SimGroup, input: &mut Unstructured<'_>) -> Result<()> {
    for fault in 0..input.int_in_range(0..=4)? {
        let from = input.int_in_range(DISTURBED_MS.0..=DISTURBED_MS.1)?;
        let duration = input.int_in_range(50..=DISTURBED_MS.1 + 500 - from)?;
        let is_down: bool = input.arbitrary()?;
        let first = input.choose_index(group.hosts.len())?;
        let length = if is_down { 1 } else { input.int_in_range(1..=group.hosts.len() / 2)? };
        let count = group.hosts.len();
        for host in (first..first + length).map(|host| host % count) {
            for (time, is_down, side) in [(from, is_down, fault + 1), (from + duration, false, 0)] {
                let event = SimEvent::Fault { host, is_down, side };
                group.schedule(Duration::from_millis(time), event);
            }
        }
    }
    Ok(())
}

/// Guards against a cold engine that gets more than its bound in any second, whatever hosts die or
/// are cut off, and against one that is hardly used although callers wait.
#[test]
fn bound_of_a_cold_engine_is_never_exceeded() {
    crate::fixed_cases(1_000, |input| {
        let per_second = *input.choose(&[26.0, 26.0, 8.0, 60.0])?;
        let bound = ColdBound { over: 1.5, slack: 5.0 };
        let rate = bound.permit_rate(RequestRate::from_per_second(per_second).unwrap());
        let count = input.int_in_range(3..=10)?;
        let mut group = SimGroup::new(input.arbitrary()?, count, rate);
        let used_hosts = input.int_in_range(1..=group.hosts.len())?;
        for host in &mut group.hosts[..used_hosts] {
            host.wanted = *input.choose(&[1, 2, 16])?;
        }
        group.loss = *input.choose(&[0.0, 0.0, 0.02, 0.1])?;
        group.latency_ms = *input.choose(&[10, 10, 240])?;
        disturb(&mut group, input)?;
        group.run();
        let allowed = (per_second * bound.over + bound.slack) as usize;
        let peak = group.peak();
        assert!(peak <= allowed, "{peak} of {allowed} in a second, {count} hosts");
        // A host waits for a lost reply, so the use depends on the loss.
        for (from, until) in [(COLD_START_MS + 500, DISTURBED_MS.0), (RECOVERED_MS, END_MS)] {
            let used = group.used(from, until) / per_second;
            let is_used = group.loss > 0.0 || used >= 0.85;
            assert!(
                is_used,
                "{used:.2} of {per_second} from {from}, {used_hosts} of {count} hosts"
            );
        }
        Ok(())
    });
}

/// Guards against a bound that is too tight for the rate: permits are then issued more slowly.
#[test]
fn permit_rate_follows_a_tight_bound() {
    let rate = |over, slack| {
        let rate = RequestRate::from_per_second(26.0).unwrap();
        ColdBound { over, slack }.permit_rate(rate).per_second()
    };
    assert!((0.95 * 26.0..=26.0).contains(&rate(1.5, 5.0)));
    assert_eq!(rate(2.0, 5.0), 26.0);
    assert!((17.0..18.0).contains(&rate(1.0, 6.0)));
    assert_eq!(rate(0.0, 0.0), 0.1, "the least rate that is applied");
}
