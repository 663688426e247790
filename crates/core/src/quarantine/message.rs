//! Reports that hosts exchange about suspect parts, and the outputs of the quarantine.

use std::time::Duration;

use parsley_macros::{message, value};

use super::{PartTag, ProcessTag};

/// What a host knows of a suspect part.
#[message]
pub struct PartReport {
    /// The part.
    pub part: PartTag,
    /// Greatest position of the part in a prompt.
    pub depth: u8,
    /// Processes that ended under the part, each with the milliseconds since then, because hosts do
    /// not share a clock.
    pub crashes: Vec<(ProcessTag, u32)>,
    /// Milliseconds since the part was last known to be harmless.
    pub cleared_ms: Option<u32>,
}

/// A part in quarantine, for operators.
#[value]
pub struct PartStatus {
    /// The part.
    pub part: PartTag,
    /// Time since it was put in quarantine on this host.
    pub age: Duration,
    /// Time after which it leaves by itself.
    pub left: Duration,
    /// Processes that ended under it, as far as they are kept.
    pub crashes: usize,
}

/// Output of a change of the quarantine.
#[value]
pub enum QuarantineOutput {
    /// Send the report to all peers.
    Broadcast(PartReport),
    /// Send the report to the peer whose report was merged.
    Reply(PartReport),
    /// Requests with the part are refused from now on.
    Quarantined {
        /// The part.
        part: PartTag,
        /// Processes that ended under it.
        crashes: usize,
    },
    /// Requests with the part are sent again.
    Released(PartTag),
}
