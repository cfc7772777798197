#!/usr/bin/env bash
# The platform's table comes back from a copy that lacks what nodes wrote.
# Guards against: a node's row, or the verdict on a move, that stays lost; a
# move that begins anew because the operator writes its request again, also at
# a process that finds no other node in the table, or hears of them late; one
# that runs being begun anew or taken over by another node; one that has been
# concluded going on because the copy says that it runs; and the copy's request,
# or the later one, being begun anew.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=30900
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

put_row () { # KEY JSON: as the operator.
  curl -s -o /dev/null "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w0)\"}]}"
}
order () { put_row rollout/desk "{\"service\":\"desk\",\"to\":\"$1\",\"over\":\"$2\"}"; }
rows () { curl -s -f "http://$table/api/rows-get?table=$1&part="; }
has_row () { rows "$1" | grep -q "\"key\":\"$2\""; }
status_is () {
  rows status | grep -o '"key":"rollout/desk"[^}]*"value":"[^"]*"' |
    sed 's/.*"value":"\([^"]*\)"/\1/' | base64 -d | grep -q "\"state\":\"$1\""
}
mark () { marked=$(curl -s "http://$table/standin/version"); }
drill () { curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=300"; until_ok rows op; }
rows_are_back () { for n in 1 2 3; do has_row mesh "node/n$n" || return 1; done; }
# moves_begun [VERSION]: how often nodes have begun a move, to VERSION.
moves_begun () { cat "$dir"/n*.log | grep -cE "event=move .*step=running .*to=$1"; }
has_begun () { [ "$(moves_begun "${2-}")" = "$1" ]; }
# owner VERSION: the logs of the nodes that began the move to it.
owner () { grep -lE "event=move .*step=running .*to=$1" "$dir"/n*.log; }

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
until_ok rows op
put_row config '{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"1s","service":"desk","maxAttempts":2}},"limits":{}}'
mark
# Nodes 2 and 3 reach the table by a link of their own.
link=127.0.0.1:$((base + 1))
start_link () {
  "$MESH_OUT/standin-link" $((base + 1)) $base 100000000 &
  link_pid=$!
  pids+=($!)
}
start_link
until_ok curl -s "http://$link/"
write_settings 1 1
for n in 2 3; do table=$link write_settings $n 1; done
for n in 1 2 3; do start_node $n; done
for n in 1 2 3; do until_ok is_ready $n; done
# Nothing runs the version, so that it is rolled back by its deadline.
order v2 2s
ok "a version that nothing runs is rolled back" until_ok status_is rolled_back

drill
curl -s "http://$table/standin/calls" >/dev/null
order v2 2s
sleep 1
calls=$(curl -s "http://$table/standin/calls")
ok "after the table came back older: few calls of three nodes in a second ($calls)" [ "$calls" -le 30 ]
ok "the verdict is written again" until_ok status_is rolled_back
ok "and the move's row" until_ok has_row mesh move/desk
ok "and the rows of all nodes" until_ok rows_are_back
kill -KILL "${node_pids[2]}"
wait "${node_pids[2]}" 2>/dev/null
table=$link write_settings 2 0
start_node 2
until_ok is_ready 2
sleep 2
is "the request that is written again begins no move, at living nodes or a new one" 1 "$(moves_begun)"
ok "nor changes the verdict" status_is rolled_back

order v2 2s
ok "the same version can be ordered again later" until_ok has_begun 2
ok "and is rolled back" until_ok status_is rolled_back

kill -KILL "${node_pids[1]}"
wait "${node_pids[1]}" 2>/dev/null
drill
write_settings 1 0
start_node 1
until_ok is_ready 1
sleep 1
order v2 2s
sleep 3
is "nor does it begin anew where its owner starts with the copy" 2 "$(moves_begun)"
ok "which says what became of it" until_ok status_is rolled_back

kill -KILL "${node_pids[1]}" "$link_pid"
wait "${node_pids[1]}" "$link_pid" 2>/dev/null
drill
sleep 3 # By now the others try to connect every 2 s.
start_node 1
until_ok is_ready 1
order v2 2s
sleep 5
is "nor where the others can't reach the table" 2 "$(moves_begun)"
start_link
ok "and it has the verdict from them" until_ok status_is rolled_back

mark
order v3 20s
ok "a move runs" until_ok status_is running
until_ok has_begun 1 v3
owner=$(owner v3)
drill
order v3 20s
ok "its state is written again" until_ok status_is running
sleep 2
is "by the same owner, which has not begun anew" "$owner 1" "$(owner v3) $(moves_begun v3)"

order v4 3s
until_ok has_begun 1 v4
mark
owner=$(basename "$(owner v4)" .log)
ok "a move that runs is rolled back" until_ok status_is rolled_back
kill -KILL "${node_pids[${owner#n}]}"
wait "${node_pids[${owner#n}]}" 2>/dev/null
sed -i 's/"first_start": 1/"first_start": 0/' "$dir/$owner.json"
drill
start_node "${owner#n}"
order v4 3s
ok "the copy says that it runs: the verdict is written again" until_ok status_is rolled_back
sleep 4
ok "and stays" status_is rolled_back
is "and none has begun it anew or goes on with it" 1 "$(moves_begun v4)"

mark
order v5 2s
until_ok has_begun 1 v5
ok "a later move is rolled back" until_ok status_is rolled_back
drill
sleep 4
is "the copy has the request before it: neither begins anew" "1 1" "$(moves_begun v4) $(moves_begun v5)"
order v5 2s
sleep 4
is "nor when the later one is written again" "1 1" "$(moves_begun v4) $(moves_begun v5)"
ok "whose verdict the table has" until_ok status_is rolled_back
order v4 2s
ok "the one before it can be ordered again" until_ok has_begun 2 v4
ok "and rolled back" until_ok status_is rolled_back

mark
order v6 2s
until_ok has_begun 1 v6
ok "one more is rolled back" until_ok status_is rolled_back
kill -KILL "${node_pids[1]}"
wait "${node_pids[1]}" 2>/dev/null
kill -STOP "${node_pids[2]}" "${node_pids[3]}"
drill
start_node 1
until_ok is_ready 1
order v6 2s
sleep 0.7
kill -CONT "${node_pids[2]}" "${node_pids[3]}"
sleep 4
is "nor does it begin anew at a process that hears of the others later" 1 "$(moves_begun v6)"
ok "which has the verdict from them" until_ok status_is rolled_back
done_testing
