#!/usr/bin/env bash
# Herds of deaths, store outages and lost answers: no node goes back to an
# older version, marks are kept, and service comes back.
MESH_BASE=22400 MESH_DCS=a,b
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
fault () { mesh_post "$MESH_PLATFORM/standin/fault" "$1" >/dev/null; }
versions () {
  local i
  for i in 0 1 2 3 4 5 6 7; do mesh_version $i; done | sort | uniq -c | sed 's/^ *//'
}
route () { # NAME
  echo "{\"prefix\": \"/$1\", \"service\": \"desk\"}" >"$MESH_DIR/$1.json"
  mesh_ctl "${@:2}" set "/shop/routes/$1" "$MESH_DIR/$1.json"
}

ok "a second version" route two
fault '{"mode": "down"}'
is "a change while the store is down is refused" "5" \
  "$(route three --wait-s=0 >/dev/null 2>&1; echo $?)"
for i in 1 2 5 6; do mesh_kill "node$i"; done
load outage --targets="$(mesh_caller 0),$(mesh_caller 3),$(mesh_caller 4),$(mesh_caller 7)" \
  --path=/two/1 --rate=100 --seconds=4 --threads=16
done_count=$(field "$MESH_DIR/outage.json" "done")
ok "half of the nodes serve on without the store ($done_count of 400)" test "$done_count" -gt 380
mesh_node 1 a east; mesh_node 2 a east; mesh_node 5 b west; mesh_node 6 b west
for i in 1 2 5 6; do
  ok "node $i is back while the store is down" mesh_until 30 mesh_ready $i
done
ok "its upstreams are known again" see_upstreams 8
is "every node runs the newest version" "8 2" "$(versions)"
load herd --targets="$(all_targets)" --path=/two/1 --rate=100 --seconds=2 --threads=16
is "every call is done" 200 "$(field "$MESH_DIR/herd.json" "done")"

fault '{"mode": "none"}'
fault '{"mode": "lost", "count": 1}'
ok "a change whose answer is lost" route four
is "is accepted once" "8 3" "$(versions)"
is "and stands in the history once" 1 "$(mesh_ctl history | grep -c '/shop/routes/four')"
fault '{"mode": "drop", "count": 2}'
ok "a change whose connection is dropped" route five
is "is in force" "8 4" "$(versions)"

# All nodes of the mesh die; the store is back, so nothing is lost.
for i in 0 1 2 3 4 5 6 7; do mesh_kill "node$i"; done
for i in 0 1 2 3; do mesh_node $i a east; done
for i in 4 5 6 7; do mesh_node $i b west; done
for i in 0 1 2 3 4 5 6 7; do mesh_until 30 mesh_ready $i; done
ok "upstreams are known after all nodes died" see_upstreams 8
is "every node runs the newest version" "8 4" "$(versions)"

# Nobody can be asked: no configuration, no service, no harm.
fault '{"mode": "down"}'
for i in 0 1 2 3 4 5 6 7; do mesh_kill "node$i"; done
mesh_node 0 a east
sleep 4
is "a lone node without store does not join" 1 "$(mesh_ready 0; echo $?)"
is "and tells its callers to come back" "503 not-run 1" \
  "$(curl -s -o /dev/null -w '%{http_code} %header{cardamom-outcome} %header{retry-after}' "http://$(mesh_caller 0)/two/1")"
fault '{"mode": "none"}'
ok "it joins when the store is back" mesh_until 30 mesh_ready 0
is "with the newest version" 4 "$(mesh_version 0)"
done_testing
