#!/usr/bin/env bash
# Build the stand-ins of the review's scripts into target/review.  They need
# the C library, POSIX threads and jansson, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/case-*.c; do
  name=$(basename "$source" .c)
  gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread -o "target/review/$name" \
    "$source" review/standins/rig.c $(pkg-config --cflags --libs jansson)
done
