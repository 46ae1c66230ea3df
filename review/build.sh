#!/usr/bin/env bash
# Builds the stand-ins of the cases, offline, with the versions of the project's lock file.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --offline --locked --bins
