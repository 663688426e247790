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
/// Time within which a started host answers.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Environment variable with the path of the settings, for a program that is not `parsleystage`.
pub const SETTINGS_VARIABLE: &str = "PARSLEY_TEST_SETTINGS";

/// Describes a solo host.
pub struct SoloBuilder {
    command: Command,
    settings: Value,
    lost_answers: bool,
    address: Option<SocketAddr>,
}

impl SoloBuilder {
    /// A host that runs `program serve --settings FILE`.
    pub fn new(program: &str) -> SoloBuilder {
        let mut command = Command::new(program);
        command.args(["serve", "--settings"]);
        SoloBuilder { command, settings: json!({}), lost_answers: false, address: None }
    }

    /// A host that runs this very test program with a filter that selects `test`, which must serve
    /// with the settings named in [`SETTINGS_VARIABLE`].
    pub fn this_program(test: &str) -> io::Result<SoloBuilder> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--exact", test, "--nocapture", "--skip"]);
        Ok(SoloBuilder { command, settings: json!({}), lost_answers: false, address: None })
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

    /// Starts the host and waits until it answers.
    pub fn start(mut self) -> io::Result<SoloHost> {
        let store = store::start(0, Arc::default())?;
        let relay = if self.lost_answers { Some(lossy_relay(store.address())?) } else { None };
        let address = match self.address {
            Some(address) => address,
            None => free_address()?.0,
        };
        let (peer_address, _) = free_address()?;
        let own = json!({
            "name": "solo", "region": "region-0", "failure_domain": "domain-0",
            "listen": address, "peer_listen": peer_address, "peer_key": "stand-in fleet",
            "store": [relay.as_ref().unwrap_or(&store).address()],
            "operator_digests": [blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().to_string()],
        });
        let Value::Object(mut settings) = own else { unreachable!("an object was written above") };
        if let Value::Object(changed) = self.settings.take() {
            settings.extend(changed);
        }
        let base = std::env::temp_dir().join(format!("parsley-solo-{:016x}", fastrand::u64(..)));
        let path = base.with_extension("json");
        let log = base.with_extension("log");
        std::fs::write(&path, Value::Object(settings).to_string())?;
        let child = self
            .command
            .arg(&path)
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log)?)
            .spawn()?;
        let mut host = SoloHost {
            address,
            peer_address,
            store: Some(store),
            relay,
            child,
            settings: path,
            log,
        };
        host.wait_answer()?;
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

    fn wait_answer(&mut self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        // A connection shows that the host listens, with TLS or without.
        while std::net::TcpStream::connect(self.address).is_err() {
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
