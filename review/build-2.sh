#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The system itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/stand-2/Cargo.toml
