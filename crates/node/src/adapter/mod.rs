//! Clients for external systems, one module each, so that a change of a system's wire format
//! affects one module only.

pub mod engine;
pub mod hostlist;
pub mod service;
pub mod store;
pub mod weights;
