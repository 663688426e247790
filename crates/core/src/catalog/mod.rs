//! Decides which service a request goes to and whose request it is.
//!
//! Owns the configuration in force: one document with routes, services, accounts and limits. Other
//! slices read it through [`RouteCatalog`]. When no configuration arrives any more the last one
//! stays; how long it may still decide about keys is the duty of [`crate::evidence`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{key, value};

use crate::dispatch::{LatencyModel, UrgentTarget};

#[cfg(test)]
mod tests;

/// How often a request may be executed.
#[key]
pub enum ExecutionPolicy {
    /// It may run again after a failure.
    Idempotent,
    /// It runs at most once for each attempt of its caller.
    AtMostOnce,
}

/// One rule that leads requests to a service.
#[value]
pub struct ServingRoute {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may be executed.
    pub execution: ExecutionPolicy,
    /// Whether the answer is a series of events.
    pub is_stream: bool,
    /// Longest time a caller is kept waiting for the end.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, within which it is on time.
    pub first_event_target: Duration,
    /// Longest pause between events with which a stream is on time.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are served.
    pub allows_anonymous: bool,
    /// Services with their weights.
    pub services: Vec<(Arc<str>, u32)>,
}

/// One service and the limits of its backend servers.
#[value]
pub struct ServingService {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one backend server accepts from all hosts together.
    pub max_connections: u32,
    /// How an engine of it works; `None` for a plain service.
    pub latency_model: Option<LatencyModel>,
}

/// A client account with its keys.
#[value]
pub struct AccountConfig {
    /// Name.
    pub name: Arc<str>,
    /// Keys that stand for it.
    pub api_keys: Vec<Arc<str>>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send.
#[value]
pub struct ReceiveLimits {
    /// Bytes of a head.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time for a head.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// The operators' configuration as one document.
#[value]
pub struct ServingConfig {
    /// Version; grows in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<ServingRoute>,
    /// Services.
    pub services: Vec<ServingService>,
    /// Client accounts; `None` if requests carry no keys.
    pub accounts: Option<Vec<AccountConfig>>,
    /// Bounds on what callers send.
    pub limits: ReceiveLimits,
}

/// What the configuration says about one request.
#[value]
pub enum RouteDecision {
    /// It goes to a service.
    Serve {
        /// The route.
        route: Arc<ServingRoute>,
        /// Account that the key stands for.
        account: Option<Arc<str>>,
        /// Rank of the request.
        priority: u8,
    },
    /// No route matches.
    NotFound,
    /// The key is missing or unknown.
    Unauthenticated,
}

/// The configuration in force, indexed.
pub struct RouteCatalog {
    config: ServingConfig,
    /// Routes of a host, longest prefix first.
    hosts: BTreeMap<Arc<str>, Vec<Arc<ServingRoute>>>,
    accounts: BTreeMap<Arc<str>, (Arc<str>, Option<u8>)>,
    services: BTreeMap<Arc<str>, ServingService>,
}

impl RouteCatalog {
    /// Indexes a configuration.
    pub fn new(config: ServingConfig) -> RouteCatalog {
        let mut hosts: BTreeMap<Arc<str>, Vec<Arc<ServingRoute>>> = BTreeMap::new();
        for route in &config.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut accounts = BTreeMap::new();
        for account in config.accounts.iter().flatten() {
            for key in &account.api_keys {
                accounts.insert(key.clone(), (account.name.clone(), account.priority));
            }
        }
        let services = config.services.iter().map(|one| (one.name.clone(), one.clone())).collect();
        RouteCatalog { config, hosts, accounts, services }
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> &ReceiveLimits {
        &self.config.limits
    }

    /// Services by name.
    pub fn services(&self) -> &BTreeMap<Arc<str>, ServingService> {
        &self.services
    }

    /// The most urgent rank of each service, of its routes with streams and of accounts whose rank
    /// goes before the route's.
    pub fn urgent_targets(&self) -> BTreeMap<Arc<str>, UrgentTarget> {
        let accounts = self.config.accounts.iter().flatten().filter_map(|one| one.priority);
        let of_accounts = accounts.min();
        let mut aims: BTreeMap<Arc<str>, UrgentTarget> = BTreeMap::new();
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        for route in self.config.routes.iter().filter(|route| route.is_stream) {
            let aim = UrgentTarget {
                priority: of_accounts.map_or(route.priority, |one| one.min(route.priority)),
                first_event_target_ms: millis(route.first_event_target),
                gap_target_ms: route.gap_target.map_or(0, millis),
            };
            for (service, _) in &route.services {
                let known = aims.entry(service.clone()).or_insert_with(|| aim.clone());
                known.priority = known.priority.min(aim.priority);
                if aim.first_event_target_ms < known.first_event_target_ms {
                    known.first_event_target_ms = aim.first_event_target_ms;
                    known.gap_target_ms = aim.gap_target_ms;
                }
            }
        }
        aims
    }

    /// Whether a request with this host, path and key is served, and by which route.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> RouteDecision {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let Some(route) = routes.iter().find(|route| path.starts_with(&*route.prefix)) else {
            return RouteDecision::NotFound;
        };
        let holder = key.and_then(|key| self.accounts.get(key));
        let (account, priority) = match holder {
            Some((account, priority)) => (Some(account.clone()), *priority),
            None if self.config.accounts.is_none() || route.allows_anonymous => (None, None),
            None => return RouteDecision::Unauthenticated,
        };
        let priority = priority.unwrap_or(route.priority);
        RouteDecision::Serve { route: route.clone(), account, priority }
    }
}

impl ServingRoute {
    /// Draws a service by weight.
    pub fn draw_service(&self, rng: &mut fastrand::Rng) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut draw = rng.u32(0..total.max(1));
        let drawn = self.services.iter().find(|(_, weight)| {
            let is_drawn = draw < *weight;
            draw = draw.saturating_sub(*weight);
            is_drawn
        });
        drawn.map(|(name, _)| name)
    }
}
