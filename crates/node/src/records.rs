//! Keeps the records of requests at two hosts in two failure domains.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use futures_lite::FutureExt;
use parsley_core::{
    member::MemberRecord,
    record::{RecordInput, RecordOutput, RequestName, RequestRecord, record_hosts},
    refusal::{Reason, Refusal},
    request::PlacedStream,
};

use crate::{
    host::HostRef,
    peer::{frame::PeerFrame, link},
};

/// Time for which the first record host is waited for when the second has answered. Its answer
/// counts more, so that two retries at a time agree on which of them came first.
const FIRST_LIMIT: Duration = Duration::from_millis(300);
/// Time within which one record host must answer.
const ACK_LIMIT: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_secs(1);

/// Starts to drop records whose term is over.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK).await;
            step(&host, RecordInput::Tick);
        }
    });
}

fn step(host: &HostRef, input: RecordInput) -> Option<RecordOutput> {
    let now = host.now();
    host.state.borrow_mut().records.step(now, input)
}

/// Keeps a record on this host.
pub fn open_local(host: &HostRef, record: RequestRecord) -> RecordOutput {
    step(host, RecordInput::Open(record)).expect("opening is always answered")
}

/// Notes on this host that a request goes to another stream.
pub fn update_local(host: &HostRef, name: RequestName, placed: PlacedStream, attempt: u32) {
    step(host, RecordInput::Placed { name, placed, attempt });
}

/// Notes on this host that a request ended.
pub fn end_local(host: &HostRef, name: RequestName) {
    step(host, RecordInput::Ended(name));
}

/// The record of a request on this host.
pub fn get_local(host: &HostRef, name: &RequestName) -> Option<RequestRecord> {
    host.state.borrow().records.get(name).cloned()
}

/// Records a request before it is dispatched. Returns the record in force and whether it was there
/// before, after at least one record host answered.
pub async fn open(host: &HostRef, record: RequestRecord) -> Result<RecordOutput, Refusal> {
    let end = host.now() + ACK_LIMIT.min(record.time_left);
    loop {
        if let Some(known) = open_once(host, &record).await {
            return Ok(known);
        }
        if host.now() >= end {
            let detail = "no host could record the request";
            return Err(
                Refusal::not_run(Reason::Overloaded, detail).retry_after(Duration::from_secs(1))
            );
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

async fn open_once(host: &HostRef, record: &RequestRecord) -> Option<RecordOutput> {
    let keepers = record_hosts(&host.state.borrow().members, &record.name);
    let (sender, answers) = async_channel::unbounded();
    for (index, keeper) in keepers.into_iter().enumerate() {
        let (host, record, sender) = (host.clone(), record.clone(), sender.clone());
        host.clone().spawn(async move {
            if let Some(known) = open_at(&host, &keeper, record).await {
                let _ = sender.try_send((index, known));
            }
        });
    }
    drop(sender);
    let (index, known) = answers.recv().await.ok()?;
    if index == 0 {
        return Some(known);
    }
    let first = async { answers.recv().await.ok() };
    let late = async {
        Timer::after(FIRST_LIMIT).await;
        None
    };
    Some(first.or(late).await.map_or(known, |(_, first)| first))
}

async fn open_at(
    host: &HostRef,
    keeper: &MemberRecord,
    record: RequestRecord,
) -> Option<RecordOutput> {
    if keeper.name == host.settings.name {
        return Some(open_local(host, record));
    }
    let channel = host.state.borrow_mut().rng.u64(..);
    let link = link::get(host, &keeper.name, &keeper.peer_address);
    match link.ask(channel, PeerFrame::RecordPut { channel, record }).await {
        Ok(PeerFrame::RecordAck { record, is_retry, .. }) => {
            Some(RecordOutput::Opened { record, is_retry })
        }
        _ => None,
    }
}

/// Tells the record hosts that a request goes to another stream.
pub fn report_placement(host: &HostRef, name: &RequestName, placed: &PlacedStream, attempt: u32) {
    tell(
        host,
        name,
        || update_local(host, name.clone(), placed.clone(), attempt),
        || PeerFrame::RecordMove { name: name.clone(), placed: placed.clone(), attempt },
    );
}

/// Tells the record hosts that a request ended.
pub fn report_end(host: &HostRef, name: &RequestName) {
    let frame = || PeerFrame::RecordDrop { name: name.clone() };
    tell(host, name, || end_local(host, name.clone()), frame);
}

fn tell(host: &HostRef, name: &RequestName, here: impl Fn(), frame: impl Fn() -> PeerFrame) {
    let keepers = record_hosts(&host.state.borrow().members, name);
    for keeper in keepers {
        if keeper.name == host.settings.name {
            here();
        } else {
            link::get(host, &keeper.name, &keeper.peer_address).send(frame());
        }
    }
}

/// The record of a request, from whichever record host has it.
pub async fn find(host: &HostRef, name: &RequestName) -> Option<RequestRecord> {
    let keepers = record_hosts(&host.state.borrow().members, name);
    for keeper in keepers {
        let found = if keeper.name == host.settings.name {
            get_local(host, name)
        } else {
            let channel = host.state.borrow_mut().rng.u64(..);
            let link = link::get(host, &keeper.name, &keeper.peer_address);
            match link.ask(channel, PeerFrame::RecordGet { channel, name: name.clone() }).await {
                Ok(PeerFrame::RecordAnswer { record, .. }) => record,
                _ => None,
            }
        };
        if found.is_some() {
            return found;
        }
    }
    None
}

/// The hash of what a request asks for; a retry must ask for the same.
pub fn body_hash(parts: &[&str]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// The name of a request.
pub fn name(account: &Arc<str>, request: &Arc<str>) -> RequestName {
    RequestName { account: account.clone(), request: request.clone() }
}
