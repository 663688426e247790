//! Entries of another writer, under keys that need escapes in a query, keep hosts that start from
//! reading the list of servers: they read the same page for ever.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::{ACCOUNT, KEY, Route, config, start_hosts};
use crate::{
    Verdict,
    client::{self, Ask, Got},
    host::Host,
    record::Record,
    server::{Server, Work},
    store::Store,
};

/// Items of a page of the store.
const PAGE: usize = 500;
/// Entries of the other writer.
const FOREIGN: usize = 600;
const MEMORY_MB: u64 = 260;
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
const REQUESTS: usize = 20;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let store = Store::start(PAGE)?;
    let work =
        Work { slots: 6, time: |_| Duration::from_millis(30), answer_bytes: 800, gaps: None };
    let server = Server::start("i-records-1", work, record)?;
    let route = Route {
        prefix: "/records/",
        kind: "idempotent",
        service: "records",
        timeout_ms: 800,
        is_model: false,
        is_open: false,
    };
    store.put("op/config", &config(1, &[route], &[(ACCOUNT, KEY)]));
    store.register(&server.id, "records", server.address, 6);
    let mut hosts = start_hosts(2, store.address, MEMORY_MB, record)?;
    if has_trouble {
        for number in 0..FOREIGN {
            let key = format!("servers/job=17&worker={number:04}");
            store.put(&key, "{\"note\": \"an entry of another writer\"}");
        }
        record.line(&format!("another writer has written {FOREIGN} entries under servers/"));
    }
    thread::sleep(Duration::from_secs(2));
    let before = ask_all("before", &hosts, record);

    record.line("all processes are killed and started again a second later");
    hosts.iter_mut().for_each(Host::kill);
    thread::sleep(Duration::from_secs(1));
    for host in &mut hosts {
        host.start_again()?;
    }
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let is_done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (is_done, record) = (is_done.clone(), record.clone());
        thread::spawn(move || limit_memory(hosts, &is_done, &record))
    };
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let mut after = 0;
    for number in 0..REQUESTS {
        after += usize::from(is_served(&format!("after-{number}"), fronts[number % 2], record));
        thread::sleep(Duration::from_millis(300));
    }
    record.line(&format!("the store has answered {} reads of a range", store.calls("/kv-range")));
    is_done.store(true, Ordering::SeqCst);
    let kills = platform.join().unwrap();
    record.line(&format!(
        "served before the kill: {before} of {REQUESTS}; later than recovery_s after it: {after} of {REQUESTS}; killed for their memory: {kills}"
    ));
    if before * 4 < REQUESTS {
        return Err(std::io::Error::other("too little was served before"));
    }
    Ok(after * 4 >= REQUESTS)
}

fn ask_all(name: &str, hosts: &[Host], record: &Record) -> usize {
    let ask =
        |number: usize| is_served(&format!("{name}-{number}"), hosts[number % 2].front, record);
    (0..REQUESTS).filter(|number| ask(*number)).count()
}

fn is_served(id: &str, front: std::net::SocketAddr, record: &Record) -> bool {
    let request = Ask {
        id: id.into(),
        method: "POST",
        path: "/records/one",
        key: KEY.into(),
        deadline: Duration::from_millis(1_500),
        fields: String::new(),
        body_bytes: 200,
        is_kept: false,
    };
    client::ask(front, &request, record).got == Got::Answer(200, 800)
}

/// The platform kills a process that exceeds `memory_mb` and starts it again after a short delay.
/// Returns how often it did.
fn limit_memory(mut hosts: Vec<Host>, is_done: &AtomicBool, record: &Record) -> u32 {
    let mut kills = 0;
    while !is_done.load(Ordering::SeqCst) {
        for host in &mut hosts {
            let used = host.memory_mb().unwrap_or(0.0);
            if used > MEMORY_MB as f64 {
                record.line(&format!("{} uses {used:.0} MB: killed and started again", host.name));
                host.kill();
                kills += 1;
                thread::sleep(Duration::from_millis(200));
                if let Err(err) = host.start_again() {
                    record.line(&format!("{} does not start: {err}", host.name));
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    kills
}
