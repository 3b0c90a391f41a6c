#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on every source file; any warning fails.
# A file whose content, included project headers and settings have not changed since it was last
# clean is not analysed again: its stamp in the cache folder names a digest of all of them and of
# the linter's version. Work trees share the cache, as they share ccache.
# Usage: scripts/lint.sh [BUILD_DIR] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' \
        'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h' 'platform/*.cpp' 'platform/*.h' 'soak/*.cpp' 'soak/*.h')
fi
clang-format --dry-run --Werror "${files[@]}"

# Prints the project files that a source includes, as the last build recorded them.
ninja -C "$build" -t deps > "$build/lint-deps.txt"
project_headers() {
    awk -v object="$1.o:" -v root="$PWD/" '
        /^[^ ]/ { inside = (substr($1, length($1) - length(object) + 1) == object) }
        inside && index($1, root) == 1 { print $1 }' "$build/lint-deps.txt"
}

lint_file() {
    local file=$1 key
    # The object of src/x/y.cpp is .../x.dir/y.cpp.o; the name alone may match a second file,
    # which only widens the digest.
    key=$( (clang-tidy --version; cat .clang-tidy "$file" $(project_headers "/$(basename "$file")" | sort -u)) \
        | sha256sum | cut -d' ' -f1)
    [ -f "$cache/$key" ] && return 0
    clang-tidy --quiet -p "$build" "$file" 2>/dev/null && touch "$cache/$key"
}
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/teaselreach-lint}
mkdir -p "$cache"
export -f lint_file project_headers
export build cache
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
echo "lint: ${#files[@]} files clean"
