//! One real host process with a key-value service and no engines, for tests of the operators' side.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::{
    caller,
    fleet::free_address,
    server::{self, AnswerFuture, ServerHandle},
    store,
};

/// Token of the operator of a solo host.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Starts of a host whose address is in use.
const START_TRIES: u32 = 5;
/// Time within which a host has started.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Environment variable with the path of the settings, for a program that is not `parsleystage`.
pub const SETTINGS_VARIABLE: &str = "PARSLEY_TEST_SETTINGS";

/// Describes a solo host.
pub struct SoloBuilder {
    program: PathBuf,
    arguments: Vec<String>,
    settings: Value,
    lost_answers: bool,
    address: Option<SocketAddr>,
}

impl SoloBuilder {
    /// A host that runs `program serve --settings FILE`.
    pub fn new(program: &str) -> SoloBuilder {
        SoloBuilder::with_arguments(program.into(), &["serve", "--settings"])
    }

    /// A host that runs this very test program with a filter that selects `test`, which must serve
    /// with the settings named in [`SETTINGS_VARIABLE`].
    pub fn this_program(test: &str) -> io::Result<SoloBuilder> {
        let program = std::env::current_exe()?;
        Ok(SoloBuilder::with_arguments(program, &["--exact", test, "--nocapture", "--skip"]))
    }

    fn with_arguments(program: PathBuf, arguments: &[&str]) -> SoloBuilder {
        let arguments = arguments.iter().map(|one| (*one).to_owned()).collect();
        let settings = json!({});
        SoloBuilder { program, arguments, settings, lost_answers: false, address: None }
    }

    /// Sets a field of the settings.
    pub fn setting(mut self, name: &str, value: Value) -> SoloBuilder {
        self.settings[name] = value;
        self
    }

    /// Sets the address for callers and operators, which is a free one otherwise.
    pub fn address(mut self, address: SocketAddr) -> SoloBuilder {
        self.address = Some(address);
        self
    }

    /// Makes the key-value service drop the answer of each first write of a key, after it took
    /// effect.
    pub fn lost_answers(mut self) -> SoloBuilder {
        self.lost_answers = true;
        self
    }

    /// Starts the host and waits until it has started.
    ///
    /// A start that finds an address in use is tried again: a process that another test forks
    /// holds the listener that reserved the address until it executes its program.
    pub fn start(self) -> io::Result<SoloHost> {
        let store = store::start(0, Arc::default())?;
        let relay = if self.lost_answers { Some(lossy_relay(store.address())?) } else { None };
        let store_address = relay.as_ref().unwrap_or(&store).address();
        let mut launched = self.launch(store_address);
        for _ in 1..START_TRIES {
            match &launched {
                Err(err) if err.to_string().contains("in use") => {
                    launched = self.launch(store_address);
                }
                _ => break,
            }
        }
        let mut host = launched?;
        (host.store, host.relay) = (Some(store), relay);
        Ok(host)
    }

    fn launch(&self, store: SocketAddr) -> io::Result<SoloHost> {
        let address = match self.address {
            Some(address) => address,
            None => free_address()?.0,
        };
        let (peer_address, _) = free_address()?;
        let mut settings = json!({
            "name": "solo", "region": "region-0", "failure_domain": "domain-0",
            "listen": address, "peer_listen": peer_address, "peer_key": "stand-in fleet",
            "store": [store],
            "operator_digests": [blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().to_string()],
        });
        for (name, value) in self.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let base = std::env::temp_dir().join(format!("parsley-solo-{:016x}", fastrand::u64(..)));
        let path = base.with_extension("json");
        let log = base.with_extension("log");
        std::fs::write(&path, settings.to_string())?;
        let output = std::fs::File::create(&log)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .arg(&path)
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let mut host = SoloHost {
            address,
            peer_address,
            store: None,
            relay: None,
            child,
            settings: path,
            log,
        };
        host.wait_started()?;
        Ok(host)
    }
}

/// A running solo host.
pub struct SoloHost {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    store: Option<ServerHandle>,
    relay: Option<ServerHandle>,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl SoloHost {
    /// Sends a request with a bearer token, if any, and headers. Returns status and JSON body.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        token: Option<&str>,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<(u16, Value)> {
        let address = self.address.to_string();
        let mut request = caller::request(method, &address, path);
        if let Some(token) = token {
            request.insert_header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        if !body.is_empty() {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        async_io::block_on(async {
            let mut response = caller::send(&address, request).await.map_err(io::Error::other)?;
            let text = response.body_string().await.map_err(io::Error::other)?;
            let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
            Ok((response.status().into(), value))
        })
    }

    /// Sends a request as operator.
    pub fn admin(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<(u16, Value)> {
        self.request(method, &format!("/admin/v1/{path}"), Some(OPERATOR_TOKEN), headers, body)
    }

    /// Address of the key-value service, if it runs.
    pub fn store_address(&self) -> Option<SocketAddr> {
        self.store.as_ref().map(ServerHandle::address)
    }

    /// Stops the key-value service for good.
    pub fn kill_store(&mut self) {
        for handle in [self.relay.take(), self.store.take()].into_iter().flatten() {
            handle.close();
        }
    }

    /// What the host has logged so far, one JSON object a line.
    pub fn log(&self) -> io::Result<Vec<Value>> {
        let text = std::fs::read_to_string(&self.log)?;
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }

    /// The log's path.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Waits until the process has ended by itself. Returns whether it ended with success.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").args([&format!("-{signal}"), &pid]).status().map(drop)
    }

    /// Waits for the event that the host writes once it listens. A connection alone would not tell
    /// this host from a listener that reserved the address.
    fn wait_started(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        while !self.log()?.iter().any(|line| line["event"] == "E1001") {
            if Instant::now() >= end || !self.is_running()? {
                let log = std::fs::read_to_string(&self.log)?;
                return Err(io::Error::other(format!("the host did not start: {log}")));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl Drop for SoloHost {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.kill_store();
        drop(std::fs::remove_file(&self.settings));
        drop(std::fs::remove_file(&self.log));
    }
}

/// Passes requests on to the store. The answer of the first write of each key is held back for
/// longer than any client waits, as if it were lost.
fn lossy_relay(store: SocketAddr) -> io::Result<ServerHandle> {
    server::start(0, move |_| {
        let seen = std::rc::Rc::new(std::cell::RefCell::new(std::collections::BTreeSet::new()));
        move |request: Request| -> AnswerFuture {
            let seen = seen.clone();
            Box::pin(async move {
                let is_write = matches!(request.method(), Method::Put | Method::Delete);
                let mark = format!("{} {}", request.method(), request.url().path());
                let is_lost = is_write && seen.borrow_mut().insert(mark);
                let response = pass_on(store, request).await;
                if is_lost {
                    async_io::Timer::after(Duration::from_secs(30)).await;
                }
                response
            })
        }
    })
}

async fn pass_on(store: SocketAddr, mut request: Request) -> Response {
    let address = store.to_string();
    let url = request.url();
    let path = format!("{}?{}", url.path(), url.query().unwrap_or(""));
    let mut next = caller::request(request.method(), &address, &path);
    next.set_body(request.take_body());
    match caller::send(&address, next).await {
        Ok(response) => response,
        Err(err) => server::json(503, &json!({"detail": err})),
    }
}
