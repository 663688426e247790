//! What the system reports about a resource, and what keeps one from being deleted.

use std::sync::Arc;

use parsley_macros::message;

use super::{BackendRole, ResourceKind, ResourceSet, StoredResource, read_spec, summary};

/// One statement about a resource.
#[message]
pub struct Condition {
    /// What the statement is about, such as `ReferencesResolved`.
    #[serde(rename = "type")]
    pub kind: Arc<str>,
    /// Whether it holds; false asks for an operator's attention.
    pub status: bool,
    /// Reason in one word.
    pub reason: Arc<str>,
    /// One sentence for a person.
    pub message: Arc<str>,
}

fn condition(kind: &str, status: bool, reason: &str, message: &str) -> Condition {
    Condition { kind: kind.into(), status, reason: reason.into(), message: message.into() }
}

/// The conditions of a resource whose stored value is given.
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

/// The conditions that take a time independent of the number of resources, for lists.
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

/// Two writes that are each valid can conflict when they race, for example over a token or level.
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

/// References can go missing although each write is checked: two operators may at the same time
/// delete a resource and apply one that refers to it.
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

/// The resources that a resource refers to.
fn targets(kind: ResourceKind, name: &str, set: &ResourceSet) -> Vec<(ResourceKind, Arc<str>)> {
    let to = |kind, names: &[Arc<str>]| names.iter().map(|name| (kind, name.clone())).collect();
    match kind {
        ResourceKind::ClientAccount => {
            set.accounts.get(name).map_or_else(Vec::new, |one| to(ResourceKind::Rank, &one.ranks))
        }
        ResourceKind::BackendServer => match set.servers.get(name).map(|one| &one.role) {
            Some(BackendRole::Engine { models, .. }) => to(ResourceKind::Model, models),
            _ => Vec::new(),
        },
        ResourceKind::Rank | ResourceKind::Model => Vec::new(),
    }
}

/// The resources that refer to a resource, as `<kind>/<name>`; it cannot be deleted before them.
pub fn referrers(kind: ResourceKind, name: &str, set: &ResourceSet) -> Vec<Arc<str>> {
    let accounts = set.accounts.keys().map(|user| (ResourceKind::ClientAccount, user));
    let servers = set.servers.keys().map(|user| (ResourceKind::BackendServer, user));
    let refers = |(user_kind, user): &(ResourceKind, &Arc<str>)| {
        let mut targets = targets(*user_kind, user, set).into_iter();
        targets.any(|(target, target_name)| target == kind && *target_name == *name)
    };
    let path =
        |(kind, user): (ResourceKind, &Arc<str>)| Arc::from(format!("{}/{user}", kind.segment()));
    accounts.chain(servers).filter(refers).map(path).collect()
}
