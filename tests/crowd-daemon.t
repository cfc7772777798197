#!/usr/bin/env bash
# Two nodes of cardamomd with little memory, one beside a backend server, and
# crowds of callers that nobody controls at either.  Guards against what crowd.t
# does.  Runs alone: see run-checks.
MESH_BASE=30400
. "$(dirname "$0")/tap.sh"

# The crowd and its bounds, fixed before the product was changed.
export CARDAMOM_MEMORY_MB=64
BODY_BYTES=1048576 CALLERS=200 MANY_CALLERS=600 CONNECTIONS_MAX=300 REQUESTS=300 SMALL_BYTES=61440 BODIES=1000
MAX_FDS=$((CONNECTIONS_MAX + 200))
MESH_NODE_FLAGS="--connections-max=$CONNECTIONS_MAX"

start_nodes () {
  local i
  start_mesh "a:east:2"
  create_team shop
  start_backends /shop/services/desk v1 0
  cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 8000},
 "/shop/routes/desk": {"prefix": "/d", "service": "desk"}}
J
  mesh_ctl apply "$MESH_DIR/desk.json" >/dev/null
  wait_for_upstreams 1
  for i in 0 1; do mesh_wait_until 30 serves $i; done
}
serves () { # NODE: an ordinary request is answered.
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 15 -X PUT -d small "http://$(mesh_caller_address "$1")/d/x")" = 200 ]
}
all_serve () { mesh_wait_until 30 serves 0 && mesh_wait_until 30 serves 1; }
# reads_whole NODE: a caller who reads steadily gets a large answer, whole.
reads_whole () {
  local i size=
  for i in $(seq 30); do
    [ "$(curl -s -o "$MESH_DIR/answer" -m 60 -w '%{http_code}' "http://$(mesh_caller_address "$1")/d/large-$((BODY_BYTES / 2))")" = 200 ] &&
      size=$(stat -c %s "$MESH_DIR/answer") && break
    sleep 0.3
  done
  echo "$size bytes of $((BODY_BYTES / 2))"
  [ "$size" = $((BODY_BYTES / 2)) ]
}
all_within () { # Both processes live, within their memory and descriptors.
  local i pid kb fds bad=0
  for i in 0 1; do
    pid=${MESH_PIDS[node$i]}
    kill -0 "$pid" 2>/dev/null || { echo "node $i has ended"; return 1; }
    kb=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status")
    fds=$(ls "/proc/$pid/fd" | wc -l)
    echo "node $i: $((kb / 1024)) MB of $CARDAMOM_MEMORY_MB, $fds descriptors of $MAX_FDS"
    [ "$kb" -le $((CARDAMOM_MEMORY_MB * 1024)) ] && [ "$fds" -le $MAX_FDS ] || bad=1
  done
  return $bad
}
# crowd LABEL FORM CALLERS BYTES PATH FLAG...: play the form at both nodes.
crowd () {
  local i label=$1 form=$2
  start_nodes
  for i in 0 1; do
    mesh_start_process "crowd$i" "$MESH_OUT/standin-crowd" --port="$(mesh_port $i 0)" --form="$form" \
      --callers="$3" --bytes="$4" --path="$5" "${@:6}"
  done
  mesh_wait_until 60 grep -q held "$MESH_DIR/crowd0.out"
  mesh_wait_until 60 grep -q held "$MESH_DIR/crowd1.out"
  ok "daemon, $label: ordinary requests are answered while the crowd stays" all_serve
  [ "$form" != answers ] || ok "daemon, $label: a steady reader gets a large answer whole" reads_whole 1
  sleep 3
  for i in 0 1; do mesh_kill "crowd$i"; done
  ok "daemon, $label: and after it" all_serve
  echo "# $label: $(all_within | tr '\n' ' ')"
  ok "daemon, $label: both nodes live within their memory" all_within
  mesh_kill_all
  rm -f "$MESH_DIR"/crowd?.out
}

crowd whole whole $CALLERS $BODY_BYTES /d/x
crowd chunks chunks $CALLERS $BODY_BYTES /d/x
crowd bits bits $CALLERS $((BODY_BYTES / 8)) /d/x
crowd over over $CALLERS $BODY_BYTES /d/x
crowd endless endless $CALLERS $BODY_BYTES /d/x
crowd complete complete $CALLERS $BODY_BYTES /d/large-10
crowd answers answers $CALLERS 0 /d/large-$BODY_BYTES
crowd "answers to bodies" complete $CALLERS $((BODY_BYTES / 2)) /d/large-$BODY_BYTES
crowd "small answers" answers 40 0 /d/large-$SMALL_BYTES --requests=$REQUESTS
crowd heads heads $CALLERS 0 /d/x
crowd idle idle $MANY_CALLERS 0 /d/x

# Callers of the other node, while the node beside the server is frozen.

# start_bodies NODE...: callers who send body after body to desk at each NODE,
# whatever they get.
start_bodies () {
  local i
  for i in "$@"; do
    mesh_start_process "crowd$i" "$MESH_OUT/standin-crowd" --port="$(mesh_port "$i" 0)" --form=complete \
      --callers=$CALLERS --bytes=$BODY_BYTES --path=/d/x --requests=$BODIES
  done
}
start_side () { # A service whose upstream is beside node 1.
  start_backends /shop/services/side v1 1
  echo '{"/shop/services/side": {"version": "v1", "timeout_ms": 8000},
    "/shop/services/desk": {"version": "v1", "timeout_ms": 300},
    "/shop/routes/side": {"prefix": "/s", "service": "side"}}' >"$MESH_DIR/side.json"
  mesh_ctl apply "$MESH_DIR/side.json" >/dev/null
  wait_for_upstreams 2
}
side_serves () { # NODE: a request for the service beside node 1 is answered.
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 15 -X PUT -d small "http://$(mesh_caller_address "$1")/s/x")" = 200 ]
}
answers () { # NODE: a request for desk gets a status, whichever.
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 15 -X PUT -d small "http://$(mesh_caller_address "$1")/d/x")" != 000 ]
}

start_nodes
start_side
start_bodies 1
mesh_signal node0 STOP
for round in 1 2 3; do
  ok "daemon, bodies for a frozen node, $round: others are answered meanwhile" mesh_wait_until 30 side_serves 1
  ok "daemon, bodies for a frozen node, $round: so are requests for it, one way or another" answers 1
  sleep 2
done
echo "# bodies for a frozen node: $(all_within | tr '\n' ' ')"
ok "daemon, bodies for a frozen node: both live within their memory" all_within
mesh_signal node0 CONT
ok "daemon, bodies for a frozen node: ordinary requests are answered when it goes on" all_serve
mesh_kill crowd1
ok "daemon, bodies for a frozen node: and after the crowd" all_serve
echo "# bodies for a frozen node, after it: $(all_within | tr '\n' ' ')"
ok "daemon, bodies for a frozen node: both live within their memory after it" all_within
mesh_kill_all

# One caller alone, with the largest body that the limits allow.
start_nodes
head -c $BODY_BYTES /dev/zero >"$MESH_DIR/large"
for i in 0 1; do
  is "daemon: a single body at the limit is served in calm, node $i" 200 "$(curl -s -o /dev/null -w '%{http_code}' -m 60 \
    -X PUT -H 'Expect:' --data-binary @"$MESH_DIR/large" "http://$(mesh_caller_address $i)/d/large-10")"
done
done_testing
