//! `parsleyctl watch`: prints the resources of a kind, then each change, by long polling.

use std::{collections::BTreeMap, time::Duration};

use http_types::Method;
use serde_json::Value;

use super::get;
use crate::{
    client::ApiRequest,
    error::CtlError,
    kind::ResourceKind,
    options::{CommonOptions, OptionMatch, OutputFormat},
    output,
};

/// Longest time for which a host may hold a request while nothing changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);
/// Delay before the next attempt after no host responded.
const RETRY_DELAY: Duration = Duration::from_secs(1);

const USAGE: &str = "\
Print the resources of a kind, then each change, until interrupted.

Usage:
    parsleyctl watch KIND [options]

With -o json, each line is one resource; a deleted resource has \"deleted\": true. If a host fails,
the watch continues with another one. Options of every command: parsleyctl --help.

Options:
    --count N    Stop after printing N resources.

Example:
    parsleyctl watch backendservers
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let mut count = u64::MAX;
    let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
        "--count" => {
            count = lexopt::ValueExt::parse(&parser.value()?)?;
            Ok(OptionMatch::Recognized)
        }
        _ => Ok(OptionMatch::Unknown),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [kind] = options.expect_operands(USAGE)?;
    let kind = ResourceKind::parse(kind)?;
    let client = options.client()?;
    let mut printer =
        WatchPrinter { kind, format: options.format, received: BTreeMap::new(), remaining: count };
    let mut after = 0;
    if options.format == OutputFormat::Table && count > 0 {
        output::text(&format!("{}\n", get::headings(kind).join("\t")))?;
    }
    while printer.remaining > 0 {
        let wait_ms = LONG_POLL_WAIT.as_millis();
        let path = format!("/admin/v1/{}?after={after}&wait_ms={wait_ms}", kind.path_segment());
        let mut request = ApiRequest::new(Method::Get, &path);
        request.server_wait = LONG_POLL_WAIT;
        match client.send(&request) {
            Ok(body) => {
                after = body["revision"].as_u64().unwrap_or(after).max(after);
                printer.print(body["items"].as_array().map_or(&[], Vec::as_slice))?;
            }
            // Once started, a watch survives an outage of all hosts, for example during a restart.
            Err(CtlError::Unreachable(_)) if after > 0 => std::thread::sleep(RETRY_DELAY),
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

struct WatchPrinter {
    kind: ResourceKind,
    format: OutputFormat,
    /// Revision last received of each resource, by name. After a failover, another host may send a
    /// revision again or send an older one; neither is printed.
    received: BTreeMap<String, u64>,
    /// Number of resources that may still be printed.
    remaining: u64,
}

impl WatchPrinter {
    fn print(&mut self, items: &[Value]) -> Result<(), CtlError> {
        for item in items {
            let name = item["name"].as_str().unwrap_or_default().to_owned();
            let revision = item["revision"].as_u64().unwrap_or(0);
            let previous = self.received.insert(name, revision);
            if previous.is_some_and(|previous| previous >= revision) || self.remaining == 0 {
                continue;
            }
            self.remaining -= 1;
            match self.format {
                OutputFormat::Json => output::text(&format!("{item}\n"))?,
                OutputFormat::Table => {
                    output::text(&format!("{}\n", get::row(self.kind, item).join("\t")))?;
                }
            }
        }
        Ok(())
    }
}
