//! Host processes, started with the command of the deploy file.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http::get;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run if it is still running after `limit`, with all processes
/// that it started.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().expect("processes").iter() {
            unsafe { kill(*pid, SIGKILL) };
        }
        std::process::exit(2);
    });
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Figures of a machine and of the deployment that a settings file names.
#[derive(Clone, Copy)]
pub struct Machine {
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub max_fds: u32,
    pub link_mbps: f64,
}

/// Program and arguments of the deploy file's role.
fn deploy_command(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("deploy/system.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
    line.trim_end_matches('"').split(' ').map(str::to_owned).collect()
}

pub struct Host {
    child: Child,
    dir: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
}

impl Host {
    /// Starts a host at a loopback address of its own. The ports are those of the pages; `number`
    /// and the id of this process make the address unique.
    pub fn start(number: u8, store: SocketAddr, machine: &Machine, params: &str) -> Host {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT"));
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + high % 250, 1 + low % 250, number);
        let dir = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let Machine { cpu_share, memory_mb, max_fds, link_mbps } = machine;
        let settings = format!(
            r#"{{"node_name":"front-{number}","role":"host","machine_class":"front","serves":["front","directory"],
"ip":"{ip}","zone":"recife-a","region":"nordeste","zones":{{"recife-a":"nordeste"}},
"listen_addrs":{{"front":"{ip}:8227","ready":"{ip}:8220","directory":"{ip}:8224"}},
"internal_ports":[7340,7355],"seeds":[],"bootstrap":true,"loss_counts":false,
"limits":{{"cpu_share":{cpu_share},"cpu_cores":1,"memory_mb":{memory_mb},"max_fds":{max_fds},"link_mbps":{link_mbps:.1},"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"contract_params":{params},
"platform":{{"address":"{}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            store
        );
        fs::write(dir.join("boot.json"), settings).expect("settings");
        let child = Host::spawn(&root, &dir);
        RUNNING.lock().expect("processes").push(child.id() as i32);
        let address = |port| SocketAddr::from((ip, port));
        let (front, ready, directory) = (address(8227), address(8220), address(8224));
        Host { child, dir, front, ready, directory }
    }

    fn spawn(root: &Path, dir: &Path) -> Child {
        let command = deploy_command(root);
        let log = fs::File::options().create(true).append(true).open(dir.join("log")).expect("log");
        let errors = log.try_clone().expect("log");
        Command::new(root.join(&command[0]))
            .args(&command[1..])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PARSLEYSTAGE_BOOT", dir.join("boot.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the program of the deploy file")
    }

    /// Waits until the host says that it is ready; `false` if it does not in 15 s.
    pub fn wait_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if get(self.ready, "/ready").is_some_and(|response| response.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Addresses of fronts that the host's directory names; empty if it names none.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let path = "/resolve?name=a.example&region=nordeste&zone=recife-a";
        let Some(answer) = get(self.directory, path).filter(|answer| answer.status() == 200) else {
            return Vec::new();
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = text.split('[').nth(1).and_then(|rest| rest.split(']').next()).unwrap_or("");
        list.split(',').filter_map(|one| one.trim().trim_matches('"').parse().ok()).collect()
    }

    pub fn signal(&self, signal: i32) {
        // The process is a child that was not waited for, so the id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory of the process in kB.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.map_or(0, |line| line.trim().trim_end_matches(" kB").parse().unwrap_or(0))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let pid = self.child.id() as i32;
        RUNNING.lock().expect("processes").retain(|one| *one != pid);
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
