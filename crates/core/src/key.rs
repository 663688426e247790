//! Small `Copy` keys that stand for names.
//!
//! A key is valid only in the process that assigned it; messages between hosts carry names.

use parsley_macros::key;

/// Key of a host in the member table.
#[key]
pub struct HostKey(pub u32);

/// Key of a model engine.
#[key]
pub struct EngineKey(pub u32);

/// Key of a client account.
#[key]
pub struct AccountKey(pub u32);

/// Key of a rank; a lower number is more urgent.
#[key]
pub struct RankKey(pub u8);

/// Key of a model.
#[key]
pub struct ModelKey(pub u16);

/// Key of a request that is queued on this host or runs on one of its engines.
#[key]
pub struct WorkKey(pub u64);
