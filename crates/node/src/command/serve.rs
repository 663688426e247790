//! `parsleystage serve`: runs a host until SIGTERM or SIGINT.

use std::{rc::Rc, time::Duration};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use parsley_core::{entry::ENTRY_LIFETIME, member::MemberInput, settings::HostSettings};
use slog::info;

use crate::{
    api, carrier,
    command::SettingsArgs,
    config_sync,
    error::NodeError,
    host::{Host, HostRef},
    log, peer, pool, records,
};

const USAGE: &str = "\
Run a host until SIGTERM or SIGINT.

Usage:
    parsleystage serve --settings FILE
";

/// Time in which the last accepted connections send their request.
const LAST_REQUEST: Duration = Duration::from_millis(500);

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), NodeError> {
    let Some(args) = SettingsArgs::parse(parser, USAGE)? else { return Ok(()) };
    serve(args.load()?)
}

/// Runs a host with these settings until SIGTERM or SIGINT.
pub fn serve(settings: HostSettings) -> Result<(), NodeError> {
    let executor = Rc::new(LocalExecutor::new());
    let host = Host::new(settings, executor.clone(), log::root());
    async_io::block_on(executor.run(run_host(host)))
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
    info!(host.log, "host started"; "event" => "E1001", "listen" => &*host.settings.listen);
    signals.next().await;
    drain(&host).await;
    info!(host.log, "host stopped"; "event" => "E1002");
    Ok(())
}

/// Leaves the entry answers at once, keeps accepting while callers may hold an old answer, and
/// returns when no request is open.
async fn drain(host: &HostRef) {
    host.drain();
    info!(host.log, "draining"; "event" => "E1003");
    peer::member_step(host, MemberInput::Drain);
    pool::assign::hand_back(host);
    Timer::after(ENTRY_LIFETIME).await;
    host.stop_accepting();
    // Connections that were accepted last have sent their request by then.
    Timer::after(LAST_REQUEST).await;
    while host.open_requests() > 0 {
        Timer::after(Duration::from_millis(50)).await;
    }
}
