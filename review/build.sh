#!/bin/sh
# Builds the stand-ins that the scripts start. They need only the Rust compiler and its
# standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2024 -O -o target/review/standin review/standin/main.rs
