//! `/admin/v1`: resources and the state of this host, for operators.
//!
//! Reads are answered from the configuration in force on this host, so they work while the
//! key-value service is out; a single resource is read from the service when it answers. Writes
//! are in [`admin_write`](super::admin_write).

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use http_types::{Method, Request, Response};
use parsley_core::{
    config::{ConfigItem, Revision, resource_key, split_key},
    document::{Finding, is_name},
    refusal::{Reason, Refusal},
    resource::{
        Condition, ResourceKind, ResourceSet, StoredResource, brief_conditions, conditions,
    },
};
use serde_json::{Value, json};

use super::{
    access::OperatorId,
    admin_state,
    admin_write::{self, ResourceWrite},
    gate, json_answer,
    problem::{problem_body, problem_with},
};
use crate::{adapter::store, event, host::HostRef};

/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks of a waiting watch.
const WATCH_PERIOD: Duration = Duration::from_millis(50);
/// Resources in one answer; a longer one would hold up the host's other work.
const PAGE_ITEMS: usize = 50;
/// Longest id that an operator may give a write.
const WRITE_ID_BYTES: usize = 64;

/// Why an operator's request was refused, with what helps to mend it.
pub struct AdminRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Mistakes in a spec.
    pub findings: Vec<Finding>,
    /// The resource's revision, for a writer that expected another one.
    pub current: Option<Revision>,
}

impl From<Refusal> for AdminRefusal {
    fn from(refusal: Refusal) -> AdminRefusal {
        AdminRefusal { refusal, findings: Vec::new(), current: None }
    }
}

/// Answers a request of an operator; `parts` is the path below `/admin/v1`.
pub async fn answer(host: &HostRef, parts: &[&str], request: Request) -> Result<Response, Refusal> {
    let operator = match request.ext().get::<OperatorId>() {
        Some(OperatorId(id)) => id.clone(),
        None => return Err(Refusal::not_run(Reason::Unauthenticated, "no operator")),
    };
    let not_found = || Refusal::not_run(Reason::NotFound, "no such route or kind of resource");
    match (request.method(), parts) {
        (Method::Get, ["status"]) => return Ok(admin_state::status(host)),
        (Method::Get, ["dump"]) => return Ok(admin_state::dump(host)),
        (Method::Post, ["drain"]) => return Ok(admin_state::drain(host, &operator)),
        _ => {}
    }
    let (segment, name) = match parts {
        [segment] => (segment, None),
        [segment, name] => (segment, Some(*name)),
        _ => return Err(not_found()),
    };
    let kind = ResourceKind::from_segment(segment).ok_or_else(not_found)?;
    let Some(name) = name else {
        return match request.method() {
            Method::Get => list(host, kind, &request).await,
            _ => Err(not_found()),
        };
    };
    if !is_name(name) {
        return Err(Refusal::not_run(Reason::BadRequest, "not a valid name of a resource"));
    }
    match request.method() {
        Method::Get => get(host, kind, name).await,
        Method::Put | Method::Delete => {
            let write = resource_write(&request, kind, name, &operator)?;
            Ok(finish_write(host, write, request).await)
        }
        _ => Err(not_found()),
    }
}

fn resource_write(
    request: &Request,
    kind: ResourceKind,
    name: &str,
    operator: &str,
) -> Result<ResourceWrite, Refusal> {
    let wrong = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let expect = match (header("if-match"), header("if-none-match")) {
        (Some(tag), None) => {
            let revision = tag.trim_matches('"').parse().ok().filter(|revision| *revision > 0);
            Revision(revision.ok_or_else(|| wrong("If-Match: not a revision"))?)
        }
        (None, Some("*")) if request.method() == Method::Put => Revision(0),
        _ => return Err(wrong("send If-Match with the revision, or If-None-Match: * to create")),
    };
    let write_id = match header("parsley-write-id") {
        Some(id) if id.is_empty() || id.len() > WRITE_ID_BYTES => {
            return Err(wrong("Parsley-Write-Id: not 1 to 64 bytes"));
        }
        Some(id) => id.into(),
        None => Arc::from(""),
    };
    Ok(ResourceWrite { kind, name: name.into(), expect, operator: operator.into(), write_id })
}

