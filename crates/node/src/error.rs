//! The error type shared by the commands, the adapters and the peer protocol.

use std::{io, path::PathBuf, sync::Arc};

use quick_error::quick_error;

quick_error! {
    /// Error that ends a command or an exchange with another process.
    #[derive(Debug)]
    pub enum NodeError {
        /// The command line is invalid; carries the usage text to print.
        Usage(usage: Arc<str>) {
            display("{usage}")
        }
        /// A command line argument is invalid.
        Arguments(err: lexopt::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A file cannot be read or its content is invalid.
        Read(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// The settings file is invalid; carries the rendered findings.
        Settings(findings: Arc<str>) {
            display("{findings}")
        }
        /// Listening on an address failed.
        Listen(address: Arc<str>, err: io::Error) {
            source(err)
            display("{address}: {err}")
        }
        /// An operation on a socket failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Connecting failed, so nothing was sent.
        Connect(err: io::Error) {
            source(err)
            display("cannot connect: {err}")
        }
        /// An HTTP exchange failed after the connection was established, or its URL is invalid.
        Http(detail: Arc<str>) {
            from(err: http_types::Error) -> (err.to_string().into())
            display("{detail}")
        }
        /// The connection ended before the response began.
        Cut {
            display("the connection ended before the answer")
        }
        /// A response began to arrive and was cut, as it was too long or too slow.
        Overflow {
            display("the answer was too long")
        }
        /// No response arrived within the timeout.
        Timeout {
            display("no answer in time")
        }
        /// A message cannot be decoded.
        Decode(err: postcard::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A peer violated the protocol, for example by an oversized message or failed
        /// authentication.
        Protocol(detail: &'static str) {
            display("{detail}")
        }
        /// A checked configuration has mistakes; carries the rendered findings.
        Findings(findings: Arc<str>) {
            display("{findings}")
        }
    }
}
