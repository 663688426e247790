//! The permits of this host for one server.

use std::time::Duration;

use parsley_macros::value;

use super::{COLD_PERMIT_TERM, PermitReply};
use crate::time::Time;

/// Time after a request for permits in which they must be used.
const PERMIT_TERM: Duration = Duration::from_millis(1_000);
/// Time after which a request for permits counts as lost.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests in a row without a reply after which the other one of the issuer and its substitute is
/// asked.
const MAX_UNANSWERED: u32 = 2;
/// Time for which the substitute is asked before the issuer is tried again.
const SUBSTITUTE_TERM: Duration = Duration::from_secs(1);

/// Whether a request may be sent to a limited server.
#[value]
#[derive(Copy)]
pub enum PermitState {
    /// A permit is held.
    Held,
    /// No permit is held, and one may be requested.
    Missing,
    /// Permits were requested and the reply is due.
    Requested,
    /// No permit is expected before this time.
    Closed(Time),
}

/// The permits of this host for one server, and its latest request for more.
#[derive(Debug, Default)]
pub struct PermitHolder {
    held: u8,
    held_until: Time,
    /// Number and time of the latest request, while it has no reply.
    pending: Option<(u32, Time)>,
    last_number: u32,
    closed_until: Time,
    /// Requests in a row without a reply.
    unanswered: u32,
    /// Time until which the issuer's substitute is asked.
    substitute_until: Time,
}

impl PermitHolder {
    /// Returns whether a request may be sent to the server.
    pub fn state(&self, now: Time) -> PermitState {
        match self.pending {
            _ if self.held > 0 && now < self.held_until => PermitState::Held,
            Some((_, since)) if now.since(since) < REPLY_TIMEOUT => PermitState::Requested,
            _ if now < self.closed_until => PermitState::Closed(self.closed_until),
            _ => PermitState::Missing,
        }
    }

    /// Takes one permit, if one is held.
    pub fn take(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Begins a request for permits. Returns its number and whether it should go to the issuer's
    /// substitute.
    pub fn begin_request(&mut self, now: Time) -> (u32, bool) {
        if self.pending.is_some() {
            self.unanswered += 1;
        }
        if self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            let is_substitute = now < self.substitute_until;
            self.substitute_until = if is_substitute { now } else { now + SUBSTITUTE_TERM };
        }
        self.last_number = self.last_number.wrapping_add(1);
        self.pending = Some((self.last_number, now));
        (self.last_number, now < self.substitute_until)
    }

    /// Stores a reply, unless it is not the one to the latest request. The permits of a cold engine
    /// expire sooner.
    pub fn record_reply(&mut self, now: Time, reply: &PermitReply, is_cold: bool) {
        let Some((_, since)) = self.pending.filter(|(number, _)| *number == reply.number) else {
            return;
        };
        self.pending = None;
        self.unanswered = 0;
        self.held = reply.issued;
        self.held_until = since + if is_cold { COLD_PERMIT_TERM } else { PERMIT_TERM };
        self.closed_until = now + Duration::from_micros(reply.next_us);
        if is_cold {
            // A substitute issues so little that the issuer is tried again at once.
            self.substitute_until = self.substitute_until.min(now);
        }
    }
}
