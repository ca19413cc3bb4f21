#!/usr/bin/env bash
# Plays the case of claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/scripts ] && [ -x target/egretring-platform ] || exit 2
CASE=3 timeout -k 2 110 target/review/scripts
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
