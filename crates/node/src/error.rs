//! The errors of the node.

use std::{io, path::PathBuf, sync::Arc};

use quick_error::quick_error;

quick_error! {
    /// What can end a command or an exchange with another process.
    #[derive(Debug)]
    pub enum NodeError {
        /// The command line is wrong.
        Usage(usage: Arc<str>) {
            display("{usage}")
        }
        /// An argument is wrong.
        Arguments(err: lexopt::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// The settings are not valid.
        Settings(findings: Arc<str>) {
            display("{findings}")
        }
        /// An address cannot be listened on.
        Listen(address: Arc<str>, err: io::Error) {
            source(err)
            display("{address}: {err}")
        }
        /// A socket failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// No connection came about; nothing was sent.
        Connect(err: io::Error) {
            source(err)
            display("cannot connect: {err}")
        }
        /// An HTTP exchange failed.
        Http(detail: Arc<str>) {
            from(err: http_types::Error) -> (err.to_string().into())
            display("{detail}")
        }
        /// No answer within the time.
        Timeout {
            display("no answer in time")
        }
        /// A message does not decode.
        Decode(err: postcard::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A message is larger than allowed or a peer is not who it claims to be.
        Protocol(detail: &'static str) {
            display("{detail}")
        }
    }
}
