//! Structured logs. Each event has a number; `docs/events.md` lists them.

use std::io::IsTerminal;

use slog::{Drain, Logger, o};

/// The root logger: a terminal form on a terminal, JSON lines otherwise.
pub fn root() -> Logger {
    if std::io::stderr().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        return Logger::root(slog_async::Async::new(drain).build().fuse(), o!());
    }
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    Logger::root(slog_async::Async::new(drain).build().fuse(), o!())
}
