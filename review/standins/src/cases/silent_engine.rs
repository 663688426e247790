//! A stream is cut because its engine was silent for some seconds, though the engine goes on and no
//! other has room.
//!
//! Two long prompts run on two engines, one each; neither engine has memory for both. The first
//! stream pauses in the middle. The host that serves it has got SIGTERM shortly before.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{ACCOUNT, KEY, Route, config, start_hosts};
use crate::{
    Verdict,
    client::{self, Ask, Got},
    http::Message,
    record::Record,
    server::{Server, Work},
    store::Store,
};

const DEADLINE: Duration = Duration::from_secs(15);
const TOKENS: u32 = 238_000;
const EVENTS: usize = 17;
/// Events of the stream that fills the other engine, and the most tokens that its client names.
const OTHER_EVENTS: usize = 150;
const OTHER_TOKENS: usize = 16_000;
/// Time of 46 steps with this prompt.
const GAP: Duration = Duration::from_millis(70);
/// An engine that preempts a request reads its prompt again, which takes 3.6 s here.
const PAUSE: Duration = Duration::from_secs(4);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
const SIGTERM_AT: Duration = Duration::from_millis(4_500);

/// Time to prefill the prompt, by the figures of the service's `engine`.
fn prefill_time(_: &Message) -> Duration {
    let tokens = f64::from(TOKENS);
    Duration::from_secs_f64((tokens / 256.0 + tokens * tokens / 2.0 / 1e6 * 0.0917) / 1e3)
}

fn is(request: &Message, kind: &str) -> bool {
    request.field("parsleystage-attempt-id").is_some_and(|id| id.starts_with(kind))
}

fn gaps(request: &Message) -> Vec<Duration> {
    let events = if is(request, "other") { OTHER_EVENTS } else { EVENTS };
    let mut gaps = vec![GAP; events - 1];
    if is(request, "paused") {
        gaps[3] = PAUSE;
    }
    gaps
}

fn ask(id: &str, most_tokens: usize) -> Ask {
    Ask {
        id: id.into(),
        method: "POST",
        path: "/dossier/one",
        key: KEY.into(),
        deadline: DEADLINE,
        fields: format!(
            "Parsleystage-Model: m\r\nParsleystage-Token-Counts: {TOKENS},{}\r\nParsleystage-Prompt-Prefix: 5c{}:{TOKENS}\r\n",
            most_tokens, most_tokens
        ),
        body_bytes: 30_000,
        is_kept: false,
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(500)?;
    let work = Work { slots: 16, time: prefill_time, answer_bytes: 65, gaps: Some(gaps) };
    let servers: std::io::Result<Vec<_>> = ["i-engine-1", "i-engine-2"]
        .iter()
        .map(|id| Server::start(id, work.clone(), record))
        .collect();
    let servers = servers?;
    let route = Route {
        prefix: "/dossier/",
        kind: "stream",
        service: "engines",
        timeout_ms: 15_000,
        is_model: true,
        is_open: false,
    };
    // Two attempts, as in the sheet.
    let config = config(1, &[route], &[(ACCOUNT, KEY)]).replace("\"attempts\":1", "\"attempts\":2");
    store.put("op/config", &config);
    servers.iter().for_each(|server| store.register(&server.id, "engines", server.address, 16));
    let hosts = start_hosts(2, store.address, 260, record)?;
    thread::sleep(Duration::from_secs(3));

    let send = |host: usize, request: Ask| {
        let (front, record) = (hosts[host].front, record.clone());
        thread::spawn(move || client::ask(front, &request, &record))
    };
    let other = send(1, ask("other", OTHER_TOKENS));
    thread::sleep(Duration::from_millis(100));
    let id = if has_trouble { "paused" } else { "steady" };
    let stream = send(0, ask(id, EVENTS * 46));
    thread::sleep(SIGTERM_AT);
    record.line(&format!("SIGTERM to {}", hosts[0].name));
    hosts[0].signal("TERM");
    let stopped = Instant::now();
    let result = stream.join().unwrap();
    // The engine notices a cut with its next events.
    other.join().unwrap();
    let runs: Vec<_> = servers.iter().flat_map(Server::runs).filter(|run| run.id == id).collect();
    // Not counted: the engine was still at work in the last sixth of `grace_s`.
    let is_early = result.ended < stopped + GRACE.mul_f64(5.0 / 6.0);
    let is_cut = matches!(result.got, Got::Cut(..) | Got::Closed) && is_early;
    record.line(&format!(
        "the request ran {} times; its connection ended {} a complete answer, {:.1} s before its deadline",
        runs.len(),
        if is_cut { "without" } else { "with" },
        DEADLINE.saturating_sub(result.sent.map_or(DEADLINE, |sent| result.ended - sent)).as_secs_f64()
    ));
    if runs.is_empty() {
        return Err(std::io::Error::other("the request did not run"));
    }
    Ok(!is_cut)
}
