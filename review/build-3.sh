#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15 into target/review-3: the project's
# own standin-rows, and one program for each script.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
make -s -j4 OUT="$out/build" "$out/build/standin-rows"
install -m 755 "$out/build/standin-rows" "$out/standin-rows"
for name in stop idle cut cap; do
  gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread -Ireview/standins-3 \
    -o "$out/case-$name" "review/standins-3/case-$name.c" \
    review/standins-3/case.c
done
