//! The decision logic of parsleystage as state machines without I/O.
//!
//! Time and randomness are parameters, and I/O is returned as typed outputs. So tests, benchmarks
//! and the `parsley-node` package run the same code. Most modules own their state and change it in
//! a method like `step(&mut self, now, input) -> outputs`.

pub mod admission;
pub mod arena;
pub mod call;
pub mod catalog;
pub mod config;
pub mod detour;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod era;
pub mod evacuation;
pub mod evidence;
pub mod feed;
pub mod fleet;
pub mod group;
pub mod health;
pub mod hedge;
pub mod key;
pub mod member;
pub mod order;
pub mod permit;
pub mod placement;
pub mod quarantine;
pub mod reader;
pub mod record;
pub mod refusal;
pub mod request;
pub mod reservation;
pub mod resource;
pub mod retry;
pub mod roster;
pub mod scheduler;
pub mod settings;
pub mod time;
pub mod token;
pub mod turn;
pub mod usage;
pub mod work;

/// Runs a property with a fixed number of fixed seeds, so that the result does not depend on the
/// number of cases that fit into a time budget. The low 32 bits of a seed are the size of the input
/// in bytes.
#[cfg(test)]
fn fixed_cases(
    count: u64,
    mut property: impl FnMut(
        &mut arbtest::arbitrary::Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()>,
) {
    for case in 0..count {
        arbtest::arbtest(&mut property).seed((case + 1).wrapping_mul(0x9e37_79b9) << 32 | 4_096);
    }
}
