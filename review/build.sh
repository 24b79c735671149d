#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need only the Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
