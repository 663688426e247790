#!/bin/sh
# Builds the stand-ins of review/6 to review/10, without a network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
