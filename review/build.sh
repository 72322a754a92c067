#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
shared="src/http-server.c src/http-client.c src/clock.c src/rate-limiter.c src/log.c"
# shellcheck disable=SC2046,SC2086
for case in review/[0-9]*/case.c; do
  n=$(basename "$(dirname "$case")")
  gcc -std=gnu17 -O1 -g -Wall -Wextra -Wno-unused-parameter -DG_LOG_DOMAIN='"standin"' \
    -DG_LOG_USE_STRUCTURED -Isrc -Ireview/standin -o "target/review/case-$n" \
    "$case" review/standin/standin.c $shared \
    $(pkg-config --cflags --libs libsoup-3.0 jansson gio-2.0 glib-2.0) -lm
done
