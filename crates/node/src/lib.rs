//! The parsleystage host: sockets, timers and adapters around the decision logic in `parsley-core`.

pub mod adapter;
pub mod api;
pub mod carrier;
pub mod command;
pub mod config_sync;
pub mod error;
pub mod gateway;
pub mod host;
pub mod host_watch;
pub mod http;
pub mod log;
pub mod metrics;
pub mod order_sync;
pub mod peer;
pub mod pool;
pub mod records;
