//! A small fleet on loopback: platform stand-ins, engines and real host processes.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::Method;
use serde_json::{Value, json};

use crate::{
    caller,
    engine::{self, EngineConfig},
    engine_model::EngineShape,
    hostlist,
    server::ServerHandle,
    service, store, weights,
};

/// Secret that the hosts of a stand-in fleet share.
const PEER_KEY: &str = "stand-in fleet";
/// Unit of processor time in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Rate of the weight store.
const LOADS_PER_SECOND: f64 = 40.0;
/// Time within which a started fleet answers.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Describes a fleet.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    command: PathBuf,
    hosts: usize,
    domains: usize,
    engines: usize,
    accounts: Vec<String>,
    shape: EngineShape,
    step: Duration,
    services: bool,
    quiet: bool,
    replicas: Option<u32>,
    checks_fencing: bool,
}

impl FleetBuilder {
    /// A fleet whose host processes run `command serve --settings FILE`.
    pub fn new(command: impl Into<PathBuf>) -> FleetBuilder {
        FleetBuilder {
            command: command.into(),
            hosts: 3,
            domains: 3,
            engines: 3,
            accounts: vec!["inspection".to_owned(), "archive".to_owned()],
            shape: EngineShape {
                memory_tokens: 600_000,
                batch: 32,
                prefill_tokens: 20_000,
                cached_prefixes: 64,
            },
            step: Duration::from_millis(5),
            services: true,
            quiet: true,
            replicas: None,
            checks_fencing: true,
        }
    }

    /// Number of hosts.
    pub fn hosts(mut self, hosts: usize) -> FleetBuilder {
        self.hosts = hosts;
        self
    }

    /// Number of failure domains.
    pub fn domains(mut self, domains: usize) -> FleetBuilder {
        self.domains = domains;
        self
    }

    /// Number of engines.
    pub fn engines(mut self, engines: usize) -> FleetBuilder {
        self.engines = engines;
        self
    }

    /// Names of client accounts; each one's bearer token is `token-<name>`.
    pub fn accounts(mut self, accounts: Vec<String>) -> FleetBuilder {
        self.accounts = accounts;
        self
    }

    /// Size and pace of each engine.
    pub fn shape(mut self, shape: EngineShape) -> FleetBuilder {
        self.shape = shape;
        self
    }

    /// Time of one engine step.
    pub fn step(mut self, step: Duration) -> FleetBuilder {
        self.step = step;
        self
    }

    /// Number of engines that are to have the model loaded. Engines then start without it.
    pub fn replicas(mut self, replicas: u32) -> FleetBuilder {
        self.replicas = Some(replicas);
        self
    }

    /// Whether engines refuse orders with an old fencing number.
    pub fn checks_fencing(mut self, checks_fencing: bool) -> FleetBuilder {
        self.checks_fencing = checks_fencing;
        self
    }

    /// Whether the hosts' logs are dropped.
    pub fn quiet(mut self, quiet: bool) -> FleetBuilder {
        self.quiet = quiet;
        self
    }

    /// Starts everything and waits until each host has the configuration.
    pub fn start(self) -> io::Result<Fleet> {
        let store = store::start(0)?;
        let host_list = hostlist::start(0, json!([]))?;
        let weights = weights::start(0, LOADS_PER_SECOND)?;
        let mut fleet = Fleet {
            builder: self,
            store: Some(store),
            host_list: Some(host_list),
            weights: Some(weights),
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
        };
        fleet.start_servers()?;
        fleet.declare()?;
        fleet.plan_hosts()?;
        for index in 0..fleet.hosts.len() {
            fleet.start_host(index)?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }
}

/// One host of the fleet.
pub struct FleetHost {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running fleet.
pub struct Fleet {
    builder: FleetBuilder,
    store: Option<ServerHandle>,
    host_list: Option<ServerHandle>,
    weights: Option<ServerHandle>,
    engines: Vec<Option<ServerHandle>>,
    services: Vec<ServerHandle>,
    hosts: Vec<FleetHost>,
}

impl Fleet {
    /// The hosts.
    pub fn hosts(&self) -> &[FleetHost] {
        &self.hosts
    }

    /// Address of the key-value service, if it runs.
    pub fn store_address(&self) -> Option<SocketAddr> {
        self.store.as_ref().map(ServerHandle::address)
    }

    /// Address of the host list, if it runs.
    pub fn host_list_address(&self) -> Option<SocketAddr> {
        self.host_list.as_ref().map(ServerHandle::address)
    }

