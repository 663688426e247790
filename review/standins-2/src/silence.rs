//! A host is stopped while an engine preempts its newest streams for a time. The engines drop idle
//! connections sooner than usual.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{connect, request_head, send},
    config::{config, Record, PARAMS},
    host::{Host, Machine, SIGTERM},
    http::{read_message, Message},
    server::{response_head, Server},
    store::Store,
};

const MACHINE: Machine =
    Machine { cpu_share: 0.084, memory_mb: 112, max_fds: 2870, link_mbps: 14.0 };
const STREAMS: usize = 12;
const EVENTS: u64 = 10;
/// Pause of the engine before the fourth event. It is shorter than the two seconds after which
/// clients abandon a stream.
const PAUSE: Duration = Duration::from_millis(1_400);
/// Streams of an engine that it goes on with; it preempts the newer ones.
const UNDISTURBED: usize = 3;
/// Time after which the engines drop an idle connection without notice.
const IDLE_LIMIT: Duration = Duration::from_millis(300);

fn write_event(stream: &mut TcpStream, id: u64) -> bool {
    let text = format!("id: {id}\ndata: piece-{id}\n\n");
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

fn serve_stream(request: &Message, stream: &mut TcpStream, pause: Duration) -> bool {
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let mut is_open = stream.write_all(response_head(request, 200, head).as_bytes()).is_ok();
    let last: u64 = request.field("last-event-id").parse().unwrap_or(0);
    for id in last + 1..=EVENTS {
        if id == 4 {
            thread::sleep(pause);
        }
        is_open = is_open && write_event(stream, id);
        thread::sleep(Duration::from_millis(50));
    }
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends one request; returns its answer.
fn run_client(front: SocketAddr, number: usize) -> Option<Message> {
    let mut stream = connect(front)?;
    let more = format!("Parsleystage-Model: m\r\nParsleystage-Token-Counts: 1000,400\r\nParsleystage-Prompt-Prefix: aa:40,b{number}:960\r\n");
    let head = request_head("/draft/a", &format!("stream-{number}"), 10_000, 100, &more);
    send(&mut stream, &head, &[b'p'; 100]);
    read_message(&mut BufReader::new(stream))
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &config(3_000));
    let engine = |id: &str, pause| {
        let count = AtomicUsize::new(0);
        let behaviour = move |request: &Message, stream: &mut TcpStream| {
            let is_newest = count.fetch_add(1, Ordering::SeqCst) >= UNDISTURBED;
            serve_stream(request, stream, if is_newest { pause } else { Duration::ZERO })
        };
        Server::start_with(id, Some(IDLE_LIMIT), Arc::new(behaviour))
    };
    let pausing = engine("i-llm1", if has_trouble { PAUSE } else { Duration::ZERO });
    let other = engine("i-llm2", Duration::ZERO);
    for server in [&pausing, &other] {
        store.put(&format!("servers/{}", server.id), &server.entry("llm", 12));
    }
    let mut host = Host::start(1, store.address, &MACHINE, PARAMS);
    if !host.wait_ready() {
        return None;
    }
    thread::sleep(Duration::from_millis(500));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            let (front, answers) = (host.front, answers.clone());
            thread::spawn(move || {
                let answer = run_client(front, number);
                answers.lock().expect("answers").push((number, answer, start.elapsed()));
            })
        })
        .collect();
    record.say("SIGTERM");
    host.signal(SIGTERM);
    clients.into_iter().for_each(|client| _ = client.join());
    let mut answers = answers.lock().expect("answers");
    answers.sort_by_key(|(number, _, _)| *number);
    let mut cut = 0;
    for (number, answer, after) in answers.iter() {
        let status = answer.as_ref().map_or(0, Message::status);
        let events = answer.as_ref().map_or(0, |answer| {
            String::from_utf8_lossy(&answer.body).matches("data: piece-").count()
        });
        let is_whole = answer.as_ref().is_some_and(|answer| answer.is_whole);
        cut += usize::from(!is_whole);
        record.line(&format!(
            "stream-{number}: {status}, {events} of {EVENTS} events, {} after {:.2} s",
            if is_whole { "whole" } else { "CUT" },
            after.as_secs_f64()
        ));
    }
    for (name, server) in [("the engine that pauses", &pausing), ("the other engine", &other)] {
        let ids: Vec<_> =
            server.arrivals.lock().expect("arrivals").iter().map(|(id, _)| id.clone()).collect();
        record.line(&format!("{name} got {} requests: {ids:?}", ids.len()));
    }
    record.say(&format!("{STREAMS} streams, {cut} cut"));
    Some(cut == 0)
}
