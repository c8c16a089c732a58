#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 11 12 13 14 15; do
  [ ! -f "review/$n/main.go" ] || go build -o "target/review/$n" "./review/$n"
done
