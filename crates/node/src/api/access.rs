//! Who may use a route.

use std::sync::Arc;

use http_types::Request;
use parsley_core::refusal::{Reason, Refusal};

use crate::host::HostRef;

/// Digits of a token's digest that identify its holder in logs and audit events.
const OPERATOR_DIGITS: usize = 12;

/// Who may use a route. Peers prove knowledge of the peer key on their own port and use no route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// Anyone: the route tells nothing beyond addresses and health.
    Anyone,
    /// A client account.
    Caller,
    /// An operator.
    Operator,
}

/// The client account that sent a request.
#[derive(Clone, Debug)]
pub struct CallerAccount(pub Arc<str>);

/// The operator that sent a request, by the first digits of the token's digest.
#[derive(Clone, Debug)]
pub struct OperatorId(pub Arc<str>);

/// Checks the credential of a request and attaches the account or operator to it.
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

/// The client account of a request.
pub fn account(host: &HostRef, request: &Request) -> Result<Arc<str>, Refusal> {
    if let Some(CallerAccount(name)) = request.ext().get() {
        return Ok(name.clone());
    }
    let digest = digest(request).ok_or_else(denied)?;
    let state = host.state.borrow();
    state.config.resources().digests.get(&*digest).cloned().ok_or_else(denied)
}

fn operator(host: &HostRef, request: &Request) -> Result<Arc<str>, Refusal> {
    let known = &host.settings.operator_digests;
    let digest = digest(request);
    if known.is_empty() {
        return Ok(digest.map_or_else(|| "anonymous".into(), |digest| short(&digest)));
    }
    let digest = digest.ok_or_else(denied)?;
    if known.iter().any(|one| **one == *digest) {
        return Ok(short(&digest));
    }
    if host.state.borrow().config.resources().digests.contains_key(&*digest) {
        return Err(Refusal::not_run(Reason::Forbidden, "the token is not an operator's"));
    }
    Err(denied())
}

fn denied() -> Refusal {
    Refusal::not_run(Reason::Unauthenticated, "no valid bearer token")
}

fn digest(request: &Request) -> Option<String> {
    let header = request.header("authorization")?.as_str();
    let token = header.strip_prefix("Bearer ")?;
    Some(blake3::hash(token.as_bytes()).to_hex().to_string())
}

fn short(digest: &str) -> Arc<str> {
    digest[..OPERATOR_DIGITS].into()
}
