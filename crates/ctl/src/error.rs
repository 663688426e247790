//! The error type of `parsleyctl` and its exit codes.

use std::{io, path::PathBuf, sync::Arc};

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// An error that ends a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// The command line is invalid; the text says why or shows the usage.
        Usage(usage: Arc<str>) {
            display("{}", usage.trim_end())
        }
        /// An option or its value could not be parsed.
        Arguments(err: lexopt::Error) {
            from()
            source(err)
            display("{err}; see --help")
        }
        /// A file cannot be read or has unusable content.
        ReadFile(path: PathBuf, err: io::Error) {
            source(err)
            display("cannot read {}: {err}", path.display())
        }
        /// Resource files have errors, one per line.
        InvalidInput(findings: Arc<str>) {
            display("{findings}")
        }
        /// Standard output cannot be written.
        Output(err: io::Error) {
            from()
            source(err)
            display("cannot write to standard output: {err}")
        }
        /// No host could be reached, or none responded in time.
        Unreachable(detail: Arc<str>) {
            display("{detail}")
        }
        /// A host responded with an error status; the body describes the problem.
        Refused(status: u16, problem: Value) {
            display("{}", refusal_text(*status, problem))
        }
        /// Some resources could not be applied. Each error was already reported; the flag says
        /// whether any of them was caused by invalid input.
        PartialFailure(failed: usize, invalid_input: bool) {
            display("failed to apply {failed} resource(s)")
        }
    }
}

impl CtlError {
    /// Returns the exit code of the process: 2 for invalid usage or input, otherwise 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_)
            | CtlError::Arguments(_)
            | CtlError::ReadFile(..)
            | CtlError::InvalidInput(_)
            | CtlError::PartialFailure(_, true) => 2,
            CtlError::Refused(_, problem) if problem["reason"] == "invalid-resource" => 2,
            _ => 1,
        }
    }
}

/// Formats a problem document, or only the status if the body is not one.
fn refusal_text(status: u16, problem: &Value) -> String {
    let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    let (reason, detail) = (text("reason"), text("detail"));
    if reason.is_empty() {
        return format!("the host responded with status {status}");
    }
    let outcome = match text("outcome").as_str() {
        "unknown" => "; the outcome of the request is unknown",
        _ => "",
    };
    format!("{reason}: {detail}{outcome}")
}
