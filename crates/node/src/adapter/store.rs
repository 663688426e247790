//! HTTP client for the platform's key-value service.

use std::{sync::Arc, time::Duration};

use http_types::{Method, Response, StatusCode};
use parsley_core::{
    call::{CallRecord, RETENTION_LEASE_TERM, StoreAnswer},
    config::{ConfigDelta, ConfigItem, Revision},
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    error::NodeError,
    http::{self, with_timeout},
};

/// Time within which the service answers a call.
pub const CALL_LIMIT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct RangeBody {
    revision: u64,
    items: Vec<ItemBody>,
}

#[derive(Deserialize)]
struct ItemBody {
    key: Arc<str>,
    revision: u64,
    value: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(default)]
    revision: u64,
}

#[derive(Deserialize)]
struct ValueBody {
    revision: u64,
    value: Arc<str>,
}

/// The service's answer to a compare-and-swap.
pub enum SwapAnswer {
    /// The write took effect at this revision.
    Written(Revision),
    /// The write had no effect, because the key has this revision instead of the expected one; zero
    /// if the key is absent.
    RevisionConflict(Revision),
}

/// Reads all changes under a prefix after a revision. With `wait`, the call is a long poll that
/// waits up to that time for a change.
pub async fn changes(
    address: &str,
    prefix: &str,
    after: Revision,
    wait: Option<Duration>,
) -> Result<ConfigDelta, NodeError> {
    let (path, limit) = match wait {
        None => (format!("/range/{prefix}?after={}", after.0), CALL_LIMIT),
        Some(wait) => {
            let wait_ms = wait.as_millis();
            (format!("/watch/{prefix}?after={}&wait_ms={wait_ms}", after.0), wait + CALL_LIMIT)
        }
    };
    let response = http::send(address, Method::Get, &path, None, limit).await?;
    let body: RangeBody = http::read_json(response, CALL_LIMIT).await?;
    let items = body.items.into_iter().map(|item| ConfigItem {
        key: item.key,
        revision: Revision(item.revision),
        value: item.value,
    });
    Ok(ConfigDelta { after, complete: Revision(body.revision), items: items.collect() })
}

/// Writes a key if its revision is `expect`, where zero means that the key is absent.
pub async fn swap(
    address: &str,
    key: &str,
    expect: Revision,
    value: &str,
) -> Result<SwapAnswer, NodeError> {
    let body = json!({"value": value, "expect": expect.0}).to_string();
    let path = format!("/kv/{key}");
    let response = http::send(address, Method::Put, &path, Some(body), CALL_LIMIT).await?;
    swap_answer(response).await
}

/// Reads a key's revision and value. Returns `None` if the key does not exist.
pub async fn read(address: &str, key: &str) -> Result<Option<(Revision, Arc<str>)>, NodeError> {
    let path = format!("/kv/{key}");
    let response = http::send(address, Method::Get, &path, None, CALL_LIMIT).await?;
    match response.status() {
        StatusCode::Ok => {
            let body: ValueBody = http::read_json(response, CALL_LIMIT).await?;
            Ok(Some((Revision(body.revision), body.value)))
        }
        StatusCode::NotFound => Ok(None),
        _ => Err(NodeError::Protocol("the key-value service refused the read")),
    }
}

/// Deletes a key if its revision is `expect`.
pub async fn remove(address: &str, key: &str, expect: Revision) -> Result<SwapAnswer, NodeError> {
    let path = format!("/kv/{key}?expect={}", expect.0);
    let response = http::send(address, Method::Delete, &path, None, CALL_LIMIT).await?;
    swap_answer(response).await
}

async fn swap_answer(response: Response) -> Result<SwapAnswer, NodeError> {
    let status = response.status();
    let body: RevisionBody = http::read_json(response, CALL_LIMIT).await?;
    match status {
        StatusCode::Ok => Ok(SwapAnswer::Written(Revision(body.revision))),
        StatusCode::Conflict => Ok(SwapAnswer::RevisionConflict(Revision(body.revision))),
        _ => Err(NodeError::Protocol("the key-value service refused the write")),
    }
}

/// Result of an attempt to hold a leased key.
pub enum LeaseAnswer {
    /// The caller holds the key.
    Held {
        /// Id of the lease, to be passed to the next renewal.
        lease: u64,
        /// Revision at which the key was created.
        revision: Revision,
    },
    /// Another holder has the key, or the caller's lease has expired.
    NotHeld,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: u64,
}

