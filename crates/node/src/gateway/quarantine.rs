//! Keeps requests that crash engines, by themselves or by a part of their prompts, from the engines,
//! and exchanges what hosts know of them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use parsley_core::{
    fleet::EngineTag,
    quarantine::{PartReport, PartStatus, PartTag, ProcessTag, QuarantineOutput},
    refusal::{Reason, Refusal},
    time::Time,
};

use super::{
    Gateway, GatewayRef, GatewayState,
    beats::{self, PeerDatagram},
    clock::{self, with_timeout},
    cold,
    evacuation::evacuation_datagrams,
    exchange::Exchange,
};
use crate::event;

/// Time in which a server that runs accepts a connection. One that does not has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 8;
/// Reports that a peer with another digest is sent.
const REPORTS_PER_PEER: usize = 24;

impl Gateway {
    /// Refuses a request that is in quarantine or has a part that is.
    pub(super) fn quarantine_refusal(&self, exchange: &Exchange) -> Option<Refusal> {
        let state = self.state.borrow();
        let (part, left) = state.quarantine.find_quarantined(clock::now(), &exchange.suspects)?;
        let refusal = match part == exchange.fingerprint() {
            true => {
                let detail = format!("engines crashed under this request, {part}");
                Refusal::not_run(Reason::RequestQuarantined, &detail)
            }
            false => {
                let detail = format!("engines crashed under part {part} of the prompt");
                Refusal::not_run(Reason::PromptQuarantined, &detail)
            }
        };
        Some(refusal.retry_after(left))
    }

    /// Whether a request with these parts should not be sent to another server after its server
    /// ended.
    pub(super) fn is_suspect(&self, parts: &[PartTag]) -> bool {
        self.state.borrow().quarantine.is_suspect(parts)
    }

    /// Records that a server began to answer a request.
    pub(super) fn record_answer(&self, exchange: &Exchange) {
        let parts = &exchange.info.shared_parts;
        if !parts.is_empty() {
            let outputs = self.state.borrow_mut().quarantine.record_answer(clock::now(), parts);
            self.execute_quarantine(outputs, None, "answer");
        }
    }

    /// Records that the answer to a request is complete.
    pub(super) fn record_completion(&self, exchange: &Exchange) {
        let request = exchange.fingerprint();
        let outputs = self.state.borrow_mut().quarantine.record_completion(clock::now(), request);
        self.execute_quarantine(outputs, None, "answer");
    }

    /// Lifts the quarantine of a part on all hosts. Returns whether the part was suspect.
    pub fn lift_quarantine(&self, part: PartTag) -> bool {
        let outputs = self.state.borrow_mut().quarantine.lift(clock::now(), part);
        let is_known = !outputs.is_empty();
        self.execute_quarantine(outputs, None, "operator");
        is_known
    }

    /// Parts in quarantine.
    pub fn quarantined_parts(&self) -> Vec<PartStatus> {
        self.state.borrow().quarantine.quarantined(clock::now())
    }

    /// Forgets parts whose last crash is long past, and updates the gauges.
    pub(super) fn sweep_quarantine(&self) {
        let outputs = self.state.borrow_mut().quarantine.expire(clock::now());
        self.execute_quarantine(outputs, None, "time");
        let state = self.state.borrow();
        self.metrics.suspect_parts.set(state.quarantine.suspect_count() as i64);
        let quarantined = state.quarantine.quarantined(clock::now()).len();
        self.metrics.quarantined_parts.set(quarantined as i64);
    }

    /// Merges reports of a peer, and replies if this host knows better.
    pub(super) fn merge_part_reports(&self, reply_to: SocketAddr, reports: &[PartReport]) {
        for report in reports {
            let outputs = self.state.borrow_mut().quarantine.merge(clock::now(), report);
            self.execute_quarantine(outputs, Some(reply_to), "peer");
        }
    }

