//! Conditions of resources, and the references that prevent the deletion of a resource.

use std::sync::Arc;

use parsley_macros::message;

use super::{BackendRole, ResourceKind, ResourceSet, StoredResource, read_spec, summary};

/// A condition of a resource, as the administration API reports it.
#[message]
pub struct Condition {
    /// Type of the condition, such as `ReferencesResolved`.
    #[serde(rename = "type")]
    pub kind: Arc<str>,
    /// Whether the condition holds. An operator has to act if it does not.
    pub status: bool,
    /// Reason for the status, as one word in PascalCase.
    pub reason: Arc<str>,
    /// Explanation for a human reader.
    pub message: Arc<str>,
}

fn condition(kind: &str, status: bool, reason: &str, message: &str) -> Condition {
    Condition { kind: kind.into(), status, reason: reason.into(), message: message.into() }
}

/// Returns all conditions of a resource, given its stored value.
pub fn conditions(
    kind: ResourceKind,
    name: &str,
    value: &str,
    set: &ResourceSet,
) -> Vec<Condition> {
    let mut conditions = brief_conditions(kind, name, value, set);
    conditions.push(consistent(kind, name, value, set));
    conditions
}

/// Returns the conditions whose cost does not depend on the number of resources, for use in lists.
pub fn brief_conditions(
    kind: ResourceKind,
    name: &str,
    value: &str,
    set: &ResourceSet,
) -> Vec<Condition> {
    vec![in_force(kind, name, value), references(kind, name, set)]
}

fn check(
    kind: ResourceKind,
    name: &str,
    value: &str,
    set: Option<&ResourceSet>,
) -> Result<(), Arc<str>> {
    let stored = StoredResource::decode(value)?;
    let read = read_spec(kind, name, &stored.spec.to_string(), set);
    read.map(drop).map_err(|findings| summary(&findings))
}

/// Returns the condition that no other resource conflicts with this one. Two writes that are valid
/// on their own can conflict if they race, for example over a token or a level.
fn consistent(kind: ResourceKind, name: &str, value: &str, set: &ResourceSet) -> Condition {
    match check(kind, name, value, Some(set)) {
        Ok(()) => condition("Consistent", true, "NoConflict", "no other resource conflicts"),
        Err(findings) => condition("Consistent", false, "Conflict", &findings),
    }
}

fn in_force(kind: ResourceKind, name: &str, value: &str) -> Condition {
    match check(kind, name, value, None) {
        Ok(()) => condition("InForce", true, "Valid", "the stored spec is in force"),
        Err(findings) => {
            let message = format!("the last valid spec stays in force: {findings}");
            condition("InForce", false, "Invalid", &message)
        }
    }
}

/// Returns the condition that all referenced resources exist. Although each write is checked, one
/// can be missing if one operator deletes a resource while another applies a reference to it.
fn references(kind: ResourceKind, name: &str, set: &ResourceSet) -> Condition {
    let missing: Vec<_> = targets(kind, name, set)
        .into_iter()
        .filter(|(target, name)| !set.contains(*target, name))
        .map(|(target, name)| format!("{}/{name}", target.segment()))
        .collect();
    if missing.is_empty() {
        return condition("ReferencesResolved", true, "Found", "every reference exists");
    }
    let message = format!("missing: {}", missing.join(", "));
    condition("ReferencesResolved", false, "MissingReference", &message)
}

/// Returns the resources that a resource refers to.
fn targets(kind: ResourceKind, name: &str, set: &ResourceSet) -> Vec<(ResourceKind, Arc<str>)> {
    let to = |kind, names: &[Arc<str>]| names.iter().map(|name| (kind, name.clone())).collect();
    match kind {
        ResourceKind::ClientAccount => {
            let account = set.accounts.get(name);
            account.map_or_else(Vec::new, |account| to(ResourceKind::Rank, &account.ranks))
        }
        ResourceKind::BackendServer => match set.servers.get(name).map(|server| &server.role) {
            Some(BackendRole::Engine { models, .. }) => to(ResourceKind::Model, models),
            _ => Vec::new(),
        },
        ResourceKind::Rank | ResourceKind::Model => Vec::new(),
    }
}

/// Returns the resources that refer to a resource, as `<kind>/<name>`. The resource cannot be
/// deleted while there are any.
pub fn referrers(kind: ResourceKind, name: &str, set: &ResourceSet) -> Vec<Arc<str>> {
    let accounts = set.accounts.keys().map(|referrer| (ResourceKind::ClientAccount, referrer));
    let servers = set.servers.keys().map(|referrer| (ResourceKind::BackendServer, referrer));
    let refers = |(referrer_kind, referrer): &(ResourceKind, &Arc<str>)| {
        let mut targets = targets(*referrer_kind, referrer, set).into_iter();
        targets.any(|(target, target_name)| target == kind && *target_name == *name)
    };
    let path = |(kind, referrer): (ResourceKind, &Arc<str>)| {
        Arc::from(format!("{}/{referrer}", kind.segment()))
    };
    accounts.chain(servers).filter(refers).map(path).collect()
}
