#!/bin/sh
# Builds what the cases 11 to 15 start, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    case=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$case" "$source"
done
