#!/usr/bin/env bash
# Deaths of many nodes, store outages and lost answers of the store.  Guards
# against: a node that goes back to an earlier version; a change that is lost
# or committed twice; nodes that do not serve or cannot rejoin while the store
# is down; and a node that serves without a configuration.
MESH_BASE=22400 MESH_DCS=a,b
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
# set_platform_fault JSON: set the fault that the platform's stand-in shows, for
# the next "count" requests if that is given.  Modes: "down" answers 503 without
# handling a request; "drop" closes the connection without handling it; "lost"
# handles a write, but closes the connection instead of answering; "none" ends
# the fault.
set_platform_fault () { mesh_post "$MESH_PLATFORM/standin/fault" "$1" >/dev/null; }
# count_versions: a line "COUNT VERSION" for each configuration version in
# force on the nodes.
count_versions () {
  local i
  for i in 0 1 2 3 4 5 6 7; do mesh_config_version $i; done | sort | uniq -c | sed 's/^ *//'
}
# set_route NAME [FLAG...]: set the route NAME with these flags of cardamomctl.
set_route () {
  echo "{\"prefix\": \"/$1\", \"service\": \"desk\"}" >"$MESH_DIR/$1.json"
  mesh_ctl "${@:2}" set "/shop/routes/$1" "$MESH_DIR/$1.json"
}

ok "a second version" set_route two
set_platform_fault '{"mode": "down"}'
is "a change while the store is down is refused" "5" \
  "$(set_route three --wait-s=0 >/dev/null 2>&1; echo $?)"
for i in 1 2 5 6; do mesh_kill "node$i"; done
run_load outage --targets="$(mesh_caller_address 0),$(mesh_caller_address 3),$(mesh_caller_address 4),$(mesh_caller_address 7)" \
  --path=/two/1 --rate=100 --seconds=4 --threads=16
done_count=$(report_field "$MESH_DIR/outage.json" "done")
ok "half of the nodes serve on without the store ($done_count of 400)" test "$done_count" -gt 380
mesh_start_node 1 a east; mesh_start_node 2 a east; mesh_start_node 5 b west; mesh_start_node 6 b west
for i in 1 2 5 6; do
  ok "node $i is back while the store is down" mesh_wait_until 30 mesh_is_ready $i
done
ok "its upstreams are known again" wait_for_upstreams 8
is "every node runs the newest version" "8 2" "$(count_versions)"
run_load rejoined --targets="$(caller_addresses)" --path=/two/1 --rate=100 --seconds=2 --threads=16
is "every call is done" 200 "$(report_field "$MESH_DIR/rejoined.json" "done")"

set_platform_fault '{"mode": "none"}'
set_platform_fault '{"mode": "lost", "count": 1}'
ok "a change whose answer is lost" set_route four
is "is accepted once" "8 3" "$(count_versions)"
is "and stands in the history once" 1 "$(mesh_ctl history | grep -c '/shop/routes/four')"
set_platform_fault '{"mode": "drop", "count": 2}'
ok "a change whose connection is dropped" set_route five
is "is in force" "8 4" "$(count_versions)"

# All nodes die while the store is available: they load the newest version from
# it.
for i in 0 1 2 3 4 5 6 7; do mesh_kill "node$i"; done
for i in 0 1 2 3; do mesh_start_node $i a east; done
for i in 4 5 6 7; do mesh_start_node $i b west; done
for i in 0 1 2 3 4 5 6 7; do mesh_wait_until 30 mesh_is_ready $i; done
ok "upstreams are known after all nodes died" wait_for_upstreams 8
is "every node runs the newest version" "8 4" "$(count_versions)"

# A single node starts while the store is down, so it has no configuration and
# must not serve.
set_platform_fault '{"mode": "down"}'
for i in 0 1 2 3 4 5 6 7; do mesh_kill "node$i"; done
mesh_start_node 0 a east
sleep 4
is "a lone node without store does not join" 1 "$(mesh_is_ready 0; echo $?)"
is "and tells its callers to come back" "503 not-run 1" \
  "$(curl -s -o /dev/null -w '%{http_code} %header{cardamom-outcome} %header{retry-after}' "http://$(mesh_caller_address 0)/two/1")"
set_platform_fault '{"mode": "none"}'
ok "it joins when the store is back" mesh_wait_until 30 mesh_is_ready 0
is "with the newest version" 4 "$(mesh_config_version 0)"
done_testing
