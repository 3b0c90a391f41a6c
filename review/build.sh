#!/usr/bin/env bash
# Builds what the scripts of the cases start: stand-ins for the store, instances and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig "$source" -o "target/review/case$number"
done
