#!/bin/sh
# Builds the stand-ins of all scripts with the toolchain alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standin/main.rs
