//! Hosts keep request bodies in memory without a limit for all together, and exceed their memory
//! when a burst makes long prompts wait.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{ACCOUNT, KEY, Route, config, start_hosts};
use crate::{
    Verdict,
    client::{self, Ask, Got},
    host::Host,
    http::Message,
    record::Record,
    server::{Server, Work},
    store::Store,
};

const DEADLINE: Duration = Duration::from_secs(15);
/// A prompt of a million tokens, as long as `max_body_bytes` allows.
const BODY_BYTES: usize = 4 << 20;
const MEMORY_MB: u64 = 260;
const SERVERS: usize = 6;
/// Usual requests a second, three quarters of what the servers can run.
const USUAL_RATE: f64 = 9.0;
/// Strength and length of the burst.
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_millis(9_500);
const CALM_TIME: Duration = Duration::from_secs(5);

/// A long prompt takes three seconds.
fn work_time(request: &Message) -> Duration {
    Duration::from_millis(if request.body.len() == BODY_BYTES { 3_000 } else { 10 })
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(500)?;
    let work = Work { slots: 6, time: work_time, answer_bytes: 800, gaps: None };
    let servers: std::io::Result<Vec<_>> = (0..SERVERS)
        .map(|number| Server::start(&format!("i-desk-{number}"), work.clone(), record))
        .collect();
    let servers = servers?;
    let route = Route {
        prefix: "/desk/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 15_000,
        is_model: false,
        is_open: false,
    };
    store.put("op/config", &config(1, &[route], &[(ACCOUNT, KEY)]));
    servers.iter().for_each(|server| store.register(&server.id, "desk", server.address, 6));
    let hosts = start_hosts(2, store.address, MEMORY_MB, record)?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    thread::sleep(Duration::from_secs(3));

    let is_done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (is_done, record) = (is_done.clone(), record.clone());
        thread::spawn(move || limit_memory(hosts, &is_done, &record))
    };
    let mut clients = Vec::new();
    let start = Instant::now();
    while start.elapsed() < CALM_TIME + BURST_TIME {
        let is_burst = has_trouble && start.elapsed() > CALM_TIME;
        let rate = if is_burst { USUAL_RATE * BURST } else { USUAL_RATE };
        let number = clients.len();
        let (front, record) = (fronts[number % 2], record.clone());
        let request = Ask {
            id: format!("large-{number}"),
            method: "POST",
            path: "/desk/one",
            key: KEY.into(),
            deadline: DEADLINE,
            fields: String::new(),
            body_bytes: BODY_BYTES,
            is_kept: true,
        };
        clients.push(thread::spawn(move || client::ask(front, &request, &record)));
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    is_done.store(true, Ordering::SeqCst);
    let kills = platform.join().unwrap();
    let runs: Vec<_> = servers.iter().flat_map(Server::runs).collect();
    // The rule counts each machine by itself.
    let lost_at = |host: usize| {
        let asked = results.iter().skip(host).step_by(2);
        let lost = asked.filter(|result| {
            let is_closed = matches!(result.got, Got::Closed | Got::Cut(..));
            is_closed && runs.iter().any(|run| run.id == result.id)
        });
        lost.count()
    };
    let lost = [lost_at(0), lost_at(1)];
    let closed = results.iter().filter(|it| matches!(it.got, Got::Closed | Got::Cut(..))).count();
    record.line(&format!(
        "{kills} hosts exceeded {MEMORY_MB} MB; of {} requests on kept connections, {closed} were closed without an answer, {} and {} of them passed on to a sound server by the two hosts",
        results.len(),
        lost[0],
        lost[1]
    ));
    Ok(lost.iter().all(|count| *count <= 3))
}

/// The platform kills a process that exceeds `memory_mb`. Returns how many were killed.
fn limit_memory(mut hosts: Vec<Host>, is_done: &AtomicBool, record: &Record) -> usize {
    let mut most = 0.0_f64;
    let mut killed = 0;
    while !is_done.load(Ordering::SeqCst) {
        for host in &mut hosts {
            let used = host.memory_mb().unwrap_or(0.0);
            most = most.max(used);
            if used > MEMORY_MB as f64 {
                record.line(&format!("{} uses {used:.0} MB and is killed", host.name));
                host.kill();
                killed += 1;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("most memory of a host: {most:.0} MB"));
    killed
}
