#!/usr/bin/env bash
# The platform's table comes back from an older copy for the first time, in era
# 1.  Guards against: a reader that has heard of era 0 only takes era 1 for the
# first one, believes the copy at once, and doesn't write its row again.
. "$(dirname "$0")/tap.sh"
dir=$(mktemp -d)
pids=()
base=31800
. "$(dirname "$0")/sidecar.sh"
cleanup () { signal_own TERM "${pids[@]}"; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT

put_row () { # KEY TEXT: as the operator.
  curl -s -o /dev/null -f "http://$table/api/rows-tx" -d \
    "{\"puts\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w0)\"}]}"
}
rows () { curl -s -f "http://$table/api/rows-get?table=$1&part="; }
has_row () { rows "$1" | grep -q "\"key\":\"$2\""; }
metric () { curl -s "http://127.0.0.1:$(port "$1" 5)/metrics" | grep -q "^$2\$"; }

"$MESH_OUT/standin-rows" --port=$base --era=0 &
pids+=($!)
until_ok rows op
put_row config '{"version":"00000001","services":{"desk":{"healthPath":"/health"}},"routes":{"r":{"host":"h","prefix":"/d/","kind":"safe","timeout":"1s","service":"desk","maxAttempts":2}},"limits":{}}'
marked=$(curl -s "http://$table/standin/version")
for n in 1 2; do write_settings $n 1; start_node $n; done
for n in 1 2; do until_ok is_ready $n; done
put_row evacuate/b x
for n in 1 2; do until_ok metric $n "cardamom_evacuated_data_centres 1"; done

curl -s -o /dev/null "http://$table/standin/drill?to=$marked&away_ms=200"
until_ok rows op
for n in 1 2; do
  ok "n$n knows era 1" until_ok metric $n "cardamom_table_era 1"
  ok "n$n has noted the older copy" metric $n "cardamom_store_restored_total 1"
  ok "n$n keeps what the copy lacks until it may have been written again" metric $n "cardamom_evacuated_data_centres 1"
done
for n in 1 2; do ok "the row of n$n is written again" until_ok has_row mesh node/n$n; done
done_testing
