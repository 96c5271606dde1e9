#!/usr/bin/env bash
# Tests the rolling upgrade of real controllers from the production build, whose revision stands in
# deploy/service.toml, to the current one. Too slow for CI. Needs a build with tests, see README.
#
#   tests/processes/upgrade_from_production.sh [SEED ...]
set -euo pipefail
cd "$(dirname "$0")/../.."

revision=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
sources=target/production/sources
build=target/production/build
if [ ! -x "$build/eiderreel" ]; then
  mkdir -p "$sources"
  git archive "$revision" | tar -x -C "$sources"
  cmake -S "$sources" -B "$build" -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$build" -j8 >/dev/null
fi
echo "older build: $revision"
for seed in "${@:-1}"; do
  EIDERREEL_SEED=$seed EIDERREEL_OLDER_BUILD=$PWD/$build/eiderreel target/tests/eiderreel_process_tests
done
