#!/bin/sh
# Builds the stand-ins of the second review's scripts: its own, and that of the first review for case 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review-standin-2 review/standin-2/main.rs
rustc --edition 2024 -O -o target/review/rig review/standin/main.rs
