#!/usr/bin/env bash
# Version moves on real processes.  Guards against: a good version that is not
# completed by its deadline; and a version that fails, or is slow on one route,
# and is not rolled back or fails too many calls before that.
MESH_BASE=22000 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:4 b:west:4"
create_team shop
start_backends /shop/services/desk v1 0 1 4 5
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 2000},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"},
 "/shop/routes/till": {"prefix": "/till", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"

# run_move NAME FROM TO: move the service under load, with a deadline in 16 s;
# returns the exit code of "move wait".
run_move () {
  local name=$1 from=$2 to=$3
  mesh_ctl --wait-s=10 move start "$name" desk "$from" "$to" +16 >/dev/null || return 1
  run_load "$name" --targets="$(caller_addresses)" --path=/desk/1 --rate=200 \
    --seconds=12 --threads=16 &
  local load_pid=$!
  run_load "$name-till" --targets="$(caller_addresses)" --path=/till/1 --rate=40 \
    --seconds=12 --threads=8
  wait $load_pid
  mesh_ctl --wait-s=60 move wait "$name" >"$MESH_DIR/$name.txt"
}

start_backends /shop/services/desk v2 2 6
ok "v2 is known" wait_for_upstreams 6
run_move good v1 v2
is "a good version: exit code" 0 $?
matches "a good version is done" "v1 -> v2: done, share 100.0%" "$(cat "$MESH_DIR/good.txt")"
is "no call was wrong" 0 "$(report_field "$MESH_DIR/good.json" wrong)"
is "the service runs v2" '{
  "timeout_ms": 2000,
  "version": "v2"
}' "$(mesh_ctl get /shop/services/desk)"

start_backends /shop/services/desk v3 3 7
mesh_post "$MESH_HOST:$(mesh_backend_port 3)/standin/control" '{"error_permille": 500}' >/dev/null
mesh_post "$MESH_HOST:$(mesh_backend_port 7)/standin/control" '{"error_permille": 500}' >/dev/null
ok "v3 is known" wait_for_upstreams 8
run_move failing v2 v3
is "a failing version: exit code" 8 $?
matches "a failing version is taken back" "v2 -> v3: taken-back, share 0.0%.*reason: .* saw .*errors" "$(cat "$MESH_DIR/failing.txt")"
errors=$(report_field "$MESH_DIR/failing.json" errors)
ok "fewer than 5 in 100 calls failed ($errors)" test "$errors" -lt 120
is "the service still runs v2" v2 "$(mesh_ctl get /shop/services/desk | sed -n 's/.*"version": "\(.*\)"/\1/p')"

# v3 no longer fails, but its answers on the route till take 60 ms.
for i in 3 7; do
  mesh_post "$MESH_HOST:$(mesh_backend_port $i)/standin/control" \
    '{"error_permille": 0, "latency_ms": 60, "bad_path": "till"}' >/dev/null
done
run_move slow v2 v3
is "slow on one route: exit code" 8 $?
matches "slow on one route is taken back" "taken-back.*routes/till: slow calls" "$(cat "$MESH_DIR/slow.txt")"

ok "start a move to take back" mesh_ctl move start byhand desk v2 v3 +600
mesh_ctl move back byhand >/dev/null
is "taken back by hand" 8 "$(mesh_ctl move status byhand >/dev/null; echo $?)"
matches "its reason" "withdrawn by the team" "$(mesh_ctl move status byhand)"
done_testing
