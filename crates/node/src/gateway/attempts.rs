//! Choice of the servers that a request is sent to, one after the other.

use std::{cell::Cell, sync::Arc, time::Duration};

use hyper::Response;
use parsley_core::{
    fleet::EngineTag,
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

use super::{
    Placement,
    attempt::{Attempt, AttemptEnd, CallerStream},
    body::ResponseBody,
    clock,
    exchange::{Exchange, RequestEnd, RequestProgress},
    hedge,
    retry::RetryPermit,
};
use crate::event;

/// `Retry-After` when no further server may be tried.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Placements of one request before it fails.
const MAX_PLACEMENTS: u32 = 6;

impl Exchange {
    /// Sends the request to one server after the other until one answers or no retry is allowed.
    pub async fn run_attempts(
        self,
        progress: &RequestProgress,
        alive: &async_channel::WeakSender<()>,
    ) -> RequestEnd {
        let gateway = &self.gateway;
        let mut excluded: Vec<EngineTag> = Vec::new();
        let mut stream = CallerStream::new(self.info.last_event);
        let mut may_have_run = false;
        let mut fallback = None;
        progress.prompt_tokens.set(self.info.prompt_tokens);
        for placement_count in 1..=MAX_PLACEMENTS {
            if let Some(refusal) = gateway.quarantine_refusal(&self) {
                return self.fail(refusal, may_have_run, &stream, fallback);
            }
            let wait_start = clock::now();
            let placement = match self.wait_for_placement(&excluded).await {
                Ok(placement) => placement,
                Err(refusal) => return self.fail(refusal, may_have_run, &stream, fallback),
            };
            gateway.metrics.queue_wait.observe(clock::now().since(wait_start).as_secs_f64());
            let engine = placement.engine;
            let sends = progress.attempts.get();
            self.log_placement(&placement, sends + 1, wait_start);
            excluded.push(engine);
            let permit = RetryPermit {
                exchange: &self,
                tried: &excluded,
                may_retry: Cell::new(self.is_repeatable() && sends + 1 < self.route.max_attempts),
                is_granted: Cell::new(false),
                next_check: Cell::new(Time::ZERO),
            };
            let first = Attempt {
                exchange: &self,
                number: self.number,
                placement: &placement,
                progress,
                alive,
                permit: &permit,
            };
            let (end, hedged) = hedge::run(&first, &mut stream).await;
            let may_retry = permit.may_retry.get();
            let is_paid = permit.is_granted.get();
            let suspects = end.suspects(&self);
            let (fault, not_run) = match end {
                AttemptEnd::Answered(status) => return RequestEnd::Answered(status),
                AttemptEnd::ServerError(response) if !may_retry => {
                    let status = response.status();
                    self.answer(progress, response);
                    return RequestEnd::Answered(status);
                }
                AttemptEnd::ServerError(response) => {
                    may_have_run = true;
                    let fault = "the server answered with a failure";
                    fallback = Some(response);
                    (Arc::from(fault), false)
                }
                AttemptEnd::NotRun(fault) => (fault, true),
                AttemptEnd::HeldBack(fault) => {
                    // A server that still takes work may get it in the next placement.
                    excluded.pop();
                    (fault, true)
                }
                AttemptEnd::Unknown(fault)
                | AttemptEnd::ConnectionLost(fault)
                | AttemptEnd::BrokenOff(fault) => {
                    may_have_run = true;
                    (fault, false)
                }
            };
            excluded.extend(hedged);
            progress.may_have_run.set(may_have_run);
            if gateway.log_budget.may_write(clock::now(), true) {
                event!(gateway.log, ATTEMPT_FAILED, "request" => &*self.id,
                    "fingerprint" => self.fingerprint().to_string(), "server" => engine.0,
                    "attempt" => progress.attempts.get(), "fault" => &*fault,
                    "may_have_run" => !not_run, "events" => stream.events);
            }
            let was_sent = progress.attempts.get() > sends;
            let obstacle = match () {
                () if !not_run && !self.is_repeatable() => Some("it may run only once"),
                () if gateway.is_suspect(suspects) => {
                    Some("engines ended under it or a part of its prompt")
                }
                () if progress.attempts.get() >= self.route.max_attempts => {
                    Some("the route allows no further server")
                }
                () if placement_count >= MAX_PLACEMENTS => Some("too many servers were tried"),
                () if was_sent && !is_paid && !gateway.spend_retry(&self.service) => {
                    Some("the limit on repeats is reached")
                }
                () => None,
            };
            if let Some(obstacle) = obstacle {
                let reason = if not_run { Reason::Overloaded } else { Reason::EngineFailed };
                let detail = format!("{fault}; {obstacle}");
                let refusal = Refusal::not_run(reason, &detail).retry_after(SERVER_RETRY_AFTER);
                return self.fail(refusal, may_have_run, &stream, fallback);
            }
        }
        let refusal = Refusal::not_run(Reason::NoEngine, "every server turned the request away");
        self.fail(refusal, may_have_run, &stream, fallback)
    }

    fn fail(
        &self,
        mut refusal: Refusal,
        may_have_run: bool,
        stream: &CallerStream,
        fallback: Option<Response<ResponseBody>>,
    ) -> RequestEnd {
        if let Some(response) = fallback {
            let status = response.status();
            // Fails only if the caller has left; it needs no response then.
            let _ = self.reply.try_send(response);
            return RequestEnd::Answered(status);
        }
        if may_have_run {
            refusal.outcome = Outcome::Unknown;
            refusal.retry_after = None;
        }
        if self.time_left().is_zero() {
            refusal.reason = Reason::DeadlineExceeded;
        }
        if stream.has_started() {
            RequestEnd::Interrupted(refusal)
        } else {
            RequestEnd::Refused(refusal)
        }
    }

    /// Logs the placement of a copy as the given attempt.
    pub fn log_placement(&self, placement: &Placement, attempt: u32, wait_start: Time) {
        let now = clock::now();
        if !self.gateway.log_budget.may_write(now, false) {
            return;
        }
        let reason = &placement.reason;
        let (revision, hosts) = {
            let state = self.gateway.state.borrow();
            let record = state.dispatcher.fleet.get(placement.engine);
            let revision = record.map_or(0, |record| record.entry.revision.number);
            (revision, state.roster.alive(now).count() + 1)
        };
        event!(self.gateway.log, REQUEST_PLACED, "request" => &*self.id,
            "server" => placement.engine.0, "attempt" => attempt,
            "helpers" => placement.helpers.len(),
            "waited_ms" => now.since(wait_start).as_millis() as u64,
            "first_ms" => reason.first_event_ms,
            "harmed" => reason.delayed, "failure_percent" => reason.failure_percent,
            "requests" => reason.requests, "weighed" => reason.candidates, "revision" => revision,
            "hosts" => hosts);
    }
}
