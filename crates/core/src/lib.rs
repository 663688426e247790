//! Decisions of parsleystage as pure state machines.
//!
//! Each slice owns its state and changes it only in `step(&mut self, now, input) -> outputs`. Time
//! and randomness are parameters and I/O is returned as typed outputs, so a test, a measurement and
//! the node drive the same code.

pub mod arena;
pub mod call;
pub mod config;
pub mod entry;
pub mod key;
pub mod member;
pub mod placement;
pub mod record;
pub mod refusal;
pub mod request;
pub mod resource;
pub mod scheduler;
pub mod settings;
pub mod time;
pub mod token;
