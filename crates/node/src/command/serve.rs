//! `parsleystage serve`: runs a host until SIGTERM or SIGINT.

use std::{rc::Rc, sync::Arc, time::Duration};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use parsley_core::{entry::ENTRY_LIFETIME, member::MemberInput, settings::HostSettings};

use crate::{
    api, carrier,
    command::SettingsArgs,
    config_sync,
    error::NodeError,
    event,
    host::{Host, HostRef},
    host_watch, log, order_sync, peer, pool, records,
};

const USAGE: &str = "\
Run a host until SIGTERM or SIGINT.

Usage:
    parsleystage serve --settings FILE
";

/// Interval at which a draining host checks for open requests and calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a draining host waits for the outcomes of answered calls to be recorded while the
/// key-value service does not accept them.
const OUTCOME_RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that the connections accepted last have to send their request.
const LAST_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// Runs the command until the host has stopped.
pub fn run(parser: lexopt::Parser) -> Result<(), NodeError> {
    let Some(args) = SettingsArgs::parse(parser, USAGE)? else { return Ok(()) };
    serve(args.load()?)
}

/// Runs a host with these settings until SIGTERM, SIGINT or an operator's drain request, then
/// drains it.
pub fn serve(settings: HostSettings) -> Result<(), NodeError> {
    let executor = Rc::new(LocalExecutor::new());
    let (log, guard) = log::root();
    let host = Host::new(settings, executor.clone(), log);
    let result = async_io::block_on(executor.run(run_host(host)));
    drop(guard);
    result
}

async fn run_host(host: HostRef) -> Result<(), NodeError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    peer::start(&host)?;
    api::start(&host)?;
    pool::start(&host);
    carrier::start(&host);
    records::start(&host);
    api::services::start(&host);
    config_sync::start(&host);
    host_watch::start(&host);
    order_sync::start(&host);
    event!(host.log, HOST_STARTED, "listen" => &*host.settings.listen,
        "peer_listen" => &*host.settings.peer_listen, "tls" => host.settings.tls.is_some(),
        "version" => env!("CARGO_PKG_VERSION"));
    let signal = async {
        signals.next().await;
        Arc::from("signal")
    };
    let by = signal.or(host.stop_requested()).await;
    drain(&host, &by).await;
    event!(host.log, HOST_STOPPED);
    Ok(())
}

/// Drains the host and returns when no request is open.
///
/// The host leaves the entry addresses at once, but accepts connections for [`ENTRY_LIFETIME`],
/// during which callers may still use addresses that they received earlier.
async fn drain(host: &HostRef, by: &str) {
    host.drain();
    event!(host.log, DRAINING, "by" => by);
    peer::member_step(host, MemberInput::Drain);
    pool::assign::hand_back(host);
    Timer::after(ENTRY_LIFETIME).await;
    host.stop_accepting();
    // Requests on the connections accepted last are not counted as open until they arrive.
    Timer::after(LAST_REQUEST_DELAY).await;
    while host.open_requests() > 0 {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    // Later retries of a call would get the outcome `unknown` if its outcome is not recorded.
    let end = host.now() + OUTCOME_RECORD_TIMEOUT;
    while host.now() < end && !host.state.borrow().calls.is_empty() {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}
