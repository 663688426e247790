//! `parsleyctl watch`: prints changes of resources as they happen.

use std::{collections::BTreeMap, time::Duration};

use http_types::Method;
use serde_json::Value;

use super::get;
use crate::{
    client::Call,
    error::CtlError,
    kind::ResourceKind,
    options::{CommonOptions, OutputForm, Taken},
    output,
};

/// Time for which a host holds one request of a watch.
const HOST_WAIT: Duration = Duration::from_secs(20);
/// Delay before a host is asked again after no one answered.
const RETRY_DELAY: Duration = Duration::from_secs(1);

const USAGE: &str = "\
Print resources, then their changes as they happen, until interrupted.

Usage:
    parsleyctl watch KIND [options]

With -o json each line is one resource; a deleted one has \"deleted\": true. The watch goes on with
another host when one fails. Options of every command: parsleyctl --help.

Options:
    --count N    Stop after N lines.

Example:
    parsleyctl watch backendservers
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let mut count = u64::MAX;
    let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
        "--count" => {
            count = lexopt::ValueExt::parse(&parser.value()?)?;
            Ok(Taken::Yes)
        }
        _ => Ok(Taken::No),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [kind] = options.exactly(USAGE)?;
    let kind = ResourceKind::parse(kind)?;
    let client = options.client()?;
    let mut printer = WatchPrinter { kind, form: options.form, seen: BTreeMap::new(), left: count };
    let mut after = 0;
    if options.form == OutputForm::Table && count > 0 {
        output::text(&format!("{}\n", get::headings(kind).join("\t")))?;
    }
    while printer.left > 0 {
        let wait_ms = HOST_WAIT.as_millis();
        let path = format!("/admin/v1/{}?after={after}&wait_ms={wait_ms}", kind.segment());
        let mut call = Call::new(Method::Get, &path);
        call.wait = HOST_WAIT;
        match client.call(&call) {
            Ok(body) => {
                after = body["revision"].as_u64().unwrap_or(after).max(after);
                printer.print(body["items"].as_array().map_or(&[], Vec::as_slice))?;
            }
            // A watch outlives the restart of every host.
            Err(CtlError::Unreachable(_)) if after > 0 => std::thread::sleep(RETRY_DELAY),
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

struct WatchPrinter {
    kind: ResourceKind,
    form: OutputForm,
    /// Revision last printed of each resource; another host may report one again.
    seen: BTreeMap<String, u64>,
    left: u64,
}

impl WatchPrinter {
    fn print(&mut self, items: &[Value]) -> Result<(), CtlError> {
        for item in items {
            let name = item["name"].as_str().unwrap_or_default().to_owned();
            let revision = item["revision"].as_u64().unwrap_or(0);
            let last = self.seen.insert(name, revision);
            if last.is_some_and(|last| last >= revision) || self.left == 0 {
                continue;
            }
            self.left -= 1;
            match self.form {
                OutputForm::Json => output::text(&format!("{item}\n"))?,
                OutputForm::Table => {
                    output::text(&format!("{}\n", get::row(self.kind, item).join("\t")))?;
                }
            }
        }
        Ok(())
    }
}
