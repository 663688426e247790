//! Cold engines: exchange of what hosts know of them, and log lines.

use std::{rc::Rc, sync::Arc, time::Duration};

use parsley_core::{
    dispatch::DispatchInput,
    era::StoreRevision,
    fleet::{ColdChange, EngineTag, ServerNotice},
    time::Time,
};

use super::{
    Gateway, GatewayState,
    beats::{self, PeerDatagram},
    clock,
};
use crate::event;

/// Reports in one datagram.
const REPORTS_PER_DATAGRAM: usize = 8;
/// Reports in one datagram to a host that joins or knows other cold engines.
const REPORTS_PER_FULL_DATAGRAM: usize = 24;
/// Most reports that such a host is sent. A readmitted failure domain makes many engines cold at
/// once, all of which count in the digest.
const REPORTS_IN_FULL: usize = 240;

/// What changed of this host's knowledge of cold engines lately, or all of it if `is_full`. Returns
/// at most one datagram unless `is_full`.
pub(super) fn datagrams(state: &GatewayState, now: Time, is_full: bool) -> Vec<Vec<u8>> {
    let (count, part) = match is_full {
        true => (REPORTS_IN_FULL, REPORTS_PER_FULL_DATAGRAM),
        false => (REPORTS_PER_DATAGRAM, REPORTS_PER_DATAGRAM),
    };
    let reports = state.dispatcher.fleet.cold_reports(now, count, is_full);
    let parts = reports.chunks(part);
    parts.map(|part| beats::encode(&PeerDatagram::ColdReports(part.to_vec()))).collect()
}

impl Gateway {
    /// Applies what the entry of an engine states about its cold time. It comes before the entry, so
    /// that a process that is warm at once is never taken for cold.
    pub fn apply_cold_entry(
        self: &Rc<Self>,
        engine: EngineTag,
        started_ms: u64,
        left: Duration,
        revision: StoreRevision,
    ) {
        if self.settings.cold_bound.is_some() {
            self.dispatch(DispatchInput::ColdStated { engine, started_ms, left, revision });
        }
    }

    /// Logs a cold time that is not valid. `place` is the key in the store or the server.
    pub fn log_invalid_cold(&self, place: &str, value: &str) {
        if self.settings.cold_bound.is_some() && self.log_budget.may_write(clock::now(), true) {
            event!(self.log, COLD_TIME_INVALID, "entry" => place, "value" => value);
        }
    }

    /// Removes from a notice what says nothing new about the cold time of its engine, and logs a
    /// value that is not valid.
    pub(super) fn filter_cold(
        &self,
        engine: EngineTag,
        notice: &mut ServerNotice,
        invalid: Option<&Arc<str>>,
    ) {
        if let Some(value) = invalid {
            self.log_invalid_cold(&engine.0.to_string(), value);
        }
        let Some(left) = notice.cold_left else { return };
        let is_cold = self.state.borrow().dispatcher.fleet.is_cold(engine);
        if self.settings.cold_bound.is_none() || (left.is_zero() && !is_cold) {
            notice.cold_left = None;
        }
    }

    /// Logs that an engine became cold or warm. Tells the peers at once if the engine stated it to
    /// this host; what follows from a list or a report they know by themselves.
    pub(super) fn report_cold(&self, change: ColdChange, is_stated: bool) {
        let now = clock::now();
        let Some((until, rate)) = change.limit else {
            event!(self.log, ENGINE_WARM, "server" => change.engine.0);
            return;
        };
        event!(self.log, ENGINE_COLD, "server" => change.engine.0,
            "left_ms" => until.since(now).as_millis() as u64, "per_second" => rate.per_second());
        if !is_stated {
            return;
        }
        let (targets, bytes) = {
            let state = self.state.borrow();
            let alive = state.roster.alive(now);
            let targets: Vec<_> = alive.map(|(_, info)| info.heartbeat_address).collect();
            (targets, datagrams(&state, now, false))
        };
        beats::with_ephemeral_socket(self, |socket| {
            let sends = targets.iter().flat_map(|to| bytes.iter().map(move |one| (to, one)));
            sends.for_each(|(target, bytes)| beats::send(self, socket, *target, bytes));
        });
    }
}
