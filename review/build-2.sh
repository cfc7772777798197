#!/usr/bin/env bash
# Build the stand-ins and programs of cases 6 to 10, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 OUT=target/build target/build/standin-rows
mkdir -p target/review-2
for source in review/standins-2/case-*.c; do
  name=$(basename "$source" .c)
  shared=rig
  grep -q '"harness.h"' "$source" && shared=harness
  gcc -std=gnu11 -Wall -Wextra -O1 -g -D_GNU_SOURCE -pthread \
    "review/standins-2/$shared.c" "$source" -o "target/review-2/$name"
done
