#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case-$(basename "$here")
[ -x "$program" ] && [ -x target/platform/teaselreachd_platform ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 110 "$program" "$folder" "$here/record.txt"
result=$?
[ -n "${KEEP:-}" ] && cp "$folder"/*.log "$KEEP"
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
