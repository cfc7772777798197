#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, besides the sidecar
# that the deploy file builds: the project's stand-ins of the platform's table
# and of a crowd of callers, and the clients and servers of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 OUT=target/review-3 target/review-3/standin-rows target/review-3/standin-crowd
for case in review/standins-3/case-*.c; do
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread -o "target/review-3/$(basename "$case" .c)" "$case"
done
