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

mod builder;
mod inspect;

pub use builder::FleetBuilder;

use crate::{
    caller,
    engine::{self, EngineConfig, EngineFaults},
    hostlist,
    relay::{self, RelayHandle},
    server::ServerHandle,
    service::{self, ServiceLog},
    store::{self, StoreFaults},
    weights,
};

/// Secret that the hosts of a stand-in fleet share.
const PEER_KEY: &str = "stand-in fleet";
/// Rate of the weight store.
const LOADS_PER_SECOND: f64 = 40.0;
/// Time within which a started fleet answers.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Ports from here to [`LAST_PORT`] are not given to clients by the system.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
const PORT_TRIES: usize = 50;

impl FleetBuilder {
    /// Starts everything and waits until each host has the configuration.
    pub fn start(self) -> io::Result<Fleet> {
        let store_faults = Arc::<StoreFaults>::default();
        let store = store::start(0, store_faults.clone())?;
        let host_list = hostlist::start(0, json!([]))?;
        let weights = weights::start(0, LOADS_PER_SECOND)?;
        let mut fleet = Fleet {
            builder: self,
            store_faults,
            engine_faults: Vec::new(),
            service_log: Arc::default(),
            relays: Vec::new(),
            store: Some(store),
            host_list: Some(host_list),
            weights: Some(weights),
            engines: Vec::new(),
            engine_ports: Vec::new(),
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

/// What a relay of the fleet stands between.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayRoute {
    /// Hosts and an engine.
    Engine(usize),
    /// Hosts and the key-value service.
    Store,
    /// Hosts and a host.
    Peer(usize),
    /// Callers and a host.
    Caller(usize),
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
    store_faults: Arc<StoreFaults>,
    engine_faults: Vec<Arc<EngineFaults>>,
    service_log: Arc<ServiceLog>,
    relays: Vec<(RelayRoute, RelayHandle)>,
    store: Option<ServerHandle>,
    host_list: Option<ServerHandle>,
    weights: Option<ServerHandle>,
    engines: Vec<Option<ServerHandle>>,
    engine_ports: Vec<u16>,
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

    /// Addresses of the engines that run.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().flatten().map(ServerHandle::address).collect()
    }

    /// Addresses of the plain services.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(ServerHandle::address).collect()
    }

    fn add_relay(&mut self, route: RelayRoute, target: SocketAddr) -> io::Result<SocketAddr> {
        if !self.builder.relayed {
            return Ok(target);
        }
        let relay = relay::start(target)?;
        let address = relay.address();
        self.relays.push((route, relay));
        Ok(address)
    }

    /// Starts an engine that was killed again at its address; it remembers nothing.
    pub fn restart_engine(&mut self, index: usize) -> io::Result<()> {
        let config = self.engine_config(index, self.engine_ports[index]);
        self.engines[index] = Some(engine::start(config)?);
        Ok(())
    }

    /// Starts an engine on a port that no client gets while the engine is down.
    fn start_engine(&self, index: usize) -> io::Result<ServerHandle> {
        let tries = (0..PORT_TRIES).map(|_| fastrand::u16(FIRST_PORT..LAST_PORT));
        let mut start = tries.map(|port| engine::start(self.engine_config(index, port)));
        let free = || io::Error::other("no free port");
        start.find_map(Result::ok).ok_or_else(free)
    }

    fn engine_config(&self, index: usize, port: u16) -> EngineConfig {
        EngineConfig {
            port,
            shape: self.builder.shape.clone(),
            step: self.builder.step,
            models: match self.builder.replicas {
                Some(_) => Vec::new(),
                None => vec!["inspector".to_owned()],
            },
            checks_fencing: self.builder.checks_fencing,
            weights: self.weights.as_ref().map(|weights| weights.address().to_string()),
            faults: self.engine_faults[index].clone(),
        }
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
        for (_, relay) in self.relays.drain(..) {
            relay.close();
        }
    }

