//! Decides which streams on an engine are orphans: past their deadline, or claimed by no live host.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parsley_macros::value;

use crate::{key::EngineKey, time::Time};

/// Time without a claim after which a stream is cancelled.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream that holds memory, as its engine lists it.
#[value]
pub struct ListedStream {
    /// Stream id on the engine.
    pub stream: Arc<str>,
    /// Host that submitted or last attached to it.
    pub owner: Arc<str>,
    /// Whether its deadline passed.
    pub is_overdue: bool,
    /// Whether a connection follows it.
    pub is_followed: bool,
}

/// Input of [`OrphanTracker::step`].
#[value]
pub enum OrphanInput {
    /// What an owned engine lists, and who could claim it.
    Listed {
        /// The engine.
        engine: EngineKey,
        /// Its streams that hold memory.
        streams: Vec<ListedStream>,
        /// Names of live hosts, this host excepted.
        live_hosts: BTreeSet<Arc<str>>,
        /// Streams that requests of this host are on.
        local_streams: BTreeSet<Arc<str>>,
    },
    /// This host no longer owns the engine.
    OwnershipLost(EngineKey),
}

/// Output of [`OrphanTracker::step`].
#[value]
pub enum OrphanOutput {
    /// Cancel the stream, if it still belongs to the owner that was listed.
    Cancel {
        /// The engine.
        engine: EngineKey,
        /// Stream id on the engine.
        stream: Arc<str>,
        /// The owner.
        owner: Arc<str>,
    },
}

/// Since when each stream on the owned engines has been unclaimed.
#[derive(Default)]
pub struct OrphanTracker {
    unclaimed: BTreeMap<EngineKey, BTreeMap<Arc<str>, Time>>,
}

impl OrphanTracker {
    /// Advances the tracker.
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
        let known = self.unclaimed.remove(&engine).unwrap_or_default();
        let mut unclaimed = BTreeMap::new();
        let mut outputs = Vec::new();
        for listed in streams {
            let is_claimed = local_streams.contains(&listed.stream)
                || (live_hosts.contains(&listed.owner) && listed.is_followed);
            let since = known.get(&listed.stream).copied().unwrap_or(now);
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
