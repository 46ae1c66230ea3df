#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15. The scripts start no other program of the project than the deploy
# file's, which is built before.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
