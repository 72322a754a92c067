#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs libsoup-3.0 jansson)
for source in review/[4-8]/case.c; do
  n=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  gcc -std=gnu17 -O1 -Wall -Wextra -Wno-unused-parameter -Ireview/standin-2 -o "target/review-2/$n" \
    "$source" review/standin-2/platform.c $flags -lm
done
