#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
