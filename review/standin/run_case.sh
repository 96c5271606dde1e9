#!/usr/bin/env bash
# Runs one case: starts its program with the run command of the deploy file and a temporary folder.
# The program ends with this script, however that ends, and after 119 s at the latest; the
# controllers end with the program.
cd "$(dirname "$0")/../.." || exit 2
number=$1
program=target/review/case$number
[ -x "$program" ] && [ -x target/eiderreel ] || exit 2
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_RUN REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
"$program" "review/$number/record.txt" &
pid=$!
trap 'kill -KILL "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; exit 2' TERM INT HUP
wait "$pid"
code=$?
[ -z "${REVIEW_LOGS:-}" ] || cp "$REVIEW_TMP"/*.log "$REVIEW_LOGS"/
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
