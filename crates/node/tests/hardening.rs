//! What a hostile or slow caller can do to a real host process.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use http_types::Method::{Get, Post};
use parsley_standins::solo::{OPERATOR_TOKEN, SoloBuilder, SoloHost};
use serde_json::{Value, json};

mod fixture;

/// Time within which the host must have closed a connection; far above its own limit.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);

fn host() -> SoloHost {
    let limits = json!({"body_bytes": 2048, "receive_ms": 300, "json_depth": 8});
    let host = SoloBuilder::new(env!("CARGO_BIN_EXE_parsleystage"))
        .setting("limits", limits)
        .start()
        .unwrap();
    for (path, spec) in [
        ("ranks/standard", json!({"level": 1, "first_token_ms": 500, "finish_ms": 10_000})),
        ("models/inspector", json!({"context_tokens": 1000})),
        (
            "clientaccounts/club",
            json!({
                "credential_digests": [blake3::hash(b"caller").to_hex().to_string()],
                "ranks": ["standard"],
            }),
        ),
    ] {
        let create = [("if-none-match", "*")];
        let (status, body) =
            host.admin(http_types::Method::Put, path, &create, &spec.to_string()).unwrap();
        assert_eq!(status, 201, "{body}");
    }
    host
}

fn chat(host: &SoloHost, token: Option<&str>, body: &str) -> (u16, Value) {
    host.request(Post, "/v1/chat/completions", token, &[], body).unwrap()
}

/// Sends bytes and returns what the host sent until it closed the connection.
fn exchange(host: &SoloHost, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(host.address).unwrap();
    stream.set_read_timeout(Some(CLOSE_LIMIT)).unwrap();
    // The host may close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => panic!("still open"),
        _ => String::from_utf8_lossy(&answer).into_owned(),
    }
}

/// Guards against a body that fills the host's memory, declared or chunked, and against a caller
/// without a credential who can send one at all.
#[test]
fn large_bodies_are_refused() {
    let host = host();
    let large = "x".repeat(3000);
    let (status, body) = chat(&host, Some("caller"), &large);
    assert_eq!((status, &body["reason"]), (413, &"body-too-large".into()));
    assert_eq!(chat(&host, Some("nobody"), &large).0, 401);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\nbb8\r\n{large}\r\n0\r\n\r\n");
    assert!(exchange(&host, chunked.as_bytes()).contains("body-too-large"));
    // A declared length is refused before any of the body has arrived.
    let endless = format!("{head}Content-Length: 99999999\r\n\r\n");
    assert!(exchange(&host, endless.as_bytes()).contains("body-too-large"));
}

/// Guards against slow senders who hold connections: no head, half a head, half a body.
#[test]
fn slow_senders_are_closed() {
    let host = host();
    assert_eq!(exchange(&host, b""), "");
    assert_eq!(exchange(&host, b"GET /v1/entry HTTP/1.1\r\nHo"), "");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller\r\n";
    let half = format!("{head}Content-Length: 100\r\n\r\n{{\"model\":");
    let answer = exchange(&host, half.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("receive-timeout"), "{answer}");
    let early = format!("{head}Content-Length: 0\r\nConnection: close\r\n\r\n");
    assert!(exchange(&host, early.as_bytes()).contains("bad-request"));
}

/// Guards against a head without end that fills the host's memory.
#[test]
fn endless_head_is_closed() {
    let host = host();
    let line = vec![b'a'; 8 << 20];
    assert_eq!(exchange(&host, &line), "");
    let (_, text) = host.request(Get, "/metrics", Some(OPERATOR_TOKEN), &[], "").unwrap();
    let prefix = "parsley_caller_bytes_total{direction=\"received\"} ";
    let received = text.as_str().unwrap().lines().find_map(|line| line.strip_prefix(prefix));
    let received: u64 = received.unwrap().parse().unwrap();
    assert!(received < 64 << 10, "{received} of {} bytes were read", line.len());
}

/// Guards against deep nesting that exhausts the stack of a JSON parser.
#[test]
fn deep_json_is_refused() {
    let host = host();
    let deep = format!("{}{}", "[".repeat(1000), "]".repeat(1000));
    let (status, body) = chat(&host, Some("caller"), &deep);
    assert_eq!((status, &body["reason"]), (400, &"bad-request".into()));
    assert!(body["detail"].as_str().unwrap().contains("nested"));
    // The type that a caller states must not turn the limit off.
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller\r\n";
    let length = deep.len();
    let plain = format!("{head}Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{deep}");
    assert!(exchange(&host, plain.as_bytes()).contains("nested"));
}

