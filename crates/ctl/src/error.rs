//! The errors of `parsleyctl`.

use std::{io, path::PathBuf, sync::Arc};

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// What can end a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// The command line is wrong.
        Usage(usage: Arc<str>) {
            display("{}", usage.trim_end())
        }
        /// An argument is wrong.
        Arguments(err: lexopt::Error) {
            from()
            source(err)
            display("{err}; see --help")
        }
        /// A file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// The input has mistakes, one a line.
        Input(findings: Arc<str>) {
            display("{findings}")
        }
        /// The output cannot be written.
        Output(err: io::Error) {
            from()
            source(err)
            display("output: {err}")
        }
        /// No host answered.
        Unreachable(detail: Arc<str>) {
            display("{detail}")
        }
        /// A host refused the request.
        Refused(status: u16, problem: Value) {
            display("{}", refusal_text(*status, problem))
        }
        /// At least one of several steps failed; each was reported.
        Partial(failed: usize, wrong_input: bool) {
            display("{failed} failed")
        }
    }
}

impl CtlError {
    /// The exit code of the program: 1 failed, 2 wrong use or input.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_)
            | CtlError::Arguments(_)
            | CtlError::Read(..)
            | CtlError::Input(_)
            | CtlError::Partial(_, true) => 2,
            CtlError::Refused(_, problem) if problem["reason"] == "invalid-resource" => 2,
            _ => 1,
        }
    }
}

fn refusal_text(status: u16, problem: &Value) -> String {
    let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    let (reason, detail) = (text("reason"), text("detail"));
    if reason.is_empty() {
        return format!("the host answered with status {status}");
    }
    let outcome = match text("outcome").as_str() {
        "unknown" => "; whether it took effect is unknown",
        _ => "",
    };
    format!("{reason}: {detail}{outcome}")
}
