#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PROGRAM="$PWD/target/platform/teaselreachd_platform"
stand_ins="$PWD/target/review-2/quota_restart"
if [ ! -x "$PROGRAM" ] || [ ! -x "$stand_ins" ]; then
    echo "not run: build the deploy file and review/build-2.sh first"
    exit 2
fi
timeout --kill-after=2 115 "$stand_ins" "$here/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
