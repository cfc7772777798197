#!/usr/bin/env bash
# A request that crashes each backend server that runs it, sent again and
# again through all nodes, takes two backend servers at most.
MESH_BASE=22300 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:4 b:west:4"
new_team shop
backends /shop/services/desk v1 0 1 2 3 4 5 6 7
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 2000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" see_upstreams 8

alive () {
  local i n=0
  for i in 0 1 2 3 4 5 6 7; do
    kill -0 "${MESH_PIDS[backend$i]}" 2>/dev/null && n=$((n + 1))
  done
  echo $n
}
ask () { # NODE PATH METHOD
  curl -s --max-time 10 -X "$3" -o /dev/null -w '%{http_code} %header{cardamom-outcome}' \
    "http://$(mesh_caller "$1")/desk/$2"
}
for round in 1 2 3; do
  for i in 0 1 2 3 4 5 6 7; do ask $i crash GET >/dev/null; done
done
lost=$((8 - $(alive)))
ok "a GET sent 24 times takes at most 2 backend servers ($lost)" test $lost -le 2
is "it is in quarantine" "503 not-run" "$(ask 0 crash GET)"
is "another request goes through" "200 done" "$(ask 0 other GET)"

before=$(alive)
for i in 0 1 2 3 4 5 6 7 0 1 2 3; do ask $i crash-post POST >/dev/null; done
lost=$((before - $(alive)))
ok "a POST sent 12 times takes at most 2 backend servers ($lost)" test $lost -le 2

# A request in flight when a backend server happens to die is not condemned.
left=
for i in 0 1 2 3 4 5 6 7; do kill -0 "${MESH_PIDS[backend$i]}" 2>/dev/null && left="$left $i"; done
for i in $left; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 400}' >/dev/null
done
asking=
for n in 1 2 3 4 5 6 7 8; do
  ask 0 innocent GET >"$MESH_DIR/in$n" &
  asking="$asking $!"
done
sleep 0.2
victim=$(set -- $left; echo "$1")
mesh_kill "backend$victim"
wait $asking 2>/dev/null
sleep 1
is "a request whose backend server happened to die runs later" "200 done" "$(ask 0 innocent GET)"
is "and again" "200 done" "$(ask 4 innocent GET)"

# A process may end its connections before its port closes.
strikes () { cat "$MESH_DIR"/node*.log | grep -c 'event=strike'; }
struck=$(strikes)
ask 0 crash-late GET >/dev/null
more () { [ "$(strikes)" -gt "$struck" ]; }
ok "a crash is known though the port closes after the connection" mesh_until 10 more
done_testing
