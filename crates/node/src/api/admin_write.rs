//! Writes of operators: accepted by compare-and-swap in the key-value service.
//!
//! An answer of the service can be lost after the write took effect. Each stored value therefore
//! names its write, and a write that may have taken effect is resolved by reading the key back.

use std::{io, sync::Arc, time::Duration};

use async_io::Timer;
use http_types::{Response, StatusCode};
use parsley_core::{
    config::{ConfigDelta, ConfigItem, Revision, resource_key},
    refusal::{Outcome, Reason, Refusal},
    resource::{ResourceKind, StoredResource, conditions, read_spec, referrers},
};

use super::{admin, admin::AdminRefusal, json_answer};
use crate::{
    adapter::store::{self, SwapAnswer},
    config_sync,
    error::NodeError,
    event,
    host::HostRef,
    host_watch,
    peer::link::unix_ms,
};

/// Tries of a write over all addresses of the key-value service.
const WRITE_ROUNDS: u32 = 3;
/// Delay between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(100);
/// When an operator may try again while the service is out.
const OUTAGE_RETRY: Duration = Duration::from_secs(2);

/// A write that an operator asks for.
pub struct ResourceWrite {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource.
    pub name: Arc<str>,
    /// Revision that the operator has seen; zero if the resource must not exist.
    pub expect: Revision,
    /// Who asks.
    pub operator: Arc<str>,
    /// Name of the write given by the client, or empty.
    pub write_id: Arc<str>,
}

impl ResourceWrite {
    /// `<kind>/<name>`.
    pub fn path(&self) -> String {
        format!("{}/{}", self.kind.segment(), self.name)
    }

    fn key(&self) -> Arc<str> {
        resource_key(self.kind, &self.name)
    }
}

/// Applies a spec.
pub async fn apply(
    host: &HostRef,
    write: &ResourceWrite,
    spec: &str,
) -> Result<Response, AdminRefusal> {
    refresh(host).await?;
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
        // A change may take 10 s to reach every host; a leaving engine gets no new work after 5 s.
        host_watch::notify_owners(host, std::iter::once(write.name.clone()));
    }
    put_in_force(host, item.clone()).await;
    event!(host.log, RESOURCE_APPLIED, "operator" => &*write.operator, "resource" => write.path(),
        "revision" => revision.0, "write_id" => &*stored.write_id);
    let mut response =
        json_answer(&admin::document(host, write.kind, &write.name, &item, conditions));
    if write.expect == Revision(0) {
        response.set_status(StatusCode::Created);
    }
    response.insert_header("etag", format!("\"{}\"", revision.0));
    Ok(response)
}

/// Deletes a resource that no other one refers to.
pub async fn delete(host: &HostRef, write: &ResourceWrite) -> Result<Response, AdminRefusal> {
    refresh(host).await?;
    let users = referrers(write.kind, &write.name, host.state.borrow().config.resources());
    if !users.is_empty() {
        let detail = format!("used by {}", users.join(", "));
        return Err(Refusal::not_run(Reason::InUse, &detail).into());
    }
    let revision = commit(host, write, None).await?;
    let item = ConfigItem { key: write.key(), revision, value: None };
    put_in_force(host, item.clone()).await;
    event!(host.log, RESOURCE_DELETED, "operator" => &*write.operator, "resource" => write.path(),
        "revision" => revision.0, "write_id" => &*write.write_id);
    Ok(json_answer(&admin::document(host, write.kind, &write.name, &item, conditions)))
}

/// Puts an accepted write in force here at once, so that the operator's next request sees it.
async fn put_in_force(host: &HostRef, item: ConfigItem) {
    let complete = host.state.borrow().config.complete_revision();
    config_sync::apply(host, ConfigDelta { after: complete, complete, items: vec![item] });
    // The write is in force without the changes before it; the watch brings those in any case.
    drop(refresh(host).await);
}

/// Takes over what other hosts accepted, so that references are checked against the latest state.
async fn refresh(host: &HostRef) -> Result<(), Refusal> {
    match config_sync::refresh(host).await {
        true => Ok(()),
        false => Err(unavailable(Outcome::NotRun)),
    }
}

fn unavailable(outcome: Outcome) -> Refusal {
    let detail = match outcome {
        Outcome::NotRun => "the key-value service does not answer; nothing was written",
        _ => "the key-value service does not answer; read the resource before another write",
    };
    let refusal = Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(OUTAGE_RETRY);
    Refusal { outcome, ..refusal }
}

/// Writes or deletes the key if it has the expected revision. Returns the write's revision.
async fn commit(
    host: &HostRef,
    write: &ResourceWrite,
    stored: Option<&StoredResource>,
) -> Result<Revision, AdminRefusal> {
    let key = write.key();
    let value = stored.map(StoredResource::encode);
    let mut may_have_run = false;
    for round in 0..WRITE_ROUNDS {
        if round > 0 {
            Timer::after(ROUND_DELAY).await;
        }
        for address in &host.settings.store {
            let answer = match &value {
                Some(value) => store::swap(address, &key, write.expect, value).await,
                None => store::remove(address, &key, write.expect).await,
            };
            match answer {
                Ok(SwapAnswer::Written(revision)) => return Ok(revision),
                Ok(SwapAnswer::RevisionConflict(current)) if !may_have_run => {
                    return Err(conflict(current, Outcome::NotRun));
                }
                Ok(SwapAnswer::RevisionConflict(current)) => {
                    if let Ok(end) = resolve(address, &key, stored, current).await {
                        return end;
                    }
                }
                Err(err) => may_have_run |= !never_sent(&err),
            }
        }
    }
    let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
    Err(unavailable(outcome).into())
}

/// Finds out whether an earlier try took effect whose answer was lost. An error means that the
/// service did not answer.
async fn resolve(
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
        // The key is gone, as the operator wanted, by this write or another one.
        (None, None) => Ok(current),
        // This write may have taken effect and been followed by another one.
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

fn never_sent(err: &NodeError) -> bool {
    matches!(err, NodeError::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused)
}
