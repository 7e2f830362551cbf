#!/usr/bin/env bash
# Format, lints, docs and all tests, the generated code's freshness among them.
set -euo pipefail
cd "$(dirname "$0")/.."
export INSTA_UPDATE=no CI=true
cargo fmt --all --check
cargo clippy --quiet --workspace --all-targets -- --deny warnings
RUSTDOCFLAGS="--deny warnings" cargo doc --quiet --workspace --no-deps
cargo test --workspace --all-targets
