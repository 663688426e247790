//! Operator API under `/admin/v1`: resources and the state of this host.
//!
//! Lists are served from the configuration in force on this host, so they work while the key-value
//! service is unavailable. A single resource is read from the service, with the configuration in
//! force as the fallback. Writes are in [`admin_write`](super::admin_write).

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
    gate, json_response,
    problem::{problem_body, problem_with},
};
use crate::{adapter::store, event, host::HostRef};

/// Upper bound of `wait_ms`, the time for which a watch is held open without changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of resources in one response. Rendering more at once would block the other tasks
/// of the host, which share one thread.
const MAX_PAGE_ITEMS: usize = 50;
/// Maximum length of a client-supplied write id.
const MAX_WRITE_ID_BYTES: usize = 64;

/// Refusal of a write, with the details that the operator needs to correct it.
pub struct AdminRefusal {
    /// Reason, outcome and detail text of the refusal.
    pub refusal: Refusal,
    /// Validation errors in the submitted spec; empty if the refusal has another cause.
    pub findings: Vec<Finding>,
    /// Current revision of the resource after a revision conflict; zero if it does not exist.
    pub current: Option<Revision>,
}

impl From<Refusal> for AdminRefusal {
    fn from(refusal: Refusal) -> AdminRefusal {
        AdminRefusal { refusal, findings: Vec::new(), current: None }
    }
}

/// Handles an operator's request; `parts` are the path segments below `/admin/v1`.
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
            Method::Get => list_resources(host, kind, &request).await,
            _ => Err(not_found()),
        };
    };
    if !is_name(name) {
        return Err(Refusal::not_run(Reason::BadRequest, "not a valid resource name"));
    }
    match request.method() {
        Method::Get => get_resource(host, kind, name).await,
        Method::Put | Method::Delete => {
            let write = parse_write(&request, kind, name, &operator)?;
            Ok(finish_write(host, write, request).await)
        }
        _ => Err(not_found()),
    }
}

/// Reads the target, precondition and write id of a write from its path and headers.
fn parse_write(
    request: &Request,
    kind: ResourceKind,
    name: &str,
    operator: &str,
) -> Result<ResourceWrite, Refusal> {
    let invalid = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let expect = match (header("if-match"), header("if-none-match")) {
        (Some(tag), None) => {
            let revision = tag.trim_matches('"').parse().ok().filter(|revision| *revision > 0);
            Revision(revision.ok_or_else(|| invalid("If-Match: not a revision"))?)
        }
        (None, Some("*")) if request.method() == Method::Put => Revision(0),
        _ => return Err(invalid("send If-Match with the revision, or If-None-Match: * to create")),
    };
    let write_id = match header("parsley-write-id") {
        Some(id) if id.is_empty() || id.len() > MAX_WRITE_ID_BYTES => {
            return Err(invalid("Parsley-Write-Id: not 1 to 64 bytes"));
        }
        Some(id) => id.into(),
        None => Arc::from(""),
    };
    Ok(ResourceWrite { kind, name: name.into(), expect, operator: operator.into(), write_id })
}

