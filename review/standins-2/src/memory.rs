//! Two of three hosts are lost, and all clients come to the third.
//!
//! Clients keep their connections open, as the pages say, and send a request every ten seconds; one
//! in five has a body and an answer of 64 kB. The platform kills a process that exceeds `memory_mb`.

use std::{
    collections::HashSet,
    io::BufReader,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{connect, request_head, send, Draw},
    config::{config, Record, PARAMS},
    host::{Host, Machine, SIGKILL},
    http::read_message,
    server::{write_response, Server},
    store::Store,
};

/// Machine of the smallest class of feira-viva-grown.
const MACHINE: Machine =
    Machine { cpu_share: 0.084, memory_mb: 112, max_fds: 2870, link_mbps: 14.0 };
const CLIENTS: usize = 1_100;
/// Time between two requests of a client, under four fifths of `idle_timeout_ms`.
const PERIOD: Duration = Duration::from_secs(10);
const LARGE: usize = 64_000;
const SMALL: usize = 800;
const DEADLINE_MS: u32 = 3_000;
const WORK: Duration = Duration::from_millis(150);
const KILL_AT: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(90);

/// How a request ended.
struct Outcome {
    id: String,
    host: SocketAddr,
    /// Whether its connection had carried an answer before.
    is_kept: bool,
    is_answered: bool,
    /// Whether its client still waited when it ended.
    is_in_time: bool,
    at: Instant,
}

struct Shared {
    fronts: Vec<SocketAddr>,
    outcomes: Mutex<Vec<Outcome>>,
    is_over: AtomicBool,
    record: Arc<Record>,
}

