//! Engines and the key-value service that send bytes without end: an answer that is kept whole has a
//! limit. Guards against a host that keeps them all and runs out of memory.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
    time::Duration,
};

use parsley_node::{
    adapter::{
        engine::{self, EngineAnswer, EngineOrder},
        hostlist,
    },
    error::NodeError,
};

/// Time within which a call that gets bytes without end must fail.
const END_LIMIT: Duration = Duration::from_secs(10);

/// A server that answers each connection with `head` and then bytes without end.
fn start_endless_server(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let mut is_open = stream.write_all(head.as_bytes()).is_ok();
            while is_open {
                is_open = stream.write_all(&[b'1'; 16 << 10]).is_ok();
            }
        }
    });
    address
}

/// Runs a call and returns its error; panics if it goes on.
fn error_of<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, NodeError> + Send + 'static,
) -> NodeError {
    let (sender, ended) = mpsc::channel();
    thread::spawn(move || sender.send(call()));
    let result = ended.recv_timeout(END_LIMIT).expect("the end of the call");
    result.err().expect("an error")
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n";

#[test]
fn endless_answers_are_ended() {
    let address: std::sync::Arc<str> = start_endless_server(HEAD).to_string().into();
    let engine = address.clone();
    error_of(move || async_io::block_on(engine::load_report(&engine)));
    let list = address.clone();
    error_of(move || async_io::block_on(hostlist::hosts(&list)));
}

#[test]
fn endless_line_of_a_stream_is_ended() {
    let address = start_endless_server(HEAD).to_string();
    let order = EngineOrder {
        stream: "s".into(),
        model: "m".into(),
        prompt: "p".into(),
        offset: 0,
        max_tokens: 1,
        priority: 0,
        owner: "h".into(),
        time_left: Duration::from_secs(1),
    };
    error_of(move || {
        async_io::block_on(async {
            let (answer, _) = engine::submit(&address, &order).await?;
            let EngineAnswer::Stream(mut stream) = answer else {
                panic!("the engine refused");
            };
            stream.next().await.map(drop)
        })
    });
}
