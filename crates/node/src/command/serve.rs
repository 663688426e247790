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

/// Time between two looks at what is still open.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);
/// Time for which an answered call whose outcome the key-value service does not take is waited for.
const RECORD_LIMIT: Duration = Duration::from_secs(30);
/// Time in which the last accepted connections send their request.
const LAST_REQUEST: Duration = Duration::from_millis(500);

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), NodeError> {
    let Some(args) = SettingsArgs::parse(parser, USAGE)? else { return Ok(()) };
    serve(args.load()?)
}

/// Runs a host with these settings until SIGTERM, SIGINT or an operator's request.
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

/// Leaves the entry answers at once, keeps accepting while callers may hold an old answer, and
/// returns when no request is open.
async fn drain(host: &HostRef, by: &str) {
    host.drain();
    event!(host.log, DRAINING, "by" => by);
    peer::member_step(host, MemberInput::Drain);
    pool::assign::return_queued(host);
    Timer::after(ENTRY_LIFETIME).await;
    host.stop_accepting();
    // Connections that were accepted last have sent their request by then.
    Timer::after(LAST_REQUEST).await;
    while host.open_requests() > 0 {
        Timer::after(DRAIN_PERIOD).await;
    }
    // Outcomes still to be recorded would be `unknown` to later retries.
    let end = host.now() + RECORD_LIMIT;
    while host.now() < end && !host.state.borrow().calls.is_empty() {
        Timer::after(DRAIN_PERIOD).await;
    }
}