/// Carries out a write and records its end in the log, the metrics and the answer alike.
async fn finish_write(host: &HostRef, write: ResourceWrite, mut request: Request) -> Response {
    let group = gate::route_group(&request);
    let resource = write.path();
    let result = match request.method() {
        Method::Put => match request.body_string().await {
            Ok(spec) => admin_write::apply(host, &write, &spec).await,
            Err(err) => Err(Refusal::not_run(Reason::BadRequest, &err.to_string()).into()),
        },
        _ => admin_write::delete(host, &write).await,
    };
    match result {
        Ok(response) => {
            host.metrics.writes.with_label_values(&["accepted"]).inc();
            response
        }
        Err(refused) => {
            let AdminRefusal { refusal, findings, current } = refused;
            host.metrics.writes.with_label_values(&["refused"]).inc();
            event!(host.log, WRITE_REFUSED, "operator" => &*write.operator, "resource" => &resource,
                "reason" => refusal.reason.name(), "detail" => &*refusal.detail);
            gate::record(host, group, &refusal);
            let mut body = problem_body(&refusal);
            body["resource"] = json!(resource);
            if !findings.is_empty() {
                body["findings"] = json!(findings);
            }
            if let Some(current) = current {
                body["currentRevision"] = json!(current.0);
            }
            problem_with(&refusal, body)
        }
    }
}

async fn get(host: &HostRef, kind: ResourceKind, name: &str) -> Result<Response, Refusal> {
    let key = resource_key(kind, name);
    let mut found = held_item(host, &key);
    for address in &host.settings.store {
        // While the service is out, the configuration in force is the best answer.
        let Ok(stored) = store::read(address, &key).await else { continue };
        found = stored.map(|(revision, value)| ConfigItem {
            key: key.clone(),
            revision,
            value: Some(value),
        });
        break;
    }
    let Some(item) = found.filter(|item| item.value.is_some()) else {
        return Err(Refusal::not_run(Reason::NotFound, "no such resource"));
    };
    let mut response = json_answer(&document(host, kind, name, &item, conditions));
    response.insert_header("etag", format!("\"{}\"", item.revision.0));
    Ok(response)
}

fn held_item(host: &HostRef, key: &str) -> Option<ConfigItem> {
    host.state.borrow().config.item(key).cloned()
}

/// A resource as operators see it: `spec` is theirs, `status` is the system's.
pub fn document(
    host: &HostRef,
    kind: ResourceKind,
    name: &str,
    item: &ConfigItem,
    conditions: fn(ResourceKind, &str, &str, &ResourceSet) -> Vec<Condition>,
) -> Value {
    let Some(value) = &item.value else {
        return json!({
            "kind": kind.name(), "name": name, "revision": item.revision.0, "deleted": true,
        });
    };
    let state = host.state.borrow();
    let observed = state.config.item(&item.key).filter(|held| held.value.is_some());
    let observed = observed.map(|held| held.revision.0);
    let conditions = conditions(kind, name, value, state.config.resources());
    let stored = StoredResource::decode(value).ok();
    json!({
        "kind": kind.name(),
        "name": name,
        "revision": item.revision.0,
        "operator": stored.as_ref().map(|stored| stored.operator.clone()),
        "writeId": stored.as_ref().map(|stored| stored.write_id.clone()),
        "writtenMs": stored.as_ref().map(|stored| stored.written_ms),
        "spec": stored.map(|stored| stored.spec),
        "status": {"observedRevision": observed, "conditions": conditions},
    })
}

/// What a list asks for.
#[derive(Default)]
struct ListQuery {
    /// Name after which a page starts.
    from: String,
    /// Revision after which a watch reports changes.
    after: Option<Revision>,
    wait: Duration,
}

