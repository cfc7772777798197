#!/usr/bin/env bash
# The platform's table is away a second time, while the owner of a move writes
# its state again.  Guards against: an owner that then doesn't write for
# seconds, so that another node takes the move over.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=33200
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

put_row () { # KEY JSON: as the operator.
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w0)\"}]}"
}
rows () { curl -s -f "http://$table/api/rows-get?table=$1&part="; }
drill () { curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=$1"; }
begun () { cat "$dir"/n*.log | grep -c "event=move .*step=running .*to=v2 "; }
has_begun () { [ "$(begun)" -ge 1 ]; }

"$MESH_OUT/standin-rows" --port=$base &
pids+=($!)
until_ok rows op
put_row config '{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"1s","service":"desk","maxAttempts":2}},"limits":{}}'
for n in 1 2 3; do write_settings $n 1; start_node $n; done
for n in 1 2 3; do until_ok is_ready $n; done
put_row rollout/desk '{"service":"desk","to":"v2","over":"30s"}'
ok "a move runs" until_ok has_begun
sleep 0.5
for i in 1 2 3; do
  marked=$(curl -s "http://$table/standin/version")
  drill 100
  until_ok rows op
  drill 500
  until_ok rows op
  sleep 4
done
is "its owner goes on" 1 "$(begun)"
done_testing
