#!/usr/bin/env bash
# Builds the program that plays the cases of this review: platform, minions and callers in one process,
# which starts the project's own programs. It needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stage review/stage-3/main.rs
