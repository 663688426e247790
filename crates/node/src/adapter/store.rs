//! The platform's key-value service over HTTP.

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

/// Time within which a call is answered.
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

/// Result of a compare-and-swap that the service answered.
pub enum SwapAnswer {
    /// It took effect at this revision.
    Done(Revision),
    /// The key has another revision; zero if it is absent.
    Lost(Revision),
}

/// Every change under a prefix after a revision. With a wait, the call is a watch.
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
    let mut response = http::send(address, Method::Get, &path, None, limit).await?;
    let body: RangeBody = response.body_json().await?;
    let items = body.items.into_iter().map(|item| ConfigItem {
        key: item.key,
        revision: Revision(item.revision),
        value: item.value,
    });
    Ok(ConfigDelta { after, complete: Revision(body.revision), items: items.collect() })
}

/// Writes a key if its revision is `expect` (zero: absent).
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

/// A key's revision and value, if it exists.
pub async fn read(address: &str, key: &str) -> Result<Option<(Revision, Arc<str>)>, NodeError> {
    let path = format!("/kv/{key}");
    let mut response = http::send(address, Method::Get, &path, None, CALL_LIMIT).await?;
    match response.status() {
        StatusCode::Ok => {
            let body: ValueBody = response.body_json().await?;
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

async fn swap_answer(mut response: Response) -> Result<SwapAnswer, NodeError> {
    let status = response.status();
    let body: RevisionBody = response.body_json().await?;
    match status {
        StatusCode::Ok => Ok(SwapAnswer::Done(Revision(body.revision))),
        StatusCode::Conflict => Ok(SwapAnswer::Lost(Revision(body.revision))),
        _ => Err(NodeError::Protocol("the key-value service refused the write")),
    }
}

/// Who holds a leased key.
pub enum LeaseAnswer {
    /// The caller.
    Held {
        /// Its lease.
        lease: u64,
        /// Revision at which the key was created.
        revision: Revision,
    },
    /// Somebody else, or nobody any more.
    NotHeld,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: u64,
}

/// Holds a key with a value of the caller's own: renews `known`, or creates the key under a new
/// lease if it is absent. If an earlier create took effect although its answer was lost, the key
/// holds the caller's value under a lease that nobody renews; it runs out and is created again.
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
    let mut response = http::send(address, Method::Post, "/leases", Some(body), CALL_LIMIT).await?;
    let LeaseBody { lease } = response.body_json().await?;
    let body = json!({"value": value, "expect": 0, "lease": lease}).to_string();
    let path = format!("/kv/{key}");
    let mut response = http::send(address, Method::Put, &path, Some(body), CALL_LIMIT).await?;
    if response.status() != StatusCode::Ok {
        return Ok(LeaseAnswer::NotHeld);
    }
    let body: RevisionBody = response.body_json().await?;
    Ok(LeaseAnswer::Held { lease, revision: Revision(body.revision) })
}

/// Gives a lease up, with the keys under it.
pub async fn revoke(address: &str, lease: u64) -> Result<(), NodeError> {
    let path = format!("/leases/{lease}");
    http::send(address, Method::Delete, &path, None, CALL_LIMIT).await?;
    Ok(())
}

/// Grants a lease with the term for which calls are remembered.
pub async fn grant_retention(addresses: &[Arc<str>]) -> Option<u64> {
    let ttl_ms = RETENTION_LEASE_TERM.as_millis() as u64;
    let body = json!({"ttl_ms": ttl_ms}).to_string();
    let Ok((200, text)) = exchange(addresses, Method::Post, "/leases", Some(body)).await else {
        return None;
    };
    serde_json::from_str::<LeaseBody>(&text).ok().map(|body| body.lease)
}

/// Reads the record of a call.
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
        Err(err) => unanswered(&err),
    }
}

/// Writes the record of a call if its key has the expected revision (zero: absent).
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
    written(answer)
}

/// Deletes the record of a call if its key has the expected revision.
pub async fn delete_call(addresses: &[Arc<str>], key: &str, expect: Revision) -> StoreAnswer {
    let path = format!("/kv/{key}?expect={}", expect.0);
    written(exchange(addresses, Method::Delete, &path, None).await)
}

fn written(answer: Result<(u16, String), NodeError>) -> StoreAnswer {
    match answer {
        Ok((200, text)) => match serde_json::from_str::<RevisionBody>(&text) {
            Ok(body) => StoreAnswer::Written(Revision(body.revision)),
            Err(_) => StoreAnswer::NoAnswer,
        },
        Ok((409, _)) => StoreAnswer::RevisionConflict,
        Ok((410, _)) => StoreAnswer::UnknownLease,
        Ok(_) => StoreAnswer::NoAnswer,
        Err(err) => unanswered(&err),
    }
}

fn unanswered(err: &NodeError) -> StoreAnswer {
    match err {
        NodeError::Connect(_) => StoreAnswer::NotSent,
        _ => StoreAnswer::NoAnswer,
    }
}

/// One call on a new connection to the first address that accepts one; status and body.
async fn exchange(
    addresses: &[Arc<str>],
    method: Method,
    path: &str,
    body: Option<String>,
) -> Result<(u16, String), NodeError> {
    let mut last = NodeError::Protocol("no address of the key-value service is known");
    for address in addresses {
        let call = async {
            let mut response = http::send(address, method, path, body.clone(), CALL_LIMIT).await?;
            Ok((u16::from(response.status()), response.body_string().await?))
        };
        match with_timeout(CALL_LIMIT, call).await {
            Err(err @ NodeError::Connect(_)) => last = err,
            result => return result,
        }
    }
    Err(last)
}
