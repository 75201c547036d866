#!/bin/sh
# Builds the stand-in of the second review's scripts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-standin-2 review/standin-2/main.rs
