# Starts the platform's table and sidecars for a case; sourced by run.sh, which
# sets here, its folder.  BASE is the first port: the table; a node N has the
# ports BASE + 20 N + 1 to 9.
root=$(cd "$here/../.." && pwd)
tmp=$(mktemp -d)
pids=()
cleanup () {
  {
    kill -CONT "${pids[@]}"
    kill -KILL "${pids[@]}"
    wait
  } 2>/dev/null
  rm -rf "$tmp"
}
trap cleanup EXIT
cd "$root" || exit 2
for program in target/cardamom-sidecar target/review-3/standin-rows; do
  [ -x "$program" ] || { echo "$program is missing; run review/build-3.sh" >&2; exit 2; }
done

# pick_base N: a free block of ports for N nodes.
pick_base () {
  local try port used last=$((20 * ($1 + 1)))
  for try in $(seq 50); do
    BASE=$((20000 + (RANDOM * 32768 + RANDOM) % 10000))
    used=no
    for port in $(seq "$BASE" $((BASE + last))); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then used=yes; break; fi
    done
    [ $used = no ] && return 0
  done
  exit 2
}
port () { echo $((BASE + 20 * $1 + $2)); }

start_table () {
  target/review-3/standin-rows --port="$BASE" >"$tmp/table.log" 2>&1 &
  table_pid=$!
  pids+=($table_pid)
}

# write_settings NODE FIRST_START [MORE]: as platform/settings.template gives
# them; MORE is more members, each with a comma behind it.
write_settings () {
  cat >"$tmp/n$1.json" <<J
{"node": "sidecar-a-$1", "data_centre": "a", "region": "r",
 "callers": "127.0.0.1:$(port "$1" 1)", "ready": "127.0.0.1:$(port "$1" 2)",
 "reports": "127.0.0.1:$(port "$1" 3)", "peers": "127.0.0.1:$(port "$1" 4)",
 "metrics": "127.0.0.1:$(port "$1" 5)", "service": "desk",
 "server": "127.0.0.1:$(port "$1" 9)", "table": "127.0.0.1:${TABLE:-$BASE}",
 "link_mbps": 1000, "memory_mb": 260, "max_fds": 4100, "first_start": $2,
 "grace": "6s", "retry_ratio": 0.2, "retry_slack": 58, "retry_window": "10s",
 ${3:-} "exposure_share": 0.1, "exposure_slack": 50}
J
}
node_pids=()
start_node () { # NODE
  target/cardamom-sidecar --settings="$tmp/n$1.json" >>"${LOGS:-$tmp}/node-$1.log" 2>&1 &
  node_pids[$1]=$!
  pids+=($!)
}
