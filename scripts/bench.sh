#!/usr/bin/env bash
# Runs the benchmarks that need no processes and fails if any of them misses a bound.
# Usage: scripts/bench.sh [BUILD_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
missed=()
for bench in placement_experiment fairness_bench config_bench limit_bench limit_message_bench upstream_bench; do
    printf '\n== %s\n' "$bench"
    "$build/bench/$bench" || missed+=("$bench")
done
[ ${#missed[@]} -eq 0 ] && exit 0
printf '\nbounds missed: %s\n' "${missed[*]}"
exit 1
