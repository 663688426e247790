#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases. They need no package and no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
