#!/usr/bin/env bash
# Prints, for each fix named, in how many seeds the soak finds the fault in the commit before it.
# A row "not found" means that the soak as it is cannot show that fault. A row with a number shows
# that the program breaks a rule, which may be due to a fault that a later commit has mended.
# Usage: scripts/soak_retrospect.sh SOAK_PROGRAM COMMIT... (SEEDS=20, SECONDS_EACH=20, JOBS=3)
set -euo pipefail
soak=$(realpath "$1")
shift
repository=$(git rev-parse --show-toplevel)
folder=$(mktemp -d "${TMPDIR:-/tmp}/teaselreach-retrospect.XXXXXX")
trap 'rm -rf "$folder"' EXIT

# Builds the daemon of a commit's parent and prints its path.
build_before() {
    local clone="$folder/$1"
    git clone -q "$repository" "$clone"
    git -C "$clone" checkout -q "$1^"
    cmake -S "$clone" -B "$clone/target" -G Ninja -DCMAKE_BUILD_TYPE=Release -DTEASELREACH_TESTS=OFF >/dev/null
    cmake --build "$clone/target" --target teaselreachd_platform -j "${JOBS:-3}" >/dev/null
    echo "$clone/target/platform/teaselreachd_platform"
}

printf '| fix | seeds until found | rules |\n|---|---|---|\n'
for commit in "$@"; do
    title=$(git log -1 --format=%s "$commit")
    if ! program=$(build_before "$commit" 2>/dev/null); then
        printf '| %s %s | not built | |\n' "$commit" "$title"
        continue
    fi
    found="not found in ${SEEDS:-20}"
    rules=
    for ((seed = 1; seed <= ${SEEDS:-20}; ++seed)); do
        "$soak" --program="$program" --seed="$seed" --seconds="${SECONDS_EACH:-20}" \
            --folder="$folder/runs" > "$folder/report.txt" && continue
        found=$seed
        rules=$(sed -n 's/^  BROKEN \([^:]*\):.*/\1/p' "$folder/report.txt" | sort | uniq -c \
            | awk '{n=$1; $1=""; printf "%s%s (%d)", (NR > 1 ? ", " : ""), substr($0, 2), n}')
        break
    done
    printf '| %s %s | %s | %s |\n' "$commit" "$title" "$found" "$rules"
    rm -rf "$folder/$commit" "$folder/runs"
done
