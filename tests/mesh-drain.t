#!/usr/bin/env bash
# A planned stop of a node under load cuts off no request, and a draining
# backend server gets no new work after 3 s.
MESH_BASE=22100 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:west:3"
new_team shop
backends /shop/services/desk v1 0 1 2 3 4 5
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 5000, "max_attempts": 4},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" see_upstreams 6
for i in 0 1 2 3 4 5; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 300}' >/dev/null
done

others=$(mesh_caller 0),$(mesh_caller 2),$(mesh_caller 3),$(mesh_caller 5)
load stop --targets="$others" --path=/desk/1 --method=POST --rate=100 --seconds=6 --threads=60 &
loader=$!
sleep 1.5
mesh_signal node1 TERM
mesh_signal node4 TERM
mesh_wait node1
is "node 1 exits with 0" 0 $?
mesh_wait node4
is "node 4 exits with 0" 0 $?
wait $loader
is "no call was cut off" 0 "$(field "$MESH_DIR/stop.json" broken)"
is "no call's outcome is unknown" 0 "$(field "$MESH_DIR/stop.json" unknown)"
is "every call was done" 600 "$(field "$MESH_DIR/stop.json" done)"
is "every answer is the caller's own" 0 "$(field "$MESH_DIR/stop.json" wrong)"

load callers --targets="$(mesh_caller 0)" --path=/desk/2 --method=POST --rate=100 --seconds=4 --threads=8 &
loader=$!
sleep 1
mesh_signal node0 TERM
mesh_wait node0
is "a node whose callers call exits with 0" 0 $?
wait $loader
is "its callers' requests are done or were not taken" 400 \
  $(($(field "$MESH_DIR/callers.json" "done") + $(field "$MESH_DIR/callers.json" broken) + $(field "$MESH_DIR/callers.json" not_run)))
is "none of them is unknown" 0 "$(field "$MESH_DIR/callers.json" unknown)"

for i in 2 3 5; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 1}' >/dev/null
done
runs () { mesh_get "$MESH_HOST:$(mesh_backend_port "$1")/standin/stats" | sed 's/.*"runs":\([0-9]*\).*/\1/'; }
mesh_post "$MESH_HOST:$(mesh_backend_port 3)/standin/control" '{"state": "draining"}' >/dev/null
sleep 3
before=$(runs 3)
load drained --targets="$(mesh_caller 2),$(mesh_caller 3),$(mesh_caller 5)" --path=/desk/3 --rate=100 --seconds=2
is "a draining backend server gets nothing after 3 s" "$before" "$(runs 3)"
is "the others take the calls" 200 "$(field "$MESH_DIR/drained.json" done)"

# A node that dies with a request on it: nobody may say that it did not run.
mesh_kill backend3
mesh_backend 3 /shop/services/solo --release=v1 --latency-ms=1500
cat >"$MESH_DIR/solo.json" <<'J'
{"/shop/services/solo": {"version": "v1", "timeout_ms": 5000, "max_attempts": 4},
 "/shop/routes/solo": {"prefix": "/solo", "service": "solo"}}
J
CARDAMOM_NODES=$(mesh_admin 2) mesh_ctl apply "$MESH_DIR/solo.json" >/dev/null
announced () { mesh_get "$(mesh_admin 2)/v1/nodes" | grep -q '"service": "/shop/services/solo"'; }
ok "the only upstream is known" mesh_until 10 announced
sleep 0.3
curl -s -o /dev/null -X POST -H 'X-Request-Id: solo' -w '%{http_code} %header{cardamom-outcome}' \
  "http://$(mesh_caller 2)/solo/1" >"$MESH_DIR/solo" &
asker=$!
sleep 0.7
mesh_kill node3
wait $asker
is "a request on a node that dies has an unknown outcome" "504 unknown" "$(cat "$MESH_DIR/solo")"
is "for it ran" 1 "$(runs 3)"
done_testing
