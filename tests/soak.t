#!/usr/bin/env bash
# A short fault soak: the seeds that once failed, and SOAK_SEEDS.
. "$(dirname "$0")/tap.sh"
here=$(cd "$(dirname "$0")" && pwd)
base=26000
for seed in $(sed 's/#.*//' "$here/soak/regressions") ${SOAK_SEEDS-1 2}; do
  dir=$(mktemp -d)
  timeout 120 "$MESH_OUT/soak" --seed="$seed" --seconds=6 --base=$base \
    --bin="${MESH_DAEMON_OUT:-$MESH_OUT}" --dir="$dir" >"$dir/tap" 2>&1
  ok "soak seed $seed" grep -q '^ok ' "$dir/tap"
  grep -q '^ok ' "$dir/tap" || grep -v '^ok' "$dir/tap"
  rm -rf "$dir"
  base=$((base + 100))
done
done_testing
