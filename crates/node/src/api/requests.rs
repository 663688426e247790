//! `DELETE /v1/requests/<id>`: cancels a request of the caller's account.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use http_types::{Request, Response, StatusCode};
use parsley_core::{
    record::RequestName,
    refusal::{Reason, Refusal},
};

use super::access;
use crate::{
    error::NodeError,
    host::HostRef,
    peer::{frame::PeerFrame, link},
    pool, records,
};

/// Time for which a cancellation is repeated while other hosts do not answer.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a cancellation is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Cancels a request at the host that owns its engine.
///
/// A request is looked up by account and id, so requests of other accounts are not found. If a host
/// does not answer, for example because it was paused, the cancellation is repeated: until all have
/// answered it is not known whether the request is open.
pub async fn cancel(host: &HostRef, id: &str, request: &Request) -> Result<Response, Refusal> {
    let account = access::account(host, request)?;
    let name = records::name(&account, &Arc::from(id));
    let end = host.now() + CANCEL_TIMEOUT;
    let mut may_be_cancelled = false;
    loop {
        match try_cancel(host, &name, &mut may_be_cancelled).await {
            // An earlier attempt may have ended it.
            Ok(found) if found || may_be_cancelled => {
                return Ok(Response::new(StatusCode::NoContent));
            }
            Ok(_) => return Err(Refusal::not_run(Reason::NotFound, "no such request is open")),
            Err(_) if host.now() >= end => {
                let detail = "the hosts that may have the request do not answer";
                let refusal = Refusal::not_run(Reason::Overloaded, detail);
                return Err(refusal.retry_after(Duration::from_secs(1)));
            }
            Err(_) => Timer::after(REPEAT_PAUSE).await,
        };
    }
}

/// Cancels a request at its owner. Returns whether it was open; errs if a host that may know does
/// not answer, and then sets `was_sent` if the owner may have cancelled it.
async fn try_cancel(
    host: &HostRef,
    name: &RequestName,
    was_sent: &mut bool,
) -> Result<bool, NodeError> {
    let Some(record) = records::find(host, name).await? else { return Ok(false) };
    let owner = {
        let state = host.state.borrow();
        let owner = state.picker.owners().owner(&record.placed.engine).cloned();
        owner.and_then(|name| state.members.get(&name).cloned())
    };
    let Some(owner) = owner else { return Ok(false) };
    let is_found = if owner.name == host.settings.name {
        pool::cancel_by_name(host, name)
    } else {
        let channel = host.state.borrow_mut().rng.u64(..);
        let link = link::get_or_open(host, &owner.name, &owner.peer_address);
        let frame = PeerFrame::CancelRequest { channel, name: name.clone() };
        let answer = link.query(channel, frame).await;
        // The owner may have cancelled the request although its answer was lost.
        *was_sent |= answer.is_err();
        matches!(answer?, PeerFrame::CancelAnswer { found: true, .. })
    };
    if !is_found && !record.time_left.is_zero() {
        // Another host had the engine when the request was sent there.
        return Err(NodeError::Protocol("the request is open at another host"));
    }
    Ok(is_found)
}
