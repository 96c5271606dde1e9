#!/usr/bin/env bash
# Builds the stand-ins and cases of review 2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[456]/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc "$case" -o "target/review-2/case$number" \
    target/libeiderreel_lib.a -levent
done
