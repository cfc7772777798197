#!/usr/bin/env bash
# The platform's table loses an order of a move that no node has begun, and the
# operator writes it again.  Guards against: a move that begins once more at a
# process that has started meanwhile, and knows the order by its later row.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=32700
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

put_row () { # KEY JSON: as the operator.
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w0)\"}]}"
}
order () { put_row rollout/desk "{\"service\":\"desk\",\"to\":\"$1\",\"over\":\"2s\"}"; }
rows () { curl -s -f "http://$table/api/rows-get?table=$1&part="; }
status_is () { # VERSION STATE
  rows status | grep -o '"key":"rollout/desk"[^}]*"value":"[^"]*"' |
    sed 's/.*"value":"\([^"]*\)"/\1/' | base64 -d | grep "\"to\":\"$1\"" | grep -q "\"state\":\"$2\""
}
ordered () { cat "$dir"/n*.log | grep -c "event=move .*step=ordered to=$1"; }
all_know () { [ "$(ordered "$1")" -ge 3 ]; }

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
until_ok rows op
put_row config '{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"1s","service":"desk","maxAttempts":2}},"limits":{}}'
for n in 1 2 3; do write_settings $n 1; start_node $n; done
for n in 1 2 3; do until_ok is_ready $n; done
order v2
ok "an earlier move is rolled back" until_ok status_is v2 rolled_back

marked=$(curl -s "http://$table/standin/version")
order v3
until_ok all_know v3
curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=100"
until_ok rows op
order v3
for n in 1 2; do
  kill -KILL "${node_pids[$n]}"
  wait "${node_pids[$n]}" 2>/dev/null
  write_settings $n 0
  start_node $n
  until_ok is_ready $n
done
ok "the one that was ordered is rolled back" until_ok status_is v3 rolled_back
sleep 5
is "and no node begins it once more" 1 "$(cat "$dir"/n*.log | grep -cE "event=move .*step=taken-back .*to=v3 ")"
done_testing
