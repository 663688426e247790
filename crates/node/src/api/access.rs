//! Authenticates requests by bearer token and checks the role that their route requires.

use std::sync::Arc;

use http_types::Request;
use parsley_core::refusal::{Reason, Refusal};

use crate::host::HostRef;

/// Hex digits of a token's BLAKE3 digest that identify an operator in logs and audit events.
const OPERATOR_ID_DIGITS: usize = 12;

/// Role that a route requires.
///
/// Peers have no role: they prove knowledge of the peer key on the peer port and use no route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// No credential is needed: the route discloses nothing beyond addresses and health.
    Anyone,
    /// Requires the bearer token of a client account.
    Caller,
    /// Requires the bearer token of an operator.
    Operator,
}

/// Name of the client account that sent a request, attached to the request by [`check`].
#[derive(Clone, Debug)]
pub struct CallerAccount(pub Arc<str>);

/// Operator that sent a request: the first digits of the token's digest, or `anonymous`.
#[derive(Clone, Debug)]
pub struct OperatorId(pub Arc<str>);

/// Checks that a request's credential grants `role` and attaches the account or operator to the
/// request.
pub fn check(host: &HostRef, role: Role, request: &mut Request) -> Result<(), Refusal> {
    match role {
        Role::Anyone => Ok(()),
        Role::Caller => {
            let name = account(host, request)?;
            request.ext_mut().insert(CallerAccount(name));
            Ok(())
        }
        Role::Operator => {
            let id = operator(host, request)?;
            request.ext_mut().insert(OperatorId(id));
            Ok(())
        }
    }
}

/// Returns the name of the client account that sent a request.
///
/// Uses the account that [`check`] attached, or looks the token's digest up in the configuration.
pub fn account(host: &HostRef, request: &Request) -> Result<Arc<str>, Refusal> {
    if let Some(CallerAccount(name)) = request.ext().get() {
        return Ok(name.clone());
    }
    let digest = token_digest(request).ok_or_else(unauthenticated)?;
    let state = host.state.borrow();
    state.config.resources().digests.get(&*digest).cloned().ok_or_else(unauthenticated)
}

/// Returns the id of the operator that sent a request.
fn operator(host: &HostRef, request: &Request) -> Result<Arc<str>, Refusal> {
    let operator_digests = &host.settings.operator_digests;
    let digest = token_digest(request);
    // Without configured operators every request to an operator route is accepted.
    if operator_digests.is_empty() {
        return Ok(digest.map_or_else(|| "anonymous".into(), |digest| operator_id(&digest)));
    }
    let digest = digest.ok_or_else(unauthenticated)?;
    if operator_digests.iter().any(|known| **known == *digest) {
        return Ok(operator_id(&digest));
    }
    if host.state.borrow().config.resources().digests.contains_key(&*digest) {
        return Err(Refusal::not_run(Reason::Forbidden, "the token is not an operator's"));
    }
    Err(unauthenticated())
}

fn unauthenticated() -> Refusal {
    Refusal::not_run(Reason::Unauthenticated, "no valid bearer token")
}

fn token_digest(request: &Request) -> Option<String> {
    let header = request.header("authorization")?.as_str();
    let token = header.strip_prefix("Bearer ")?;
    Some(blake3::hash(token.as_bytes()).to_hex().to_string())
}

/// Shortens a token's digest to an operator id.
fn operator_id(digest: &str) -> Arc<str> {
    digest[..OPERATOR_ID_DIGITS].into()
}
