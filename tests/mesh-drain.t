#!/usr/bin/env bash
# Planned stops and draining under load.  Guards against: requests that are cut
# off or have an unknown outcome when a node stops; a draining backend server
# that still gets requests after 3 s; and a request that is reported as not run
# although the node that died had run it.
MESH_BASE=22100 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:west:3"
create_team shop
start_backends /shop/services/desk v1 0 1 2 3 4 5
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 5000, "max_attempts": 4},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" wait_for_upstreams 6
for i in 0 1 2 3 4 5; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 300}' >/dev/null
done

targets=$(mesh_caller_address 0),$(mesh_caller_address 2),$(mesh_caller_address 3),$(mesh_caller_address 5)
run_load stop --targets="$targets" --path=/desk/1 --method=POST --rate=100 --seconds=6 --threads=60 &
load_pid=$!
sleep 1.5
mesh_signal node1 TERM
mesh_signal node4 TERM
mesh_wait_exit node1
is "node 1 exits with 0" 0 $?
mesh_wait_exit node4
is "node 4 exits with 0" 0 $?
wait $load_pid
is "no call was cut off" 0 "$(report_field "$MESH_DIR/stop.json" broken)"
is "no call's outcome is unknown" 0 "$(report_field "$MESH_DIR/stop.json" unknown)"
is "every call was done" 600 "$(report_field "$MESH_DIR/stop.json" done)"
is "every answer is the caller's own" 0 "$(report_field "$MESH_DIR/stop.json" wrong)"

run_load callers --targets="$(mesh_caller_address 0)" --path=/desk/2 --method=POST --rate=100 --seconds=4 --threads=8 &
load_pid=$!
sleep 1
mesh_signal node0 TERM
mesh_wait_exit node0
is "a node whose callers call exits with 0" 0 $?
wait $load_pid
is "its callers' requests are done or were not taken" 400 \
  $(($(report_field "$MESH_DIR/callers.json" "done") + $(report_field "$MESH_DIR/callers.json" broken) + $(report_field "$MESH_DIR/callers.json" not_run)))
is "none of them is unknown" 0 "$(report_field "$MESH_DIR/callers.json" unknown)"

for i in 2 3 5; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 1}' >/dev/null
done
# count_runs NODE: the number of requests that the backend server beside NODE
# has run; why it can't be told, which is like no number, if it can't.
count_runs () {
  local stats code state=runs
  stats=$(mesh_get "$MESH_HOST:$(mesh_backend_port "$1")/standin/stats") && sed 's/.*"runs":\([0-9]*\).*/\1/' <<<"$stats" && return
  code=$?
  kill -0 "${MESH_PIDS[backend$1]}" 2>/dev/null || state="has ended"
  echo "at $EPOCHREALTIME: exit code $code of curl, the server $state: $(tail -n 3 "$MESH_DIR/backend$1.log")"
}
mesh_post "$MESH_HOST:$(mesh_backend_port 3)/standin/control" '{"state": "draining"}' >/dev/null
sleep 3
runs_before=$(count_runs 3)
run_load drained --targets="$(mesh_caller_address 2),$(mesh_caller_address 3),$(mesh_caller_address 5)" --path=/desk/3 --rate=100 --seconds=2
is "a draining backend server gets nothing after 3 s" "$runs_before" "$(count_runs 3)"
is "the others take the calls" 200 "$(report_field "$MESH_DIR/drained.json" done)"

# A node dies while a request runs beside it: the outcome must be reported as
# unknown, not as not run.
mesh_kill backend3
mesh_start_backend 3 /shop/services/solo --release=v1 --latency-ms=1500
cat >"$MESH_DIR/solo.json" <<'J'
{"/shop/services/solo": {"version": "v1", "timeout_ms": 5000, "max_attempts": 4},
 "/shop/routes/solo": {"prefix": "/solo", "service": "solo"}}
J
CARDAMOM_NODES=$(mesh_admin_address 2) mesh_ctl apply "$MESH_DIR/solo.json" >/dev/null
# Whether node 2 knows the upstream of the service.
is_announced () { mesh_get "$(mesh_admin_address 2)/v1/nodes" | grep -q '"service": "/shop/services/solo"'; }
ok "the only upstream is known" mesh_wait_until 10 is_announced
sleep 0.3
curl -s -o /dev/null -X POST -H 'X-Request-Id: solo' -w '%{http_code} %header{cardamom-outcome}' \
  "http://$(mesh_caller_address 2)/solo/1" >"$MESH_DIR/solo" &
request_pid=$!
sleep 0.7
mesh_kill node3
wait $request_pid
is "a request on a node that dies has an unknown outcome" "504 unknown" "$(cat "$MESH_DIR/solo")"
is "for it ran" 1 "$(count_runs 3)"
done_testing
