//! Describes a fleet.

use std::{path::PathBuf, time::Duration};

use crate::engine_model::EngineShape;

/// Describes a fleet.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(super) command: PathBuf,
    pub(super) hosts: usize,
    pub(super) domains: usize,
    pub(super) engines: usize,
    pub(super) accounts: Vec<String>,
    pub(super) shape: EngineShape,
    pub(super) step: Duration,
    pub(super) services: bool,
    pub(super) quiet: bool,
    pub(super) relayed: bool,
    pub(super) replicas: Option<u32>,
    pub(super) checks_fencing: bool,
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
            relayed: false,
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

    /// Whether every connection passes a relay that can make it silent.
    pub fn relayed(mut self, relayed: bool) -> FleetBuilder {
        self.relayed = relayed;
        self
    }
}
