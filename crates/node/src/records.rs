//! Stores the records of requests on two hosts in different failure domains.

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
    error::NodeError,
    host::HostRef,
    peer::{frame::PeerFrame, link},
};

/// Time to wait for the first record host after the second one has answered. The first host's
/// answer takes precedence, so that concurrent retries agree on which of them came first.
const FIRST_HOST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which at least one record host must answer. The deadline of the request shortens it.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the record keeper's timer input.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task that removes expired records.
pub fn start(host: &HostRef) {
    let host = host.clone();
    host.clone().spawn(async move {
        loop {
            Timer::after(TICK_INTERVAL).await;
            step(&host, RecordInput::Tick);
        }
    });
}

fn step(host: &HostRef, input: RecordInput) -> Option<RecordOutput> {
    let now = host.now();
    host.state.borrow_mut().records.step(now, input)
}

/// Opens a record on this host, or returns the record that exists under its name.
pub fn open_local(host: &HostRef, record: RequestRecord) -> RecordOutput {
    step(host, RecordInput::Open(record)).expect("opening is always answered")
}

/// Updates the stream and attempt in a record on this host.
pub fn update_local(host: &HostRef, name: RequestName, placed: PlacedStream, attempt: u32) {
    step(host, RecordInput::Placed { name, placed, attempt });
}

/// Marks a record on this host as ended.
pub fn end_local(host: &HostRef, name: RequestName) {
    step(host, RecordInput::Ended(name));
}

/// Returns the record of a request on this host.
pub fn get_local(host: &HostRef, name: &RequestName) -> Option<RequestRecord> {
    host.state.borrow().records.get(name).cloned()
}

/// Records a request before it is dispatched.
///
/// Returns the authoritative record and whether it already existed, once at least one record host
/// has answered. Retries until [`OPEN_TIMEOUT`] or the deadline of the request, then refuses it.
pub async fn open(host: &HostRef, record: RequestRecord) -> Result<RecordOutput, Refusal> {
    let end = host.now() + OPEN_TIMEOUT.min(record.time_left);
    loop {
        if let Some(output) = open_once(host, &record).await {
            return Ok(output);
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

/// Sends a record to its record hosts and returns the answer that takes precedence, or `None` if
/// neither answers.
async fn open_once(host: &HostRef, record: &RequestRecord) -> Option<RecordOutput> {
    let targets = record_hosts(&host.state.borrow().members, &record.name);
    let (sender, answers) = async_channel::unbounded();
    for (index, target) in targets.into_iter().enumerate() {
        let (host, record, sender) = (host.clone(), record.clone(), sender.clone());
        host.clone().spawn(async move {
            if let Some(output) = open_at(&host, &target, record).await {
                let _ = sender.try_send((index, output));
            }
        });
    }
    drop(sender);
    let (index, output) = answers.recv().await.ok()?;
    if index == 0 {
        return Some(output);
    }
    let first = async { answers.recv().await.ok() };
    let timed_out = async {
        Timer::after(FIRST_HOST_TIMEOUT).await;
        None
    };
    Some(first.or(timed_out).await.map_or(output, |(_, first)| first))
}

/// Opens a record at one record host.
async fn open_at(
    host: &HostRef,
    target: &MemberRecord,
    record: RequestRecord,
) -> Option<RecordOutput> {
    if target.name == host.settings.name {
        return Some(open_local(host, record));
    }
    let channel = host.state.borrow_mut().rng.u64(..);
    let link = link::get_or_open(host, &target.name, &target.peer_address);
    match link.query(channel, PeerFrame::RecordPut { channel, record }).await {
        Ok(PeerFrame::RecordAck { record, is_retry, .. }) => {
            Some(RecordOutput::Opened { record, is_retry })
        }
        _ => None,
    }
}

/// Notifies the record hosts that a request runs on another stream.
pub fn report_placement(host: &HostRef, name: &RequestName, placed: &PlacedStream, attempt: u32) {
    notify_record_hosts(
        host,
        name,
        || update_local(host, name.clone(), placed.clone(), attempt),
        || PeerFrame::RecordMove { name: name.clone(), placed: placed.clone(), attempt },
    );
}

/// Notifies the record hosts that a request ended.
pub fn report_end(host: &HostRef, name: &RequestName) {
    let frame = || PeerFrame::RecordDrop { name: name.clone() };
    notify_record_hosts(host, name, || end_local(host, name.clone()), frame);
}

/// Runs `run_local` if this host is a record host, and sends `frame` to the other record hosts.
fn notify_record_hosts(
    host: &HostRef,
    name: &RequestName,
    run_local: impl Fn(),
    frame: impl Fn() -> PeerFrame,
) {
    let targets = record_hosts(&host.state.borrow().members, name);
    for target in targets {
        if target.name == host.settings.name {
            run_local();
        } else {
            link::get_or_open(host, &target.name, &target.peer_address).send(frame());
        }
    }
}

/// Returns the record of a request from the first record host that has it. Errs if none has it and
/// one did not answer.
pub async fn find(host: &HostRef, name: &RequestName) -> Result<Option<RequestRecord>, NodeError> {
    let mut failure = None;
    let targets = record_hosts(&host.state.borrow().members, name);
    for target in targets {
        let found = if target.name == host.settings.name {
            get_local(host, name)
        } else {
            let channel = host.state.borrow_mut().rng.u64(..);
            let link = link::get_or_open(host, &target.name, &target.peer_address);
            match link.query(channel, PeerFrame::RecordGet { channel, name: name.clone() }).await {
                Ok(PeerFrame::RecordAnswer { record, .. }) => record,
                Ok(_) => None,
                Err(err) => {
                    failure = Some(err);
                    None
                }
            }
        };
        if found.is_some() {
            return Ok(found);
        }
    }
    failure.map_or(Ok(None), Err)
}

/// Returns the hash that a retry of a request must match. Each part is prefixed with its length, so
/// that the boundaries between parts are significant.
pub fn body_hash(parts: &[&str]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// Returns the name under which a request is recorded: its account and request id.
pub fn name(account: &Arc<str>, request: &Arc<str>) -> RequestName {
    RequestName { account: account.clone(), request: request.clone() }
}
