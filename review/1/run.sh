#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption; then the rule must hold.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/platform/teaselreachd_platform ] && [ -x target/review/case1 ] || exit 2
timeout -k 5 110 target/review/case1 review/1/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