/// Acquires or keeps a key whose value identifies the caller: renews the lease `known`, or creates
/// the key under a new lease if it is absent. If an earlier create took effect but its answer was
/// lost, the key exists with the caller's value under a lease that is never renewed. The call
/// returns `NotHeld` until that lease expires; the next call then creates the key again.
pub async fn hold_key(
    address: &str,
    key: &str,
    value: &str,
    known: Option<u64>,
    term: Duration,
) -> Result<LeaseAnswer, NodeError> {
    if let Some(lease) = known {
        let path = format!("/leases/{lease}");
        let response =
            http::send(address, Method::Post, &path, Some("{}".into()), CALL_LIMIT).await?;
        if response.status() != StatusCode::Ok {
            return Ok(LeaseAnswer::NotHeld);
        }
        let held = read(address, key).await?.filter(|(_, held)| **held == *value);
        return Ok(held
            .map_or(LeaseAnswer::NotHeld, |(revision, _)| LeaseAnswer::Held { lease, revision }));
    }
    if read(address, key).await?.is_some() {
        return Ok(LeaseAnswer::NotHeld);
    }
    let body = json!({"ttl_ms": term.as_millis() as u64}).to_string();
    let response = http::send(address, Method::Post, "/leases", Some(body), CALL_LIMIT).await?;
    let LeaseBody { lease } = http::read_json(response, CALL_LIMIT).await?;
    let body = json!({"value": value, "expect": 0, "lease": lease}).to_string();
    let path = format!("/kv/{key}");
    let response = http::send(address, Method::Put, &path, Some(body), CALL_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Ok(LeaseAnswer::NotHeld);
    }
    let body: RevisionBody = http::read_json(response, CALL_LIMIT).await?;
    Ok(LeaseAnswer::Held { lease, revision: Revision(body.revision) })
}

/// Revokes a lease, which deletes the keys attached to it.
pub async fn revoke(address: &str, lease: u64) -> Result<(), NodeError> {
    let path = format!("/leases/{lease}");
    http::send(address, Method::Delete, &path, None, CALL_LIMIT).await?;
    Ok(())
}

/// Grants a lease of [`RETENTION_LEASE_TERM`], to which call records are attached. Returns `None`
/// on any failure.
pub async fn grant_retention(addresses: &[Arc<str>]) -> Option<u64> {
    let ttl_ms = RETENTION_LEASE_TERM.as_millis() as u64;
    let body = json!({"ttl_ms": ttl_ms}).to_string();
    let Ok((200, text)) = exchange(addresses, Method::Post, "/leases", Some(body)).await else {
        return None;
    };
    serde_json::from_str::<LeaseBody>(&text).ok().map(|body| body.lease)
}

/// Reads the record of a call. `is_holder_alive` decides from a found record whether its host may
/// still be making the call. A record that does not parse counts as no answer.
pub async fn read_call(
    addresses: &[Arc<str>],
    key: &str,
    is_holder_alive: impl FnOnce(&CallRecord) -> bool,
) -> StoreAnswer {
    match exchange(addresses, Method::Get, &format!("/kv/{key}"), None).await {
        Ok((200, text)) => {
            let parse = || {
                let body: ValueBody = serde_json::from_str(&text).ok()?;
                let record: CallRecord = serde_json::from_str(&body.value).ok()?;
                Some((Revision(body.revision), record))
            };
            let Some((revision, record)) = parse() else { return StoreAnswer::NoAnswer };
            let is_holder_alive = is_holder_alive(&record);
            StoreAnswer::Found { revision, record, is_holder_alive }
        }
        Ok((404, _)) => StoreAnswer::Absent,
        Ok(_) => StoreAnswer::NoAnswer,
        Err(err) => failure_answer(&err),
    }
}

/// Writes the record of a call, attached to a lease, if its key has revision `expect`, where zero
/// means that the key is absent.
pub async fn write_call(
    addresses: &[Arc<str>],
    key: &str,
    expect: Revision,
    record: &CallRecord,
    lease: u64,
) -> StoreAnswer {
    let value = serde_json::to_string(record).expect("records are plain data");
    let body = json!({"value": value, "expect": expect.0, "lease": lease}).to_string();
    let answer = exchange(addresses, Method::Put, &format!("/kv/{key}"), Some(body)).await;
    write_answer(answer)
}

/// Deletes the record of a call if its key has revision `expect`.
pub async fn delete_call(addresses: &[Arc<str>], key: &str, expect: Revision) -> StoreAnswer {
    let path = format!("/kv/{key}?expect={}", expect.0);
    write_answer(exchange(addresses, Method::Delete, &path, None).await)
}

fn write_answer(answer: Result<(u16, String), NodeError>) -> StoreAnswer {
    match answer {
        Ok((200, text)) => match serde_json::from_str::<RevisionBody>(&text) {
            Ok(body) => StoreAnswer::Written(Revision(body.revision)),
            Err(_) => StoreAnswer::NoAnswer,
        },
        Ok((409, _)) => StoreAnswer::RevisionConflict,
        Ok((410, _)) => StoreAnswer::UnknownLease,
        Ok(_) => StoreAnswer::NoAnswer,
        Err(err) => failure_answer(&err),
    }
}

fn failure_answer(err: &NodeError) -> StoreAnswer {
    match err {
        NodeError::Connect(_) => StoreAnswer::NotSent,
        _ => StoreAnswer::NoAnswer,
    }
}

/// Sends one call on a new connection to the first address that accepts one. Returns the status and
/// body.
async fn exchange(
    addresses: &[Arc<str>],
    method: Method,
    path: &str,
    body: Option<String>,
) -> Result<(u16, String), NodeError> {
    let mut last = NodeError::Protocol("no address of the key-value service is configured");
    for address in addresses {
        let call = async {
            let response = http::send(address, method, path, body.clone(), CALL_LIMIT).await?;
            Ok((u16::from(response.status()), http::read_text(response, CALL_LIMIT).await?))
        };
        match with_timeout(CALL_LIMIT, call).await {
            Err(err @ NodeError::Connect(_)) => last = err,
            result => return result,
        }
    }
    Err(last)
}
