//! Small stand-ins for the systems around parsleystage, and the tools that load and measure it.
//!
//! Each stand-in listens on a loopback port of its own and runs on its own thread, so one process
//! can embed a whole platform.

pub mod caller;
pub mod decision;
pub mod engine;
pub mod engine_model;
pub mod engine_roles;
pub mod fleet;
pub mod hostlist;
pub mod load;
pub mod relay;
pub mod sampling;
pub mod scale_world;
pub mod server;
pub mod service;
pub mod soak;
pub mod solo;
pub mod store;
pub mod tally;
pub mod weights;
