//! Matches requests to routes and API keys to client accounts.
//!
//! Owns the configuration in force: one document with routes, services, accounts and limits. Other
//! modules read it through [`RouteCatalog`]. Without updates the last configuration stays in force;
//! [`crate::evidence`] decides how long it may still be used to authenticate keys.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parsley_macros::{key, value};

use crate::{
    dispatch::{LatencyModel, UrgentTarget},
    fleet::ColdStart,
};

pub mod check;
#[cfg(test)]
mod check_tests;
#[cfg(test)]
mod tests;

/// Whether a request may be executed more than once.
#[key]
pub enum ExecutionPolicy {
    /// It may be retried after a failure, even if it may have run.
    Idempotent,
    /// It is not sent again once it may have run; a caller's own retry counts as a new request.
    AtMostOnce,
}

/// A route: requests that match its host and path prefix go to one of its services.
#[value]
pub struct ServingRoute {
    /// Name of the route, used in logs.
    pub name: Arc<str>,
    /// Value of the `Host` header that it matches, without port.
    pub host: Arc<str>,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may be executed more than once.
    pub execution: ExecutionPolicy,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub first_event_target: Duration,
    /// Target for the longest gap between events of a stream; `None` if there is none.
    pub gap_target: Option<Duration>,
    /// Rank of its requests unless the account has its own; 0 is the most urgent.
    pub priority: u8,
    /// Most times that one request may be sent to a backend server, the first included.
    pub max_attempts: u32,
    /// Whether requests without a known key are served.
    pub allows_anonymous: bool,
    /// Services with their weights for the random choice among them.
    pub services: Vec<(Arc<str>, u32)>,
}

/// A service and the limits of its backend servers.
#[value]
pub struct ServingService {
    /// Name that routes and server entries refer to.
    pub name: Arc<str>,
    /// Connections that one backend server accepts from all hosts together.
    pub max_connections: u32,
    /// Latency model of its engines; `None` for a plain service without model engines.
    pub latency_model: Option<LatencyModel>,
    /// Cold time of its engines, and what one takes from all hosts together meanwhile; `None` if it
    /// has no cold engines.
    pub cold_start: Option<ColdStart>,
}

/// A client account with its API keys.
#[value]
pub struct AccountConfig {
    /// Name of the account.
    pub name: Arc<str>,
    /// Keys that authenticate it.
    pub api_keys: Vec<Arc<str>>,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u8>,
}

/// Limits on the requests that callers send.
#[value]
pub struct ReceiveLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// The operators' configuration as one document.
#[value]
pub struct ServingConfig {
    /// Version of the document; increases with each change, but not by fixed steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<ServingRoute>,
    /// All services.
    pub services: Vec<ServingService>,
    /// Client accounts; `None` if requests are not authenticated.
    pub accounts: Option<Vec<AccountConfig>>,
    /// Limits on the requests that callers send.
    pub limits: ReceiveLimits,
}

/// Result of matching a request against the configuration.
#[value]
pub enum RouteDecision {
    /// A route matches and the caller may use it.
    Serve {
        /// The route that matches.
        route: Arc<ServingRoute>,
        /// Account that the key belongs to; `None` for an anonymous request.
        account: Option<Arc<str>>,
        /// Rank of the request: the account's if it has one, else the route's.
        priority: u8,
    },
    /// No route matches.
    NotFound,
    /// The route requires a key, and it is missing or unknown.
    Unauthenticated,
}

/// The configuration in force, indexed by host, key and service name.
pub struct RouteCatalog {
    config: ServingConfig,
    /// Routes of each host, longest path prefix first.
    hosts: BTreeMap<Arc<str>, Vec<Arc<ServingRoute>>>,
    /// Account name and rank of each API key.
    accounts: BTreeMap<Arc<str>, (Arc<str>, Option<u8>)>,
    services: BTreeMap<Arc<str>, ServingService>,
}

impl RouteCatalog {
    /// Builds the indexes of a configuration.
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
        let services =
            config.services.iter().map(|service| (service.name.clone(), service.clone())).collect();
        RouteCatalog { config, hosts, accounts, services }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Limits on the requests that callers send.
    pub fn limits(&self) -> &ReceiveLimits {
        &self.config.limits
    }

    /// All services by name.
    pub fn services(&self) -> &BTreeMap<Arc<str>, ServingService> {
        &self.services
    }

    /// The most urgent rank and the tightest first event target of each service with streaming
    /// routes. The rank also covers accounts with a rank of their own, as they may use any route.
    pub fn urgent_targets(&self) -> BTreeMap<Arc<str>, UrgentTarget> {
        let accounts = self.config.accounts.iter().flatten().filter_map(|account| account.priority);
        let account_rank = accounts.min();
        let mut targets: BTreeMap<Arc<str>, UrgentTarget> = BTreeMap::new();
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        for route in self.config.routes.iter().filter(|route| route.is_stream) {
            let target = UrgentTarget {
                priority: account_rank.map_or(route.priority, |rank| rank.min(route.priority)),
                first_event_target_ms: millis(route.first_event_target),
                gap_target_ms: route.gap_target.map_or(0, millis),
            };
            for (service, _) in &route.services {
                let merged = targets.entry(service.clone()).or_insert_with(|| target.clone());
                merged.priority = merged.priority.min(target.priority);
                if target.first_event_target_ms < merged.first_event_target_ms {
                    merged.first_event_target_ms = target.first_event_target_ms;
                    merged.gap_target_ms = target.gap_target_ms;
                }
            }
        }
        targets
    }

    /// Finds the route of a request by host and longest path prefix, and authenticates its key. A
    /// port in `host` is ignored.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> RouteDecision {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let Some(route) = routes.iter().find(|route| path.starts_with(&*route.prefix)) else {
            return RouteDecision::NotFound;
        };
        let owner = key.and_then(|key| self.accounts.get(key));
        let (account, priority) = match owner {
            Some((account, priority)) => (Some(account.clone()), *priority),
            None if self.config.accounts.is_none() || route.allows_anonymous => (None, None),
            None => return RouteDecision::Unauthenticated,
        };
        let priority = priority.unwrap_or(route.priority);
        RouteDecision::Serve { route: route.clone(), account, priority }
    }
}

impl ServingRoute {
    /// Picks a service at random by weight; `None` if the route has none.
    pub fn draw_service(&self, rng: &mut fastrand::Rng) -> Option<&Arc<str>> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut draw = rng.u32(0..total.max(1));
        let picked = self.services.iter().find(|(_, weight)| {
            let is_picked = draw < *weight;
            draw = draw.saturating_sub(*weight);
            is_picked
        });
        picked.map(|(name, _)| name)
    }
}
