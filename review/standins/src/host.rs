//! Processes of the project, started with the command of the deploy file.

use std::{
    fs,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, read_message};

const READY_LIMIT: Duration = Duration::from_secs(20);

/// Running host; killed when dropped.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    dir: PathBuf,
    child: Child,
}

/// Loopback address whose ports are free, different for each process of a case.
fn free_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    for step in 0..100_u8 {
        let ip = Ipv4Addr::new(127, 10 + high % 200, low.wrapping_add(step), 1 + number);
        if [8220, 8224, 8227, 9464].iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
    panic!("no loopback address has the ports free");
}

impl Host {
    /// Starts a host; `number` tells the hosts of a case apart. `apply_ms` is `config_apply_ms`.
    pub fn start(
        number: u8,
        store: SocketAddr,
        memory_mb: u64,
        apply_ms: u64,
    ) -> std::io::Result<Host> {
        let ip = free_ip(number);
        let name = format!("front-a-{number}");
        let dir = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let settings = format!(
            r#"{{"node_name": "{name}", "role": "host", "machine_class": "front",
"serves": ["front", "directory"], "ip": "{ip}", "zone": "a", "region": "r", "zones": {{"a": "r"}},
"listen_addrs": {{"front": "{ip}:8227", "ready": "{ip}:8220", "directory": "{ip}:8224"}},
"internal_ports": [7340, 7355], "seeds": [], "bootstrap": true, "loss_counts": false,
"limits": {{"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": {memory_mb}, "max_fds": 4100,
"link_mbps": 1000.0, "disk_mb": 0}}, "data_dir": null, "discovery": "platform",
"entry": "directory", "heartbeat_ms": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
"platform", "spans"], "fault_tolerance": {{"machines": 2, "zones": 0, "regions": 0}},
"contract_params": {{"seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 3000,
"ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
"config_apply_ms": {apply_ms}, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true,
"revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 106,
"recovery_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 1500, "hold_max_ms": 20000,
"free_ms": 4000, "idle_max_ms": 9000, "ttl_max_s": 5}},
"platform": {{"address": "{store}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
"history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}}}"#
        );
        let file = dir.join("boot.json");
        fs::write(file, settings)?;
        let child = start_process(&dir)?;
        let address = |port| SocketAddr::from((ip, port));
        let (front, ready, directory) = (address(8227), address(8220), address(8224));
        Ok(Host { name, front, ready, directory, dir, child })
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|response| response.status() == 200)
    }

    /// Whether the host became ready within the time that a start may take here.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Answer of `GET /resolve`, which tells clients where to connect.
    pub fn resolve(&self) -> Option<String> {
        let response = get(self.directory, "/resolve?name=a.example&region=r&zone=a")?;
        (response.status() == 200).then(|| response.text())
    }

    pub fn signal(&self, name: &str) {
        // Fails only if the process has ended.
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a process that was killed again, with the same settings.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = start_process(&self.dir)?;
        Ok(())
    }

    /// Resident memory in megabytes; `None` if the process has ended.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes / 1024.0)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }
}

fn start_process(dir: &Path) -> std::io::Result<Child> {
    let log = fs::File::options().create(true).append(true).open(dir.join("log"))?;
    Command::new("target/release/parsleystage-platform")
        .args(["serve", "--metrics", "9464"])
        .env("PARSLEYSTAGE_BOOT", dir.join("boot.json"))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok().filter(|response| response.is_complete)
}
