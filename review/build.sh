#!/usr/bin/env bash
# Builds the program of each case, with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/case$number" "$source" \
    $(pkg-config --cflags --libs libevent) &
done
for job in $(jobs -p); do wait "$job"; done
