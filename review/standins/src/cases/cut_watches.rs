//! A host whose watches are cut now and then keeps sending to a server whose entry was removed.

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
/// Time for which the server goes on after its entry was removed.
const STAY: Duration = Duration::from_secs(8);
/// Time between two cuts of the watches that wait.
const CUT_PERIOD: Duration = Duration::from_millis(1_500);

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
    let hosts = start_hosts(2, store.address, 260, record)?;
    thread::sleep(Duration::from_secs(4));

    let is_done = Arc::new(AtomicBool::new(false));
    let cutter = {
        let (store, is_done, record) = (store.clone(), is_done.clone(), record.clone());
        thread::spawn(move || {
            while has_trouble && !is_done.load(Ordering::SeqCst) {
                record.line("the store cuts the watches that wait");
                store.cut_watches();
                thread::sleep(CUT_PERIOD);
            }
        })
    };
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
    thread::sleep(Duration::from_secs(5));
    store.remove("servers/i-desk-1");
    let removed = Instant::now();
    record.line("the store has removed the entry of i-desk-1");
    thread::sleep(STAY);
    servers[0].end();
    let cut = servers[0].runs().iter().filter(|run| run.ended.is_none()).count();
    record.line(&format!("i-desk-1 has exited; {cut} requests were running there"));
    thread::sleep(Duration::from_secs(1));
    is_done.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    cutter.join().unwrap();
    let runs = servers[0].runs();
    let late: Vec<_> = runs.iter().filter(|run| run.received > removed + DRAIN).collect();
    let latest = late.iter().map(|run| run.received - removed).max().unwrap_or_default();
    record.line(&format!(
        "{} requests reached i-desk-1 later than drain_ms after the store had removed its entry, the last after {} ms",
        late.len(),
        latest.as_millis()
    ));
    Ok(late.is_empty())
}
