#!/bin/sh
# Builds the stand-ins of the cases that have a script. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand-3/Cargo.toml \
    --target-dir target/review-3
