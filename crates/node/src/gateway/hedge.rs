//! Sends a second copy of a slow request (the hedge) and takes the first whole response.

use std::{
    cell::Cell,
    pin::{Pin, pin},
};

use async_io::Timer;
use futures_lite::FutureExt;
use parsley_core::{
    dispatch::DispatchInput,
    fleet::{EngineTag, EngineVerdict, hash_name},
    hedge::{HedgeClass, HedgeDecision},
    time::Time,
    work::{WorkEntry, WorkNumber, WorkPhase, WorkView},
};

use super::{
    GatewayRef, Placement,
    attempt::{self, Attempt, AttemptEnd, CallerStream},
    clock,
    exchange::Exchange,
    retry::RetryPermit,
};

/// Estimated probability of a failure from which on a server gets no hedge. A failed attempt raises
/// the estimate to 0.35 and a silence higher; it falls below this limit within seconds.
const SUSPECT_PROBABILITY: f64 = 0.2;

/// First of two copies that ended, with its end.
enum CopyEnd {
    First(AttemptEnd),
    Hedge(AttemptEnd),
}

/// Placement of a hedge.
struct HedgePlacement {
    number: WorkNumber,
    placement: Placement,
}

/// Runs the first copy of a request and, if it is slow and may be hedged, a hedge. Returns the end
/// of the copies, and the server that got the hedge. Without hedges this is [`attempt::run`].
pub async fn run(
    first: &Attempt<'_>,
    stream: &mut CallerStream,
) -> (AttemptEnd, Option<EngineTag>) {
    let Some(class) = hedge_class(first) else { return (attempt::run(first, stream).await, None) };
    let gateway = &first.exchange.gateway;
    let start = clock::now();
    gateway.state.borrow_mut().hedge_planner.record_request(start, class);
    let mut running = pin!(attempt::run(first, stream));
    let granted = {
        let ended = async { Err(running.as_mut().await) };
        let granted = async { Ok(wait_for_hedge(first, class, start).await) };
        ended.or(granted).await
    };
    let (end, hedged) = match granted {
        Err(end) => (end, None),
        Ok(hedge) => {
            let engine = hedge.placement.engine;
            (run_both(first, running, &hedge, start).await, Some(engine))
        }
    };
    // The time of a failure says nothing about that of a response, but that of a silence does.
    if matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Unknown(_)) {
        let now = clock::now();
        let planner = &mut gateway.state.borrow_mut().hedge_planner;
        planner.record_latency(now, class, now.since(start));
    }
    (end, hedged)
}

/// Class of a request that may be hedged; `None` if it may not. Only the first attempt of a
/// repeatable request is: later ones are repeats already.
fn hedge_class(first: &Attempt<'_>) -> Option<HedgeClass> {
    let exchange = first.exchange;
    let is_enabled = exchange.gateway.state.borrow().hedge_planner.is_enabled();
    let may_hedge = is_enabled
        && exchange.is_repeatable()
        && !exchange.route.is_stream
        && first.progress.attempts.get() == 0
        && first.progress.hedge.get().is_none()
        && exchange.route.max_attempts > 1;
    may_hedge.then(|| HedgeClass::of(&exchange.work_demand()))
}

/// Returns once a hedge is due, allowed and placed; never if it is refused.
async fn wait_for_hedge(first: &Attempt<'_>, class: HedgeClass, start: Time) -> HedgePlacement {
    let gateway = &first.exchange.gateway;
    loop {
        let now = clock::now();
        let decision = {
            let state = &mut *gateway.state.borrow_mut();
            let waiting = || waiting_count(&state.dispatcher.work_view, class.service);
            state.hedge_planner.decide(now, class, now.since(start), waiting)
        };
        match decision {
            HedgeDecision::Wait(left) => drop(Timer::after(left).await),
            HedgeDecision::Send => match place(first, class) {
                Some(hedge) => return hedge,
                None => break,
            },
            HedgeDecision::ShareUsed => {
                gateway.metrics.hedges.with_label_values(&["refused"]).inc();
                break;
            }
            HedgeDecision::Unmeasured | HedgeDecision::RequestsWait => break,
        }
    }
    futures_lite::future::pending().await
}

/// Requests of all hosts that wait for a server of the service with this hash.
fn waiting_count(view: &WorkView, service: u64) -> usize {
    let is_waiting =
        |entry: &WorkEntry| entry.phase == WorkPhase::Waiting && entry.demand.service == service;
    view.all().filter(|(_, _, entry)| is_waiting(entry)).count()
}

/// Places a hedge on another server and charges it to the limits. `None` if it cannot be sent at
/// once.
fn place(first: &Attempt<'_>, class: HedgeClass) -> Option<HedgePlacement> {
    let exchange = first.exchange;
    let gateway = &exchange.gateway;
    let is_quarantined = gateway.quarantine_refusal(exchange).is_some();
    if is_quarantined || gateway.is_suspect(&exchange.suspects) {
        return None;
    }
    let excluded = unsuitable_servers(exchange, first.permit.tried);
    if !exchange.has_place_elsewhere(&excluded) {
        return None;
    }
    if !gateway.spend_retry(&exchange.service) {
        gateway.metrics.hedges.with_label_values(&["refused"]).inc();
        return None;
    }
    let number = gateway.allocate_number();
    first.progress.hedge.set(Some(number));
    // The dispatcher decides on work without a queue before it returns.
    let Ok(Ok(placement)) = exchange.submit(number, &excluded).try_recv() else {
        end_work(gateway, number);
        return None;
    };
    gateway.state.borrow_mut().hedge_planner.record_hedge(clock::now(), class);
    Some(HedgePlacement { number, placement })
}

