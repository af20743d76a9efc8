#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one program without dependencies, into the ignored folder target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/sim review/standins-2/sim.rs
