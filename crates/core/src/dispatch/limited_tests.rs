//! A simulated fleet of hosts before servers that limit the rate of requests, with delayed and lost
//! datagrams.

use super::{tests::*, *};
use crate::{
    fleet::{LimitNotice, RequestRate, ServerNotice},
    permit::{PermitIssuer, PermitReply, PermitRequest},
    refusal::Reason,
    work::WorkUpdate,
};

const DATAGRAM_DELAY: Duration = Duration::from_millis(2);
const SERVE_TIME: Duration = Duration::from_millis(20);
const REPORT_PERIOD: Duration = Duration::from_millis(700);
const MEMBERS: usize = 32;
/// Time without heartbeats after which the hosts regard a member as dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_400);
/// Time from the first response that names a limit until the limit binds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a host may go on after it received a response that names a limit.
const HOST_GRACE: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);

enum SimEvent {
    Caller,
    Tick(usize),
    Request { issuer: usize, host: usize, request: PermitRequest },
    Reply { host: usize, reply: PermitReply },
    Response { host: usize, number: WorkNumber, engine: EngineTag, sent: Time },
    Reports(usize),
    Work { from: usize, host: usize, update: WorkUpdate },
}

struct SimFleet {
    now: Time,
    hosts: Vec<Dispatcher>,
    issuers: Vec<PermitIssuer>,
    /// Issuer that is down, and from when until when.
    dead: (usize, Time, Time),
    /// Hosts that callers use.
    used_hosts: usize,
    call_period: Duration,
    /// Probability that a datagram is lost.
    loss: f64,
    rate: f64,
    events: BTreeMap<(Time, u64), SimEvent>,
    /// Hosts with a scheduled tick.
    ticking: BTreeSet<usize>,
    event_count: u64,
    rng: fastrand::Rng,
    arrivals: BTreeMap<EngineTag, Vec<(Time, usize)>>,
    told: BTreeMap<(usize, EngineTag), Time>,
    refusals: Vec<(Duration, Duration)>,
    submitted: BTreeMap<(usize, WorkNumber), Time>,
    calls: u32,
    datagrams: u32,
}

