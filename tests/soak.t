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

# A soak that a signal ends says so and leaves no nodes.
mkdir -p "$work_dir/ended"
"$MESH_OUT/soak" --seed=1 --base=$port_base --bin="${MESH_DAEMON_OUT:-$MESH_OUT}" \
  --dir="$work_dir/ended" >"$work_dir/ended/tap" 2>&1 &
ended_pid=$!
nodes_of_ended () { grep -la "$work_dir/ended/n" /proc/[0-9]*/cmdline 2>/dev/null; }
ok "a soak has started its nodes" mesh_wait_until 20 nodes_of_ended
kill $ended_pid
wait $ended_pid
matches "a soak that a signal ends says so" "^not ok 1 - soak seed 1: ended by signal 15, code 0, of process $$: .*soak.t" \
  "$(grep -v ' ms to ' "$work_dir/ended/tap")"
none_of_ended () { ! nodes_of_ended; }
ok "and leaves no nodes" mesh_wait_until 5 none_of_ended
rm -rf "$work_dir"
done_testing
