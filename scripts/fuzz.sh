#!/usr/bin/env bash
# Builds the fuzz targets and runs each one from its corpus.
# Usage: scripts/fuzz.sh [RUNS [SEED]]   RUNS inputs for each target (20000), seed of the choice (1)
#        FUZZ_SECONDS=N scripts/fuzz.sh   N seconds for each target instead
# A failing input is written to findings/ in the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}/fuzz
sanitizers=address,signed-integer-overflow,float-cast-overflow
runs=${1:-20000}
seed=${2:-1}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link,$sanitizers -fno-sanitize-recover=all" \
    -DTEASELREACH_TESTS=OFF -DTEASELREACH_FUZZ=ON >/dev/null
targets=(request_fuzz response_fuzz record_fuzz peer_fuzz settings_fuzz vm_list_fuzz)
cmake --build "$build" --target "${targets[@]}"
mkdir -p "$build/findings"
for target in "${targets[@]}"; do
    # Inputs that are found are kept beside the build, not in the tree. A run with a number of
    # inputs starts from the tree alone, so that it does the same each time.
    [ -n "${FUZZ_SECONDS:-}" ] || rm -rf "$build/corpus/$target"
    mkdir -p "$build/corpus/$target"
    limit=(-runs="$runs")
    [ -n "${FUZZ_SECONDS:-}" ] && limit=(-max_total_time="$FUZZ_SECONDS")
    if ! "$build/tests/fuzz/$target" "${limit[@]}" -seed="$seed" -max_len=4096 -print_final_stats=1 \
        -artifact_prefix="$build/findings/$target-" "$build/corpus/$target" \
        "tests/fuzz/corpus/$target" >"$build/$target.log" 2>&1; then
        tail -n 40 "$build/$target.log"
        echo "fuzz: $target failed; inputs in $build/findings"
        exit 1
    fi
    echo "fuzz: $target: $(grep -E '^(#[0-9]+.DONE|Done)' "$build/$target.log" | tr '\n' ' ')"
done
