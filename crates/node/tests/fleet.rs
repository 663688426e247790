//! Several host processes that behave as one.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use http_types::Method;
use parsley_standins::{caller, fleet::Fleet};
use serde_json::{Value, json};

mod fixture;

/// Time after which a test is given up. It is far above what is expected, so that a busy machine
/// changes no verdict; `docs/measurements/scale.md` measures the bounds in virtual time.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn call(address: &str, method: Method, path: &str, body: Option<Value>) -> Option<Value> {
    async_io::block_on(async {
        let mut request = caller::request(method, address, path);
        request.insert_header("authorization", "Bearer token-inspection");
        if let Some(body) = body {
            request.set_body(body.to_string());
        }
        let mut response = caller::send(address, request).await.ok()?;
        response.body_json().await.ok()
    })
}

fn wait_for(what: &str, mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !is_done() {
        assert!(Instant::now() < end, "{what}: not within {WAIT_LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn models(address: &str) -> usize {
    let answer = call(address, Method::Get, "/v1/models", None);
    answer.and_then(|body| Some(body["data"].as_array()?.len())).unwrap_or(0)
}

fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.hosts().iter().map(|host| host.address.to_string()).collect()
}

/// Guards against a change that only the watching hosts learn, and against a host that starts
/// while the key-value service is out and stays without configuration.
#[test]
fn changes_reach_every_host_and_peers_teach_a_new_one() {
    let mut fleet = fixture::fleet().hosts(6).start().unwrap();
    fleet.put("models", "second", &json!({"context_tokens": 1000})).unwrap();
    for address in addresses(&fleet) {
        wait_for("the change", || models(&address) == 2);
    }
    fleet.kill_host(4);
    fleet.kill_store();
    fleet.start_host(4).unwrap();
    let address = addresses(&fleet)[4].clone();
    wait_for("configuration from peers", || models(&address) == 2);
    fleet.close();
}

/// Connections that are open at the hosts' peer ports.
fn peer_connections(fleet: &Fleet) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let hex = |address: SocketAddr| {
        let SocketAddr::V4(address) = address else { unreachable!("hosts listen on IPv4") };
        format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
    };
    let addresses: Vec<_> = fleet.hosts().iter().map(|host| hex(host.peer_address)).collect();
    let is_open = |line: &&str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        fields[3] == "01" && addresses.iter().any(|address| fields[1] == address)
    };
    table.lines().skip(1).filter(is_open).count()
}

/// Guards against connections that stay open after a pull of configuration: pulls go to random
/// hosts, so in time each host would send pings to all others.
#[test]
fn connection_without_requests_is_closed() {
    let fleet = fixture::fleet().hosts(6).start().unwrap();
    fleet.put("models", "second", &json!({"context_tokens": 1000})).unwrap();
    wait_for("a pull", || peer_connections(&fleet) > 0);
    wait_for("no open connection", || peer_connections(&fleet) == 0);
    fleet.close();
}

/// Guards against engines that never get the models that the configuration wants, with and without
/// a check of the fencing number, and against more loads than wanted.
#[test]
fn engines_get_their_models_by_order() {
    for checks_fencing in [true, false] {
        let fleet = fixture::fleet().replicas(2).checks_fencing(checks_fencing).start().unwrap();
        let engines: Vec<_> = fleet.engine_addresses().iter().map(ToString::to_string).collect();
        let loaded = || {
            let has_model = |address: &&String| {
                let load = call(address, Method::Get, "/load", None).unwrap_or_default();
                load["models"] == json!(["inspector"])
            };
            engines.iter().filter(has_model).count()
        };
        // A holder waits a lease term and the order timeout for engines that ignore the number.
        wait_for("loads", || loaded() == 2);
        thread::sleep(Duration::from_secs(2));
        assert_eq!(loaded(), 2);
        fleet.close();
    }
}

/// Guards against new work on a server that the host list or the server itself says is leaving.
#[test]
fn leaving_servers_get_no_new_work() {
    let fleet = fixture::fleet().start().unwrap();
    let engines: Vec<_> = fleet.engine_addresses().iter().map(ToString::to_string).collect();
    let list = fleet.host_list_address().unwrap().to_string();
    let leaving = json!([{"name": "engine-0", "leaving": true}]);
    call(&list, Method::Put, "/hosts", Some(leaving)).unwrap();
    call(&engines[1], Method::Put, "/leaving", Some(json!({}))).unwrap();
    let runs = |engine: usize| -> usize {
        let runs = call(&engines[engine], Method::Get, "/runs", None).unwrap();
        runs.as_array().unwrap().len()
    };
    let mut round = 0;
    wait_for("work only on the engine that stays", || {
        round += 1;
        let before = [runs(0), runs(1), runs(2)];
        for (index, host) in fleet.hosts().iter().enumerate() {
            let prompt = fixture::prompt(&format!("leaving-{index}-{round}"), 3);
            let answer = fixture::ask(&[host.address], &prompt);
            assert!(answer.complete, "{answer:?}");
        }
        [runs(0), runs(1), runs(2)] == [before[0], before[1], before[2] + 3]
    });
    fleet.close();
}
