//! Stand-in of a backend server: runs each request for a given time, in a limited number of slots,
//! and answers it whole.

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message, write_message},
    record::Record,
};

/// What a server saw of one request.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub received: Instant,
    pub ended: Option<Instant>,
}

/// How a server works.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    /// Time to run a request.
    pub time: fn(&Message) -> Duration,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// For event streams, the time before each event after the first, which follows `time`.
    pub gaps: Option<fn(&Message) -> Vec<Duration>>,
}

/// Running stand-in.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    busy: Arc<(Mutex<usize>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(id: &str, work: Work, record: &Arc<Record>) -> std::io::Result<Server> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            work,
            busy: Arc::default(),
            runs: Arc::default(),
            streams: Arc::default(),
            is_down: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_down.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Ends the server like a process that exits: its connections break and further ones are refused.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// What was run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().unwrap().push(copy);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            if !request.is_complete || self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.field("parsleystage-attempt-id").unwrap_or_default();
        let expected = request.field("parsleystage-expect-instance");
        if expected.is_some_and(|instance| instance != self.id) {
            let fields =
                [("Parsleystage-Attempt-Id", &*id), ("Parsleystage-Not-Executed", "replaced")];
            return write_message(writer, "HTTP/1.1 421 x", &fields, b"");
        }
        let received = Instant::now();
        let (busy, freed) = &*self.busy;
        let mut count =
            freed.wait_while(busy.lock().unwrap(), |count| *count >= self.work.slots).unwrap();
        *count += 1;
        drop(count);
        self.record.line(&format!(
            "server {} runs request {id} ({} {}, {} bytes)",
            self.id,
            request.method(),
            request.target(),
            request.body.len()
        ));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let id = id.clone();
            runs.push(Run { id, received, ended: None });
            runs.len() - 1
        };
        thread::sleep((self.work.time)(request));
        let seal = format!("seal-{}-{id}", self.id);
        let result = match self.work.gaps {
            Some(gaps) => self.stream(writer, &id, &seal, gaps(request)),
            None => {
                let fields =
                    [("Parsleystage-Attempt-Id", &*id), ("Parsleystage-Engine-Seal", &*seal)];
                let body = vec![b'x'; self.work.answer_bytes];
                write_message(writer, "HTTP/1.1 200 OK", &fields, &body)
            }
        };
        let is_whole = result.is_ok() && !self.is_down.load(Ordering::SeqCst);
        if is_whole {
            self.runs.lock().unwrap()[index].ended = Some(Instant::now());
        }
        *busy.lock().unwrap() -= 1;
        freed.notify_one();
        let end = if is_whole { "has answered" } else { "could not answer" };
        self.record.line(&format!("server {} {end} request {id}", self.id));
        result
    }

    /// Writes one event after the other, as long as the connection stands.
    fn stream(
        &self,
        writer: &mut TcpStream,
        id: &str,
        seal: &str,
        gaps: Vec<Duration>,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nParsleystage-Attempt-Id: {id}\r\nParsleystage-Engine-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let data = "x".repeat(self.work.answer_bytes);
        for (index, gap) in std::iter::once(Duration::ZERO).chain(gaps).enumerate() {
            thread::sleep(gap);
            let event = format!("id: {}\ndata: {data}\n\n", index + 1);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