impl ListQuery {
    fn parse(request: &Request) -> Result<ListQuery, Refusal> {
        let wrong = |detail: String| Refusal::not_run(Reason::BadRequest, &detail);
        let mut query = ListQuery::default();
        for (name, value) in request.url().query_pairs() {
            let number = || value.parse().map_err(|_| wrong(format!("{name}: not a number")));
            match &*name {
                "from" => query.from = value.into_owned(),
                "after" => query.after = Some(Revision(number()?)),
                "wait_ms" => query.wait = Duration::from_millis(number()?).min(WATCH_LIMIT),
                _ => return Err(wrong("unknown query parameter".to_owned())),
            }
        }
        Ok(query)
    }
}

async fn list(host: &HostRef, kind: ResourceKind, request: &Request) -> Result<Response, Refusal> {
    let query = ListQuery::parse(request)?;
    let Some(mut after) = query.after else { return Ok(page(host, kind, &query.from)) };
    let end = host.now() + query.wait;
    loop {
        let (items, complete) = changes(host, kind, after);
        // A host that is about to stop answers at once, so that the watch moves to another host.
        if !items.is_empty() || host.now() >= end || host.is_draining() {
            return Ok(answer_changes(host, kind, &items, complete.max(after)));
        }
        after = after.max(complete);
        Timer::after(WATCH_PERIOD).await;
    }
}

/// One page of the resources of a kind, in the order of names.
fn page(host: &HostRef, kind: ResourceKind, from: &str) -> Response {
    let (complete, mut items): (_, Vec<_>) = {
        let state = host.state.borrow();
        let wanted = |item: &&ConfigItem| {
            item.value.is_some()
                && split_key(&item.key).is_some_and(|(found, name)| found == kind && name > from)
        };
        let items = state.config.items().filter(wanted).take(PAGE_ITEMS + 1).cloned();
        (state.config.complete_revision(), items.collect())
    };
    let is_last = items.len() <= PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    let last = items.last().and_then(|item| split_key(&item.key));
    let next = last.map(|(_, name)| name.to_owned()).filter(|_| !is_last);
    let documents = documents(host, kind, &items);
    json_answer(&json!({"revision": complete.0, "items": documents, "next": next}))
}

/// The first changes of a kind after a revision, deletions included, and the complete revision.
///
/// A write accepted by this host is in force before the complete revision reaches it; a watch
/// reports it then, and only once.
fn changes(host: &HostRef, kind: ResourceKind, after: Revision) -> (Vec<ConfigItem>, Revision) {
    let state = host.state.borrow();
    let complete = state.config.complete_revision();
    if complete <= after {
        return (Vec::new(), complete);
    }
    let wanted = |item: &&ConfigItem| {
        let is_of_kind = split_key(&item.key).is_some_and(|(found, _)| found == kind);
        is_of_kind && item.revision > after && item.revision <= complete
    };
    let mut items: Vec<_> = state.config.items().filter(wanted).cloned().collect();
    items.sort_by_key(|item| item.revision);
    (items, complete)
}

fn answer_changes(
    host: &HostRef,
    kind: ResourceKind,
    items: &[ConfigItem],
    complete: Revision,
) -> Response {
    let page = &items[..items.len().min(PAGE_ITEMS)];
    // The rest of the changes follows with the next request.
    let revision = match page.last() {
        Some(last) if page.len() < items.len() => last.revision,
        _ => complete,
    };
    json_answer(&json!({"revision": revision.0, "items": documents(host, kind, page)}))
}

fn documents(host: &HostRef, kind: ResourceKind, items: &[ConfigItem]) -> Vec<Value> {
    let one = |item: &ConfigItem| {
        Some(document(host, kind, split_key(&item.key)?.1, item, brief_conditions))
    };
    items.iter().filter_map(one).collect()
}
