//! Hosts can't read the changes after several large entries of another writer, and keep sending to a
//! server that has reported `draining`.

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
    client::{self, Ask},
    record::Record,
    server::{Server, Work},
    store::Store,
};

/// `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which the server goes on after the store has accepted its report.
const STAY: Duration = Duration::from_secs(8);
/// Entries of the other writer, in one transaction, and bytes of each; `value_bytes` is 1,048,576.
const FOREIGN: usize = 8;
const FOREIGN_BYTES: usize = 1_000_000;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(500)?;
    let work =
        Work { slots: 6, time: |_| Duration::from_millis(60), answer_bytes: 800, gaps: None };
    let servers: std::io::Result<Vec<_>> =
        ["i-desk-1", "i-desk-2"].iter().map(|id| Server::start(id, work.clone(), record)).collect();
    let servers = servers?;
    let route = Route {
        prefix: "/desk/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 800,
        is_model: false,
        is_open: false,
    };
    store.put("op/config", &config(1, &[route], &[(ACCOUNT, KEY)]));
    servers.iter().for_each(|server| store.register(&server.id, "desk", server.address, 6));
    let hosts = start_hosts(3, store.address, 260, record)?;
    thread::sleep(Duration::from_secs(4));

    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (front, name) = (host.front, host.name.clone());
            let (is_done, record) = (is_done.clone(), record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if is_done.load(Ordering::SeqCst) {
                        return;
                    }
                    let request = Ask {
                        id: format!("{name}-{number}"),
                        method: "POST",
                        path: "/desk/one",
                        key: KEY.into(),
                        deadline: Duration::from_millis(1_500),
                        fields: String::new(),
                        body_bytes: 200,
                        is_kept: false,
                    };
                    client::ask(front, &request, &record);
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let bytes = if has_trouble { FOREIGN_BYTES } else { 1_000 };
    let entry = |number| (format!("servers/batch-{number}"), "?".repeat(bytes));
    store.put_all(&(0..FOREIGN).map(entry).collect::<Vec<_>>());
    record.line(&format!("another writer has written {FOREIGN} entries of {bytes} bytes"));
    thread::sleep(Duration::from_secs(2));
    store.register_as("draining", "i-desk-1", "desk", servers[0].address, 6);
    let accepted = Instant::now();
    record.line("the store has accepted that i-desk-1 is draining");
    thread::sleep(STAY);
    servers[0].end();
    let cut = servers[0].runs().iter().filter(|run| run.ended.is_none()).count();
    record.line(&format!("i-desk-1 has exited; {cut} requests were running there"));
    thread::sleep(Duration::from_secs(1));
    is_done.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let runs = servers[0].runs();
    let late: Vec<_> = runs.iter().filter(|run| run.received > accepted + DRAIN).collect();
    let latest = late.iter().map(|run| run.received - accepted).max().unwrap_or_default();
    record.line(&format!(
        "{} requests reached i-desk-1 later than drain_ms after the store had accepted that it is draining, the last after {} ms",
        late.len(),
        latest.as_millis()
    ));
    Ok(late.is_empty())
}
