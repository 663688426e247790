//! Hosts fall behind while large configurations come in quick succession, and go by an old one long
//! after the last.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{ACCOUNT, KEY, Route, config, start_hosts_at};
use crate::{
    Verdict,
    client::{self, Ask},
    proxy,
    record::Record,
    server::{Server, Work},
    store::Store,
};

const HOSTS: usize = 3;
/// Link of each host; only its connection to the store is modelled.
const LINK_MBPS: f64 = 20.0;
/// Routes by which the configuration has grown.
const ROUTES: usize = 1_400;
/// Length of the storm and time between two versions.
const STORM: Duration = Duration::from_secs(2);
const STORM_GAP: Duration = Duration::from_millis(80);
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_secs(3);
const MEMORY_MB: u64 = 160;
/// Time after the last version for which requests are sent.
const WATCHED: Duration = Duration::from_secs(12);

/// Configuration with many routes that are not used, and with the route `/old/` or without it.
fn large_config(version: u32, has_old: bool) -> String {
    let route = |prefix| Route {
        prefix,
        kind: "idempotent",
        service: "records",
        timeout_ms: 800,
        is_model: false,
        is_open: prefix == "/old/",
    };
    let prefixes: Vec<_> = (0..ROUTES).map(|number| format!("/unused-{number:04}/")).collect();
    let mut routes: Vec<_> = prefixes.iter().map(|prefix| route(prefix)).collect();
    routes.push(route("/records/"));
    if has_old {
        routes.push(route("/old/"));
    }
    config(version, &routes, &[(ACCOUNT, KEY)])
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(500)?;
    let work =
        Work { slots: 6, time: |_| Duration::from_millis(30), answer_bytes: 800, gaps: None };
    let server = Server::start("i-records-1", work, record)?;
    let text = large_config(1, true);
    record.line(&format!("a configuration has {} bytes", text.len()));
    store.put("op/config", &text);
    store.register(&server.id, "records", server.address, 6);
    let links: std::io::Result<Vec<_>> =
        (0..HOSTS).map(|_| proxy::start(store.address, LINK_MBPS)).collect();
    let hosts = start_hosts_at(&links?, MEMORY_MB, APPLY.as_millis() as u64, record)?;
    thread::sleep(Duration::from_secs(4));

    let versions = if has_trouble { STORM.as_millis() / STORM_GAP.as_millis() } else { 1 };
    for version in 0..versions as u32 {
        let is_last = version + 1 == versions as u32;
        store.put("op/config", &large_config(4 + 3 * version, !is_last));
        if !is_last {
            thread::sleep(STORM_GAP);
        }
    }
    let acknowledged = Instant::now();
    record.line(&format!(
        "the operator has written {versions} versions, the last without the route /old/"
    ));
    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (front, name) = (host.front, host.name.clone());
            let (is_done, record) = (is_done.clone(), record.clone());
            thread::spawn(move || {
                let mut sent_late = Vec::new();
                for number in 0.. {
                    if is_done.load(Ordering::SeqCst) {
                        return sent_late;
                    }
                    let request = Ask {
                        id: format!("{name}-{number}"),
                        method: "GET",
                        path: "/old/one",
                        key: String::new(),
                        deadline: Duration::from_millis(1_500),
                        fields: String::new(),
                        body_bytes: 0,
                        is_kept: false,
                    };
                    let is_late = Instant::now() > acknowledged + APPLY;
                    let result = client::ask(front, &request, &record);
                    if is_late {
                        sent_late.push(result.id);
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                sent_late
            })
        })
        .collect();
    thread::sleep(WATCHED);
    is_done.store(true, Ordering::SeqCst);
    let sent_late: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let runs = server.runs();
    let old: Vec<_> = runs.iter().filter(|run| sent_late.contains(&run.id)).collect();
    let latest = old.iter().map(|run| run.received - acknowledged).max().unwrap_or_default();
    record.line(&format!(
        "{} requests on the dropped route ran that were sent later than config_apply_ms after the last version was acknowledged, the last {} ms after it",
        old.len(),
        latest.as_millis()
    ));
    for host in &hosts {
        let log = host.log();
        for line in log.lines().filter(|line| line.contains("op/config")) {
            record.line(&format!("log of {}: {line}", host.name));
        }
    }
    Ok(old.is_empty())
}