/// Servers that must not get a hedge: those that were tried, that may fail, or that limit their
/// requests, as cold ones do. The first requests after a pause are left to ordinary requests.
fn unsuitable_servers(exchange: &Exchange, tried: &[EngineTag]) -> Vec<EngineTag> {
    let now = clock::now();
    let fleet = &exchange.gateway.state.borrow().dispatcher.fleet;
    let service = hash_name(&exchange.service);
    let unsuitable = fleet.iter().filter(|(tag, record)| {
        hash_name(&record.entry.service) == service
            && (record.failure_probability(now) >= SUSPECT_PROBABILITY
                || fleet.limit(*tag).is_some()
                || fleet.is_half_open(now, *tag))
    });
    tried.iter().copied().chain(unsuitable.map(|(tag, _)| tag)).collect()
}

/// Runs both copies until one has answered or both have failed. Dropping the other closes its
/// connection.
async fn run_both(
    first: &Attempt<'_>,
    mut running: Pin<&mut impl Future<Output = AttemptEnd>>,
    hedge: &HedgePlacement,
    start: Time,
) -> AttemptEnd {
    let gateway = &first.exchange.gateway;
    gateway.metrics.hedges.with_label_values(&["sent"]).inc();
    let sent = clock::now();
    first.exchange.log_placement(&hedge.placement, first.progress.attempts.get() + 1, sent);
    let permit = RetryPermit {
        exchange: first.exchange,
        tried: first.permit.tried,
        may_retry: Cell::new(false),
        is_granted: Cell::new(false),
        next_check: Cell::new(Time::ZERO),
    };
    let second =
        Attempt { number: hedge.number, placement: &hedge.placement, permit: &permit, ..*first };
    // No third copy while both run, and after that as the route allows.
    let has_attempts = || first.progress.attempts.get() < first.exchange.route.max_attempts;
    let may_retry = first.permit.may_retry.replace(false);
    // A hedge is never a stream, so nothing is written to this one.
    let mut stream = CallerStream::new(None);
    let mut copy = pin!(attempt::run(&second, &mut stream));
    let ended = {
        let first_end = async { CopyEnd::First(running.as_mut().await) };
        let hedge_end = async { CopyEnd::Hedge(copy.as_mut().await) };
        first_end.or(hedge_end).await
    };
    let end = match ended {
        CopyEnd::First(end @ AttemptEnd::Answered(_)) => {
            report_loser(first.exchange, &hedge.placement, sent);
            end
        }
        CopyEnd::Hedge(end @ AttemptEnd::Answered(_)) => {
            gateway.metrics.hedges.with_label_values(&["won"]).inc();
            report_loser(first.exchange, first.placement, start);
            end
        }
        CopyEnd::First(end) => {
            end_work(gateway, first.number);
            let other = copy.await;
            if matches!(other, AttemptEnd::Answered(_)) {
                gateway.metrics.hedges.with_label_values(&["won"]).inc();
            }
            first.permit.may_retry.set(may_retry && has_attempts());
            more_cautious(end, other)
        }
        CopyEnd::Hedge(end) => {
            end_work(gateway, hedge.number);
            first.permit.may_retry.set(may_retry && has_attempts());
            more_cautious(end, running.await)
        }
    };
    end_work(gateway, hedge.number);
    end
}

/// Reports how long the server of the copy that is ended was silent.
fn report_loser(exchange: &Exchange, placement: &Placement, start: Time) {
    let waited = clock::now().since(start);
    let verdict = EngineVerdict::for_timeout(waited, placement.first_event_timeout);
    exchange.gateway.metrics.sends.with_label_values(&[attempt::verdict_name(verdict)]).inc();
    if verdict == EngineVerdict::Silent {
        exchange.gateway.report_verdict(placement.engine, verdict, &exchange.id);
    }
}

/// Ends the work of a copy in the view of all hosts.
fn end_work(gateway: &GatewayRef, number: WorkNumber) {
    gateway.dispatch(DispatchInput::RequestEnded(number));
    gateway.state.borrow_mut().waiters.remove(&number);
}

/// End of two copies: a response if there is one, else the failure that leaves more open.
fn more_cautious(one: AttemptEnd, other: AttemptEnd) -> AttemptEnd {
    let caution = |end: &AttemptEnd| match end {
        AttemptEnd::HeldBack(_) => 0,
        AttemptEnd::NotRun(_) => 1,
        AttemptEnd::Unknown(_) => 2,
        AttemptEnd::ServerError(_) => 3,
        // The process may have crashed under the request, which decides on further attempts.
        AttemptEnd::BrokenOff(_) => 4,
        AttemptEnd::ConnectionLost(_) => 5,
        AttemptEnd::Answered(_) => 6,
    };
    if caution(&one) > caution(&other) { one } else { other }
}
