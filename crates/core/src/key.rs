//! Small `Copy` keys of the arenas. A key is meaningful only inside the process that issued it;
//! messages between hosts carry names.

use parsley_macros::key;

/// A host in the member table.
#[key]
pub struct HostKey(pub u32);

/// A model engine.
#[key]
pub struct EngineKey(pub u32);

/// A client account.
#[key]
pub struct AccountKey(pub u32);

/// A rank of work; a lower number is more urgent.
#[key]
pub struct RankKey(pub u8);

/// A model.
#[key]
pub struct ModelKey(pub u16);

/// One request in the queue or on an engine of this host.
#[key]
pub struct WorkKey(pub u64);
