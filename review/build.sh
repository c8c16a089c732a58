#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/*/drill; do
  n=$(basename "$(dirname "$dir")")
  go build -o "target/review/drill-$n" "./$dir"
done
