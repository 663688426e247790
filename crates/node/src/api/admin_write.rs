//! Resource writes by operators, committed by compare-and-swap in the key-value service.
//!
//! The service's response can be lost after the write took effect. Each stored value therefore
//! carries a write id, and a write with an unknown outcome is resolved by reading the key back.

use std::{io, sync::Arc, time::Duration};

use async_io::Timer;
use http_types::{Response, StatusCode};
use parsley_core::{
    config::{ConfigDelta, ConfigItem, Revision, resource_key},
    refusal::{Outcome, Reason, Refusal},
    resource::{ResourceKind, StoredResource, conditions, read_spec, referrers},
};

use super::{admin, admin::AdminRefusal, json_response};
use crate::{
    adapter::store::{self, SwapAnswer},
    config_sync,
    error::NodeError,
    event,
    host::HostRef,
    host_watch,
    peer::link::unix_ms,
};

/// Maximum number of rounds of a write. Each round tries every address of the key-value service.
const MAX_WRITE_ROUNDS: u32 = 3;
/// Delay between two rounds of a write.
const ROUND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// `Retry-After` of a response while the key-value service is unavailable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Target and precondition of a write requested by an operator.
pub struct ResourceWrite {
    /// Kind of the resource, the first path segment.
    pub kind: ResourceKind,
    /// Name of the resource, the second path segment; valid by `is_name`.
    pub name: Arc<str>,
    /// Expected revision of the resource; zero if it must not exist.
    pub expect: Revision,
    /// Id of the operator, stored with the resource and logged.
    pub operator: Arc<str>,
    /// Write id supplied by the client; if empty, a random one is generated for an applied spec.
    pub write_id: Arc<str>,
}

impl ResourceWrite {
    /// Returns the path of the resource below `/admin/v1`, `<kind>/<name>`.
    pub fn path(&self) -> String {
        format!("{}/{}", self.kind.segment(), self.name)
    }

    fn key(&self) -> Arc<str> {
        resource_key(self.kind, &self.name)
    }
}

/// Validates a spec and creates or replaces the resource.
pub async fn apply(
    host: &HostRef,
    write: &ResourceWrite,
    spec: &str,
) -> Result<Response, AdminRefusal> {
    refresh_config(host).await?;
    let checked = {
        let state = host.state.borrow();
        read_spec(write.kind, &write.name, spec, Some(state.config.resources()))
    };
    if let Err(findings) = checked {
        let detail = format!("{} mistakes in the spec", findings.len());
        let refusal = Refusal::not_run(Reason::InvalidResource, &detail);
        return Err(AdminRefusal { refusal, findings, current: None });
    }
    let spec = jsonc_parser::parse_to_serde_value(spec, &Default::default())
        .map_err(|err| Refusal::not_run(Reason::BadRequest, &err.to_string()))?;
    let write_id = match &*write.write_id {
        "" => format!("{:032x}", host.state.borrow_mut().rng.u128(..)).into(),
        _ => write.write_id.clone(),
    };
    let operator = write.operator.clone();
    let stored = StoredResource { spec, write_id, operator, written_ms: unix_ms() };
    let revision = commit(host, write, Some(&stored)).await?;
    let item = ConfigItem { key: write.key(), revision, value: Some(stored.encode().into()) };
    if write.kind == ResourceKind::BackendServer && stored.spec["leaving"] == true {
        // A configuration change may take 10 s to reach every host, but a leaving engine must get
        // no new work after 5 s. Its owner is therefore notified directly.
        host_watch::notify_owners(host, std::iter::once(write.name.clone()));
    }
    apply_locally(host, item.clone()).await;
    event!(host.log, RESOURCE_APPLIED, "operator" => &*write.operator, "resource" => write.path(),
        "revision" => revision.0, "write_id" => &*stored.write_id);
    let mut response =
        json_response(&admin::resource_document(host, write.kind, &write.name, &item, conditions));
    if write.expect == Revision(0) {
        response.set_status(StatusCode::Created);
    }
    response.insert_header("etag", format!("\"{}\"", revision.0));
    Ok(response)
}