/// Guards against a refusal that is named differently in answer, log and metric.
#[test]
fn refusal_has_one_name_everywhere() {
    let host = host();
    let body = json!({"model": "inspector", "messages": [{"role": "user", "content": "q"}]});
    let (status, problem) = chat(&host, Some("caller"), &body.to_string());
    assert_eq!(status, 503, "{problem}");
    let reason = problem["reason"].as_str().unwrap();
    let (_, metrics) = host.request(Get, "/metrics", Some(OPERATOR_TOKEN), &[], "").unwrap();
    let line = format!("parsley_refusals_total{{reason=\"{reason}\"}} 1");
    assert!(metrics.as_str().unwrap().contains(&line), "{line}\n{metrics}");
    let is_logged = |line: &Value| {
        line["event"] == "E1501"
            && line["reason"] == reason
            && line["outcome"] == problem["outcome"]
    };
    // The log is written by another thread of the host.
    let found = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(10));
        host.log().unwrap().iter().any(is_logged)
    });
    assert!(found, "{:?}", host.log());
}

/// Guards against metrics without base units, and against callers who can create series.
#[test]
fn metrics_have_units_and_bounded_labels() {
    let host = host();
    for index in 0..20 {
        host.request(Get, &format!("/no-{index}/route"), Some("caller"), &[], "").unwrap();
        chat(&host, Some(&format!("guess-{index}")), "{}");
    }
    let read = || {
        let (_, text) = host.request(Get, "/metrics", Some(OPERATOR_TOKEN), &[], "").unwrap();
        text.as_str().unwrap().to_owned()
    };
    let text = read();
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let mut words = line.split(' ').skip(2);
        let (name, kind) = (words.next().unwrap(), words.next().unwrap());
        assert!(name.starts_with("parsley_"), "{name}");
        match kind {
            "counter" => assert!(name.ends_with("_total"), "{name}"),
            "histogram" => assert!(name.ends_with("_seconds"), "{name}"),
            _ => {}
        }
    }
    assert!(!text.contains("no-1") && !text.contains("guess"));
    assert!(text.contains("parsley_requests_total{route=\"other\",status=\"404\"} 20"), "{text}");
}

/// Guards against a host that says it is ready before it holds a configuration.
#[test]
fn host_without_configuration_is_not_ready() {
    let host = SoloBuilder::new(env!("CARGO_BIN_EXE_parsleystage")).start().unwrap();
    let (status, body) = host.request(Get, "/readyz", None, &[], "").unwrap();
    assert_eq!((status, &body["reason"]), (503, &"store-unavailable".into()));
    assert_eq!(host.request(Get, "/healthz", None, &[], "").unwrap().0, 200);
}

/// Guards against a first token that is not measured by rank and length class.
#[test]
fn first_token_is_measured_by_rank_and_class() {
    let fleet = fixture::fleet().start().unwrap();
    let host = &fleet.hosts()[0];
    assert!(fixture::ask(&[host.address], &fixture::prompt("metered", 5)).complete);
    let address = host.address.to_string();
    let text = async_io::block_on(async {
        let request = parsley_standins::caller::request(Get, &address, "/metrics");
        let mut response = parsley_standins::caller::send(&address, request).await.unwrap();
        response.body_string().await.unwrap()
    });
    let line = "parsley_first_token_seconds_count{class=\"2k\",rank=\"standard\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(text.contains("parsley_control_bytes_total{content=\"member\",direction=\"sent\"}"));
    fleet.close();
}

/// Guards against a limit on the head that is not kept, and against one caller who uses up all
/// connections without an answer to the others.
#[test]
fn heads_and_connections_are_bounded() {
    let limits = json!({"header_bytes": 1024, "connections": 16});
    let host = SoloBuilder::new(env!("CARGO_BIN_EXE_parsleystage"))
        .setting("limits", limits)
        .start()
        .unwrap();
    let long = "x".repeat(1500);
    let (status, body) = host.request(Get, "/healthz", None, &[("x-long", &long)], "").unwrap();
    assert_eq!((status, &body["reason"]), (413, &"head-too-large".into()));
    let held: Vec<_> = (0..16).map(|_| TcpStream::connect(host.address).unwrap()).collect();
    // The host accepts in the order of the connections.
    let (status, body) = host.request(Get, "/healthz", None, &[], "").unwrap();
    assert_eq!((status, &body["reason"]), (503, &"too-many-connections".into()));
    drop(held);
    let is_free = |_| {
        std::thread::sleep(Duration::from_millis(10));
        host.request(Get, "/healthz", None, &[], "").unwrap().0 == 200
    };
    assert!((0..500).any(is_free));
}
