#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start; they need no library. Case 10
# starts one of the earlier review's.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
rustc --edition 2024 -O -o target/review-2/earlier review/standin/main.rs
