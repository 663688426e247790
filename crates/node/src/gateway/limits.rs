//! Request limits of backend servers: exchange of permits with their issuers, and log lines.

use std::rc::Rc;

use parsley_core::{
    dispatch::DispatchInput,
    fleet::{EngineTag, RequestRate},
    permit::{PermitReply, PermitRequest},
};

use super::{Gateway, clock};
use crate::event;

impl Gateway {
    /// Requests permits from their issuer, which may be this host.
    pub(super) fn request_permits(self: &Rc<Self>, request: PermitRequest) {
        if request.to_substitute {
            self.metrics.permits.with_label_values(&["substitute"]).inc();
        }
        let target = {
            let state = self.state.borrow();
            let (server, is_substitute) = (request.server, request.to_substitute);
            state.roster.permit_issuer(clock::now(), &state.host_info, server, is_substitute)
        };
        match target {
            Some((tag, _)) if tag == self.settings.host_info.tag() => {
                let reply = self.issue_permits(&request);
                self.receive_permits(reply);
            }
            Some((_, address)) => {
                // Fails only if the channel is full: the request counts as lost and is repeated.
                let _ = self.permit_requests.0.try_send((address, request));
            }
            None => {}
        }
    }

    /// Issues permits on behalf of a limited server.
    pub(super) fn issue_permits(&self, request: &PermitRequest) -> PermitReply {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let cold_rate = state.dispatcher.fleet.cold_rate(request.server, request.started_ms);
        let reply = match cold_rate {
            None => state.permit_issuer.issue(now, request, state.roster.live_share(now)),
            Some(rate) => {
                let (me, server) = (&state.host_info, request.server);
                let issuer = state.roster.permit_issuer(now, me, server, false);
                let is_issuer = issuer.is_some_and(|(tag, _)| tag == me.tag());
                state.permit_issuer.observe_members(now, state.roster.member_view(now));
                state.permit_issuer.issue_cold(now, request, rate.min(request.rate), is_issuer)
            }
        };
        self.metrics.permits.with_label_values(&["issued"]).inc_by(reply.issued.into());
        reply
    }

    pub(super) fn receive_permits(self: &Rc<Self>, reply: PermitReply) {
        let received = self.metrics.permits.with_label_values(&["received"]);
        received.inc_by(reply.issued.into());
        if reply.issued == 0 {
            self.metrics.permits.with_label_values(&["denied"]).inc();
        }
        self.dispatch(DispatchInput::PermitsIssued(reply));
    }

    /// Counts and logs a change of a server's request limit.
    pub(super) fn log_limit(
        &self,
        engine: EngineTag,
        rate: Option<RequestRate>,
        is_reported: bool,
    ) {
        let kind = if rate.is_some() { "limit" } else { "limit_end" };
        self.metrics.notices.with_label_values(&[kind]).inc();
        if !self.log_budget.may_write(clock::now(), true) {
            return;
        }
        let source = if is_reported { "peer" } else { "answer" };
        match rate {
            Some(rate) => event!(self.log, SERVER_LIMITED, "server" => engine.0,
                "per_second" => rate.per_second(), "from" => source),
            None => {
                event!(self.log, SERVER_LIMIT_ENDED, "server" => engine.0, "from" => source);
            }
        }
    }
}
