use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use super::*;

/// Starts a service that answers one call with this status line. Returns its address.
fn start_service(status: &'static str) -> Arc<str> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4_096];
        while !bytes.windows(4).any(|window| window == b"call") {
            let length = stream.read(&mut bytes).unwrap();
            assert_ne!(length, 0, "no call");
        }
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(head.as_bytes()).unwrap();
    });
    address.into()
}

/// Guards against calls that are told an interim or impossible status as their outcome.
#[test]
fn answer_without_a_final_status_is_no_answer() {
    let order = ServiceOrder {
        path: "run".into(),
        key: None,
        content_type: "text/plain".into(),
        body: b"call".to_vec().into(),
    };
    for (status, is_answer) in
        [("200 x", true), ("503 x", true), ("101 x", false), ("600 x", false), ("999 x", false)]
    {
        let addresses = [start_service(status)];
        let answer = futures_lite::future::block_on(call(&addresses, &order, CONNECT_LIMIT));
        let is_answered = matches!(answer, ServiceAnswer::Answered(_));
        assert_eq!(is_answered, is_answer, "{status}");
    }
}