    fn execute_quarantine(
        &self,
        outputs: Vec<QuarantineOutput>,
        reply_to: Option<SocketAddr>,
        cause: &str,
    ) {
        let (mut broadcast, mut replies) = (Vec::new(), Vec::new());
        for output in outputs {
            match output {
                QuarantineOutput::Broadcast(report) => broadcast.push(report),
                QuarantineOutput::Reply(report) => replies.push(report),
                QuarantineOutput::Quarantined { part, crashes } => {
                    event!(self.log, PART_QUARANTINED, "part" => part.to_string(),
                        "crashes" => crashes, "from" => cause);
                }
                QuarantineOutput::Released(part) => {
                    event!(self.log, PART_RELEASED, "part" => part.to_string(), "from" => cause);
                }
            }
        }
        if !broadcast.is_empty() {
            let targets: Vec<_> = {
                let state = self.state.borrow();
                let alive = state.roster.alive(clock::now());
                alive.map(|(_, info)| info.heartbeat_address).collect()
            };
            self.send_part_reports(&targets, broadcast);
        }
        if !replies.is_empty() {
            self.send_part_reports(reply_to.as_slice(), replies);
        }
    }

    fn send_part_reports(&self, targets: &[SocketAddr], reports: Vec<PartReport>) {
        let reply_to = self.settings.host_info.heartbeat_address;
        beats::with_ephemeral_socket(self, |socket| {
            for part in reports.chunks(REPORTS_PER_DATAGRAM) {
                let reports = part.to_vec();
                let bytes = beats::encode(&PeerDatagram::PartReports { reply_to, reports });
                targets.iter().for_each(|target| beats::send(self, socket, *target, &bytes));
            }
        });
    }

    /// Sends a peer with another digest what this host knows of request limits, suspect parts and
    /// evacuations.
    pub(super) fn sync_beliefs(&self, target: SocketAddr, digest: u64) {
        let (reports, datagrams) = {
            let state = self.state.borrow();
            if state.beliefs_digest() == digest {
                return;
            }
            let now = clock::now();
            let reports = state.quarantine.reports(now, REPORTS_PER_PEER);
            let mut datagrams = evacuation_datagrams(&state, now, true);
            datagrams.extend(beats::limit_datagram(&state, now, true));
            datagrams.extend(cold::datagrams(&state, now, true));
            (reports, datagrams)
        };
        if !datagrams.is_empty() {
            beats::with_ephemeral_socket(self, |socket| {
                datagrams.iter().for_each(|bytes| beats::send(self, socket, target, bytes));
            });
        }
        if !reports.is_empty() {
            self.send_part_reports(&[target], reports);
        }
    }
}

/// Server process to which a request was sent.
pub struct SentProcess {
    engine: EngineTag,
    process: ProcessTag,
    address: SocketAddr,
}

impl SentProcess {
    /// Finds the current process of a server.
    pub fn find(state: &GatewayState, engine: EngineTag) -> Option<SentProcess> {
        let entry = &state.dispatcher.fleet.get(engine)?.entry;
        let process = ProcessTag::new(engine, entry.started_ms);
        Some(SentProcess { engine, process, address: entry.address })
    }

    /// Handles a connection that ended before the response to a request was complete. If the
    /// server's process ended too, these parts of the request become suspect.
    ///
    /// A server that fails requests, or whose connection was reset on the way, still accepts
    /// connections.
    pub fn report_end(self, exchange: &Exchange, parts: &[PartTag]) {
        let gateway = &exchange.gateway;
        let now = clock::now();
        if !gateway.state.borrow().quarantine.may_suspect(now, parts) {
            return;
        }
        let probe = probe_process(gateway.clone(), self, now, parts.to_vec(), exchange.id.clone());
        gateway.spawn(probe);
    }
}

async fn probe_process(
    gateway: GatewayRef,
    sent: SentProcess,
    ended: Time,
    parts: Vec<PartTag>,
    request: std::sync::Arc<str>,
) {
    let connect = gateway.connect(sent.engine, sent.address);
    let connected = with_timeout(PROBE_TIMEOUT, connect).await;
    // A host without links cannot tell whether the process ended.
    if matches!(connected, Some(Ok(_))) || gateway.has_cut_links() {
        return;
    }
    gateway.metrics.engine_crashes.inc();
    if gateway.log_budget.may_write(clock::now(), true) {
        let listed: Vec<_> = parts.iter().map(PartTag::to_string).collect();
        event!(gateway.log, PARTS_SUSPECT, "server" => sent.engine.0,
            "process" => sent.process.0, "request" => &*request, "parts" => listed.join(","));
    }
    let outputs = gateway.state.borrow_mut().quarantine.record_crash(ended, sent.process, &parts);
    Rc::as_ref(&gateway).execute_quarantine(outputs, None, "crash");
}