    /// Addresses of the engines that run.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().flatten().map(ServerHandle::address).collect()
    }

    /// Addresses of the plain services.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(ServerHandle::address).collect()
    }

    /// Kills a host's process.
    pub fn kill_host(&mut self, index: usize) {
        if let Some(mut child) = self.hosts[index].child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`, to a host's process.
    pub fn signal_host(&self, index: usize, signal: &str) -> io::Result<()> {
        let Some(child) = &self.hosts[index].child else { return Ok(()) };
        let pid = child.id().to_string();
        Command::new("kill").args([&format!("-{signal}"), &pid]).status().map(drop)
    }

    /// Processor time that a host's process has used.
    pub fn host_cpu(&self, index: usize) -> io::Result<Duration> {
        let Some(child) = &self.hosts[index].child else { return Ok(Duration::ZERO) };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        // The command's name may contain spaces; the fields after its closing bracket do not.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |index: usize| {
            fields.split_whitespace().nth(index).and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let ticks: u64 = ticks(11) + ticks(12);
        Ok(Duration::from_millis(ticks * TICK_MS))
    }

    /// Waits until a host's process ended by itself. Returns whether it ended with success.
    pub fn wait_host(&mut self, index: usize) -> io::Result<bool> {
        let Some(mut child) = self.hosts[index].child.take() else { return Ok(false) };
        Ok(child.wait()?.success())
    }

    /// Stops an engine with every connection to it.
    pub fn kill_engine(&mut self, index: usize) {
        if let Some(engine) = self.engines[index].take() {
            engine.close();
        }
    }

    /// Stops the key-value service for good.
    pub fn kill_store(&mut self) {
        if let Some(store) = self.store.take() {
            store.close();
        }
    }

    /// Starts a host's process.
    pub fn start_host(&mut self, index: usize) -> io::Result<()> {
        let output = || if self.builder.quiet { Stdio::null() } else { Stdio::inherit() };
        let (stdout, stderr) = (output(), output());
        let host = &mut self.hosts[index];
        let child = Command::new(&self.builder.command)
            .args(["serve", "--settings"])
            .arg(&host.settings)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()?;
        host.child = Some(child);
        Ok(())
    }

    /// Stops everything.
    pub fn close(mut self) {
        self.stop();
        for engine in self.engines.drain(..).flatten() {
            engine.close();
        }
        for service in self.services.drain(..) {
            service.close();
        }
        self.kill_store();
        if let Some(host_list) = self.host_list.take() {
            host_list.close();
        }
        if let Some(weights) = self.weights.take() {
            weights.close();
        }
    }

    fn stop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill_host(index);
            drop(std::fs::remove_file(&self.hosts[index].settings));
        }
    }

    fn start_servers(&mut self) -> io::Result<()> {
        for _ in 0..self.builder.engines {
            let config = EngineConfig {
                port: 0,
                shape: self.builder.shape.clone(),
                step: self.builder.step,
                models: match self.builder.replicas {
                    Some(_) => Vec::new(),
                    None => vec!["inspector".to_owned()],
                },
                checks_fencing: self.builder.checks_fencing,
                weights: self.weights.as_ref().map(|weights| weights.address().to_string()),
            };
            self.engines.push(Some(engine::start(config)?));
        }
        if self.builder.services {
            self.services.push(service::start(0, Duration::from_millis(20))?);
        }
        Ok(())
    }

    fn declare(&self) -> io::Result<()> {
        let put = |kind: &str, name: &str, spec: Value| self.put(kind, name, &spec);
        put("ranks", "urgent", rank(0, 1_000, 30_000, 30))?;
        put("ranks", "standard", rank(1, 5_000, 120_000, 40))?;
        put("ranks", "batch", rank(2, 60_000, 300_000, 10))?;
        put(
            "models",
            "inspector",
            json!({"context_tokens": 1_200_000, "replicas": self.builder.replicas}),
        )?;
        for name in &self.builder.accounts {
            let digest = blake3::hash(format!("token-{name}").as_bytes()).to_hex().to_string();
            let spec = json!({
                "credential_digests": [digest], "ranks": ["standard", "urgent", "batch"],
            });
            put("clientaccounts", name, spec)?;
        }
        for (index, address) in self.engine_addresses().iter().enumerate() {
            let shape = &self.builder.shape;
            let role = json!({
                "type": "engine", "models": ["inspector"],
                "memory_tokens": shape.memory_tokens, "batch": shape.batch,
            });
            put("backendservers", &format!("engine-{index}"), self.server(index, *address, &role))?;
        }
        for (index, address) in self.service_addresses().iter().enumerate() {
            let role = json!({"type": "service", "service": "registry", "repeatable": false});
            put(
                "backendservers",
                &format!("registry-{index}"),
                self.server(index, *address, &role),
            )?;
        }
        Ok(())
    }

    fn server(&self, index: usize, address: SocketAddr, role: &Value) -> Value {
        let domain = format!("domain-{}", index % self.builder.domains);
        json!({
            "address": address.to_string(), "region": "region-0", "failure_domain": domain,
            "role": role, "checks_fencing": self.builder.checks_fencing,
        })
    }

    /// Writes a resource into the key-value service, past the administration API.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> io::Result<()> {
        let Some(address) = self.store_address() else { return Ok(()) };
        let address = address.to_string();
        let path = format!("/kv/config/{kind}/{name}");
        let mut request = caller::request(Method::Put, &address, &path);
        request.set_body(json!({"value": spec.to_string(), "expect": 0}).to_string());
        let response = async_io::block_on(caller::send(&address, request));
        match response {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) => Err(io::Error::other(format!("{kind}/{name}: {}", response.status()))),
            Err(err) => Err(io::Error::other(err)),
        }
    }

    fn plan_hosts(&mut self) -> io::Result<()> {
        let addresses: Vec<_> =
            (0..self.builder.hosts * 2).map(|_| free_address()).collect::<io::Result<_>>()?;
        let addresses: Vec<_> = addresses.iter().map(|(address, _)| *address).collect();
        let seeds: Vec<_> = addresses.iter().skip(1).step_by(2).take(3).collect();
        let run = fastrand::u64(..);
        for index in 0..self.builder.hosts {
            let name = format!("host-{index}");
            let (address, peer_address) = (addresses[index * 2], addresses[index * 2 + 1]);
            let settings = json!({
                "name": name, "region": "region-0",
                "failure_domain": format!("domain-{}", index % self.builder.domains),
                "listen": address, "peer_listen": peer_address, "peer_key": PEER_KEY,
                "store": [self.store_address()], "host_list": self.host_list.as_ref().map(ServerHandle::address),
                "weight_store": self.weights.as_ref().map(ServerHandle::address),
                "seeds": seeds,
            });
            let path = std::env::temp_dir().join(format!("parsley-{run:016x}-{name}.json"));
            std::fs::write(&path, settings.to_string())?;
            let host = FleetHost { name, address, peer_address, settings: path, child: None };
            self.hosts.push(host);
        }
        Ok(())
    }

    fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        for host in &self.hosts {
            while !self.is_ready(host) {
                if Instant::now() >= end {
                    return Err(io::Error::other(format!("{} did not become ready", host.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn is_ready(&self, host: &FleetHost) -> bool {
        let Ok(entries) = async_io::block_on(caller::entries(host.address)) else { return false };
        let address = host.address.to_string();
        let models = async_io::block_on(async {
            let mut request = caller::request(Method::Get, &address, "/v1/models");
            if let Some(account) = self.builder.accounts.first() {
                request.insert_header("authorization", format!("Bearer token-{account}"));
            }
            let mut response = caller::send(&address, request).await?;
            response.body_json::<Value>().await.map_err(|err| err.to_string())
        });
        let known =
            models.is_ok_and(|body| body["data"].as_array().is_some_and(|all| !all.is_empty()));
        known && entries.len() == self.hosts.len().min(8)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn rank(level: u8, first_token_ms: u64, finish_ms: u64, guaranteed_percent: u8) -> Value {
    json!({
        "level": level, "first_token_ms": first_token_ms, "finish_ms": finish_ms,
        "guaranteed_percent": guaranteed_percent,
    })
}

/// A loopback address on which nothing listens over TCP or UDP, with the listener that reserved it.
///
/// The IP address is random within 127.0.0.0/8: on 127.0.0.1 a port that was just released is often
/// given to a stand-in of another test before the host binds it.
pub fn free_address() -> io::Result<(SocketAddr, Arc<TcpListener>)> {
    let [a, b, c] = std::array::from_fn(|_| fastrand::u8(1..255));
    loop {
        let listener = TcpListener::bind((Ipv4Addr::new(127, a, b, c), 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok((address, Arc::new(listener)));
        }
    }
}
