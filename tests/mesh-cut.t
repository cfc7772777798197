#!/usr/bin/env bash
# Data centres cut off from each other and from the platform, and frozen nodes.
MESH_BASE=22500 MESH_DCS=a,b,c
MESH_NODE_FLAGS=--test-faults=1
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:east:3 c:west:3"
new_team shop
backends /shop/services/desk v1 0 1 2 3 4 5 6 7 8
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 2000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" see_upstreams 9
route () {
  echo "{\"prefix\": \"/$1\", \"service\": \"desk\"}" >"$MESH_DIR/$1.json"
  mesh_ctl "${@:2}" set "/shop/routes/$1" "$MESH_DIR/$1.json"
}
# cut NODE... -- DC... : these nodes neither hear nor reach these data centres.
cut_nodes () { # BOOL "NODES" "DCS"
  local i dc
  for i in $2; do
    for dc in $3; do
      mesh_post "$(mesh_admin "$i")/v1/fault" "{\"dc\": \"$dc\", \"cut\": $1}" >/dev/null
    done
  done
}
versions_of () { local i; for i in "$@"; do mesh_version "$i"; done | sort | uniq -c | sed 's/^ *//'; }
is_at () { [ "$(mesh_version "$1")" = "$2" ]; }

cut_nodes true "6 7 8" "a b"; cut_nodes true "0 1 2 3 4 5" "c"
ok "a change while west is cut off from east" route two --wait-s=0
for i in 0 5 6 8; do ok "node $i has it by the store" mesh_until 10 is_at $i 2; done
load cut --targets="$(mesh_caller 6),$(mesh_caller 7),$(mesh_caller 8)" --path=/two/1 --rate=100 --seconds=2
is "the cut off data centre serves its callers" 200 "$(field "$MESH_DIR/cut.json" "done")"
cut_nodes false "6 7 8" "a b"; cut_nodes false "0 1 2 3 4 5" "c"
ok "a change after the cut" route three
ok "everyone knows all upstreams" see_upstreams 9

# A node that is frozen longer than its suspicion, and wakes up.
mesh_signal node1 STOP
gone () { mesh_get "$(mesh_admin 0)/v1/nodes" | grep -A12 '"node": "a-n1"' | grep -q '"health": "dead"' ||
          mesh_get "$(mesh_admin 0)/v1/nodes" | grep -B12 '"node": "a-n1"' | grep -q '"health": "dead"'; }
ok "a frozen node is found dead" mesh_until 20 gone
ok "a change meanwhile" route four --wait-s=10
mesh_signal node1 CONT
ok "it wakes up and catches up" mesh_until 20 is_at 1 4
ok "it accuses nobody: everyone knows all upstreams" see_upstreams 9
load woken --targets="$(all_targets)" --path=/four/1 --rate=100 --seconds=2 --threads=18
is "every call is done" 200 "$(field "$MESH_DIR/woken.json" "done")"

# Operators race on the same settings: one wins, the other is told.
head=$(mesh_ctl list | sed -n 's/.*version \([0-9]*\)$/\1/p')
echo '{"prefix": "/r1", "service": "desk"}' >"$MESH_DIR/r1.json"
echo '{"prefix": "/r2", "service": "desk"}' >"$MESH_DIR/r2.json"
for n in 1 2; do
  (CARDAMOM_NODES=$(mesh_admin $((n * 3))) mesh_ctl --wait-s=0 --expected="$head" set /shop/routes/race "$MESH_DIR/r$n.json" \
    >"$MESH_DIR/race$n.out" 2>"$MESH_DIR/race$n.err"; echo $? >"$MESH_DIR/race$n") &
  pids[n]=$!
done
wait ${pids[1]} ${pids[2]}
is "of two operators one wins and one gets a conflict" "0 3" "$(sort "$MESH_DIR/race1" "$MESH_DIR/race2" | tr '\n' ' ' | sed 's/ $//')"
matches "the conflict names the remedy" "last changed by version [0-9]+, not $head; read it again and repeat" "$(cat "$MESH_DIR"/race?.err)"

# Disjoint subtrees at the same time: both succeed.
token=$CARDAMOM_TOKEN
other=$(mesh_ctl team add lanes)
echo '{"version": "v1"}' >"$MESH_DIR/lane.json"
echo '{"prefix": "/r3", "service": "desk"}' >"$MESH_DIR/r3.json"
(CARDAMOM_TEAM=lanes CARDAMOM_TOKEN=$other mesh_ctl --wait-s=0 set /lanes/services/lane "$MESH_DIR/lane.json" >/dev/null 2>&1; echo $? >"$MESH_DIR/d1") &
pids[1]=$!
(CARDAMOM_TOKEN=$token mesh_ctl --wait-s=0 set /shop/routes/r3 "$MESH_DIR/r3.json" >/dev/null 2>&1; echo $? >"$MESH_DIR/d2") &
pids[2]=$!
wait ${pids[1]} ${pids[2]}
is "two teams at the same time both succeed" "0 0" "$(cat "$MESH_DIR/d1" "$MESH_DIR/d2" | tr '\n' ' ' | sed 's/ $//')"
is "a team cannot write another's path" 4 \
  "$(CARDAMOM_TEAM=lanes CARDAMOM_TOKEN=$other mesh_ctl --wait-s=0 set /shop/routes/evil "$MESH_DIR/r1.json" >/dev/null 2>&1; echo $?)"
is "a wrong token is denied" 4 \
  "$(CARDAMOM_TOKEN=wrong mesh_ctl --wait-s=0 set /shop/routes/evil "$MESH_DIR/r1.json" >/dev/null 2>&1; echo $?)"
done_testing
