#!/usr/bin/env bash
# Network partitions, frozen nodes and concurrent changes.  Guards against: a
# data centre that cannot reach the others and does not apply a change, or does
# not serve its callers; a frozen node that, when it goes on, reports others as
# dead or keeps the old version; and changes that overwrite one another.
MESH_BASE=22500 MESH_DCS=a,b,c
MESH_NODE_FLAGS=--test-faults=1
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:east:3 c:west:3"
create_team shop
start_backends /shop/services/desk v1 0 1 2 3 4 5 6 7 8
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 2000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" wait_for_upstreams 9
# set_route NAME [FLAG...]: set the route NAME with these flags of cardamomctl.
set_route () {
  echo "{\"prefix\": \"/$1\", \"service\": \"desk\"}" >"$MESH_DIR/$1.json"
  mesh_ctl "${@:2}" set "/shop/routes/$1" "$MESH_DIR/$1.json"
}
# set_cut true|false "NODES" "DCS": cut the connections between these nodes and
# these data centres in both directions, or restore them.
set_cut () {
  local i dc
  for i in $2; do
    for dc in $3; do
      mesh_post "$(mesh_admin_address "$i")/v1/fault" "{\"dc\": \"$dc\", \"cut\": $1}" >/dev/null
    done
  done
}
# count_versions NODE...: a line "COUNT VERSION" for each configuration version
# on these nodes.
count_versions () { local i; for i in "$@"; do mesh_config_version "$i"; done | sort | uniq -c | sed 's/^ *//'; }
# has_version NODE VERSION: whether NODE has this configuration version in
# force.
has_version () { [ "$(mesh_config_version "$1")" = "$2" ]; }

set_cut true "6 7 8" "a b"; set_cut true "0 1 2 3 4 5" "c"
ok "a change while west is cut off from east" set_route two --wait-s=0
for i in 0 5 6 8; do ok "node $i has it by the store" mesh_wait_until 10 has_version $i 2; done
run_load cut --targets="$(mesh_caller_address 6),$(mesh_caller_address 7),$(mesh_caller_address 8)" --path=/two/1 --rate=100 --seconds=2
is "the cut off data centre serves its callers" 200 "$(report_field "$MESH_DIR/cut.json" "done")"
set_cut false "6 7 8" "a b"; set_cut false "0 1 2 3 4 5" "c"
ok "a change after the cut" set_route three
ok "everyone knows all upstreams" wait_for_upstreams 9

# A node is frozen for longer than the suspicion timeout, and goes on.
mesh_signal node1 STOP
# Whether node 0 lists node 1 as dead.  The health of a node may be listed
# before or after its name.
is_found_dead () { mesh_get "$(mesh_admin_address 0)/v1/nodes" | grep -A12 '"node": "a-n1"' | grep -q '"health": "dead"' ||
          mesh_get "$(mesh_admin_address 0)/v1/nodes" | grep -B12 '"node": "a-n1"' | grep -q '"health": "dead"'; }
ok "a frozen node is found dead" mesh_wait_until 20 is_found_dead
ok "a change meanwhile" set_route four --wait-s=10
mesh_signal node1 CONT
ok "it wakes up and catches up" mesh_wait_until 20 has_version 1 4
ok "it accuses nobody: everyone knows all upstreams" wait_for_upstreams 9
run_load resumed --targets="$(caller_addresses)" --path=/four/1 --rate=100 --seconds=2 --threads=18
is "every call is done" 200 "$(report_field "$MESH_DIR/resumed.json" "done")"

# Two operators change the same settings concurrently, both expecting the same
# version: one change is accepted, the other gets a conflict.
team_version=$(mesh_ctl list | sed -n 's/.*version \([0-9]*\)$/\1/p')
echo '{"prefix": "/r1", "service": "desk"}' >"$MESH_DIR/r1.json"
echo '{"prefix": "/r2", "service": "desk"}' >"$MESH_DIR/r2.json"
for n in 1 2; do
  (CARDAMOM_NODES=$(mesh_admin_address $((n * 3))) mesh_ctl --wait-s=0 --expected="$team_version" set /shop/routes/race "$MESH_DIR/r$n.json" \
    >"$MESH_DIR/race$n.out" 2>"$MESH_DIR/race$n.err"; echo $? >"$MESH_DIR/race$n") &
  pids[n]=$!
done
wait ${pids[1]} ${pids[2]}
is "of two operators one wins and one gets a conflict" "0 3" "$(sort "$MESH_DIR/race1" "$MESH_DIR/race2" | tr '\n' ' ' | sed 's/ $//')"
matches "the conflict names the remedy" "last changed by version [0-9]+, not $team_version; read it again and repeat" "$(cat "$MESH_DIR"/race?.err)"

# Two teams change their own settings concurrently: both changes are accepted.
shop_token=$CARDAMOM_TOKEN
other_token=$(mesh_ctl team add lanes)
echo '{"version": "v1"}' >"$MESH_DIR/lane.json"
echo '{"prefix": "/r3", "service": "desk"}' >"$MESH_DIR/r3.json"
(CARDAMOM_TEAM=lanes CARDAMOM_TOKEN=$other_token mesh_ctl --wait-s=0 set /lanes/services/lane "$MESH_DIR/lane.json" >/dev/null 2>&1; echo $? >"$MESH_DIR/d1") &
pids[1]=$!
(CARDAMOM_TOKEN=$shop_token mesh_ctl --wait-s=0 set /shop/routes/r3 "$MESH_DIR/r3.json" >/dev/null 2>&1; echo $? >"$MESH_DIR/d2") &
pids[2]=$!
wait ${pids[1]} ${pids[2]}
is "two teams at the same time both succeed" "0 0" "$(cat "$MESH_DIR/d1" "$MESH_DIR/d2" | tr '\n' ' ' | sed 's/ $//')"
is "a team cannot write another's path" 4 \
  "$(CARDAMOM_TEAM=lanes CARDAMOM_TOKEN=$other_token mesh_ctl --wait-s=0 set /shop/routes/denied "$MESH_DIR/r1.json" >/dev/null 2>&1; echo $?)"
is "a wrong token is denied" 4 \
  "$(CARDAMOM_TOKEN=wrong mesh_ctl --wait-s=0 set /shop/routes/denied "$MESH_DIR/r1.json" >/dev/null 2>&1; echo $?)"
done_testing
