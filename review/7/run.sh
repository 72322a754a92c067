#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
n=7
command=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
[ -x "target/review-2/$n" ] && [ -x "${command%% *}" ] || exit 2
# shellcheck disable=SC2086
timeout -k 1 118 "target/review-2/$n" "review/$n/record.txt" $command
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
