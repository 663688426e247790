//! Operator views of this host's state. They contain no secret, prompt or answer.

use http_types::{Response, StatusCode};
use parsley_core::config::Revision;
use serde_json::{Value, json};

use super::json_response;
use crate::{event, host::HostRef};

/// Maximum number of entries in each list of a dump.
const DUMP_LIMIT: usize = 200;

/// Returns a summary of the host: readiness, revision, resource counts and live members.
pub fn status(host: &HostRef) -> Response {
    let open = host.open_requests();
    let state = host.state.borrow();
    let members: Vec<_> = state.members.live().map(member_json).collect();
    let set = state.config.resources();
    json_response(&json!({
        "host": host.settings.name,
        "region": host.settings.region,
        "failureDomain": host.settings.failure_domain,
        "version": env!("CARGO_PKG_VERSION"),
        "uptimeSeconds": host.now().0 / 1_000_000,
        "ready": !state.is_draining() && state.config.complete_revision() > Revision(0),
        "draining": state.is_draining(),
        "openRequests": open,
        "revision": state.config.complete_revision().0,
        "resources": {
            "ranks": set.ranks.len(), "models": set.models.len(),
            "clientaccounts": set.accounts.len(), "backendservers": set.servers.len(),
        },
        "members": members,
    }))
}

fn member_json(record: &parsley_core::member::MemberRecord) -> Value {
    json!({
        "name": record.name, "region": record.region, "failureDomain": record.failure_domain,
        "address": record.address, "state": format!("{:?}", record.state).to_lowercase(),
        "incarnation": record.incarnation,
    })
}

/// Returns a diagnostic dump of the process, bounded in size and with secrets redacted.
pub fn dump(host: &HostRef) -> Response {
    let open = host.open_requests();
    let state = host.state.borrow();
    let set = state.config.resources();
    let settings = &host.settings;
    let accounts = set.accounts.iter().take(DUMP_LIMIT).map(|(name, account)| {
        json!({
            "name": name, "ranks": account.ranks, "weight": account.weight,
            "tokens": account.credential_digests.len(),
        })
    });
    let servers = set.servers.iter().take(DUMP_LIMIT).map(|(name, server)| {
        json!({"name": name, "address": server.address, "leaving": server.leaving})
    });
    json_response(&json!({
        "host": settings.name,
        "settings": {
            "listen": settings.listen, "peerListen": settings.peer_listen,
            "store": settings.store, "hostList": settings.host_list, "seeds": settings.seeds,
            "capacity": settings.capacity, "limits": settings.limits,
            "tls": settings.tls.is_some(), "operators": settings.operator_digests.len(),
            "peerKey": "(redacted)",
        },
        "revision": state.config.complete_revision().0,
        "openRequests": open,
        "poolRequests": state.pool.len(),
        "members": state.members.live().take(DUMP_LIMIT).map(member_json).collect::<Vec<_>>(),
        "links": state.links.keys().take(DUMP_LIMIT).collect::<Vec<_>>(),
        "accounts": accounts.collect::<Vec<_>>(),
        "servers": servers.collect::<Vec<_>>(),
        "listLimit": DUMP_LIMIT,
    }))
}

/// Starts to drain this host. The process stops once its open requests have ended.
pub fn drain(host: &HostRef, operator: &str) -> Response {
    event!(host.log, DRAIN_REQUESTED, "operator" => operator);
    host.request_stop(operator);
    let answer = json!({"host": host.settings.name, "openRequests": host.open_requests()});
    let mut response = json_response(&answer);
    response.set_status(StatusCode::Accepted);
    response
}
