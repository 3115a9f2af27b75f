#!/usr/bin/env bash
# Exits with 1 if two runs of a task were present at the same time, 0 if none were, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/baobabspar.jar ] && [ -d target/review-2 ] || exit 2
timeout -k 5 110 java -cp target/review-2 HeldUpRequests review/7/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
