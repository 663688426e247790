//! Checks a configuration before it is sent, and compares it with the version in force.
//!
//! [`check_config`] finds entries that can never match and limits that contradict each other.
//! [`compare_configs`] lists the differences. Neither shows an API key: findings name a key by its
//! place, and differences give numbers of keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use parsley_macros::value;

use super::{AccountConfig, ReceiveLimits, ServingConfig, ServingRoute, ServingService};

/// One mistake in a configuration.
#[value]
pub struct ConfigFinding {
    /// Kind and name of the entry, such as `route chat`.
    pub entry: Arc<str>,
    /// Field of the entry, named as in [`ServingConfig`].
    pub field: &'static str,
    /// Description of the mistake.
    pub problem: Arc<str>,
}

impl ConfigFinding {
    fn new(entry: &str, field: &'static str, problem: impl Into<Arc<str>>) -> ConfigFinding {
        ConfigFinding { entry: entry.into(), field, problem: problem.into() }
    }
}

/// How an entry differs from the one in force.
#[value]
pub enum EntryChange {
    /// The version in force lacks the entry.
    Added,
    /// The new version lacks the entry.
    Removed,
    /// A field has another value.
    Field {
        /// Name of the field, as in [`ServingConfig`].
        name: &'static str,
        /// Value in force.
        before: Arc<str>,
        /// Value in the new version.
        after: Arc<str>,
    },
    /// The account has other API keys.
    Keys {
        /// Number of keys that only the new version has.
        added: usize,
        /// Number of keys that only the version in force has.
        removed: usize,
    },
}

/// One difference from the version in force.
#[value]
pub struct ConfigDifference {
    /// Kind and name of the entry, such as `route chat`.
    pub entry: Arc<str>,
    /// What differs.
    pub change: EntryChange,
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryChange::Added => write!(f, "added"),
            EntryChange::Removed => write!(f, "removed"),
            EntryChange::Field { name, before, after } => write!(f, "{name}: {before} -> {after}"),
            EntryChange::Keys { added, removed } => {
                write!(f, "API keys: {added} added, {removed} removed")
            }
        }
    }
}

/// Returns all mistakes of a configuration, routes first, then services and accounts.
pub fn check_config(config: &ServingConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    let services: BTreeSet<_> = config.services.iter().map(|service| &*service.name).collect();
    let mut matches = BTreeMap::new();
    for route in &config.routes {
        let entry = format!("route {}", route.name);
        check_match(route, &entry, &mut findings);
        if let Some(earlier) = matches.get(&(&route.host, &route.prefix)) {
            let problem = format!("never matches: route {earlier} has the same host and prefix");
            findings.push(ConfigFinding::new(&entry, "prefix", problem));
        } else {
            matches.insert((&route.host, &route.prefix), &route.name);
        }
        check_shares(route, &entry, &services, &mut findings);
        check_times(route, &entry, &mut findings);
    }
    check_services(config, &mut findings);
    check_accounts(config.accounts.as_deref().unwrap_or_default(), &mut findings);
    check_names("route", config.routes.iter().map(|route| &route.name), &mut findings);
    check_names("service", config.services.iter().map(|service| &service.name), &mut findings);
    let accounts = config.accounts.iter().flatten();
    check_names("account", accounts.map(|account| &account.name), &mut findings);
    findings
}

/// Reports a host or prefix that no request has.
fn check_match(route: &ServingRoute, entry: &str, findings: &mut Vec<ConfigFinding>) {
    if route.host.contains(':') {
        let problem = "never matches: requests are matched without the port of their host";
        findings.push(ConfigFinding::new(entry, "host", problem));
    }
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        let problem = "never matches: paths begin with a slash";
        findings.push(ConfigFinding::new(entry, "prefix", problem));
    }
}

fn check_shares(
    route: &ServingRoute,
    entry: &str,
    services: &BTreeSet<&str>,
    findings: &mut Vec<ConfigFinding>,
) {
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        let problem = "no service has a weight above 0";
        findings.push(ConfigFinding::new(entry, "services", problem));
    }
    for (service, _) in route.services.iter().filter(|(name, _)| !services.contains(&**name)) {
        let problem = format!("there is no service {service}");
        findings.push(ConfigFinding::new(entry, "services", problem));
    }
}