    fn stop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill_host(index);
            drop(std::fs::remove_file(&self.hosts[index].settings));
        }
    }

    fn start_servers(&mut self) -> io::Result<()> {
        for index in 0..self.builder.engines {
            self.engine_faults.push(Arc::default());
            let engine = self.start_engine(index)?;
            self.engine_ports.push(engine.address().port());
            self.engines.push(Some(engine));
        }
        if self.builder.services {
            let delay = Duration::from_millis(20);
            self.services.push(service::start(0, delay, self.service_log.clone())?);
        }
        Ok(())
    }

    fn declare(&mut self) -> io::Result<()> {
        let mut engines = Vec::new();
        for (index, address) in self.engine_addresses().into_iter().enumerate() {
            engines.push(self.add_relay(RelayRoute::Engine(index), address)?);
        }
        let put = |kind: &str, name: &str, spec: Value| self.put(kind, name, &spec);
        put("ranks", "urgent", rank(0, 1_000, 30_000, 30))?;
        put("ranks", "standard", rank(1, 5_000, 120_000, 40))?;
        put("ranks", "batch", rank(2, 60_000, 300_000, 10))?;
        let replicas = self.builder.replicas;
        put("models", "inspector", json!({"context_tokens": 1_200_000, "replicas": replicas}))?;
        for name in &self.builder.accounts {
            let digest = blake3::hash(format!("token-{name}").as_bytes()).to_hex().to_string();
            let spec = json!({
                "credential_digests": [digest], "ranks": ["standard", "urgent", "batch"],
            });
            put("clientaccounts", name, spec)?;
        }
        for (index, address) in engines.iter().enumerate() {
            let shape = &self.builder.shape;
            let role = json!({
                "type": "engine", "models": ["inspector"],
                "memory_tokens": shape.memory_tokens, "batch": shape.batch,
            });
            put("backendservers", &format!("engine-{index}"), self.server(index, *address, &role))?;
        }
        for (index, address) in self.service_addresses().iter().enumerate() {
            for (service, repeatable) in [("registry", false), ("lookup", true)] {
                let role = json!({"type": "service", "service": service, "repeatable": repeatable});
                let name = format!("{service}-{index}");
                put("backendservers", &name, self.server(index, *address, &role))?;
            }
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
        // Each fleet has a loopback address of its own and ports below those that the system gives
        // to clients, so that fleets do not disturb each other even while a host is down.
        let ip = Ipv4Addr::new(127, fastrand::u8(1..), fastrand::u8(..), fastrand::u8(1..255));
        let ports = (FIRST_PORT..).take(self.builder.hosts * 2);
        let addresses: Vec<_> = ports.map(|port| SocketAddr::from((ip, port))).collect();
        let mut peers = Vec::new();
        for (index, pair) in addresses.chunks(2).enumerate() {
            self.add_relay(RelayRoute::Caller(index), pair[0])?;
            peers.push(self.add_relay(RelayRoute::Peer(index), pair[1])?);
        }
        let store = match self.store_address() {
            Some(address) => self.add_relay(RelayRoute::Store, address)?,
            None => return Err(io::Error::other("no key-value service")),
        };
        let seeds: Vec<_> = peers.iter().take(3).collect();
        let run = fastrand::u64(..);
        for index in 0..self.builder.hosts {
            let name = format!("host-{index}");
            let (address, peer_address) = (addresses[index * 2], addresses[index * 2 + 1]);
            let mut settings = json!({
                "name": name, "region": "region-0",
                "failure_domain": format!("domain-{}", index % self.builder.domains),
                "listen": address, "peer_listen": peer_address, "peer_key": PEER_KEY,
                "store": [store], "host_list": self.host_list.as_ref().map(ServerHandle::address),
                "weight_store": self.weights.as_ref().map(ServerHandle::address),
                "seeds": seeds,
            });
            if self.builder.relayed {
                settings["peer_advertise"] = json!(peers[index]);
            }
            let path = std::env::temp_dir().join(format!("parsley-{run:016x}-{name}.json"));
            std::fs::write(&path, settings.to_string())?;
            let host = FleetHost { name, address, peer_address, settings: path, child: None };
            self.hosts.push(host);
        }
        Ok(())
    }

    fn wait_ready(&self) -> io::Result<()> {
        (0..self.hosts.len()).try_for_each(|index| self.wait_started(index))
    }

    /// Waits until a started host knows the configuration and the other hosts.
    pub fn wait_started(&self, index: usize) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        let host = &self.hosts[index];
        while !self.is_ready(host) {
            if Instant::now() >= end {
                return Err(io::Error::other(format!("{} did not become ready", host.name)));
            }
            std::thread::sleep(Duration::from_millis(50));
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
