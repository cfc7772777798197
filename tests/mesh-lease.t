#!/usr/bin/env bash
# Guards against a version move that stops, or is written by two nodes, when
# the node that holds the moves' lease is frozen until the lease has expired
# and then goes on.  Another node must take the lease with the next epoch and
# complete the move.
MESH_BASE=22800 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:west:3"
create_team shop
start_backends /shop/services/desk v1 0 1 3 4
start_backends /shop/services/desk v2 2 5
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 3000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" wait_for_upstreams 6
# read_lease: the lease's row: its epoch and its holder, as "EPOCH NODE/START",
# where START is the wall time of the node's start in milliseconds.
read_lease () {
  curl -s -d "{\"key\": \"$(printf cs/lease/moves | base64)\"}" "http://$MESH_PLATFORM/v3/kv/range" |
    sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d
}
# node_number NAME: the number of a node: 4 for "b-n4".
node_number () {
  echo "${1##*-n}"
}
ok "start" mesh_ctl move start spring desk v1 v2 +40
run_load moving --targets="$(caller_addresses)" --path=/desk/1 --rate=60 --seconds=34 --threads=24 &
load_pid=$!
ok "somebody writes the steps" mesh_wait_until 15 read_lease
mesh_wait_until 15 test -n "$(sleep 1; read_lease)"
lease=$(read_lease)
holder=${lease#* } holder=${holder%/*}
is "it writes under the first epoch" 1 "${lease%% *}"
mesh_signal "node$(node_number "$holder")" STOP
# Whether the lease has a later epoch than the first.
is_taken_over () { [ "$(read_lease | cut -d' ' -f1)" -ge 2 ]; }
ok "another node takes over" mesh_wait_until 25 is_taken_over
mesh_signal "node$(node_number "$holder")" CONT
wait $load_pid
observer=0
[ "$observer" != "$(node_number "$holder")" ] || observer=1
CARDAMOM_NODES=$(mesh_admin_address $observer) mesh_ctl --wait-s=60 move wait spring >"$MESH_DIR/spring.txt"
is "the move is done" 0 $?
matches "as it should" "v1 -> v2: done, share 100.0%" "$(cat "$MESH_DIR/spring.txt")"
# The number of different configuration versions in force on the nodes.
count_versions () { for i in 0 1 2 3 4 5; do mesh_config_version $i; done | sort -u | wc -l; }
versions_agree () { [ "$(count_versions)" = 1 ]; }
ok "every node runs the same version" mesh_wait_until 10 versions_agree
# Number of times that a node replaced its version by the same or an earlier
# one.
regressions=$(for i in 0 1 2 3 4 5; do
  grep -h 'event=config-in-force' "$MESH_DIR/node$i.log" | sed 's/.*version=\([0-9]*\) .*/\1/' |
    awk '$1 <= last { n++ } { last = $1 } END { print n + 0 }'
done | awk '{ s += $1 } END { print s }')
is "no node went back" 0 "$regressions"
done_testing