impl SimFleet {
    fn new(seed: u64, hosts: usize, used_hosts: usize, servers: usize, rate: f64) -> SimFleet {
        let mut fleet = SimFleet {
            now: at(0),
            hosts: (0..hosts).map(|_| dispatcher(0, servers)).collect(),
            issuers: (0..hosts.min(MEMBERS)).map(|_| PermitIssuer::default()).collect(),
            dead: (0, at(0), at(0)),
            used_hosts,
            call_period: Duration::from_millis(5),
            loss: 0.02,
            rate,
            events: BTreeMap::new(),
            ticking: BTreeSet::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            arrivals: BTreeMap::new(),
            told: BTreeMap::new(),
            refusals: Vec::new(),
            submitted: BTreeMap::new(),
            calls: 0,
            datagrams: 0,
        };
        fleet.schedule(Duration::ZERO, SimEvent::Caller);
        for host in 0..hosts {
            let first = REPORT_PERIOD.mul_f64(fleet.rng.f64());
            fleet.schedule(first, SimEvent::Reports(host));
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn send(&mut self, event: SimEvent) {
        self.datagrams += 1;
        if self.rng.f64() >= self.loss {
            self.schedule(DATAGRAM_DELAY, event);
        }
    }

    /// The member that the hosts take for the issuer, without one that has been silent for some time.
    fn issuer(&self, request: &PermitRequest) -> usize {
        let is_silent =
            |issuer: &usize| self.is_dead(*issuer) && self.now >= self.dead.1 + SILENCE_LIMIT;
        let members: Vec<_> = (0..self.issuers.len()).filter(|issuer| !is_silent(issuer)).collect();
        let first = request.server.0 as usize % self.issuers.len();
        let first = members.iter().position(|issuer| *issuer >= first).unwrap_or(0);
        members[(first + usize::from(request.to_substitute)) % members.len()]
    }

    fn is_dead(&self, issuer: usize) -> bool {
        self.dead.0 == issuer && self.now >= self.dead.1 && self.now < self.dead.2
    }

    fn run(&mut self, until: Time) {
        while let Some((key, event)) = self.events.pop_first() {
            if key.0 > until {
                self.events.insert(key, event);
                break;
            }
            self.now = key.0;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Caller => {
                let host = self.rng.usize(0..self.used_hosts);
                self.calls += 1;
                let number = WorkNumber(self.calls);
                self.submitted.insert((host, number), self.now);
                let input = DispatchInput::Submit {
                    number,
                    service: "records".into(),
                    demand: demand("records", 0, 0, 300, 0, 1),
                    arrived: self.now,
                    deadline: self.now + Duration::from_secs(3),
                    excluded: Vec::new(),
                };
                self.step(host, input);
                if self.ticking.insert(host) {
                    self.schedule(TICK_PERIOD, SimEvent::Tick(host));
                }
                self.schedule(self.call_period, SimEvent::Caller);
            }
            SimEvent::Tick(host) => {
                self.step(host, DispatchInput::Tick);
                if self.hosts[host].waiting_count() > 0 {
                    self.schedule(TICK_PERIOD, SimEvent::Tick(host));
                } else {
                    self.ticking.remove(&host);
                }
            }
            SimEvent::Request { issuer, host, request } if !self.is_dead(issuer) => {
                let reply = self.issuers[issuer].issue(self.now, &request, 1.0);
                self.send(SimEvent::Reply { host, reply });
            }
            SimEvent::Request { .. } => {}
            SimEvent::Reply { host, reply } => {
                self.step(host, DispatchInput::PermitsIssued(reply));
            }
            SimEvent::Response { host, number, engine, sent } => {
                self.told.entry((host, engine)).or_insert(self.now);
                let limit = LimitNotice::Rate(RequestRate::from_per_second(self.rate).unwrap());
                let notice = ServerNotice { limit, ..ServerNotice::default() };
                self.step(host, DispatchInput::NoticeReceived { engine, sent, notice });
                self.step(host, DispatchInput::RequestEnded(number));
            }
            SimEvent::Reports(host) => {
                let members = self.issuers.len();
                let reports = self.hosts[host].fleet.limit_reports(self.now, 8, false);
                // Members send their reports to one another, others exchange them with a member.
                let is_member = host < members;
                let polled = self.rng.usize(0..members);
                for member in (0..members).filter(|member| is_member || *member == polled) {
                    self.step(member, DispatchInput::LimitsReported(reports.clone()));
                }
                let reports = self.hosts[polled].fleet.limit_reports(self.now, 8, false);
                self.step(host, DispatchInput::LimitsReported(reports));
                self.schedule(REPORT_PERIOD, SimEvent::Reports(host));
                if self.issuers.len() == self.hosts.len() {
                    for update in self.hosts[host].work_view.snapshot(self.now, 16) {
                        for peer in (0..self.hosts.len()).filter(|peer| *peer != host) {
                            let (from, update) = (host, update.clone());
                            self.schedule(
                                DATAGRAM_DELAY,
                                SimEvent::Work { from, host: peer, update },
                            );
                        }
                    }
                }
            }
            SimEvent::Work { from, host, update } => {
                let peer = HostTag(1_000 + from as u64);
                let (incarnation, estimates) = (1, Vec::new());
                self.step(
                    host,
                    DispatchInput::PeerUpdate { host: peer, incarnation, update, estimates },
                );
            }
        }
    }

    /// Tells the others of the host's work, where few hosts make this cheap.
    fn share_work(&mut self, from: usize) {
        let shares_work = self.issuers.len() == self.hosts.len();
        let view = &mut self.hosts[from].work_view;
        if !shares_work || !view.has_changes() {
            return;
        }
        let update = view.take_changes(self.now);
        for host in (0..self.hosts.len()).filter(|host| *host != from) {
            if self.rng.f64() >= self.loss {
                let update = update.clone();
                self.schedule(DATAGRAM_DELAY, SimEvent::Work { from, host, update });
            }
        }
    }

    fn step(&mut self, host: usize, input: DispatchInput) {
        for output in self.hosts[host].step(self.now, input) {
            match output {
                DispatchOutput::Assign { number, engine, .. } => {
                    self.arrivals.entry(engine).or_default().push((self.now, host));
                    let sent = self.now;
                    let response = SimEvent::Response { host, number, engine, sent };
                    self.schedule(SERVE_TIME, response);
                }
                DispatchOutput::Refuse { number, reason, retry_after, .. } => {
                    assert_eq!(reason, Reason::Overloaded);
                    let waited = self.now.since(self.submitted[&(host, number)]);
                    self.refusals.push((waited, retry_after));
                }
                DispatchOutput::RequestPermits(request) => {
                    let issuer = self.issuer(&request);
                    self.send(SimEvent::Request { issuer, host, request });
                }
                _ => {}
            }
        }
        self.share_work(host);
    }

    /// Most requests to one server in a window, from hosts that it had told of its limit.
    fn peak(&self) -> usize {
        let peak = |(engine, arrivals): (&EngineTag, &Vec<(Time, usize)>)| {
            let bound_from = arrivals[0].0 + SETTLE_TIME;
            let is_bound = |(at, host): &&(Time, usize)| {
                let told = self.told.get(&(*host, *engine));
                *at >= bound_from && told.is_some_and(|told| *at >= *told + HOST_GRACE)
            };
            let bound: Vec<_> = arrivals.iter().filter(is_bound).map(|(at, _)| *at).collect();
            let count = |from: &Time| {
                bound.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count()
            };
            bound.iter().map(count).max().unwrap_or_default()
        };
        self.arrivals.iter().map(peak).max().unwrap_or_default()
    }

    fn served(&self, from: Time) -> usize {
        let is_counted = |(at, _): &&(Time, usize)| *at >= from;
        self.arrivals.values().flatten().filter(is_counted).count()
    }
}

/// Guards against a limit that each host applies alone, that races between hosts exceed, or that is
/// shared out so thinly that nobody can use it.
#[test]
fn limit_holds_and_is_used_by_few_or_many_hosts() {
    for (hosts, used_hosts) in [(9, 9), (9, 1), (2_000, 64), (2_000, 2_000), (2_000, 1)] {
        for rate in [0.5, 2.0, 10.0] {
            let case = format!("{used_hosts} of {hosts} hosts, {rate} a second");
            let mut fleet =
                SimFleet::new(hosts as u64 + used_hosts as u64, hosts, used_hosts, 4, rate);
            // Twice as many requests as the servers take.
            fleet.call_period = Duration::from_secs_f64(1.0 / (8.0 * rate));
            fleet.run(at(30_000));
            let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
            assert!(fleet.peak() as f64 <= allowed, "{case}: {} in 4 s", fleet.peak());
            let share = fleet.served(at(10_000)) as f64 / (4.0 * rate * 20.0);
            assert!(share >= 0.7, "{case}: {share:.2} of the limit used");
            assert!(share <= 1.3, "{case}: {share:.2} of the limit used");
        }
    }
}

/// Guards against a limit that is exceeded because lost replies make hosts ask the substitute too.
#[test]
fn limit_holds_while_datagrams_get_lost() {
    for (loss, seed) in [(0.1, 1), (0.3, 2), (0.5, 3)] {
        let mut fleet = SimFleet::new(seed, 9, 9, 4, 10.0);
        fleet.loss = loss;
        fleet.run(at(30_000));
        let allowed = 1.5 * 10.0 * WINDOW.as_secs_f64() + 5.0;
        assert!(fleet.peak() as f64 <= allowed, "{loss}: {} in 4 s", fleet.peak());
    }
}

/// Guards against callers that are held although no permit is expected in time, or that are all
/// told to return at the same moment.
#[test]
fn rest_is_refused_at_once_with_a_time_to_return() {
    let mut fleet = SimFleet::new(7, 9, 9, 4, 2.0);
    fleet.call_period = Duration::from_millis(10);
    fleet.run(at(20_000));
    assert!(fleet.refusals.len() > 1_000);
    let target = Duration::from_millis(300);
    for (waited, retry_after) in &fleet.refusals {
        assert!(*waited <= target + TICK_PERIOD, "{waited:?}");
        assert!(!retry_after.is_zero());
    }
    let at_once = fleet.refusals.iter().filter(|(waited, _)| *waited < TICK_PERIOD).count();
    assert!(at_once * 2 > fleet.refusals.len(), "{at_once} of {}", fleet.refusals.len());
}

/// Guards against a server that gets nothing, or twice its limit, after the host that issues its
/// permits died, and when that host returns.
#[test]
fn death_of_an_issuer_neither_starves_nor_exceeds_a_limit() {
    for dead in 0..9 {
        let mut fleet = SimFleet::new(dead as u64, 9, 9, 4, 3.0);
        fleet.run(at(8_000));
        fleet.dead = (dead, at(8_000), at(13_000));
        fleet.run(at(9_000));
        let before = fleet.served(at(0));
        fleet.run(at(13_000));
        let share = (fleet.served(at(0)) - before) as f64 / (4.0 * 3.0 * 4.0);
        assert!(share >= 0.6, "{share:.2} of the limit used while host {dead} is down");
        fleet.issuers[dead] = PermitIssuer::default();
        fleet.run(at(20_000));
        let allowed = 1.5 * 3.0 * WINDOW.as_secs_f64() + 5.0;
        assert!(fleet.peak() as f64 <= allowed, "{} in 4 s", fleet.peak());
    }
}

/// Guards against control traffic that grows with the callers or hosts instead of the limit.
#[test]
fn permits_cost_few_datagrams() {
    let datagrams = |hosts: usize, call_period: Duration| {
        let mut fleet = SimFleet::new(3, hosts, hosts.min(64), 4, 10.0);
        fleet.call_period = call_period;
        fleet.run(at(10_000));
        f64::from(fleet.datagrams) / 10.0
    };
    let (few, many) =
        (datagrams(9, Duration::from_millis(10)), datagrams(64, Duration::from_millis(1)));
    // Four servers with ten permits a second: two datagrams for each permit, and as many again for
    // two denials of each host and server in a second.
    assert!(few <= 2.0 * 40.0 + 2.0 * 2.0 * 9.0 * 4.0, "{few} datagrams a second");
    assert!(many <= 2.0 * 40.0 + 2.0 * 2.0 * 64.0 * 4.0, "{many} datagrams a second");
}

/// Guards against a limited server that is passed over while the others are full, and against one
/// that is preferred to free ones.
#[test]
fn rest_goes_to_other_servers_first() {
    let mut dispatcher = dispatcher(0, 2);
    let engine = dispatcher.fleet.iter().next().unwrap().0;
    let limit = LimitNotice::Rate(RequestRate::from_per_second(1.0).unwrap());
    let notice = ServerNotice { limit, ..ServerNotice::default() };
    dispatcher.step(at(0), DispatchInput::NoticeReceived { engine, sent: at(0), notice });
    let mut assigned = Vec::new();
    for number in 1..=6 {
        let input = DispatchInput::Submit {
            number: WorkNumber(number),
            service: "records".into(),
            demand: demand("records", 0, 0, 300, 0, 1),
            arrived: at(0),
            deadline: at(3_000),
            excluded: Vec::new(),
        };
        let mut outputs = dispatcher.step(at(0), input);
        while let Some(output) = outputs.pop() {
            match output {
                DispatchOutput::Assign { engine, .. } => assigned.push(engine),
                DispatchOutput::RequestPermits(request) => {
                    let reply = PermitReply {
                        server: request.server,
                        number: request.number,
                        issued: 0,
                        next_us: 700_000,
                    };
                    outputs.extend(dispatcher.step(at(0), DispatchInput::PermitsIssued(reply)));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(assigned.len(), 6, "the other server takes them all");
    assert!(!assigned.contains(&engine));
}

/// Guards against a limited server that nobody uses while a long prompt of a peer waits, which
/// needs several idle engines and gets no permit.
#[test]
fn waiting_long_prompt_of_a_peer_holds_no_permit_back() {
    for (prompt, is_held_back) in [(5_000, true), (600_000, false)] {
        let mut dispatcher = dispatcher(1, 0);
        let engine = dispatcher.fleet.iter().next().unwrap().0;
        let limit = LimitNotice::Rate(RequestRate::from_per_second(1.0).unwrap());
        let notice = ServerNotice { limit, ..ServerNotice::default() };
        dispatcher.step(at(0), DispatchInput::NoticeReceived { engine, sent: at(0), notice });
        let entry = WorkEntry {
            demand: demand(SERVICE, prompt, 800, 6_000, 800, 0),
            phase: WorkPhase::Waiting,
            start_tag_us: 0,
            engines: Vec::new(),
            arrived: Time(0),
            phase_start: Time(0),
        };
        let update = WorkUpdate {
            covered_range: None,
            entries: vec![(WorkNumber(1), entry)],
            ended: Vec::new(),
        };
        let (host, incarnation, estimates) = (HostTag(9), 1, Vec::new());
        dispatcher.step(at(0), DispatchInput::PeerUpdate { host, incarnation, update, estimates });
        let demand = demand(SERVICE, 5_000, 800, 1_000, 200, 1);
        let outputs = submit(&mut dispatcher, at(0), 2, demand, 10_000);
        let requests =
            |output: &DispatchOutput| matches!(output, DispatchOutput::RequestPermits(_));
        assert_eq!(!outputs.iter().any(requests), is_held_back, "{prompt}: {outputs:?}");
    }
}
