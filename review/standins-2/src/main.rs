//! Runs one case of the review against host processes that it starts, with stand-ins of the store,
//! of servers and of clients. `review-case NAME TROUBLE RECORD`; TROUBLE 0 leaves out the disruption.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod config;
mod entries;
mod host;
mod http;
mod memory;
mod proxy;
mod server;
mod silence;
mod slow_stop;
mod store;

use config::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, trouble, record] = &args[..] else {
        eprintln!("usage: review-case NAME TROUBLE RECORD");
        std::process::exit(2);
    };
    host::end_after(std::time::Duration::from_secs(115));
    let has_trouble = trouble != "0";
    let record = std::sync::Arc::new(Record::create(record));
    // A panic is a failure of the case itself.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "memory" => memory::run(&record, has_trouble),
        "slow-stop" => slow_stop::run(&record, has_trouble),
        "entries" => entries::run(&record, has_trouble),
        "silence" => silence::run(&record, has_trouble),
        _ => None,
    }));
    let code = match result {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        _ => 2,
    };
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}
