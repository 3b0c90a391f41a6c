#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later, to target/review-2/. Needs g++ and
# nlohmann-json3-dev, which the deploy file lists. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/stand-ins-2/*.cpp; do
    g++ -std=c++20 -O1 -pthread "$source" -o "$out/$(basename "$source" .cpp)" &
done
for job in $(jobs -p); do
    wait "$job"
done
