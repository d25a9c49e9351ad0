#!/bin/sh
# Builds what the cases of the second review start: one program a case, of the standard library alone.
# The workload manager itself is built by the deploy file's `build`.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$folder/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$(basename "$folder")" "$folder/case.rs"
done
