# Functions that run sidecars with their settings in $dir, for tests that have
# sourced tap.sh and set base, the first port, and pids, the processes to end.
# Their requests have $BASHPID and the time as ids: a subshell seeds RANDOM anew
# from about 20 bits, and a node does not run an id twice.
table=127.0.0.1:$base
declare -A node_pids # Process ids of the sidecars by node.

# port NODE OFFSET: a port of NODE: 1 for callers, 2 for the readiness check, 3
# for reports of the backend server, 4 for peers, 5 for metrics; 9 is the port
# of the backend server itself.
port () { echo $((base + 100 * $1 + $2)); }

write_settings () { # NODE FIRST_START
  cat >"$dir/n$1.json" <<J
{"node": "n$1", "data_centre": "a", "region": "r", "first_start": $2,
 "callers": "127.0.0.1:$(port $1 1)", "ready": "127.0.0.1:$(port $1 2)",
 "reports": "127.0.0.1:$(port $1 3)", "peers": "127.0.0.1:$(port $1 4)",
 "metrics": "127.0.0.1:$(port $1 5)", "service": "desk",
 "server": "127.0.0.1:$(port $1 9)", "table": "$table"}
J
}
start_node () { # NODE
  "$MESH_OUT/cardamom-sidecar" --settings="$dir/n$1.json" >>"$dir/n$1.log" 2>&1 &
  node_pids[$1]=$!
  pids+=($!)
}

# until_ok COMMAND...: repeat COMMAND until it succeeds, for 30 s at least; it
# takes far less on a working system.
until_ok () {
  local i
  for i in $(seq 300); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  return 1
}
# is_ready NODE: whether the readiness check succeeds.
is_ready () { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(port $1 2)/api/ready")" = 200 ]; }
