//! A short soak; `cargo run --release --example soak` is the long one.

use parsley_standins::soak::{self, SoakPlan};

/// Guards against wrong outcomes that only combinations of failures in an arbitrary order show.
#[test]
fn short_soak_has_no_wrong_outcome() {
    let program = env!("CARGO_BIN_EXE_parsleystage").into();
    let plan = SoakPlan { program, seed: 7, prompts: 600, keys: 200, concurrency: 20 };
    let report = soak::run(&plan).unwrap();
    assert_eq!(report.wrong(), 0, "{report:?}");
    assert!(report.failures > 0);
    assert!(report.tally.complete > 0 && report.answered > 0, "{report:?}");
}
