//! Stand-in of a backend server.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{read_message, Message};

/// Answers a request; returns whether the connection stays open.
pub type Behaviour = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// Requests that a server received: id and time.
pub type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub arrivals: Arrivals,
    born: u128,
    /// Time after which an idle connection is dropped without notice.
    idle_limit: Option<Duration>,
    has_exited: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(id: &str, behaviour: Arc<Behaviour>) -> Server {
        Server::start_with(id, None, behaviour)
    }

    /// Starts a server that drops connections which were idle for `idle_limit` without notice:
    /// whatever is sent next on one is reset.
    pub fn start_with(id: &str, idle_limit: Option<Duration>, behaviour: Arc<Behaviour>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis();
        let server = Server {
            id: id.to_owned(),
            address,
            arrivals: Arc::default(),
            born,
            idle_limit,
            has_exited: Arc::default(),
            streams: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                serving.streams.lock().expect("streams").extend(stream.try_clone());
                let (server, behaviour) = (serving.clone(), behaviour.clone());
                thread::spawn(move || server.serve(stream, &*behaviour));
            }
        });
        server
    }

    /// Exits: its connections end, and further ones are refused.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut idle_since = None;
        loop {
            // Returns when a request arrives or the connection ends.
            let _ = stream.peek(&mut [0]);
            let idle = idle_since.map_or(Duration::ZERO, |since: Instant| since.elapsed());
            if self.idle_limit.is_some_and(|limit| idle > limit) {
                // Closed with unread bytes, which resets it.
                return;
            }
            let Some(request) = read_message(&mut reader).filter(|request| request.is_whole) else {
                return;
            };
            let id = request.field("parsleystage-attempt-id").to_owned();
            if request.field("parsleystage-expect-instance") != self.id {
                let answer = "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.arrivals.lock().expect("arrivals").push((id, Instant::now()));
            if !behaviour(&request, &mut stream) {
                return;
            }
            idle_since = Some(Instant::now());
        }
    }

    /// Entry of the server in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"recife-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.address, self.born
        )
    }
}

/// Response head with the id and the seal, followed by `rest`.
pub fn response_head(request: &Message, status: u16, rest: &str) -> String {
    let id = request.field("parsleystage-attempt-id");
    format!("HTTP/1.1 {status} x\r\nParsleystage-Attempt-Id: {id}\r\nParsleystage-Engine-Seal: seal-{id}\r\n{rest}\r\n")
}

/// Writes a whole response.
pub fn write_response(stream: &mut TcpStream, request: &Message, body: &[u8]) -> bool {
    let head = response_head(request, 200, &format!("Content-Length: {}\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
