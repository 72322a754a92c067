#!/usr/bin/env bash
# run-case.sh CASE: runs a case in a temporary folder. Exits with 0 (the rule held), 1 (broken) or
# 2 (the case could not run).
set -u
case=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
program=$(sed -n 's/^run *= *"\(.*\)"/\1/p' deploy/service.toml)
[ -n "$program" ] && [ -x "${program%% *}" ] && [ -x "target/review/case-$case" ] || exit 2
folder=$(mktemp -d) || exit 2
# shellcheck disable=SC2086
timeout -s KILL 119 "target/review/case-$case" "review/$case/record.txt" "$folder" $program
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
rm -rf "$folder"
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code
