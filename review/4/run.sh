#!/usr/bin/env bash
# Runs the case; writes record.txt beside this script. TROUBLE=0 leaves the
# disruption out. Exit: 1 broken, 0 held, 2 could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/case_policy
[ -x "$program" ] && [ -x target/platform/heatherdeal-platform-rollout ] || exit 2
timeout -k 2 115 "$program" "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
