#!/bin/sh
# Builds the stand-ins of the cases. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in rollback tenant_header alone; do
    rustc --edition 2024 -O -A dead_code -o "target/review/$program" "review/standins/$program.rs"
done
