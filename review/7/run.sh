#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. review/build-2.sh and the build of the deploy file come first.
cd "$(dirname "$0")" || exit 2
root="$(cd ../.. && pwd)"
export REVIEW_CASE=deadly REVIEW_RECORD="$PWD/record.txt" REVIEW_PROGRAM="$root/target/egretring-platform"
[ -x "$REVIEW_PROGRAM" ] && [ -x "$root/target/review-2" ] || { echo "the programs are not built"; exit 2; }
timeout -s KILL 118 "$root/target/review-2"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