/// Reports times and attempts that contradict each other. An attempt that is repeated because it is
/// late takes at least the target, so no more attempts fit than targets into the timeout. A route
/// whose target equals its timeout names none.
fn check_times(route: &ServingRoute, entry: &str, findings: &mut Vec<ConfigFinding>) {
    let (timeout, target) = (route.timeout, route.first_event_target);
    let mut report = |field, problem: String| {
        findings.push(ConfigFinding::new(entry, field, problem));
    };
    if timeout.is_zero() {
        return report("timeout", "not above 0".into());
    }
    if target > timeout {
        report("first_event_target", format!("{target:?} is above the timeout of {timeout:?}"));
    } else if target < timeout && target * route.max_attempts.max(1) > timeout {
        let problem = format!(
            "{} attempts of {target:?} each do not fit into the timeout of {timeout:?}",
            route.max_attempts
        );
        report("max_attempts", problem);
    }
    if let Some(gap) = route.gap_target.filter(|gap| *gap > timeout) {
        report("gap_target", format!("{gap:?} is above the timeout of {timeout:?}"));
    }
    if route.max_attempts == 0 {
        report("max_attempts", "no server is asked".into());
    }
}

fn check_services(config: &ServingConfig, findings: &mut Vec<ConfigFinding>) {
    let shares = config.routes.iter().flat_map(|route| &route.services);
    let used: BTreeSet<_> = shares.map(|(name, _)| name).collect();
    for service in &config.services {
        let entry = format!("service {}", service.name);
        if !used.contains(&service.name) {
            findings.push(ConfigFinding::new(&entry, "name", "no route names it"));
        }
        if service.max_connections == 0 {
            let problem = "its servers accept no connection";
            findings.push(ConfigFinding::new(&entry, "max_connections", problem));
        }
        if service.latency_model.as_ref().is_some_and(|model| model.slots == 0) {
            let problem = "its engines run no request";
            findings.push(ConfigFinding::new(&entry, "latency_model", problem));
        }
    }
}

/// Reports the cold times of a service that contradict each other: `start_s` without a rate
/// `per_s`, or the reverse. `None` stands for a field that is absent.
pub fn check_cold_limits(
    service: &str,
    start_s: Option<f64>,
    per_s: Option<f64>,
) -> Option<ConfigFinding> {
    let is_set = |value: Option<f64>| value.is_some_and(|value| value != 0.0);
    let (field, problem) = match (is_set(start_s), is_set(per_s)) {
        _ if start_s.is_some_and(|value| value < 0.0) => ("cold_start", "not a time"),
        _ if per_s.is_some_and(|value| value < 0.0) => ("cold_rate", "not a rate"),
        (true, false) => ("cold_start", "a cold time without a rate"),
        (false, true) => ("cold_rate", "a rate without a cold time"),
        _ => return None,
    };
    Some(ConfigFinding::new(&format!("service {service}"), field, problem))
}

fn check_accounts(accounts: &[AccountConfig], findings: &mut Vec<ConfigFinding>) {
    let mut holders: BTreeMap<&str, (&str, usize)> = BTreeMap::new();
    for account in accounts {
        let entry = format!("account {}", account.name);
        if account.api_keys.is_empty() {
            findings.push(ConfigFinding::new(&entry, "api_keys", "never matches: it has no key"));
        }
        for (key, place) in account.api_keys.iter().zip(1..) {
            let Some((holder, first)) = holders.get(&**key) else {
                holders.insert(key, (&account.name, place));
                continue;
            };
            let problem = format!("key {place} is also key {first} of account {holder}");
            findings.push(ConfigFinding::new(&entry, "api_keys", problem));
        }
    }
}

fn check_names<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a Arc<str>>,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut seen = BTreeSet::new();
    for name in names.filter(|name| !seen.insert(*name)) {
        let entry = format!("{kind} {name}");
        findings.push(ConfigFinding::new(&entry, "name", "another entry has the same name"));
    }
}

/// Returns a finding if the hosts would not take `new` over `current` because of its version.
pub fn check_version(current: &ServingConfig, new: &ServingConfig) -> Option<ConfigFinding> {
    let differs = !compare_configs(current, new).is_empty();
    let problem = format!("{} is not above {}, which is in force", new.version, current.version);
    (differs && new.version <= current.version)
        .then(|| ConfigFinding::new("configuration", "version", problem))
}

/// Returns how `new` differs from `current`: routes, services, accounts and limits, except for the
/// version. Entries of the same name are compared field by field.
pub fn compare_configs(current: &ServingConfig, new: &ServingConfig) -> Vec<ConfigDifference> {
    let mut differences = Vec::new();
    let routes = |config: &ServingConfig| {
        by_name(config.routes.iter().map(|route| (&route.name, route_fields(route))))
    };
    compare_entries("route", &routes(current), &routes(new), &mut differences);
    let services = |config: &ServingConfig| {
        by_name(config.services.iter().map(|service| (&service.name, service_fields(service))))
    };
    compare_entries("service", &services(current), &services(new), &mut differences);
    let accounts = |config: &ServingConfig| {
        let accounts = config.accounts.iter().flatten();
        by_name(accounts.map(|account| (&account.name, account_fields(account))))
    };
    compare_entries("account", &accounts(current), &accounts(new), &mut differences);
    compare_keys(current, new, &mut differences);
    let common = |config: &ServingConfig| {
        let mut fields = limit_fields(&config.limits);
        fields
            .push(("accounts", if config.accounts.is_some() { "required" } else { "none" }.into()));
        fields
    };
    compare_fields("configuration", &common(current), &common(new), &mut differences);
    differences
}

