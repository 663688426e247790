//! `DELETE /v1/requests/<id>`: cancels a request of the caller's account.

use std::sync::Arc;

use http_types::{Request, Response, StatusCode};
use parsley_core::refusal::{Reason, Refusal};

use super::access;
use crate::{
    host::HostRef,
    peer::{frame::PeerFrame, link},
    pool, records,
};

/// Cancels a request at the host that owns its engine.
///
/// A request is looked up by account and id, so requests of other accounts are not found.
pub async fn cancel(host: &HostRef, id: &str, request: &Request) -> Result<Response, Refusal> {
    let not_found = || Refusal::not_run(Reason::NotFound, "no such request is open");
    let account = access::account(host, request)?;
    let name = records::name(&account, &Arc::from(id));
    let record = records::find(host, &name).await.ok_or_else(not_found)?;
    let owner = {
        let state = host.state.borrow();
        let owner = state.picker.owners().owner(&record.placed.engine).cloned();
        let owner = owner.and_then(|name| state.members.get(&name).cloned());
        owner.ok_or_else(not_found)?
    };
    let found = if owner.name == host.settings.name {
        pool::cancel_named(host, &name)
    } else {
        let channel = host.state.borrow_mut().rng.u64(..);
        let link = link::get(host, &owner.name, &owner.peer_address);
        let frame = PeerFrame::CancelRequest { channel, name: name.clone() };
        matches!(link.ask(channel, frame).await, Ok(PeerFrame::CancelAnswer { found: true, .. }))
    };
    if !found {
        return Err(not_found());
    }
    Ok(Response::new(StatusCode::NoContent))
}
