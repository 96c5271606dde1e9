#!/usr/bin/env bash
# Builds the stand-ins and cases of review 2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[45]/scenario.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc "$source" -o "target/review-2/case$number" \
    target/libeiderreel_lib.a -levent
done
