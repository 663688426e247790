//! Outside systems, one narrow file each. A change of an outside system's wire form touches only
//! its file.

pub mod engine;
pub mod hostlist;
pub mod service;
pub mod store;
pub mod weights;
