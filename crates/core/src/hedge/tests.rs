use super::*;
use crate::fixed_cases;

const CLASS: HedgeClass = HedgeClass { service: 7, size: 0 };

/// A host in virtual time: a request every `gap`, each hedged as soon as the planner allows it.
struct VirtualHost {
    planner: HedgePlanner,
    now: Time,
    requests: Vec<Time>,
    hedges: Vec<Time>,
    /// Start, latency and next decision of the requests that run.
    running: Vec<(Time, Duration, Option<Time>)>,
}

impl VirtualHost {
    const STEP: Duration = Duration::from_millis(5);

    fn new(share: f64) -> VirtualHost {
        let planner = HedgePlanner::new(share);
        let (now, lists) = (Time(1_000_000_000), Vec::new());
        VirtualHost { planner, now, requests: lists.clone(), hedges: lists, running: Vec::new() }
    }

    fn send(&mut self, latency_ms: u64) {
        self.planner.record_request(self.now, CLASS);
        self.requests.push(self.now);
        self.running.push((self.now, Duration::from_millis(latency_ms), Some(self.now)));
    }

    fn advance(&mut self, span: Duration, waiting: usize) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + VirtualHost::STEP;
            let now = self.now;
            for (start, latency, next) in &mut self.running {
                let age = now.since(*start);
                if age >= *latency {
                    self.planner.record_latency(now, CLASS, *latency);
                } else if next.is_some_and(|next| next <= now) {
                    let decision = self.planner.decide(now, CLASS, age, || waiting);
                    *next = match decision {
                        HedgeDecision::Wait(left) => Some(now + left),
                        _ => None,
                    };
                    if decision == HedgeDecision::Send {
                        self.planner.record_hedge(now, CLASS);
                        self.hedges.push(now);
                    }
                }
            }
            self.running.retain(|(start, latency, _)| now.since(*start) < *latency);
        }
    }

    /// Sends `count` requests at this interval, of which one in 20 takes five times as long.
    fn serve(&mut self, count: u64, gap_ms: u64, latency_ms: u64, waiting: usize) -> usize {
        let before = self.hedges.len();
        for number in 0..count {
            let is_slow = number % 20 == 19;
            self.send(latency_ms + number % 7 + if is_slow { latency_ms * 4 } else { 0 });
            self.advance(Duration::from_millis(gap_ms), waiting);
        }
        self.hedges.len() - before
    }

    /// Whether the window that ends with each hedge keeps the share. A window in which another
    /// instant ends has no more hedges than that of its last hedge.
    fn keeps_share(&self) -> bool {
        self.hedges.iter().all(|end| {
            let is_in = |at: &&Time| **at <= *end && end.since(**at) < SHARE_WINDOW;
            let count = |times: &Vec<Time>| times.iter().filter(is_in).count() as f64;
            count(&self.hedges) <= self.planner.share * count(&self.requests)
        })
    }
}

/// Guards against hedges beyond the share in a sliding window, for any load and latencies.
#[test]
fn share_is_kept_in_every_window() {
    let mut hedges = 0;
    fixed_cases(40, |u| {
        let mut host = VirtualHost::new(f64::from(u.int_in_range(1..=40u32)?) / 40.0);
        for _ in 0..u.int_in_range(2..=6)? {
            let gap_ms = u.int_in_range(0..=60u64)?;
            let latency_ms = u.int_in_range(1..=800)?;
            host.serve(u.int_in_range(1..=200)?, gap_ms, latency_ms, 0);
            host.advance(Duration::from_millis(u.int_in_range(0..=12_000)?), 0);
        }
        assert!(host.keeps_share(), "{} requests", host.requests.len());
        hedges += host.hedges.len();
        Ok(())
    });
    assert!(hedges > 200, "only {hedges} hedges in all cases");
}

/// Guards against hedges of every request when all servers turn slow at once: the quantile follows
/// the new latencies, so that then no more requests are hedged than before.
#[test]
fn planner_backs_off_when_all_servers_are_slow() {
    let mut host = VirtualHost::new(0.2);
    host.serve(400, 20, 60, 0);
    let calm = host.serve(800, 20, 60, 0);
    assert!(calm > 0);
    host.serve(400, 20, 600, 0);
    let slow = host.serve(800, 20, 600, 0);
    assert!(slow <= calm, "{slow} hedges of 800 while all are slow, {calm} before");
    assert!(host.keeps_share());
}

/// Guards against hedges without measurements to judge by, while requests of the service wait, and
/// with the share at its default of 0.
#[test]
fn nothing_is_hedged_unmeasured_or_while_requests_wait() {
    let cases = [(0.05, 59, 0, false), (0.05, 800, 1, false), (0.0, 800, 0, false)];
    for (share, count, waiting, is_hedged) in cases.into_iter().chain([(0.05, 800, 0, true)]) {
        let mut host = VirtualHost::new(share);
        let hedges = host.serve(count, 20, 60, waiting);
        assert_eq!(hedges > 0, is_hedged, "{hedges} of {count} at {share}, {waiting} waiting");
    }
}
