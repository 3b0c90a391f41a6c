#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on every source file; any warning fails.
# Usage: scripts/lint.sh [BUILD_DIR] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' \
        'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h')
fi
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: ${#files[@]} files clean"
