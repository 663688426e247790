//! Drivers of the cases of the review. Usage: `review-case NAME RECORD`, from the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod host;
mod http;
mod json;
mod proxy;
mod record;
mod server;
mod store;

use std::{process::ExitCode, sync::Arc};

use record::Record;

/// Result of a case that could run: whether the rule held.
type Verdict = std::io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, path] = &arguments[..] else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    let verdict = match name.as_str() {
        "stop-while-waiting" => cases::stop_while_waiting::run(has_trouble, &record),
        "large-bodies" => cases::large_bodies::run(has_trouble, &record),
        "foreign-keys" => cases::foreign_keys::run(has_trouble, &record),
        "config-storm" => cases::config_storm::run(has_trouble, &record),
        "silent-engine" => cases::silent_engine::run(has_trouble, &record),
        "large-entries" => cases::large_entries::run(has_trouble, &record),
        "cut-watches" => cases::cut_watches::run(has_trouble, &record),
        _ => Err(std::io::Error::other("no such case")),
    };
    match verdict {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.line(&format!("the case could not run: {err}"));
            ExitCode::from(2)
        }
    }
}
