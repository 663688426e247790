//! Decides which streams on an engine to cancel: those past their deadline, and those that no live
//! host has claimed for a while.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::value;

use crate::{key::EngineKey, time::Time};

/// How long a stream may stay unclaimed before it is cancelled.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream that holds memory, as its engine lists it.
#[value]
pub struct ListedStream {
    /// Stream id on the engine.
    pub stream: Arc<str>,
    /// Name of the host that submitted it or last attached to it.
    pub owner: Arc<str>,
    /// Whether its deadline has passed.
    pub is_overdue: bool,
    /// Whether a connection is attached to it.
    pub is_followed: bool,
}

/// Input of [`OrphanTracker::step`].
#[value]
pub enum OrphanInput {
    /// The streams on an engine that this host owns, and what is needed to find their claims.
    Listed {
        /// Engine that listed the streams.
        engine: EngineKey,
        /// Its streams that hold memory.
        streams: Vec<ListedStream>,
        /// Names of all other live hosts.
        live_hosts: BTreeSet<Arc<str>>,
        /// Ids of the streams that belong to requests of this host.
        local_streams: BTreeSet<Arc<str>>,
    },
    /// This host does not own the engine any more.
    OwnershipLost(EngineKey),
}

/// Output of [`OrphanTracker::step`].
#[value]
pub enum OrphanOutput {
    /// Cancel a stream, unless another host has attached to it since it was listed.
    Cancel {
        /// Engine that runs the stream.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// Owner as listed.
        owner: Arc<str>,
    },
}

/// Tracks how long each stream on the engines of this host has been unclaimed.
#[derive(Default)]
pub struct OrphanTracker {
    unclaimed: BTreeMap<EngineKey, BTreeMap<Arc<str>, Time>>,
}

impl OrphanTracker {
    /// Applies one input and returns the streams to cancel.
    pub fn step(&mut self, now: Time, input: OrphanInput) -> Vec<OrphanOutput> {
        let (engine, streams, live_hosts, local_streams) = match input {
            OrphanInput::Listed { engine, streams, live_hosts, local_streams } => {
                (engine, streams, live_hosts, local_streams)
            }
            OrphanInput::OwnershipLost(engine) => {
                self.unclaimed.remove(&engine);
                return Vec::new();
            }
        };
        let earlier = self.unclaimed.remove(&engine).unwrap_or_default();
        let mut unclaimed = BTreeMap::new();
        let mut outputs = Vec::new();
        for listed in streams {
            let is_claimed = local_streams.contains(&listed.stream)
                || (live_hosts.contains(&listed.owner) && listed.is_followed);
            let since = earlier.get(&listed.stream).copied().unwrap_or(now);
            let is_orphan = !is_claimed && now.since(since) >= ORPHAN_TIMEOUT;
            let stream = listed.stream.clone();
            if is_orphan || (listed.is_overdue && !local_streams.contains(&stream)) {
                let owner = listed.owner;
                outputs.push(OrphanOutput::Cancel { engine, stream: stream.clone(), owner });
            }
            if !is_claimed {
                unclaimed.insert(stream, since);
            }
        }
        self.unclaimed.insert(engine, unclaimed);
        outputs
    }
}
