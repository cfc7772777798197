#!/usr/bin/env bash
# Two sidecars on hosts of little memory, and crowds of callers that nobody
# controls.  Guards against a process that ends, hangs or grows beyond the
# memory or the descriptors of its host, and against ordinary callers who get no
# answers after that; and against a single large body that is not served in
# calm.  No times and no shares are checked.  Runs alone: see run-checks.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=27400
. "$(dirname "$0")/sidecar.sh"
cleanup () { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

# The crowd and its bounds, fixed before the product was changed.
HOST_MB=48 HOST_FDS=400 BODY_BYTES=2097152 CALLERS=40 MANY_CALLERS=600
LARGE_HOST_MB=160 LARGE_BODY_BYTES=67108864

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
version=0
put_config () { # BODY-BYTES
  version=$((version + 1))
  local config
  config=$(printf '{"version":"%08x","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/",
    "kind":"unsafe","timeout":"20s","service":"desk","maxAttempts":2}},"limits":{"maxBodyBytes":%s,"idleTimeout":"20s"}}' $version "$1")
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w0)\"}]}"
}
# start_mesh_of MEMORY BODY-BYTES: node 1, where the callers come, and node 2,
# beside the server.
start_nodes () {
  local n
  for n in 1 2; do
    write_settings $n 1
    sed -i "s/\"node\":/\"memory_mb\": $1, \"max_fds\": $HOST_FDS, \"node\":/" "$dir/n$n.json"
    start_node $n
  done
  put_config "$2"
  "$MESH_OUT/standin-server" --port="$(port 2 9)" --name=s2 --reports="$(port 2 3)" &
  server_pid=$!
  pids+=($server_pid)
  until_ok serves
}
stop_nodes () {
  kill "$server_pid" "${node_pids[1]}" "${node_pids[2]}" 2>/dev/null
  wait "$server_pid" "${node_pids[1]}" "${node_pids[2]}" 2>/dev/null
}
serves () { # An ordinary request is answered.
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 15 -X PUT -d small -H 'Host: h' -H 'Timeout-Remaining-Ms: 10000' \
    -H "Attempt-Id: $RANDOM$RANDOM" "http://127.0.0.1:$(port 1 1)/d/x")" = 200 ]
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
# crowd FORM CALLERS BYTES [PATH]: play the form on fresh nodes.
crowd () {
  local crowd_pid
  start_nodes $HOST_MB $BODY_BYTES
  coproc CROWD { exec "$MESH_OUT/standin-crowd" --port="$(port 1 1)" --form="$1" --callers="$2" --bytes="$3" ${4:+--path="$4"}; }
  crowd_pid=$CROWD_PID
  pids+=($crowd_pid)
  IFS= read -r -t 60 held <&"${CROWD[0]}"
  echo "# $1: ${held:-still sending after 60 s}; $(within 1 $HOST_MB); $(within 2 $HOST_MB)"
  ok "$1: the caller's node lives within its memory" within 1 $HOST_MB
  ok "$1: the server's node lives within its memory" within 2 $HOST_MB
  ok "$1: an ordinary request is answered while the crowd stays" serves
  kill $crowd_pid 2>/dev/null
  wait $crowd_pid 2>/dev/null
  ok "$1: and after it" until_ok serves
  stop_nodes
}

crowd whole $CALLERS $BODY_BYTES
crowd pieces $CALLERS $BODY_BYTES
crowd chunks $CALLERS $BODY_BYTES
crowd bits $CALLERS $BODY_BYTES
crowd over $CALLERS $BODY_BYTES
crowd endless $CALLERS $BODY_BYTES
crowd complete $CALLERS $BODY_BYTES
crowd answers $CALLERS 0 /d/large-$BODY_BYTES
crowd heads $CALLERS 0
crowd idle $MANY_CALLERS 0

# One caller alone, with the largest body that the limits allow.
start_nodes $LARGE_HOST_MB $LARGE_BODY_BYTES
head -c $LARGE_BODY_BYTES /dev/zero >"$dir/large"
is "a single body at the limit is served in calm" 200 "$(curl -s -o /dev/null -w '%{http_code}' -m 60 -X PUT \
  -H 'Expect:' -H 'Host: h' -H 'Timeout-Remaining-Ms: 30000' -H 'Attempt-Id: large' --data-binary @"$dir/large" \
  "http://127.0.0.1:$(port 1 1)/d/x")"
echo "# $(within 1 $LARGE_HOST_MB); $(within 2 $LARGE_HOST_MB)"
ok "by the caller's node within its memory" within 1 $LARGE_HOST_MB
ok "and by the server's node" within 2 $LARGE_HOST_MB
stop_nodes
done_testing