/// One client: a request every [`PERIOD`] on a connection that it keeps.
fn run_client(shared: &Shared, number: usize) {
    let mut draw = Draw::new(number as u64 + 1);
    let mut kept: Option<(TcpStream, BufReader<TcpStream>, SocketAddr, u32)> = None;
    let body = vec![b'q'; LARGE];
    thread::sleep(PERIOD.mul_f64(number as f64 / CLIENTS as f64));
    let mut next = Instant::now();
    for count in 0.. {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += PERIOD;
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        if kept.is_none() {
            let first = draw.below(shared.fronts.len());
            let order = (0..shared.fronts.len()).map(|step| (first + step) % shared.fronts.len());
            kept = order.map(|index| shared.fronts[index]).find_map(|front| {
                let stream = connect(front)?;
                stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS.into()))).ok()?;
                let reader = BufReader::new(stream.try_clone().ok()?);
                Some((stream, reader, front, 0))
            });
        }
        let Some((mut stream, mut reader, host, answers)) = kept.take() else { continue };
        let is_large = (count + number) % 5 == 0;
        let (path, length) =
            if is_large { ("/lookup/large", LARGE) } else { ("/lookup/small", SMALL) };
        let id = format!("c{number}-{count}");
        let head = request_head(path, &id, DEADLINE_MS, length, "");
        let sent = Instant::now();
        let is_sent = send(&mut stream, &head, &body[..length]);
        let answer = if is_sent { read_message(&mut reader) } else { None };
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let is_answered = answer.as_ref().is_some_and(|answer| answer.is_whole);
        shared.record.line(&format!(
            "{id} {path} at {host}: {status} {}",
            if is_answered { "whole" } else { "NOT ANSWERED" }
        ));
        let is_close = answer.is_some_and(|answer| answer.field("connection") == "close");
        let outcome = Outcome {
            id,
            host,
            is_kept: answers > 0,
            is_answered,
            is_in_time: sent.elapsed() < Duration::from_millis(DEADLINE_MS.into()),
            at: Instant::now(),
        };
        shared.outcomes.lock().expect("outcomes").push(outcome);
        if is_answered && !is_close {
            kept = Some((stream, reader, host, answers + 1));
        }
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &config(3_000));
    let behaviour = |request: &crate::http::Message, stream: &mut TcpStream| {
        thread::sleep(WORK);
        let length = if request.second() == "/lookup/large" { LARGE } else { SMALL };
        write_response(stream, request, &vec![b'z'; length])
    };
    let servers: Vec<_> = (0..7)
        .map(|number| Server::start(&format!("i-app{number}"), Arc::new(behaviour)))
        .collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("app", 6));
    }
    let mut hosts: Vec<_> =
        (1..=3).map(|number| Host::start(number, store.address, &MACHINE, PARAMS)).collect();
    if !hosts.iter_mut().all(Host::wait_ready) {
        return None;
    }
    let end = Instant::now() + Duration::from_secs(10);
    while hosts[0].resolve().len() < hosts.len() {
        if Instant::now() > end {
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let shared = Arc::new(Shared {
        fronts: hosts[0].resolve(),
        outcomes: Mutex::default(),
        is_over: AtomicBool::new(false),
        record: record.clone(),
    });
    record.say(&format!("{CLIENTS} clients, hosts {:?}", shared.fronts));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let shared = shared.clone();
            let builder = thread::Builder::new().stack_size(256 << 10);
            builder.spawn(move || run_client(&shared, number)).expect("a thread")
        })
        .collect();
    let (start, mut is_killed, mut last_shown) = (Instant::now(), false, 0);
    let mut is_checked = false;
    let limit_kb = MACHINE.memory_mb << 10;
    let mut over = None;
    let mut peak = 0;
    while start.elapsed() < LENGTH && over.is_none() {
        thread::sleep(Duration::from_millis(50));
        if !is_checked && start.elapsed() >= KILL_AT {
            is_checked = true;
            let outcomes = shared.outcomes.lock().expect("outcomes");
            let answered = outcomes.iter().filter(|outcome| outcome.is_answered).count();
            if answered < CLIENTS || outcomes.len() > answered {
                record.say(&format!(
                    "{answered} of {} requests answered before the kill",
                    outcomes.len()
                ));
                return None;
            }
        }
        if has_trouble && !is_killed && start.elapsed() >= KILL_AT {
            record.say("two of the three hosts are killed and stay away");
            hosts[1].signal(SIGKILL);
            hosts[2].signal(SIGKILL);
            is_killed = true;
        }
        let memory: Vec<_> = hosts.iter().map(Host::memory_kb).collect();
        peak = peak.max(memory.iter().copied().max().unwrap_or(0));
        let second = start.elapsed().as_secs();
        if second >= last_shown + 5 {
            last_shown = second;
            record.say(&format!(
                "{second} s: memory of the hosts {memory:?} kB, limit {limit_kb} kB"
            ));
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            let is_gone = is_killed && index > 0;
            if !is_gone && host.has_ended() {
                record.say(&format!("host {} ended by itself", index + 1));
                over = Some((index, Instant::now()));
            } else if memory[index] > limit_kb {
                record.say(&format!(
                    "host {} uses {} kB of {limit_kb} kB: killed by the platform",
                    index + 1,
                    memory[index]
                ));
                over = Some((index, Instant::now()));
                host.signal(SIGKILL);
            }
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    shared.is_over.store(true, Ordering::SeqCst);
    let arrived: HashSet<String> = servers
        .iter()
        .flat_map(|server| server.arrivals.lock().expect("arrivals").clone())
        .map(|(id, _)| id)
        .collect();
    let outcomes = shared.outcomes.lock().expect("outcomes");
    let answered = outcomes.iter().filter(|outcome| outcome.is_answered).count();
    record.say(&format!(
        "{} requests, {answered} answered, {} at servers, most memory {peak} kB",
        outcomes.len(),
        arrived.len()
    ));
    let Some((index, at)) = over else { return Some(true) };
    let front = hosts[index].front;
    let is_lost = |outcome: &&Outcome| {
        !outcome.is_answered
            && outcome.is_kept
            && outcome.host == front
            && outcome.is_in_time
            && outcome.at >= at
            && arrived.contains(&outcome.id)
    };
    let lost: Vec<_> = outcomes.iter().filter(is_lost).map(|outcome| outcome.id.as_str()).collect();
    record.say(&format!(
        "passed to a server, connection closed without an answer: {} {lost:?}",
        lost.len()
    ));
    drop(hosts);
    drop(clients);
    Some(lost.len() <= 3)
}
