//! Plays hosts that open connections to servers as their planners say, without a network.

use super::*;

/// Time between two connections of a host.
const CONNECT_PERIOD: Duration = Duration::from_millis(150);
const SERVERS: u64 = 17;

struct LinkedFleet {
    now: Time,
    planners: Vec<DetourPlanner>,
    /// Links from a host to a server that are cut.
    cut: Box<dyn Fn(usize, u64) -> bool>,
    /// Servers that accept no connection.
    down: Vec<u64>,
    /// Whether cut links are silent instead of refusing connections.
    is_silent: bool,
    asked: usize,
    rng: fastrand::Rng,
}

impl LinkedFleet {
    fn new(hosts: usize, is_silent: bool) -> LinkedFleet {
        LinkedFleet {
            now: Time(1_000_000_000),
            planners: (0..hosts).map(|_| DetourPlanner::default()).collect(),
            cut: Box::new(|_, _| false),
            down: Vec::new(),
            is_silent,
            asked: 0,
            rng: fastrand::Rng::with_seed(hosts as u64),
        }
    }

    fn reaches(&self, host: usize, server: u64) -> bool {
        !(self.cut)(host, server) && !self.down.contains(&server)
    }

    fn ask(&mut self, host: usize, server: u64) -> bool {
        let peers = (0..self.planners.len()).filter(|peer| *peer != host);
        let peers = peers.map(|peer| HostTag(peer as u64)).collect();
        let relays = self.planners[host].relays(self.now, peers, &mut self.rng);
        // While links are silent, the time allows for two peers.
        let limit = if self.is_silent { 2 } else { RELAY_LIMIT };
        for peer in relays.into_iter().take(limit) {
            self.asked += 1;
            let relay = peer.0 as usize;
            let result = match self.reaches(relay, server) {
                _ if self.planners[relay].is_cut() => RelayResult::Unavailable,
                true => RelayResult::Opened,
                false if self.is_silent => RelayResult::Unavailable,
                false => RelayResult::Unreachable,
            };
            self.planners[host].record_relay(self.now, peer, result);
            if result == RelayResult::Opened {
                self.planners[relay].record_opened(self.now, EngineTag(server));
                return true;
            }
        }
        false
    }

    /// Opens a connection. Returns whether that succeeds.
    fn connect(&mut self, host: usize, server: u64) -> bool {
        let (now, tag) = (self.now, EngineTag(server));
        let plan = self.planners[host].plan(now, tag);
        if plan == ConnectPlan::Relayed && self.ask(host, server) {
            return true;
        }
        if plan == ConnectPlan::Relayed && self.planners[host].is_cut() {
            return false;
        }
        if self.reaches(host, server) {
            self.planners[host].record_opened(now, tag);
            return true;
        }
        let may_ask = matches!(plan, ConnectPlan::Direct | ConnectPlan::Both);
        if may_ask && self.ask(host, server) {
            self.planners[host].record_detour(now, tag);
            return true;
        }
        self.planners[host].record_down(now, tag);
        false
    }

    /// Lets each host connect to servers for a while. Returns the least share that succeeds.
    fn run(&mut self, span: Duration) -> f64 {
        let end = self.now + span;
        let mut opened = vec![0; self.planners.len()];
        let mut rounds = 0;
        while self.now < end {
            self.now = self.now + CONNECT_PERIOD;
            rounds += 1;
            for (host, opened) in opened.iter_mut().enumerate() {
                let server = self.rng.u64(0..SERVERS);
                *opened += usize::from(self.connect(host, server));
                self.planners[host].expire(self.now);
            }
        }
        opened.into_iter().min().unwrap_or(0) as f64 / rounds as f64
    }

    fn plans(&mut self, host: usize) -> Vec<ConnectPlan> {
        (0..SERVERS).map(|server| self.planners[host].plan(self.now, EngineTag(server))).collect()
    }
}

/// Guards against hosts that reach no server while any peer does, and against detours that outlast
/// the cut.
#[test]
fn hosts_with_cut_links_connect_through_the_others() {
    for (hosts, cut) in [(2, 1), (9, 2), (9, 6), (9, 8), (69, 46)] {
        for is_silent in [false, true] {
            let mut fleet = LinkedFleet::new(hosts, is_silent);
            fleet.run(Duration::from_secs(2));
            fleet.cut = Box::new(move |host, _| host < cut);
            fleet.run(Duration::from_secs(3));
            assert!((0..cut).all(|host| fleet.planners[host].is_cut()), "{cut} of {hosts}");
            assert!(!fleet.planners[hosts - 1].is_cut());
            let share = fleet.run(Duration::from_secs(9));
            assert!(share > 0.95, "{cut} of {hosts}, silent {is_silent}: {share}");
            fleet.cut = Box::new(|_, _| false);
            fleet.run(Duration::from_secs(4));
            for host in 0..hosts {
                let plans = fleet.plans(host);
                let detours = plans.iter().filter(|plan| **plan == ConnectPlan::Relayed).count();
                assert!(!fleet.planners[host].is_cut() && detours == 0, "{host} of {hosts}");
            }
        }
    }
}

/// Guards against servers that are down and taken for cut links, and against peers that are asked
/// for each request.
#[test]
fn servers_that_are_down_cut_no_links() {
    for is_silent in [false, true] {
        let mut fleet = LinkedFleet::new(9, is_silent);
        fleet.down = (0..SERVERS / 2).collect();
        fleet.run(Duration::from_secs(10));
        assert!(fleet.planners.iter().all(|planner| !planner.is_cut()));
        // Each host asks each second about each server that is down.
        assert!(fleet.asked <= 10 * 9 * fleet.down.len() * RELAY_LIMIT, "{}", fleet.asked);
        fleet.down = (0..SERVERS).collect();
        assert_eq!(fleet.run(Duration::from_secs(5)), 0.0);
        fleet.down.clear();
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.run(Duration::from_secs(3)), 1.0);
    }
}

/// Guards against a host that gives up all of its links because of one.
#[test]
fn one_cut_link_puts_one_server_on_a_detour() {
    let mut fleet = LinkedFleet::new(3, false);
    fleet.cut = Box::new(|host, server| host == 0 && server == 5);
    assert_eq!(fleet.run(Duration::from_secs(10)), 1.0);
    let plans = fleet.plans(0);
    let is_direct =
        |(server, plan): (usize, &ConnectPlan)| (*plan == ConnectPlan::Direct) == (server != 5);
    assert!(plans.iter().enumerate().all(is_direct), "{plans:?}");
}

/// Guards against a check of each silent request.
#[test]
fn silent_server_is_checked_once_in_a_while() {
    let mut planner = DetourPlanner::default();
    let checks = (0..300).filter(|number| {
        planner.wants_check(Time(number * 10_000), EngineTag(u64::from(number % 2 == 0)))
    });
    assert_eq!(checks.count(), 6);
}
