#!/usr/bin/env bash
# The writer of a version move is frozen past its lease and wakes up: another
# node goes on under the next epoch, and the move ends well.
MESH_BASE=22800 MESH_DCS=a,b
. "$(dirname "$0")/tap.sh"
start_mesh "a:east:3 b:west:3"
new_team shop
backends /shop/services/desk v1 0 1 3 4
backends /shop/services/desk v2 2 5
cat >"$MESH_DIR/desk.json" <<'J'
{"/shop/services/desk": {"version": "v1", "timeout_ms": 3000, "max_attempts": 3},
 "/shop/routes/desk": {"prefix": "/desk", "service": "desk"}}
J
ok "apply" mesh_ctl apply "$MESH_DIR/desk.json"
ok "upstreams are known" see_upstreams 6
# lease_row: "EPOCH NODE/START" of the writer.
lease_row () {
  curl -s -d "{\"key\": \"$(printf cs/lease/moves | base64)\"}" "http://$MESH_PLATFORM/v3/kv/range" |
    sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d
}
node_number () { # NAME: "b-n4" is node 4
  echo "${1##*-n}"
}
ok "start" mesh_ctl move start spring desk v1 v2 +40
load moving --targets="$(all_targets)" --path=/desk/1 --rate=60 --seconds=34 --threads=24 &
loader=$!
ok "somebody writes the steps" mesh_until 15 lease_row
mesh_until 15 test -n "$(sleep 1; lease_row)"
row=$(lease_row)
writer=${row#* } writer=${writer%/*}
is "it writes under the first epoch" 1 "${row%% *}"
mesh_signal "node$(node_number "$writer")" STOP
taken_over () { [ "$(lease_row | cut -d' ' -f1)" -ge 2 ]; }
ok "another node takes over" mesh_until 25 taken_over
mesh_signal "node$(node_number "$writer")" CONT
wait $loader
other=0
[ "$other" != "$(node_number "$writer")" ] || other=1
CARDAMOM_NODES=$(mesh_admin $other) mesh_ctl --wait-s=60 move wait spring >"$MESH_DIR/spring.txt"
is "the move is done" 0 $?
matches "as it should" "v1 -> v2: done, share 100.0%" "$(cat "$MESH_DIR/spring.txt")"
versions () { for i in 0 1 2 3 4 5; do mesh_version $i; done | sort -u | wc -l; }
one_version () { [ "$(versions)" = 1 ]; }
ok "every node runs the same version" mesh_until 10 one_version
backwards=$(for i in 0 1 2 3 4 5; do
  grep -h 'event=config-in-force' "$MESH_DIR/node$i.log" | sed 's/.*version=\([0-9]*\) .*/\1/' |
    awk '$1 <= last { n++ } { last = $1 } END { print n + 0 }'
done | awk '{ s += $1 } END { print s }')
is "no node went back" 0 "$backwards"
done_testing
