#!/usr/bin/env bash
# Builds the stand-ins of the scripts, from the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/standin/main.rs
