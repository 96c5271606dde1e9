#!/usr/bin/env bash
# The rolling upgrade of real controllers from the build that runs in production, as
# deploy/service.toml names it, to this one. Too long for CI. Needs a build with the tests, see README.
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
