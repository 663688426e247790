//! Resources that operators declare, and the set of them in force on this host.
//!
//! `config` builds the [`ResourceSet`] from the configuration items; the other modules only read
//! it. If configuration updates stop, the last set stays in force.

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
    /// All kinds, each after the kinds that its resources refer to.
    pub const ALL: [ResourceKind; 4] = [
        ResourceKind::Rank,
        ResourceKind::Model,
        ResourceKind::ClientAccount,
        ResourceKind::BackendServer,
    ];

    /// Returns the segment of the kind in paths of the administration API and in store keys.
    pub fn segment(self) -> &'static str {
        match self {
            ResourceKind::ClientAccount => "clientaccounts",
            ResourceKind::Rank => "ranks",
            ResourceKind::Model => "models",
            ResourceKind::BackendServer => "backendservers",
        }
    }

    /// Returns the name of the kind in resource files and messages.
    pub fn name(self) -> &'static str {
        match self {
            ResourceKind::ClientAccount => "ClientAccount",
            ResourceKind::Rank => "Rank",
            ResourceKind::Model => "Model",
            ResourceKind::BackendServer => "BackendServer",
        }
    }

    /// Returns the kind with the given segment, or `None` if there is none.
    pub fn from_segment(segment: &str) -> Option<ResourceKind> {
        ResourceKind::ALL.into_iter().find(|kind| kind.segment() == segment)
    }
}

/// Specification of a client account.
#[message]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// BLAKE3 digests, in hexadecimal, of the bearer tokens that identify the account.
    pub credential_digests: Vec<Arc<str>>,
    /// Names of the ranks that the account may use. The first one is the default.
    pub ranks: Vec<Arc<str>>,
    /// Share of service relative to other accounts of the same rank; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit on prompt and generated tokens per second over all hosts; `None` is unlimited.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// Limit on the engine memory that the account holds at any time, in tokens; `None` is
    /// unlimited.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
}

/// Specification of a rank, which is a priority class of requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Priority among ranks; 0 is the most urgent.
    pub level: u8,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time within which a request finishes or fails, in milliseconds.
    pub finish_ms: u64,
    /// Share of service that the rank keeps while other ranks are overloaded, in percent; 0 by
    /// default.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// Specification of a model.
#[message]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Greatest number of prompt and generated tokens of one request.
    pub context_tokens: u64,
    /// Adapters and versions, which callers request as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Number of engines that should have the model loaded; `None` leaves the engines as they are.
    #[serde(default)]
    pub replicas: Option<u32>,
}

/// Role of a backend server.
#[message]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum BackendRole {
    /// A model engine.
    Engine {
        /// Names of the models that the engine can serve.
        models: Vec<Arc<str>>,
        /// Capacity of the KV cache, in tokens.
        memory_tokens: u64,
        /// Greatest number of sequences in one batch.
        batch: u32,
    },
    /// A plain service without a model.
    Service {
        /// Name of the service in the route `/v1/services/<service>/`.
        service: Arc<str>,
        /// Whether calls may be repeated after a failure.
        repeatable: bool,
    },
}

/// Specification of a backend server.
#[message]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address to which requests are sent, as `ip:port`.
    pub address: Arc<str>,
    /// Region in which the server runs.
    pub region: Arc<str>,
    /// Failure domain in which the server runs.
    pub failure_domain: Arc<str>,
    /// Role of the server: engine or plain service.
    pub role: BackendRole,
    /// Whether the server rejects orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the server is leaving and must get no new requests.
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
    /// Names of client accounts by the digest of each bearer token.
    pub digests: BTreeMap<Arc<str>, Arc<str>>,
}

impl ResourceSet {
    /// Puts a resource in force from its value in the key-value service.
    ///
    /// Returns a description of the mistakes if the value is invalid, which leaves the set as it
    /// was. References are not checked, because a resource may arrive before the one that it refers
    /// to.
    pub fn put(&mut self, kind: ResourceKind, name: &str, value: &str) -> Result<(), Arc<str>> {
        let stored = StoredResource::decode(value)?;
        let spec = read_spec(kind, name, &stored.spec.to_string(), None)
            .map_err(|findings| summary(&findings))?;
        let name: Arc<str> = name.into();
        match spec {
            ResourceSpec::ClientAccount(spec) => {
                self.remove(kind, &name);
                for digest in &spec.credential_digests {
                    // Two accounts can get the same token if their writes race. The lower name
                    // wins, so that all hosts choose the same account.
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

    /// Returns whether the set has a resource of this kind and name.
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        match kind {
            ResourceKind::ClientAccount => self.accounts.contains_key(name),
            ResourceKind::Rank => self.ranks.contains_key(name),
            ResourceKind::Model => self.models.contains_key(name),
            ResourceKind::BackendServer => self.servers.contains_key(name),
        }
    }

    /// Removes a resource. Nothing happens if the set does not have it.
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
            // Another account may hold the same token after a race; it keeps the token.
            let has_digest = |account: &ClientAccount| account.credential_digests.contains(&digest);
            let mut accounts = self.accounts.iter();
            if let Some((other, _)) = accounts.find(|(_, account)| has_digest(account)) {
                self.digests.insert(digest, other.clone());
            }
        }
    }
}

fn summary(findings: &[Finding]) -> Arc<str> {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; ").into()
}

fn default_weight() -> u32 {
    1
}
