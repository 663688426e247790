//! The resources that operators declare, and the set in force on this host.
//!
//! The set is rebuilt from the configuration items by `config`; every other slice reads it. When
//! configuration stops coming, the last set stays in force.

use std::{collections::BTreeMap, sync::Arc};

use parsley_macros::{key, message};

use crate::document::Finding;

mod read;
mod status;
mod stored;
#[cfg(test)]
mod tests;

pub use read::{ResourceSpec, read_spec};
pub use status::{Condition, brief_conditions, conditions, referrers};
pub use stored::StoredResource;

/// Kinds of resources.
#[key]
#[serde(rename_all = "PascalCase")]
pub enum ResourceKind {
    /// A client account.
    ClientAccount,
    /// A rank of work.
    Rank,
    /// A model.
    Model,
    /// A model engine or plain service.
    BackendServer,
}

impl ResourceKind {
    /// All kinds, in the order in which references point.
    pub const ALL: [ResourceKind; 4] = [
        ResourceKind::Rank,
        ResourceKind::Model,
        ResourceKind::ClientAccount,
        ResourceKind::BackendServer,
    ];

    /// The path segment and key segment of the kind.
    pub fn segment(self) -> &'static str {
        match self {
            ResourceKind::ClientAccount => "clientaccounts",
            ResourceKind::Rank => "ranks",
            ResourceKind::Model => "models",
            ResourceKind::BackendServer => "backendservers",
        }
    }

    /// The name of the kind in files and messages.
    pub fn name(self) -> &'static str {
        match self {
            ResourceKind::ClientAccount => "ClientAccount",
            ResourceKind::Rank => "Rank",
            ResourceKind::Model => "Model",
            ResourceKind::BackendServer => "BackendServer",
        }
    }

    /// The kind with the given segment.
    pub fn from_segment(segment: &str) -> Option<ResourceKind> {
        ResourceKind::ALL.into_iter().find(|kind| kind.segment() == segment)
    }
}

/// A client account as the operator declares it.
#[message]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// BLAKE3 hex digests of the bearer tokens that identify the account.
    pub credential_digests: Vec<Arc<str>>,
    /// Ranks the account may use; the first is the default.
    pub ranks: Vec<Arc<str>>,
    /// Share relative to other accounts of the same rank.
    #[serde(default = "one")]
    pub weight: u32,
    /// Limit of prompt and generated tokens a second over all hosts; none if absent.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// Limit of engine memory held at a time, in tokens; none if absent.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
}

/// A rank of work as the operator declares it.
#[message]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Order among ranks; 0 is the most urgent.
    pub level: u8,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time within which a request finishes or fails, in milliseconds.
    pub finish_ms: u64,
    /// Share of service the rank keeps while other ranks flood, in hundredths.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// A model as the operator declares it.
#[message]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Largest number of prompt and generated tokens of one request.
    pub context_tokens: u64,
    /// Adapters and versions that may be requested as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Number of engines that should have the model loaded; none leaves engines as they are.
    #[serde(default)]
    pub replicas: Option<u32>,
}

/// What a backend server runs.
#[message]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum BackendRole {
    /// A model engine.
    Engine {
        /// Models the engine can serve.
        models: Vec<Arc<str>>,
        /// Memory for KV cache, in tokens.
        memory_tokens: u64,
        /// Sequences in one batch.
        batch: u32,
    },
    /// A plain service, reached by route.
    Service {
        /// Name in the route `/v1/services/<service>/`.
        service: Arc<str>,
        /// Whether its calls may be repeated.
        repeatable: bool,
    },
}

/// A backend server as the operator declares it.
#[message]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address as `ip:port`.
    pub address: Arc<str>,
    /// Region of the server.
    pub region: Arc<str>,
    /// Failure domain of the server.
    pub failure_domain: Arc<str>,
    /// What it runs.
    pub role: BackendRole,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The resources in force on a host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSet {
    /// Client accounts by name.
    pub accounts: BTreeMap<Arc<str>, ClientAccount>,
    /// Ranks by name.
    pub ranks: BTreeMap<Arc<str>, Rank>,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Backend servers by name.
    pub servers: BTreeMap<Arc<str>, BackendServer>,
    /// Names of client accounts by the digest of a token.
    pub digests: BTreeMap<Arc<str>, Arc<str>>,
}

impl ResourceSet {
    /// Puts one resource in force from its value in the key-value service. Returns what is wrong
    /// with a bad one, which leaves the set as it was.
    ///
    /// References are not checked: a resource may arrive before the one it refers to.
    pub fn put(&mut self, kind: ResourceKind, name: &str, value: &str) -> Result<(), Arc<str>> {
        let stored = StoredResource::decode(value)?;
        let spec = read_spec(kind, name, &stored.spec.to_string(), None)
            .map_err(|findings| summary(&findings))?;
        let name: Arc<str> = name.into();
        match spec {
            ResourceSpec::ClientAccount(spec) => {
                self.remove(kind, &name);
                for digest in &spec.credential_digests {
                    // Two accounts can get one token by a race; all hosts must choose the same.
                    let owner = self.digests.entry(digest.clone()).or_insert_with(|| name.clone());
                    if name < *owner {
                        *owner = name.clone();
                    }
                }
                self.accounts.insert(name, spec);
            }
            ResourceSpec::Rank(spec) => drop(self.ranks.insert(name, spec)),
            ResourceSpec::Model(spec) => drop(self.models.insert(name, spec)),
            ResourceSpec::BackendServer(spec) => drop(self.servers.insert(name, spec)),
        }
        Ok(())
    }

    /// Whether the set has a resource.
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        match kind {
            ResourceKind::ClientAccount => self.accounts.contains_key(name),
            ResourceKind::Rank => self.ranks.contains_key(name),
            ResourceKind::Model => self.models.contains_key(name),
            ResourceKind::BackendServer => self.servers.contains_key(name),
        }
    }

    /// Removes one resource.
    pub fn remove(&mut self, kind: ResourceKind, name: &str) {
        match kind {
            ResourceKind::ClientAccount => self.remove_account(name),
            ResourceKind::Rank => drop(self.ranks.remove(name)),
            ResourceKind::Model => drop(self.models.remove(name)),
            ResourceKind::BackendServer => drop(self.servers.remove(name)),
        }
    }
}

impl ResourceSet {
    fn remove_account(&mut self, name: &str) {
        let Some(removed) = self.accounts.remove(name) else { return };
        for digest in removed.credential_digests {
            if self.digests.get(&digest).is_none_or(|owner| **owner != *name) {
                continue;
            }
            self.digests.remove(&digest);
            let has = |one: &ClientAccount| one.credential_digests.contains(&digest);
            if let Some((other, _)) = self.accounts.iter().find(|(_, account)| has(account)) {
                self.digests.insert(digest, other.clone());
            }
        }
    }
}

fn summary(findings: &[Finding]) -> Arc<str> {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; ").into()
}

fn one() -> u32 {
    1
}