/// Executes a write and reports its result in the metrics, the response and, for a refusal, the
/// log.
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
        Err(AdminRefusal { refusal, findings, current }) => {
            host.metrics.writes.with_label_values(&["refused"]).inc();
            event!(host.log, WRITE_REFUSED, "operator" => &*write.operator, "resource" => &resource,
                "reason" => refusal.reason.name(), "detail" => &*refusal.detail);
            gate::record_refusal(host, group, &refusal);
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

async fn get_resource(host: &HostRef, kind: ResourceKind, name: &str) -> Result<Response, Refusal> {
    let key = resource_key(kind, name);
    // Fallback while no address of the key-value service answers.
    let mut found = local_item(host, &key);
    for address in &host.settings.store {
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
    let mut response = json_response(&resource_document(host, kind, name, &item, conditions));
    response.insert_header("etag", format!("\"{}\"", item.revision.0));
    Ok(response)
}

/// Returns the item under a key in the configuration in force on this host.
fn local_item(host: &HostRef, key: &str) -> Option<ConfigItem> {
    host.state.borrow().config.item(key).cloned()
}

/// Renders a resource as JSON: `spec` as the operator wrote it and `status` as this host sees it.
/// A deleted resource has neither.
pub fn resource_document(
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

/// Query parameters of a list request.
#[derive(Default)]
struct ListQuery {
    /// Resource name after which the page starts; empty for the first page.
    from: String,
    /// Revision after which changes are reported; makes the request a watch.
    after: Option<Revision>,
    /// Time for which a watch without changes is held open.
    wait: Duration,
}

impl ListQuery {
    fn parse(request: &Request) -> Result<ListQuery, Refusal> {
        let invalid = |detail: String| Refusal::not_run(Reason::BadRequest, &detail);
        let mut query = ListQuery::default();
        for (name, value) in request.url().query_pairs() {
            let number = || value.parse().map_err(|_| invalid(format!("{name}: not a number")));
            match &*name {
                "from" => query.from = value.into_owned(),
                "after" => query.after = Some(Revision(number()?)),
                "wait_ms" => query.wait = Duration::from_millis(number()?).min(MAX_WATCH_WAIT),
                _ => return Err(invalid("unknown query parameter".to_owned())),
            }
        }
        Ok(query)
    }
}

async fn list_resources(
    host: &HostRef,
    kind: ResourceKind,
    request: &Request,
) -> Result<Response, Refusal> {
    let query = ListQuery::parse(request)?;
    let Some(mut after) = query.after else { return Ok(page_response(host, kind, &query.from)) };
    let end = host.now() + query.wait;
    loop {
        let (items, complete) = changes_after(host, kind, after);
        // A draining host responds at once, so that the client moves the watch to another host.
        if !items.is_empty() || host.now() >= end || host.is_draining() {
            return Ok(changes_response(host, kind, &items, complete.max(after)));
        }
        after = after.max(complete);
        Timer::after(WATCH_POLL_INTERVAL).await;
    }
}

/// Returns one page of the resources of a kind, ordered by name.
fn page_response(host: &HostRef, kind: ResourceKind, from: &str) -> Response {
    let (complete, mut items): (_, Vec<_>) = {
        let state = host.state.borrow();
        let is_match = |item: &&ConfigItem| {
            item.value.is_some()
                && split_key(&item.key).is_some_and(|(found, name)| found == kind && name > from)
        };
        let items = state.config.items().filter(is_match).take(MAX_PAGE_ITEMS + 1).cloned();
        (state.config.complete_revision(), items.collect())
    };
    let is_last = items.len() <= MAX_PAGE_ITEMS;
    items.truncate(MAX_PAGE_ITEMS);
    let last = items.last().and_then(|item| split_key(&item.key));
    let next = last.map(|(_, name)| name.to_owned()).filter(|_| !is_last);
    let documents = resource_documents(host, kind, &items);
    json_response(&json!({"revision": complete.0, "items": documents, "next": next}))
}

/// Returns the changes of a kind after a revision in revision order, deletions included, and the
/// complete revision.
///
/// A write accepted by this host is in force before the complete revision covers it. Only changes
/// up to the complete revision are returned, so that a watch reports each change once.
fn changes_after(
    host: &HostRef,
    kind: ResourceKind,
    after: Revision,
) -> (Vec<ConfigItem>, Revision) {
    let state = host.state.borrow();
    let complete = state.config.complete_revision();
    if complete <= after {
        return (Vec::new(), complete);
    }
    let is_match = |item: &&ConfigItem| {
        let has_kind = split_key(&item.key).is_some_and(|(found, _)| found == kind);
        has_kind && item.revision > after && item.revision <= complete
    };
    let mut items: Vec<_> = state.config.items().filter(is_match).cloned().collect();
    items.sort_by_key(|item| item.revision);
    (items, complete)
}

fn changes_response(
    host: &HostRef,
    kind: ResourceKind,
    items: &[ConfigItem],
    complete: Revision,
) -> Response {
    let page = &items[..items.len().min(MAX_PAGE_ITEMS)];
    // A truncated page ends at its last revision, from which the client's next request continues.
    let revision = match page.last() {
        Some(last) if page.len() < items.len() => last.revision,
        _ => complete,
    };
    json_response(&json!({"revision": revision.0, "items": resource_documents(host, kind, page)}))
}

fn resource_documents(host: &HostRef, kind: ResourceKind, items: &[ConfigItem]) -> Vec<Value> {
    let render = |item: &ConfigItem| {
        Some(resource_document(host, kind, split_key(&item.key)?.1, item, brief_conditions))
    };
    items.iter().filter_map(render).collect()
}
