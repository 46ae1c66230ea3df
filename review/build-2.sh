#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the program of the deploy file: the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
