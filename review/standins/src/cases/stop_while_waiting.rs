//! A host that gets SIGTERM cuts the requests that wait for a server, without an answer.
//!
//! One long prompt fills the memory of the only engine. Shorter prompts wait at the host until it
//! ends. The host gets SIGTERM while they wait.

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
const LONG_TOKENS: u32 = 420_000;
const SHORT_TOKENS: u32 = 60_000;
const WAITING: usize = 6;
/// Time for which a SIGTERM counts as planned work: 1 s after `grace_s`.
const PLANNED: Duration = Duration::from_secs(9);
/// `loss_slack_ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time from the arrival of a prompt at an idle engine to the end of its answer, by the figures of
/// the service's `engine`.
fn work_time(request: &Message) -> Duration {
    let counts = request.field("parsleystage-token-counts").unwrap_or_default();
    let prompt: f64 = counts.split(',').next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let prefill_ms = prompt / 256.0 + prompt * prompt / 2.0 / 1e6 * 0.0917;
    Duration::from_secs_f64((prefill_ms + 46.0 * 0.925) / 1e3)
}

fn ask(number: usize, tokens: u32) -> Ask {
    Ask {
        id: format!("waits-{number}"),
        method: "POST",
        path: "/dossier/one",
        key: KEY.into(),
        deadline: DEADLINE,
        fields: format!(
            "Parsleystage-Model: m\r\nParsleystage-Token-Counts: {tokens},46\r\nParsleystage-Prompt-Prefix: 5c{number}:{tokens}\r\n"
        ),
        body_bytes: 2_000,
        is_kept: false,
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(500)?;
    let work = Work { slots: 16, time: work_time, answer_bytes: 300, gaps: Some(|_| Vec::new()) };
    let server = Server::start("i-engine-1", work, record)?;
    let route = Route {
        prefix: "/dossier/",
        kind: "stream",
        service: "engines",
        timeout_ms: 15_000,
        is_model: true,
        is_open: false,
    };
    store.put("op/config", &config(1, &[route], &[(ACCOUNT, KEY)]));
    store.register(&server.id, "engines", server.address, 16);
    let hosts = start_hosts(2, store.address, 260, record)?;
    let front = hosts[0].front;
    thread::sleep(Duration::from_secs(3));

    let mut clients = Vec::new();
    let mut send = |request: Ask| {
        let record = record.clone();
        clients.push(thread::spawn(move || client::ask(front, &request, &record)));
    };
    send(ask(0, LONG_TOKENS));
    thread::sleep(Duration::from_millis(300));
    for number in 1..=WAITING {
        send(ask(number, SHORT_TOKENS));
    }
    thread::sleep(Duration::from_millis(300));
    let mut stopped = None;
    if has_trouble {
        record.line(&format!("SIGTERM to {}", hosts[0].name));
        hosts[0].signal("TERM");
        stopped = Some(Instant::now());
    }
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let runs = server.runs();
    // Not counted: the engine was at work on it, the deadline was reached, or the end of the planned
    // work had passed.
    let lost = results.iter().filter(|result| {
        let is_cut = matches!(result.got, Got::Closed | Got::Cut(..));
        let was_passed_on = runs.iter().any(|run| run.id == result.id);
        let is_late = result.sent.is_some_and(|sent| result.ended - sent > LOSS_SLACK);
        let is_beside = stopped.is_none_or(|at| result.ended <= at + PLANNED);
        is_cut && !was_passed_on && is_late && is_beside
    });
    let lost = lost.count();
    record.line(&format!(
        "{lost} requests were read whole and not passed on, and their connections ended later than loss_slack_ms without an answer"
    ));
    Ok(lost == 0)
}
