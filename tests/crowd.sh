# Functions that play crowds of callers that nobody controls against sidecars on
# hosts of little memory, for tests that have sourced tap.sh and set base, the
# first port, and HOST_FDS.  Node 2 is beside the backend server.
dir=$(mktemp -d)
pids=()
nodes="1 2"
. "$(dirname "${BASH_SOURCE[0]}")/sidecar.sh"
cleanup () {
  signal_own CONT "${pids[@]}"
  signal_own TERM "${pids[@]}"
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
version=0
put_config () { # BODY-BYTES [KIND [TIMEOUT]]
  version=$((version + 1))
  local config
  config=$(printf '{"version":"%08x","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/",
    "kind":"%s","timeout":"%s","service":"desk","maxAttempts":2}},"limits":{"maxBodyBytes":%s,"idleTimeout":"20s"}}' \
    $version "${2:-unsafe}" "${3:-20s}" "$1")
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w0)\"}]}"
}
start_server () {
  "$MESH_OUT/standin-server" --port="$(port 2 9)" --name=s2 --reports="$(port 2 3)" &
  server_pid=$!
  pids+=($server_pid)
}
# start_nodes MEMORY BODY-BYTES [KIND [TIMEOUT]]: the nodes and the server.
start_nodes () {
  local n
  for n in $nodes; do
    write_settings $n 1
    sed -i "s/\"node\":/\"memory_mb\": $1, \"max_fds\": $HOST_FDS, \"node\":/" "$dir/n$n.json"
    start_node $n
  done
  put_config "${@:2}"
  start_server
  for n in $nodes; do until_ok serves $n; done
}
stop_nodes () {
  local n stopped=("$server_pid")
  for n in $nodes; do stopped+=("${node_pids[$n]}"); done
  signal_own TERM "${stopped[@]}"
  wait "${stopped[@]}" 2>/dev/null
}
request_status () { # [NODE]: the status of an ordinary request.
  curl -s -o /dev/null -w '%{http_code}' -m 15 -X PUT -d small -H 'Host: h' -H 'Timeout-Remaining-Ms: 10000' \
    -H "Attempt-Id: $BASHPID-$EPOCHREALTIME" "http://127.0.0.1:$(port "${1:-1}" 1)/d/x"
}
serves () { [ "$(request_status "$@")" = 200 ]; } # [NODE]: an ordinary request is answered.
# serves_again [NODE]: so it is in the end; otherwise print what may tell why.
serves_again () {
  local n
  until_ok serves "$@" && return
  echo "an ordinary request at node ${1:-1} gets $(request_status "$@")"
  kill -0 "$server_pid" 2>/dev/null || echo "the server has ended"
  for n in $nodes; do
    kill -0 "${node_pids[$n]}" 2>/dev/null || echo "node $n has ended"
  done
  sleep 1 # The nodes write their logs a little later.
  for n in $nodes; do grep -E 'event=(server|failed|refused|unanswered) ' "$dir/n$n.log" | tail -n 4; done
  return 1
}
# memory_kb NODE: the most memory that the process has had.
memory_kb () { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${node_pids[$1]}/status" 2>/dev/null || echo 0; }
descriptors () { ls "/proc/${node_pids[$1]}/fd" 2>/dev/null | wc -l; }
# within NODE MB: the process lives, within its memory and descriptors.
within () {
  local kb fds
  kill -0 "${node_pids[$1]}" 2>/dev/null || { echo "node $1 has ended"; return 1; }
  kb=$(memory_kb "$1") fds=$(descriptors "$1")
  echo "node $1: $((kb / 1024)) MB of $2, $fds descriptors of $HOST_FDS"
  [ "$kb" -le $(($2 * 1024)) ] && [ "$fds" -le "$HOST_FDS" ]
}
# start_crowd NODE FORM CALLERS BYTES [PATH [FLAG...]]: callers that play FORM at NODE;
# wait_held waits until they can send no more, stop_crowds ends all.
crowd_pids=()
start_crowd () {
  "$MESH_OUT/standin-crowd" --port="$(port "$1" 1)" --form="$2" --callers="$3" --bytes="$4" ${5:+--path="$5"} "${@:6}" >"$dir/held-$1-$2" &
  crowd_pids+=($!)
  pids+=($!)
}
is_held () { local f; for f in "$dir"/held-*; do grep -q held "$f" || return 1; done; }
wait_held () {
  local i
  for i in $(seq 600); do is_held && break; sleep 0.1; done
  held=$(cat "$dir"/held-* | sort | uniq -c | tr -s ' \n' ' ')
}
stop_crowds () {
  signal_own TERM "${crowd_pids[@]}"
  wait "${crowd_pids[@]}" 2>/dev/null
  crowd_pids=()
  rm -f "$dir"/held-*
}
