//! Decides which engine serves a request and which host owns that engine.
//!
//! Owns the loads heard from owners. When load reports stop coming, the last ones are used with
//! this host's own work added.

use std::{collections::BTreeMap, sync::Arc};

use parsley_macros::message;

use crate::{
    member::{MemberRecord, MemberTable},
    resource::{BackendRole, BackendServer, ResourceSet},
};

/// The load of one engine as its owner reports it.
#[message]
pub struct EngineLoad {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Tokens of work queued and running.
    pub tokens: u64,
}

/// Chooses engines.
#[derive(Debug, Default)]
pub struct EnginePicker {
    loads: BTreeMap<Arc<str>, u64>,
}

impl EnginePicker {
    /// Takes note of a load report.
    pub fn report(&mut self, load: EngineLoad) {
        self.loads.insert(load.engine, load.tokens);
    }

    /// Adds work that this host sent to an engine since its last report.
    pub fn sent(&mut self, engine: &str, tokens: u64) {
        if let Some(load) = self.loads.get_mut(engine) {
            *load += tokens;
        }
    }

    /// The engine with the least load among those that serve the model, leaving ones excepted.
    pub fn pick(
        &self,
        set: &ResourceSet,
        model: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<Arc<str>> {
        let mut engines: Vec<_> = set
            .servers
            .iter()
            .filter(|(_, server)| !server.leaving && serves(server, model))
            .map(|(name, _)| name)
            .collect();
        rng.shuffle(&mut engines);
        engines.into_iter().min_by_key(|name| self.loads.get(*name).copied().unwrap_or(0)).cloned()
    }
}

/// Whether a backend server is an engine that serves the model.
pub fn serves(server: &BackendServer, model: &str) -> bool {
    let BackendRole::Engine { models, .. } = &server.role else { return false };
    models.iter().any(|name| **name == *model)
}

/// The host that owns an engine: the highest capacity-weighted rendezvous score among serving
/// hosts of the engine's failure domain, or of its region if that domain has none, or of all.
pub fn engine_owner<'a>(
    table: &'a MemberTable,
    name: &str,
    server: &BackendServer,
) -> Option<&'a MemberRecord> {
    let same_domain = |host: &&MemberRecord| {
        host.region == server.region && host.failure_domain == server.failure_domain
    };
    let same_region = |host: &&MemberRecord| host.region == server.region;
    highest(table.serving().filter(same_domain), name)
        .or_else(|| highest(table.serving().filter(same_region), name))
        .or_else(|| highest(table.serving(), name))
}

fn highest<'a>(
    hosts: impl Iterator<Item = &'a MemberRecord>,
    name: &str,
) -> Option<&'a MemberRecord> {
    hosts
        .map(|host| (rendezvous_score(name, host), host))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, host)| host)
}

/// Capacity-weighted rendezvous score: -capacity / ln(u) with u in (0, 1) from the hash.
pub fn rendezvous_score(name: &str, host: &MemberRecord) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let unit = ((u64::from_le_bytes(head) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(host.capacity.max(1)) / unit.ln()
}