type FieldList = Vec<(&'static str, String)>;

fn by_name<'a>(
    entries: impl Iterator<Item = (&'a Arc<str>, FieldList)>,
) -> BTreeMap<Arc<str>, FieldList> {
    entries.map(|(name, fields)| (name.clone(), fields)).collect()
}

fn compare_entries(
    kind: &str,
    current: &BTreeMap<Arc<str>, FieldList>,
    new: &BTreeMap<Arc<str>, FieldList>,
    differences: &mut Vec<ConfigDifference>,
) {
    for name in current.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        let entry = format!("{kind} {name}");
        let change = match (current.get(name), new.get(name)) {
            (Some(before), Some(after)) => {
                compare_fields(&entry, before, after, differences);
                continue;
            }
            (None, _) => EntryChange::Added,
            (_, None) => EntryChange::Removed,
        };
        differences.push(ConfigDifference { entry: entry.into(), change });
    }
}

fn compare_fields(
    entry: &str,
    before: &FieldList,
    after: &FieldList,
    differences: &mut Vec<ConfigDifference>,
) {
    for ((name, before), (_, after)) in before.iter().zip(after).filter(|(old, new)| old != new) {
        let change =
            EntryChange::Field { name, before: (**before).into(), after: (**after).into() };
        differences.push(ConfigDifference { entry: entry.into(), change });
    }
}

fn compare_keys(
    current: &ServingConfig,
    new: &ServingConfig,
    differences: &mut Vec<ConfigDifference>,
) {
    let keys = |config: &ServingConfig| -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let accounts = config.accounts.iter().flatten();
        accounts.map(|it| (it.name.clone(), it.api_keys.iter().cloned().collect())).collect()
    };
    let (before, after) = (keys(current), keys(new));
    for (name, after) in &after {
        let Some(before) = before.get(name) else { continue };
        let added = after.difference(before).count();
        let removed = before.difference(after).count();
        if added + removed > 0 {
            let change = EntryChange::Keys { added, removed };
            differences.push(ConfigDifference { entry: format!("account {name}").into(), change });
        }
    }
}

// The structures are taken apart completely, so that a new field cannot be forgotten here.

fn route_fields(route: &ServingRoute) -> FieldList {
    let ServingRoute {
        name: _,
        host,
        prefix,
        execution,
        is_stream,
        timeout,
        first_event_target,
        gap_target,
        priority,
        max_attempts,
        allows_anonymous,
        services,
    } = route;
    let shares = services.iter().map(|(name, weight)| format!("{name} x{weight}"));
    vec![
        ("host", host.to_string()),
        ("prefix", prefix.to_string()),
        ("execution", format!("{execution:?}")),
        ("is_stream", is_stream.to_string()),
        ("timeout", format!("{timeout:?}")),
        ("first_event_target", format!("{first_event_target:?}")),
        ("gap_target", optional(gap_target.map(|gap: Duration| format!("{gap:?}")))),
        ("priority", priority.to_string()),
        ("max_attempts", max_attempts.to_string()),
        ("allows_anonymous", allows_anonymous.to_string()),
        ("services", shares.collect::<Vec<_>>().join(", ")),
    ]
}

fn service_fields(service: &ServingService) -> FieldList {
    let ServingService { name: _, max_connections, latency_model, cold_start } = service;
    let is_limited = *max_connections != u32::MAX;
    vec![
        ("max_connections", optional(is_limited.then(|| max_connections.to_string()))),
        ("latency_model", optional(latency_model.as_ref().map(|model| format!("{model:?}")))),
        ("cold_start", optional(cold_start.map(|start| format!("{start:?}")))),
    ]
}

fn account_fields(account: &AccountConfig) -> FieldList {
    // Keys are secret; `compare_keys` counts them.
    let AccountConfig { name: _, api_keys: _, priority } = account;
    vec![("priority", optional(priority.map(|rank| rank.to_string())))]
}

fn limit_fields(limits: &ReceiveLimits) -> FieldList {
    let ReceiveLimits { max_head_bytes, max_body_bytes, head_timeout, idle_timeout } = limits;
    vec![
        ("max_head_bytes", max_head_bytes.to_string()),
        ("max_body_bytes", max_body_bytes.to_string()),
        ("head_timeout", format!("{head_timeout:?}")),
        ("idle_timeout", format!("{idle_timeout:?}")),
    ]
}

fn optional(value: Option<String>) -> String {
    value.unwrap_or_else(|| "none".into())
}