/// Deletes a resource unless another resource refers to it.
pub async fn delete(host: &HostRef, write: &ResourceWrite) -> Result<Response, AdminRefusal> {
    refresh_config(host).await?;
    let users = referrers(write.kind, &write.name, host.state.borrow().config.resources());
    if !users.is_empty() {
        let detail = format!("used by {}", users.join(", "));
        return Err(Refusal::not_run(Reason::InUse, &detail).into());
    }
    let revision = commit(host, write, None).await?;
    let item = ConfigItem { key: write.key(), revision, value: None };
    apply_locally(host, item.clone()).await;
    event!(host.log, RESOURCE_DELETED, "operator" => &*write.operator, "resource" => write.path(),
        "revision" => revision.0, "write_id" => &*write.write_id);
    Ok(json_response(&admin::resource_document(host, write.kind, &write.name, &item, conditions)))
}

/// Applies an accepted write to the configuration of this host at once, so that the operator's next
/// request sees it.
async fn apply_locally(host: &HostRef, item: ConfigItem) {
    let complete = host.state.borrow().config.complete_revision();
    config_sync::apply(host, ConfigDelta { after: complete, complete, items: vec![item] });
    // Earlier changes by other hosts may still be missing. If this refresh fails, the configuration
    // watch delivers them.
    drop(refresh_config(host).await);
}

/// Fetches writes that other hosts accepted, so that references are checked against the latest
/// state.
async fn refresh_config(host: &HostRef) -> Result<(), Refusal> {
    match config_sync::refresh(host).await {
        true => Ok(()),
        false => Err(store_unavailable(Outcome::NotRun)),
    }
}

fn store_unavailable(outcome: Outcome) -> Refusal {
    let detail = match outcome {
        Outcome::NotRun => "the key-value service does not answer; nothing was written",
        _ => "the key-value service does not answer; read the resource before another write",
    };
    let refusal =
        Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(OUTAGE_RETRY_AFTER);
    Refusal { outcome, ..refusal }
}

/// Writes the value, or deletes the key if there is none, if the key has the expected revision.
/// Returns the revision of the write.
async fn commit(
    host: &HostRef,
    write: &ResourceWrite,
    stored: Option<&StoredResource>,
) -> Result<Revision, AdminRefusal> {
    let key = write.key();
    let value = stored.map(StoredResource::encode);
    let mut may_have_run = false;
    for round in 0..MAX_WRITE_ROUNDS {
        if round > 0 {
            Timer::after(ROUND_RETRY_DELAY).await;
        }
        for address in &host.settings.store {
            let answer = match &value {
                Some(value) => store::swap(address, &key, write.expect, value).await,
                None => store::remove(address, &key, write.expect).await,
            };
            match answer {
                Ok(SwapAnswer::Done(revision)) => return Ok(revision),
                Ok(SwapAnswer::Lost(current)) if !may_have_run => {
                    return Err(conflict(current, Outcome::NotRun));
                }
                Ok(SwapAnswer::Lost(current)) => {
                    if let Ok(end) = resolve_lost_response(address, &key, stored, current).await {
                        return end;
                    }
                }
                Err(err) => may_have_run |= !was_not_sent(&err),
            }
        }
    }
    let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
    Err(store_unavailable(outcome).into())
}

/// Determines whether an earlier attempt whose response was lost took effect. The outer error means
/// that the service did not answer.
async fn resolve_lost_response(
    address: &str,
    key: &str,
    stored: Option<&StoredResource>,
    current: Revision,
) -> Result<Result<Revision, AdminRefusal>, NodeError> {
    let found = store::read(address, key).await?;
    Ok(match (found, stored) {
        (Some((revision, value)), Some(stored))
            if StoredResource::decode(&value).is_ok_and(|own| own.write_id == stored.write_id) =>
        {
            Ok(revision)
        }
        // The key is deleted as requested, by this write or another one.
        (None, None) => Ok(current),
        // This write may have taken effect before another write replaced it.
        (found, _) => {
            let current = found.map_or(Revision(0), |(revision, _)| revision);
            Err(conflict(current, Outcome::Unknown))
        }
    })
}

fn conflict(current: Revision, outcome: Outcome) -> AdminRefusal {
    let detail = match current {
        Revision(0) => "the resource does not exist".to_owned(),
        Revision(current) => format!("the resource has revision {current}; read it first"),
    };
    let refusal = Refusal::not_run(Reason::RevisionConflict, &detail);
    let refusal = Refusal { outcome, ..refusal };
    AdminRefusal { refusal, findings: Vec::new(), current: Some(current) }
}

/// Returns whether an error rules out that the request reached the service.
fn was_not_sent(err: &NodeError) -> bool {
    matches!(err, NodeError::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused)
}
