#!/usr/bin/env bash
# Short soak tests with faults, one per seed, run in parallel: the seeds that
# failed before, from soak/regressions, and those of SOAK_SEEDS.
. "$(dirname "$0")/tap.sh"
tests_dir=$(cd "$(dirname "$0")" && pwd)
work_dir=$(mktemp -d)
seeds="$(sed 's/#.*//' "$tests_dir/soak/regressions") ${SOAK_SEEDS-1 2}"
port_base=26000
declare -A soak_pids
for seed in $seeds; do
  mkdir -p "$work_dir/$seed"
  timeout 120 "$MESH_OUT/soak" --seed="$seed" --seconds=10 --base=$port_base \
    --bin="${MESH_DAEMON_OUT:-$MESH_OUT}" --dir="$work_dir/$seed" >"$work_dir/$seed/tap" 2>&1 &
  soak_pids[$seed]=$!
  port_base=$((port_base + 100))
done
for seed in $seeds; do
  output=$work_dir/$seed/tap exit_code=0
  wait "${soak_pids[$seed]}" || exit_code=$?
  ok "soak seed $seed" grep -q '^ok ' "$output"
  grep -q '^ok ' "$output" && continue
  echo "# ended with $exit_code"
  # Leave out the plan of faults, which the seed determines.
  grep -vE '^# +[0-9]+ ms to' "$output" | sed 's/^[^#]/# &/'
  # End the processes that a crashed soak has left.  They are in the process
  # group of timeout.
  grep -qE '^(not )?ok ' "$output" || kill -KILL -- "-${soak_pids[$seed]}" 2>/dev/null
done
rm -rf "$work_dir"
done_testing
