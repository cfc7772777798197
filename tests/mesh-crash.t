#!/usr/bin/env bash
# Quarantine of requests.  Guards against a request that crashes every backend
# server that runs it and, repeated through all nodes, ends more than two of
# them; and against the quarantine of a request that only happened to be in
# flight when its backend server died.
MESH_BASE=22300 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:4 b:west:4"
create_team shop
start_backends /shop/services/desk v1 0 1 2 3 4 5 6 7
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 2000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" wait_for_upstreams 8

# count_live_backends: the number of backend servers that still run.
count_live_backends () {
  local i count=0
  for i in 0 1 2 3 4 5 6 7; do
    kill -0 "${MESH_PIDS[backend$i]}" 2>/dev/null && count=$((count + 1))
  done
  echo $count
}
# send_request NODE PATH METHOD: the status code and outcome of the answer.  A
# backend server that runs a request whose path contains "crash" ends; with
# "crash-late" it closes the connection first.
send_request () {
  curl -s --max-time 10 -X "$3" -o /dev/null -w '%{http_code} %header{cardamom-outcome}' \
    "http://$(mesh_caller_address "$1")/desk/$2"
}
for _ in 1 2 3; do
  for i in 0 1 2 3 4 5 6 7; do send_request $i crash GET >/dev/null; done
done
died=$((8 - $(count_live_backends)))
ok "a GET sent 24 times takes at most 2 backend servers ($died)" test $died -le 2
is "it is in quarantine" "503 not-run" "$(send_request 0 crash GET)"
is "another request goes through" "200 done" "$(send_request 0 other GET)"

live_before=$(count_live_backends)
for i in 0 1 2 3 4 5 6 7 0 1 2 3; do send_request $i crash-post POST >/dev/null; done
died=$((live_before - $(count_live_backends)))
ok "a POST sent 12 times takes at most 2 backend servers ($died)" test $died -le 2

# A request that is in flight when its backend server is killed once is not
# quarantined.
live_backends= # The numbers of those that still run.
for i in 0 1 2 3 4 5 6 7; do kill -0 "${MESH_PIDS[backend$i]}" 2>/dev/null && live_backends="$live_backends $i"; done
for i in $live_backends; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" '{"latency_ms": 400}' >/dev/null
done
request_pids=
for n in 1 2 3 4 5 6 7 8; do
  send_request 0 in-flight GET >"$MESH_DIR/in$n" &
  request_pids="$request_pids $!"
done
sleep 0.2 # The requests, which take 400 ms, still run.
killed=$(set -- $live_backends; echo "$1")
mesh_kill "backend$killed"
wait $request_pids 2>/dev/null
sleep 1
is "a request whose backend server happened to die runs later" "200 done" "$(send_request 0 in-flight GET)"
is "and again" "200 done" "$(send_request 4 in-flight GET)"

# A process that crashes may close its connections before its listening port.
# The request still counts as one that crashed a backend server.
# count_crash_events: how many such crashes the nodes have logged.
count_crash_events () { cat "$MESH_DIR"/node*.log | grep -c 'event=strike'; }
crash_events_before=$(count_crash_events)
send_request 0 crash-late GET >/dev/null
has_new_crash_event () { [ "$(count_crash_events)" -gt "$crash_events_before" ]; }
ok "a crash is known though the port closes after the connection" mesh_wait_until 10 has_new_crash_event
done_testing
